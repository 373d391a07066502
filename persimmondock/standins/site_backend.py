"""A stand-in for a backend server of a site: grants, announcements, requests with its signature."""

from __future__ import annotations

import asyncio
import contextlib
import time
import uuid
from typing import Any

import aiohttp
import attrs
from aiohttp import web

ANNOUNCE_INTERVAL_S = 0.2
ANNOUNCE_TIMEOUT_S = 1.0  # a daemon that is frozen does not answer
POLL_INTERVAL_S = 0.005
SHUTDOWN_TIMEOUT_S = (
    0.005  # a process that ends takes its work with it; aiohttp takes 0 for no bound
)


@attrs.frozen
class HeldRange:
    """Keys that are held from one instant to another."""

    first: int
    last: int
    fence: int
    start: float
    end: float


@attrs.frozen
class RequestRun:
    """One run of a request."""

    attempt: str
    key: int
    at: float
    headers: dict[str, str]


@attrs.define
class SiteBackend:
    """One life of a backend server.

    Parameters
    ----------
    address, announce_to
        ``host:port`` of its own, and of the daemon beside it.
    listen_on
        Where it listens if something stands between ``address`` and it.
    drain_acked_at
        Instant at which the daemon first acknowledged that this one drains.
    ended_at
        Instant at which it was stopped.
    """

    service: str
    address: str
    daemon_address: str
    failure_domain: str
    keyed: bool = False
    slots: int = 8
    work_s: float = 0.01
    instance: str = attrs.field(factory=lambda: f"i-{uuid.uuid4().hex[:8]}")
    born_ms: int = attrs.field(factory=lambda: int(time.time() * 1000))
    draining: bool = False
    runs: list[RequestRun] = attrs.field(factory=list)
    held_ranges: list[HeldRange] = attrs.field(factory=list)
    cancelled: int = 0
    listen_on: str = ""
    drain_acked_at: float | None = None
    ended_at: float | None = None
    _active_keys: list[int] = attrs.field(factory=list)
    _sequence: int = 0
    _runner: web.AppRunner | None = None
    _announce_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and announce this life until it is stopped."""
        application = web.Application()
        application.router.add_post("/-/grant", self._grant)
        application.router.add_post("/-/release", self._release)
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
        """End at once."""
        if self.ended_at is None:
            self.ended_at = time.monotonic()
        if self._announce_task is not None:
            self._announce_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _announce(self) -> None:
        url = f"http://{self.daemon_address}/-/instances/{self.instance}"
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                self._sequence += 1
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
                # While the daemon is not up, the next announcement follows.
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    async with session.put(url, json=body) as response:
                        await response.read()
                        acked = response.status == 200 and body["state"] == "draining"
                    if acked and self.drain_acked_at is None:
                        self.drain_acked_at = time.monotonic()
                await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _grant(self, request: web.Request) -> web.Response:
        data = await request.json()
        first, last, fence = data["from"], data["target"], data["fence"]
        if any(h.fence > fence and h.first <= last and first <= h.last for h in self.held_ranges):
            return web.Response(status=409)
        now = time.monotonic()
        self.held_ranges.append(HeldRange(first, last, fence, now, now + data["hold_s"]))
        return web.Response()

    async def _release(self, request: web.Request) -> web.Response:
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
        return web.Response(body=b"answer to " + attempt.encode() + body, headers=response_headers)
