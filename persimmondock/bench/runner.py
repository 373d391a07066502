"""Runs a scenario on a fleet and reports its measures."""

from __future__ import annotations

import asyncio
import json
import shutil
import subprocess
import tempfile
import time
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
import attrs
import numpy as np

from persimmondock._adapters.log_client import HttpLog
from persimmondock._domain.view import Accepted, View, fold
from persimmondock._ports.log import Batch
from persimmondock._tasks.log_follower import READ_LIMIT_RECORDS
from persimmondock._tasks.publisher import publish
from persimmondock._tasks.recovery import decode_entries
from persimmondock.bench.callers import Callers
from persimmondock.bench.faults import FaultPlayer, Scenario, VmLost, VmStarted
from persimmondock.bench.measures import Breach, Measures, RunData, compute_measures
from persimmondock.bench.offered import compute_digest, generate_requests
from persimmondock.standins.fleet import Fleet, FleetError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from persimmondock.bench.mixes import Mix

PUBLISH_TIMEOUT_S = 10.0
CALL_TIMEOUT_S = 8.0
WARM_UP_S = 1.0
SETTLE_S = 1.0  # between the end of the load and the reading of journals
CONFIG_POLL_S = 0.5


@attrs.define
class ScenarioRun:
    """One run of a scenario.

    Parameters
    ----------
    source
        Directory of the package that the fleet runs; None for the package imported here.
    broken
        Name of the mechanism that is broken in the daemons; empty for none.
    """

    mix: Mix
    scenario: Scenario
    seed: int
    network: int = 1
    source: Path | None = None
    broken: str = ""

    async def execute(self) -> Measures:
        """Start a fleet, send the load, inject the faults, and measure.

        Raises
        ------
        FleetError
            If the fleet does not start or does not accept its configuration.
        """
        fleet = Fleet(
            self.mix.build_plans(), network=self.network, source=self.source, broken=self.broken
        )
        try:
            await fleet.start()
            return await self._measure(fleet)
        finally:
            await fleet.stop()

    async def _measure(self, fleet: Fleet) -> Measures:
        configuration = self.mix.build_configuration()
        log = HttpLog(fleet.log_address, fleet.session)
        outcome = await publish(log, configuration, "bench", PUBLISH_TIMEOUT_S)
        if not isinstance(outcome, Accepted):
            raise FleetError(f"configuration not accepted: {outcome}")
        await fleet.wait_until_placed([s.name for s in self.mix.services], list(fleet.plans))
        offers = generate_requests(self.mix, self.scenario.duration_s, self.seed)
        player = FaultPlayer(fleet, self.mix, configuration)
        start_view = await _read_to_end(log, View())
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
        ) as session:
            callers = Callers(session, lambda: self._list_caller_addresses(fleet, player))
            watcher = ConfigWatcher(fleet)
            watch_task = asyncio.create_task(watcher.run())
            started_at = time.time()
            outcomes, _ = await asyncio.gather(callers.send_all(offers), player.play(self.scenario))
            await asyncio.sleep(SETTLE_S)
            await _cancel_task(watch_task)
        end_view, moved = await _count_moves(log, start_view)
        data = RunData(
            mix=self.mix,
            outcomes=outcomes,
            runs=fleet.read_journals(),
            marks=player.marks,
            started_at=started_at,
            digest=compute_digest(offers),
            slices_moved=moved,
            appends=end_view.offset - start_view.offset,
            cold_overloads=await _count_cold_overloads(fleet),
            config_breaches=watcher.breaches,
        )
        return compute_measures(data)

    def _list_caller_addresses(self, fleet: Fleet, player: FaultPlayer) -> list[str]:
        """Return the caller addresses in use; callers stop using a VM shortly after its loss."""
        gone = set()
        for mark in player.marks:
            match mark.fault:
                case VmLost(vm=vm):
                    gone.add(vm)
                case VmStarted(vm=vm):
                    gone.discard(vm)
        return [fleet.find_caller_address(n) for n in fleet.plans if n not in gone]


async def _cancel_task(task: asyncio.Task[None]) -> None:
    """Cancel a task that runs forever; if it ended with an error before, raise the error."""
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task


