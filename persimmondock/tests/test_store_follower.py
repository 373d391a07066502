"""Replication of partitions from the store, and from peers while it does not answer."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import attrs
import pytest

from persimmondock._domain.replica import KeyedEntry
from persimmondock._ports.keyed_log import (
    Partition,
    ReadOutcome,
    Records,
    RecordsCompacted,
    StoreFailed,
    WriteOutcome,
    Written,
)
from persimmondock._tasks.store_follower import PartitionFollower

PARTITION = Partition("t")


@attrs.define
class ScriptedLog:
    """A store with scripted replies; a read without one never returns."""

    newest: list[Records | StoreFailed] = attrs.field(factory=list)
    reads: list[ReadOutcome] = attrs.field(factory=list)
    asked: list[int] = attrs.field(factory=list)

    async def read_newest(self, partition: Partition) -> Records | StoreFailed:
        await asyncio.sleep(0)
        return self.newest.pop(0) if self.newest else StoreFailed("no more")

    async def read_from(self, partition: Partition, offset: int, wait_s: float) -> ReadOutcome:
        await asyncio.sleep(0)
        self.asked.append(offset)
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
def taken() -> list[KeyedEntry]:
    return []


async def follow(log: ScriptedLog, taken: list[KeyedEntry], for_s: float = 0.3):
    follower = PartitionFollower(log, PARTITION, taken.extend, batch_s=0.0)
    task = asyncio.create_task(follower.run())
    await asyncio.sleep(for_s)
    return follower, task


async def stop(task: asyncio.Task[None]) -> None:
    task.cancel()
    async with asyncio.timeout(0.5):
        await asyncio.gather(task, return_exceptions=True)


async def test_cancelling_ends_a_waiting_read(taken: list[KeyedEntry]) -> None:
    """A follower that went on reading kept its process running until it was killed."""
    _, task = await follow(ScriptedLog([Records((), 0)]), taken)
    await stop(task)
    assert task.cancelled()


async def test_a_read_that_is_given_up_is_followed_by_another(taken: list[KeyedEntry]) -> None:
    log = ScriptedLog([Records((), 3)])
    follower, task = await follow(log, taken)
    follower.restart_read()
    await asyncio.sleep(0.1)
    assert log.asked == [3, 3]
    await stop(task)


async def test_keys_that_were_dropped_in_a_gap_are_noticed(taken: list[KeyedEntry]) -> None:
    """The store drops its history while a failure domain is restored."""
    log = ScriptedLog(
        [Records((make_entry(0, "evacuate/recife"), make_entry(1, "config")), 2)],
        [RecordsCompacted()],
    )
    log.newest.append(Records((make_entry(1, "config"),), 9))
    _, task = await follow(log, taken)
    assert taken[-1] == KeyedEntry(8, "evacuate/recife", b"")
    await stop(task)


async def test_an_older_record_never_replaces_a_newer_one(taken: list[KeyedEntry]) -> None:
    log = ScriptedLog([Records((make_entry(5, "a", b"new"),), 6)])
    follower, task = await follow(log, taken)
    follower.apply_from_peer([make_entry(4, "a", b"old")], 5)
    assert follower.replica.get("a") == b"new"
    assert follower.replica.end == 6
    await stop(task)


async def test_records_from_peers_are_applied_while_the_store_does_not_answer(
    taken: list[KeyedEntry],
) -> None:
    follower, task = await follow(ScriptedLog(), taken)
    follower.apply_from_peer([make_entry(4, "a", b"v")], 5)
    assert follower.replica.get("a") == b"v"
    assert not follower.replica.confirmed_by_store
    await stop(task)
