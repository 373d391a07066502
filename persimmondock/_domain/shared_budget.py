"""A retry budget that all daemons share without communication.

Each daemon spends at most a fixed ratio of its own requests plus an equal part of the allowance of
all daemons, so the sum stays within the budget of the service.
"""

from __future__ import annotations

from collections import deque

import attrs

# The rest covers calls made by retried requests, and requests that are counted later elsewhere.
SPENDABLE_SHARE = 0.6


@attrs.frozen
class BudgetUse:
    """How one daemon uses its part of a retry budget within a window.

    Parameters
    ----------
    requests
        Requests that it counted.
    allowed
        Retries that its part allows.
    retries
        Retries that it spent.
    inherited
        Calls made by retried requests, which count as retries too.
    """

    requests: float
    allowed: float
    retries: float
    inherited: float


@attrs.define
class SharedBudget:
    """One daemon's part of the retry budget of one service.

    Parameters
    ----------
    ratio
        Allowed retries per request.
    slack
        Fixed allowance of all daemons together in a window.
    window_s
        Length of the window in seconds.
    """

    ratio: float
    slack: float
    window_s: float
    _requests: deque[tuple[float, float]] = attrs.field(factory=deque)
    _retries: deque[tuple[float, float]] = attrs.field(factory=deque)

    def record_request(self, now: float, repeat_probability: float = 0.0) -> None:
        """Count a request.

        Parameters
        ----------
        repeat_probability
            Probability that this request is a call made by a retried request; it counts as this
            fraction of a retry.
        """
        self._requests.append((now, 1.0))
        if repeat_probability > 0:
            self._retries.append((now, repeat_probability))
        self._drop_expired(now)

    def spend(self, now: float, daemons: int) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        self._drop_expired(now)
        allowed = self.ratio * len(self._requests) + self.slack / max(1, daemons)
        used = sum(amount for _, amount in self._retries)
        if used + 1 > SPENDABLE_SHARE * allowed:
            return False
        self._retries.append((now, 1.0))
        return True

    def describe(self, now: float, daemons: int) -> BudgetUse:
        """Return how much of this part is used."""
        self._drop_expired(now)
        allowed = self.ratio * len(self._requests) + self.slack / max(1, daemons)
        retries = sum(amount for _, amount in self._retries if amount == 1.0)
        inherited = sum(amount for _, amount in self._retries) - retries
        return BudgetUse(len(self._requests), allowed, retries, inherited)

    def _drop_expired(self, now: float) -> None:
        for entries in (self._requests, self._retries):
            while entries and entries[0][0] <= now - self.window_s:
                entries.popleft()
