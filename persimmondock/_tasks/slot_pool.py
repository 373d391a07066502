"""Requests that run at one backend server, and those that wait for one of its slots."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.fair_share import FairShare
from persimmondock._domain.forwarding import NO_KEY, ForwardedRequest
from persimmondock._domain.gate_queue import (
    GateQueue,
    QueuedRequest,
    ServiceTimes,
    compute_retry_after_ms,
    is_worth_queueing,
)
from persimmondock._domain.gate_status import count_levels
from persimmondock._domain.verdict import NotRun, Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._domain.call_rates import RunKind
    from persimmondock._domain.stop_deadline import StopDeadline
    from persimmondock._tasks.send_limits import SendLimits

QUEUE_CHECK_INTERVAL_S = 0.05
STOPPING_RETRY_MS = 300


@attrs.define
class RunningRequest:
    """A request that is running or about to be sent.

    Parameters
    ----------
    kind
        What counts as a run in `CallRates` once the request is sent, else None.
    calls_paid
        Whether the calls of a retried request are charged to the retry budgets.
    reserved
        Whether it holds a reservation of `ArrivalLimit`.
    """

    route: str
    started_at: float
    kind: RunKind | None = None
    calls_paid: bool = False
    reserved: bool = True


class SlotPool:
    """Admits requests to the slots of one backend server, in the order of its queue.

    Parameters
    ----------
    limits
        Bounds on what may be sent, besides the slots.
    count_slots
        Returns the number of requests that may run concurrently.
    stop
        Instant by which requests have to be answered.

    Attributes
    ----------
    running
        Requests that hold a slot, by number.
    service_times
        Times that requests took at the backend server.
    """

    def __init__(
        self, limits: SendLimits, count_slots: Callable[[], int], stop: StopDeadline
    ) -> None:
        self.running: dict[int, RunningRequest] = {}
        self.service_times = ServiceTimes()
        self._limits = limits
        self._count_slots = count_slots
        self._stop = stop
        self._queue = GateQueue()
        self._fair_share = FairShare()
        self._slot_futures: dict[int, asyncio.Future[NotRun | None]] = {}
        self._last_number = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    def count_waiting_levels(self) -> tuple[int, ...]:
        """Return the requests that wait for a slot by priority number."""
        return count_levels(self._queue.list_priorities())

    async def acquire(self, request: ForwardedRequest, now: float) -> int | NotRun:
        """Wait for a slot; return the number of the request that holds it, or the refusal."""
        self._last_number += 1
        number = self._last_number
        self._fair_share.record_asked(request.priority, request.stands_for, now)
        if self._queue or not self._has_room(now):
            refusal = await self._wait_for_slot(request, number, now)
            if refusal is not None:
                return refusal
        else:
            self._start(number, request.route, now)
        self._fair_share.record_served(request.priority, read_clock())
        return number

    def release(self, number: int) -> None:
        """Free the slot of a request, and start those that wait."""
        self._finish(number)
        self.start_waiting()

    def record_send(self, number: int, now: float) -> NotRun | None:
        """Record that a request is sent now, or return why there is no room any more."""
        running = self.running[number]
        if running.reserved:
            running.reserved = False
            self._limits.arrivals.release()
        return self._limits.record_send(now)

    def record_time(self, request: ForwardedRequest, number: int) -> None:
        """Record the time that a request took, or a lower bound of it."""
        elapsed_s = read_clock() - self.running[number].started_at
        self.service_times.record(request.route, elapsed_s)

    def refuse_hopeless(self) -> None:
        """Refuse the waiting requests for which the named limit leaves no room in time."""
        if not self._limits.named_bounds:
            return
        now, interval_s = read_clock(), self._limits.named_bounds[0].interval_s
        arrivals, bounds = self._limits.arrivals, self._limits.named_bounds
        first_wait_s = arrivals.find_next_send_at(bounds, now) - now
        hopeless = self._queue.pop_hopeless(first_wait_s, interval_s, now)
        wait_s = first_wait_s + len(self._queue) * interval_s
        for queued in hopeless:
            self._refuse(queued, self._limits.refuse(wait_s, now))

    def _start(self, number: int, route: str, now: float) -> None:
        self.running[number] = RunningRequest(route, now)
        self._limits.arrivals.reserve()

    def _finish(self, number: int) -> None:
        running = self.running.pop(number, None)
        if running is not None and running.reserved:
            self._limits.arrivals.release()

    def _has_room(self, now: float) -> bool:
        return len(self.running) < self._count_slots() and self._limits.has_room(now)

    def _estimate_service_time(self, now: float) -> float:
        """Return the mean service time, or the mean age of running requests if longer, in seconds.

        The ages reveal a backend server that has stopped responding.
        """
        if not self.running:
            return self.service_times.mean_s
        ages = [now - running.started_at for running in self.running.values()]
        return max(self.service_times.mean_s, sum(ages) / len(ages))

    async def _wait_for_slot(
        self, request: ForwardedRequest, number: int, now: float
    ) -> NotRun | None:
        """Wait for a slot; return None once the request has one, or the refusal."""
        rank, urgent_share, objective_at = request.priority, 0.0, request.objective_at
        service_s = self.service_times.estimate_service_s(request.route)
        mean_service_s = self._estimate_service_time(now)
        slots = self._count_slots()
        if self._limits.bounds.service_room:
            rank = self._fair_share.choose_rank(request.priority, now)
            urgent_share = self._fair_share.compute_urgent_share(rank, mean_service_s, slots)
            objective_at -= self.service_times.estimate_excess_s(request.route)
        wait_s = self._queue.estimate_wait(
            rank, request.deadline, mean_service_s, slots, urgent_share
        )
        paced_wait_s = self._estimate_paced_wait(rank, request.deadline, now)
        is_limited = bool(self._limits.named_bounds) and paced_wait_s > wait_s
        wait_s = max(wait_s, paced_wait_s)
        if not is_worth_queueing(
            wait_s,
            service_s,
            now,
            objective_at,
            request.deadline,
            keyed=request.key != NO_KEY,
        ):
            if is_limited:
                return self._limits.refuse(wait_s, now)
            return NotRun(Reason.OVERLOADED, compute_retry_after_ms(wait_s))
        queued = QueuedRequest(
            rank,
            number,
            service_s,
            request.deadline,
            request.objective_at,
            request.key != NO_KEY,
        )
        future: asyncio.Future[NotRun | None] = asyncio.get_running_loop().create_future()
        self._slot_futures[number] = future
        self._queue.add(queued)
        self._set_timer()
        try:
            refusal = await future
        except asyncio.CancelledError:
            self._queue.remove(queued)
            self._finish(number)
            self.start_waiting()
            raise
        finally:
            self._slot_futures.pop(number, None)
        if refusal is None:
            self.running[number].route = request.route
        return refusal

    def _estimate_paced_wait(self, priority: int, deadline: float, now: float) -> float:
        """Return the expected wait until the bounds on arrivals leave room, in seconds."""
        bounds = self._limits.list_bounds(now)
        if not bounds:
            return 0.0
        ahead = self._queue.count_ahead(priority, deadline)
        wait_s = self._limits.arrivals.find_next_send_at(bounds, now) - now
        return wait_s + (ahead * max(bound.interval_s for bound in bounds) if ahead else 0.0)

    def start_waiting(self) -> None:
        """Start queued requests while there is room; refuse those that would be too late."""
        now = read_clock()
        for queued in self._queue.pop_late(self._stop, now):
            self._refuse(queued, NotRun(Reason.DRAINING, STOPPING_RETRY_MS))
        for queued in self._queue.pop_unanswerable(now):
            self._refuse(queued, NotRun(Reason.DEADLINE_PASSED))
        while self._queue and self._has_room(now):
            next_queued = self._queue.pop()
            assert next_queued is not None
            future = self._slot_futures.get(next_queued.number)
            if future is None or future.done():
                continue
            self._start(next_queued.number, "", now)
            future.set_result(None)
        if self._queue:
            self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                QUEUE_CHECK_INTERVAL_S, self._on_timer
            )

    def _on_timer(self) -> None:
        self._timer = None
        self.start_waiting()

    def refuse_all_waiting(self, refusal: NotRun) -> None:
        """Refuse all requests that wait for a slot."""
        while (queued := self._queue.pop()) is not None:
            self._refuse(queued, refusal)

    def _refuse(self, queued: QueuedRequest, refusal: NotRun) -> None:
        future = self._slot_futures.get(queued.number)
        if future is not None and not future.done():
            future.set_result(refusal)
