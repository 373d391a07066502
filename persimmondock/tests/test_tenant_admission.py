"""What a front does with a tenant's request before and after it is sent."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import attrs

from persimmondock._domain.shared_rate import RateLimit
from persimmondock._domain.tenants import Tenant
from persimmondock._domain.verdict import Answer, Answered, NotRun, Reason
from persimmondock._tasks.shared_rates import (
    Admitted,
    LimitUnknown,
    OverLimit,
    SharedRates,
    VersionedLimit,
)
from persimmondock._tasks.tenant_admission import TenantAdmission
from persimmondock.tests.sites import make_forwarded
from persimmondock.tests.virtual_time import run_in_virtual_time

SERVED = Answered(Answer(200, (), b""))
FAILED = Answered(Answer(500, (), b""))
ORLA = Tenant("orla.x", 3, 10.0, 5.0)


@attrs.define
class Rates:
    """Shared rates that answer what a test says."""

    outcome: Admitted | OverLimit | LimitUnknown = attrs.field(factory=Admitted)
    asked: list[VersionedLimit] = attrs.field(factory=list)
    returned: list[str] = attrs.field(factory=list)

    async def admit(
        self, limit: VersionedLimit, patience_s: float
    ) -> Admitted | OverLimit | LimitUnknown:
        self.asked.append(limit)
        return self.outcome

    def give_back(self, name: str) -> None:
        self.returned.append(name)

    def find_holders(self, _: str) -> tuple[str, ...]:
        return ("node-1",)


@attrs.define
class Metrics:
    """Counters and gauges by name."""

    counts: dict[str, int] = attrs.field(factory=dict)
    gauges: dict[str, float] = attrs.field(factory=dict)

    def count(self, name: str, value: int = 1) -> None:
        self.counts[name] = self.counts.get(name, 0) + value

    def set_gauge(self, name: str, value: float) -> None:
        self.gauges[name] = value


def make_admission(outcome: Any = None) -> SimpleNamespace:
    rates, metrics = Rates(outcome or Admitted()), Metrics()
    admission = TenantAdmission(cast("SharedRates", rates), cast("Any", metrics))
    return SimpleNamespace(admission=admission, rates=rates, metrics=metrics)


def admit(setup: SimpleNamespace, tenant: Tenant) -> NotRun | None:
    request = make_forwarded(0.0, tenant=tenant.name)
    return run_in_virtual_time(setup.admission.admit(tenant, 7, request))


def test_a_tenant_without_a_limit_is_not_asked_for() -> None:
    setup = make_admission(LimitUnknown())
    assert admit(setup, Tenant("orla", 3)) is None
    assert not setup.rates.asked


def test_the_limit_in_force_is_asked_for() -> None:
    setup = make_admission()
    assert admit(setup, ORLA) is None
    assert setup.rates.asked == [VersionedLimit("tenant/orla.x", RateLimit(10.0, 5.0), 7)]


def test_refusals_tell_whose_fault_they_are_and_when_to_return() -> None:
    over, unknown = make_admission(OverLimit(0.0123)), make_admission(LimitUnknown())
    assert admit(over, ORLA) == NotRun(Reason.TENANT_LIMIT, 13)
    assert admit(unknown, ORLA) == NotRun(Reason.TENANT_LIMIT_UNKNOWN, 300)
    assert over.metrics.counts == {"tenant_requests.orla_x.tenant_limit": 1}


def test_only_what_was_not_run_leaves_its_room_to_others() -> None:
    setup = make_admission()
    for verdict in (SERVED, FAILED, NotRun(Reason.OVERLOADED, 100)):
        run_in_virtual_time(record(setup, verdict))
    assert setup.rates.returned == ["tenant/orla.x"]


async def record(setup: SimpleNamespace, verdict: Any, tenant: Tenant = ORLA) -> None:
    setup.admission.record_verdict(tenant, verdict)


def test_a_tenant_that_is_hardly_served_goes_first() -> None:
    """Its number is less urgent than that of another tenant, whose requests are all served."""
    setup = make_admission()
    urgent = Tenant("urgent", 0)

    async def play() -> int:
        for _ in range(10):
            setup.admission.rank(urgent, make_forwarded(0.0, priority=0))
            await record(setup, SERVED, urgent)
            await record(setup, FAILED)
        request = make_forwarded(0.0, priority=3)
        assert setup.admission.rank(urgent, make_forwarded(0.0, priority=0)).priority == 0
        return int(setup.admission.rank(ORLA, request).priority)

    assert run_in_virtual_time(play()) == 0
    assert setup.metrics.counts["tenant_requests.orla_x.raised"] == 1


def test_a_hundred_thousand_tenants_have_few_labels() -> None:
    setup = make_admission()
    for number in range(1_000):
        run_in_virtual_time(record(setup, SERVED, Tenant(f"t{number}")))
    assert len(setup.metrics.counts) == 201
    assert setup.metrics.counts["tenant_requests.others.answered"] == 800
