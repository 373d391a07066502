"""Requests that wait at a gate for a free slot of its backend server.

The queue is ordered by priority number and then by deadline. Calls made by running requests have
early deadlines and so go first; the work already done for the running requests depends on them. A
request is queued only if it will probably be answered within its latency objective or, if that
cannot be met any more, after a short wait. Other requests are refused at once, while their callers
can still retry elsewhere. Requests for a key cannot be served elsewhere, so they may wait for as
long as their caller would wait before a retry.
"""

from __future__ import annotations

import bisect
import math
from collections import Counter
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from persimmondock._domain.stop_deadline import StopDeadline

INITIAL_SERVICE_S = 0.1  # estimate before the first answer, typical of the sites' requests
SPREAD_FACTOR = 2.0  # mean deviations above the mean that a request is given
MEAN_WEIGHT = 0.1  # follows a change within about ten answers
SLOW_MEAN_WEIGHT = 0.05  # for decisions that are costly to revert
MAX_LATE_WAIT_SHARE = 0.25  # of the time to the deadline, if the objective cannot be met
MAX_OWNER_WAIT_SHARE = 1 / 3  # of the time to the deadline; callers retry after at most as long
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 1_500


@attrs.define
class ServiceTimes:
    """Moving averages of the service time, per route and overall.

    Parameters
    ----------
    mean_s, slow_mean_s
        Overall means of about the last ten and twenty answers, in seconds; 0 before the first.
    """

    mean_s: float = 0.0
    slow_mean_s: float = 0.0
    _route_mean_s: dict[str, float] = attrs.field(factory=dict)
    _route_spread_s: dict[str, float] = attrs.field(factory=dict)
    _answer_counts: Counter[str] = attrs.field(factory=Counter)

    def record(self, route: str, duration_s: float) -> None:
        """Record the service time of an answered request."""
        self._answer_counts[""] += 1
        self._answer_counts[route] += 1
        count = self._answer_counts[""]
        self.mean_s = _update_mean(self.mean_s, duration_s, MEAN_WEIGHT, count)
        self.slow_mean_s = _update_mean(self.slow_mean_s, duration_s, SLOW_MEAN_WEIGHT, count)
        previous_s = self._route_mean_s.get(route, 0.0)
        self._route_mean_s[route] = _update_mean(
            previous_s, duration_s, MEAN_WEIGHT, self._answer_counts[route]
        )
        if previous_s:
            known_s = self._route_spread_s.get(route, 0.0)
            off_s = abs(duration_s - previous_s)
            self._route_spread_s[route] = known_s + MEAN_WEIGHT * (off_s - known_s)

    def estimate_service_s(self, route: str) -> float:
        """Return the expected service time of a request of a route, in seconds."""
        return self._route_mean_s.get(route) or self.mean_s or INITIAL_SERVICE_S

    def estimate_most_s(self, route: str) -> float:
        """Return the time within which most requests of a route are answered, in seconds."""
        return self.estimate_service_s(route) + self.estimate_excess_s(route)

    def estimate_excess_s(self, route: str) -> float:
        """Return by how much most requests of a route exceed their mean at most, in seconds."""
        return SPREAD_FACTOR * self._route_spread_s.get(route, 0.0)


def _update_mean(mean_s: float, duration_s: float, weight: float, count: int) -> float:
    """Return the new mean; the first answers have equal weight, since they may differ tenfold."""
    return mean_s + max(weight, 1 / count) * (duration_s - mean_s)


@attrs.define(eq=False)
class QueuedRequest:
    """One request in the queue.

    Parameters
    ----------
    number
        Number by which the gate identifies the request.
    service_s
        Expected service time in seconds.
    deadline
        Instant after which the answer is of no use.
    objective_at
        Instant at which the latency objective is missed.
    keyed
        Whether only this gate can serve the request.
    """

    priority: int
    number: int
    service_s: float
    deadline: float
    objective_at: float = math.inf
    keyed: bool = False


