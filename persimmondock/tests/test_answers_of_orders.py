"""Answers to grants, releases and health checks count only for the request that they answer."""

from __future__ import annotations

import asyncio

import pytest

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.http_exchange import DEFAULT_MAX_IDLE_S
from persimmondock._domain.range_lease import compute_hold_end
from persimmondock._ports.backend import GrantAccepted, GrantOutcome, ReleaseDone, ReleaseFailed
from persimmondock._tasks.range_keeper import GRANT_DURATION_S
from persimmondock.platform._backend import PlatformBackend
from persimmondock.tests.virtual_fleet import VirtualFleet
from persimmondock.tests.virtual_network import (
    ServerBehavior,
    ServerProcess,
    VirtualNetwork,
    _render_answer,
    find_reused_tokens,
    find_shared_holds,
    make_backend_client,
)
from persimmondock.tests.virtual_time import run_in_virtual_time

ADDRESS = "10.0.0.1:80"
TERM_S = 3.5  # longer than a grant lasts
# Seconds from the start of the fault until the keys move; grants are renewed each second.
MOVE_INSTANTS = [0.9 + 0.1 * number for number in range(12)]

names_orders = pytest.mark.parametrize("names_orders", [True, False])


async def move_keys(after_s: float, names_orders: bool) -> list[str]:
    """Move the keys of a VM whose backend server repeats answers and carries out grants late."""
    fleet = VirtualFleet()
    for vm in fleet.vms:
        vm.behavior.names_orders = names_orders
    await fleet.start()
    vm = fleet.vms[1]
    await asyncio.sleep(1.5)  # each connection has carried grants by then
    vm.behavior.repeats_last_answer = True
    vm.behavior.late_s = 2.0
    await asyncio.sleep(after_s)
    await fleet.evacuate(vm.failure_domain, 2 * TERM_S)
    fleet.close()
    return find_shared_holds(fleet.processes) + find_reused_tokens(fleet.processes)


@names_orders
def test_a_repeated_answer_is_not_counted_for_a_grant_that_takes_effect_late(
    names_orders: bool,
) -> None:
    """Guards against keys that go back to a former owner under the token that it had.

    An earlier answer was believed for a renewal, so nobody waited for it when the keys moved.
    """
    faults = [
        (after_s, fault)
        for after_s in MOVE_INSTANTS
        for fault in run_in_virtual_time(move_keys(after_s, names_orders))
    ]
    assert faults == []


@names_orders
def test_uncertain_answers_do_not_hold_up_moves_or_cost_connections(names_orders: bool) -> None:
    """Guards against keys that nobody serves until all grants of a former owner have expired."""

    async def run() -> None:
        fleet = VirtualFleet()
        for vm in fleet.vms:
            vm.behavior.names_orders = names_orders
        await fleet.start()
        await asyncio.sleep(5.0)
        vm = fleet.vms[1]
        assert vm.daemon is not None and vm.server is not None
        client = vm.daemon._client
        assert client._grant_client.pool.connections_opened <= 2
        moving = asyncio.create_task(fleet.evacuate(vm.failure_domain, TERM_S))
        while any(span.process is vm.server for span in vm.server.list_held()):
            await asyncio.sleep(0.005)
        released_at = read_clock()
        await fleet.wait_until_held(1.0)
        assert read_clock() - released_at < 0.3
        assert client._grant_client.pool.connections_opened <= 2
        assert client._release_client.pool.connections_opened <= 4
        await moving
        fleet.close()

    run_in_virtual_time(run())


async def measure_move_of_lost_keys(names_orders: bool, is_replaced: bool) -> float:
    """Return the seconds from the end of a backend server until its keys are held again."""
    fleet = VirtualFleet()
    for vm in fleet.vms:
        vm.behavior.names_orders = names_orders
    await fleet.start()
    await asyncio.sleep(5.0)
    vm = fleet.vms[1]
    fleet.kill_server(vm)
    killed_at = read_clock()
    moving = asyncio.create_task(fleet.evacuate(vm.failure_domain, 2 * TERM_S))
    if is_replaced:
        await asyncio.sleep(0.1)
        fleet.start_server(vm)
    await fleet.wait_until_held(5.0)
    taken_after_s = read_clock() - killed_at
    await moving
    fleet.close()
    return taken_after_s


@names_orders
def test_uncertain_answers_of_a_process_that_was_replaced_hold_up_no_move(
    names_orders: bool,
) -> None:
    """Guards against keys of a lost backend server that wait for grants which ended with it."""
    assert run_in_virtual_time(measure_move_of_lost_keys(names_orders, True)) < 1.0


@names_orders
def test_uncertain_answers_of_a_lost_process_hold_up_a_move_no_longer_than_its_grants(
    names_orders: bool,
) -> None:
    """Guards against the same where only the expiry of the grants shows that they ended."""
    longest_s = compute_hold_end(0.0, GRANT_DURATION_S)
    assert run_in_virtual_time(measure_move_of_lost_keys(names_orders, False)) < longest_s + 0.3


