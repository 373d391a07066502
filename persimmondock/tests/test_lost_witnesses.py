"""A store that has lost a change of the witnesses does not end the leases that they confirm."""

from __future__ import annotations

import asyncio

import pytest

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.range_lease import MAX_WITNESS_ONLY_S
from persimmondock._tasks.key_control import MIN_WITNESS_CHANGE_INTERVAL_S
from persimmondock.tests.virtual_fleet import PARTITIONS, VirtualFleet, VirtualVm
from persimmondock.tests.virtual_network import find_reused_tokens, find_shared_holds
from persimmondock.tests.virtual_time import run_in_virtual_time

VMS = 6
DOWN_S = 0.1
CUT_S = 15.0  # witnesses alone confirm leases for longer
RECOVERY_S = 12.0  # another owner is found, and waits for the leases of unknown ones


async def change_witnesses(fleet: VirtualFleet, lost: list[VirtualVm]) -> None:
    """Kill daemons, and wait until others are witnesses in their place."""
    former = fleet.read_assignment().witnesses
    await asyncio.sleep(MIN_WITNESS_CHANGE_INTERVAL_S)
    for vm in lost:
        fleet.kill_daemon(vm)
    async with asyncio.timeout(10.0):
        while fleet.read_assignment().witnesses == former:
            await asyncio.sleep(0.05)


async def lose_change_of_witnesses(after_s: float) -> list[str]:
    """Cut witnesses off as the store loses the record that named them; return what is wrong.

    Parameters
    ----------
    after_s
        Seconds from that record to the loss.
    """
    fleet = VirtualFleet(VMS)
    await fleet.start()
    planner, *lost = fleet.vms[:3]
    others = fleet.vms[3:]
    former = fleet.read_assignment().witnesses
    assert {vm.name for vm in fleet.vms[:3]} < former
    await change_witnesses(fleet, lost)
    changed = fleet.read_assignment()
    assert len(changed.witnesses - {vm.name for vm in others}) == 1
    await asyncio.sleep(after_s)
    fleet.log.cut_off |= {vm.name for vm in others}
    with fleet.cut([planner, *lost], others):
        await asyncio.gather(
            fleet.log.restore(after_s + 0.1, DOWN_S / 2, PARTITIONS.operator),
            fleet.restart_daemon(planner, DOWN_S),
            *(fleet.start_daemon(vm) for vm in lost),
        )
        assert fleet.read_assignment().witnesses == former
        await asyncio.sleep(CUT_S)
    fleet.log.cut_off.clear()
    await fleet.wait_until_held(30.0)
    await asyncio.sleep(5.0)
    fleet.close()
    return find_shared_holds(fleet.processes) + find_reused_tokens(fleet.processes)


@pytest.mark.parametrize("after_s", [0.3, 3.0, 6.0])
def test_owners_whose_witnesses_the_store_has_lost_share_no_keys(after_s: float) -> None:
    """Guards against two holders: one whose witnesses are unknown to the other's planner."""
    assert run_in_virtual_time(lose_change_of_witnesses(after_s)) == []


async def find_sets_after_a_change(after_s: float, hangs: bool = False) -> int:
    """Return how many sets of witnesses there are some time after they changed.

    Parameters
    ----------
    hangs
        Whether a backend server takes no grants since then.
    """
    fleet = VirtualFleet(VMS)
    await fleet.start()
    await change_witnesses(fleet, fleet.vms[1:3])
    fleet.vms[4].behavior.hangs = hangs
    await asyncio.sleep(after_s)
    fleet.close()
    return len(fleet.read_assignment().witness_sets)


def test_former_witnesses_count_until_no_copy_of_the_store_lacks_the_change() -> None:
    """Guards against leases that depend on daemons which were lost long ago."""
    interval_s = MIN_WITNESS_CHANGE_INTERVAL_S
    assert run_in_virtual_time(find_sets_after_a_change(interval_s - 1.0)) == 2
    assert run_in_virtual_time(find_sets_after_a_change(interval_s + 5.0)) == 1


def test_former_witnesses_are_dropped_while_a_backend_server_takes_no_grants() -> None:
    """Guards against leases of all owners that end in an outage, since one owner has no keys."""
    assert run_in_virtual_time(find_sets_after_a_change(45.0, hangs=True)) == 1


async def lose_first_assignment(restarts: bool) -> list[str]:
    """Cut witnesses off as the store loses the first assignment; return what is wrong.

    Parameters
    ----------
    restarts
        Whether all daemons that are not cut off restart, so that none has a copy of it.
    """
    fleet = VirtualFleet(VMS)
    await fleet.start()
    await asyncio.sleep(1.0)
    reachable, others = fleet.vms[:2], fleet.vms[2:]
    fleet.log.cut_off |= {vm.name for vm in others}
    with fleet.cut(reachable, others):
        restarted = [fleet.restart_daemon(vm, DOWN_S) for vm in reachable if restarts]
        await asyncio.gather(fleet.log.restore(60.0, DOWN_S / 2, PARTITIONS.operator), *restarted)
        await asyncio.sleep(CUT_S)
    fleet.log.cut_off.clear()
    await fleet.wait_until_held(30.0)
    await asyncio.sleep(5.0)
    fleet.close()
    return find_shared_holds(fleet.processes) + find_reused_tokens(fleet.processes)


@pytest.mark.parametrize("restarts", [False, True])
def test_owners_by_an_assignment_that_nobody_else_has_share_no_keys(restarts: bool) -> None:
    """Guards against two holders: the store had lost the first assignment and its witnesses."""
    assert run_in_virtual_time(lose_first_assignment(restarts)) == []


async def restart_without_copies(count: int) -> float:
    """Return how long keys are not held after restarts of daemons and the loss of all records.

    Parameters
    ----------
    count
        Daemons that restart, the planner first.
    """
    fleet = VirtualFleet(VMS)
    await fleet.start()
    await asyncio.sleep(1.0)
    await asyncio.gather(
        fleet.log.restore(60.0, DOWN_S / 2, PARTITIONS.operator),
        *(fleet.restart_daemon(vm, DOWN_S) for vm in fleet.vms[:count]),
    )
    restored_at = free_until = read_clock()
    while read_clock() < restored_at + 40.0:
        await asyncio.sleep(0.05)
        if fleet.list_free():
            free_until = read_clock()
    fleet.close()
    return free_until - restored_at


def test_a_planner_without_a_copy_learns_of_the_witnesses_from_others() -> None:
    """Guards against keys that wait for unknown witnesses though daemons that run know them."""
    assert run_in_virtual_time(restart_without_copies(1)) < RECOVERY_S


def test_keys_are_held_once_unknown_witnesses_can_confirm_no_lease() -> None:
    """Guards against keys that nobody gets when no daemon knows of an assignment any more."""
    assert run_in_virtual_time(restart_without_copies(VMS)) < MAX_WITNESS_ONLY_S + RECOVERY_S
