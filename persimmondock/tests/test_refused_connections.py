"""A refused connection does not show that a backend server has ended and holds no keys."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from persimmondock.tests.virtual_fleet import VirtualFleet, VirtualVm
from persimmondock.tests.virtual_network import find_reused_tokens, find_shared_holds
from persimmondock.tests.virtual_time import run_in_virtual_time

OUT_S = 7.0  # takeovers, and grants that are carried out late
REFUSAL_S = 1.0
# Seconds from the start of late grants until connections are refused; each second has a renewal.
REFUSAL_INSTANTS = [0.1 * number for number in range(12)]


async def restart_daemon(fleet: VirtualFleet, vm: VirtualVm) -> None:
    await fleet.restart_daemon(vm, 0.3)


async def reset_connections(_: VirtualFleet, vm: VirtualVm) -> None:
    assert vm.server is not None
    vm.server.reset_connections()


async def move_keys_of_a_full_server(
    after_s: float, late_s: float, lose: Callable[[VirtualFleet, VirtualVm], Awaitable[None]]
) -> list[str]:
    """Move the keys of a backend server that takes no connections; return what is wrong.

    Parameters
    ----------
    late_s
        Delay with which grants are carried out, without an answer.
    lose
        Ends all connections to the backend server.
    """
    fleet = VirtualFleet(4)
    await fleet.start()
    vm = fleet.vms[1]
    await asyncio.sleep(1.5)
    vm.behavior.late_s = late_s
    await asyncio.sleep(after_s)
    vm.behavior.refuses_connections = True
    moving = asyncio.create_task(fleet.evacuate(vm.failure_domain, OUT_S))
    await lose(fleet, vm)
    await asyncio.sleep(REFUSAL_S)
    vm.behavior.refuses_connections = False
    vm.behavior.late_s = 0.0
    await moving
    fleet.close()
    return find_shared_holds(fleet.processes) + find_reused_tokens(fleet.processes)


@pytest.mark.parametrize("late_s", [0.0, 2.0, 2.5])
@pytest.mark.parametrize("lose", [restart_daemon, reset_connections])
def test_keys_of_a_process_that_refuses_connections_have_one_holder(
    lose: Callable[[VirtualFleet, VirtualVm], Awaitable[None]], late_s: float
) -> None:
    """Guards against a former owner that takes keys under a token below that of their holder.

    A full backend server refused connections, and the keys that it held counted as free.
    """
    faults = [
        fault
        for after_s in REFUSAL_INSTANTS
        for fault in run_in_virtual_time(move_keys_of_a_full_server(after_s, late_s, lose))
    ]
    assert faults == []
