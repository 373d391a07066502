"""Grants the keys that an assignment gives to the backend server beside this daemon."""

from __future__ import annotations

import asyncio
import functools
import math
from collections import defaultdict
from typing import TYPE_CHECKING, Any

import attrs
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.peer_stream import Delivery, PeerRequestError
from persimmondock._domain.assignment import Assignment, BackendIncarnation, KeyRange
from persimmondock._domain.range_lease import CLOCK_TOLERANCE, RangeLease, Takeover
from persimmondock._domain.verdict import NotRun, Reason
from persimmondock._ports.backend import (
    GrantAccepted,
    GrantFenced,
    GrantNotSent,
    GrantUnknown,
    ReleaseDone,
    ReleaseFailed,
)

if TYPE_CHECKING:
    from persimmondock._ports.backend import BackendServer
    from persimmondock._tasks.mesh import Mesh

GRANT_S = 3.0  # as long as a lease: a lost daemon's keys are free when its lease is
MIN_GRANT_S = 0.3  # a shorter grant would end before the first request does
RENEW_AFTER_S = 1.0  # two renewals may be lost
STEP_S = 0.1
RELEASE_RETRY_S = 0.1
PREDECESSOR_RETRY_S = 0.5  # each try is one order for each range that is asked for
POLL_S = 0.02  # a handover takes a few ms when nothing runs
ASK_RETRY_S = 0.2
ASK_TIMEOUT_S = 4.0  # work on the keys may take its time to end
HANDOVER_RETRY_MS = 150
KEPT_RELEASES = 512


@attrs.define
class HeldRange:
    """Keys that the backend server holds.

    Parameters
    ----------
    until
        Instant until which it surely holds them.
    perhaps_until
        Instant after which it surely does not, if nothing more is sent.
    """

    item: KeyRange
    until: float
    perhaps_until: float


@attrs.frozen
class ReleasedRange:
    """Keys that the backend server held before."""

    first: int
    last: int
    handover: str


