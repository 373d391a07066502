"""Grants are meant for one process of a backend server and never reach its successor."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
import pytest

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.assignment import BackendIncarnation
from persimmondock._domain.holdings import GrantedRow, ReportedHoldings, ReportedRow
from persimmondock._domain.range_lease import RangeLease
from persimmondock._domain.site import GrantsInHeartbeats
from persimmondock._tasks.range_keeper import RangeKeeper
from persimmondock.tests.fake_backend import FakeBackend
from persimmondock.tests.sites import make_assignment, make_incarnation, make_range
from persimmondock.tests.virtual_fleet import VirtualFleet
from persimmondock.tests.virtual_network import (
    ServerBehavior,
    ServerProcess,
    VirtualNetwork,
    find_reused_tokens,
    find_shared_holds,
    make_backend_client,
)
from persimmondock.tests.virtual_time import run_in_virtual_time

ADDRESS = "10.0.0.1:80"
TERM_S = 3.5  # longer than a grant lasts
# Seconds after the first grant, which is renewed after 1 s.
CRASH_INSTANTS = [0.9 + 0.004 * number for number in range(320)]


class KeeperOfProcesses:
    """The range keeper of node-1, beside which processes follow each other at one address."""

    def __init__(self, behavior: ServerBehavior | None = None) -> None:
        self.network = VirtualNetwork()
        self.behavior = behavior or ServerBehavior()
        self.keeper = RangeKeeper(make_backend_client(ADDRESS), RangeLease(), "node-1")
        self.process = self.start_process("i-1")
        self.incarnation = self.announce()
        self.assign(self.incarnation, 1)
        self._tasks = [
            asyncio.create_task(self.keeper.run()),
            asyncio.create_task(self._confirm_lease()),
        ]

    def start_process(self, instance: str) -> ServerProcess:
        self.process = ServerProcess(self.network, ADDRESS, instance, self.behavior)
        return self.process

    def announce(self) -> BackendIncarnation:
        """Announce the present process to the daemon."""
        incarnation = BackendIncarnation("node-1", self.process.instance, self.process.born_ms)
        self.keeper.update_incarnation(incarnation)
        return incarnation

    def assign(self, owner: BackendIncarnation, fence: int) -> None:
        """Apply an assignment that gives all keys to an incarnation."""
        key_range = attrs.evolve(make_range(0, 9, 1), owner=owner, fence=fence)
        self.keeper.update_assignment(make_assignment(key_range, offset=fence), fence)
        self.keeper.lease.confirm_by_store(fence, read_clock())

    async def _confirm_lease(self) -> None:
        while True:
            await asyncio.sleep(0.5)
            self.keeper.lease.confirm_by_store(self.keeper.assignment.offset, read_clock())

    async def wait_until_held(self) -> None:
        while self.keeper.count_held() == 0:
            await asyncio.sleep(0.001)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()


async def replace_process(
    crash_after_s: float,
    down_s: float,
    announced_after_s: float,
    unanswered_for_s: float = 0.0,
    is_successor_late: bool = False,
) -> VirtualNetwork:
    """Kill a process that holds keys; another one listens soon and announces itself later.

    Parameters
    ----------
    unanswered_for_s
        Seconds before the crash in which grants get no answer.
    is_successor_late
        Whether the other process answers no grant either, and carries it out 2 s later.
    """
    harness = KeeperOfProcesses()
    await harness.wait_until_held()
    await asyncio.sleep(crash_after_s - unanswered_for_s)
    harness.behavior.late_s = 2.0 if unanswered_for_s else 0.0
    await asyncio.sleep(unanswered_for_s)
    harness.process.kill()
    await asyncio.sleep(down_s)
    harness.behavior.late_s = 2.0 if is_successor_late else 0.0
    harness.start_process("i-2")
    await asyncio.sleep(announced_after_s)
    harness.assign(harness.announce(), 2)
    await asyncio.sleep(TERM_S)
    assert harness.process.holds_key(5)
    harness.close()
    return harness.network


def find_faults(**changes: Any) -> list[tuple[float, str]]:
    """Return the faults of replacements after crashes at many instants."""
    faults = []
    for crash_after_s in CRASH_INSTANTS:
        network = run_in_virtual_time(replace_process(crash_after_s, **changes))
        found = find_reused_tokens(network.processes) + find_shared_holds(network.processes)
        faults += [(crash_after_s, fault) for fault in found]
    return faults


@pytest.mark.parametrize("announced_after_s", [0.005, 0.5])
def test_a_new_process_gets_no_key_under_the_token_of_the_former_one(
    announced_after_s: float,
) -> None:
    """Guards against renewals that reach a process that listens but is not announced yet."""
    assert find_faults(down_s=0.001, announced_after_s=announced_after_s) == []


@pytest.mark.parametrize("announced_after_s", [0.005, 0.5])
def test_a_grant_without_answer_is_not_sent_again_to_a_new_process(
    announced_after_s: float,
) -> None:
    """Guards against retries, after a crash, of a renewal that the former process left open."""
    faults = find_faults(down_s=0.1, announced_after_s=announced_after_s, unanswered_for_s=0.6)
    assert faults == []


@pytest.mark.parametrize("announced_after_s", [0.005, 0.5])
def test_a_grant_that_takes_effect_late_does_not_reach_a_new_process(
    announced_after_s: float,
) -> None:
    """Guards against a grant that a new process carries out long after its announcement."""
    faults = find_faults(down_s=0.1, announced_after_s=announced_after_s, is_successor_late=True)
    assert faults == []


async def start_fleet(run_for_s: float) -> VirtualFleet:
    fleet = VirtualFleet()
    await fleet.start()
    await asyncio.sleep(run_for_s)
    return fleet


async def measure_move(crash_after_s: float) -> float:
    """Return the seconds from a crash until the planner gives the keys to other VMs."""
    fleet = await start_fleet(crash_after_s)
    crashed_at, offset = read_clock(), fleet.find_assignment_offset()
    fleet.kill_server(fleet.vms[1])
    while fleet.find_assignment_offset() == offset:
        await asyncio.sleep(0.001)
    fleet.close()
    return read_clock() - crashed_at


async def move_keys(crash_after_s: float, down_s: float, announced_after_s: float) -> list[str]:
    """Crash a backend server, and return what is wrong when the next process has its keys."""
    fleet = await start_fleet(crash_after_s)
    await fleet.crash_server(fleet.vms[1], down_s, announced_after_s)
    await asyncio.sleep(announced_after_s + TERM_S)
    assert fleet.list_free() == []
    fleet.close()
    return find_shared_holds(fleet.processes) + find_reused_tokens(fleet.processes)


def find_faults_of_moves(announced_after_s: float) -> list[tuple[float, float, str]]:
    """Return the faults of crashes that end shortly before the keys are moved."""
    faults = []
    # A grant is renewed each second.
    for crash_after_s in [1.0 + 0.1 * number for number in range(11)]:
        moved_after_s = run_in_virtual_time(measure_move(crash_after_s))
        for earlier_s in [0.005 * number for number in range(-2, 7)]:
            down_s = moved_after_s - announced_after_s - earlier_s
            if down_s >= 0.1:
                found = run_in_virtual_time(move_keys(crash_after_s, down_s, announced_after_s))
                faults += [(crash_after_s, down_s, fault) for fault in found]
    return faults


@pytest.mark.parametrize("announced_after_s", [0.005, 0.05])
def test_keys_that_move_while_a_process_starts_have_one_holder(announced_after_s: float) -> None:
    """Guards against two holders after a crash that is shorter than the move of the keys.

    Other VMs got the keys as soon as the next process was announced, which held them too.
    """
    assert find_faults_of_moves(announced_after_s) == []


def test_an_open_reply_to_a_former_process_grants_nothing() -> None:
    """Guards against grants in a reply to a process that ended, which its successor waits for.

    The heartbeats of both have the same sequence number, which starts anew with each process.
    """

    async def run() -> None:
        keeper = RangeKeeper(FakeBackend(), RangeLease(), "node-1", GrantsInHeartbeats())
        former, successor = make_incarnation(1, born_ms=1), make_incarnation(1, born_ms=2)
        holds = ReportedHoldings((ReportedRow(0, 9, 1),))
        keeper.update_incarnation(former)
        keeper.update_assignment(make_assignment(make_range(0, 9, 1)), 1)
        keeper.lease.confirm_by_store(1, read_clock())
        await keeper.grant_holdings(former, 1, ReportedHoldings(), True)
        open_reply = asyncio.create_task(keeper.grant_holdings(former, 2, holds, True))
        await asyncio.sleep(0.1)
        assert not open_reply.done()

        keeper.update_incarnation(successor)
        key_range = make_range(0, 9, 1, fence=2)
        key_range = attrs.evolve(key_range, owner=successor)
        keeper.update_assignment(make_assignment(key_range, offset=2), 2)
        keeper.lease.confirm_by_store(2, read_clock())
        granted = await keeper.grant_holdings(successor, 2, ReportedHoldings(), True)
        assert await open_reply is None
        assert granted is not None
        assert granted.rows == (GrantedRow(0, 9, 2),)

    run_in_virtual_time(run())
