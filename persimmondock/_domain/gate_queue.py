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

FIRST_SERVICE_S = 0.1  # before the first answer; near the usual work of the sites
SERVICE_WEIGHT = 0.1  # a new mean within some ten answers
STEADY_WEIGHT = 0.05  # for decisions that are dear to take back
LATE_SHARE = 0.25  # part of the remaining time that a late request may wait
MIN_RETRY_MS = 100
MAX_RETRY_MS = 1_500


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
    _by_route: dict[str, float] = attrs.field(factory=dict)
    _answers: Counter[str] = attrs.field(factory=Counter)

    def record(self, route: str, took_s: float) -> None:
        """Count an answered request."""
        self._answers[""] += 1
        self._answers[route] += 1
        count = self._answers[""]
        self.mean_s = _blend(self.mean_s, took_s, SERVICE_WEIGHT, count)
        self.slow_mean_s = _blend(self.slow_mean_s, took_s, STEADY_WEIGHT, count)
        known_s = self._by_route.get(route, 0.0)
        self._by_route[route] = _blend(known_s, took_s, SERVICE_WEIGHT, self._answers[route])

    def estimate_service_s(self, route: str) -> float:
        """Return the time that a request of a route will take."""
        return self._by_route.get(route) or self.mean_s or FIRST_SERVICE_S


def _blend(mean_s: float, took_s: float, weight: float, count: int) -> float:
    """Return the new mean; the first answers count alike, since single ones differ tenfold."""
    return mean_s + max(weight, 1 / count) * (took_s - mean_s)


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

    _waiters: list[QueuedRequest] = attrs.field(factory=list)

    def __len__(self) -> int:
        return len(self._waiters)

    def estimate_wait(self, priority: int, deadline: float, running_s: float, slots: int) -> float:
        """Return how long a request would wait.

        Parameters
        ----------
        running_s
            Usual time of a request at the backend server: one of ``slots`` ends in its part of it.
        """
        place = (priority, deadline)
        ahead = sum(w.service_s for w in self._waiters if (w.priority, w.deadline) <= place)
        return (running_s + ahead) / max(1, slots)

    def add(self, waiter: QueuedRequest) -> None:
        """Let a request in."""
        bisect.insort(self._waiters, waiter, key=_sort_key)

    def remove(self, waiter: QueuedRequest) -> None:
        """Take out a request that is given up."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def pop(self) -> QueuedRequest | None:
        """Take out the next request."""
        return self._waiters.pop(0) if self._waiters else None

    def pop_unanswerable(self, now: float) -> list[QueuedRequest]:
        """Take out requests that could not be answered by their deadline any more."""
        hopeless = [w for w in self._waiters if now + w.service_s / 2 >= w.deadline]
        for waiter in hopeless:
            self._waiters.remove(waiter)
        return hopeless


def _sort_key(waiter: QueuedRequest) -> tuple[int, float]:
    return waiter.priority, waiter.deadline


def is_worth_queueing(
    wait_s: float, service_s: float, now: float, objective_at: float, deadline: float
) -> bool:
    """Return whether a request that would wait has a good chance to be answered in time."""
    left_s = deadline - now
    if now + wait_s + service_s <= objective_at:
        return True
    if objective_at - now > service_s:
        return False
    return wait_s <= LATE_SHARE * left_s and wait_s + service_s <= left_s


def compute_retry_after_ms(wait_s: float) -> int:
    """Return when a refused caller should come back, in milliseconds."""
    return int(min(MAX_RETRY_MS, max(MIN_RETRY_MS, 1000 * wait_s)))
