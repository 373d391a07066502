"""The announcement of a successor does not show that the process before it has ended."""

from __future__ import annotations

import asyncio

import pytest

from persimmondock._domain.backend_report import BackendAnnouncement
from persimmondock._domain.holdings import ReportedHoldings
from persimmondock._domain.site import GrantMode, GrantsByCall, GrantsInHeartbeats
from persimmondock.tests.sites import make_report
from persimmondock.tests.virtual_fleet import VirtualFleet, VirtualVm
from persimmondock.tests.virtual_network import (
    ServerProcess,
    find_reused_tokens,
    find_shared_holds,
)
from persimmondock.tests.virtual_time import run_in_virtual_time

CLOCK_AHEAD_MS = 20_000
OUT_S = 7.0  # takeovers, and grants that are in force
GRANT_MODES = pytest.mark.parametrize(
    "grant_mode", [GrantsByCall(), GrantsInHeartbeats()], ids=["call", "heartbeat"]
)
MOVE_INSTANTS = [0.1 * number for number in range(12)]  # each second has a renewal


def announce(vm: VirtualVm, instance: str, born_ms: int, sequence: int) -> BackendAnnouncement:
    """Hand an announcement of a process that holds no keys to the daemon of a VM."""
    assert vm.daemon is not None
    report = make_report(
        instance=instance,
        address=vm.backend_address,
        failure_domain=vm.failure_domain,
        slots=8,
        sequence=sequence,
        born_ms=born_ms,
        holdings=ReportedHoldings(),
    )
    vm.daemon.context.run(vm.daemon.sidecar.handle_announcement, report)
    return report


async def move_keys(fleet: VirtualFleet, vm: VirtualVm, announced: ServerProcess) -> list[str]:
    """Move the keys of a VM as another process is announced; return what is wrong."""
    moving = asyncio.create_task(fleet.evacuate(vm.failure_domain, OUT_S))
    announce(vm, announced.instance, announced.born_ms, vm.sequence + 1)
    await moving
    fleet.close()
    return find_shared_holds(fleet.processes) + find_reused_tokens(fleet.processes)


async def announce_a_lost_process(after_s: float, grant_mode: GrantMode) -> list[str]:
    """Announce a process, whose clock was ahead, after its VM was lost and started again."""
    fleet = VirtualFleet(4, grant_mode=grant_mode)
    await fleet.start()
    vm = fleet.vms[1]
    fleet.kill_server(vm)
    fleet.start_server(vm)
    lost = vm.server
    assert lost is not None and vm.daemon is not None
    lost.born_ms += CLOCK_AHEAD_MS
    await asyncio.sleep(6.0)
    vm.daemon.kill()
    fleet.kill_server(vm)
    await asyncio.sleep(0.3)
    fleet.start_server(vm)
    await fleet.start_daemon(vm)
    # The daemon knows what it has granted once the grants of its predecessor have expired.
    await asyncio.sleep(4.5 + after_s)
    return await move_keys(fleet, vm, lost)


async def announce_another_name(after_s: float, grant_mode: GrantMode) -> list[str]:
    """Announce a later process that does not exist."""
    fleet = VirtualFleet(4, grant_mode=grant_mode)
    await fleet.start()
    vm = fleet.vms[1]
    await asyncio.sleep(4.0 + after_s)
    assert vm.server is not None
    moving = asyncio.create_task(fleet.evacuate(vm.failure_domain, OUT_S))
    announce(vm, "i-x", vm.server.born_ms + CLOCK_AHEAD_MS, 1)
    await moving
    fleet.close()
    return find_shared_holds(fleet.processes) + find_reused_tokens(fleet.processes)


@GRANT_MODES
def test_a_late_announcement_of_a_process_with_a_later_start_frees_no_keys(
    grant_mode: GrantMode,
) -> None:
    """Guards against two holders after a clock was ahead: the holder seemed to be replaced."""
    faults = [
        fault
        for after_s in MOVE_INSTANTS
        for fault in run_in_virtual_time(announce_a_lost_process(after_s, grant_mode))
    ]
    assert faults == []


@GRANT_MODES
def test_an_announcement_of_an_unknown_process_frees_no_keys(grant_mode: GrantMode) -> None:
    """Guards against the same where the later process was never heard of."""
    faults = [
        fault
        for after_s in MOVE_INSTANTS
        for fault in run_in_virtual_time(announce_another_name(after_s, grant_mode))
    ]
    assert faults == []


async def announce_lost_heartbeats(silent_s: float) -> list[str]:
    """Start a daemon that hears two late heartbeats of a lost process before its successor's.

    Parameters
    ----------
    silent_s
        Time from those until the successor, which holds keys, is heard.
    """
    fleet = VirtualFleet(4, grant_mode=GrantsInHeartbeats())
    await fleet.start()
    await asyncio.sleep(2.0)
    vm = fleet.vms[1]
    lost, sequence = vm.server, vm.sequence
    assert lost is not None
    await fleet.crash_server(vm, 0.3, 0.0)
    await asyncio.sleep(3.0)
    await fleet.wait_until_held(OUT_S)
    assert vm.server is not None and vm.daemon is not None and vm.announcing is not None
    vm.announcing.cancel()
    vm.daemon.kill()
    await asyncio.sleep(0.3)
    moving = asyncio.create_task(fleet.evacuate(vm.failure_domain, OUT_S))
    await fleet.start_daemon(vm)
    while not vm.daemon.sidecar.departures.is_known:
        await asyncio.sleep(0.01)  # reports wait until then, and are granted nothing
    for number in (1, 2):
        await asyncio.sleep(0.05)
        report = announce(vm, lost.instance, lost.born_ms, sequence + number)
        vm.daemon.create_task(vm.daemon.sidecar.grant_holdings(report))
    await asyncio.sleep(silent_s)
    vm.announcing = asyncio.create_task(fleet._announce(vm, vm.server, 0.0))
    await moving
    fleet.close()
    return find_shared_holds(fleet.processes) + find_reused_tokens(fleet.processes)


def test_late_heartbeats_of_a_lost_process_free_no_keys() -> None:
    """Guards against two holders after a daemon that grants in replies has started again."""
    faults = [
        fault
        for silent_s in (0.5, 0.8)
        for fault in run_in_virtual_time(announce_lost_heartbeats(silent_s))
    ]
    assert faults == []
