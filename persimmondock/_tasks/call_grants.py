"""Grants and releases of key ranges by calls to the backend server, one for each range."""

from __future__ import annotations

import asyncio
import math
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.holdings import ReleasedRange
from persimmondock._domain.range_lease import compute_hold_end
from persimmondock._ports.backend import (
    GrantAccepted,
    GrantFenced,
    GrantMisdirected,
    GrantNotSent,
    GrantUnknown,
    ReleaseDone,
)

if TYPE_CHECKING:
    from persimmondock._domain.assignment import BackendIncarnation, KeyRange
    from persimmondock._ports.backend import BackendServer, OrderTrace
    from persimmondock._tasks.range_keeper import RangeKeeper

RENEW_AFTER_S = 1.0  # tolerates two lost renewals
GRANT_RETRY_S = 0.05
FENCED_RETRY_S = 0.1
RELEASE_RETRY_S = 0.1
REFUSED_RETRY_S = 0.5  # each attempt opens a connection for each range
LOOK_INTERVAL_S = 0.05
PREDECESSOR_RETRY_S = 0.5  # each attempt sends one release call per requested range


@attrs.define(eq=False)
class _OpenGrant:
    """A grant that was sent and may still take effect.

    Parameters
    ----------
    owner
        Incarnation that is to get it.
    possible_until
        Instant at which it expires at the latest.
    connection
        Number of the connection whose answer may have been that to an earlier order, or None if
        there was no answer.
    """

    owner: BackendIncarnation
    possible_until: float
    connection: int | None = None


