"""A stand-in for a backend server of a site.

It announces itself to its daemon, accepts grants and releases of key ranges, and signs its answers.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
import uuid
from typing import Any

import aiohttp
import attrs
from aiohttp import web

from persimmondock.standins.connections import close_server

ANNOUNCE_INTERVAL_S = 0.2
RELEASING_INTERVAL_S = 0.1  # between announcements while keys are being released
MAX_REPLY_BYTES = 4096
ANNOUNCE_TIMEOUT_S = 1.0  # a frozen daemon does not answer
POLL_INTERVAL_S = 0.005
# Running requests are aborted, as when a process ends; aiohttp treats 0 as no time limit.
SHUTDOWN_TIMEOUT_S = 0.005


@attrs.frozen
class HeldRange:
    """A key range that is held for a time.

    Parameters
    ----------
    first, last
        Bounds of the range, both included.
    fence
        Fence of the grant.
    start, end
        Monotonic times between which the range is held, in seconds.
    """

    first: int
    last: int
    fence: int
    start: float
    end: float


@attrs.frozen
class RequestRun:
    """One run of a request.

    Parameters
    ----------
    attempt
        Identifier of the attempt, from the header ``X-Attempt-Id``.
    key
        Key of the request, or -1.
    at
        Monotonic time of the start, in seconds.
    headers
        Headers of the request.
    """

    attempt: str
    key: int
    at: float
    headers: dict[str, str]


@attrs.define
class SiteBackend:
    """One instance of a backend server, from its start to its stop.

    Parameters
    ----------
    address, daemon_address
        ``host:port`` of the server, and of the daemon on the same VM.
    keyed
        Whether requests run only for keys that are held.
    grants_in_heartbeats
        Whether keys are granted in the replies to heartbeats, and not by calls.
    work_s
        Duration of a request, in seconds.
    born_ms
        Time of the start, in Unix milliseconds.
    cancelled
        Number of requests that were cancelled while they ran.
    listen_on
        ``host:port`` to listen on if a proxy listens on ``address``; empty for ``address``.
    announce_interval_s
        Interval between the sendings of announcements, in seconds.
    drain_acked_at
        Monotonic time at which the daemon first acknowledged the draining, in seconds.
    ended_at
        Monotonic time of the stop, in seconds.
    health_checks
        Number of health checks that were answered.
    limit
        Value of the header by which all answers to requests name a limit; empty for none.
    leaving
        Whether all answers to requests say that the server leaves.
    """

    service: str
    address: str
    daemon_address: str
    failure_domain: str
    keyed: bool = False
    grants_in_heartbeats: bool = False
    slots: int = 8
    work_s: float = 0.01
    instance: str = attrs.field(factory=lambda: f"i-{uuid.uuid4().hex[:8]}")
    born_ms: int = attrs.field(factory=lambda: int(time.time() * 1000))
    draining: bool = False
    runs: list[RequestRun] = attrs.field(factory=list)
    held_ranges: list[HeldRange] = attrs.field(factory=list)
    cancelled: int = 0
    listen_on: str = ""
    announce_interval_s: float = ANNOUNCE_INTERVAL_S
    drain_acked_at: float | None = None
    ended_at: float | None = None
    health_checks: int = 0
    limit: str = ""
    leaving: bool = False
    _active_keys: list[int] = attrs.field(factory=list)
    _freed: list[list[Any]] = attrs.field(factory=list)
    _releasing: list[HeldRange] = attrs.field(factory=list)
    _sequence: int = 0
    _runner: web.AppRunner | None = None
    _announce_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and announce the instance until it is stopped."""
        application = web.Application()
        application.router.add_post("/-/grant", self._grant)
        application.router.add_post("/-/release", self._release)
        application.router.add_get("/health", self._show_health)
        application.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        host, _, port = (self.listen_on or self.address).rpartition(":")
        await web.TCPSite(self._runner, host, int(port), reuse_address=True).start()
        self._announce_task = asyncio.create_task(self._announce())

    async def stop(self) -> None:
        """Stop without waiting for running requests."""
        if self.ended_at is None:
            self.ended_at = time.monotonic()
        if self._announce_task is not None:
            self._announce_task.cancel()
        if self._runner is not None:
            await close_server(self._runner)

    async def _announce(self) -> None:
        url = f"http://{self.daemon_address}/-/instances/{self.instance}"
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                self._sequence += 1
                sent_at = time.monotonic()
                body = self._build_announcement()
                reply: dict[str, Any] = {}
                # Errors are ignored: a daemon that is not up yet gets a later announcement.
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    async with session.put(url, json=body) as response:
                        data = await response.read()
                        acked = response.status == 200 and len(data) <= MAX_REPLY_BYTES
                    if acked:
                        reply = json.loads(data)
                        if body["state"] == "draining" and self.drain_acked_at is None:
                            self.drain_acked_at = time.monotonic()
                        del self._freed[: len(body.get("freed", ()))]
                releasing = "holds" in reply and self._apply_holdings(reply, sent_at)
                await asyncio.sleep(
                    RELEASING_INTERVAL_S
                    if releasing
                    else max(0.0, sent_at + self.announce_interval_s - time.monotonic())
                )

    def _build_announcement(self) -> dict[str, Any]:
        body: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.failure_domain,
            "version": "v1",
            "capacity": self.slots,
            "state": "draining" if self.draining else "ready",
            "cold_s": 0,
            "sequence": self._sequence,
            "born": self.born_ms,
        }
        if self.grants_in_heartbeats:
            now = time.monotonic()
            self._finish_releases()
            held = [h for h in self.held_ranges if h.start <= now < h.end]
            body["holds"] = [[h.first, h.last, h.fence] for h in [*held, *self._releasing]]
            body["freed"] = list(self._freed)
        return body

    def _finish_releases(self) -> None:
        """Free released ranges for whose keys no request is running any more."""
        for held in list(self._releasing):
            if not any(held.first <= key <= held.last for key in self._active_keys):
                self._releasing.remove(held)
                self._freed.append([held.first, held.last, uuid.uuid4().hex[:16]])

    def _apply_holdings(self, reply: dict[str, Any], sent_at: float) -> bool:
        """Hold what a reply lists and release the rest; return whether anything was released."""
        now, until = time.monotonic(), sent_at + reply["hold_s"]
        rows = [(row[0], row[1], row[2]) for row in reply["holds"]]
        result, released = [], []
        for held in self.held_ranges:
            if not held.start <= now < held.end:
                result.append(held)
                continue
            kept = [row for row in rows if held.first <= row[1] and row[0] <= held.last]
            result.append(attrs.evolve(held, end=now))
            position = held.first
            for first, last, _ in sorted(kept):
                if position < first:
                    released.append(attrs.evolve(held, first=position, last=first - 1))
                position = max(position, last + 1)
            if position <= held.last:
                released.append(attrs.evolve(held, first=position))
        if until > now:
            result += [HeldRange(first, last, fence, now, until) for first, last, fence in rows]
        self.held_ranges = result
        self._releasing += released
        return bool(self._releasing)

    async def _grant(self, request: web.Request) -> web.Response:
        data = await request.json()
        first, last, fence = data["from"], data["target"], data["fence"]
        if any(h.fence > fence and h.first <= last and first <= h.last for h in self.held_ranges):
            return web.Response(status=409)
        now = time.monotonic()
        self.held_ranges.append(HeldRange(first, last, fence, now, now + data["hold_s"]))
        return web.Response()

    async def _release(self, request: web.Request) -> web.Response:
        """Stop holding a key range; answer when no request for its keys is running."""
        data = await request.json()
        first, last = data["from"], data["target"]
        now = time.monotonic()
        kept = []
        for held_range in self.held_ranges:
            if held_range.end <= now or held_range.last < first or last < held_range.first:
                kept.append(held_range)
                continue
            kept.append(attrs.evolve(held_range, end=now))
            if held_range.first < first:
                kept.append(attrs.evolve(held_range, last=first - 1, start=now))
            if last < held_range.last:
                kept.append(attrs.evolve(held_range, first=last + 1, start=now))
        self.held_ranges = kept
        while any(first <= key <= last for key in self._active_keys):
            await asyncio.sleep(POLL_INTERVAL_S)
        return web.Response(headers={"X-Handover": uuid.uuid4().hex[:16]})

    def _holds_key(self, key: int) -> bool:
        now = time.monotonic()
        return any(h.first <= key <= h.last and h.start <= now < h.end for h in self.held_ranges)

    async def _show_health(self, _: web.Request) -> web.Response:
        self.health_checks += 1
        headers = {"X-Instance-Id": self.instance} | self._build_notice_headers()
        return web.Response(status=503 if self.draining or self.leaving else 200, headers=headers)

    def _build_notice_headers(self) -> dict[str, str]:
        headers = {"Server-Limit": self.limit} if self.limit else {}
        return headers | {"Server-Leaving": "1"} if self.leaving else headers

    async def _serve(self, request: web.Request) -> web.Response:
        attempt = request.headers.get("X-Attempt-Id", "")
        key = int(request.headers.get("X-Shard-Key", "-1"))
        response_headers = {"X-Attempt-Id": attempt}
        if request.headers.get("X-Expected-Instance", self.instance) != self.instance:
            return web.Response(status=421, headers={"X-Instance-Id": self.instance})
        if self.keyed and not self._holds_key(key):
            return web.Response(status=421, headers={"X-Not-Executed": "1"})
        body = await request.read()
        self.runs.append(RequestRun(attempt, key, time.monotonic(), dict(request.headers)))
        self._active_keys.append(key)
        try:
            await asyncio.sleep(self.work_s)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self._active_keys.remove(key)
        response_headers["X-Server-Signature"] = f"signed-by-{self.instance}"
        response_headers |= self._build_notice_headers()
        return web.Response(body=b"answer to " + attempt.encode() + body, headers=response_headers)
