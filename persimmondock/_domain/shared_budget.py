"""A retry budget that all daemons keep together without asking each other.

Each daemon spends at most its own requests' share and an equal part of the fixed allowance, so the
sum stays within the service's budget.
"""

from __future__ import annotations

from collections import deque

import attrs

USED_SHARE = 0.7  # the rest covers requests that reach other daemons later than counted here


@attrs.define
class SharedBudget:
    """One daemon's part of the retry budget of one service.

    Parameters
    ----------
    ratio
        Retries for each request.
    slack
        Fixed allowance of all daemons in a window.
    window_s
        Length of the window in seconds.
    """

    ratio: float
    slack: float
    window_s: float
    _requests: deque[float] = attrs.field(factory=deque)
    _retries: deque[float] = attrs.field(factory=deque)

    def record_request(self, now: float) -> None:
        """Count a request."""
        self._requests.append(now)
        self._forget(now)

    def spend(self, now: float, daemons: int) -> bool:
        """Take a retry; return False when none is left."""
        self._forget(now)
        allowed = self.ratio * len(self._requests) + self.slack / max(1, daemons)
        if len(self._retries) + 1 > USED_SHARE * allowed:
            return False
        self._retries.append(now)
        return True

    def _forget(self, now: float) -> None:
        for instants in (self._requests, self._retries):
            while instants and instants[0] <= now - self.window_s:
                instants.popleft()
