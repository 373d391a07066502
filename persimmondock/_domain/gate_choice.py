"""Choice of a gate for requests without a key, which any backend server of a service may run."""

from __future__ import annotations

import math
import statistics

import attrs

DEFAULT_SERVICE_S = 0.1  # until a gate reports a service time
SAME_DOMAIN_COST_FACTOR = 0.85  # own failure domain is preferred up to 1 / 0.85 of the others' cost
COST_EXPONENT = 4.0  # prefers cheap gates without sending all requests to the cheapest
FULL_LOAD_SLOWDOWN = 0.25  # relative increase of the service time when all slots are in use


@attrs.frozen
class GateCandidate:
    """A gate that may get the request.

    Parameters
    ----------
    load
        Requests that run or wait there, by its newest status and what was sent since.
    service_s
        Mean service time of a request in seconds; 0 if unknown.
    same_domain
        Whether the gate is in the failure domain of this daemon.
    reported_at
        Instant of its newest status; minus infinity if that does not tell what waits ahead.
    behind
        Requests in ``load`` that would wait behind the new one.
    link_wait_s
        Seconds that a large answer waits for the gate's link; 0 for requests with small answers.
    """

    node: str
    slots: int
    load: int
    service_s: float
    same_domain: bool
    reported_at: float = math.inf
    behind: int = 0
    link_wait_s: float = 0.0


def compute_cost(candidate: GateCandidate, default_service_s: float) -> float:
    """Return the expected response time of a gate in seconds.

    It is reduced by ``SAME_DOMAIN_COST_FACTOR`` for gates in this daemon's failure domain.
    """
    service_s = candidate.service_s or default_service_s
    slots = max(1, candidate.slots)
    utilization = candidate.load / slots
    queued_per_slot = max(0, candidate.load + 1 - slots) / slots
    cost = service_s * (1.0 + FULL_LOAD_SLOWDOWN * min(1.0, utilization) ** 2 + queued_per_slot)
    cost += candidate.link_wait_s
    return cost * SAME_DOMAIN_COST_FACTOR if candidate.same_domain else cost


def compute_weights(candidates: list[GateCandidate]) -> list[float]:
    """Return the weights of a random choice between gates, in the order of the candidates."""
    known_service_s = [c.service_s for c in candidates if c.service_s > 0]
    # The median: a few slow or limited gates must not make new ones look slow.
    default_service_s = (
        statistics.median_low(known_service_s) if known_service_s else DEFAULT_SERVICE_S
    )
    return [
        compute_cost(candidate, default_service_s) ** -COST_EXPONENT for candidate in candidates
    ]
