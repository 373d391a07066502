"""Requests that wait at a gate for a free slot of its backend server.

Of those that wait, the one of the lowest priority number goes first, and within a priority the one
whose deadline is nearest: calls that running requests make have short ones, and work that has been
done already depends on them. A request is let in only if it will probably be answered within its
latency objective, or soon where that has passed: what cannot be served in time is refused at once,
while its caller can still go elsewhere.
"""

from __future__ import annotations

import bisect
from collections import Counter

import attrs

INITIAL_SERVICE_S = 0.1  # before the first answer; near the usual work of the sites
MEAN_WEIGHT = 0.1  # a new mean within some ten answers
SLOW_MEAN_WEIGHT = 0.05  # for decisions that are dear to take back
MAX_LATE_WAIT_SHARE = 0.25  # part of the remaining time that a late request may wait
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 1_500


@attrs.define
class ServiceTimes:
    """Recent mean time at the backend server, for each route and for all.

    Parameters
    ----------
    mean_s, slow_mean_s
        Means over some ten and some twenty answers, in seconds; 0 before the first.
    """

    mean_s: float = 0.0
    slow_mean_s: float = 0.0
    _route_mean_s: dict[str, float] = attrs.field(factory=dict)
    _answer_counts: Counter[str] = attrs.field(factory=Counter)

    def record(self, route: str, duration_s: float) -> None:
        """Count an answered request."""
        self._answer_counts[""] += 1
        self._answer_counts[route] += 1
        count = self._answer_counts[""]
        self.mean_s = _update_mean(self.mean_s, duration_s, MEAN_WEIGHT, count)
        self.slow_mean_s = _update_mean(self.slow_mean_s, duration_s, SLOW_MEAN_WEIGHT, count)
        previous_s = self._route_mean_s.get(route, 0.0)
        self._route_mean_s[route] = _update_mean(
            previous_s, duration_s, MEAN_WEIGHT, self._answer_counts[route]
        )

    def estimate_service_s(self, route: str) -> float:
        """Return the time that a request of a route will take."""
        return self._route_mean_s.get(route) or self.mean_s or INITIAL_SERVICE_S


def _update_mean(mean_s: float, duration_s: float, weight: float, count: int) -> float:
    """Return the new mean; the first answers count alike, since single ones differ tenfold."""
    return mean_s + max(weight, 1 / count) * (duration_s - mean_s)


@attrs.define(eq=False)
class QueuedRequest:
    """One request in the queue."""

    priority: int
    number: int
    service_s: float
    deadline: float


@attrs.define
class GateQueue:
    """Requests that wait, in the order in which they go."""

    _queued: list[QueuedRequest] = attrs.field(factory=list)

    def __len__(self) -> int:
        return len(self._queued)

    def estimate_wait(
        self, priority: int, deadline: float, mean_service_s: float, slots: int
    ) -> float:
        """Return how long a request would wait.

        Parameters
        ----------
        mean_service_s
            Usual time of a request at the backend server: one of ``slots`` ends in its part of it.
        """
        position = (priority, deadline)
        ahead_s = sum(w.service_s for w in self._queued if (w.priority, w.deadline) <= position)
        return (mean_service_s + ahead_s) / max(1, slots)

    def add(self, request: QueuedRequest) -> None:
        """Let a request in."""
        bisect.insort(self._queued, request, key=_sort_key)

    def remove(self, request: QueuedRequest) -> None:
        """Take out a request that is given up."""
        if request in self._queued:
            self._queued.remove(request)

    def pop(self) -> QueuedRequest | None:
        """Take out the next request."""
        return self._queued.pop(0) if self._queued else None

    def pop_unanswerable(self, now: float) -> list[QueuedRequest]:
        """Take out requests that could not be answered by their deadline any more."""
        unanswerable = [w for w in self._queued if now + w.service_s / 2 >= w.deadline]
        for request in unanswerable:
            self._queued.remove(request)
        return unanswerable


def _sort_key(request: QueuedRequest) -> tuple[int, float]:
    return request.priority, request.deadline


def is_worth_queueing(
    wait_s: float, service_s: float, now: float, objective_at: float, deadline: float
) -> bool:
    """Return whether a request that would wait has a good chance to be answered in time."""
    remaining_s = deadline - now
    if now + wait_s + service_s <= objective_at:
        return True
    if objective_at - now > service_s:
        return False
    return wait_s <= MAX_LATE_WAIT_SHARE * remaining_s and wait_s + service_s <= remaining_s


def compute_retry_after_ms(wait_s: float) -> int:
    """Return when a refused caller should come back, in milliseconds."""
    return int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, 1000 * wait_s)))
