"""Evacuations that a store has lost, until operators write them again."""

from __future__ import annotations

import asyncio

import pytest

from persimmondock._adapters.clock import read_clock
from persimmondock._ports.keyed_log import Partition
from persimmondock._tasks.sidecar import KEEP_LOST_S
from persimmondock.tests.virtual_fleet import EVACUATION_PREFIX, PARTITIONS, VirtualFleet
from persimmondock.tests.virtual_time import run_in_virtual_time

DOWN_S = 0.1
POLL_S = 0.02
NOBODY_WRITES_AGAIN = Partition("none")


async def lose_evacuation(losses: int, restarts: bool, age_s: float, unwritten_s: float) -> float:
    """Return for how long a daemon of an evacuated failure domain takes work.

    Parameters
    ----------
    losses
        How often the store comes back without the evacuation.
    restarts
        Whether the daemon restarts meanwhile.
    age_s
        Seconds from the copy to the evacuation.
    unwritten_s
        Seconds until operators write the evacuation again.
    """
    fleet = VirtualFleet()
    await fleet.start()
    await asyncio.sleep(2.0)
    vm, copied_at = fleet.vms[2], read_clock() - age_s
    await asyncio.sleep(0.1)
    key = EVACUATION_PREFIX + vm.failure_domain
    fleet.log.append(PARTITIONS.operator, key, b"1")
    await asyncio.sleep(1.0)
    if restarts:
        fleet.kill_daemon(vm)
    for _ in range(losses):
        await fleet.log.restore(read_clock() - copied_at, DOWN_S, NOBODY_WRITES_AGAIN)
    if restarts:
        await fleet.start_daemon(vm)
    used_s, until = 0.0, read_clock() + unwritten_s
    while read_clock() < until:
        if vm.daemon is not None and vm.daemon.sidecar.gate.describe().accepts_work:
            used_s += POLL_S
        await asyncio.sleep(POLL_S)
    fleet.log.append(PARTITIONS.operator, key, b"1")
    await asyncio.sleep(KEEP_LOST_S)
    assert vm.daemon is not None
    assert not vm.daemon.sidecar.gate.describe().accepts_work
    fleet.log.append(PARTITIONS.operator, key, b"")
    await asyncio.sleep(2.0)
    assert vm.daemon.sidecar.gate.describe().accepts_work
    fleet.close()
    return used_s


@pytest.mark.parametrize("age_s", [0.0, 60.0], ids=["lately", "before-any-record"])
@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("losses", [1, 2])
def test_an_evacuation_that_was_lost_stays_in_force(
    losses: int, restarts: bool, age_s: float
) -> None:
    """EVAC: the daemon beside the backend server found no evacuation, and took it for ended."""
    used_s = run_in_virtual_time(lose_evacuation(losses, restarts, age_s, unwritten_s=6.0))
    assert used_s == 0.0
