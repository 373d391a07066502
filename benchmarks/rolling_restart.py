"""Operations on a small fleet under load: domain out and back, drain, rolling restart.

``python -m benchmarks.rolling_restart --network N`` runs them while callers send a mix of requests.
Each request is sent once; only when a daemon refuses the connection does it go to another one. A
request counts as cut if it ends without a verdict or with a verdict other than ``answered``.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import sys
import time
import uuid
from collections import Counter

import aiohttp
import attrs

from persimmondock.standins.checks import find_false_refusals, find_overlaps, find_repeated_runs
from persimmondock.standins.demo import KEYED_SERVICES, SERVICES, build_configuration, build_plans
from persimmondock.standins.fleet import PROGRAM, Fleet

CALLERS = 16
CALL_TIMEOUT_S = 12.0
# For a daemon to exit and for slices to move out of or into a failure domain.
CHANGE_TIMEOUT_S = 20.0
SETTLE_S = 1.0
DOMAIN = "fortaleza"
SEED = 51


@attrs.define
class Load:
    """Concurrent callers and what they have recorded.

    Parameters
    ----------
    vm_numbers
        VMs whose daemons get requests.
    cut
        Number of cut requests by error type or by verdict and reason.
    not_run
        Identifiers of requests that were refused as not run.
    stopping
        Ends the callers after their current requests.
    """

    fleet: Fleet
    session: aiohttp.ClientSession
    vm_numbers: set[int]
    verdicts: Counter[str] = attrs.field(factory=Counter)
    cut: Counter[str] = attrs.field(factory=Counter)
    latencies_ms: list[float] = attrs.field(factory=list)
    not_run: set[str] = attrs.field(factory=set)
    connections_refused: int = 0
    stopping: bool = False
    random: random.Random = attrs.field(factory=lambda: random.Random(SEED))

    async def run(self) -> None:
        """Send requests from all callers until ``stopping`` is set."""
        await asyncio.gather(*(self._call_repeatedly() for _ in range(CALLERS)))

    async def _call_repeatedly(self) -> None:
        while not self.stopping:
            # Protected requests are not idempotent and have a request identifier.
            protected = self.random.random() < 0.3
            service = self.random.choice(SERVICES)
            suffix = "assign" if protected else "show"
            request_id = uuid.UUID(int=self.random.getrandbits(128)).hex if protected else ""
            await self._call(f"/{service}/key-{self.random.randrange(500)}/{suffix}", request_id)

    async def _call(self, path: str, request_id: str) -> None:
        headers = {"Persimmondock-First-Attempt": "true"}
        if request_id:
            headers["Idempotency-Key"] = request_id
        while True:
            number = self.random.choice(sorted(self.vm_numbers))
            url = f"http://{self.fleet.find_caller_address(number)}{path}"
            started = time.perf_counter()
            try:
                async with self.session.post(url, headers=headers) as response:
                    await response.read()
            except aiohttp.ClientConnectorError:
                self.connections_refused += 1
                await asyncio.sleep(0.01)
                continue
            except (TimeoutError, aiohttp.ClientError) as error:
                self.cut[type(error).__name__] += 1
                return
            self._record_response(response, request_id, time.perf_counter() - started)
            return

    def _record_response(
        self, response: aiohttp.ClientResponse, request_id: str, latency_s: float
    ) -> None:
        verdict = response.headers.get("Persimmondock-Verdict", "none")
        self.verdicts[verdict] += 1
        self.latencies_ms.append(latency_s * 1000)
        if verdict != "answered":
            self.cut[f"{verdict}/{response.headers.get('Persimmondock-Reason', '')}"] += 1
        if verdict == "not_run" and request_id:
            self.not_run.add(request_id)


async def run_command(*arguments: str) -> tuple[int, str]:
    """Run a command of the program; return its exit code and output."""
    process = await asyncio.create_subprocess_exec(
        *PROGRAM, *arguments, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
    )
    output, _ = await process.communicate()
    assert process.returncode is not None
    return process.returncode, output.decode()


async def run_checked(*arguments: str) -> str:
    """Run a command of the program and return its output.

    Raises
    ------
    RuntimeError
        If the command fails.
    """
    code, output = await run_command(*arguments)
    if code:
        raise RuntimeError(f"{' '.join(arguments)}: exit code {code}: {output}")
    return output


async def run_operations(fleet: Fleet, load: Load, restarts: int) -> list[str]:
    """Run the operations and return lines with the results.

    Raises
    ------
    RuntimeError
        If a command fails, or a daemon or a failure domain does not reach its new state.
    """
    log = ("--log", fleet.log_address)
    lines = []
    for command in (("domain", "out", DOMAIN), ("domain", "back", DOMAIN)):
        started = time.monotonic()
        await run_checked(*command, *log, "--author", "bench")
        accepted = time.monotonic()
        changed = await _wait_for_domain(fleet, command[1] == "out")
        lines.append(
            f"{' '.join(command)}: command {accepted - started:.2f} s, then "
            f"{changed - accepted:.2f} s until none or all of its backend servers own slices"
        )
        await asyncio.sleep(SETTLE_S)
    for command in (("drain", "backend-3"), ("undrain", "backend-3")):
        lines.append(f"{' '.join(command)}: {(await run_checked(*command, *log)).strip()}")
        await asyncio.sleep(SETTLE_S)
    exit_times_s = []
    for number in list(fleet.plans)[:restarts]:
        started = time.monotonic()
        fleet.signal_process(f"daemon-{number}", signal.SIGTERM)
        code = await fleet.wait_for_exit(f"daemon-{number}", CHANGE_TIMEOUT_S)
        if code != 0:
            print(await run_checked("dump", fleet.find_operator_address(number)), file=sys.stderr)
            print(fleet.read_output(f"daemon-{number}")[-3000:], file=sys.stderr)
            raise RuntimeError(f"daemon-{number} did not exit cleanly: exit code {code}")
        exit_times_s.append(time.monotonic() - started)
        fleet.start_daemon(number)
        await fleet.wait_until_placed(SERVICES, list(fleet.plans))
    lines.append(f"restarts {len(exit_times_s)}, seconds to leave: worst {max(exit_times_s):.2f}")
    return lines


async def _wait_for_domain(fleet: Fleet, out: bool) -> float:
    """Wait until no backend server of the failure domain owns slices, or all of them do."""
    names = {f"backend-{n}" for n, p in fleet.plans.items() if p.failure_domain == DOMAIN}
    deadline = time.monotonic() + CHANGE_TIMEOUT_S
    while time.monotonic() < deadline:
        dumps = [await fleet.dump(number) for number in fleet.plans]
        owned = [
            backend["slices"]
            for dump in dumps
            for service in dump["services"].values()
            for name, backend in service["backends"].items()
            if name in names
        ]
        if not any(owned) if out else all(owned):
            return time.monotonic()
        await asyncio.sleep(0.05)
    raise RuntimeError(
        f"slices of failure domain {DOMAIN} have not moved within {CHANGE_TIMEOUT_S} s"
    )


async def run(network: int, restarts: int) -> int:
    """Run the scenario and return the exit status of `report`."""
    fleet = Fleet(build_plans(), network=network)
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    try:
        await fleet.start()
        path = fleet.write_file("fleet.yaml", build_configuration().render())
        print((await run_checked("publish", path, "--log", fleet.log_address)).strip())
        await fleet.wait_until_placed(SERVICES, list(fleet.plans))
        async with aiohttp.ClientSession(timeout=timeout) as session:
            load = Load(fleet, session, set(fleet.plans))
            sending = asyncio.create_task(load.run())
            try:
                lines = await run_operations(fleet, load, restarts)
                lines += await _query_fleet(fleet)
            finally:
                load.stopping = True
                await sending
        return report(fleet, load, lines)
    finally:
        await fleet.stop()


async def _query_fleet(fleet: Fleet) -> list[str]:
    """Return the output of the commands that show the state of the fleet."""
    address = fleet.find_operator_address(1)
    log = ("--log", fleet.log_address)
    return [
        await run_checked("status", address),
        await run_checked("explain", address, KEYED_SERVICES[0], "key-1", *log),
        await run_checked("log", "tail", "--count", "3", *log),
    ]


def report(fleet: Fleet, load: Load, lines: list[str]) -> int:
    """Print the results; return 0 if no request was cut and all invariants held, else 1."""
    runs = fleet.read_journals()
    services = {f"backend-{n}": plan.service for n, plan in fleet.plans.items()}
    sorted_latencies_ms = sorted(load.latencies_ms)
    violations = {
        "cut": sum(load.cut.values()),
        "non-idempotent run twice": len(find_repeated_runs(runs)),
        "refused as not run, had run": len(find_false_refusals(runs, load.not_run)),
        "slices with two owners": len(find_overlaps(runs, services)),
    }
    print("\n".join(lines))
    print(f"requests by verdict {dict(load.verdicts)}")
    print(f"connections refused, another daemon taken {load.connections_refused}")
    print(f"cut by kind {dict(load.cut)}")
    for share in (0.5, 0.99, 1.0):
        index = min(len(sorted_latencies_ms) - 1, int(share * len(sorted_latencies_ms)))
        print(f"latency at {share:g}: {sorted_latencies_ms[index]:.1f} ms")
    print(violations)
    return 1 if any(violations.values()) else 0


def main() -> int:
    """Read the options and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--network", type=int, default=1)
    parser.add_argument("--restarts", type=int, default=9)
    options = parser.parse_args()
    return asyncio.run(run(options.network, options.restarts))


if __name__ == "__main__":
    sys.exit(main())
