"""Sizes and request mixes of the two deployments, Magnolia and Quadro Vivo.

Network latency between failure domains and from callers is not simulated: loopback adds none.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from persimmondock.configuration import Configuration, Urgency
from persimmondock.standins.fleet import VmPlan

if TYPE_CHECKING:
    from collections.abc import Mapping

SLICES = 64
NON_IDEMPOTENT_SUFFIX = "/assign"
IDEMPOTENT_SUFFIX = "/show"


@attrs.frozen
class ServiceMix:
    """One service of a mix.

    Parameters
    ----------
    backends
        Number of its backend servers.
    share
        Share of all requests that go to it.
    protected
        Share of its requests that are not idempotent.
    work_ms
        Duration of its requests, in milliseconds.
    """

    name: str
    backends: int
    keyed: bool
    urgency: Urgency
    share: float
    protected: float
    work_ms: float


@attrs.frozen
class Mix:
    """Services, sizes and load of one deployment.

    Parameters
    ----------
    slots, connections
        Slots and connections of each backend server.
    rate
        Requests per second.
    keys
        Number of keys in use for each service.
    hot_keys
        Number of hot keys at a time.
    hot_share
        Share of the requests that go to the hot keys.
    drift_s
        Interval at which other keys become hot, in seconds.
    """

    name: str
    failure_domains: tuple[str, ...]
    services: tuple[ServiceMix, ...]
    slots: int
    connections: int
    rate: float = 300.0
    keys: int = 2_000
    hot_keys: int = 8
    hot_share: float = 0.3
    drift_s: float = 5.0
    checks_tokens: bool = True

    def build_plans(self) -> list[VmPlan]:
        """Return one VM for each backend server, spread over the failure domains."""
        plans: list[VmPlan] = []
        for service in self.services:
            for index in range(service.backends):
                number = len(plans) + 1
                domain = self.failure_domains[index % len(self.failure_domains)]
                plans.append(
                    VmPlan(
                        number=number,
                        failure_domain=domain,
                        service=service.name,
                        slots=self.slots,
                        connections=self.connections,
                        work_ms=service.work_ms,
                        checks_tokens=self.checks_tokens,
                    )
                )
        return plans

    def build_configuration(self) -> Configuration:
        """Return the configuration that operators publish."""
        configuration = Configuration()
        for service in self.services:
            configuration.add_service(
                service.name,
                path=f"/{service.name}",
                keyed=service.keyed,
                slices=SLICES,
                urgency=service.urgency,
                routes=[{"suffix": NON_IDEMPOTENT_SUFFIX, "idempotent": False}],
            )
        return configuration


FAST = Urgency.MUST_ANSWER_FAST
MAY_WAIT = Urgency.MAY_WAIT

MAGNOLIA = Mix(
    name="magnolia",
    failure_domains=("gulf-south-a", "gulf-south-b", "gulf-south-c"),
    services=(
        ServiceMix("preview", 4, True, FAST, share=0.6, protected=0.0, work_ms=8.0),
        ServiceMix("dispatch", 3, False, FAST, share=0.2, protected=0.5, work_ms=8.0),
        ServiceMix("renderhall", 4, False, MAY_WAIT, share=0.1, protected=0.2, work_ms=60.0),
        ServiceMix("filings", 3, False, FAST, share=0.1, protected=0.8, work_ms=12.0),
    ),
    slots=12,
    connections=130,
)
QUADRO_VIVO = Mix(
    name="quadro-vivo",
    failure_domains=("recife", "fortaleza", "salvador"),
    services=(
        ServiceMix("painel", 4, True, FAST, share=0.6, protected=0.2, work_ms=6.0),
        ServiceMix("recepcao", 3, False, FAST, share=0.2, protected=0.5, work_ms=8.0),
        ServiceMix("auditoria", 3, False, MAY_WAIT, share=0.1, protected=0.2, work_ms=40.0),
        ServiceMix("governanca", 3, False, FAST, share=0.1, protected=0.4, work_ms=8.0),
    ),
    slots=6,
    connections=60,
)
MIXES: Mapping[str, Mix] = {mix.name: mix for mix in (MAGNOLIA, QUADRO_VIVO)}
