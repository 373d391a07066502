"""Granting keys, renewing, handing over and taking over."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.peer_stream import Delivery
from persimmondock._domain.assignment import Assignment
from persimmondock._domain.range_lease import RangeLease
from persimmondock._domain.verdict import NotRun, Reason
from persimmondock._tasks import range_keeper
from persimmondock._tasks.range_keeper import RangeKeeper
from persimmondock.tests.fake_backend import FakeBackend
from persimmondock.tests.sites import make_assignment, make_incarnation, make_range

PEER = Delivery("node-2", 0.0)


class Keeping:
    """A keeper of node-1 beside a backend server in memory."""

    def __init__(self) -> None:
        self.backend = FakeBackend()
        self.keeper = RangeKeeper(self.backend, RangeLease(), "node-1")
        self.task = asyncio.create_task(self.keeper.run())

    async def follow(self, assignment: Assignment) -> None:
        """Learn of an assignment, and have the store confirm it."""
        self.keeper.follow(assignment, assignment.offset)
        self.keeper.lease.confirm_by_store(assignment.offset, read_clock())
        await asyncio.sleep(0.15)

    def refuse(self, key: int) -> NotRun | None:
        return self.keeper.refuse(key, read_clock())


@pytest.fixture
async def keeping():
    kept = Keeping()
    kept.keeper.follow_life(make_incarnation(1))
    yield kept
    kept.task.cancel()
    await asyncio.gather(kept.task, return_exceptions=True)


async def test_own_keys_are_granted_and_served(keeping: Keeping) -> None:
    await keeping.follow(make_assignment(make_range(0, 9, 1), make_range(10, 19, 2)))
    assert keeping.refuse(5) is None
    assert keeping.refuse(15) == NotRun(Reason.NOT_OWNER, range_keeper.HANDOVER_RETRY_MS)
    assert keeping.keeper.find_settled() == 1


async def test_nothing_is_granted_without_a_lease(keeping: Keeping) -> None:
    keeping.keeper.follow(make_assignment(make_range(0, 9, 1)), 1)
    await asyncio.sleep(0.2)
    assert keeping.backend.grants == []
    assert keeping.refuse(5) is not None


async def test_a_grant_ends_with_the_lease(keeping: Keeping) -> None:
    await keeping.follow(make_assignment(make_range(0, 9, 1)))
    _, until = keeping.backend.holds[(0, 9)]
    assert until <= keeping.keeper.lease.compute_end() + 0.01


async def test_renewals_go_on_when_the_record_no_longer_names_former_owners(
    keeping: Keeping, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(range_keeper, "RENEW_AFTER_S", 0.05)
    item = make_range(0, 9, 1)
    await keeping.follow(make_assignment(attrs.evolve(item, former=())))
    await keeping.follow(
        make_assignment(attrs.evolve(item, former=(make_incarnation(2),)), offset=2)
    )
    count = len(keeping.backend.grants)
    await asyncio.sleep(0.3)
    assert len(keeping.backend.grants) > count


async def test_lost_keys_are_released_and_the_new_owner_is_told(
    keeping: Keeping, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(range_keeper, "GRANT_S", 0.5)
    await keeping.follow(make_assignment(make_range(0, 9, 1)))
    await keeping.follow(make_assignment(make_range(0, 9, 2, fence=2), offset=2))
    assert keeping.refuse(5) is not None
    assert keeping.backend.holds == {}
    assert await keeping.keeper.answer_release([0, 9, 2, 2], PEER) == [True, "handover-0"]


async def test_a_part_that_stays_is_kept_without_a_new_grant(keeping: Keeping) -> None:
    await keeping.follow(make_assignment(make_range(0, 99, 1)))
    parts = (make_range(0, 9, 1), make_range(10, 19, 2, fence=2), make_range(20, 99, 1))
    await keeping.follow(make_assignment(*parts, offset=2))
    assert keeping.refuse(5) is None
    assert keeping.refuse(50) is None
    assert keeping.backend.releases == [(10, 19)]


async def test_no_release_is_confirmed_while_an_unanswered_grant_may_take_effect(
    keeping: Keeping,
) -> None:
    """Pattern: a grant gets no answer and is carried out seconds later."""
    keeping.backend.unanswered_grants = 1
    await keeping.follow(make_assignment(make_range(0, 9, 1)))
    keeping.keeper._unanswered[(0, 9, 1)] = [read_clock() + 0.5]
    await keeping.follow(make_assignment(make_range(0, 9, 2, fence=2), offset=2))
    asked = asyncio.create_task(keeping.keeper.answer_release([0, 9, 2, 2], PEER))
    await asyncio.sleep(0.2)
    assert not asked.done()
    assert (await asked)[0]


async def test_a_grant_that_was_repeated_with_success_may_still_be_carried_out_late(
    keeping: Keeping, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Pattern: the first of two equal grants is unanswered; the second succeeds, the keys move.

    The first one was carried out 0.9 s after another backend server had got the keys.
    """
    monkeypatch.setattr(range_keeper, "GRANT_S", 0.8)
    keeping.backend.unanswered_grants = 1
    await keeping.follow(make_assignment(make_range(0, 9, 1)))
    await asyncio.sleep(0.1)
    assert len(keeping.backend.grants) >= 2
    assert keeping.refuse(5) is None
    begun = read_clock()
    await keeping.follow(make_assignment(make_range(0, 9, 2, fence=2), offset=2))
    await keeping.keeper.answer_release([0, 9, 2, 2], PEER)
    assert read_clock() - begun > 0.4


async def test_a_process_that_has_just_started_vouches_for_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Pattern: all daemons are killed at once; the backend servers go on and hold their keys.

    The new process does not know what the one before granted, nor, at first, that a backend
    server runs: it must not tell the new owner that the keys are free.
    """
    monkeypatch.setattr(range_keeper, "GRANT_S", 0.5)
    kept = Keeping()
    kept.keeper.follow(make_assignment(make_range(0, 9, 2, fence=2), offset=2), 2)
    asked = asyncio.create_task(kept.keeper.answer_release([0, 9, 2, 2], PEER))
    await asyncio.sleep(0.2)
    assert not asked.done()
    assert len(kept.backend.releases) == 1
    assert (await asked)[0]
    kept.task.cancel()


async def test_a_refused_connection_shows_that_nothing_holds_keys() -> None:
    kept = Keeping()
    kept.backend.refused = True
    kept.keeper.follow(make_assignment(make_range(0, 9, 2, fence=2), offset=2), 2)
    async with asyncio.timeout(0.5):
        assert await kept.keeper.answer_release([0, 9, 2, 2], PEER) == [True, ""]
    kept.task.cancel()


async def test_keys_of_a_silent_owner_are_taken_only_after_its_lease(
    keeping: Keeping, monkeypatch: pytest.MonkeyPatch
) -> None:
    item = make_range(0, 9, 1, fence=2, former=(make_incarnation(2),))
    assignment = make_assignment(item, offset=2, witnesses="abc")
    await keeping.follow(assignment)
    assert keeping.backend.grants == []
    takeover = keeping.keeper._takeovers[0]
    takeover.known_at -= 100.0
    for witness in "ab":
        keeping.keeper.note_peer(witness, 2, True, 0.0, read_clock() - 100.0)
    await asyncio.sleep(0.2)
    assert keeping.backend.grants == [(0, 9, 2, "")]


async def test_another_life_of_the_backend_server_holds_nothing(keeping: Keeping) -> None:
    await keeping.follow(make_assignment(make_range(0, 9, 1)))
    keeping.keeper.follow_life(make_incarnation(1, born_ms=2))
    assert keeping.refuse(5) is not None
