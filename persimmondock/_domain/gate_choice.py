"""Choice of a gate for requests that any backend server of a service may run."""

from __future__ import annotations

import attrs

DEFAULT_SERVICE_S = 0.1  # before the first answer of any gate
SAME_DOMAIN_COST_FACTOR = 0.85  # the own failure domain is preferred until it is this much slower
COST_EXPONENT = 4.0  # weight of a gate is its cost to this power: spreads without stampedes
FULL_LOAD_SLOWDOWN = 0.25  # growth of the time of a request when all slots are taken


@attrs.frozen
class GateCandidate:
    """A gate that may get the request.

    Parameters
    ----------
    load
        Requests that run or wait there, by the newest news and what was sent since.
    service_s
        Mean time of a request, in seconds; 0 if it is not known.
    same_domain
        Whether it is in the same failure domain.
    """

    node: str
    slots: int
    load: int
    service_s: float
    same_domain: bool


def compute_cost(candidate: GateCandidate, default_service_s: float) -> float:
    """Return the seconds that a request is expected to take at a gate."""
    service_s = candidate.service_s or default_service_s
    slots = max(1, candidate.slots)
    utilization = candidate.load / slots
    queued_per_slot = max(0, candidate.load + 1 - slots) / slots
    cost = service_s * (1.0 + FULL_LOAD_SLOWDOWN * min(1.0, utilization) ** 2 + queued_per_slot)
    return cost * SAME_DOMAIN_COST_FACTOR if candidate.same_domain else cost


def compute_weights(candidates: list[GateCandidate]) -> list[float]:
    """Return the weights by which a gate is drawn."""
    known_service_s = [c.service_s for c in candidates if c.service_s > 0]
    default_service_s = (
        sum(known_service_s) / len(known_service_s) if known_service_s else DEFAULT_SERVICE_S
    )
    return [
        compute_cost(candidate, default_service_s) ** -COST_EXPONENT for candidate in candidates
    ]
