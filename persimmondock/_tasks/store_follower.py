"""Replicates the store's partitions from the store or from peers."""

from __future__ import annotations

import asyncio
import enum
import math
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.log_position import find_era
from persimmondock._domain.replica import KeyedEntry, Replica
from persimmondock._ports.keyed_log import (
    KeyedLog,
    LogRestored,
    Partition,
    Records,
    RecordsCompacted,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

READ_WAIT_S = 20.0  # each return of a waiting read is a billed call
MIN_RETRY_S = 0.25
MAX_RETRY_S = 1.0
MAX_STALE_RETRY_S = 4.0  # of daemons that are no readers; in a large site these are most
POLL_WAIT_S = 0.5
MIN_POLL_WAIT_S = 0.1
STALE_MARGIN_S = 0.6  # for the next check and a read without waiting from a slow store
READER_CHECK_INTERVAL_S = 0.25  # a daemon that becomes a reader starts within this time
IMMEDIATE_READ_S = 0.3  # a read that took longer waited for its records, or the store is slow
BATCH_S = 0.05  # records written within this time are read by one call
SHARED_POLL_S = 0.8  # a poll, its call, and the next check; a shared one that is older has ceased


class Source(enum.Enum):
    """Where records came from."""

    WAITING_READ = "waiting_read"
    READ = "read"
    SNAPSHOT = "newest"
    PUSH = "push"
    SYNC = "sync"


@attrs.frozen
class Growth:
    """How a copy got its newest records.

    Parameters
    ----------
    delay_s
        Seconds for which the records are known to have existed before this copy had them: since a
        peer had them, or 0 if no sign of them came earlier.
    at_most_s
        Seconds since this copy was last known to be the newest.
    """

    source: Source
    delay_s: float
    at_most_s: float


@attrs.frozen
class _Confirmation:
    """What a read showed: the end offset of the partition, and an instant before it was read."""

    end: int
    at: float


@attrs.define
class _NewerRecords:
    """Records that peers have and this copy lacks.

    Parameters
    ----------
    since
        Earliest instant at which a peer is known to have had some of them.
    """

    end: int
    since: float


IMMEDIATE_SOURCES = frozenset({Source.WAITING_READ, Source.PUSH})


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
    max_age_s
        Seconds after which this daemon reads by itself if no read of any daemon has shown that the
        copy is the newest.
    settle_s
        Seconds after the first read of this process in which the copy is not read again, so that
        this daemon knows its peers, which may read for it, before it waits at the store.

    Attributes
    ----------
    is_reader
        Returns whether this daemon reads new records from the store.
    is_poller
        Returns whether its reads wait briefly, which shows others that the copy is the newest.
    read_while_stale
        Whether the copy was stale when the latest read was sent.
    push_records
        Called with records that the store returned, and the end offsets before and after them.
    share_poll
        Called after a read of a poller that confirmed this copy as the newest.
    count_call
        Called with the cause of each call to the store.
    share_era
        Called with the era of the store when a read has shown that it came back from an older copy.
    keep_former_s
        Seconds for which records are kept that the store may have lost, and that it has not been
        given again.
    lacks_former
        Whether peers may have such records and this copy has none, since it is of a later era from
        its first records on.
    """

    def __init__(
        self,
        log: KeyedLog,
        partition: Partition,
        on_change: Callable[[list[KeyedEntry]], None],
        on_confirmed: Callable[[int, float], None] | None = None,
        batch_s: float = BATCH_S,
        max_age_s: float = math.inf,
        settle_s: float = 0.0,
    ) -> None:
        self.partition = partition
        self.replica = Replica()
        self.store_answers = False
        self.confirmed_at = -math.inf
        self.max_age_s = max_age_s
        self.is_reader: Callable[[], bool] = lambda: True
        self.is_poller: Callable[[], bool] = lambda: False
        self.push_records: Callable[[int, list[KeyedEntry], int], None] = lambda *_: None
        self.share_poll: Callable[[], None] = lambda: None
        self.count_call: Callable[[str], None] = lambda _: None
        self.share_era: Callable[[int], None] = lambda _: None
        self.keep_former_s = math.inf
        self.lacks_former = False
        self.growth: Growth | None = None
        self._era_known_at = math.inf
        self._settle_s = settle_s
        self._settled_at = math.inf
        self._shared_poll_at = -math.inf
        self._grown_at = math.inf
        self._newer: _NewerRecords | None = None
        self._confirmed_end = -1
        self._log = log
        self._on_change = on_change
        self._on_confirmed = on_confirmed
        self._batch_s = batch_s
        self._known_at = -math.inf
        self._later_confirmation = _Confirmation(-1, -math.inf)
        self._read: asyncio.Task[bool] | None = None
        self._read_waits = False
        self._relies_on_polls = False
        self.read_while_stale = False

    async def run(self) -> None:
        """Read until cancelled."""
        retry_delay_s = MIN_RETRY_S
        while True:
            self._drop_former(read_clock())
            if self.replica.confirmed_by_store and self.store_answers and not self._may_read():
                # Readers push new records; heartbeats reveal missing ones.
                await asyncio.sleep(READER_CHECK_INTERVAL_S)
                continue
            answered = await self._finish_read(asyncio.create_task(self._read_once()))
            if answered is None:
                continue
            self._record_store_answer(answered)
            if answered:
                retry_delay_s = MIN_RETRY_S
                await asyncio.sleep(self._batch_s)
            else:
                await asyncio.sleep(retry_delay_s)
                max_retry_s = MAX_RETRY_S if self.is_reader() else MAX_STALE_RETRY_S
                retry_delay_s = min(max_retry_s, 2 * retry_delay_s)

    def _may_read(self) -> bool:
        now = read_clock()
        return self.is_stale(now) or (now >= self._settled_at and self.is_reader())

    async def _finish_read(self, read: asyncio.Task[bool]) -> bool | None:
        """Return whether the store answered, or None if the read was abandoned.

        A waiting read is abandoned when the copy becomes stale, since its connection may be dead,
        and when the polls cease for which this daemon relied on another one.
        """
        self._read = read
        check_interval_s = READER_CHECK_INTERVAL_S if self.max_age_s < math.inf else None
        try:
            while not read.done():
                await asyncio.wait({read}, timeout=check_interval_s)
                now = read_clock()
                self._drop_former(now)
                if (
                    not read.done()
                    and self._read_waits
                    and (self.is_stale(now) or (self._relies_on_polls and self._must_poll(now)))
                ):
                    logger.info(
                        "event=read_abandoned topic={} part={} offset={}",
                        self.partition.topic,
                        self.partition.number,
                        self.replica.end,
                    )
                    self.restart_read()
        finally:
            read.cancel()
        return None if read.cancelled() else read.result()

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
            self._read.cancel()

    def expect_era(self, era: int) -> None:
        """Read all records again, unless this copy is of an era already."""
        if era > find_era(self.replica.end) and self.replica.confirmed_by_store:
            self.replica.confirmed_by_store = False
            self.restart_read()

    def _start_era(self, era: int) -> None:
        """Prepare to read all records, since the store has come back from an older copy."""
        logger.warning(
            "event=store_restored topic={} part={} offset={} era={}",
            self.partition.topic,
            self.partition.number,
            self.replica.end,
            era,
        )
        self.replica.confirmed_by_store = False
        self.share_era(era)

    def _drop_former(self, now: float) -> None:
        """Drop what the store has lost for good, once this copy is known to be the newest."""
        if now - self._era_known_at < self.keep_former_s or self.is_stale(now):
            return
        self._era_known_at, self.lacks_former = math.inf, False
        dropped = self.replica.drop_former()
        if dropped:
            logger.warning(
                "event=lost_records_dropped topic={} part={} keys={}",
                self.partition.topic,
                self.partition.number,
                ",".join(entry.key for entry in dropped),
            )
            self._on_change(dropped)

    def record_confirmation(self, end: int, at: float) -> None:
        """Record that the partition ended at ``end`` at the instant ``at``, as a read showed."""
        if end <= self.replica.end:
            self._known_at = max(self._known_at, at)
        elif at > self._later_confirmation.at:
            self._later_confirmation = _Confirmation(end, at)

    def _apply_later_confirmation(self) -> None:
        """Count a confirmation whose records this copy lacked and has now."""
        if self._later_confirmation.end <= self.replica.end:
            self._known_at = max(self._known_at, self._later_confirmation.at)

    def record_shared_poll(self, at: float) -> None:
        """Record that a daemon on which this one relies polled the store at an instant."""
        self._shared_poll_at = max(self._shared_poll_at, at)

    def _must_poll(self, now: float) -> bool:
        return self.is_poller() and now - self._shared_poll_at >= SHARED_POLL_S

    def compute_known_age(self, now: float) -> float | None:
        """Return the seconds since any daemon's read showed this copy to be the newest, or None."""
        return now - self._known_at if self._known_at > -math.inf else None

    def is_stale(self, now: float) -> bool:
        """Return whether nothing has shown for ``max_age_s`` seconds that this copy is the newest.

        Records that arrive do not show it, since they may have been held up on their way.
        """
        is_behind = self._later_confirmation.end > self.replica.end
        return is_behind or now - self._known_at > self.max_age_s

    async def confirm_now(self) -> bool:
        """Confirm this copy by a read that does not wait; return whether the store answered."""
        sent_at = read_clock()
        self.count_call("check")
        outcome = await self._log.read_from(self.partition, self.replica.end, 0.0)
        self._record_store_answer(isinstance(outcome, (Records, LogRestored)))
        if isinstance(outcome, LogRestored):
            self._start_era(outcome.era)
            self.restart_read()
        if not isinstance(outcome, Records):
            return False
        self._apply(outcome, sent_at, Source.READ)
        return True

    def apply_from_peer(
        self, entries: Iterable[KeyedEntry], end: int, source: Source = Source.SYNC
    ) -> None:
        """Apply records received from a peer."""
        start = self.replica.end
        changed = self.replica.apply(entries, end)
        self._record_growth(start, source)
        if changed:
            self._on_change(changed)

    def drop_unlisted(self, keys: Iterable[str], end: int) -> None:
        """Drop the keys that a peer, whose copy ends at ``end``, does not have."""
        changed = self.replica.drop_unlisted(keys, end)
        if changed:
            self._on_change(changed)

    def record_newer(self, end: int, since: float) -> None:
        """Record that a peer had records up to ``end`` at the instant ``since``."""
        if end <= self.replica.end:
            return
        if self._newer is None:
            self._newer = _NewerRecords(end, since)
        self._newer.end = max(self._newer.end, end)
        self._newer.since = min(self._newer.since, since)

    def _record_growth(self, start: int, source: Source) -> None:
        """Record how the copy got the records from offset ``start`` to its end."""
        if self.replica.end <= start:
            return
        self._apply_later_confirmation()
        now = read_clock()
        if find_era(self.replica.end) > find_era(start):
            self._era_known_at = now
            self.lacks_former = start == 0
        self._grown_at = now if self._newer is None else self._newer.since
        at_most_s = 0.0 if source in IMMEDIATE_SOURCES else now - self.confirmed_at
        delay_s = now - self._grown_at
        self.growth = Growth(source, delay_s, max(delay_s, at_most_s))
        if self._newer is not None and self.replica.end >= self._newer.end:
            self._newer = None

    def compute_delay(self, now: float) -> float:
        """Return the seconds that the newest records known of came late, or are late so far."""
        if self._newer is not None:
            return now - self._newer.since
        return self.growth.delay_s if self.growth is not None else 0.0

    def compute_record_age(self, now: float) -> float:
        """Return the seconds since the newest record of this copy is known to exist, at least 0."""
        return max(0.0, now - self._grown_at)

    def _choose_wait(self, now: float) -> float:
        """Return how many seconds a read waits for a record."""
        if not self.store_answers or self.is_stale(now):
            # The answer has to show soon whether the store answers, or whether a record is missing.
            return 0.0
        if not self._must_poll(now):
            return READ_WAIT_S
        # A poll that returned a record confirms the copy as of its own sending only.
        wait_s = self._known_at + POLL_WAIT_S + self._batch_s - now
        return min(POLL_WAIT_S, max(MIN_POLL_WAIT_S, wait_s))

    async def _read_once(self) -> bool:
        sent_at = read_clock()
        self._read_waits = False
        if not self.replica.confirmed_by_store:
            self.count_call("newest")
            newest = await self._log.read_newest(self.partition)
            if not isinstance(newest, Records):
                logger.debug("event=store_read_failed detail={!r}", newest)
                return False
            start = self.replica.end
            changed = self.replica.apply_snapshot(newest.entries, newest.end)
            self.replica.confirmed_by_store = True
            self._settled_at = min(self._settled_at, read_clock() + self._settle_s)
            self._record_growth(start, Source.SNAPSHOT)
            if changed:
                self._on_change(changed)
            self._record_partition_end(newest.end, sent_at)
            return True
        wait_s = self._choose_wait(sent_at)
        self._read_waits = wait_s > 0
        is_poll = 0 < wait_s <= POLL_WAIT_S
        self.read_while_stale = self.is_stale(sent_at)
        self._relies_on_polls = wait_s == READ_WAIT_S and self.is_poller()
        self.count_call(_name_cause(wait_s, self.read_while_stale))
        outcome = await self._log.read_from(self.partition, self.replica.end, wait_s)
        if isinstance(outcome, RecordsCompacted):
            logger.info(
                "event=history_gone topic={} offset={}", self.partition.topic, self.replica.end
            )
            self.replica.confirmed_by_store = False
            return True
        if isinstance(outcome, LogRestored):
            self._start_era(outcome.era)
            return True
        if not isinstance(outcome, Records):
            logger.debug("event=store_read_failed detail={!r}", outcome)
            return False
        waited_s = read_clock() - sent_at
        waited = wait_s > 0 and waited_s > IMMEDIATE_READ_S
        self._apply(outcome, sent_at, Source.WAITING_READ if waited else Source.READ)
        if (
            outcome.whole
            and not outcome.entries
            and wait_s <= waited_s <= wait_s + IMMEDIATE_READ_S
        ):
            # The store looked again at the end of the wait. An answer that is received later may
            # have been given before, without a wait, while this VM was paused.
            self.record_confirmation(outcome.end, sent_at + wait_s)
        if is_poll and self._known_at >= sent_at:
            self.share_poll()
        return True

    def _apply(self, records: Records, sent_at: float, source: Source) -> None:
        start = self.replica.end
        changed = self.replica.apply(records.entries, records.end)
        self._record_growth(start, source)
        if changed:
            self._on_change(changed)
            self.push_records(start, changed, records.end)
        if records.whole:
            self._record_partition_end(records.end, sent_at)

    def _record_partition_end(self, end: int, sent_at: float) -> None:
        if end != self.replica.end:
            return
        self.record_confirmation(end, sent_at)
        self._confirmed_end = end
        self.confirmed_at = max(self.confirmed_at, sent_at)
        if self._on_confirmed is not None:
            self._on_confirmed(end, sent_at)

    def compute_confirmation_age(self, now: float) -> float | None:
        """Return the seconds since a read confirmed this copy, or None if none has."""
        if self._confirmed_end != self.replica.end:
            return None
        return now - self.confirmed_at


def _name_cause(wait_s: float, is_stale: bool) -> str:
    """Return the cause of a read for the counter of calls."""
    if is_stale:
        return "stale"
    if 0 < wait_s <= POLL_WAIT_S:
        return "poll"
    return "wait" if wait_s else "retry"
