"""Scenarios of the gate; those of a mechanism run with it off and then on.

``python -m benchmarks.gate_scenarios [NAME ...]`` runs the named scenarios, or all of them.
"""

from __future__ import annotations

import asyncio
import math
import os
import signal
import sys
import time
from functools import partial
from typing import TYPE_CHECKING, TypeAlias

import attrs

from benchmarks.load import (
    SLICES,
    Load,
    Stream,
    count_false_refusals,
    find_keys,
    format_samples,
    open_session,
    publish_configuration,
)
from persimmondock._domain.mechanisms import Mechanism
from persimmondock.configuration import Configuration, Urgency
from persimmondock.standins.checks import find_repeated_runs
from persimmondock.standins.fleet import Fleet, VmPlan

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

NETWORK = 31
DISABLED_VARIABLE = "PERSIMMONDOCK_GATE_WITHOUT"
REQUEST_ID_MS = 6_000
EXIT_POLL_S = 0.01
DOMAINS = ("recife", "fortaleza", "salvador")
Measurement: TypeAlias = "Callable[[Load], Awaitable[None]]"


def build_configuration() -> Configuration:
    """Return the configuration of a service with keys and one without."""
    configuration = Configuration()
    routes = [
        {"suffix": "/audit", "urgency": Urgency.MAY_WAIT},
        {"suffix": "/assign", "idempotent": False},
    ]
    configuration.add_service(
        "painel",
        path="/painel",
        keyed=True,
        slices=SLICES,
        routes=routes,
        request_id_ms=REQUEST_ID_MS,
    )
    configuration.add_service("recepcao", path="/recepcao", slices=SLICES, routes=routes)
    return configuration


def build_plans(count: int, **options: float) -> list[VmPlan]:
    """Return ``count`` VMs for the service with keys, then as many for the other."""
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
    plans: Sequence[VmPlan], disabled: Sequence[Mechanism], measurement: Measurement
) -> None:
    """Run a measurement on a new fleet with some mechanisms off."""
    os.environ[DISABLED_VARIABLE] = ",".join(disabled)
    fleet = Fleet(plans, network=NETWORK)
    try:
        await fleet.start()
        await publish_configuration(fleet, build_configuration())
        await fleet.wait_until_placed(["painel", "recepcao"], list(fleet.plans))
        async with open_session() as session:
            load = Load(fleet, session, list(fleet.plans))
            await measurement(load)
    finally:
        await fleet.stop()
        del os.environ[DISABLED_VARIABLE]


def print_streams(load: Load, label: str, since: float = 0.0, until: float = math.inf) -> None:
    """Print verdicts, reasons and latencies of each stream."""
    samples = [sample for sample in load.samples if since <= sample.sent_at < until]
    for name in dict.fromkeys(sample.stream for sample in samples):
        chosen = [sample for sample in samples if sample.stream == name]
        print(f"{label} stream={name} {format_samples(chosen)}", flush=True)
    false_refusals = count_false_refusals(load.samples, load.fleet.read_journals())
    print(f"{label} refused_as_not_run_but_ran={false_refusals}", flush=True)


async def compare_queues() -> None:
    """Offer a third more than the capacity of the backend servers, half of it deferrable."""

    async def measure(load: Load, label: str) -> None:
        await load.send_streams([Stream("warm-up", "/painel/{key}/show", 100, 2.0)], 3.0)
        load.samples.clear()
        fast = Stream("fast", "/painel/{key}/show", 120, 1.0)
        deferrable = Stream("deferrable", "/painel/{key}/audit", 120, 8.0)
        await load.send_streams([fast, deferrable], 10.0)
        print_streams(load, label)

    plans = build_plans(3, slots=3, work_ms=50)
    for label, disabled in (("queue=off", [Mechanism.QUEUE]), ("queue=on", [])):
        await run_on_fleet(plans, disabled, partial(measure, label=label))


async def print_backend(load: Load, label: str, number: int) -> None:
    """Print the counters of a backend server."""
    url = f"http://{load.fleet.find_backend_address(number)}/control/journal"
    async with load.fleet.session.get(url) as response:
        state = await response.json()
    del state["entries"]
    print(f"{label} {state}", flush=True)


