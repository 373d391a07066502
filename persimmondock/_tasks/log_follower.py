"""The task that reads the log and the task that writes it."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING, TypeAlias

import attrs
from loguru import logger
from reactivex.subject import Subject

from persimmondock._domain.records import Record, encode_record
from persimmondock._ports.log import (
    Appended,
    AppendRefused,
    AppendUnknown,
    Batch,
    Entry,
    Expired,
    ReadFailed,
)
from persimmondock._tasks.recovery import NoViewFound, ViewFound, search_snapshot

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._ports.log import LogService

READ_LIMIT = 500
READ_WAIT_S = 1.0
READ_RETRY_S = 0.25
APPEND_INTERVAL_S = 0.02
SHARED_APPEND_INTERVAL_S = 0.1
BATCHING_DELAY_S = 0.1
IDLE_READ_INTERVAL_S = 10.0
MAX_QUEUED_APPENDS = 1_000
MAX_APPEND_BYTES = 1024 * 1024


@attrs.frozen
class LogRead:
    """The log answered with records, perhaps none.

    Parameters
    ----------
    caught_up
        Whether these are the newest records.
    earliest
        Offset of the oldest record that the log keeps.
    asked_at
        When the read was sent, in monotonic seconds.
    """

    entries: tuple[Entry, ...]
    caught_up: bool
    earliest: int
    asked_at: float


@attrs.frozen
class LogExpired:
    """The log keeps neither the records that this daemon needs next nor a usable snapshot."""

    earliest: int


@attrs.frozen
class LogUnavailable:
    """The log does not answer."""


FollowerEvent: TypeAlias = LogRead | LogExpired | LogUnavailable | ViewFound


class LogFollower:
    """Reads the log from an offset and emits what it reads.

    A daemon that knows nothing yet, or whose next record is no longer kept, continues from the
    newest snapshot in the log. Records are never skipped without one.

    Parameters
    ----------
    find_start
        Returns the offset of the next record wanted; peers may have supplied some meanwhile.

    Attributes
    ----------
    reads_log
        Tells whether this daemon reads the log all the time, or now and then because peers send
        it the records.
    reads_for_others
        Tells whether peers depend on what this daemon reads; it then gathers records for a while,
        because each batch costs every daemon a fixed amount of work.
    """

    def __init__(self, log: LogService, find_start: Callable[[], int]) -> None:
        self.events: Subject[FollowerEvent] = Subject()
        self._log = log
        self._find_start = find_start
        self.reads_log: Callable[[], bool] = lambda: True
        self.reads_for_others: Callable[[], bool] = lambda: False
        self._read_requested = asyncio.Event()
        self._wait_s = 0.0

    def read_now(self) -> None:
        """Read the log at once, although peers send the records."""
        self._read_requested.set()

    async def run(self) -> None:
        """Read for ever."""
        while self._find_start() == 0 and not await self._recover():
            await asyncio.sleep(READ_RETRY_S)
        while True:
            await self._read()
            if self.reads_for_others():
                await asyncio.sleep(BATCHING_DELAY_S)
            await self._wait_until_due()

    async def _wait_until_due(self) -> None:
        if not self.reads_log():
            self._wait_s = 0.0
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._read_requested.wait(), IDLE_READ_INTERVAL_S)
        self._read_requested.clear()

    async def _read(self) -> None:
        asked_at = time.monotonic()
        outcome = await self._log.read(self._find_start(), READ_LIMIT, self._wait_s)
        match outcome:
            case Batch(entries=entries, following=following, earliest=earliest, end=end):
                self.events.on_next(LogRead(entries, following >= end, earliest, asked_at))
                self._wait_s = READ_WAIT_S
            case Expired(earliest=earliest):
                logger.warning("event=log_expired earliest={}", earliest)
                await self._recover()
                await asyncio.sleep(READ_RETRY_S)
            case ReadFailed() as failed:
                self._note_failure(failed)
                await asyncio.sleep(READ_RETRY_S)

    async def _recover(self) -> bool:
        """Look for a snapshot; return whether reading can go on."""
        match await search_snapshot(self._log):
            case ViewFound() as found:
                logger.info("event=snapshot_found covers={}", found.view.offset)
                self.events.on_next(found)
                return True
            case NoViewFound(earliest=earliest):
                if earliest > self._find_start():
                    logger.error("event=snapshot_missing earliest={}", earliest)
                    self.events.on_next(LogExpired(earliest))
                return earliest <= self._find_start()
            case ReadFailed() as failed:
                self._note_failure(failed)
                return False

    def _note_failure(self, failed: ReadFailed) -> None:
        logger.warning("event=log_read_failed detail={!r}", failed.detail)
        self._wait_s = 0.0
        self.events.on_next(LogUnavailable())


class LogWriter:
    """Appends records in the order in which they were queued, several in one append.

    It does not repeat an append: every record is written again by whoever needs it until the log
    shows it, and folding it twice changes nothing.

    Attributes
    ----------
    append_interval_s
        Time between two appends, in seconds.
    """

    def __init__(self, log: LogService) -> None:
        self._log = log
        self.appends = 0
        self.append_interval_s = APPEND_INTERVAL_S
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
        payloads: list[bytes] = []
        kinds: list[str] = []
        while True:
            record = await self._queue.get()
            payloads.append(encode_record(record))
            kinds.append(type(record).__name__)
            if self._queue.empty() or sum(map(len, payloads)) >= MAX_APPEND_BYTES // 2:
                await self._append(payloads, ",".join(kinds))
                payloads, kinds = [], []
                await asyncio.sleep(self.append_interval_s)

    async def _append(self, payloads: list[bytes], kinds: str) -> None:
        self.appends += 1
        match await self._log.append(payloads):
            case Appended(offset=offset):
                logger.info("event=appended offset={} kinds={}", offset, kinds)
            case AppendRefused(detail=detail):
                logger.warning("event=append_refused kinds={} detail={!r}", kinds, detail)
            case AppendUnknown(detail=detail):
                logger.warning("event=append_unknown kinds={} detail={!r}", kinds, detail)
