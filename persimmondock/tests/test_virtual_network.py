"""Connections and backend servers in memory behave like those of the platform."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import attrs
import pytest

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.http_exchange import (
    ConnectFailedError,
    ConnectionLostError,
    HttpPool,
    render_request,
)
from persimmondock._domain.holdings import GrantedHoldings, GrantedRow, ReportedRow
from persimmondock._domain.verdict import Answered, NotRun, Reason
from persimmondock._ports.backend import (
    GrantAccepted,
    GrantFenced,
    GrantOutcome,
    GrantUnknown,
    ReleaseDone,
)
from persimmondock.platform._backend import PlatformBackend
from persimmondock.tests.sites import make_forwarded
from persimmondock.tests.virtual_network import (
    HEALTH_PATH,
    Health,
    ServerBehavior,
    ServerProcess,
    VirtualNetwork,
    find_reused_tokens,
    find_shared_holds,
    make_backend_client,
)
from persimmondock.tests.virtual_time import run_in_virtual_time

ADDRESS = "10.0.0.1:80"
INSTANCE = "i-1"
HEALTH_REQUEST = render_request("GET", HEALTH_PATH, [("Host", ADDRESS)], b"")


def run(test: Callable[[VirtualNetwork, ServerProcess], Awaitable[None]]) -> None:
    """Run a test with a backend server that listens."""

    async def start() -> None:
        network = VirtualNetwork()
        await test(network, ServerProcess(network, ADDRESS, INSTANCE))

    run_in_virtual_time(start())


async def grant(
    client: PlatformBackend, fence: int, first: int = 0, last: int = 9, hold_s: float = 3.0
) -> GrantOutcome:
    return await client.grant(INSTANCE, first, last, fence, lambda: hold_s, "")


def test_a_killed_process_resets_its_connections_and_its_address_refuses_new_ones() -> None:
    async def check(network: VirtualNetwork, process: ServerProcess) -> None:
        connection = await HttpPool(ADDRESS, 1).acquire()
        assert (await connection.exchange(HEALTH_REQUEST)).find_header("x-instance-id") == "i-1"
        process.kill()
        with pytest.raises(ConnectionLostError):
            await connection.exchange(HEALTH_REQUEST)
        assert not connection.usable
        with pytest.raises(ConnectFailedError) as raised:
            await HttpPool(ADDRESS, 1).acquire()
        assert raised.value.refused

    run(check)


def test_a_connection_never_reaches_the_next_process() -> None:
    async def check(network: VirtualNetwork, process: ServerProcess) -> None:
        connection = await HttpPool(ADDRESS, 1).acquire()
        process.kill()
        successor = ServerProcess(network, ADDRESS, "i-2")
        with pytest.raises(ConnectionLostError):
            await connection.exchange(HEALTH_REQUEST)
        assert successor.health_checks == []
        connection = await HttpPool(ADDRESS, 1).acquire()
        assert (await connection.exchange(HEALTH_REQUEST)).find_header("x-instance-id") == "i-2"

    run(check)


def test_grants_and_releases_are_recorded() -> None:
    async def check(network: VirtualNetwork, process: ServerProcess) -> None:
        client = make_backend_client(ADDRESS)
        assert await grant(client, 2) == GrantAccepted()
        assert await grant(client, 1) == GrantFenced()
        await asyncio.sleep(1.0)
        assert await grant(client, 2) == GrantAccepted()
        (span,) = process.spans
        assert span.end - span.start == pytest.approx(4.0, abs=0.01)
        assert await client.release(INSTANCE, 0, 4, 2) == ReleaseDone("handover-0")
        assert [(held.first, held.last) for held in process.list_held()] == [(5, 9)]
        await asyncio.sleep(3.1)
        assert process.list_held() == []
        assert find_shared_holds(network.processes) == find_reused_tokens(network.processes) == []

    run(check)


@pytest.mark.parametrize(("late_s", "held_s"), [(2.0, 1.0), (3.5, 0.0)])
def test_a_late_grant_counts_from_its_arrival(late_s: float, held_s: float) -> None:
    async def check(network: VirtualNetwork, process: ServerProcess) -> None:
        process.behavior.late_s = late_s
        assert isinstance(await grant(make_backend_client(ADDRESS), 1), GrantUnknown)
        await asyncio.sleep(5.0)
        assert sum(span.end - span.start for span in process.spans) == pytest.approx(
            held_s, abs=0.01
        )

    run(check)


def test_a_late_grant_ends_with_its_process() -> None:
    async def check(network: VirtualNetwork, process: ServerProcess) -> None:
        process.behavior.late_s = 2.0
        await grant(make_backend_client(ADDRESS), 1)
        process.kill()
        successor = ServerProcess(network, ADDRESS, "i-2")
        await asyncio.sleep(5.0)
        assert process.spans == successor.spans == []

    run(check)


def test_requests_run_only_for_held_keys_and_at_the_expected_instance() -> None:
    async def check(network: VirtualNetwork, process: ServerProcess) -> None:
        client = make_backend_client(ADDRESS)
        await grant(client, 1)

        async def ask(key: int, instance: str) -> object:
            request = attrs.evolve(
                make_forwarded(read_clock(), key=key),
                headers=(("X-Attempt-Id", "a1"), ("X-Shard-Key", str(key))),
            )
            verdict = await client.run(request, instance, lambda: None, lambda _: None)
            return verdict.reason if isinstance(verdict, NotRun) else type(verdict)

        assert await ask(5, "i-1") is Answered
        assert await ask(50, "i-1") is Reason.NOT_OWNER
        assert await ask(5, "i-2") is Reason.BACKEND_DOWN
        assert [run.key for run in process.requests] == [5]

    run(check)


@pytest.mark.parametrize("health", list(Health))
def test_a_health_check_tells_the_instance_unless_it_fails(health: Health) -> None:
    async def check(network: VirtualNetwork, process: ServerProcess) -> None:
        process.behavior.health = health
        client = make_backend_client(ADDRESS)
        notice = await client.check_health(HEALTH_PATH, "i-1")
        assert (notice is not None) == (health is Health.ANSWERED)
        assert await client.check_health(HEALTH_PATH, "i-0") is None

    run(check)


def test_overlapping_holds_and_reused_tokens_are_found() -> None:
    async def check(network: VirtualNetwork, process: ServerProcess) -> None:
        other = ServerProcess(network, "10.0.0.2:80", "i-2", ServerBehavior())
        process.carry_out_grant(0, 9, 2, 3.0, read_clock())
        await asyncio.sleep(1.0)
        other.carry_out_grant(9, 12, 3, 3.0, read_clock())
        assert len(find_shared_holds(network.processes)) == 1
        assert find_reused_tokens(network.processes) == []
        await asyncio.sleep(0.1)
        process.kill()
        successor = ServerProcess(network, ADDRESS, "i-3")
        successor.carry_out_grant(0, 5, 2, 3.0, read_clock())
        assert len(find_shared_holds(network.processes)) == 1
        assert len(find_reused_tokens(network.processes)) == 1

    run(check)


def test_a_reply_to_a_heartbeat_replaces_what_is_held() -> None:
    async def check(network: VirtualNetwork, process: ServerProcess) -> None:
        sent_at = read_clock()
        process.apply_reply(GrantedHoldings((GrantedRow(0, 99, 1),), 3.0), sent_at)
        assert process.report_holdings().rows == (ReportedRow(0, 99, 1),)
        await asyncio.sleep(0.1)
        rows = (GrantedRow(10, 19, 1), GrantedRow(90, 120, 2))
        process.apply_reply(GrantedHoldings(rows, 3.0), sent_at)
        holdings = process.report_holdings()
        assert sorted(holdings.rows, key=lambda row: row.first) == [
            ReportedRow(10, 19, 1),
            ReportedRow(90, 120, 2),
        ]
        assert [(freed.first, freed.last) for freed in holdings.freed] == [(0, 9), (20, 89)]
        await asyncio.sleep(2.95)
        assert process.report_holdings().rows == ()

    run(check)
