"""Grants in the replies to heartbeats: what is granted, what is known to be free, and when."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.peer_stream import Delivery
from persimmondock._domain.assignment import Assignment
from persimmondock._domain.holdings import (
    GrantedHoldings,
    GrantedRow,
    ReleasedRange,
    ReportedHoldings,
    ReportedRow,
    merge_rows,
)
from persimmondock._domain.range_lease import CLOCK_TOLERANCE, RangeLease, compute_hold_end
from persimmondock._domain.site import GrantsInHeartbeats
from persimmondock._tasks import heartbeat_grants, range_keeper
from persimmondock._tasks.range_keeper import GRANT_DURATION_S, RangeKeeper
from persimmondock.tests.fake_backend import FakeBackend
from persimmondock.tests.sites import make_assignment, make_incarnation, make_range
from persimmondock.tests.virtual_time import run_in_virtual_time

PEER = Delivery("node-2", 0.0)


class HeartbeatHarness:
    """The range keeper of node-1, whose backend server sends heartbeats by hand."""

    def __init__(self) -> None:
        self.backend = FakeBackend()
        self.keeper = RangeKeeper(self.backend, RangeLease(), "node-1", GrantsInHeartbeats())
        self.keeper.update_incarnation(make_incarnation(1))
        self.task = asyncio.create_task(self.keeper.run())
        self.sequence = 0

    async def follow(self, assignment: Assignment) -> None:
        """Apply an assignment and confirm it by the store."""
        self.keeper.update_assignment(assignment, assignment.offset)
        self.keeper.lease.confirm_by_store(assignment.offset, read_clock())
        await asyncio.sleep(0)

    async def beat(
        self,
        *rows: tuple[int, int, int],
        freed: tuple[tuple[int, int, str], ...] = (),
        sequence: int | None = None,
        born_ms: int = 1,
        may_wait: bool = True,
    ) -> GrantedHoldings | None:
        """Send a heartbeat and return what its reply grants."""
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        holdings = ReportedHoldings(
            tuple(ReportedRow(*row) for row in rows), tuple(ReleasedRange(*row) for row in freed)
        )
        incarnation = make_incarnation(1, born_ms)
        return await self.keeper.grant_holdings(incarnation, sequence, holdings, may_wait)

    def serves(self, key: int) -> bool:
        return self.keeper.find_refusal(key, read_clock()) is None


@pytest.fixture
async def harness(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(heartbeat_grants, "REPLY_WAIT_S", 0.0)
    harness = HeartbeatHarness()
    yield harness
    harness.task.cancel()
    await asyncio.gather(harness.task, return_exceptions=True)


async def test_a_reply_grants_all_owned_ranges(harness: HeartbeatHarness) -> None:
    await harness.follow(make_assignment(make_range(0, 9, 1), make_range(10, 19, 2)))
    assert not harness.serves(5)
    granted = await harness.beat()
    assert granted is not None
    assert granted.rows == (GrantedRow(0, 9, 1),)
    assert harness.serves(5)
    assert not harness.serves(15)
    assert harness.keeper.find_granted_offset() == 1


async def test_each_reply_repeats_all_grants(harness: HeartbeatHarness) -> None:
    await harness.follow(make_assignment(make_range(0, 9, 1), make_range(20, 29, 1, fence=4)))
    first, second = await harness.beat(), await harness.beat()
    assert first is not None and second is not None
    assert first.rows == second.rows == (GrantedRow(0, 9, 1), GrantedRow(20, 29, 4))


async def test_adjacent_ranges_of_one_grant_share_a_row() -> None:
    rows = [GrantedRow(10, 19, 1), GrantedRow(0, 9, 1), GrantedRow(20, 29, 2)]
    assert merge_rows(rows) == (GrantedRow(0, 19, 1), GrantedRow(20, 29, 2))


async def test_without_a_lease_a_reply_grants_nothing(harness: HeartbeatHarness) -> None:
    harness.keeper.update_assignment(make_assignment(make_range(0, 9, 1)), 1)
    assert await harness.beat() is None
    assert not harness.serves(5)


async def test_a_hold_ends_with_the_lease(harness: HeartbeatHarness) -> None:
    await harness.follow(make_assignment(make_range(0, 9, 1)))
    arrived_at = read_clock()
    granted = await harness.beat()
    assert granted is not None
    assert arrived_at + granted.hold_s <= harness.keeper.lease.compute_end() + 0.01


@pytest.mark.parametrize(
    ("sequence", "born_ms"),
    [pytest.param(1, 1, id="older or equal sequence"), pytest.param(9, 0, id="past incarnation")],
)
async def test_an_outdated_heartbeat_renews_and_frees_nothing(
    harness: HeartbeatHarness, sequence: int, born_ms: int
) -> None:
    await harness.follow(make_assignment(make_range(0, 9, 1)))
    await harness.beat()
    await harness.beat((0, 9, 1))
    await harness.follow(make_assignment(make_range(0, 9, 2, fence=2), offset=2))
    reply = asyncio.create_task(harness.keeper.handle_release([0, 9, 2, 2], PEER))
    freed = ((0, 9, "h"),)
    assert await harness.beat(freed=freed, sequence=sequence, born_ms=born_ms) is None
    await asyncio.sleep(0.1)
    assert not reply.done()
    reply.cancel()


async def test_a_moved_range_is_left_out_and_confirmed_once_it_is_reported_free(
    harness: HeartbeatHarness,
) -> None:
    await harness.follow(make_assignment(make_range(0, 9, 1)))
    await harness.beat()
    await harness.beat((0, 9, 1))
    await harness.follow(make_assignment(make_range(0, 9, 2, fence=2), offset=2))
    assert not harness.serves(5)
    reply = asyncio.create_task(harness.keeper.handle_release([0, 9, 2, 2], PEER))
    granted = await harness.beat((0, 9, 1))
    assert granted is not None and granted.rows == ()
    await harness.beat((0, 9, 1))  # a request for these keys is still running
    await asyncio.sleep(0.1)
    assert not reply.done()
    await harness.beat(freed=((0, 9, "data"),))
    assert await reply == [True, "data"]


async def test_a_repeated_notice_of_freed_keys_counts_once(harness: HeartbeatHarness) -> None:
    """Guards against handing on the data of an earlier release after the keys had come back."""
    await harness.follow(make_assignment(make_range(0, 9, 1)))
    await harness.beat()
    await harness.follow(make_assignment(make_range(0, 9, 2, fence=2), offset=2))
    freed = ((0, 9, "data"),)
    await harness.beat((0, 9, 1))
    await harness.beat(freed=freed)
    await asyncio.sleep(0.05)
    await harness.follow(make_assignment(make_range(0, 9, 1, fence=3), offset=3))
    await harness.beat(freed=freed)
    await harness.beat((0, 9, 3), freed=freed)
    await harness.follow(make_assignment(make_range(0, 9, 2, fence=4), offset=4))
    await harness.beat((0, 9, 3), freed=freed)
    await harness.beat()
    assert await harness.keeper.handle_release([0, 9, 4, 4], PEER) == [True, ""]


async def test_keys_of_a_lost_reply_count_as_held_until_a_later_heartbeat_shows_them_free(
    harness: HeartbeatHarness,
) -> None:
    await harness.follow(make_assignment(make_range(0, 9, 1)))
    await harness.beat()  # its reply is lost
    await harness.follow(make_assignment(make_range(0, 9, 2, fence=2), offset=2))
    reply = asyncio.create_task(harness.keeper.handle_release([0, 9, 2, 2], PEER))
    await asyncio.sleep(0.1)
    assert not reply.done()
    await harness.beat()
    assert (await reply)[0]


async def test_keys_of_a_silent_backend_server_are_free_once_the_hold_has_ended(
    harness: HeartbeatHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(range_keeper, "GRANT_DURATION_S", 0.5)
    await harness.follow(make_assignment(make_range(0, 9, 1)))
    arrived_at = read_clock()
    await harness.beat()
    await harness.follow(make_assignment(make_range(0, 9, 2, fence=2), offset=2))
    assert await harness.keeper.handle_release([0, 9, 2, 2], PEER) == [True, ""]
    assert read_clock() - arrived_at >= 0.5 * 1.02


def test_keys_of_a_backend_server_that_refuses_connections_are_held_until_they_expire() -> None:
    """Guards against keys that count as free while a process that is full or cut off holds them."""

    async def run() -> float:
        harness = HeartbeatHarness()
        harness.keeper._grants_known_since -= 2 * GRANT_DURATION_S
        await harness.follow(make_assignment(make_range(0, 9, 1)))
        arrived_at = read_clock()
        assert await harness.beat(may_wait=False) is not None
        await harness.follow(make_assignment(make_range(0, 9, 2, fence=2), offset=2))
        harness.backend.refused = True
        assert await harness.keeper.handle_release([0, 9, 2, 2], PEER) == [True, ""]
        harness.task.cancel()
        return read_clock() - arrived_at

    longest_s = GRANT_DURATION_S * (1 + CLOCK_TOLERANCE)
    assert longest_s <= run_in_virtual_time(run()) < longest_s + 0.1


def test_a_restarted_daemon_frees_what_it_never_granted_when_that_has_expired() -> None:
    """Guards against a release that is confirmed by late heartbeats of a process that has ended.

    The earlier process of the daemon has granted the keys to the successor of that process. The
    heartbeats first list them, then say that they are free; the next owner gets the handover.
    """

    async def run() -> float:
        harness, started_at = HeartbeatHarness(), read_clock()
        await harness.follow(make_assignment(make_range(0, 9, 2, fence=2), offset=2))
        reply = asyncio.create_task(harness.keeper.handle_release([0, 9, 2, 2], PEER))
        await asyncio.sleep(0.05)
        granted = await harness.beat((0, 9, 1), may_wait=False)
        assert granted is not None and granted.rows == ()
        await harness.beat(freed=((0, 9, "data"),), may_wait=False)
        while not reply.done():
            await harness.beat(may_wait=False)
            await asyncio.sleep(0.02)
        assert reply.result() == [True, "data"]
        harness.task.cancel()
        return read_clock() - started_at

    freed_after_s = compute_hold_end(0.0, GRANT_DURATION_S)
    assert freed_after_s <= run_in_virtual_time(run()) < freed_after_s + 0.2


async def test_a_restarted_daemon_renews_what_is_held_without_asking_former_owners(
    harness: HeartbeatHarness,
) -> None:
    former = (make_incarnation(2),)
    await harness.beat((0, 9, 2))
    await harness.follow(make_assignment(make_range(0, 9, 1, fence=2, former_owners=former)))
    await asyncio.sleep(0.05)
    granted = await harness.beat((0, 9, 2))
    assert granted is not None and granted.rows == (GrantedRow(0, 9, 2),)
    assert harness.serves(5)


async def test_a_handover_is_sent_until_the_range_is_reported(harness: HeartbeatHarness) -> None:
    harness.keeper._grants_known_since -= 2 * GRANT_DURATION_S
    await harness.beat(freed=((0, 9, "data"),))
    await harness.beat(freed=((0, 9, "data"),))
    former = (make_incarnation(1, born_ms=0),)
    key_range = make_range(0, 9, 1, fence=2, former_owners=former)
    await harness.follow(make_assignment(key_range, offset=2))
    await asyncio.sleep(0.05)
    rows = []
    for reported in ((), (), ((0, 9, 2),)):
        granted = await harness.beat(*reported)
        assert granted is not None
        rows += granted.rows
    assert [row.handover for row in rows] == ["data", "data", ""]


async def test_an_open_reply_carries_a_change_at_once(
    harness: HeartbeatHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(heartbeat_grants, "REPLY_WAIT_S", 5.0)
    await harness.follow(make_assignment(make_range(0, 9, 1)))
    await harness.beat()
    reply = asyncio.create_task(harness.beat((0, 9, 1)))
    await asyncio.sleep(0.05)
    assert not reply.done()
    await harness.follow(make_assignment(make_range(0, 9, 2, fence=2), offset=2))
    async with asyncio.timeout(1.0):
        granted = await reply
    assert granted is not None and granted.rows == ()


async def test_an_open_reply_ends_when_a_newer_heartbeat_arrives(
    harness: HeartbeatHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(heartbeat_grants, "REPLY_WAIT_S", 5.0)
    await harness.follow(make_assignment(make_range(0, 9, 1)))
    await harness.beat()
    open_reply = asyncio.create_task(harness.beat((0, 9, 1)))
    await asyncio.sleep(0.05)
    newer = asyncio.create_task(harness.beat((0, 9, 1)))
    async with asyncio.timeout(1.0):
        assert await open_reply is None
    assert not newer.done()
    newer.cancel()


def test_an_open_reply_to_a_former_incarnation_does_not_count_as_its_successors() -> None:
    """Guards against a successor without keys after a reply to a process that has ended.

    A backend server is replaced while its first reply is held open, and the successor's first
    heartbeat has the same number. The end of the former reply counted as the answer to it.
    """

    async def play() -> tuple[GrantedHoldings | None, GrantedHoldings | None]:
        harness = HeartbeatHarness()
        owned = attrs.evolve(make_range(0, 9, 1, fence=2), owner=make_incarnation(1, born_ms=2))
        await harness.follow(make_assignment())
        former = asyncio.create_task(harness.beat(sequence=1))
        await asyncio.sleep(0.1)

        async def replace() -> GrantedHoldings | None:
            harness.keeper.update_incarnation(make_incarnation(1, born_ms=2))
            return await harness.beat(sequence=1, born_ms=2)

        successor = asyncio.create_task(replace())
        former_reply = await former
        await harness.follow(make_assignment(owned, offset=2))
        reply = await successor
        harness.task.cancel()
        return former_reply, reply

    former_reply, reply = run_in_virtual_time(play())
    assert former_reply is None
    assert reply is not None and reply.rows == (GrantedRow(0, 9, 2),)


async def test_the_reply_to_a_leaving_backend_server_is_not_held_open(
    harness: HeartbeatHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The bound of its drain counts from the reply."""
    monkeypatch.setattr(heartbeat_grants, "REPLY_WAIT_S", 5.0)
    await harness.follow(make_assignment(make_range(0, 9, 1)))
    await harness.beat()
    async with asyncio.timeout(1.0):
        assert await harness.beat((0, 9, 1), may_wait=False) is not None