class OneServer:
    """A backend server and its client, on whose connections answers are repeated."""

    def __init__(self, names_orders: bool) -> None:
        self.behavior = ServerBehavior(names_orders=names_orders)
        self.server = ServerProcess(VirtualNetwork(), ADDRESS, "i-1", self.behavior)
        self.client: PlatformBackend = make_backend_client(ADDRESS)

    async def grant(self, first: int) -> GrantOutcome:
        return await self.client.grant("i-1", first, first + 9, 3, lambda: 2.0, "")

    async def release(self, first: int) -> ReleaseDone | ReleaseFailed:
        return await self.client.release("i-1", first, first + 9, 3)


@names_orders
def test_a_grant_without_answer_is_not_accepted_by_an_earlier_answer(names_orders: bool) -> None:
    """Guards against a grant that counts as carried out while it is still under way."""

    async def run() -> None:
        one = OneServer(names_orders)
        assert await one.grant(0) == GrantAccepted()
        one.behavior.repeats_answers, one.behavior.late_s = True, 1.0
        outcome = await one.grant(10)
        if isinstance(outcome, GrantAccepted):
            assert outcome.trace is not None and not outcome.trace.is_certain
            connections = [outcome.trace.connection]
            assert await one.client.settle_grants(connections, "i-1", 10, 19, 3) == frozenset()
        assert not one.server.holds_key(10)

    run_in_virtual_time(run())


@names_orders
def test_a_release_that_waits_for_work_is_not_confirmed_by_an_earlier_answer(
    names_orders: bool,
) -> None:
    """Guards against keys that are handed over while their former owner still works on them."""

    async def run() -> None:
        one = OneServer(names_orders)
        assert await one.grant(10) == GrantAccepted()
        assert isinstance(await one.release(0), ReleaseDone)
        one.behavior.repeats_answers = True
        one.server._running.append(10)
        asyncio.get_running_loop().call_later(0.5, one.server._running.clear)
        sent_at = read_clock()
        outcome = await one.release(10)
        if isinstance(outcome, ReleaseDone):
            assert read_clock() - sent_at >= 0.5
            assert outcome.handover == "handover-10"

    run_in_virtual_time(run())


@names_orders
def test_an_earlier_health_answer_does_not_answer_a_later_check(names_orders: bool) -> None:
    """Guards against a limit or a notice of leaving that has been taken back since."""

    async def run() -> None:
        one = OneServer(names_orders)
        await one.client.check_health("/health", "i-1")
        one.behavior.repeats_answers = True
        one.server.instance = "i-2"
        assert await one.client.check_health("/health", "i-1") is None

    run_in_virtual_time(run())


@pytest.mark.parametrize(("answered_by", "has_ended"), [("i-1", False), ("i-2", True)])
def test_a_process_that_misdirects_a_release_by_its_own_name_has_not_ended(
    answered_by: str, has_ended: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against keys that count as free though the process that was meant answers."""

    async def answer(_: object, __: str, fields: dict[str, str], *args: object) -> bytes:
        named = {"X-Attempt-Id": fields["x-attempt-id"], "X-Instance-Id": answered_by}
        return _render_answer(421, named)

    async def run() -> None:
        one = OneServer(True)
        monkeypatch.setattr(ServerProcess, "answer", answer)
        outcome = await one.release(10)
        assert isinstance(outcome, ReleaseFailed)
        assert outcome.misdirected is has_ended

    run_in_virtual_time(run())


def test_a_process_that_refuses_connections_is_not_taken_for_one_that_has_ended() -> None:
    """Guards against keys that count as free while their holder lives and takes no connections."""

    async def run() -> None:
        one = OneServer(True)
        assert await one.grant(10) == GrantAccepted()
        one.server._listener.close()
        outcome = await one.release(10)
        assert isinstance(outcome, ReleaseFailed) and not outcome.refused
        assert one.server.holds_key(10)
        one.server.kill()
        await asyncio.sleep(0.01)
        outcome = await one.release(10)
        assert isinstance(outcome, ReleaseFailed) and outcome.refused

    run_in_virtual_time(run())


def test_a_connection_that_was_lost_unnoticed_hides_the_end_of_a_process_for_a_while_only() -> None:
    """Guards against an ended process that counts as alive for good."""

    async def run() -> None:
        one = OneServer(True)
        assert await one.client.check_health("/health", "i-1") is not None
        one.server._connections.clear()
        one.server.kill()
        outcome = await one.release(10)
        assert isinstance(outcome, ReleaseFailed) and not outcome.refused
        await asyncio.sleep(DEFAULT_MAX_IDLE_S)
        outcome = await one.release(10)
        assert isinstance(outcome, ReleaseFailed) and outcome.refused

    run_in_virtual_time(run())
