"""Replicates the store's partitions from the store or from peers."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.replica import KeyedEntry, Replica
from persimmondock._ports.keyed_log import KeyedLog, Partition, Records, RecordsCompacted

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

READ_WAIT_S = 20.0  # each return of a waiting read is a billed call
MIN_RETRY_S = 0.25
MAX_RETRY_S = 1.0
READER_CHECK_INTERVAL_S = 0.25  # a daemon that becomes a reader starts within this time
BATCH_S = 0.05  # records written within this time are read by one call


class PartitionFollower:
    """Keeps a copy of one partition up to date.

    Parameters
    ----------
    on_change
        Called with the entries that changed.
    on_confirmed
        Called when a read has confirmed this copy as the newest, with the end offset and the
        instant at which the read was sent.
    batch_s
        Seconds between reads, so that one read can return several records.
    """

    def __init__(
        self,
        log: KeyedLog,
        partition: Partition,
        on_change: Callable[[list[KeyedEntry]], None],
        on_confirmed: Callable[[int, float], None] | None = None,
        batch_s: float = BATCH_S,
    ) -> None:
        self.partition = partition
        self.replica = Replica()
        self.store_answers = False
        self.confirmed_at = -math.inf
        self.is_reader: Callable[[], bool] = lambda: True
        self.push_records: Callable[[int, list[KeyedEntry], int], None] = lambda *_: None
        self._confirmed_end = -1
        self._log = log
        self._on_change = on_change
        self._on_confirmed = on_confirmed
        self._batch_s = batch_s
        self._read: asyncio.Task[bool] | None = None
        self._read_abandoned = False

    async def run(self) -> None:
        """Read until cancelled."""
        retry_delay_s = MIN_RETRY_S
        while True:
            if self.replica.confirmed_by_store and self.store_answers and not self.is_reader():
                # Readers push new records; heartbeats reveal missing ones.
                await asyncio.sleep(READER_CHECK_INTERVAL_S)
                continue
            self._read = asyncio.create_task(self._read_once())
            self._read_abandoned = False
            try:
                answered = await self._read
            except asyncio.CancelledError:
                if not self._read_abandoned:
                    raise
                continue
            self._record_store_answer(answered)
            if answered:
                retry_delay_s = MIN_RETRY_S
                await asyncio.sleep(self._batch_s)
            else:
                await asyncio.sleep(retry_delay_s)
                retry_delay_s = min(MAX_RETRY_S, 2 * retry_delay_s)

    def record_failed_write(self) -> None:
        """Record a failed write as evidence that the store does not answer."""
        self._record_store_answer(False)

    def _record_store_answer(self, answered: bool) -> None:
        if answered != self.store_answers:
            text = "event=store_regained topic={} part={} offset={}"
            if not answered:
                text = "event=store_lost topic={} part={} offset={}"
            logger.info(text, self.partition.topic, self.partition.number, self.replica.end)
        self.store_answers = answered

    def restart_read(self) -> None:
        """Cancel a waiting read, whose connection may be dead, and start another one."""
        if self._read is not None:
            self._read_abandoned = True
            self._read.cancel()

    async def confirm_now(self) -> bool:
        """Confirm this copy by a read that does not wait; return whether the store answered."""
        sent_at = read_clock()
        outcome = await self._log.read_from(self.partition, self.replica.end, 0.0)
        self._record_store_answer(isinstance(outcome, Records))
        if not isinstance(outcome, Records):
            return False
        self._apply(outcome.entries, outcome.end, outcome.whole, sent_at)
        return True

    def apply_from_peer(self, entries: Iterable[KeyedEntry], end: int) -> None:
        """Apply records received from a peer."""
        changed = self.replica.apply(entries, end)
        if changed:
            self._on_change(changed)

    async def _read_once(self) -> bool:
        sent_at = read_clock()
        if not self.replica.confirmed_by_store:
            newest = await self._log.read_newest(self.partition)
            if not isinstance(newest, Records):
                logger.debug("event=store_read_failed detail={!r}", newest)
                return False
            changed = self.replica.apply_snapshot(newest.entries, newest.end)
            self.replica.confirmed_by_store = True
            if changed:
                self._on_change(changed)
            self._record_partition_end(newest.end, sent_at)
            return True
        # After a failure, read without waiting until the store has answered.
        wait_s = READ_WAIT_S if self.store_answers else 0.0
        outcome = await self._log.read_from(self.partition, self.replica.end, wait_s)
        if isinstance(outcome, RecordsCompacted):
            logger.info(
                "event=history_gone topic={} offset={}", self.partition.topic, self.replica.end
            )
            self.replica.confirmed_by_store = False
            return True
        if not isinstance(outcome, Records):
            logger.debug("event=store_read_failed detail={!r}", outcome)
            return False
        self._apply(outcome.entries, outcome.end, outcome.whole, sent_at)
        return True

    def _apply(
        self, entries: tuple[KeyedEntry, ...], end: int, whole: bool, sent_at: float
    ) -> None:
        start = self.replica.end
        changed = self.replica.apply(entries, end)
        if changed:
            self._on_change(changed)
            self.push_records(start, changed, end)
        if whole:
            self._record_partition_end(end, sent_at)

    def _record_partition_end(self, end: int, sent_at: float) -> None:
        if end != self.replica.end:
            return
        self._confirmed_end = end
        self.confirmed_at = max(self.confirmed_at, sent_at)
        if self._on_confirmed is not None:
            self._on_confirmed(end, sent_at)

    def compute_confirmation_age(self, now: float) -> float | None:
        """Return the seconds since a read confirmed this copy, or None if none has."""
        if self._confirmed_end != self.replica.end:
            return None
        return now - self.confirmed_at
