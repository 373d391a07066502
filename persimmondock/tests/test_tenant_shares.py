"""Fairness between tenants where a service is short.

Loads: tenants of unlike priorities that ask for twice what a service can do; a tenant without a
limit that sends 7.5 times its usual. Requests are served in the order of their priority numbers,
what does not fit is refused.
"""

from __future__ import annotations

import random

from persimmondock._domain.tenant_shares import MAX_TENANTS, TenantShares

ROUND_S = 0.1


class ShortService:
    """A service that serves a number of requests a round, and one front of its tenants.

    Parameters
    ----------
    per_round
        Requests that are served in a round.
    fair
        Whether the front follows `TenantShares`.
    """

    def __init__(self, per_round: int, fair: bool = True) -> None:
        self.per_round = per_round
        self.fair = fair
        self.shares = TenantShares()
        self.now = 0.0
        self.random = random.Random(1)
        self.asked: dict[str, int] = {}
        self.served: dict[str, int] = {}

    def play(self, rates: dict[str, float], priorities: dict[str, int], for_s: float) -> None:
        """Let tenants ask at rates per second, and count from zero."""
        self.asked, self.served = dict.fromkeys(rates, 0), dict.fromkeys(rates, 0)
        until = self.now + for_s
        while self.now < until:
            self.now += ROUND_S
            arrived = []
            for tenant, rate in rates.items():
                count = int(rate * ROUND_S) + (self.random.random() < rate * ROUND_S % 1.0)
                for _ in range(count):
                    priority = self.shares.choose_priority(tenant, priorities[tenant], self.now)
                    rank = priority if self.fair else priorities[tenant]
                    arrived.append((rank, self.random.random(), tenant))
            for place, (_, _, tenant) in enumerate(sorted(arrived)):
                self.shares.record(tenant, place < self.per_round, self.now)
                self.asked[tenant] += 1
                self.served[tenant] += place < self.per_round

    def compute_share(self, *tenants: str) -> float:
        """Return the served share of some tenants, or of all."""
        names = tenants or tuple(self.asked)
        return sum(self.served[n] for n in names) / sum(self.asked[n] for n in names)


RATES = {f"t{number}": 10.0 for number in range(8)}


def test_no_tenant_is_served_less_than_a_quarter_as_often_as_all() -> None:
    """By priority alone the last two of eight tenants would get nothing."""
    priorities = {f"t{number}": number // 2 for number in range(8)}
    by_priority, fair = ShortService(4, fair=False), ShortService(4)
    for service in (by_priority, fair):
        service.play(RATES, priorities, 20.0)
        service.play(RATES, priorities, 30.0)
    assert by_priority.compute_share("t6", "t7") == 0.0
    assert all(fair.compute_share(t) >= fair.compute_share() / 4 for t in RATES)
    assert fair.compute_share("t0") > fair.compute_share("t7")


def test_a_tenant_that_sends_many_times_its_usual_takes_little_from_others() -> None:
    """The others, who send as usual, must hardly notice."""
    priorities = dict.fromkeys(RATES, 1)
    shares = {}
    for fair in (False, True):
        service = ShortService(9, fair)
        service.play(RATES, priorities, 30.0)
        assert service.compute_share() > 0.95
        service.play(RATES | {"t0": 75.0}, priorities, 6.5)
        shares[fair] = service.compute_share(*(t for t in RATES if t != "t0"))
        assert service.compute_share("t0") >= service.compute_share() / 4
    assert shares[True] >= 0.85
    assert shares[True] > shares[False] + 0.15


def test_priorities_stay_as_they_are_while_all_are_served() -> None:
    shares = TenantShares()
    for number in range(500):
        now = number * 0.05
        assert shares.choose_priority("t0", 2, now) == 2
        assert shares.choose_priority("t1", 1, now) == 1
        shares.record("t0", True, now)
        shares.record("t1", True, now)
    for _ in range(200):  # a surge
        assert shares.choose_priority("t0", 2, 25.0) == 2


def test_the_worst_tenth_of_tenants_is_told() -> None:
    shares = TenantShares()
    assert shares.find_worst_share(0.0) == 1.0
    for number in range(20):
        for attempt in range(4):
            shares.record(f"t{number}", number >= 2 or attempt == 0, 1.0)
    assert shares.find_worst_share(1.0) == 0.25


def test_a_hundred_thousand_tenants_are_not_all_remembered() -> None:
    shares = TenantShares()
    for number in range(100_000):
        shares.record(f"t{number}", True, number * 0.001)
    assert len(shares._by_tenant) <= MAX_TENANTS
