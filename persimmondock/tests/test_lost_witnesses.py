"""A store that has lost a change of the witnesses does not end the leases that they confirm."""

from __future__ import annotations

import asyncio

import pytest

from persimmondock._domain.assignment import Assignment, decode_assignment
from persimmondock._tasks.key_control import MIN_WITNESS_CHANGE_INTERVAL_S
from persimmondock.tests.sites import SERVICE
from persimmondock.tests.virtual_fleet import ASSIGNMENT_KEY, PARTITIONS, VirtualFleet, VirtualVm
from persimmondock.tests.virtual_network import find_reused_tokens, find_shared_holds
from persimmondock.tests.virtual_time import run_in_virtual_time

VMS = 6
DOWN_S = 0.1
CUT_S = 15.0  # witnesses alone confirm leases for longer


def read_assignment(fleet: VirtualFleet) -> Assignment:
    """Return the newest assignment that the store has."""
    entry = fleet.log.find_newest(PARTITIONS.assignments, ASSIGNMENT_KEY)
    return decode_assignment(SERVICE, entry.offset + 1, entry.value)


async def change_witnesses(fleet: VirtualFleet, lost: list[VirtualVm]) -> None:
    """Kill daemons, and wait until others are witnesses in their place."""
    former = read_assignment(fleet).witnesses
    await asyncio.sleep(MIN_WITNESS_CHANGE_INTERVAL_S)
    for vm in lost:
        fleet.kill_daemon(vm)
    async with asyncio.timeout(10.0):
        while read_assignment(fleet).witnesses == former:
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
    former = read_assignment(fleet).witnesses
    assert {vm.name for vm in fleet.vms[:3]} < former
    await change_witnesses(fleet, lost)
    changed = read_assignment(fleet)
    assert len(changed.witnesses - {vm.name for vm in others}) == 1
    await asyncio.sleep(after_s)
    fleet.log.cut_off |= {vm.name for vm in others}
    with fleet.cut([planner, *lost], others):
        await asyncio.gather(
            fleet.log.restore(after_s + 0.1, DOWN_S / 2, PARTITIONS.operator),
            fleet.restart_daemon(planner, DOWN_S),
            *(fleet.start_daemon(vm) for vm in lost),
        )
        assert read_assignment(fleet).witnesses == former
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


async def find_sets_after_a_change(after_s: float) -> int:
    """Return how many sets of witnesses there are some time after they changed."""
    fleet = VirtualFleet(VMS)
    await fleet.start()
    await change_witnesses(fleet, fleet.vms[1:3])
    await asyncio.sleep(after_s)
    fleet.close()
    return len(read_assignment(fleet).witness_sets)


def test_former_witnesses_count_until_no_copy_of_the_store_lacks_the_change() -> None:
    """Guards against leases that depend on daemons which were lost long ago."""
    interval_s = MIN_WITNESS_CHANGE_INTERVAL_S
    assert run_in_virtual_time(find_sets_after_a_change(interval_s - 1.0)) == 2
    assert run_in_virtual_time(find_sets_after_a_change(interval_s + 5.0)) == 1
