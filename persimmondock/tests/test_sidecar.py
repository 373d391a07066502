"""A daemon's record in the store, and the announcements that it accepts."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import attrs
import pytest

from persimmondock._domain.assignment import BackendIncarnation
from persimmondock._domain.departures import Departure, decode_departures, encode_departures
from persimmondock._domain.replica import KeyedEntry
from persimmondock._domain.site import NodeSettings
from persimmondock._ports.keyed_log import (
    Partition,
    ReadOutcome,
    Records,
    StoreFailed,
    WriteOutcome,
    Written,
)
from persimmondock._tasks.mesh import Member, encode_member
from persimmondock._tasks.sidecar import OperatorCodec, Sidecar, SitePartitions
from persimmondock.tests.fake_backend import FakeBackend
from persimmondock.tests.sites import SERVICE, make_report, make_table
from persimmondock.tests.virtual_time import run_in_virtual_time

MEMBERS = Partition("members")


@attrs.define
class MemoryLog:
    """A store whose partitions are kept in memory.

    Parameters
    ----------
    failing_writes
        Number of next writes that get no answer and are not carried out.
    """

    records: dict[str, list[tuple[str, bytes]]] = attrs.field(factory=dict)
    failing_writes: int = 0
    writes: int = 0

    def _read(self, partition: Partition, offset: int) -> Records:
        records = self.records.setdefault(partition.topic, [])
        entries = (KeyedEntry(n, *record) for n, record in enumerate(records) if n >= offset)
        return Records(tuple(entries), len(records))

    async def read_newest(self, partition: Partition) -> Records | StoreFailed:
        await asyncio.sleep(0.002)
        return self._read(partition, 0)

    async def read_from(self, partition: Partition, offset: int, wait_s: float) -> ReadOutcome:
        await asyncio.sleep(0.002)
        while wait_s > 0 and len(self.records.setdefault(partition.topic, [])) <= offset:
            await asyncio.sleep(0.05)
            wait_s -= 0.05
        return self._read(partition, offset)

    async def write(
        self, partition: Partition, entries: Sequence[tuple[str, bytes]], expected_end: int | None
    ) -> WriteOutcome:
        await asyncio.sleep(0.002)
        self.writes += 1
        if self.failing_writes > 0:
            self.failing_writes -= 1
            return StoreFailed("no answer")
        records = self.records.setdefault(partition.topic, [])
        records.extend(entries)
        return Written(len(records) - len(entries))


def make_sidecar(log: MemoryLog) -> Sidecar:
    address = "127.0.0.1:1"
    settings = NodeSettings(
        "node-1", "recife", SERVICE, address, address, address, address, address, "127.0.0.1:2"
    )
    partitions = SitePartitions(Partition("operator"), MEMBERS, Partition("assignments"))
    codec = OperatorCodec("config", lambda _: make_table(), lambda _: None)
    return Sidecar(settings, log, FakeBackend(), partitions, codec)


def play(log: MemoryLog, late_record: tuple[str, bytes] | None) -> bytes:
    """Return the record of node-1 some seconds after its start, and after a late write."""

    async def run() -> None:
        sidecar = make_sidecar(log)
        work = (sidecar._followers[1].run(), sidecar._maintain_member_record())
        tasks = [asyncio.create_task(coroutine) for coroutine in work]
        await asyncio.sleep(3.0)
        if late_record is not None:
            log.records[MEMBERS.topic].append(late_record)
        await asyncio.sleep(3.0)
        for task in tasks:
            task.cancel()

    run_in_virtual_time(run())
    return dict(log.records[MEMBERS.topic])["node-1"]


OWN_RECORD = encode_member(Member("node-1", "127.0.0.1:2", "recife", SERVICE))


def test_a_late_write_of_an_earlier_process_does_not_replace_the_record() -> None:
    """Guards against a daemon that nobody reaches because its record has a former address.

    The earlier process of the daemon got no answer to its write, and the store carried it out after
    that of the present process, whose epoch was lower as the clock had been set back.
    """
    log = MemoryLog()
    former = encode_member(Member("node-1", "127.0.0.9:2", "recife", SERVICE))
    assert play(log, ("node-1", former)) == OWN_RECORD
    assert log.writes == 2


def test_a_record_is_written_once() -> None:
    log = MemoryLog(failing_writes=2)
    assert play(log, None) == OWN_RECORD
    assert log.writes == 3


def test_a_record_that_is_up_to_date_is_not_written_again() -> None:
    log = MemoryLog({MEMBERS.topic: [("node-1", OWN_RECORD)]})
    assert play(log, None) == OWN_RECORD
    assert log.writes == 0


@pytest.mark.parametrize("changes", [{"service": "elsewhere"}, {"address": "127.0.0.9:1"}, {}])
async def test_announcements_of_another_service_or_address_are_refused(
    changes: dict[str, str],
) -> None:
    """Guards against requests to a backend server whose VM got the address of a lost one."""
    sidecar = make_sidecar(MemoryLog())
    sidecar._followers[1].replica.confirmed_by_store = True
    assert sidecar.handle_announcement(make_report(**changes)) is (not changes)
    assert (sidecar.gate.incarnation is None) is bool(changes)


def test_announcements_wait_until_earlier_departures_are_known() -> None:
    """DRAIN: a new process took a report of before a leave that a former one had acknowledged."""
    departed = Departure(1000, "i-1")
    log = MemoryLog({MEMBERS.topic: [("departed/node-1", encode_departures([departed]))]})

    async def run() -> None:
        sidecar = make_sidecar(log)
        assert sidecar.handle_announcement(make_report())
        assert sidecar.handle_announcement(make_report(instance="i-2", born_ms=2000))
        assert sidecar.gate.incarnation is None
        work = (sidecar._followers[1].run(), sidecar.departures.run())
        tasks = [asyncio.create_task(coroutine) for coroutine in work]
        await asyncio.sleep(0.1)
        assert sidecar.gate.incarnation == BackendIncarnation("node-1", "i-2", 2000)
        assert not sidecar.gate.backend.leaving
        assert sidecar.handle_announcement(make_report(sequence=9))
        assert sidecar.gate.incarnation == BackendIncarnation("node-1", "i-2", 2000)
        assert log.writes == 0
        for task in tasks:
            task.cancel()

    run_in_virtual_time(run())


def test_a_new_process_keeps_the_departures_of_all_former_ones() -> None:
    """DRAIN: the daemon is killed twice, and each of its processes acknowledges a departure."""
    former = Departure(1000, "i-1")
    log = MemoryLog({MEMBERS.topic: [("departed/node-1", encode_departures([former]))]})
    log.failing_writes = 1

    async def run() -> None:
        sidecar = make_sidecar(log)
        work = (sidecar._followers[1].run(), sidecar.departures.run())
        tasks = [asyncio.create_task(coroutine) for coroutine in work]
        sidecar.handle_leave("i-2", 2000)
        # Nobody has it yet, and there are no peers.
        assert not await sidecar.record_departures()
        await asyncio.sleep(1.0)
        assert await sidecar.record_departures()
        for task in tasks:
            task.cancel()

    run_in_virtual_time(run())
    recorded = decode_departures(dict(log.records[MEMBERS.topic])["departed/node-1"])
    assert recorded == (former, Departure(2000, "i-2"))
