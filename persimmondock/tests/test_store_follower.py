"""Replication of partitions from the store, and from peers while it does not answer."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import attrs
import pytest

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.log_position import make_position
from persimmondock._domain.replica import KeyedEntry
from persimmondock._ports.keyed_log import (
    LogRestored,
    Partition,
    ReadOutcome,
    Records,
    RecordsCompacted,
    StoreFailed,
    WriteOutcome,
    Written,
)
from persimmondock._tasks.store_follower import POLL_WAIT_S, Growth, PartitionFollower, Source
from persimmondock.tests.virtual_time import run_in_virtual_time

PARTITION = Partition("t")


@attrs.define
class ScriptedLog:
    """A store with scripted replies; a read without one never returns."""

    newest: list[Records | StoreFailed] = attrs.field(factory=list)
    reads: list[ReadOutcome] = attrs.field(factory=list)
    read_offsets: list[int] = attrs.field(factory=list)

    async def read_newest(self, partition: Partition) -> Records | StoreFailed:
        await asyncio.sleep(0)
        return self.newest.pop(0) if self.newest else StoreFailed("no more")

    async def read_from(self, partition: Partition, offset: int, wait_s: float) -> ReadOutcome:
        await asyncio.sleep(0)
        self.read_offsets.append(offset)
        if not self.reads:
            await asyncio.Event().wait()
        return self.reads.pop(0)

    async def write(
        self, partition: Partition, entries: Sequence[tuple[str, bytes]], expected_end: int | None
    ) -> WriteOutcome:
        return Written(0)


def make_entry(offset: int, key: str, value: bytes = b"v") -> KeyedEntry:
    return KeyedEntry(offset, key, value)


@pytest.fixture
def changed() -> list[KeyedEntry]:
    return []


async def follow(log: ScriptedLog, changed: list[KeyedEntry], duration_s: float = 0.3):
    follower = PartitionFollower(log, PARTITION, changed.extend, batch_s=0.0)
    task = asyncio.create_task(follower.run())
    await asyncio.sleep(duration_s)
    return follower, task


async def stop(task: asyncio.Task[None]) -> None:
    task.cancel()
    async with asyncio.timeout(0.5):
        await asyncio.gather(task, return_exceptions=True)


async def test_cancelling_ends_a_waiting_read(changed: list[KeyedEntry]) -> None:
    """A follower that went on reading kept its process running until it was killed."""
    _, task = await follow(ScriptedLog([Records((), 0)]), changed)
    await stop(task)
    assert task.cancelled()


async def test_a_restarted_read_starts_at_the_same_offset(changed: list[KeyedEntry]) -> None:
    log = ScriptedLog([Records((), 3)])
    follower, task = await follow(log, changed)
    follower.restart_read()
    await asyncio.sleep(0.1)
    assert log.read_offsets == [3, 3]
    await stop(task)


async def test_keys_missing_from_a_new_snapshot_are_reported_as_deleted(
    changed: list[KeyedEntry],
) -> None:
    """The store drops its history while a failure domain is restored."""
    log = ScriptedLog(
        [Records((make_entry(0, "evacuate/recife"), make_entry(1, "config")), 2)],
        [RecordsCompacted()],
    )
    log.newest.append(Records((make_entry(1, "config"),), 9))
    _, task = await follow(log, changed)
    assert changed[-1] == KeyedEntry(8, "evacuate/recife", b"")
    await stop(task)


async def test_an_older_record_never_replaces_a_newer_one(changed: list[KeyedEntry]) -> None:
    log = ScriptedLog([Records((make_entry(5, "a", b"new"),), 6)])
    follower, task = await follow(log, changed)
    follower.apply_from_peer([make_entry(4, "a", b"old")], 5)
    assert follower.replica.get("a") == b"new"
    assert follower.replica.end == 6
    await stop(task)


async def test_records_from_peers_are_applied_while_the_store_does_not_answer(
    changed: list[KeyedEntry],
) -> None:
    follower, task = await follow(ScriptedLog(), changed)
    follower.apply_from_peer([make_entry(4, "a", b"v")], 5)
    assert follower.replica.get("a") == b"v"
    assert not follower.replica.confirmed_by_store
    await stop(task)


def test_the_delay_of_records_counts_from_the_first_sign_of_them(
    changed: list[KeyedEntry],
) -> None:
    async def scenario() -> None:
        follower, task = await follow(ScriptedLog([Records((), 3)]), changed)
        now = asyncio.get_running_loop().time()
        follower.record_newer(5, now - 0.5)
        follower.record_newer(4, now)
        await asyncio.sleep(1.0)
        assert follower.compute_delay(now + 1.0) == pytest.approx(1.5)
        follower.apply_from_peer([make_entry(3, "a")], 4)
        assert follower.compute_delay(now + 1.0) == pytest.approx(1.5)
        follower.apply_from_peer([make_entry(4, "a")], 5)
        assert follower.growth == Growth(Source.SYNC, pytest.approx(1.5), pytest.approx(1.5))
        await asyncio.sleep(1.0)
        assert follower.compute_delay(now + 2.0) == pytest.approx(1.5)
        follower.apply_from_peer([make_entry(5, "a")], 6, Source.PUSH)
        assert follower.compute_delay(now + 2.0) == 0.0
        await stop(task)

    run_in_virtual_time(scenario())


def test_a_read_that_did_not_wait_bounds_the_delay_by_the_last_confirmation(
    changed: list[KeyedEntry],
) -> None:
    async def scenario() -> None:
        log = ScriptedLog([Records((), 3)])
        follower, task = await follow(log, changed)
        await asyncio.sleep(4.0)
        log.reads.append(Records((make_entry(3, "a"),), 4))
        await follower.confirm_now()
        assert follower.growth is not None
        assert follower.growth.source is Source.READ
        assert follower.growth.delay_s == 0.0
        assert follower.growth.at_most_s == pytest.approx(4.3)
        await stop(task)

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("source", [Source.PUSH, Source.SYNC])
def test_records_of_a_peer_do_not_show_that_there_are_no_newer_ones(source: Source) -> None:
    """Guards against records that were held up on their way and count as read when they arrive."""

    async def scenario() -> None:
        follower = PartitionFollower(ScriptedLog(), PARTITION, lambda _: None, max_age_s=1.4)
        started = read_clock()
        follower.replica.end = 3
        follower.record_confirmation(3, started)
        await asyncio.sleep(1.3)
        follower.apply_from_peer([make_entry(3, "a")], 4, source)
        assert not follower.is_stale(started + 1.35)
        assert follower.is_stale(started + 1.45)

    run_in_virtual_time(scenario())


def test_a_confirmation_of_records_that_come_later_counts_once_they_are_there() -> None:
    """Guards against reads of the store by all daemons whose peers answer before they push."""

    async def scenario() -> None:
        follower = PartitionFollower(ScriptedLog(), PARTITION, lambda _: None, max_age_s=1.4)
        started = read_clock()
        follower.replica.end = 3
        follower.record_confirmation(3, started - 1.0)
        follower.record_confirmation(4, started)
        assert follower.compute_known_age(started) == pytest.approx(1.0)
        assert follower.is_stale(started)
        follower.apply_from_peer([make_entry(3, "a")], 4, Source.PUSH)
        assert follower.compute_known_age(started) == pytest.approx(0.0)
        assert not follower.is_stale(started + 1.35)

    run_in_virtual_time(scenario())


@attrs.define
class LateLog(ScriptedLog):
    """A store with one answer without records, which is received late."""

    answer: Records = attrs.field(factory=lambda: Records((), 3))
    received_after_s: float = 0.0

    async def read_from(self, partition: Partition, offset: int, wait_s: float) -> ReadOutcome:
        await asyncio.sleep(self.received_after_s)
        return self.answer


@pytest.mark.parametrize(
    ("answer", "received_after_s", "at_s"),
    [
        pytest.param(Records((), 3), POLL_WAIT_S + 0.002, POLL_WAIT_S, id="waited"),
        pytest.param(Records((), 3), 0.1, 0.0, id="did not wait"),
        pytest.param(Records((), 3), 2.0, 0.0, id="received while the VM was paused"),
        pytest.param(Records((), 3, whole=False), POLL_WAIT_S + 0.002, 0.0, id="not the end"),
    ],
)
def test_an_answer_without_records_counts_for_the_end_of_its_wait_only_if_it_waited(
    answer: Records, received_after_s: float, at_s: float
) -> None:
    """Guards against an answer given before a VM was paused that confirms the copy as of later."""

    async def scenario() -> None:
        log = LateLog([Records((), 3)], answer=answer, received_after_s=received_after_s)
        follower = PartitionFollower(log, PARTITION, lambda _: None)
        follower.replica.end, follower.replica.confirmed_by_store = 3, True
        follower.store_answers, follower.is_poller = True, lambda: True
        started = read_clock()
        follower.record_confirmation(3, started)
        await follower._read_once()
        assert follower.compute_known_age(started + POLL_WAIT_S) == pytest.approx(
            POLL_WAIT_S - at_s
        )

    run_in_virtual_time(scenario())


def make_restored_log(*newest: Records) -> ScriptedLog:
    """Return a store that comes back from an older copy after its first answer."""
    first = Records((make_entry(1, "config"), make_entry(2, "evacuate/recife")), 3)
    return ScriptedLog([first, *newest], [LogRestored(1)])


def test_a_copy_starts_again_when_the_store_has_come_back(changed: list[KeyedEntry]) -> None:
    """CONFIG: the copy waited for records behind the end of the store, and took none before it."""
    era, again = make_position(1, 0), make_entry(make_position(1, 1), "config", b"newer")

    async def scenario() -> None:
        follower, task = await follow(make_restored_log(Records((again,), era + 2)), changed)
        assert changed[-1] == again
        assert (follower.replica.end, follower.replica.confirmed_by_store) == (era + 2, True)
        # Operators write again what the store has lost.
        assert follower.replica.get("evacuate/recife") == b"v"
        await stop(task)

    run_in_virtual_time(scenario())


def test_lost_records_are_dropped_when_they_are_not_written_again(
    changed: list[KeyedEntry],
) -> None:
    """Guards against a failure domain that stays evacuated because the deletion was missed."""
    era = make_position(1, 0)

    async def scenario() -> None:
        log = make_restored_log(Records((make_entry(era + 1, "config"),), era + 2))
        follower = PartitionFollower(log, PARTITION, changed.extend, batch_s=0.0, max_age_s=100.0)
        follower.keep_former_s = 30.0
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(29.0)
        assert follower.replica.get("evacuate/recife") == b"v"
        await asyncio.sleep(2.0)
        assert follower.replica.get("evacuate/recife") is None
        assert changed[-1] == KeyedEntry(era + 1, "evacuate/recife", b"")
        await stop(task)

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("losses", [1, 2])
def test_expired_history_beside_a_loss_deletes_no_lost_record(
    losses: int, changed: list[KeyedEntry]
) -> None:
    """EVAC: a snapshot after the history has expired lists neither what was lost nor deletions."""

    async def scenario() -> None:
        log = make_restored_log()
        log.reads = []
        for era in range(1, losses + 1):
            start = make_position(era, 0)
            log.reads += [LogRestored(era), RecordsCompacted()]
            log.newest += 2 * [Records((make_entry(start + 1, "config"),), start + 2)]
        follower, task = await follow(log, changed, duration_s=3.0)
        assert follower.replica.end == make_position(losses, 2)
        assert follower.replica.get("evacuate/recife") == b"v"
        await stop(task)

    run_in_virtual_time(scenario())


def test_a_check_that_finds_a_restored_store_tells_the_other_copies(
    changed: list[KeyedEntry],
) -> None:
    """Guards against copies of other partitions that wait for up to 20 s for their next record."""

    async def scenario() -> None:
        log = ScriptedLog([Records((), 3)])
        follower, task = await follow(log, changed)
        eras: list[int] = []
        follower.share_era = eras.append
        log.reads.append(LogRestored(2))
        log.newest.append(Records((), make_position(2, 1)))
        assert not await follower.confirm_now()
        assert eras == [2]
        await asyncio.sleep(0.3)
        assert follower.replica.end == make_position(2, 1)
        log.newest.append(Records((), make_position(3, 1)))
        follower.expect_era(2)
        assert follower.replica.confirmed_by_store
        follower.expect_era(3)
        await asyncio.sleep(0.3)
        assert follower.replica.end == make_position(3, 1)
        await stop(task)

    run_in_virtual_time(scenario())