@attrs.define
class GateQueue:
    """Queued requests, in the order in which they are sent."""

    _queued: list[QueuedRequest] = attrs.field(factory=list)

    def __len__(self) -> int:
        return len(self._queued)

    def list_priorities(self) -> list[int]:
        """Return the priority numbers of the requests, in their order."""
        return [queued.priority for queued in self._queued]

    def estimate_wait(
        self,
        priority: int,
        deadline: float,
        mean_service_s: float,
        slots: int,
        urgent_share: float = 0.0,
    ) -> float:
        """Return the expected time in the queue of a new request, in seconds.

        Parameters
        ----------
        mean_service_s
            Mean service time of running requests; with ``slots`` of them, the next one ends after
            ``1 / slots`` of it on average.
        urgent_share
            Share of the slots that more urgent requests are going to take meanwhile.
        """
        position = (priority, deadline)
        ahead_s = sum(
            queued.service_s
            for queued in self._queued
            if (queued.priority, queued.deadline) <= position
        )
        return (mean_service_s + ahead_s) / max(1, slots) / (1.0 - urgent_share)

    def count_ahead(self, priority: int, deadline: float) -> int:
        """Return the number of requests that would be sent before a new one."""
        return sum(
            (queued.priority, queued.deadline) <= (priority, deadline) for queued in self._queued
        )

    def add(self, request: QueuedRequest) -> None:
        """Insert a request."""
        bisect.insort(self._queued, request, key=_sort_key)

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request if it is queued."""
        if request in self._queued:
            self._queued.remove(request)

    def pop(self) -> QueuedRequest | None:
        """Remove and return the next request, or None if the queue is empty."""
        return self._queued.pop(0) if self._queued else None

    def pop_hopeless(
        self, first_wait_s: float, interval_s: float, now: float
    ) -> list[QueuedRequest]:
        """Remove and return requests that are not worth queueing any more.

        Parameters
        ----------
        first_wait_s
            Seconds until the first request is sent.
        interval_s
            Seconds between two requests.
        """
        kept: list[QueuedRequest] = []
        hopeless: list[QueuedRequest] = []
        for request in self._queued:
            wait_s = first_wait_s + len(kept) * interval_s if kept else first_wait_s
            worth_queueing = is_worth_queueing(
                wait_s,
                request.service_s,
                now,
                request.objective_at,
                request.deadline,
                request.keyed,
            )
            (kept if worth_queueing else hopeless).append(request)
        self._queued = kept
        return hopeless

    def pop_late(self, stop: StopDeadline, now: float) -> list[QueuedRequest]:
        """Remove and return requests that would not be answered before their daemon stops."""
        late = [
            queued
            for queued in self._queued
            if stop.is_too_late(queued.deadline, queued.service_s, now)
        ]
        for request in late:
            self._queued.remove(request)
        return late

    def pop_unanswerable(self, now: float) -> list[QueuedRequest]:
        """Remove and return requests that are unlikely to meet their deadline.

        Their time to the deadline is at most half of the expected service time.
        """
        unanswerable = [
            queued for queued in self._queued if now + queued.service_s / 2 >= queued.deadline
        ]
        for request in unanswerable:
            self._queued.remove(request)
        return unanswerable


def _sort_key(request: QueuedRequest) -> tuple[int, float]:
    return request.priority, request.deadline


def is_worth_queueing(
    wait_s: float,
    service_s: float,
    now: float,
    objective_at: float,
    deadline: float,
    keyed: bool = False,
) -> bool:
    """Return whether a request will probably be answered in time after a wait.

    A request whose objective cannot be met even without a wait may still wait for a fraction of the
    time to its deadline.

    Parameters
    ----------
    keyed
        Whether only this gate can serve the request. It may miss its objective by the wait then.
    """
    remaining_s = deadline - now
    if now + wait_s + service_s <= objective_at:
        return True
    if keyed:
        return wait_s <= MAX_OWNER_WAIT_SHARE * remaining_s and wait_s + service_s <= remaining_s
    if objective_at - now > service_s:
        return False
    return wait_s <= MAX_LATE_WAIT_SHARE * remaining_s and wait_s + service_s <= remaining_s


def compute_retry_after_ms(wait_s: float) -> int:
    """Return the delay after which a refused caller should retry, in milliseconds."""
    return int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, 1000 * wait_s)))


@attrs.define
class ReturnTimes:
    """Spreads the returns of refused callers over the time in which there is room for them."""

    _last_at: float = 0.0

    def choose_retry_after_ms(self, room_at: float, interval_s: float, now: float) -> int:
        """Return the delay for one more refused caller in milliseconds.

        Parameters
        ----------
        room_at
            Instant from which there is room for a request that comes now.
        interval_s
            Seconds between two requests for which there is room.
        """
        latest_at = now + MAX_RETRY_AFTER_MS / 1000
        self._last_at = max(room_at, self._last_at + interval_s)
        if self._last_at > latest_at:
            self._last_at = min(room_at, latest_at)
        return compute_retry_after_ms(self._last_at - now)
