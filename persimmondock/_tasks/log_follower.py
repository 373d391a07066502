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

READ_LIMIT_RECORDS = 500
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
    """A read of the log succeeded, perhaps without records.

    Parameters
    ----------
    caught_up
        Whether the end of the log was reached.
    earliest
        Offset of the oldest record that the log retains.
    asked_at
        When the read was sent, in monotonic seconds.
    """

    entries: tuple[Entry, ...]
    caught_up: bool
    earliest: int
    asked_at: float


@attrs.frozen
class LogExpired:
    """The log retains neither the next record that this daemon needs nor a usable snapshot."""

    earliest: int


@attrs.frozen
class LogUnavailable:
    """A read of the log failed."""


FollowerEvent: TypeAlias = LogRead | LogExpired | LogUnavailable | ViewFound


class LogFollower:
    """Reads the log from an offset and emits events.

    A daemon that has no view yet, or whose next record is no longer retained, continues from the
    newest snapshot in the log. Records are never skipped without a snapshot.

    Parameters
    ----------
    find_start
        Returns the offset of the next record to read, which records from peers also advance.

    Attributes
    ----------
    reads_log
        Returns whether this daemon reads the log continuously; otherwise peers send it the
        records, and it reads every ``IDLE_READ_INTERVAL_S`` seconds.
    reads_for_others
        Returns whether this daemon sends the records that it reads to peers; it then reads larger
        batches, because each batch costs every daemon a fixed amount of work.
    """

    def __init__(self, log: LogService, find_start: Callable[[], int]) -> None:
        self.events: Subject[FollowerEvent] = Subject()
        self._log = log
        self._find_start = find_start
        self.reads_log: Callable[[], bool] = lambda: True
        self.reads_for_others: Callable[[], bool] = lambda: False
        self._read_requested = asyncio.Event()
        # Time for which the next read may wait for new records at the log.
        self._read_wait_s = 0.0

    def read_now(self) -> None:
        """Request a read now, without waiting for the idle interval."""
        self._read_requested.set()

    async def run(self) -> None:
        """Read until cancelled."""
        while self._find_start() == 0 and not await self._recover():
            await asyncio.sleep(READ_RETRY_S)
        while True:
            await self._read()
            if self.reads_for_others():
                await asyncio.sleep(BATCHING_DELAY_S)
            await self._wait_until_due()

    async def _wait_until_due(self) -> None:
        """Wait until a read is requested or the idle interval has passed.

        A daemon that reads the log continuously does not wait.
        """
        if not self.reads_log():
            self._read_wait_s = 0.0
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._read_requested.wait(), IDLE_READ_INTERVAL_S)
        self._read_requested.clear()

    async def _read(self) -> None:
        asked_at = time.monotonic()
        outcome = await self._log.read(self._find_start(), READ_LIMIT_RECORDS, self._read_wait_s)
        match outcome:
            case Batch(entries=entries, following=following, earliest=earliest, end=end):
                self.events.on_next(LogRead(entries, following >= end, earliest, asked_at))
                self._read_wait_s = READ_WAIT_S
            case Expired(earliest=earliest):
                logger.warning("event=log_expired earliest={}", earliest)
                await self._recover()
                await asyncio.sleep(READ_RETRY_S)
            case ReadFailed() as failed:
                self._handle_failure(failed)
                await asyncio.sleep(READ_RETRY_S)

    async def _recover(self) -> bool:
        """Search the log for a snapshot; return whether reading can continue."""
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
                self._handle_failure(failed)
                return False

    def _handle_failure(self, failed: ReadFailed) -> None:
        logger.warning("event=log_read_failed detail={!r}", failed.detail)
        self._read_wait_s = 0.0
        self.events.on_next(LogUnavailable())


class LogWriter:
    """Appends queued records in order, several in one append.

    Failed appends are not repeated here: the component that needs a record writes it again until
    it has been read from the log. Applying a record twice has no further effect.

    Attributes
    ----------
    append_interval_s
        Minimum time between two appends, in seconds.
    """

    def __init__(self, log: LogService) -> None:
        self._log = log
        self.appends = 0
        self.append_interval_s = APPEND_INTERVAL_S
        self._queue: asyncio.Queue[Record] = asyncio.Queue(MAX_QUEUED_APPENDS)

    def write(self, records: tuple[Record, ...]) -> None:
        """Queue records; the rest are dropped when the queue is full, and written again later."""
        for record in records:
            if self._queue.full():
                logger.warning("event=append_dropped kind={}", type(record).__name__)
                return
            self._queue.put_nowait(record)

    async def run(self) -> None:
        """Append until cancelled."""
        payloads: list[bytes] = []
        kinds: list[str] = []
        while True:
            record = await self._queue.get()
            payloads.append(encode_record(record))
            kinds.append(type(record).__name__)
            # Leaves room for one more record: a part of a snapshot may take up half of the limit.
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
