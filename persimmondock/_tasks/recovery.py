"""Recovery of the view from a snapshot when earlier records are no longer retained."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeAlias

import attrs
from loguru import logger

from persimmondock._domain.records import (
    Record,
    RecordError,
    SnapshotTaken,
    UnreadableRecord,
    decode_record,
    encode_record,
)
from persimmondock._domain.snapshot import SnapshotError, SnapshotSearch, decode_view
from persimmondock._domain.view import View
from persimmondock._ports.log import Batch, Entry, Expired, ReadFailed

if TYPE_CHECKING:
    from persimmondock._ports.log import LogService

READ_LIMIT_RECORDS = 500
LARGE_RECORD_BYTES = 2_048


@attrs.frozen
class ViewFound:
    """View of the newest snapshot; the log has all records after it."""

    view: View


@attrs.frozen
class NoViewFound:
    """The log retains records from offset ``earliest`` and no usable snapshot."""

    earliest: int


SearchOutcome: TypeAlias = ViewFound | NoViewFound | ReadFailed


async def search_snapshot(log: LogService) -> SearchOutcome:
    """Read all records that the log retains and return the view of the newest snapshot."""
    search = SnapshotSearch(earliest=0)
    start = 0
    while True:
        match await log.read(start, READ_LIMIT_RECORDS, 0.0):
            case Batch(entries=entries, following=following, end=end):
                for _, record in decode_entries(entries):
                    if isinstance(record, SnapshotTaken):
                        search.add_part(record)
                if following >= end:
                    return await _decode_newest(search)
                start = following
            case Expired(earliest=earliest):
                search = SnapshotSearch(earliest=earliest)
                start = earliest
            case ReadFailed() as failed:
                return failed


async def _decode_newest(search: SnapshotSearch) -> SearchOutcome:
    if search.newest is None:
        return NoViewFound(search.earliest)
    try:
        return ViewFound(await asyncio.to_thread(decode_view, search.newest))
    except SnapshotError as error:
        logger.error("event=snapshot_unreadable covers={} detail={!r}", search.newest.covers, error)
        return NoViewFound(search.earliest)


def decode_entries(entries: tuple[Entry, ...]) -> list[tuple[int, Record]]:
    """Decode records with their offsets.

    A record that cannot be decoded becomes ``UnreadableRecord``, which has no effect on any daemon.
    """
    return [(entry.offset, _decode_entry(entry)) for entry in entries]


def drop_snapshot_body(entry: Entry) -> Entry:
    """Return a snapshot entry without the encoded view, which applying the record ignores.

    Other entries are returned unchanged. Entries of less than ``LARGE_RECORD_BYTES`` bytes are not
    decoded.
    """
    if len(entry.payload) < LARGE_RECORD_BYTES:
        return entry
    record = _decode_entry(entry)
    if not isinstance(record, SnapshotTaken):
        return entry
    return Entry(entry.offset, encode_record(attrs.evolve(record, body=b"")))


def _decode_entry(entry: Entry) -> Record:
    try:
        return decode_record(entry.payload)
    except RecordError as error:
        logger.warning("event=record_unreadable offset={} detail={!r}", entry.offset, error)
        return UnreadableRecord()