async def compare_ramps() -> None:
    """Start a cold backend server under load, turn it cold unannounced, and restart it."""

    async def measure(load: Load, label: str) -> None:
        stream = Stream("fast", "/painel/{key}/show", 300, 1.0)
        sending = asyncio.create_task(load.send_streams([stream], 14.0))
        await asyncio.sleep(4.0)
        await print_backend(load, f"{label} phase=cold_start", 1)
        await load.fleet.set_backend_faults(1, turn_cold=True)
        turned_cold_at = time.time()
        await asyncio.sleep(5.0)
        await print_backend(load, f"{label} phase=turned_cold", 1)
        load.fleet.signal_process("backend-1", signal.SIGKILL)
        load.fleet.start_backend(1)
        await sending
        await print_backend(load, f"{label} phase=restarted", 1)
        print_streams(load, label)
        print_streams(load, f"{label} phase=turned_cold", turned_cold_at, turned_cold_at + 5.0)

    plans = build_plans(3, slots=12, work_ms=50)
    for label, disabled in (("ramp=off", [Mechanism.RAMP]), ("ramp=on", [])):
        await run_on_fleet(plans, disabled, partial(measure, label=label))


async def warm_up(load: Load) -> Stream:
    """Return a stream of the keys of VM 1 after a warm-up at 20, then 150 requests/s."""
    stream = Stream("fast", "/painel/{key}/show", 20, 1.0, await find_keys(load.fleet, 1))
    await load.send_streams([stream], 3.0)
    await load.send_streams([attrs.evolve(stream, rate=150)], 3.0)
    load.samples.clear()
    return stream


async def compare_limits() -> None:
    """Let one backend server refuse requests above a third of its announced slots."""

    async def measure(load: Load, label: str) -> None:
        stream = await warm_up(load)
        await load.fleet.set_backend_faults(1, usable_slots=4)
        await load.send_streams([attrs.evolve(stream, name="shedding", rate=70)], 8.0)
        await print_backend(load, label, 1)
        print_streams(load, label)

    plans = build_plans(3, slots=12, work_ms=50)
    for label, disabled in (("limit=off", [Mechanism.LIMIT]), ("limit=on", [])):
        await run_on_fleet(plans, disabled, partial(measure, label=label))


async def compare_slowed() -> None:
    """Slow one backend server with keys down by a factor of 4 for 6 seconds.

    The gate runs without its mechanisms, with the queue alone, and with all of them.
    """

    async def measure(load: Load, label: str) -> None:
        stream = await warm_up(load)
        await load.fleet.set_backend_faults(1, slowness=4.0)
        await load.send_streams([attrs.evolve(stream, name="slowed", rate=50)], 6.0)
        await load.fleet.set_backend_faults(1, slowness=1.0)
        await load.send_streams([attrs.evolve(stream, name="after", rate=50)], 4.0)
        print_streams(load, label)

    plans = build_plans(3, slots=12, work_ms=50)
    mechanisms = [Mechanism.QUEUE, Mechanism.LIMIT, Mechanism.RAMP]
    for label, disabled in (
        ("gate=off", mechanisms),
        ("gate=queue", [Mechanism.LIMIT, Mechanism.RAMP]),
        ("gate=on", []),
    ):
        await run_on_fleet(plans, disabled, partial(measure, label=label))


async def compare_mixed() -> None:
    """Mix short and long requests of one kind on a healthy backend server."""

    async def measure(load: Load, label: str) -> None:
        stream = await warm_up(load)
        short = attrs.evolve(stream, name="short", rate=80)
        long = attrs.evolve(stream, name="long", rate=9, deadline_s=3.0)
        await asyncio.gather(
            load.send_streams([short], 10.0, {"Standin-Work-Ms": "20"}),
            load.send_streams([long], 10.0, {"Standin-Work-Ms": "500"}),
        )
        print_streams(load, label)

    plans = build_plans(3, slots=12, work_ms=50)
    for label, disabled in (("ramp=off", [Mechanism.RAMP]), ("ramp=on", [])):
        await run_on_fleet(plans, disabled, partial(measure, label=label))


async def run_resends() -> None:
    """Send each request identifier three times; then lose a VM and send new identifiers.

    For every second identifier, the caller of the first request disconnects early.
    """

    async def send_three_times(load: Load, stream: Stream, number: int) -> None:
        headers = {"Idempotency-Key": f"resend-{number}"}
        path = f"/painel/key-{number % 200}/assign"
        stream = attrs.evolve(stream, path=path)
        first = asyncio.create_task(load.send(stream, headers, unique_path=False))
        await asyncio.sleep(0.01)
        later = [load.send(stream, headers, unique_path=False) for _ in range(2)]
        if number % 2:
            first.cancel()
        await asyncio.gather(first, *later, return_exceptions=True)

    async def measure(load: Load) -> None:
        stream = Stream("resent", "", 0, 1.0)
        for start in range(0, 600, 20):
            calls = [send_three_times(load, stream, start + index) for index in range(20)]
            await asyncio.gather(*calls)
        print_streams(load, "resends")
        repeated = find_repeated_runs(load.fleet.read_journals())
        print(f"resends ran_twice={len(repeated)}", flush=True)
        load.samples.clear()
        keys = await find_keys(load.fleet, 1)
        load.fleet.kill_vm(1)
        load.vm_numbers = [number for number in load.vm_numbers if number != 1]
        killed_at = time.time()
        while time.time() < killed_at + 12.0:
            stream = Stream("after loss", "/painel/{key}/assign", 0, 0.5, keys)
            await load.send(stream, {"Idempotency-Key": f"new-{time.time()}"})
            await asyncio.sleep(0.05)
        answered = [s.sent_at - killed_at for s in load.samples if s.verdict == "answered"]
        print(f"loss first_answer_s={min(answered):.2f}", flush=True)
        print_streams(load, "loss")

    await run_on_fleet(build_plans(3, slots=12, work_ms=50), [], measure)


