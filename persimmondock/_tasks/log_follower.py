"""The task that reads the log and the task that writes it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
from loguru import logger
from reactivex.subject import Subject

from persimmondock._domain.records import (
    Record,
    RecordError,
    UnreadableRecord,
    decode_record,
    encode_record,
)
from persimmondock._ports.log import (
    Appended,
    AppendRefused,
    AppendUnknown,
    Batch,
    Entry,
    Expired,
    ReadFailed,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._ports.log import LogService

READ_LIMIT = 500
READ_WAIT_S = 1.0
READ_RETRY_S = 0.25
APPEND_GAP_S = 0.02
MAX_QUEUED_APPENDS = 1_000


@attrs.frozen
class LogRead:
    """The log answered with records, perhaps none."""

    entries: tuple[Entry, ...]
    caught_up: bool


@attrs.frozen
class LogExpired:
    """The log no longer keeps the records that this daemon needs next."""

    earliest: int


class LogFollower:
    """Reads the log from an offset and emits what it reads.

    Parameters
    ----------
    find_start
        Returns the offset of the next record wanted; peers may have supplied some meanwhile.
    """

    def __init__(self, log: LogService, find_start: Callable[[], int]) -> None:
        self.events: Subject[LogRead | LogExpired] = Subject()
        self._log = log
        self._find_start = find_start

    async def run(self) -> None:
        """Read for ever."""
        wait = 0.0
        while True:
            outcome = await self._log.read(self._find_start(), READ_LIMIT, wait)
            match outcome:
                case Batch(entries=entries, following=following, end=end):
                    self.events.on_next(LogRead(entries, following >= end))
                    wait = READ_WAIT_S
                case Expired(earliest=earliest):
                    logger.warning("event=log_expired earliest={}", earliest)
                    self.events.on_next(LogExpired(earliest))
                    await asyncio.sleep(READ_RETRY_S)
                case ReadFailed(detail=detail):
                    logger.warning("event=log_read_failed detail={!r}", detail)
                    wait = 0.0
                    await asyncio.sleep(READ_RETRY_S)


class LogWriter:
    """Appends records in the order in which they were queued, several in one append.

    It does not repeat an append: every record is written again by whoever needs it until the log
    shows it, and folding it twice changes nothing.
    """

    def __init__(self, log: LogService) -> None:
        self._log = log
        self.appends = 0
        self._queue: asyncio.Queue[Record] = asyncio.Queue(MAX_QUEUED_APPENDS)

    def write(self, records: tuple[Record, ...]) -> None:
        """Queue records; drops them when too many wait, and their writer tries again."""
        for record in records:
            if self._queue.full():
                logger.warning("event=append_dropped kind={}", type(record).__name__)
                return
            self._queue.put_nowait(record)

    async def run(self) -> None:
        """Append for ever."""
        while True:
            records = [await self._queue.get()]
            while not self._queue.empty():
                records.append(self._queue.get_nowait())
            await self._append(records)
            await asyncio.sleep(APPEND_GAP_S)

    async def _append(self, records: list[Record]) -> None:
        self.appends += 1
        kinds = ",".join(type(record).__name__ for record in records)
        match await self._log.append([encode_record(record) for record in records]):
            case Appended(offset=offset):
                logger.info("event=appended offset={} kinds={}", offset, kinds)
            case AppendRefused(detail=detail):
                logger.warning("event=append_refused kinds={} detail={!r}", kinds, detail)
            case AppendUnknown(detail=detail):
                logger.warning("event=append_unknown kinds={} detail={!r}", kinds, detail)


def decode_entries(entries: tuple[Entry, ...]) -> list[tuple[int, Record]]:
    """Decode records; one that cannot be decoded changes nothing, the same on every daemon."""
    return [(entry.offset, _decode_entry(entry)) for entry in entries]


def _decode_entry(entry: Entry) -> Record:
    try:
        return decode_record(entry.payload)
    except RecordError as error:
        logger.warning("event=record_unreadable offset={} detail={!r}", entry.offset, error)
        return UnreadableRecord()