@attrs.define
class ConfigWatcher:
    """Checks that no daemon's accepted configuration reverts to an older version."""

    fleet: Fleet
    breaches: list[Breach] = attrs.field(factory=list)
    _newest_offsets: dict[tuple[int, str], int] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Poll all daemons until cancelled."""
        started_at = time.monotonic()
        while True:
            for number in self.fleet.plans:
                await self._check(number, time.monotonic() - started_at)
            await asyncio.sleep(CONFIG_POLL_S)

    async def _check(self, number: int, at_s: float) -> None:
        try:
            state = await asyncio.wait_for(self.fleet.dump(number), CONFIG_POLL_S)
        except (TimeoutError, aiohttp.ClientError):
            return
        incarnation = state["incarnation"] or -1
        for subject, version in state.get("subjects", {}).items():
            offset = version["offset"]
            key = (number, f"{incarnation} {subject}")
            if offset < self._newest_offsets.get(key, -1):
                breach = Breach("configuration never reverts", at_s, f"vm-{number} {subject}")
                self.breaches.append(breach)
            self._newest_offsets[key] = max(offset, self._newest_offsets.get(key, -1))


async def _read_to_end(log: HttpLog, view: View) -> View:
    """Return the view with all records up to the end of the log."""
    while True:
        outcome = await log.read(view.offset, READ_LIMIT_RECORDS, 0.0)
        if not isinstance(outcome, Batch):
            await asyncio.sleep(CONFIG_POLL_S)
            continue
        for offset, record in decode_entries(outcome.entries):
            view = fold(view, offset, record)
        if outcome.following >= outcome.end:
            return view


async def _count_moves(log: HttpLog, view: View) -> tuple[View, int]:
    """Return the view at the log's end and how many times a slice changed its owner."""
    moved = 0
    while True:
        outcome = await log.read(view.offset, READ_LIMIT_RECORDS, 0.0)
        if not isinstance(outcome, Batch):
            await asyncio.sleep(CONFIG_POLL_S)
            continue
        for offset, record in decode_entries(outcome.entries):
            before, view = view, fold(view, offset, record)
            for name, state in view.services.items():
                if name in before.services:
                    moved += int(np.sum(state.owners != before.services[name].owners))
        if outcome.following >= outcome.end:
            return view, moved


async def _count_cold_overloads(fleet: Fleet) -> int:
    """Return how many requests overloaded a cold backend server."""
    count = 0
    for number in fleet.plans:
        url = f"http://{fleet.find_backend_address(number)}/control/journal"
        try:
            async with fleet.session.get(url) as response:
                count += (await response.json())["overloads_while_cold"]
        except (TimeoutError, aiohttp.ClientError):
            continue
    return count


@contextmanager
def check_out_revision(revision: str) -> Iterator[Path]:
    """Extract an earlier commit of this repository into a directory that is removed afterwards."""
    folder = Path(tempfile.mkdtemp(prefix="persimmondock-rev-"))
    root = Path(__file__).resolve().parents[2]
    command = ["git", "-C", str(root), "archive", revision, "persimmondock"]
    try:
        archive = subprocess.run(command, check=True, capture_output=True).stdout
        subprocess.run(["tar", "-x", "-C", str(folder)], input=archive, check=True)
        yield folder
    finally:
        shutil.rmtree(folder)


def render_json(results: dict[str, Measures]) -> str:
    """Return the measures of several runs as JSON."""
    return json.dumps({name: attrs.asdict(m) for name, m in results.items()}, indent=2)


def show_table(results: dict[str, Measures], show: Callable[[str], None]) -> None:
    """Print the measures of several runs side by side."""
    columns = [_list_cells(measures) for measures in results.values()]
    width = 28
    show(f"{'':{width}}" + "".join(f"{name:>{width}}" for name in results))
    for name in columns[0]:
        show(f"{name:{width}}" + "".join(f"{cells[name]:>{width}}" for cells in columns))
    for name, measures in results.items():
        _show_details(name, measures, show)


def _list_cells(measures: Measures) -> dict[str, str]:
    cells = {
        "requests offered": str(measures.offered),
        "answered": str(measures.verdicts.get("answered", 0)),
        "attempts / offered": f"{measures.attempts_over_offered:.3f}",
        "unavailable p50 s": f"{measures.unavailable_p50_s:.2f}",
        "unavailable p99 s": f"{measures.unavailable_p99_s:.2f}",
        "unavailable max s": f"{measures.unavailable_max_s:.2f}",
        "unavailable total s": f"{measures.unavailable_total_s:.2f}",
        "slices moved": str(measures.slices_moved),
        "log records": str(measures.appends),
        "overloads while cold": str(measures.cold_overloads),
        "answered in domain move": f"{measures.domain_move_answered:.4f}",
        "p99 ms in domain move": f"{measures.domain_move_p99_ms:.1f}",
        "invariants broken": str(len(measures.breaches)),
    }
    for latency in measures.latencies:
        text = f"{latency.p50_ms:.1f} {latency.p99_ms:.1f} {latency.p999_ms:.1f}"
        cells[f"{latency.name} p50 p99 p99.9"] = text
    for service, value in measures.imbalance.items():
        cells[f"{service} imbalance"] = f"{value:.2f}"
    return cells


def _show_details(name: str, measures: Measures, show: Callable[[str], None]) -> None:
    show(f"{name}: offered digest {measures.digest}")
    show(f"{name}: verdicts {measures.verdicts}, reasons {measures.reasons}")
    for fault in measures.faults:
        show(f"{name}: fault {fault}")
    for breach in measures.breaches[:10]:
        show(f"{name}: BROKEN {breach.invariant} at {breach.at_s:.2f} s: {breach.subject}")