async def restart_dead_backends(fleet: Fleet, kills: list[float]) -> None:
    """Restart backend servers that have died and record the times."""
    while True:
        for number in fleet.plans:
            if await fleet.wait_for_exit(f"backend-{number}", EXIT_POLL_S) is not None:
                kills.append(time.time())
                fleet.start_backend(number)


async def compare_poison() -> None:
    """Send requests that crash backend servers through all daemons, beside ordinary load."""

    async def measure(load: Load, label: str) -> None:
        await load.send_streams([Stream("warm-up", "/painel/{key}/show", 60, 1.0)], 4.0)
        load.samples.clear()
        for path in ("/painel/key-7/poison", "/recepcao/key-7/poison"):
            kills: list[float] = []
            supervisor = asyncio.create_task(restart_dead_backends(load.fleet, kills))
            poison = Stream(f"poison {path}", path, 10, 2.0)
            others = [
                Stream(f"beside {path}", "/painel/{key}/show", 60, 3.0),
                Stream(f"beside {path}", "/recepcao/{key}/show", 60, 3.0),
            ]
            await asyncio.gather(
                load.send_streams([poison], 12.0, {"Standin-Poison": "1"}, unique_path=False),
                load.send_streams(others, 13.0),
            )
            supervisor.cancel()
            print(f"{label} path={path} kills={len(kills)}", flush=True)
        print_streams(load, label)

    plans = build_plans(3, slots=12, work_ms=50)
    for label, disabled in (("poison=off", [Mechanism.POISON]), ("poison=on", [])):
        await run_on_fleet(plans, disabled, partial(measure, label=label))


async def run_drains() -> None:
    """Drain two backend servers, then stop two daemons, under load."""

    async def measure(load: Load) -> None:
        # The daemons of VMs 2 and 5 are stopped below.
        load.vm_numbers = [1, 3, 4, 6]
        streams = [
            Stream("keyed", "/painel/{key}/show", 30, 3.0),
            Stream("plain", "/recepcao/{key}/show", 30, 3.0),
        ]
        await load.send_streams(streams, 4.0)
        load.samples.clear()
        sending = asyncio.create_task(load.send_streams(streams, 14.0))
        await asyncio.sleep(3.0)
        configuration = build_configuration()
        configuration.drain("backend-1")
        configuration.drain("backend-4")
        drained_at = time.time()
        await publish_configuration(load.fleet, configuration)
        await asyncio.sleep(4.0)
        left_at = time.time()
        for number in (2, 5):
            load.fleet.signal_process(f"daemon-{number}", signal.SIGTERM)
        codes = [await load.fleet.wait_for_exit(f"daemon-{n}", 6.0) for n in (2, 5)]
        await sending
        runs = load.fleet.read_journals()
        drain_starts = {"drained": (drained_at, (1, 4)), "leaving": (left_at, (2, 5))}
        for name, (since, vm_numbers) in drain_starts.items():
            names = {f"backend-{number}" for number in vm_numbers}
            last = max(run.started_at for run in runs if run.backend in names)
            print(f"{name} last_new_work_after_s={last - since:.2f}", flush=True)
        cut = sum(not run.completed for run in runs)
        print(f"cut_runs={cut} exit_codes={codes}", flush=True)
        print_streams(load, "drain")

    await run_on_fleet(build_plans(3, slots=12, work_ms=200), [], measure)


SCENARIOS: dict[str, Callable[[], Awaitable[None]]] = {
    "queue": compare_queues,
    "ramp": compare_ramps,
    "limit": compare_limits,
    "slowed": compare_slowed,
    "mixed": compare_mixed,
    "resends": run_resends,
    "poison": compare_poison,
    "drain": run_drains,
}


async def main(names: Sequence[str]) -> None:
    """Run the named scenarios, or all."""
    for name in names or SCENARIOS:
        print(f"scenario={name}", flush=True)
        await SCENARIOS[name]()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:]))