class CallGrants:
    """Grants each range by a call of its own, and renews it by further calls.

    Parameters
    ----------
    backend
        Client of the local backend server.
    keeper
        Decides what is granted, and until when.
    """

    def __init__(self, backend: BackendServer, keeper: RangeKeeper) -> None:
        self._backend = backend
        self._keeper = keeper
        # Grants that may be under way, by the range's `grant_id`.
        self._open: dict[tuple[int, int, int], list[_OpenGrant]] = defaultdict(list)
        self._renewing: set[asyncio.Task[None]] = set()
        self._looking: asyncio.Task[None] | None = None
        backend.watch_connections(self._record_lost_connection)

    def _record_lost_connection(self) -> None:
        """Grant nothing until the next announcement if the process may have ended.

        The next one may have the same name, so that it would take what is meant for this one.
        """
        if not self._backend.is_connected_since(self._keeper.announced_at):
            self._keeper.pause_grants(self._keeper.incarnation, is_absent=False)
            if self._looking is None or self._looking.done():
                self._looking = asyncio.create_task(self._look_for_process())

    async def _look_for_process(self) -> None:
        """Find out, while grants are paused, whether nothing listens at the address.

        Between the end of a process and the start of the next one nothing does; after that they
        cannot be told apart by an announcement that comes late.
        """
        incarnation = self._keeper.incarnation
        while self._keeper.is_paused and self._keeper.incarnation == incarnation:
            if await self._backend.is_absent():
                self._keeper.pause_grants(incarnation)
                return
            await asyncio.sleep(LOOK_INTERVAL_S)

    def reset(self) -> None:
        """Keep all: grants to an earlier incarnation count until it is shown to have ended."""

    def is_already_granted(self, _: KeyRange) -> bool:
        """Return whether an earlier process of this daemon is known to have granted a range."""
        return False

    async def acquire(self, key_range: KeyRange, handover: str) -> None:
        """Repeat the grant of a range until the backend server accepts it."""
        while not await self._grant(key_range, handover, is_new=True):
            await asyncio.sleep(GRANT_RETRY_S)

    async def release(
        self,
        owner: BackendIncarnation,
        first: int,
        last: int,
        fence: int,
        possible_until: float,
    ) -> str:
        """Repeat the release until it is confirmed or the grant must have expired.

        Parameters
        ----------
        owner
            Incarnation that got the grant, which may have been replaced since.

        Returns
        -------
        str
            The handover for the next owner, or an empty string.
        """
        handover, shown_by = "", "expiry"
        while read_clock() < possible_until:
            outcome = await self._backend.release(owner.instance, first, last, fence)
            if isinstance(outcome, ReleaseDone):
                handover, shown_by = outcome.handover, "answer"
                logger.info(
                    "event=release_answered first={} fence={} instance={} {}",
                    first,
                    fence,
                    owner.instance,
                    outcome.trace or "",
                )
                break
            if outcome.refused or outcome.misdirected:
                self._keeper.pause_grants(owner)
            if outcome.misdirected:
                # The process that held the keys has ended, and what it got with it.
                shown_by = "other_instance"
                self._remove_sent_to(owner)
                break
            # A refusal is no proof that the process has ended and holds nothing.
            retry_s = REFUSED_RETRY_S if outcome.refused else RELEASE_RETRY_S
            await self._wait_for_successor(min(retry_s, possible_until - read_clock()))
        await self._settle(owner.instance, first, last, fence)
        # A grant whose reply was lost may still take effect until it expires.
        while read_clock() < self.find_possible_until(first, last):
            await asyncio.sleep(RELEASE_RETRY_S)
        logger.info(
            "event=release_ended first={} last={} fence={} instance={} shown_by={} "
            "possible_until={:.3f}",
            first,
            last,
            fence,
            owner.instance,
            shown_by,
            possible_until,
        )
        return handover

    async def _wait_for_successor(self, at_most_s: float) -> None:
        """Wait until another incarnation announces itself, or the time is over."""
        incarnation, end = self._keeper.incarnation, read_clock() + at_most_s
        while self._keeper.incarnation == incarnation and (left_s := end - read_clock()) > 0:
            await asyncio.sleep(min(RELEASE_RETRY_S, left_s))

    async def _settle(self, instance: str, first: int, last: int, fence: int) -> None:
        """Find out which grants of a range, whose answers are uncertain, have been carried out."""
        connections = {
            grant.connection
            for grant in self._list_open(first, last)
            if grant.connection is not None
        }
        if connections:
            for connection in await self._backend.settle_grants(
                sorted(connections), instance, first, last, fence
            ):
                self._remove_carried_out(connection)

    async def release_for_predecessor(self, first: int, last: int, fence: int) -> bool:
        """Release what an earlier process of this daemon may have granted.

        Returns whether no incarnation can hold the keys, which is not known before the longest
        grant has expired: one whose reply the earlier process never got may still take effect.
        """
        # Whichever instance listens may have got them.
        outcome = await self._backend.release("", first, last, fence)
        if isinstance(outcome, ReleaseDone) and outcome.handover:
            self._keeper.record_released(ReleasedRange(first, last, outcome.handover))
        await asyncio.sleep(PREDECESSOR_RETRY_S)
        return False

    def find_possible_until(self, first: int, last: int) -> float:
        """Return until when a grant that may be under way can cover keys of a range."""
        grants = self._list_open(first, last)
        return max((grant.possible_until for grant in grants), default=-math.inf)

    def _list_open(self, first: int, last: int) -> list[_OpenGrant]:
        return [
            grant
            for (low, high, _), grants in self._open.items()
            if low <= last and first <= high
            for grant in grants
        ]

    def renew(self, after_s: float = math.inf) -> None:
        """Renew grants that are due, or older than some seconds; drop expired open ones."""
        now, after_s = read_clock(), min(after_s, RENEW_AFTER_S)
        for held in self._keeper.list_held():
            if self._keeper.is_due(held, now, after_s) and not self._is_renewing(held.key_range):
                task = asyncio.create_task(self._renew_range(held.key_range))
                task.set_name(f"{held.key_range.first}")
                self._renewing.add(task)
                task.add_done_callback(self._renewing.discard)
        for grant_id, grants in list(self._open.items()):
            grants[:] = [grant for grant in grants if grant.possible_until >= now]
            if not grants:
                del self._open[grant_id]

    def _is_renewing(self, key_range: KeyRange) -> bool:
        return any(task.get_name() == f"{key_range.first}" for task in self._renewing)

    async def _renew_range(self, key_range: KeyRange) -> None:
        if not await self._grant(key_range):
            await asyncio.sleep(2 * GRANT_RETRY_S)

    async def _grant(self, key_range: KeyRange, handover: str = "", is_new: bool = False) -> bool:
        """Send one grant; its duration is computed from the lease right before sending."""
        grant_id, incarnation = key_range.grant_id, self._keeper.incarnation
        sent_at = hold_s = 0.0
        sent: _OpenGrant | None = None

        def find_hold_s() -> float:
            nonlocal sent_at, hold_s, sent
            sent_at = read_clock()
            hold_s = self._keeper.find_hold_s(key_range, sent_at)
            if hold_s > 0:
                possible_until = compute_hold_end(sent_at, hold_s)
                # A sent grant may take effect at any time until it is answered.
                sent = _OpenGrant(key_range.owner, possible_until)
                self._open[grant_id].append(sent)
                self._keeper.record_sent_grant(key_range, possible_until)
            return hold_s

        if incarnation is None or self._keeper.find_hold_s(key_range, read_clock()) <= 0:
            return False
        outcome = await self._backend.grant(
            incarnation.instance,
            key_range.first,
            key_range.last,
            key_range.fence,
            find_hold_s,
            handover,
        )
        possible_until = compute_hold_end(sent_at, hold_s)
        match outcome:
            case GrantAccepted(trace=trace):
                if is_new:
                    logger.info(
                        "event=grant_answered first={} fence={} instance={} {}",
                        key_range.first,
                        key_range.fence,
                        incarnation.instance,
                        trace or "",
                    )
                if self._keeper.incarnation == incarnation:
                    self._record_answer(grant_id, sent, trace)
                    self._keeper.record_accepted_grant(key_range, sent_at + hold_s, possible_until)
                else:
                    logger.warning(
                        "event=grant_outdated first={} fence={} sent_to={} now={}",
                        key_range.first,
                        key_range.fence,
                        incarnation.instance,
                        self._keeper.incarnation.instance if self._keeper.incarnation else "-",
                    )
                return True
            case GrantNotSent(refused=refused):
                self._remove(grant_id, sent)
                if refused:
                    self._keeper.pause_grants(incarnation)
            case GrantMisdirected(answered_by=answered_by, trace=trace):
                self._record_answer(grant_id, sent, trace)
                logger.warning(
                    "event=grant_misdirected first={} fence={} sent_to={} answered_by={}",
                    key_range.first,
                    key_range.fence,
                    incarnation.instance,
                    answered_by or "-",
                )
                self._keeper.pause_grants(incarnation)
            case GrantFenced(trace=trace):
                self._record_answer(grant_id, sent, trace)
                logger.warning(
                    "event=grant_fenced first={} fence={}", key_range.first, key_range.fence
                )
                await asyncio.sleep(FENCED_RETRY_S)
            case GrantUnknown(detail=detail):
                logger.info(
                    "event=grant_unanswered first={} fence={} instance={} sent_at={:.3f} "
                    "possible_until={:.3f} detail={!r}",
                    key_range.first,
                    key_range.fence,
                    incarnation.instance,
                    sent_at,
                    possible_until,
                    detail,
                )
        return False

    def _record_answer(
        self, grant_id: tuple[int, int, int], sent: _OpenGrant | None, trace: OrderTrace | None
    ) -> None:
        """Record the answer to a grant; earlier ones without an answer may still take effect."""
        if sent is not None and trace is not None and not trace.is_certain:
            sent.connection = trace.connection
            return
        self._remove(grant_id, sent)
        if trace is not None:
            self._remove_carried_out(trace.connection)

    def _remove(self, grant_id: tuple[int, int, int], sent: _OpenGrant | None) -> None:
        grants = self._open.get(grant_id, [])
        if sent in grants:
            grants.remove(sent)

    def _remove_carried_out(self, connection: int) -> None:
        """Remove the grants of a connection on which a later order was certainly answered."""
        for grants in self._open.values():
            grants[:] = [grant for grant in grants if grant.connection != connection]

    def _remove_sent_to(self, owner: BackendIncarnation) -> None:
        """Remove the grants to a process that has ended."""
        for grants in self._open.values():
            grants[:] = [grant for grant in grants if grant.owner != owner]
