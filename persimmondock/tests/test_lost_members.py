"""Daemons of which a store that came back from an older copy knows nothing, or what they were."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
import pytest

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.departures import decode_departures
from persimmondock._domain.shared_rate import RateLimit
from persimmondock._tasks.mesh import DEPARTURES_KEY_PREFIX, Member, encode_member
from persimmondock._tasks.shared_rates import VersionedLimit
from persimmondock.tests.sites import SERVICE
from persimmondock.tests.virtual_fleet import PARTITIONS, VirtualFleet, VirtualVm
from persimmondock.tests.virtual_time import run_in_virtual_time

VMS = 4
DOWN_S = 0.1
ALL_AGE_S = 60.0  # from before the first record
WATCHED_S = 5.0
POLL_S = 0.01
LIMIT = VersionedLimit("tenant/a", RateLimit(10.0, 1.0), 1)


async def watch(
    fleet: VirtualFleet, vms: list[VirtualVm], is_wrong: Callable[[VirtualVm], bool]
) -> float:
    """Return the last of some seconds at which something is wrong at a daemon that runs."""
    started, wrong_until = read_clock(), 0.0
    while read_clock() < started + WATCHED_S:
        if any(vm.daemon is not None and is_wrong(vm) for vm in vms):
            wrong_until = read_clock() - started
        await asyncio.sleep(POLL_S)
    return wrong_until


def count_alive(vm: VirtualVm) -> int:
    """Return how many daemons share a budget, as a daemon knows."""
    assert vm.daemon is not None
    return len(vm.daemon.sidecar.mesh.list_alive(read_clock())) + 1


async def find_time_alone(restarted: int, losses: int) -> float:
    """Return for how long daemons that restarted count too few others."""
    fleet = VirtualFleet(VMS)
    await fleet.start()
    await asyncio.sleep(2.0)
    vms = fleet.vms[:restarted]
    for vm in vms:
        fleet.kill_daemon(vm)
    for _ in range(losses):
        await fleet.log.restore(ALL_AGE_S, DOWN_S, PARTITIONS.operator)
    for vm in vms:
        await fleet.start_daemon(vm)
    alone_s = await watch(fleet, vms, lambda vm: count_alive(vm) < VMS)
    fleet.close()
    return alone_s


@pytest.mark.parametrize("losses", [0, 1, 2])
@pytest.mark.parametrize("restarted", [1, VMS])
def test_daemons_that_the_store_has_lost_find_each_other(restarted: int, losses: int) -> None:
    """BUDGET: a daemon that knows few others takes a larger part of what all may retry."""
    assert run_in_virtual_time(find_time_alone(restarted, losses)) < 1.5


async def ask_all_the_time(vm: VirtualVm) -> list[int]:
    """Return the numbers of daemons among which a daemon finds the holders of a limit."""
    assert vm.daemon is not None
    rates, found = vm.daemon.sidecar.shared_rates, []
    until = read_clock() + WATCHED_S
    while read_clock() < until:
        await rates.admit(LIMIT, 0.0)
        found.append(len(rates._rings[-1][1].domains) if rates._rings else 0)
        await asyncio.sleep(POLL_S)
    return found


async def find_small_rings(restarted: int, losses: int, down_s: float) -> list[int]:
    """Return the numbers of daemons, other than all, among which holders of limits were chosen."""
    fleet = VirtualFleet(VMS)
    await fleet.start()
    await asyncio.sleep(2.0)
    vms = fleet.vms[:restarted]
    for vm in vms:
        fleet.kill_daemon(vm)
    await asyncio.sleep(down_s)
    for _ in range(losses):
        await fleet.log.restore(ALL_AGE_S, DOWN_S, PARTITIONS.operator)
    asked = []
    for vm in vms:
        await fleet.start_daemon(vm)
        assert vm.daemon is not None
        asked.append(vm.daemon.create_task(ask_all_the_time(vm)))
    numbers = [number for found in await asyncio.gather(*asked) for number in found]
    fleet.close()
    return [number for number in numbers if 0 < number < VMS]


@pytest.mark.parametrize("down_s", [0.0, 3.0])
@pytest.mark.parametrize("losses", [0, 1, 2])
@pytest.mark.parametrize("restarted", [1, VMS])
def test_holders_of_limits_are_not_chosen_among_few_daemons(
    restarted: int, losses: int, down_s: float
) -> None:
    """Guards against limits that two sets of holders lend after the store has lost its members."""
    assert run_in_virtual_time(find_small_rings(restarted, losses, down_s)) == []


async def lose_new_address() -> float:
    """Return for how long a daemon is not reached after the store has lost its new address."""
    fleet = VirtualFleet(VMS)
    await fleet.start()
    await asyncio.sleep(2.0)
    moved, copied_at = fleet.vms[1], read_clock()
    fleet.kill_daemon(moved)
    moved.peer_address = "10.0.0.1:91"
    await fleet.start_daemon(moved)
    await asyncio.sleep(3.0)
    others = [vm for vm in fleet.vms if vm is not moved]
    await fleet.log.restore(read_clock() - copied_at, DOWN_S, PARTITIONS.operator)
    lost_s = await watch(fleet, others, lambda vm: count_alive(vm) < VMS)
    fleet.close()
    return lost_s


def test_a_daemon_whose_new_address_was_lost_is_reached_again() -> None:
    """Guards against peers that go on calling the former address, which the store lists again."""
    assert run_in_virtual_time(lose_new_address()) < 2.0


async def write_late(key: Callable[[VirtualVm], str], value: bytes) -> bytes:
    """Return the record of a daemon some time after a write of a former process took effect."""
    fleet = VirtualFleet(VMS)
    await fleet.start()
    await asyncio.sleep(2.0)
    vm = fleet.vms[1]
    assert vm.daemon is not None
    assert vm.server is not None
    vm.daemon.context.run(vm.daemon.sidecar.handle_leave, vm.server.instance, vm.server.born_ms)
    assert await vm.daemon.create_task(vm.daemon.sidecar.record_departures())
    await fleet.log.restore(1.0, DOWN_S, PARTITIONS.operator)
    await asyncio.sleep(1.0)
    fleet.log.append(PARTITIONS.members, key(vm), value)
    await asyncio.sleep(1.5)
    fleet.close()
    return fleet.log.find_newest(PARTITIONS.members, key(vm)).value


def test_a_late_write_of_departures_is_replaced_after_the_store_came_back() -> None:
    """DRAIN: the copy has forgotten which writes of former processes were to be refused."""
    value = run_in_virtual_time(write_late(lambda vm: DEPARTURES_KEY_PREFIX + vm.name, b"\x90"))
    assert [item.instance for item in decode_departures(value)] == ["i-vm-1-1"]


def test_a_late_write_of_a_former_address_is_replaced_after_the_store_came_back() -> None:
    """Guards against a daemon that nobody reaches, since its former process wrote last."""
    former = Member("vm-1", "10.0.0.9:90", "fortaleza", SERVICE)
    value = run_in_virtual_time(write_late(lambda vm: vm.name, encode_member(former)))
    assert value == encode_member(attrs.evolve(former, address="10.0.0.1:90"))
