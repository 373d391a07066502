"""Applies the limits of tenants and fairness between them to the requests that arrive here."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.gate_queue import MAX_OWNER_WAIT_SHARE
from persimmondock._domain.label_values import LabelValues
from persimmondock._domain.shared_rate import RateLimit
from persimmondock._domain.tenant_shares import TenantShares
from persimmondock._domain.verdict import Answered, NotRun, Reason, Verdict, name_verdict
from persimmondock._tasks.shared_rates import (
    Admitted,
    LimitUnknown,
    OverLimit,
    SharedRates,
    VersionedLimit,
)

if TYPE_CHECKING:
    from persimmondock._domain.forwarding import ForwardedRequest
    from persimmondock._domain.tenants import Tenant
    from persimmondock._ports.metrics import MetricSink

FAILED_FROM = 500  # status from which an answer counts as not served
PREFIX = "tenant/"  # of the names under which daemons keep the limits of tenants


class TenantAdmission:
    """Admits the requests of tenants within their limits, and ranks them."""

    def __init__(self, rates: SharedRates, metrics: MetricSink) -> None:
        self._rates = rates
        self._metrics = metrics
        self._labels = LabelValues()
        self._shares = TenantShares()

    async def admit(self, tenant: Tenant, version: int, request: ForwardedRequest) -> NotRun | None:
        """Return None if the limit allows a request now, or else its refusal.

        Parameters
        ----------
        version
            Version of the configuration that the tenant's limit is from.
        """
        if not tenant.limited:
            return None
        limit = VersionedLimit(
            PREFIX + tenant.name, RateLimit(tenant.rate_per_s, tenant.burst), version
        )
        patience_s = MAX_OWNER_WAIT_SHARE * (request.deadline - read_clock())
        match await self._rates.admit(limit, patience_s):
            case Admitted():
                return None
            case OverLimit(retry_after_s=retry_after_s):
                reason = Reason.TENANT_LIMIT
            case LimitUnknown(retry_after_s=retry_after_s):
                reason = Reason.TENANT_LIMIT_UNKNOWN
        refusal = NotRun(reason, math.ceil(1000 * retry_after_s))
        self._count(tenant, reason.value)
        logger.info(
            "event=tenant_refused attempt={} tenant={} route={} reason={} rate_per_s={:g} "
            "burst={:g} version={} holders={} retry_after_ms={}",
            request.attempt,
            tenant.name,
            request.route,
            reason.value,
            tenant.rate_per_s,
            tenant.burst,
            version,
            ",".join(self._rates.find_holders(limit.name)) or "-",
            refusal.retry_after_ms,
        )
        return refusal

    def rank(self, tenant: Tenant, request: ForwardedRequest) -> ForwardedRequest:
        """Return an admitted request with the priority number with which it is sent."""
        priority = self._shares.choose_priority(tenant.name, request.priority, read_clock())
        if priority == request.priority:
            return request
        self._count(tenant, "raised" if priority < request.priority else "put_behind")
        return attrs.evolve(request, priority=priority)

    def update_gauges(self) -> None:
        """Update the gauges of tenants."""
        worst = self._shares.find_worst_share(read_clock())
        self._metrics.set_gauge("tenants_worst_share", worst)

    def record_verdict(self, tenant: Tenant, verdict: Verdict) -> None:
        """Count the end of a request that was admitted; one that was not run uses no room."""
        self._count(tenant, name_verdict(verdict))
        served = isinstance(verdict, Answered) and verdict.answer.status < FAILED_FROM
        self._shares.record(tenant.name, served, read_clock())
        if tenant.limited and isinstance(verdict, NotRun):
            self._rates.give_back(PREFIX + tenant.name)

    def _count(self, tenant: Tenant, outcome: str) -> None:
        self._metrics.count(f"tenant_requests.{self._labels.find(tenant.name)}.{outcome}")