async def test_rows_beyond_the_limit_wait_and_held_ones_stay(
    harness: HeartbeatHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(heartbeat_grants, "MAX_ROWS", 1)
    await harness.follow(make_assignment(make_range(0, 9, 1)))
    await harness.beat()
    ranges = (make_range(0, 9, 1), make_range(20, 29, 1, fence=2))
    await harness.follow(make_assignment(*ranges, offset=2))
    granted = await harness.beat((0, 9, 1))
    assert granted is not None and granted.rows == (GrantedRow(0, 9, 1),)
    assert harness.serves(5)
    assert not harness.serves(25)


async def test_a_merged_range_is_served_without_interruption(harness: HeartbeatHarness) -> None:
    await harness.follow(make_assignment(make_range(0, 9, 1), make_range(10, 19, 1, fence=2)))
    await harness.beat()
    await harness.follow(make_assignment(make_range(0, 19, 1, fence=3), offset=3))
    assert harness.serves(5) and harness.serves(15)
    granted = await harness.beat((0, 9, 1), (10, 19, 2))
    assert granted is not None and granted.rows == (GrantedRow(0, 19, 3),)


async def test_a_merged_range_that_moves_before_its_grant_counts_as_held(
    harness: HeartbeatHarness,
) -> None:
    await harness.follow(make_assignment(make_range(0, 9, 1), make_range(10, 19, 1, fence=2)))
    await harness.beat()
    await harness.follow(make_assignment(make_range(0, 19, 1, fence=3), offset=3))
    await harness.follow(make_assignment(make_range(0, 19, 2, fence=4), offset=4))
    reply = asyncio.create_task(harness.keeper.handle_release([0, 19, 4, 4], PEER))
    await harness.beat((0, 9, 1), (10, 19, 2))
    await asyncio.sleep(0.1)
    assert not reply.done()
    await harness.beat()
    assert (await reply)[0]


async def test_as_many_new_rows_are_granted_as_fit(
    harness: HeartbeatHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(heartbeat_grants, "MAX_ROWS", 2)
    await harness.follow(make_assignment(*(make_range(n, n, 1, fence=1 + n) for n in range(4))))
    granted = await harness.beat()
    assert granted is not None and len(granted.rows) == 2
