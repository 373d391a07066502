"""Lower bound on the share of less urgent requests that a gate serves.

The queue of a gate is ordered by priority. A priority that is served less often than all requests
by a factor of ``MIN_SHARE`` goes first until it is not. Requests that fronts refused count too.
"""

from __future__ import annotations

import math

import attrs

GUARANTEED_SHARE = 0.25
MIN_SHARE = 1.5 * GUARANTEED_SHARE  # requests that several gates refuse count at each of them
MEMORY_S = 5.0  # decay time of what was asked and served
MAX_URGENT_SHARE = 0.5  # in estimates of a wait; at most doubles them
MIN_ASKED = 4.0  # requests; fewer say nothing about a priority


@attrs.define
class FairShare:
    """Decaying numbers of the requests asked for and served, by priority."""

    _asked: dict[int, float] = attrs.field(factory=dict)
    _served: dict[int, float] = attrs.field(factory=dict)
    _updated_at: float = -math.inf

    def record_asked(self, priority: int, stands_for: float, now: float) -> None:
        """Count a request that stands for a number of requests of its priority."""
        self._decay(now)
        self._asked[priority] = self._asked.get(priority, 0.0) + stands_for

    def record_served(self, priority: int, now: float) -> None:
        """Count a request that got a slot."""
        self._decay(now)
        self._served[priority] = self._served.get(priority, 0.0) + 1.0

    def choose_rank(self, priority: int, now: float) -> int:
        """Return the priority number with which a request is queued."""
        self._decay(now)
        return min(self._asked, default=0) - 1 if self._is_starved(priority) else priority

    def compute_urgent_share(self, priority: int, service_s: float, slots: int) -> float:
        """Return the share of the slots that more urgent requests take, at most half.

        Parameters
        ----------
        service_s
            Mean service time in seconds.
        """
        urgent = sum(count for other, count in self._served.items() if other < priority)
        return min(MAX_URGENT_SHARE, urgent / MEMORY_S * service_s / max(1, slots))

    def _is_starved(self, priority: int) -> bool:
        asked, all_asked = self._asked.get(priority, 0.0), sum(self._asked.values())
        if asked < MIN_ASKED or priority == min(self._asked):
            return False
        served = self._served.get(priority, 0.0)
        return served / asked < MIN_SHARE * sum(self._served.values()) / all_asked

    def _decay(self, now: float) -> None:
        if now <= self._updated_at:
            return
        kept = math.exp((self._updated_at - now) / MEMORY_S)
        self._updated_at = now
        for counts in (self._asked, self._served):
            for priority in counts:
                counts[priority] *= kept
