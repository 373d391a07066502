"""Admission control for one backend server: connections, queue and concurrency limit."""

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
    """Permission to send one request to the backend server.

    Parameters
    ----------
    number
        Identifies the request at its admission controller.
    """

    number: int


@attrs.define
class _Waiter:
    """A queued request and the future that its caller awaits."""

    call: Call
    future: asyncio.Future[Permit | NotRun]


@attrs.frozen
class AdmissionState:
    """Snapshot of the load and the limits of a backend server, for dumps and metrics.

    Parameters
    ----------
    instance
        Identifies the process of the backend server; empty if it reports none.
    running
        Number of requests being run.
    waiting
        Number of requests in the queue.
    level
        Number of requests that may run at the same time: the smallest of the backend server's
        slots, ``limit`` and ``ramp_level``, without mechanisms that are switched off.
    limit
        Adaptive concurrency limit.
    ramp
        Name of the state of the ramp, in lower case.
    ramp_level
        Concurrency that the ramp allows.
    service_ms
        Estimated time of a request in milliseconds; 0 before the first estimate.
    """

    instance: str
    running: int
    waiting: int
    level: int
    limit: int
    ramp: str
    ramp_level: int
    service_ms: float


class AdmissionController:
    """Admits requests to one backend server within its concurrency limit.

    Parameters
    ----------
    instance
        Identifies the process of the backend server; empty if it reports none.
    disabled
        Mechanisms that are switched off.

    Attributes
    ----------
    sent_calls
        Calls handed to the backend server whose outcome has not been recorded, by permit number.
    truncated_calls
        Latest calls whose answers were truncated since the last complete answer.
    """

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
        """Wait for a permit, or return why none is granted.

        Parameters
        ----------
        alone
            Whether no other request may run on the backend server at the same time.
        """
        if self.retired:
            return NotRun(Reason.BACKEND_UNREACHABLE, RETIRED_RETRY_MS)
        now = time.monotonic()
        self._last_number += 1
        number = self._last_number
        deadline = now + call.deadline_ms / 1000 - time.time()
        item = QueuedRequest(number, call.may_wait, deadline, alone)
        if not self.queue and self._has_room(item):
            return self._start(item, call, now)
        refusal = self.queue.offer(item, self.capacity.compute_service_rate(now), now)
        if refusal is not None:
            return refusal
        waiter = _Waiter(call, asyncio.get_running_loop().create_future())
        self._waiters[number] = waiter
        self._start_queued(now)
        return await self._wait(number, waiter)

    def release(self, permit: Permit, verdict: Verdict) -> None:
        """Return a permit with the outcome of its request, and start queued requests."""
        now = time.monotonic()
        self.capacity.finish(permit.number, verdict, now)
        if self._exclusive_number == permit.number:
            self._exclusive_number = None
        self._start_queued(now)

    def describe(self) -> AdmissionState:
        """Return a snapshot for dumps and metrics."""
        capacity = self.capacity
        service_rate = capacity.compute_service_rate(time.monotonic())
        return AdmissionState(
            instance=self.instance,
            running=len(capacity.running),
            waiting=len(self.queue),
            level=capacity.level,
            limit=capacity.limit.value,
            ramp=type(capacity.ramp.state).__name__.lower(),
            ramp_level=capacity.ramp.level,
            service_ms=round(1000 * (service_rate.service_s or 0.0), 1),
        )

    async def retire(self) -> None:
        """Refuse queued requests, wait for running ones, then close the connections."""
        self.retired = True
        for number in list(self._waiters):
            self.queue.remove(number)
            self._refuse(number, NotRun(Reason.BACKEND_UNREACHABLE, RETIRED_RETRY_MS))
        while self.capacity.running:
            await asyncio.sleep(MONITOR_INTERVAL_S)
        await self.close()

    async def close(self) -> None:
        """Stop the monitor and close the connections at once."""
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
            # The permit may have been granted before the cancellation was delivered.
            if number in self.capacity.running:
                self.release(Permit(number), NotRun(Reason.CANCELLED))
            raise

    def _start_queued(self, now: float) -> None:
        """Start queued requests while there is capacity."""
        while (first := self.queue.peek()) is not None and self._has_room(first):
            item = self.queue.take()
            assert item is not None
            if item.deadline <= now:
                self._refuse(item.number, NotRun(Reason.DEADLINE_PASSED))
                continue
            waiter = self._waiters.pop(item.number)
            waiter.future.set_result(self._start(item, waiter.call, now))

    def _shed_queued(self, now: float) -> None:
        """Refuse queued requests that can no longer be answered before their deadlines."""
        for shed in self.queue.shed(self.capacity.compute_service_rate(now), now):
            self._refuse(shed.number, shed.refusal)

    def _has_room(self, item: QueuedRequest) -> bool:
        """Return whether a request may start now, considering requests that must run alone."""
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
        """Resolve the future of a request that has been removed from the queue."""
        waiter = self._waiters.pop(number)
        if not waiter.future.done():
            waiter.future.set_result(refusal)

    async def _monitor(self) -> None:
        """Update the capacity and the queue periodically until the controller is idle."""
        while self.queue or self.capacity.running:
            await asyncio.sleep(MONITOR_INTERVAL_S)
            now = time.monotonic()
            self.capacity.check_overdue(now)
            self._shed_queued(now)
            self._start_queued(now)
