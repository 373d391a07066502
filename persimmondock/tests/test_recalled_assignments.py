"""What daemons tell of lost assignments, and a second loss, end no lease that may still last."""

from __future__ import annotations

import asyncio

from persimmondock._domain.assignment import Assignment
from persimmondock._tasks.key_control import MIN_WITNESS_CHANGE_INTERVAL_S
from persimmondock.tests.virtual_fleet import PARTITIONS, VirtualFleet
from persimmondock.tests.virtual_network import find_reused_tokens, find_shared_holds
from persimmondock.tests.virtual_time import run_in_virtual_time

VMS = 6
DOWN_S = 0.1
CUT_S = 15.0  # witnesses alone confirm leases for longer
COPY_AGE_S = 13.0  # of each of two copies; the change is older than both together then


async def wait_for_witnesses(
    fleet: VirtualFleet, former: frozenset[str], former_count: int, timeout_s: float = 40.0
) -> Assignment:
    """Wait until other daemons are witnesses, and there is a number of former ones."""
    async with asyncio.timeout(timeout_s):
        while True:
            current = fleet.read_assignment()
            if current.witnesses != former and len(current.former_witnesses) == former_count:
                return current
            await asyncio.sleep(0.05)


async def finish(fleet: VirtualFleet) -> list[str]:
    """Let all daemons reach the store again; return what is wrong."""
    fleet.log.cut_off.clear()
    await fleet.wait_until_held(30.0)
    await asyncio.sleep(5.0)
    fleet.close()
    return find_shared_holds(fleet.processes) + find_reused_tokens(fleet.processes)


async def recall_recent_change() -> list[str]:
    """Have a planner that was cut off recall a change of witnesses, which the store has lost."""
    fleet = VirtualFleet(VMS)
    await fleet.start()
    planner, writer, *others = fleet.vms
    former = fleet.read_assignment().witnesses
    await asyncio.sleep(MIN_WITNESS_CHANGE_INTERVAL_S + 1.0)
    fleet.log.cut_off |= {vm.name for vm in [planner, *others]}
    with fleet.cut([planner, writer], others):
        with fleet.cut([planner], [writer]):
            await wait_for_witnesses(fleet, former, len(former), 10.0)
            await asyncio.sleep(0.3)
            fleet.log.cut_off.add(writer.name)
            await fleet.log.restore(0.5, DOWN_S / 2, PARTITIONS.operator)
            fleet.log.cut_off.discard(planner.name)
        assert fleet.read_assignment().witnesses == former
        await asyncio.sleep(CUT_S)
    return await finish(fleet)


def test_a_recalled_change_of_witnesses_counts_as_recent() -> None:
    """Guards against former witnesses that a planner drops, which hears of the change from others.

    It had been cut off while they changed, and the last change that it saw is long ago.
    """
    assert run_in_virtual_time(recall_recent_change()) == []


async def plan_with_outdated(reaches_store: bool) -> list[str]:
    """Raise the era as daemons come back that were long cut off; nothing else is lost.

    Parameters
    ----------
    reaches_store
        Whether one of these may plan, in place of one that has just started and asks them.
    """
    fleet = VirtualFleet(VMS)
    await fleet.start()
    planner, *outdated = fleet.vms[:3]
    others = fleet.vms[3:]
    former = fleet.read_assignment().witnesses
    await asyncio.sleep(MIN_WITNESS_CHANGE_INTERVAL_S)
    fleet.log.cut_off |= {vm.name for vm in outdated}
    with fleet.cut(outdated, [planner, *others]):
        changed = await wait_for_witnesses(fleet, former, 0, 80.0)
        assert len(changed.witnesses - {vm.name for vm in others}) == 1
        await asyncio.sleep(1.0)
    if reaches_store:
        fleet.log.cut_off.clear()
    fleet.log.cut_off |= {vm.name for vm in others}
    with fleet.cut([planner, *outdated], others):
        await asyncio.gather(
            fleet.log.restore(0.5, DOWN_S / 2, PARTITIONS.operator),
            fleet.restart_daemon(planner, DOWN_S),
        )
        assert fleet.read_assignment().witnesses == changed.witnesses
        await asyncio.sleep(CUT_S)
    return await finish(fleet)


def test_a_recalled_assignment_replaces_no_later_one_of_the_store() -> None:
    """Guards against witnesses of long ago, which daemons tell that were cut off since."""
    assert run_in_virtual_time(plan_with_outdated(reaches_store=False)) == []


def test_a_planner_that_was_cut_off_goes_by_the_later_assignment_of_the_store() -> None:
    """Guards against a copy of long ago that counts more than what the restored store has."""
    assert run_in_virtual_time(plan_with_outdated(reaches_store=True)) == []


async def lose_change_twice() -> list[str]:
    """Lose a change of witnesses, and again once it is old; return what is wrong."""
    fleet = VirtualFleet(VMS)
    await fleet.start()
    planner, *lost = fleet.vms[:3]
    others = fleet.vms[3:]
    former = fleet.read_assignment().witnesses
    await asyncio.sleep(MIN_WITNESS_CHANGE_INTERVAL_S)
    for vm in lost:
        fleet.kill_daemon(vm)
    changed = await wait_for_witnesses(fleet, former, len(former), 10.0)
    assert len(changed.witnesses - {vm.name for vm in others}) == 1
    await asyncio.sleep(COPY_AGE_S)
    await fleet.log.restore(COPY_AGE_S + 0.1, DOWN_S / 2, PARTITIONS.operator)
    assert fleet.read_assignment().witnesses == former
    await asyncio.sleep(COPY_AGE_S)
    assert fleet.read_assignment().witnesses == changed.witnesses
    fleet.log.cut_off |= {vm.name for vm in others}
    with fleet.cut([planner, *lost], others):
        await asyncio.gather(
            fleet.log.restore(COPY_AGE_S, DOWN_S / 2, PARTITIONS.operator),
            fleet.restart_daemon(planner, DOWN_S),
            *(fleet.start_daemon(vm) for vm in lost),
        )
        assert fleet.read_assignment().witnesses == former
        await asyncio.sleep(CUT_S)
    return await finish(fleet)


def test_a_change_of_witnesses_that_is_lost_twice_counts_as_recent() -> None:
    """Guards against former witnesses that are dropped though a copy of this era may lack all."""
    assert run_in_virtual_time(lose_change_twice()) == []
