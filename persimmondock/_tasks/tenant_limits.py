"""Applies the limits of tenants to the requests that arrive at this daemon, and counts both."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from loguru import logger

from persimmondock._domain.label_values import LabelValues
from persimmondock._domain.shared_rate import RateLimit
from persimmondock._domain.verdict import NotRun, Reason, Verdict, name_verdict
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

PREFIX = "tenant/"  # of the names under which daemons keep the limits of tenants


class TenantLimits:
    """Admits the requests of tenants within their limits."""

    def __init__(self, rates: SharedRates, metrics: MetricSink) -> None:
        self._rates = rates
        self._metrics = metrics
        self._labels = LabelValues()

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
        match await self._rates.admit(limit):
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

    def record_verdict(self, tenant: Tenant, verdict: Verdict) -> None:
        """Count the end of a request that was admitted; one that was not run uses no room."""
        self._count(tenant, name_verdict(verdict))
        if tenant.limited and isinstance(verdict, NotRun):
            self._rates.give_back(PREFIX + tenant.name)

    def _count(self, tenant: Tenant, outcome: str) -> None:
        self._metrics.count(f"tenant_requests.{self._labels.find(tenant.name)}.{outcome}")
