"""A stand-in for a backend server of a site.

It announces itself to its daemon, accepts grants and releases of key ranges, and signs its answers.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
import uuid
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any
from weakref import WeakKeyDictionary

import aiohttp
import attrs
from aiohttp import web

from persimmondock.standins.connections import (
    close_server,
    end_handled_connection,
    reset_connection,
    reset_handled_connection,
)
from persimmondock.standins.endless import EndlessAnswers, pour_message
from persimmondock.standins.site_messages import CALLER_PORT, HOST

ANNOUNCE_INTERVAL_S = 0.2
RELEASING_INTERVAL_S = 0.1  # between announcements while keys are being released
MAX_REPLY_BYTES = 4096
ANNOUNCE_TIMEOUT_S = 1.0  # a frozen daemon does not answer
POLL_INTERVAL_S = 0.005
# Running requests are aborted, as when a process ends; aiohttp treats 0 as no time limit.
SHUTDOWN_TIMEOUT_S = 0.005
HEALTH_FAULTS = ("reset", "hang", "503")
ANSWER_FAULTS = ("repeat_last", "repeat_all", "cut_head", "reset_head")
MAX_REPEATED_ANSWERS = 50
WORK_FIELD = "X-Work-S"  # of a request: seconds that it takes
CALLING_PREFIX = "/view/"  # of the paths whose runs make calls
ORDER_PATHS = ("/-/grant", "/-/release", "/health")


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


@attrs.frozen
class RequestArrival:
    """A request that reached the backend server, whether it ran or not.

    Parameters
    ----------
    at
        Monotonic time, in seconds.
    """

    attempt: str
    at: float


@attrs.frozen
class BackendCall:
    """A call that a run of a request made.

    Parameters
    ----------
    parent
        Identifier of the attempt that was run.
    parent_at
        Monotonic time at which it had arrived for this run, in seconds.
    at
        Monotonic time of the call, in seconds.
    """

    attempt: str
    parent: str
    parent_at: float
    at: float


@attrs.frozen
class LateGrants:
    """Decides which grants get no answer and are carried out later.

    Parameters
    ----------
    ratio
        Share of the grants.
    generator
        Sequence that decides.
    min_s, max_s
        Bounds of the time from the arrival of a grant to its execution; shorter times are likelier.
    """

    ratio: float
    generator: random.Random
    min_s: float = 2.0
    max_s: float = 12.0

    def draw_delay_s(self) -> float | None:
        """Return how late the next grant is carried out, or None if it is answered."""
        if self.generator.random() >= self.ratio:
            return None
        return self.generator.triangular(self.min_s, self.max_s, self.min_s)


@attrs.frozen
class FaultyAnswers:
    """Decides which answers are disturbed, and how.

    Parameters
    ----------
    kind
        One of ``ANSWER_FAULTS``: the last answer of a connection, or all of them, are written once
        more before the next request is handled; or an answer ends within its head, with its
        connection closed or reset.
    ratio
        Share of the answers.
    generator
        Sequence that decides.
    """

    kind: str
    ratio: float
    generator: random.Random

    @property
    def repeats(self) -> bool:
        """Whether earlier answers are repeated."""
        return self.kind.startswith("repeat_")

    def is_due(self) -> bool:
        """Return whether the next answer is disturbed."""
        return self.generator.random() < self.ratio

    def choose_repeated(self, answers: deque[bytes]) -> bytes:
        """Return what is written before a request is handled."""
        return b"".join(list(answers)[-1:] if self.kind == "repeat_last" else answers)

    def cut(self, answer: bytes) -> bytes:
        """Return an answer up to a byte within its head."""
        return answer[: self.generator.randrange(answer.index(b"\r\n\r\n"))]


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
    answer_bytes
        Size up to which answers are filled.
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
    announce_after_s
        Time from the start to the first announcement, in seconds.
    late_grants
        Decides which grants are late; None if all are answered.
    health_fault
        One of ``HEALTH_FAULTS``, which all health checks meet; empty for none.
    faulty_answers
        Decides which answers are disturbed; None for no fault.
    names_orders
        Whether answers to grants, releases and health checks name the request that they are for.
    refuses_once
        Whether each request is refused for want of room when it comes for the first time.
    refused_ratio
        Share of the requests that are refused for want of room.
    called_path
        Path at the daemon that runs call with ``calling_ratio``; empty for no calls. A run whose
        call is not answered ends with status 500.
    failure_status
        Status of the answers to requests that have run; 0 for success.
    status_line
        First line of the answers to requests that have run, sent as it is; empty for a true one.
    endless_answers
        Which answers do not end; None for no fault.
    endless_attempts
        Requests that had such an answer.
    """

    service: str
    address: str
    daemon_address: str
    failure_domain: str
    keyed: bool = False
    grants_in_heartbeats: bool = False
    slots: int = 8
    work_s: float = 0.01
    answer_bytes: int = 0
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
    announce_after_s: float = 0.0
    late_grants: LateGrants | None = None
    health_fault: str = ""
    faulty_answers: FaultyAnswers | None = None
    names_orders: bool = True
    refuses_once: bool = False
    refused_ratio: float = 0.0
    called_path: str = ""
    calling_ratio: float = 0.3
    arrivals: list[RequestArrival] = attrs.field(factory=list)
    calls: list[BackendCall] = attrs.field(factory=list)
    generator: random.Random = attrs.field(factory=random.Random)
    failure_status: int = 0
    status_line: bytes = b""
    endless_answers: EndlessAnswers | None = None
    endless_attempts: set[str] = attrs.field(factory=set)
    _refused: set[str] = attrs.field(factory=set)
    # What was answered on each open connection.
    _answers: WeakKeyDictionary[Any, deque[bytes]] = attrs.field(factory=WeakKeyDictionary)
    _active_keys: list[int] = attrs.field(factory=list)
    _freed: list[list[Any]] = attrs.field(factory=list)
    _releasing: list[HeldRange] = attrs.field(factory=list)
    # Highest fencing token that was granted, by range of keys.
    _seen_fences: dict[tuple[int, int], int] = attrs.field(factory=dict)
    _sequence: int = 0
    _runner: web.AppRunner | None = None
    _announce_task: asyncio.Task[None] | None = None
    _late_tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def start(self) -> None:
        """Listen, and announce the instance until it is stopped."""
        application = web.Application(middlewares=[self._send_answer])
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
        """Stop without waiting for running requests; answers that are being sent are completed."""
        self._end_tasks()
        if self._runner is not None:
            await close_server(self._runner)

    async def crash(self, resets: bool = True) -> None:
        """End all connections and stop, as when the process is killed.

        Parameters
        ----------
        resets
            Whether connections end with a reset, and not with an orderly close.
        """
        self._end_tasks()
        if self._runner is not None:
            end = reset_handled_connection if resets else end_handled_connection
            await close_server(self._runner, end)

    def _end_tasks(self) -> None:
        if self.ended_at is None:
            self.ended_at = time.monotonic()
        if self._announce_task is not None:
            self._announce_task.cancel()
        for task in self._late_tasks:
            task.cancel()

    def stop_announcing(self) -> None:
        """Send no announcements by itself any more."""
        if self._announce_task is not None:
            self._announce_task.cancel()

    def build_next_announcement(self) -> dict[str, Any]:
        """Return what it would announce now."""
        self._sequence += 1
        return self._build_announcement()

    async def send_announcement(self, body: dict[str, Any]) -> int:
        """Send an announcement and return the status, or 0 if there is no answer."""
        return await self._call_daemon("PUT", body)

    async def send_leave(self) -> int:
        """Withdraw the announcements and return the status, or 0 if there is no answer."""
        return await self._call_daemon("DELETE", {"born": self.born_ms})

    async def _call_daemon(self, method: str, body: dict[str, Any]) -> int:
        url = f"http://{self.daemon_address}/-/instances/{self.instance}"
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(method, url, json=body) as response,
            ):
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return 0

    async def _announce(self) -> None:
        url = f"http://{self.daemon_address}/-/instances/{self.instance}"
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
        await asyncio.sleep(self.announce_after_s)
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
        rows = [
            (first, last, fence)
            for first, last, fence, _ in reply["holds"]
            if self._accept_fence(first, last, fence)
        ]
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

    @web.middleware
    async def _send_answer(
        self, request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
    ) -> web.StreamResponse:
        """Name the request in its answer, and disturb the answer if a fault says so."""
        transport = request.transport
        if transport is None:
            return await handler(request)
        if request.path not in ORDER_PATHS:
            arrived = request.headers.get("X-Attempt-Id", "")
            self.arrivals.append(RequestArrival(arrived, time.monotonic()))
        endless = self.endless_answers
        if endless is not None and endless.concerns(request.path):
            return await self._answer_without_end(request, transport, endless)
        answers = self._answers.setdefault(transport, deque(maxlen=MAX_REPEATED_ANSWERS))
        fault = self.faulty_answers
        if fault is not None and not fault.is_due():
            fault = None
        if fault is not None and fault.repeats:
            transport.write(fault.choose_repeated(answers))
        response = await handler(request)
        assert isinstance(response, web.Response)
        attempt = request.headers.get("X-Attempt-Id")
        if attempt is not None and (self.names_orders or request.path not in ORDER_PATHS):
            response.headers["X-Attempt-Id"] = attempt
        answer = _render_answer(response)
        if self.status_line and request.path not in ORDER_PATHS:
            transport.write(self.status_line + answer[answer.index(b"\r\n") :])
            return await _leave_unanswered()
        if fault is not None and not fault.repeats:
            transport.write(fault.cut(answer))
            if fault.kind == "reset_head":
                await asyncio.sleep(POLL_INTERVAL_S)
                reset_connection(transport)
            else:
                transport.close()
            return await _leave_unanswered()
        answers.append(answer)
        return response

    async def _answer_without_end(
        self,
        request: web.Request,
        transport: asyncio.WriteTransport,
        endless: EndlessAnswers,
    ) -> web.Response:
        """Send an answer that does not end until the fault does; the request does not run."""
        attempt = request.headers.get("X-Attempt-Id", "")
        self.endless_attempts.add(attempt)
        start = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Server-Signature: signed-by-{self.instance}\r\n"
        )
        await pour_message(
            transport, endless.form, start.encode(), lambda: self.endless_answers is endless
        )
        reset_connection(transport)
        return await _leave_unanswered()

    async def _grant(self, request: web.Request) -> web.Response:
        if self._is_for_other_instance(request):
            return self._refuse_for_other_instance()
        data = await request.json()
        arrived_at = time.monotonic()
        delay_s = self.late_grants.draw_delay_s() if self.late_grants is not None else None
        if delay_s is None:
            return web.Response(status=200 if self._apply_grant(data, arrived_at) else 409)
        task = asyncio.create_task(self._apply_late_grant(data, arrived_at, delay_s))
        self._late_tasks.add(task)
        task.add_done_callback(self._late_tasks.discard)
        return await _leave_unanswered()

    async def _apply_late_grant(
        self, data: dict[str, Any], arrived_at: float, delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        self._apply_grant(data, arrived_at)

    def _apply_grant(self, data: dict[str, Any], arrived_at: float) -> bool:
        """Hold keys for a time counted from the arrival of their grant; return if that is valid."""
        first, last, fence = data["from"], data["target"], data["fence"]
        if not self._accept_fence(first, last, fence):
            return False
        now, until = time.monotonic(), arrived_at + data["hold_s"]
        if until > now:
            self.held_ranges.append(HeldRange(first, last, fence, now, until))
        return True

    def _accept_fence(self, first: int, last: int, fence: int) -> bool:
        """Remember a fencing token unless a higher one was seen on one of the keys."""
        seen = self._seen_fences
        if any(
            other > fence and low <= last and first <= high for (low, high), other in seen.items()
        ):
            return False
        seen[first, last] = fence
        return True

    async def _release(self, request: web.Request) -> web.Response:
        """Stop holding a key range; answer when no request for its keys is running."""
        if self._is_for_other_instance(request):
            return self._refuse_for_other_instance()
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

    async def _show_health(self, request: web.Request) -> web.Response:
        self.health_checks += 1
        headers = {"X-Instance-Id": self.instance}
        match self.health_fault:
            case "reset":
                if request.transport is not None:
                    reset_connection(request.transport)
                return await _leave_unanswered()
            case "hang":
                return await _leave_unanswered()
        if self._is_for_other_instance(request):
            return self._refuse_for_other_instance()
        failing = self.draining or self.leaving or bool(self.health_fault)
        headers |= self._build_notice_headers()
        return web.Response(status=503 if failing else 200, headers=headers)

    def _is_for_other_instance(self, request: web.Request) -> bool:
        return request.headers.get("X-Expected-Instance", self.instance) != self.instance

    def _refuse_for_other_instance(self) -> web.Response:
        return web.Response(status=421, headers={"X-Instance-Id": self.instance})

    def _build_notice_headers(self) -> dict[str, str]:
        headers = {"Server-Limit": self.limit} if self.limit else {}
        return headers | {"Server-Leaving": "1"} if self.leaving else headers

    async def _serve(self, request: web.Request) -> web.Response:
        attempt = request.headers.get("X-Attempt-Id", "")
        key = int(request.headers.get("X-Shard-Key", "-1"))
        if self._is_for_other_instance(request):
            return self._refuse_for_other_instance()
        if self.keyed and not self._holds_key(key):
            return web.Response(status=421, headers={"X-Not-Executed": "1"})
        if self.refuses_once and attempt not in self._refused:
            self._refused.add(attempt)
            return web.Response(status=503, headers={"X-Not-Executed": "1"})
        if self.generator.random() < self.refused_ratio:
            return web.Response(status=503, headers={"X-Not-Executed": "1"})
        work_s = float(request.headers.get(WORK_FIELD, self.work_s))
        body = await request.read()
        self.runs.append(RequestRun(attempt, key, time.monotonic(), dict(request.headers)))
        self._active_keys.append(key)
        calls = bool(self.called_path) and request.path.startswith(CALLING_PREFIX)
        is_served = True
        try:
            await asyncio.sleep(work_s)
            if calls and self.generator.random() < self.calling_ratio:
                is_served = await self._make_call(request, attempt)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self._active_keys.remove(key)
        response_headers = {"X-Server-Signature": f"signed-by-{self.instance}"}
        response_headers |= self._build_notice_headers()
        if not is_served:
            return web.Response(status=500, headers=response_headers)
        answer = b"answer to " + attempt.encode() + body
        return web.Response(
            status=self.failure_status or 200,
            body=answer.ljust(self.answer_bytes, b"."),
            headers=response_headers,
        )

    async def _make_call(self, request: web.Request, parent: str) -> bool:
        """Call another service through the daemon; return whether the call was answered."""
        now = time.monotonic()
        parent_at = next(a.at for a in reversed(self.arrivals) if a.attempt == parent)
        attempt = f"{parent}.{self.instance}.{len(self.calls)}"
        self.calls.append(BackendCall(attempt, parent, parent_at, now))
        host = self.daemon_address.rpartition(":")[0]
        left_s = int(request.headers["X-Timeout-Ms"]) / 1000 - (now - parent_at)
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Timeout-Ms": str(max(1, int(1000 * left_s))),
        }
        url = f"http://{host}:{CALLER_PORT}{self.called_path}{attempt}"
        timeout = aiohttp.ClientTimeout(total=max(0.001, left_s))
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, headers=headers) as response,
            ):
                await response.read()
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False


def _render_answer(response: web.Response) -> bytes:
    """Return the bytes of an answer."""
    body = response.body
    assert body is None or isinstance(body, bytes)
    fields = [(name, value) for name, value in response.headers.items() if name != "Content-Length"]
    fields.append(("Content-Length", str(len(body or b""))))
    lines = [f"HTTP/1.1 {response.status} {response.reason}"]
    lines += [f"{name}: {value}" for name, value in fields]
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


async def _leave_unanswered() -> web.Response:
    """Wait until the client closes the connection, which cancels the handler."""
    while True:
        await asyncio.sleep(ANNOUNCE_TIMEOUT_S)
