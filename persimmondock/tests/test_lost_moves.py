"""A store that has lost the move of a key does not give the key back to its former owner."""

from __future__ import annotations

import asyncio

import pytest

from persimmondock._domain.assignment import KEY_COUNT, Assignment
from persimmondock.tests.virtual_fleet import (
    PARTITIONS,
    VirtualFleet,
)
from persimmondock.tests.virtual_network import (
    find_reused_tokens,
    find_shared_holds,
)
from persimmondock.tests.virtual_time import run_in_virtual_time

VMS = 4
WORK_S = 0.09
# Nearly the capacity of one owner, for adjacent keys, so that some of them move each second or two.
REQUESTS_PER_S = 80.0
BUSY_KEYS = 1_500
BUSY_FOR_S = 2.0
MOVING_S = 9.0
DOWN_S = 0.1
SETTLE_S = 12.0  # another owner is found, and earlier grants expire
AGES_S = [1.2, 2.4, 3.6]


async def send_requests(fleet: VirtualFleet) -> None:
    """Send requests for some adjacent keys to their owner, for others after some time."""
    number, first, busy_until = 0, 0, 0.0
    clock = asyncio.get_running_loop().time
    while True:
        await asyncio.sleep(fleet.random.expovariate(REQUESTS_PER_S))
        if clock() >= busy_until:
            first = fleet.random.randrange(KEY_COUNT - BUSY_KEYS)
            busy_until = clock() + BUSY_FOR_S
        key = first + fleet.random.randrange(BUSY_KEYS)
        item = fleet.read_assignment().find_range(key)
        daemon = next((vm.daemon for vm in fleet.vms if item and vm.name == item.owner.node), None)
        if daemon is not None:
            number += 1
            daemon.create_task(fleet._send_request(daemon.sidecar.gate, f"busy/{number}", key))


def list_former_owners(before: Assignment, after: Assignment) -> set[str]:
    """Return the daemons of those who lost keys between two assignments."""
    return {
        item.owner.node
        for item in before.ranges
        for other in after.ranges
        if item.first <= other.last and other.first <= item.last and item.owner != other.owner
    }


async def lose_moves(age_s: float, restarts_planner: bool, hangs: bool) -> list[str]:
    """Lose the moves of some seconds and restart daemons meanwhile; return what is wrong.

    Parameters
    ----------
    age_s
        Seconds from the copy with which the store comes back to the loss.
    restarts_planner
        Whether the daemon restarts that plans, in place of those whose keys were moved.
    hangs
        Whether a backend server answers nothing for want of room while the store is away.
    """
    fleet = VirtualFleet(VMS)
    for vm in fleet.vms:
        vm.behavior.work_s = WORK_S
    await fleet.start()
    requests = asyncio.create_task(send_requests(fleet))
    await asyncio.sleep(MOVING_S - age_s)
    copied = fleet.read_assignment()
    await asyncio.sleep(age_s)
    lost = fleet.read_assignment()
    assert lost.offset > copied.offset
    names = {"vm-0"} if restarts_planner else list_former_owners(copied, lost)
    restarted = [vm for vm in fleet.vms if vm.name in names]
    restarted[0].behavior.hangs = hangs
    await asyncio.gather(
        fleet.log.restore(age_s, DOWN_S / 2, PARTITIONS.operator),
        *(fleet.restart_daemon(vm, DOWN_S) for vm in restarted),
    )
    await asyncio.sleep(1.0)
    restarted[0].behavior.hangs = False
    await asyncio.sleep(SETTLE_S)
    requests.cancel()
    fleet.close()
    return find_shared_holds(fleet.processes) + find_reused_tokens(fleet.processes)


@pytest.mark.parametrize("hangs", [False, True])
@pytest.mark.parametrize("restarts_planner", [False, True])
def test_a_lost_move_gives_no_key_back_under_an_earlier_token(
    restarts_planner: bool, hangs: bool
) -> None:
    """Guards against a former owner with token 2 that takes a key whose holder has token 24.

    The store had lost the move of the key, and what it had of the key from before counted again.
    """
    faults = [
        fault
        for age_s in AGES_S
        for fault in run_in_virtual_time(lose_moves(age_s, restarts_planner, hangs))
    ]
    assert faults == []
