"""Keeps copies of the store's partitions up to date, from the store or from peers."""

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

WAIT_S = 20.0  # each return of a waiting read is a priced call
RETRY_S = 0.25
MAX_RETRY_S = 1.0
IDLE_S = 0.25  # a daemon that becomes a reader begins within this time
BATCH_S = 0.05  # records that come close together are read by one call


class PartitionFollower:
    """Follows one partition.

    Parameters
    ----------
    take
        Called with the entries that changed.
    confirm
        Called with an offset and the instant at which a read was sent that found the partition to
        end there.
    """

    def __init__(
        self,
        log: KeyedLog,
        partition: Partition,
        take: Callable[[list[KeyedEntry]], None],
        confirm: Callable[[int, float], None] | None = None,
        batch_s: float = BATCH_S,
    ) -> None:
        self.partition = partition
        self.replica = Replica()
        self.store_answers = False
        self.confirmed_at = -math.inf
        self.is_reader: Callable[[], bool] = lambda: True
        self.spread: Callable[[int, list[KeyedEntry], int], None] = lambda *_: None
        self._confirmed_end = -1
        self._log = log
        self._take = take
        self._confirm = confirm
        self._batch_s = batch_s
        self._read: asyncio.Task[bool] | None = None
        self._given_up = False

    async def run(self) -> None:
        """Read for ever."""
        pause = RETRY_S
        while True:
            if self.replica.confirmed_by_store and self.store_answers and not self.is_reader():
                # Peers bring what is new; heartbeats tell if something is missing.
                await asyncio.sleep(IDLE_S)
                continue
            self._read = asyncio.create_task(self._read_once())
            self._given_up = False
            try:
                answered = await self._read
            except asyncio.CancelledError:
                if not self._given_up:
                    raise
                continue
            self._note_answer(answered)
            if answered:
                pause = RETRY_S
                await asyncio.sleep(self._batch_s)
            else:
                await asyncio.sleep(pause)
                pause = min(MAX_RETRY_S, 2 * pause)

    def note_failed_write(self) -> None:
        """Take a write that failed as a sign that the store does not answer."""
        self._note_answer(False)

    def _note_answer(self, answered: bool) -> None:
        if answered != self.store_answers:
            text = "event=store_regained topic={} part={} offset={}"
            if not answered:
                text = "event=store_lost topic={} part={} offset={}"
            logger.info(text, self.partition.topic, self.partition.number, self.replica.end)
        self.store_answers = answered

    def read_again(self) -> None:
        """Give up a waiting read whose connection may be dead."""
        if self._read is not None:
            self._given_up = True
            self._read.cancel()

    async def confirm_now(self) -> bool:
        """Ask the store at once whether this copy is the newest."""
        asked_at = read_clock()
        outcome = await self._log.read_from(self.partition, self.replica.end, 0.0)
        self._note_answer(isinstance(outcome, Records))
        if not isinstance(outcome, Records):
            return False
        self._apply(outcome.entries, outcome.end, outcome.whole, asked_at)
        return True

    def take_from_peer(self, entries: Iterable[KeyedEntry], end: int) -> None:
        """Take in what a peer knows."""
        changed = self.replica.apply(entries, end)
        if changed:
            self._take(changed)

    async def _read_once(self) -> bool:
        asked_at = read_clock()
        if not self.replica.confirmed_by_store:
            newest = await self._log.read_newest(self.partition)
            if not isinstance(newest, Records):
                logger.debug("event=store_read_failed detail={!r}", newest)
                return False
            changed = self.replica.apply_snapshot(newest.entries, newest.end)
            self.replica.confirmed_by_store = True
            if changed:
                self._take(changed)
            self._note_end(newest.end, asked_at)
            return True
        # After a failure the store has to answer at once before a read waits again.
        wait_s = WAIT_S if self.store_answers else 0.0
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
        self._apply(outcome.entries, outcome.end, outcome.whole, asked_at)
        return True

    def _apply(
        self, entries: tuple[KeyedEntry, ...], end: int, whole: bool, asked_at: float
    ) -> None:
        start = self.replica.end
        changed = self.replica.apply(entries, end)
        if changed:
            self._take(changed)
            self.spread(start, changed, end)
        if whole:
            self._note_end(end, asked_at)

    def _note_end(self, end: int, asked_at: float) -> None:
        if end != self.replica.end:
            return
        self._confirmed_end = end
        self.confirmed_at = max(self.confirmed_at, asked_at)
        if self._confirm is not None:
            self._confirm(end, asked_at)

    def find_proof_age(self, now: float) -> float | None:
        """Return how long ago the store was asked and showed this copy to be the newest."""
        if self._confirmed_end != self.replica.end:
            return None
        return now - self.confirmed_at
