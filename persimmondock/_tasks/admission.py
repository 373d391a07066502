"""One backend server as its gate sees it: its connections, its queue and its capacity."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import deque
from typing import TYPE_CHECKING

import attrs

from persimmondock._adapters.backend_client import open_backend_session
from persimmondock._domain.capacity import Capacity
from persimmondock._domain.latencies import RequestKind
from persimmondock._domain.mechanisms import Mechanism
from persimmondock._domain.queues import QueuedRequest, WorkQueue
from persimmondock._domain.verdict import NotRun, Reason, Verdict

if TYPE_CHECKING:
    from persimmondock._domain.messages import Call
    from persimmondock._domain.records import Backend

MONITOR_INTERVAL_S = 0.02
RETIRED_RETRY_MS = 200
MAX_TRUNCATED_CALLS = 16


@attrs.frozen
class Permit:
    """The right to send one request to the backend server."""

    number: int


@attrs.define
class _Waiter:
    """A request in the queue and the future that its caller waits for."""

    call: Call
    future: asyncio.Future[Permit | NotRun]


@attrs.frozen
class AdmissionState:
    """What a backend server has and may have at one moment, for dumps and metrics."""

    instance: str
    running: int
    waiting: int
    level: int
    limit: int
    ramp: str
    ramp_level: int
    service_ms: float


class AdmissionController:
    """Lets requests into one backend server."""

    def __init__(
        self, backend: Backend, instance: str = "", disabled: frozenset[Mechanism] = frozenset()
    ) -> None:
        self.backend = backend
        self.instance = instance
        self.capacity = Capacity(backend.slots, disabled)
        self.queue = WorkQueue(enabled=Mechanism.QUEUE not in disabled)
        self.session = open_backend_session(backend.connections)
        self.retired = False
        self.sent_calls: dict[int, Call] = {}
        self.truncated_calls: deque[Call] = deque(maxlen=MAX_TRUNCATED_CALLS)
        self._exclusive_number: int | None = None
        self._last_number = 0
        self._waiters: dict[int, _Waiter] = {}
        self._monitor_task: asyncio.Task[None] | None = None

    async def acquire(self, call: Call, alone: bool = False) -> Permit | NotRun:
        """Wait for a place, or return why there will be none.

        Parameters
        ----------
        alone
            Whether nothing else may run at the same time.
        """
        if self.retired:
            return NotRun(Reason.BACKEND_UNREACHABLE, RETIRED_RETRY_MS)
        now = time.monotonic()
        self._last_number += 1
        number = self._last_number
        deadline = now + call.deadline_ms / 1000 - time.time()
        waiting = QueuedRequest(number, call.may_wait, deadline, alone)
        if not self.queue and self._has_room(waiting):
            return self._start(waiting, call, now)
        refusal = self.queue.offer(waiting, self.capacity.compute_pace(now), now)
        if refusal is not None:
            return refusal
        waiter = _Waiter(call, asyncio.get_running_loop().create_future())
        self._waiters[number] = waiter
        self._start_queued(now)
        return await self._wait(number, waiter)

    def release(self, permit: Permit, verdict: Verdict) -> None:
        """Give a place back."""
        now = time.monotonic()
        self.capacity.finish(permit.number, verdict, now)
        if self._exclusive_number == permit.number:
            self._exclusive_number = None
        self._start_queued(now)

    def describe(self) -> AdmissionState:
        """Return the present state."""
        capacity = self.capacity
        pace = capacity.compute_pace(time.monotonic())
        return AdmissionState(
            instance=self.instance,
            running=len(capacity.running),
            waiting=len(self.queue),
            level=capacity.level,
            limit=capacity.limit.value,
            ramp=type(capacity.ramp.state).__name__.lower(),
            ramp_level=capacity.ramp.level,
            service_ms=round(1000 * (pace.service_s or 0.0), 1),
        )

    async def retire(self) -> None:
        """Refuse what waits, let what runs end, and close the connections."""
        self.retired = True
        for number in list(self._waiters):
            self.queue.remove(number)
            self._refuse(number, NotRun(Reason.BACKEND_UNREACHABLE, RETIRED_RETRY_MS))
        while self.capacity.running:
            await asyncio.sleep(MONITOR_INTERVAL_S)
        await self.close()

    async def close(self) -> None:
        """Close the connections at once."""
        if self._monitor_task is not None:
            self._monitor_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._monitor_task
        await self.session.close()

    async def _wait(self, number: int, waiter: _Waiter) -> Permit | NotRun:
        try:
            return await waiter.future
        except asyncio.CancelledError:
            self._waiters.pop(number, None)
            self.queue.remove(number)
            if number in self.capacity.running:
                self.release(Permit(number), NotRun(Reason.CANCELLED))
            raise

    def _start_queued(self, now: float) -> None:
        """Start what has room."""
        while (first := self.queue.peek()) is not None and self._has_room(first):
            item = self.queue.take()
            assert item is not None
            if item.deadline <= now:
                self._refuse(item.number, NotRun(Reason.DEADLINE_PASSED))
                continue
            waiter = self._waiters.pop(item.number)
            waiter.future.set_result(self._start(item, waiter.call, now))

    def _shed_queued(self, now: float) -> None:
        """Refuse what has become hopeless."""
        for shed in self.queue.shed(self.capacity.compute_pace(now), now):
            self._refuse(shed.number, shed.refusal)

    def _has_room(self, item: QueuedRequest) -> bool:
        """Return whether a request may start now."""
        if self._exclusive_number is not None or (item.alone and self.capacity.running):
            return False
        return self.capacity.has_room()

    def _start(self, item: QueuedRequest, call: Call, now: float) -> Permit:
        self.capacity.start(item.number, RequestKind(call.may_wait, call.idempotent), now)
        if item.alone:
            self._exclusive_number = item.number
        if self._monitor_task is None or self._monitor_task.done():
            self._monitor_task = asyncio.create_task(self._monitor())
        return Permit(item.number)

    def _refuse(self, number: int, refusal: NotRun) -> None:
        """End the waiting of a request that has left the queue."""
        waiter = self._waiters.pop(number)
        if not waiter.future.done():
            waiter.future.set_result(refusal)

    async def _monitor(self) -> None:
        """Look after the queue until the station is idle."""
        while self.queue or self.capacity.running:
            await asyncio.sleep(MONITOR_INTERVAL_S)
            now = time.monotonic()
            self.capacity.watch(now)
            self._shed_queued(now)
            self._start_queued(now)
