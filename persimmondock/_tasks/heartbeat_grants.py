"""Grants and releases of key ranges in the replies to a backend server's heartbeats.

A reply lists everything that the backend server is to hold and for how long, counted from when the
heartbeat was sent. Each heartbeat lists what is held or still worked on. The backend server sends
its heartbeats one after the other, so one with a higher sequence number shows what came of all
replies to lower ones, also of replies that were lost.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.holdings import (
    GrantedHoldings,
    GrantedRow,
    ReleasedRange,
    ReportedHoldings,
    merge_rows,
)
from persimmondock._domain.range_lease import CLOCK_TOLERANCE

if TYPE_CHECKING:
    from persimmondock._domain.assignment import BackendIncarnation, KeyRange
    from persimmondock._tasks.range_keeper import RangeKeeper

ACK_TIMEOUT_S = 1.0  # the backend server ignores replies that arrive later
REPLY_WAIT_S = 0.6  # an open reply carries a change that would else wait for the next heartbeat
REPORT_POLL_S = 0.25
PREDECESSOR_RETRY_S = 0.1
MAX_FREED_HISTORY = 512
# Replies above 4 KiB are ignored. A row takes up to 50 bytes with a handover, 26 without.
MAX_ROWS = 80
MAX_PLANNED_ROWS = 36  # owners that take over the ranges of others get up to as many again


@attrs.frozen
class _Report:
    """The newest heartbeat of the current incarnation."""

    sequence: int
    holdings: ReportedHoldings
    arrived_at: float


@attrs.frozen
class _FreedRange:
    """A released range, with the sequence number of the heartbeat that first reported it."""

    released: ReleasedRange
    sequence: int


@attrs.define
class _WantedRange:
    """A range to grant in the next reply."""

    key_range: KeyRange
    granted: asyncio.Future[None]


class HeartbeatGrants:
    """Grants all ranges in the replies to heartbeats.

    Parameters
    ----------
    keeper
        Decides what is granted, and until when.
    """

    def __init__(self, keeper: RangeKeeper) -> None:
        self._keeper = keeper
        self._report: _Report | None = None
        self._resets = 0
        self._replied_sequence = -1
        self._replied_at = -math.inf
        self._wanted: dict[int, _WantedRange] = {}
        # Handovers are sent until a heartbeat shows that the range is held.
        self._handovers: dict[tuple[int, int, int], str] = {}
        self._freed: list[_FreedRange] = []
        self._report_arrived = asyncio.Event()
        self._changed = asyncio.Event()

    def reset(self) -> None:
        """Forget the holdings of an incarnation that has ended."""
        self._report = None
        self._resets += 1
        self._replied_sequence = -1
        self._wanted.clear()
        self._handovers.clear()
        self._freed.clear()
        self._notify_report()

    # Heartbeats.

    def record_report(self, sequence: int, holdings: ReportedHoldings) -> None:
        """Record what a heartbeat of the current incarnation says, unless a newer one is known."""
        if self._report is not None and sequence <= self._report.sequence:
            return
        self._report = _Report(sequence, holdings, read_clock())
        for released in holdings.freed:
            # They are reported again until a reply is acknowledged.
            if not any(released == freed.released for freed in self._freed):
                self._freed.append(_FreedRange(released, sequence))
                self._keeper.record_released(released)
        del self._freed[:-MAX_FREED_HISTORY]
        self._notify_report()

    async def grant_holdings(self, sequence: int, may_wait: bool) -> GrantedHoldings | None:
        """Return what to grant in the reply to a heartbeat.

        The result is None if the heartbeat is not the newest, or if nothing may be granted now;
        such a reply renews and releases nothing.

        Parameters
        ----------
        may_wait
            Whether the reply may wait up to REPLY_WAIT_S for a change of the holdings.
        """
        report = self._report
        if report is None or report.sequence != sequence:
            return None
        wait_until = read_clock() + REPLY_WAIT_S if may_wait else -math.inf
        while (
            # The sequence numbers of a new incarnation start anew.
            self._report is report
            and not self._is_change_pending()
            and (wait_s := wait_until - read_clock()) > 0
        ):
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
        return self._compose_reply(report)

    def _is_change_pending(self) -> bool:
        """Return whether the next reply grants or releases keys."""
        report = self._report
        if self._wanted or report is None:
            return True
        return not all(self._is_covered(row.first, row.last) for row in report.holdings.rows)

    def _is_covered(self, first: int, last: int) -> bool:
        """Return whether all keys of a reported row stay granted, possibly as several ranges."""
        position = first
        for item in sorted(self._keeper.list_held(), key=lambda item: item.key_range.first):
            if item.key_range.first <= position <= item.key_range.last:
                position = item.key_range.last + 1
        return position > last

    def _compose_reply(self, report: _Report) -> GrantedHoldings | None:
        """Compose the reply to a heartbeat if it is the newest, and record what it grants."""
        keeper = self._keeper
        if report is not self._report or report.sequence == self._replied_sequence:
            return None
        hold_s = keeper.compute_hold_s(report.arrived_at)
        if keeper.assignment.offset == 0 or hold_s <= 0:
            return None
        ranges = {item.key_range.first: item.key_range for item in keeper.list_held()}
        new = {
            first: wanted.key_range
            for first, wanted in self._wanted.items()
            if keeper.find_hold_s(wanted.key_range, report.arrived_at) > 0
        }
        rows = self._build_rows([*ranges.values(), *new.values()])
        if len(rows) > MAX_ROWS:
            # What the backend server holds already stays; the rest waits.
            logger.warning("event=grants_deferred rows={} ranges={}", len(rows), len(new))
            while new and len(rows) > MAX_ROWS:
                new.popitem()
                rows = self._build_rows([*ranges.values(), *new.values()])
        # The heartbeat was sent after the previous reply had arrived, or within the time in which
        # the backend server accepts the reply.
        sent_after = max(report.arrived_at - ACK_TIMEOUT_S, self._replied_at)
        guaranteed_until = min(sent_after, report.arrived_at) + hold_s
        possible_until = report.arrived_at + hold_s * (1 + CLOCK_TOLERANCE)
        self._replied_sequence, self._replied_at = report.sequence, read_clock()
        for key_range in (ranges | new).values():
            keeper.record_accepted_grant(key_range, guaranteed_until, possible_until)
        for first in new:
            wanted = self._wanted.pop(first)
            if not wanted.granted.done():
                wanted.granted.set_result(None)
        return GrantedHoldings(rows, hold_s)

    def _build_rows(self, ranges: list[KeyRange]) -> tuple[GrantedRow, ...]:
        return merge_rows(
            GrantedRow(*key_range.grant_id, self._find_unconfirmed_handover(key_range))
            for key_range in ranges
        )

    def _find_unconfirmed_handover(self, key_range: KeyRange) -> str:
        """Return the handover to send with a range, which is empty once the range is held."""
        handover = self._handovers.get(key_range.grant_id, "")
        if handover and self._report is not None and self._report.holdings.holds(key_range):
            del self._handovers[key_range.grant_id]
            return ""
        return handover

    def _notify_report(self) -> None:
        self._report_arrived.set()
        self._report_arrived = asyncio.Event()
        self._changed.set()

    # Acquiring and releasing.

    def is_already_granted(self, key_range: KeyRange) -> bool:
        """Return whether an earlier process of this daemon is known to have granted a range."""
        return self._report is not None and self._report.holdings.holds(key_range)

    async def acquire(self, key_range: KeyRange, handover: str) -> None:
        """Grant a range in the next reply; return once that is composed."""
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        wanted = self._wanted[key_range.first] = _WantedRange(key_range, granted)
        if handover:
            self._handovers[key_range.grant_id] = handover
        self._changed.set()
        try:
            await granted
        except asyncio.CancelledError:
            if self._wanted.get(key_range.first) is wanted:
                del self._wanted[key_range.first]
            raise

    async def release(
        self,
        owner: BackendIncarnation,
        first: int,
        last: int,
        fence: int,
        possible_until: float,
    ) -> str:
        """Wait until a heartbeat shows that a range is free, or the grant must have expired.

        The range has to be missing from the replies from now on. Once another incarnation has been
        announced, only the expiry counts: the one before may live on.

        Returns
        -------
        str
            The handover for the next owner, or an empty string.
        """
        granted_sequence = self._replied_sequence
        resets = self._resets if self._keeper.incarnation == owner else -1
        self._changed.set()
        while True:
            report = self._report
            if (
                report is not None
                and resets == self._resets
                and report.sequence > granted_sequence
                and not report.holdings.overlaps(first, last)
            ):
                return self._find_freed(first, last, granted_sequence)
            wait_s = min(REPORT_POLL_S, possible_until - read_clock())
            if wait_s <= 0:
                break
            arrived = self._report_arrived
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await arrived.wait()
        return ""

    def _find_freed(self, first: int, last: int, after_sequence: int) -> str:
        for freed in reversed(self._freed):
            if freed.sequence > after_sequence and freed.released.covers(first, last):
                return freed.released.handover
        return ""

    async def release_for_predecessor(self, _: int, __: int, ___: int) -> bool:
        """Return that keys of a range may be held until the longest grant has expired.

        Replies leave out what an earlier process granted and this one has not taken over, so the
        backend server releases it. That a heartbeat does not list them shows nothing: it may be a
        late one of a process that has ended, whose successor got the keys from that earlier
        process, and however many of these arrive, none is an answer to this process.
        """
        await asyncio.sleep(PREDECESSOR_RETRY_S)
        return False

    def find_possible_until(self, _: int, __: int) -> float:
        """Return until when an unanswered grant may cover a range; there are none."""
        return -math.inf

    def renew(self, after_s: float = math.inf) -> None:
        """Do nothing, since each reply renews all grants."""
