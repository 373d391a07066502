"""Scenarios of the gate, each with its mechanism off and on in one run.

Run one by name::

    python -m benchmarks.gate_scenarios queue
"""

from __future__ import annotations

import asyncio
import os
import sys
from typing import TYPE_CHECKING, TypeAlias

from benchmarks.load import (
    Load,
    Stream,
    count_false_refusals,
    describe,
    open_session,
    put_in_force,
)
from persimmondock._domain.mechanisms import Mechanism
from persimmondock.configuration import Configuration, Urgency
from persimmondock.standins.fleet import Fleet, VmPlan

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

NETWORK = 31
WITHOUT_VARIABLE = "PERSIMMONDOCK_GATE_WITHOUT"
DOMAINS = ("recife", "fortaleza", "salvador")
Scenario: TypeAlias = "Callable[[Load], Awaitable[None]]"


def build_configuration() -> Configuration:
    """Return one service with keys and one without."""
    configuration = Configuration()
    routes = [
        {"suffix": "/audit", "urgency": Urgency.MAY_WAIT},
        {"suffix": "/assign", "idempotent": False},
    ]
    configuration.add_service("painel", path="/painel", keyed=True, slices=64, routes=routes)
    configuration.add_service("recepcao", path="/recepcao", slices=64, routes=routes)
    return configuration


def build_plans(count: int, **options: float) -> list[VmPlan]:
    """Return VMs with backend servers of the service with keys, then of the other."""
    return [
        VmPlan(
            number,
            DOMAINS[number % 3],
            "painel" if number <= count else "recepcao",
            **options,  # type: ignore[arg-type]
        )
        for number in range(1, 2 * count + 1)
    ]


async def run_on_fleet(
    plans: Sequence[VmPlan], without: Sequence[Mechanism], scenario: Scenario
) -> None:
    """Run a scenario on a fresh fleet with some mechanisms off."""
    os.environ[WITHOUT_VARIABLE] = "[" + ", ".join(without) + "]"
    fleet = Fleet(plans, network=NETWORK)
    try:
        await fleet.start()
        await put_in_force(fleet, build_configuration())
        await fleet.wait_until_placed(["painel", "recepcao"], list(fleet.plans))
        async with open_session() as session:
            load = Load(fleet, session, list(fleet.plans))
            await scenario(load)
    finally:
        await fleet.stop()
        del os.environ[WITHOUT_VARIABLE]


def show_streams(load: Load, label: str, since: float = 0.0) -> None:
    """Print what the callers of each stream saw."""
    samples = [sample for sample in load.samples if sample.sent_at >= since]
    for name in dict.fromkeys(sample.stream for sample in samples):
        chosen = [sample for sample in samples if sample.stream == name]
        print(f"{label} stream={name} {describe(chosen)}", flush=True)
    false = count_false_refusals(load.samples, load.fleet.read_journals())
    print(f"{label} refused_as_not_run_but_ran={false}", flush=True)


async def compare_queues() -> None:
    """Offer a third more than the backend servers can do, half of it deferrable."""

    async def overload(load: Load) -> None:
        await load.send_streams([Stream("warm-up", "/painel/{key}/show", 100, 2.0)], 3.0)
        load.samples.clear()
        fast = Stream("fast", "/painel/{key}/show", 120, 1.0)
        deferrable = Stream("deferrable", "/painel/{key}/audit", 120, 8.0)
        await load.send_streams([fast, deferrable], 10.0)

    for label, without in (("queue=off", [Mechanism.QUEUE]), ("queue=on", [])):

        async def measure(load: Load, label: str = label) -> None:
            await overload(load)
            show_streams(load, label)

        await run_on_fleet(build_plans(3, slots=3, work_ms=50), without, measure)


SCENARIOS: dict[str, Callable[[], Awaitable[None]]] = {"queue": compare_queues}


async def main(names: Sequence[str]) -> None:
    """Run the named scenarios, or all."""
    for name in names or SCENARIOS:
        print(f"scenario={name}", flush=True)
        await SCENARIOS[name]()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:]))
