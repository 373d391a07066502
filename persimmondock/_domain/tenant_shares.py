"""Fairness between tenants where a service is short.

Each front watches the requests that arrive at it. A tenant that is served less than half as often
as all goes first until it is not, whatever its priority; so none stays below a quarter, though a
front sees only a part of a tenant's requests. What a tenant sends beyond a multiple of its usual
goes behind other requests of its priority while requests are refused.
"""

from __future__ import annotations

import math

import attrs

MIN_SHARE = 0.5  # of the served share of all
MEMORY_S = 10.0  # decay time of what was asked and served
MIN_ASKED = 4.0  # requests; fewer say nothing about a tenant
SHORT_BELOW = 0.95  # served share of all below which a service counts as short
SURGE_FACTOR = 2.0  # of the usual rate; what is beyond is a surge
SURGE_TIME_S = 1.0  # decay time of the present rate
USUAL_TIME_S = 60.0  # decay time of the usual rate
MIN_WATCHED_S = 10.0  # before a usual rate is known
MAX_TENANTS = 1_000  # beyond, those that sent nothing lately are forgotten


def _decay(since: float, now: float, time_s: float) -> float:
    return math.exp(-max(0.0, now - since) / time_s)


@attrs.define
class _Counts:
    """Decaying numbers of requests.

    Parameters
    ----------
    recent, usual
        Numbers whose decay times are `SURGE_TIME_S` and `USUAL_TIME_S`.
    surplus
        Part of a request by which the surge is ahead of the requests that were put behind.
    """

    first_at: float
    updated_at: float
    asked: float = 0.0
    served: float = 0.0
    recent: float = 0.0
    usual: float = 0.0
    surplus: float = 0.0

    def decay(self, now: float) -> None:
        kept = _decay(self.updated_at, now, MEMORY_S)
        self.asked *= kept
        self.served *= kept
        self.recent *= _decay(self.updated_at, now, SURGE_TIME_S)
        self.usual *= _decay(self.updated_at, now, USUAL_TIME_S)
        self.updated_at = max(self.updated_at, now)

    def compute_surge_share(self, now: float) -> float:
        """Return the share of the present requests that is beyond the multiple of the usual."""
        watched_s = now - self.first_at
        if watched_s < MIN_WATCHED_S or not self.recent:
            return 0.0
        # The usual number has not grown to its full size yet if the tenant is new.
        usual_per_s = self.usual / (USUAL_TIME_S * (1 - _decay(self.first_at, now, USUAL_TIME_S)))
        return max(0.0, 1.0 - SURGE_FACTOR * usual_per_s * SURGE_TIME_S / self.recent)


@attrs.define
class TenantShares:
    """What one front knows about how its tenants are served."""

    _all: _Counts = attrs.field(factory=lambda: _Counts(0.0, 0.0))
    _by_tenant: dict[str, _Counts] = attrs.field(factory=dict)
    _most_urgent: int | None = None

    def choose_priority(self, tenant: str, priority: int, now: float) -> int:
        """Count a request that is admitted, and return the priority number to send it with."""
        if self._most_urgent is None or priority < self._most_urgent:
            self._most_urgent = priority
        counts = self._find(tenant, now)
        self._all.decay(now)
        counts.recent += 1.0
        surge_share = counts.compute_surge_share(now)
        # A surge becomes the usual slowly.
        counts.usual += 1.0 - surge_share
        if self.is_starved(tenant, now):
            return self._most_urgent
        if not self.is_short(now):
            counts.surplus = 0.0
            return priority
        counts.surplus += surge_share
        if counts.surplus < 1.0:
            return priority
        counts.surplus -= 1.0
        return priority + 1

    def record(self, tenant: str, served: bool, now: float) -> None:
        """Record how an admitted request ended."""
        counts = self._find(tenant, now)
        self._all.decay(now)
        for each in (counts, self._all):
            each.asked += 1.0
            each.served += served

    def is_short(self, now: float) -> bool:
        """Return whether requests of tenants go unserved."""
        self._all.decay(now)
        return self._all.asked >= MIN_ASKED and self._all.served < SHORT_BELOW * self._all.asked

    def is_starved(self, tenant: str, now: float) -> bool:
        """Return whether a tenant is served less than half as often as all."""
        counts = self._find(tenant, now)
        self._all.decay(now)
        if counts.asked < MIN_ASKED:
            return False
        return counts.served * self._all.asked < MIN_SHARE * self._all.served * counts.asked

    def find_worst_share(self, now: float) -> float:
        """Return the served share of the worst tenth of the tenants, 1 if nothing was asked."""
        shares = []
        for counts in self._by_tenant.values():
            counts.decay(now)
            if counts.asked >= 1.0:
                shares.append(counts.served / counts.asked)
        worst = sorted(shares)[: math.ceil(len(shares) / 10)]
        return sum(worst) / len(worst) if worst else 1.0

    def _find(self, tenant: str, now: float) -> _Counts:
        counts = self._by_tenant.get(tenant)
        if counts is None:
            if len(self._by_tenant) >= MAX_TENANTS:
                self._forget_idle(now)
            counts = self._by_tenant[tenant] = _Counts(now, now)
        counts.decay(now)
        return counts

    def _forget_idle(self, now: float) -> None:
        """Forget the half of the tenants that was idle for longest."""
        by_age = sorted(self._by_tenant.items(), key=lambda item: item[1].updated_at)
        self._by_tenant = dict(by_age[len(by_age) // 2 :])
