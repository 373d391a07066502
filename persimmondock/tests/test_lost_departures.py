"""What a daemon acknowledged of its backend server while the store loses the record of it."""

from __future__ import annotations

import asyncio

import pytest

from persimmondock._adapters.clock import read_clock
from persimmondock.tests.virtual_fleet import PARTITIONS, VirtualFleet, VirtualVm
from persimmondock.tests.virtual_time import run_in_virtual_time

DOWN_S = 0.05
WATCHED_S = 5.0
POLL_S = 0.005


async def acknowledge_departure(vm: VirtualVm) -> None:
    """Let the backend server of a VM say that it leaves, as acknowledged by its daemon."""
    assert vm.daemon is not None
    assert vm.server is not None
    sidecar = vm.daemon.sidecar
    vm.daemon.context.run(sidecar.handle_leave, vm.server.instance, vm.server.born_ms)
    assert await vm.daemon.create_task(sidecar.record_departures())


async def restart_after_loss(losses: int, late_s: float, age_s: float = 0.0) -> float:
    """Return for how long a new process uses a backend server that has left.

    Parameters
    ----------
    losses
        How often the store comes back from a copy without the departure.
    age_s
        Seconds from that copy to the departure.
    late_s
        Seconds from the start of the process to the report from before the departure.
    """
    fleet = VirtualFleet()
    await fleet.start()
    await asyncio.sleep(2.0)
    vm = fleet.vms[2]
    assert vm.announcing is not None
    assert vm.server is not None
    vm.announcing.cancel()
    late = fleet._build_announcement(vm, vm.server, draining=False)
    copied_at = read_clock() - age_s
    await asyncio.sleep(0.01)
    await acknowledge_departure(vm)
    fleet.kill_daemon(vm)
    for _ in range(losses):
        await fleet.log.restore(read_clock() - copied_at, DOWN_S, PARTITIONS.operator)
    await fleet.start_daemon(vm)
    await asyncio.sleep(late_s)
    assert vm.daemon is not None
    vm.daemon.context.run(vm.daemon.sidecar.handle_announcement, late)
    used_s, until = 0.0, read_clock() + WATCHED_S
    while read_clock() < until:
        if vm.daemon.sidecar.gate.describe().accepts_work:
            used_s += POLL_S
        await asyncio.sleep(POLL_S)
    fleet.close()
    return used_s


@pytest.mark.parametrize("late_s", [0.0, 0.1, 1.0])
@pytest.mark.parametrize("losses", [0, 1, 2])
def test_a_new_process_does_not_use_a_backend_server_whose_departure_was_lost(
    losses: int, late_s: float
) -> None:
    """DRAIN: the store listed no departure, and what peers keep of it came after the report."""
    assert run_in_virtual_time(restart_after_loss(losses, late_s)) == 0.0


def test_a_new_process_that_finds_no_peers_in_the_store_waits_for_them() -> None:
    """DRAIN: the store came back from before the first record of any daemon."""
    assert run_in_virtual_time(restart_after_loss(1, 0.0, age_s=60.0)) == 0.0
