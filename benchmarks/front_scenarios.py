"""Scenarios of the front, each run with one mechanism off and then on.

``python -m benchmarks.front_scenarios [NAME ...]`` runs the named scenarios, or all of them.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from collections import Counter
from itertools import pairwise
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs

from benchmarks.offered_load import OfferedLoad
from benchmarks.variant import COUNTERS_VARIABLE, DISABLED_VARIABLE
from persimmondock._adapters.log_client import HttpLog
from persimmondock._domain.view import Accepted
from persimmondock._tasks.publisher import publish
from persimmondock.configuration import Configuration
from persimmondock.standins import fleet as fleet_module
from persimmondock.standins.fleet import Fleet, VmPlan

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

NETWORK = 41
DOMAINS = ("recife", "fortaleza", "salvador")
PROGRAM = (sys.executable, "-m", "benchmarks.variant")
PUBLISH_TIMEOUT_S = 10.0
WARM_UP_S = 2.0
QUANTILES = (0.5, 0.99, 0.999)


@attrs.define
class Testbed:
    """A fleet under load.

    Parameters
    ----------
    folder
        Where the daemons write their counters.
    """

    fleet: Fleet
    folder: Path
    load: OfferedLoad

    async def publish(self, configuration: Configuration) -> None:
        """Publish a configuration and check that it was accepted."""
        log = HttpLog(self.fleet.log_address, self.fleet.session)
        outcome = await publish(log, configuration, "benchmark", PUBLISH_TIMEOUT_S)
        assert isinstance(outcome, Accepted), outcome

    def compute_attempt_ratios(self, since: float, until: float) -> tuple[float, float]:
        """Return attempts per offered request, overall and in the worst second.

        Seconds with fewer than 10 offered requests do not count as the worst.
        """
        totals_by_second: dict[int, list[int]] = {}
        for path in self.folder.glob("*.counters"):
            rows = [line.split() for line in path.read_text().splitlines()]
            for before, after in pairwise(rows):
                at = float(after[0])
                if since <= at < until:
                    totals = totals_by_second.setdefault(int(at), [0, 0])
                    totals[0] += int(after[1]) - int(before[1])
                    totals[1] += int(after[2]) - int(before[2])
        offered = sum(totals[0] for totals in totals_by_second.values())
        attempts = sum(totals[1] for totals in totals_by_second.values())
        peak = max(totals[1] / totals[0] for totals in totals_by_second.values() if totals[0] >= 10)
        return attempts / offered, peak


@attrs.frozen
class Scenario:
    """A load and a fault on a fleet.

    Parameters
    ----------
    mechanism
        The mechanism that is off in the first run, by its name in `benchmarks.variant.disable`.
    inject_fault
        Runs beside the load.
    keyed
        Whether the service has keys.
    """

    mechanism: str
    plans: tuple[VmPlan, ...]
    rate_per_s: float
    duration_s: float
    inject_fault: Callable[[Testbed], Awaitable[None]]
    keyed: bool = False


def make_plans(count: int, **options: Any) -> tuple[VmPlan, ...]:
    """Return VMs of one service in three failure domains."""
    return tuple(
        VmPlan(number, DOMAINS[number % len(DOMAINS)], "painel", **options)
        for number in range(1, count + 1)
    )


def make_configuration(keyed: bool) -> Configuration:
    """Return the configuration of one service whose requests are idempotent."""
    configuration = Configuration()
    configuration.add_service("painel", path="/painel", keyed=keyed, slices=64, timeout_ms=4_000)
    return configuration


async def run_once(scenario: Scenario, disabled: str) -> Testbed:
    """Run a scenario on a new fleet without the named mechanism, and print the results."""
    # The fleet starts `benchmarks.variant` in place of the normal program.
    fleet_module.PROGRAM = PROGRAM
    fleet = Fleet(scenario.plans, network=NETWORK)
    numbers = [plan.number for plan in scenario.plans]
    with tempfile.TemporaryDirectory() as folder:
        fleet_module.os.environ.update({COUNTERS_VARIABLE: folder, DISABLED_VARIABLE: disabled})
        addresses = [fleet.find_caller_address(number) for number in numbers]
        paths = [f"/painel/key-{number}/show" for number in range(200)]
        testbed = Testbed(fleet, Path(folder), OfferedLoad(addresses, scenario.rate_per_s, paths))
        try:
            await fleet.start()
            await testbed.publish(make_configuration(scenario.keyed))
            await fleet.wait_until_placed(["painel"] if scenario.keyed else [], numbers)
            await asyncio.sleep(WARM_UP_S)
            started_at = time.time()
            await asyncio.gather(
                testbed.load.run(scenario.duration_s), scenario.inject_fault(testbed)
            )
            report(disabled or "all on", testbed, started_at)
        finally:
            await fleet.stop()
    return testbed


def report(name: str, testbed: Testbed, started_at: float) -> None:
    """Print the results of one run."""
    overall, peak = testbed.compute_attempt_ratios(started_at + 1, time.time())
    latencies_ms = [outcome.latency_s * 1000 for outcome in testbed.load.outcomes]
    refused_ms = [
        outcome.latency_s * 1000
        for outcome in testbed.load.outcomes
        if outcome.verdict in ("not_run", "may_have_run")
    ]
    print(f"--- {name}")
    print(f"attempts over offered        {overall:.2f}, worst second {peak:.2f}")
    print(f"verdicts                     {testbed.load.count_verdicts()}")
    print(f"answered p50 p99 p99.9 ms    {testbed.load.compute_quantiles_ms(QUANTILES)}")
    runs = Counter(run.backend for run in testbed.fleet.read_journals())
    print(f"runs by backend server       {dict(sorted(runs.items()))}")
    print(f"slowest answer, refusal ms   {max(latencies_ms):.0f}, {max(refused_ms, default=0):.0f}")


async def refuse_all_work(testbed: Testbed) -> None:
    """Let every backend server refuse all requests for 4 seconds."""
    await asyncio.sleep(3.0)
    await asyncio.gather(
        *(testbed.fleet.set_backend_faults(n, draining=True) for n in _list_vm_numbers(testbed))
    )
    await asyncio.sleep(4.0)
    await asyncio.gather(
        *(testbed.fleet.set_backend_faults(n, draining=False) for n in _list_vm_numbers(testbed))
    )


async def take_domain_out_and_back(testbed: Testbed) -> None:
    """Take a failure domain out and bring it back."""
    configuration = make_configuration(keyed=True)
    for change in (configuration.take_out, configuration.bring_back):
        await asyncio.sleep(3.0)
        change("recife")
        await testbed.publish(configuration)


async def lose_domain(testbed: Testbed) -> None:
    """Kill all VMs of a failure domain at once and restart them after 4 seconds.

    Requests are sent to the other VMs only, from the start.
    """
    lost = [n for n, plan in testbed.fleet.plans.items() if plan.failure_domain == "recife"]
    testbed.load.addresses = [
        testbed.fleet.find_caller_address(n) for n in testbed.fleet.plans if n not in lost
    ]
    await asyncio.sleep(3.0)
    for number in lost:
        testbed.fleet.kill_vm(number)
    await asyncio.sleep(4.0)
    for number in lost:
        testbed.fleet.start_vm(number)


async def slow_one_backend(testbed: Testbed) -> None:
    """Slow one backend server down for most of the run."""
    await asyncio.sleep(1.0)
    await testbed.fleet.set_backend_faults(1, slowness=10.0)


def _list_vm_numbers(testbed: Testbed) -> list[int]:
    return list(testbed.fleet.plans)


SCENARIOS = {
    "straggler": Scenario("choosing", make_plans(4, work_ms=40.0), 60, 20, slow_one_backend),
    "outage": Scenario("retry_budget", make_plans(4), 200, 10, refuse_all_work),
    "domain_lost": Scenario("retry_budget", make_plans(6), 200, 12, lose_domain, keyed=True),
    "domain_out": Scenario(
        "retry_budget", make_plans(6), 200, 10, take_domain_out_and_back, keyed=True
    ),
}


async def main() -> None:
    """Run the scenarios named on the command line, or all."""
    for name in sys.argv[1:] or SCENARIOS:
        scenario = SCENARIOS[name]
        print(f"=== {name}: {scenario.mechanism} off and on, {scenario.rate_per_s} requests/s")
        for disabled in (scenario.mechanism, ""):
            await run_once(scenario, disabled)


if __name__ == "__main__":
    asyncio.run(main())
