"""A retry budget that all daemons share without communication.

Each daemon spends at most a fixed ratio of its own requests plus an equal part of the allowance of
all daemons, so the sum stays within the budget of the service. What a retried request will cause is
paid before it runs.
"""

from __future__ import annotations

import math
from collections import deque

import attrs

# Windows of daemons end at different instants, and each spends most when it has counted most.
SPENDABLE_SHARE = 0.85


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
        Expected calls of retried requests, which count as retries too.
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
    slack_from
        Instant from which a part of the fixed allowance may be spent. Until then an earlier process
        of the daemon may have spent it in the same window.
    """

    ratio: float
    slack: float
    window_s: float
    slack_from: float = -math.inf
    _requests: deque[float] = attrs.field(factory=deque)
    _retries: deque[float] = attrs.field(factory=deque)
    _inherited: deque[tuple[float, float]] = attrs.field(factory=deque)

    def record_request(self, now: float) -> None:
        """Count a request."""
        self._requests.append(now)
        self._drop_expired(now)

    def allows(self, now: float, daemons: int | None, amount: float = 1.0) -> bool:
        """Return whether an amount may be spent.

        Parameters
        ----------
        daemons
            Daemons that share the fixed allowance, or None if they are not known.
        """
        use = self.describe(now, daemons)
        return use.retries + use.inherited + amount <= SPENDABLE_SHARE * use.allowed

    def spend(self, now: float, daemons: int | None) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        if not self.allows(now, daemons):
            return False
        self._retries.append(now)
        return True

    def give_back(self, spent_at: float) -> None:
        """Take back a retry that was spent at an instant and reached no backend server."""
        if spent_at in self._retries:
            self._retries.remove(spent_at)

    def charge_calls(self, now: float, amount: float) -> None:
        """Charge the calls that a retried request is expected to make."""
        self._inherited.append((now, amount))

    def describe(self, now: float, daemons: int | None) -> BudgetUse:
        """Return how much of this part is used."""
        self._drop_expired(now)
        allowed = self.ratio * len(self._requests)
        if daemons is not None and now >= self.slack_from:
            allowed += self.slack / max(1, daemons)
        inherited = sum(amount for _, amount in self._inherited)
        return BudgetUse(len(self._requests), allowed, len(self._retries), inherited)

    def _drop_expired(self, now: float) -> None:
        expired_at = now - self.window_s
        for times in (self._requests, self._retries):
            while times and times[0] <= expired_at:
                times.popleft()
        while self._inherited and self._inherited[0][0] <= expired_at:
            self._inherited.popleft()
