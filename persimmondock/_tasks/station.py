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
from persimmondock._domain.latencies import WorkKind
from persimmondock._domain.mechanisms import Mechanism
from persimmondock._domain.queues import Waiting, WorkQueue
from persimmondock._domain.verdict import NotRun, Reason, Verdict

if TYPE_CHECKING:
    from persimmondock._domain.messages import Call
    from persimmondock._domain.records import Backend

WATCH_EVERY_S = 0.02
RETIRED_RETRY_MS = 200
MAX_CUT_OFF = 16


@attrs.frozen
class Place:
    """The right to send one request to the backend server."""

    number: int


@attrs.define
class _Waiter:
    """A request in the queue and the future that its caller waits for."""

    call: Call
    future: asyncio.Future[Place | NotRun]


@attrs.frozen
class StationState:
    """What a backend server has and may have at one moment, for dumps and metrics."""

    instance: str
    running: int
    waiting: int
    level: int
    limit: int
    ramp: str
    ramp_level: int
    service_ms: float


class Station:
    """Lets requests into one backend server."""

    def __init__(
        self, backend: Backend, instance: str = "", without: frozenset[Mechanism] = frozenset()
    ) -> None:
        self.backend = backend
        self.instance = instance
        self.capacity = Capacity(backend.slots, without)
        self.queue = WorkQueue(enabled=Mechanism.QUEUE not in without)
        self.session = open_backend_session(backend.connections)
        self.retired = False
        self.sent: dict[int, Call] = {}
        self.cut_off: deque[Call] = deque(maxlen=MAX_CUT_OFF)
        self._alone: int | None = None
        self._number = 0
        self._waiters: dict[int, _Waiter] = {}
        self._watcher: asyncio.Task[None] | None = None

    async def enter(self, call: Call, alone: bool = False) -> Place | NotRun:
        """Wait for a place, or return why there will be none.

        Parameters
        ----------
        alone
            Whether nothing else may run at the same time.
        """
        if self.retired:
            return NotRun(Reason.BACKEND_UNREACHABLE, RETIRED_RETRY_MS)
        now = time.monotonic()
        self._number += 1
        number = self._number
        deadline = now + call.deadline_ms / 1000 - time.time()
        waiting = Waiting(number, call.may_wait, deadline, alone)
        if not self.queue and self._has_room(waiting):
            return self._start(waiting, call, now)
        refusal = self.queue.offer(waiting, self.capacity.compute_pace(now), now)
        if refusal is not None:
            return refusal
        waiter = _Waiter(call, asyncio.get_running_loop().create_future())
        self._waiters[number] = waiter
        self._pump(now)
        return await self._wait(number, waiter)

    def leave(self, place: Place, verdict: Verdict) -> None:
        """Give a place back."""
        now = time.monotonic()
        self.capacity.finish(place.number, verdict, now)
        if self._alone == place.number:
            self._alone = None
        self._pump(now)

    def describe(self) -> StationState:
        """Return the present state."""
        capacity = self.capacity
        pace = capacity.compute_pace(time.monotonic())
        return StationState(
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
            await asyncio.sleep(WATCH_EVERY_S)
        await self.close()

    async def close(self) -> None:
        """Close the connections at once."""
        if self._watcher is not None:
            self._watcher.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._watcher
        await self.session.close()

    async def _wait(self, number: int, waiter: _Waiter) -> Place | NotRun:
        try:
            return await waiter.future
        except asyncio.CancelledError:
            self._waiters.pop(number, None)
            self.queue.remove(number)
            if number in self.capacity.running:
                self.leave(Place(number), NotRun(Reason.CANCELLED))
            raise

    def _pump(self, now: float) -> None:
        """Start what has room."""
        while (first := self.queue.peek()) is not None and self._has_room(first):
            item = self.queue.take()
            assert item is not None
            if item.deadline <= now:
                self._refuse(item.number, NotRun(Reason.DEADLINE_PASSED))
                continue
            waiter = self._waiters.pop(item.number)
            waiter.future.set_result(self._start(item, waiter.call, now))

    def _shed(self, now: float) -> None:
        """Refuse what has become hopeless."""
        for shed in self.queue.shed(self.capacity.compute_pace(now), now):
            self._refuse(shed.number, shed.refusal)

    def _has_room(self, item: Waiting) -> bool:
        """Return whether a request may start now."""
        if self._alone is not None or (item.alone and self.capacity.running):
            return False
        return self.capacity.has_room()

    def _start(self, item: Waiting, call: Call, now: float) -> Place:
        self.capacity.start(item.number, WorkKind(call.may_wait, call.idempotent), now)
        if item.alone:
            self._alone = item.number
        if self._watcher is None or self._watcher.done():
            self._watcher = asyncio.create_task(self._watch())
        return Place(item.number)

    def _refuse(self, number: int, refusal: NotRun) -> None:
        """End the waiting of a request that has left the queue."""
        waiter = self._waiters.pop(number)
        if not waiter.future.done():
            waiter.future.set_result(refusal)

    async def _watch(self) -> None:
        """Look after the queue until the station is idle."""
        while self.queue or self.capacity.running:
            await asyncio.sleep(WATCH_EVERY_S)
            now = time.monotonic()
            self.capacity.check_overdue(now)
            self._shed(now)
            self._pump(now)