class RangeKeeper:
    """Owns the grants of one backend server."""

    def __init__(self, backend: BackendServer, lease: RangeLease, node: str) -> None:
        self.lease = lease
        self.assignment = Assignment("")
        self.life: BackendIncarnation | None = None
        self.mesh: Mesh | None = None
        self._backend = backend
        self._node = node
        self._held: dict[int, HeldRange] = {}
        self._starting: dict[tuple[int, int, int], asyncio.Task[None]] = {}
        self._releasing: dict[tuple[int, int, int], asyncio.Task[None]] = {}
        self._unanswered: dict[tuple[int, int, int], list[float]] = defaultdict(list)
        self._released: list[ReleasedRange] = []
        self._takeovers: dict[int, Takeover] = {}
        self._started_at = read_clock()
        self._renewing: set[asyncio.Task[None]] = set()

    # Questions of the gate.

    def refuse(self, key: int, now: float) -> NotRun | None:
        """Return why a key cannot be served now."""
        item = self.assignment.find_range(key)
        if item is None or item.owner != self.life:
            return NotRun(Reason.NOT_OWNER, HANDOVER_RETRY_MS)
        held = self._held.get(item.first)
        if held is None or held.item.grant_key != item.grant_key:
            return NotRun(Reason.HANDOVER_PENDING, HANDOVER_RETRY_MS)
        if now >= held.until:
            return NotRun(Reason.LEASE_LAPSED, HANDOVER_RETRY_MS)
        return None

    def find_settled(self) -> int:
        """Return the offset of the assignment if all of its ranges are held, or -1."""
        if self.life is None:
            return -1
        for item in self.assignment.list_owned(self.life):
            held = self._held.get(item.first)
            if held is None or held.item.grant_key != item.grant_key:
                return -1
        return self.assignment.offset

    # Events.

    def follow(self, assignment: Assignment, witness_end: int) -> None:
        """Go over to a newer assignment."""
        if assignment.offset < self.assignment.offset:
            return
        self.assignment = assignment
        self.lease.follow(witness_end, assignment.witnesses)
        self._reconcile()

    def follow_life(self, life: BackendIncarnation) -> None:
        """Take note of another life of the backend server; a new one holds nothing."""
        if life == self.life:
            return
        known, self.life = self.life, life
        self._held.clear()
        for task in self._starting.values():
            task.cancel()
        self._starting.clear()
        self._unanswered.clear()
        if known is not None:
            # Grants of an earlier process of this daemon ended with that life.
            self._started_at = -math.inf
        self._reconcile()

    def note_peer(self, node: str, end: int, sure: bool, sent_at: float, now: float) -> None:
        """Take a heartbeat's answer as a witness's word."""
        if sure:
            self.lease.confirm_by_witness(node, end, sent_at)
        for takeover in self._takeovers.values():
            takeover.note_witness(node, end, now)

    async def run(self) -> None:
        """Renew grants for ever."""
        while True:
            self._reconcile()
            self._renew()
            await asyncio.sleep(STEP_S)

    async def answer_release(self, payload: Any, _: Delivery) -> Any:
        """Tell a new owner when this daemon's backend server has given keys up.

        The answer is whether it is certain, and the handover if there is one.
        """
        first, last, fence, offset = payload
        while self.assignment.offset < offset:
            await asyncio.sleep(POLL_S)
        while not await self._is_clear(first, last, fence):
            await asyncio.sleep(POLL_S)
        return [True, self._find_handover(first, last)]

    def count_held(self) -> int:
        """Return the number of ranges that the backend server holds."""
        return len(self._held)

    def holds_any(self) -> bool:
        """Return whether keys are held, or still being released."""
        return bool(self._held or self._releasing)

    # The parts of the work.

    def _reconcile(self) -> None:
        """Start to take what is newly owned and to give up what no longer is."""
        owned: dict[int, KeyRange] = {}
        if self.life is not None:
            owned = {item.first: item for item in self.assignment.list_owned(self.life)}
        for first, held in list(self._held.items()):
            item = owned.get(first)
            if item is not None and item.grant_key == held.item.grant_key:
                continue
            del self._held[first]
            self._give_up(held, owned)
        for key in list(self._starting):
            item = owned.get(key[0])
            if item is None or item.grant_key != key:
                self._starting.pop(key).cancel()
        for item in owned.values():
            key = item.grant_key
            if item.first not in self._held and key not in self._starting:
                task = asyncio.create_task(self._start(item))
                self._starting[key] = task
                task.add_done_callback(functools.partial(self._end_start, key))

    def _end_start(self, key: tuple[int, int, int], done: asyncio.Task[None]) -> None:
        if self._starting.get(key) is done:
            del self._starting[key]
        if not done.cancelled() and (error := done.exception()) is not None:
            logger.error("event=grant_failed range={} error={!r}", key, error)

    def _give_up(self, held: HeldRange, owned: dict[int, KeyRange]) -> None:
        """Keep the parts of a range that are still owned, and release the rest."""
        kept = [
            item
            for item in owned.values()
            if item.fence == held.item.fence
            and held.item.first <= item.first
            and item.last <= held.item.last
        ]
        position = held.item.first
        for item in sorted(kept, key=lambda item: item.first):
            self._held[item.first] = HeldRange(item, held.until, held.perhaps_until)
            if position < item.first:
                self._release(position, item.first - 1, held)
            position = item.last + 1
        if position <= held.item.last:
            self._release(position, held.item.last, held)

    def _release(self, first: int, last: int, held: HeldRange) -> None:
        key = (first, last, held.item.fence)
        task = asyncio.create_task(self._release_range(key, held.perhaps_until))
        self._releasing[key] = task
        task.add_done_callback(lambda _: self._releasing.pop(key, None))

    async def _release_range(self, key: tuple[int, int, int], perhaps_until: float) -> None:
        """Release until the backend server confirms, or its hold must have run out."""
        first, last, fence = key
        life = self.life
        handover = ""
        while read_clock() < perhaps_until and self.life == life:
            outcome = await self._backend.release(first, last, fence)
            if isinstance(outcome, ReleaseDone):
                handover = outcome.handover
                break
            if outcome.refused:
                break
            await asyncio.sleep(RELEASE_RETRY_S)
        # A grant whose answer was lost may still take effect until its time has run out.
        while read_clock() < self._find_perhaps_until(first, last) and self.life == life:
            await asyncio.sleep(RELEASE_RETRY_S)
        self._released.append(ReleasedRange(first, last, handover))
        del self._released[:-KEPT_RELEASES]
        logger.info(
            "event=range_released first={} last={} fence={} handover={}",
            first,
            last,
            fence,
            bool(handover),
        )

    def _find_perhaps_until(self, first: int, last: int) -> float:
        """Return until when an unanswered grant may still give keys of a range."""
        return max(
            (
                until
                for (low, high, _), instants in self._unanswered.items()
                if low <= last and first <= high
                for until in instants
            ),
            default=-math.inf,
        )

    def _find_handover(self, first: int, last: int) -> str:
        for released in reversed(self._released):
            if released.first <= first and last <= released.last:
                return released.handover
        return ""

    async def _is_clear(self, first: int, last: int, fence: int) -> bool:
        """Return whether the backend server surely holds nothing of a range below a fence."""
        for held in self._held.values():
            if held.item.first <= last and first <= held.item.last and held.item.fence < fence:
                return False
        for low, high, number in [*self._starting, *self._releasing]:
            if low <= last and first <= high and number < fence:
                return False
        now = read_clock()
        if now < self._find_perhaps_until(first, last):
            return False
        if now < self._started_at + GRANT_S * (1 + CLOCK_TOLERANCE):
            return await self._release_for_predecessor(first, last, fence)
        return True

    async def _release_for_predecessor(self, first: int, last: int, fence: int) -> bool:
        """Release what an earlier process may have granted; return whether nothing can hold it.

        A grant whose answer that process never got may still be carried out, so that only a
        refused connection is proof before the longest grant has run out.
        """
        outcome = await self._backend.release(first, last, fence)
        if isinstance(outcome, ReleaseFailed) and outcome.refused:
            return True
        if isinstance(outcome, ReleaseDone) and outcome.handover:
            self._released.append(ReleasedRange(first, last, outcome.handover))
        await asyncio.sleep(PREDECESSOR_RETRY_S)
        return False

    async def _start(self, item: KeyRange) -> None:
        """Take keys from their former owners and grant them."""
        handover = ""
        if item.former:
            handover = await self._wait_for_former(item)
        begun = read_clock()
        while True:
            if await self._grant(item, handover):
                logger.info(
                    "event=range_taken first={} last={} fence={} former={} handover={} "
                    "after_s={:.2f}",
                    item.first,
                    item.last,
                    item.fence,
                    len(item.former),
                    bool(handover),
                    read_clock() - begun,
                )
                return
            await asyncio.sleep(STEP_S / 2)

    async def _grant(self, item: KeyRange, handover: str = "") -> bool:
        """Send one grant; the lease is looked at right before the send."""
        key, life = item.grant_key, self.life
        sent_at = hold_s = 0.0

        def find_hold_s() -> float:
            nonlocal sent_at, hold_s
            sent_at = read_clock()
            hold_s = self._find_hold_s(item, sent_at)
            if hold_s > 0:
                self._note_sent(item, sent_at + hold_s * (1 + CLOCK_TOLERANCE))
            return hold_s

        if self._find_hold_s(item, read_clock()) <= 0:
            return False
        outcome = await self._backend.grant(
            item.first, item.last, item.fence, find_hold_s, handover
        )
        perhaps_until = sent_at + hold_s * (1 + CLOCK_TOLERANCE)
        match outcome:
            case GrantAccepted():
                if self.life == life:
                    self._note_taken(item, sent_at + hold_s, perhaps_until, key)
                return True
            case GrantNotSent():
                self._forget_unanswered(key, perhaps_until)
            case GrantFenced():
                self._forget_unanswered(key, perhaps_until)
                logger.warning("event=grant_fenced first={} fence={}", item.first, item.fence)
                await asyncio.sleep(STEP_S)
            case GrantUnknown(detail=detail):
                logger.info(
                    "event=grant_unanswered first={} fence={} detail={!r}",
                    item.first,
                    item.fence,
                    detail,
                )
        return False

    def _find_hold_s(self, item: KeyRange, now: float) -> float:
        """Return for how long keys may be granted now, or 0."""
        present = self.assignment.find_range(item.first)
        if present is None or present.grant_key != item.grant_key or item.owner != self.life:
            return 0.0
        hold_s = min(GRANT_S, self.lease.compute_end() - now)
        return hold_s if hold_s >= MIN_GRANT_S else 0.0

    def _note_sent(self, item: KeyRange, perhaps_until: float) -> None:
        """Remember a grant until it is answered, since it may be under way."""
        key = item.grant_key
        self._unanswered[key].append(perhaps_until)
        held = self._held.get(item.first)
        if held is not None and held.item.grant_key == key:
            held.perhaps_until = max(held.perhaps_until, perhaps_until)

    def _note_taken(
        self, item: KeyRange, until: float, perhaps_until: float, key: tuple[int, int, int]
    ) -> None:
        self._forget_unanswered(key, perhaps_until)
        present = self.assignment.find_range(item.first)
        held = HeldRange(item, until, perhaps_until)
        if present is not None and present.grant_key == key:
            known = self._held.get(item.first)
            if known is not None and known.item.grant_key == key:
                held.until = max(held.until, known.until)
                held.perhaps_until = max(held.perhaps_until, known.perhaps_until)
            self._held[item.first] = held
        else:
            # The assignment changed while the grant was under way.
            owned = {}
            if self.life is not None:
                owned = {r.first: r for r in self.assignment.list_owned(self.life)}
            self._give_up(held, owned)

    def _forget_unanswered(self, key: tuple[int, int, int], perhaps_until: float) -> None:
        """Forget one grant that was answered; earlier ones may still be carried out."""
        instants = self._unanswered.get(key, [])
        if perhaps_until in instants:
            instants.remove(perhaps_until)

    def _renew(self) -> None:
        """Renew grants that are a third through."""
        now = read_clock()
        for held in self._held.values():
            if held.until - now < GRANT_S - RENEW_AFTER_S and not self._is_renewing(held.item):
                task = asyncio.create_task(self._renew_range(held.item))
                task.set_name(f"{held.item.first}")
                self._renewing.add(task)
                task.add_done_callback(self._renewing.discard)
        for key, instants in list(self._unanswered.items()):
            instants[:] = [until for until in instants if until >= now]
            if not instants:
                del self._unanswered[key]

    def _is_renewing(self, item: KeyRange) -> bool:
        return any(task.get_name() == f"{item.first}" for task in self._renewing)

    async def _renew_range(self, item: KeyRange) -> None:
        if not await self._grant(item):
            await asyncio.sleep(STEP_S)

    async def _wait_for_former(self, item: KeyRange) -> str:
        """Wait until no former owner holds keys; return the handover, if there is one."""
        takeover = self._takeovers.get(item.first)
        if takeover is None or takeover.offset != self.assignment.offset:
            sets = tuple(
                names
                for names in (self.assignment.witnesses, self.assignment.former_witnesses)
                if names
            )
            takeover = Takeover(self.assignment.offset, sets, read_clock())
            takeover.note_witness(self._node, self.assignment.offset, read_clock())
            self._takeovers[item.first] = takeover
        asks = asyncio.gather(*(self._ask_release(item, life) for life in item.former))
        try:
            while not asks.done():
                wait_s = min(STEP_S, takeover.compute_ready() - read_clock())
                if wait_s <= 0:
                    logger.info(
                        "event=takeover first={} last={} former={}",
                        item.first,
                        item.last,
                        ",".join(life.node for life in item.former),
                    )
                    return ""
                await asyncio.wait([asks], timeout=wait_s)
            handovers: list[str] = asks.result()
            return handovers[-1]
        finally:
            asks.cancel()
            self._takeovers.pop(item.first, None)

    async def _ask_release(self, item: KeyRange, former: BackendIncarnation) -> str:
        """Ask a former owner's daemon until it confirms."""
        payload = [item.first, item.last, item.fence, self.assignment.offset]
        while True:
            if former.node == self._node:
                while not await self._is_clear(item.first, item.last, item.fence):
                    await asyncio.sleep(RELEASE_RETRY_S)
                return self._find_handover(item.first, item.last)
            peer = self.mesh.peers.get(former.node) if self.mesh is not None else None
            if peer is not None:
                try:
                    async with asyncio.timeout(ASK_TIMEOUT_S):
                        done, handover = await peer.link.request("release", payload)
                    if done:
                        return str(handover)
                except (PeerRequestError, TimeoutError) as error:
                    logger.debug("event=release_unanswered peer={} error={!r}", former.node, error)
            await asyncio.sleep(ASK_RETRY_S)
