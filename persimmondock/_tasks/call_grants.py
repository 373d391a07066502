"""Grants and releases of key ranges by calls to the backend server, one for each range."""

from __future__ import annotations

import asyncio
import math
from collections import defaultdict
from typing import TYPE_CHECKING

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
    ReleaseFailed,
)

if TYPE_CHECKING:
    from persimmondock._domain.assignment import KeyRange
    from persimmondock._ports.backend import BackendServer
    from persimmondock._tasks.range_keeper import RangeKeeper

RENEW_AFTER_S = 1.0  # tolerates two lost renewals
GRANT_RETRY_S = 0.05
FENCED_RETRY_S = 0.1
RELEASE_RETRY_S = 0.1
PREDECESSOR_RETRY_S = 0.5  # each attempt sends one release call per requested range


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
        # Instants at which unanswered grants expire at the latest, by the range's `grant_id`.
        self._unanswered: dict[tuple[int, int, int], list[float]] = defaultdict(list)
        self._renewing: set[asyncio.Task[None]] = set()

    def reset(self) -> None:
        """Forget the grants of an incarnation that has ended."""
        self._unanswered.clear()

    def is_already_granted(self, _: KeyRange) -> bool:
        """Return whether an earlier process of this daemon is known to have granted a range."""
        return False

    async def acquire(self, key_range: KeyRange, handover: str) -> None:
        """Repeat the grant of a range until the backend server accepts it."""
        while not await self._grant(key_range, handover, is_new=True):
            await asyncio.sleep(GRANT_RETRY_S)

    async def release(self, first: int, last: int, fence: int, possible_until: float) -> str:
        """Repeat the release until it is confirmed or the grant must have expired.

        Returns
        -------
        str
            The handover for the next owner, or an empty string.
        """
        incarnation = self._keeper.incarnation
        handover = ""
        instance = incarnation.instance if incarnation is not None else ""
        while read_clock() < possible_until and self._keeper.incarnation == incarnation:
            outcome = await self._backend.release(instance, first, last, fence)
            if isinstance(outcome, ReleaseDone):
                handover = outcome.handover
                logger.info(
                    "event=release_answered first={} fence={} instance={} {}",
                    first,
                    fence,
                    instance,
                    outcome.trace or "",
                )
                break
            if outcome.refused or outcome.misdirected:
                # The process that held the keys has ended.
                self._keeper.pause_grants(incarnation)
                break
            await asyncio.sleep(RELEASE_RETRY_S)
        # A grant whose reply was lost may still take effect until it expires.
        while (
            read_clock() < self.find_possible_until(first, last)
            and self._keeper.incarnation == incarnation
        ):
            await asyncio.sleep(RELEASE_RETRY_S)
        return handover

    async def release_for_predecessor(self, first: int, last: int, fence: int) -> bool:
        """Release what an earlier process of this daemon may have granted.

        Returns whether no incarnation can hold the keys. A grant whose reply the earlier process
        never got may still take effect, so before the longest grant has expired only a refused
        connection proves that nothing holds them.
        """
        # Whichever instance listens may have got them.
        outcome = await self._backend.release("", first, last, fence)
        if isinstance(outcome, ReleaseFailed) and outcome.refused:
            return True
        if isinstance(outcome, ReleaseDone) and outcome.handover:
            self._keeper.record_released(ReleasedRange(first, last, outcome.handover))
        await asyncio.sleep(PREDECESSOR_RETRY_S)
        return False

    def find_possible_until(self, first: int, last: int) -> float:
        """Return until when an unanswered grant may still cover keys of a range."""
        return max(
            (
                until
                for (low, high, _), instants in self._unanswered.items()
                if low <= last and first <= high
                for until in instants
            ),
            default=-math.inf,
        )

    def renew(self) -> None:
        """Renew grants after a third of their duration, and drop expired unanswered ones."""
        now = read_clock()
        for held in self._keeper.list_held():
            if self._keeper.is_due(held, now, RENEW_AFTER_S) and not self._is_renewing(
                held.key_range
            ):
                task = asyncio.create_task(self._renew_range(held.key_range))
                task.set_name(f"{held.key_range.first}")
                self._renewing.add(task)
                task.add_done_callback(self._renewing.discard)
        for grant_id, instants in list(self._unanswered.items()):
            instants[:] = [until for until in instants if until >= now]
            if not instants:
                del self._unanswered[grant_id]

    def _is_renewing(self, key_range: KeyRange) -> bool:
        return any(task.get_name() == f"{key_range.first}" for task in self._renewing)

    async def _renew_range(self, key_range: KeyRange) -> None:
        if not await self._grant(key_range):
            await asyncio.sleep(2 * GRANT_RETRY_S)

    async def _grant(self, key_range: KeyRange, handover: str = "", is_new: bool = False) -> bool:
        """Send one grant; its duration is computed from the lease right before sending."""
        grant_id, incarnation = key_range.grant_id, self._keeper.incarnation
        sent_at = hold_s = 0.0

        def find_hold_s() -> float:
            nonlocal sent_at, hold_s
            sent_at = read_clock()
            hold_s = self._keeper.find_hold_s(key_range, sent_at)
            if hold_s > 0:
                possible_until = compute_hold_end(sent_at, hold_s)
                # A sent grant may take effect at any time until it is answered.
                self._unanswered[grant_id].append(possible_until)
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
                    self._remove_unanswered(grant_id, possible_until)
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
                self._remove_unanswered(grant_id, possible_until)
                if refused:
                    self._keeper.pause_grants(incarnation)
            case GrantMisdirected(answered_by=answered_by):
                self._remove_unanswered(grant_id, possible_until)
                logger.warning(
                    "event=grant_misdirected first={} fence={} sent_to={} answered_by={}",
                    key_range.first,
                    key_range.fence,
                    incarnation.instance,
                    answered_by or "-",
                )
                self._keeper.pause_grants(incarnation)
            case GrantFenced():
                self._remove_unanswered(grant_id, possible_until)
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

    def _remove_unanswered(self, grant_id: tuple[int, int, int], possible_until: float) -> None:
        """Stop tracking one answered grant; earlier unanswered ones may still take effect."""
        instants = self._unanswered.get(grant_id, [])
        if possible_until in instants:
            instants.remove(possible_until)
