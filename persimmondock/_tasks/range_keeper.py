"""Grants key ranges to the local backend server, and renews and releases them."""

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

GRANT_DURATION_S = 3.0  # equals the lease term: a lost daemon's keys are free when its lease ends
MIN_GRANT_DURATION_S = 0.3  # a shorter grant would expire before its first request completes
RENEW_AFTER_S = 1.0  # tolerates two lost renewals
RECONCILE_INTERVAL_S = 0.1
RELEASE_RETRY_S = 0.1
PREDECESSOR_RETRY_S = 0.5  # each attempt sends one release call per requested range
RELEASE_POLL_S = 0.02  # a handover takes a few ms when no request is running
RELEASE_REQUEST_RETRY_S = 0.2
RELEASE_REQUEST_TIMEOUT_S = 4.0  # running requests for the keys have to end first
HANDOVER_RETRY_MS = 150
MAX_RELEASE_HISTORY = 512


@attrs.define
class HeldRange:
    """A key range that the backend server holds.

    Parameters
    ----------
    guaranteed_until
        Instant until which the backend server is certain to hold the keys.
    possible_until
        Instant after which it cannot hold them unless another grant is sent.
    """

    key_range: KeyRange
    guaranteed_until: float
    possible_until: float


@attrs.frozen
class ReleasedRange:
    """Keys that the backend server has released, with the handover for the next owner."""

    first: int
    last: int
    handover: str


class RangeKeeper:
    """Keeps the grants of one backend server in line with the current assignment.

    Parameters
    ----------
    backend
        Client of the local backend server.
    lease
        Evidence that the current assignment is the newest; no grant outlives it.
    node
        Name of this daemon.
    """

    def __init__(self, backend: BackendServer, lease: RangeLease, node: str) -> None:
        self.lease = lease
        self.assignment = Assignment("")
        self.incarnation: BackendIncarnation | None = None
        self.mesh: Mesh | None = None
        self._backend = backend
        self._node = node
        self._held: dict[int, HeldRange] = {}
        self._acquiring: dict[tuple[int, int, int], asyncio.Task[None]] = {}
        self._releasing: dict[tuple[int, int, int], asyncio.Task[None]] = {}
        # Instants at which unanswered grants expire at the latest, by the range's `grant_id`.
        self._unanswered: dict[tuple[int, int, int], list[float]] = defaultdict(list)
        self._released: list[ReleasedRange] = []
        self._takeovers: dict[int, Takeover] = {}
        self._started_at = read_clock()
        self._renewing: set[asyncio.Task[None]] = set()

    # Queries by the gate.

    def find_refusal(self, key: int, now: float) -> NotRun | None:
        """Return why a key cannot be served now, or None if it can."""
        key_range = self.assignment.find_range(key)
        if key_range is None or key_range.owner != self.incarnation:
            return NotRun(Reason.NOT_OWNER, HANDOVER_RETRY_MS)
        held = self._held.get(key_range.first)
        if held is None or held.key_range.grant_id != key_range.grant_id:
            return NotRun(Reason.HANDOVER_PENDING, HANDOVER_RETRY_MS)
        if now >= held.guaranteed_until:
            return NotRun(Reason.LEASE_LAPSED, HANDOVER_RETRY_MS)
        return None

    def find_granted_offset(self) -> int:
        """Return the assignment's offset if all owned ranges are held, or -1."""
        if self.incarnation is None:
            return -1
        for key_range in self.assignment.list_owned(self.incarnation):
            held = self._held.get(key_range.first)
            if held is None or held.key_range.grant_id != key_range.grant_id:
                return -1
        return self.assignment.offset

    # Events.

    def update_assignment(self, assignment: Assignment, partition_end: int) -> None:
        """Switch to an assignment unless it is older than the current one.

        Parameters
        ----------
        partition_end
            End offset of the partition of assignments.
        """
        if assignment.offset < self.assignment.offset:
            return
        self.assignment = assignment
        self.lease.adopt_assignment(partition_end, assignment.witnesses)
        self._reconcile()

    def update_incarnation(self, incarnation: BackendIncarnation) -> None:
        """Record a restart of the backend server; a new incarnation holds no keys."""
        if incarnation == self.incarnation:
            return
        previous, self.incarnation = self.incarnation, incarnation
        self._held.clear()
        for task in self._acquiring.values():
            task.cancel()
        self._acquiring.clear()
        self._unanswered.clear()
        if previous is not None:
            # Keys that an earlier process of this daemon granted were held by the incarnation
            # that has ended.
            self._started_at = -math.inf
        self._reconcile()

    def record_heartbeat(
        self, node: str, end: int, may_witness: bool, sent_at: float, now: float
    ) -> None:
        """Record a heartbeat reply as evidence for the lease and for pending takeovers.

        Parameters
        ----------
        end
            End offset of the peer's copy of the partition of assignments.
        may_witness
            Whether the peer's copies were confirmed by the store since it started.
        sent_at, now
            Instants at which the heartbeat was sent and its reply arrived.
        """
        if may_witness:
            self.lease.confirm_by_witness(node, end, sent_at)
        for takeover in self._takeovers.values():
            takeover.record_witness(node, end, now)

    async def run(self) -> None:
        """Reconcile and renew grants periodically until cancelled."""
        while True:
            self._reconcile()
            self._renew()
            await asyncio.sleep(RECONCILE_INTERVAL_S)

    async def handle_release(self, payload: Any, _: Delivery) -> Any:
        """Reply to a new owner once the local backend server has released a key range.

        The reply is True and the handover, which is empty if there is none.
        """
        first, last, fence, offset = payload
        while self.assignment.offset < offset:
            await asyncio.sleep(RELEASE_POLL_S)
        while not await self._is_range_free(first, last, fence):
            await asyncio.sleep(RELEASE_POLL_S)
        return [True, self._find_handover(first, last)]

    def count_held(self) -> int:
        """Return the number of ranges that the backend server holds."""
        return len(self._held)

    def holds_any(self) -> bool:
        """Return whether any keys are held or still being released."""
        return bool(self._held or self._releasing)

    # Acquiring and releasing.

    def _reconcile(self) -> None:
        """Start acquiring newly owned ranges and releasing those no longer owned."""
        owned: dict[int, KeyRange] = {}
        if self.incarnation is not None:
            owned = {
                key_range.first: key_range
                for key_range in self.assignment.list_owned(self.incarnation)
            }
        for first, held in list(self._held.items()):
            key_range = owned.get(first)
            if key_range is not None and key_range.grant_id == held.key_range.grant_id:
                continue
            del self._held[first]
            self._release_unowned_parts(held, owned)
        for grant_id in list(self._acquiring):
            key_range = owned.get(grant_id[0])
            if key_range is None or key_range.grant_id != grant_id:
                self._acquiring.pop(grant_id).cancel()
        for key_range in owned.values():
            grant_id = key_range.grant_id
            if key_range.first not in self._held and grant_id not in self._acquiring:
                task = asyncio.create_task(self._acquire_range(key_range))
                self._acquiring[grant_id] = task
                task.add_done_callback(functools.partial(self._finish_acquisition, grant_id))

    def _finish_acquisition(self, grant_id: tuple[int, int, int], task: asyncio.Task[None]) -> None:
        if self._acquiring.get(grant_id) is task:
            del self._acquiring[grant_id]
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.error("event=grant_failed range={} error={!r}", grant_id, error)

    def _release_unowned_parts(self, held: HeldRange, owned: dict[int, KeyRange]) -> None:
        """Keep holding the parts of a range that are still owned, and release the rest."""
        kept = [
            key_range
            for key_range in owned.values()
            if key_range.fence == held.key_range.fence
            and held.key_range.first <= key_range.first
            and key_range.last <= held.key_range.last
        ]
        position = held.key_range.first
        for key_range in sorted(kept, key=lambda key_range: key_range.first):
            self._held[key_range.first] = HeldRange(
                key_range, held.guaranteed_until, held.possible_until
            )
            if position < key_range.first:
                self._start_release(position, key_range.first - 1, held)
            position = key_range.last + 1
        if position <= held.key_range.last:
            self._start_release(position, held.key_range.last, held)

    def _start_release(self, first: int, last: int, held: HeldRange) -> None:
        grant_id = (first, last, held.key_range.fence)
        task = asyncio.create_task(self._release_range(grant_id, held.possible_until))
        self._releasing[grant_id] = task
        task.add_done_callback(lambda _: self._releasing.pop(grant_id, None))

    async def _release_range(self, grant_id: tuple[int, int, int], possible_until: float) -> None:
        """Retry the release until it is confirmed or the grant must have expired."""
        first, last, fence = grant_id
        incarnation = self.incarnation
        handover = ""
        while read_clock() < possible_until and self.incarnation == incarnation:
            outcome = await self._backend.release(first, last, fence)
            if isinstance(outcome, ReleaseDone):
                handover = outcome.handover
                break
            if outcome.refused:
                # Nothing listens at the backend server's address, so nothing holds the keys.
                break
            await asyncio.sleep(RELEASE_RETRY_S)
        # A grant whose reply was lost may still take effect until it expires.
        while (
            read_clock() < self._find_possible_until(first, last)
            and self.incarnation == incarnation
        ):
            await asyncio.sleep(RELEASE_RETRY_S)
        self._released.append(ReleasedRange(first, last, handover))
        del self._released[:-MAX_RELEASE_HISTORY]
        logger.info(
            "event=range_released first={} last={} fence={} handover={}",
            first,
            last,
            fence,
            bool(handover),
        )

    def _find_possible_until(self, first: int, last: int) -> float:
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

    def _find_handover(self, first: int, last: int) -> str:
        """Return the handover of the latest release that covers a range, or an empty string."""
        for released in reversed(self._released):
            if released.first <= first and last <= released.last:
                return released.handover
        return ""

    async def _is_range_free(self, first: int, last: int, fence: int) -> bool:
        """Return whether no keys of a range can be held under a lower fencing token."""
        for held in self._held.values():
            if (
                held.key_range.first <= last
                and first <= held.key_range.last
                and held.key_range.fence < fence
            ):
                return False
        for low, high, held_fence in [*self._acquiring, *self._releasing]:
            if low <= last and first <= high and held_fence < fence:
                return False
        now = read_clock()
        if now < self._find_possible_until(first, last):
            return False
        if now < self._started_at + GRANT_DURATION_S * (1 + CLOCK_TOLERANCE):
            # Grants of an earlier process of this daemon may not have expired yet.
            return await self._release_for_predecessor(first, last, fence)
        return True

    async def _release_for_predecessor(self, first: int, last: int, fence: int) -> bool:
        """Release what an earlier process of this daemon may have granted.

        Returns whether no incarnation can hold the keys. A grant whose reply the earlier process
        never got may still take effect, so before the longest grant has expired only a refused
        connection proves that nothing holds them.
        """
        outcome = await self._backend.release(first, last, fence)
        if isinstance(outcome, ReleaseFailed) and outcome.refused:
            return True
        if isinstance(outcome, ReleaseDone) and outcome.handover:
            self._released.append(ReleasedRange(first, last, outcome.handover))
        await asyncio.sleep(PREDECESSOR_RETRY_S)
        return False

    async def _acquire_range(self, key_range: KeyRange) -> None:
        """Wait until former owners have released a range, then grant it until that succeeds."""
        handover = ""
        if key_range.former_owners:
            handover = await self._wait_for_former_owners(key_range)
        started = read_clock()
        while True:
            if await self._grant(key_range, handover):
                logger.info(
                    "event=range_taken first={} last={} fence={} former={} handover={} "
                    "after_s={:.2f}",
                    key_range.first,
                    key_range.last,
                    key_range.fence,
                    len(key_range.former_owners),
                    bool(handover),
                    read_clock() - started,
                )
                return
            await asyncio.sleep(RECONCILE_INTERVAL_S / 2)

    async def _grant(self, key_range: KeyRange, handover: str = "") -> bool:
        """Send one grant; its duration is computed from the lease right before sending."""
        grant_id, incarnation = key_range.grant_id, self.incarnation
        sent_at = hold_s = 0.0

        def find_hold_s() -> float:
            nonlocal sent_at, hold_s
            sent_at = read_clock()
            hold_s = self._find_hold_s(key_range, sent_at)
            if hold_s > 0:
                self._record_sent_grant(key_range, sent_at + hold_s * (1 + CLOCK_TOLERANCE))
            return hold_s

        if self._find_hold_s(key_range, read_clock()) <= 0:
            return False
        outcome = await self._backend.grant(
            key_range.first, key_range.last, key_range.fence, find_hold_s, handover
        )
        possible_until = sent_at + hold_s * (1 + CLOCK_TOLERANCE)
        match outcome:
            case GrantAccepted():
                if self.incarnation == incarnation:
                    self._record_accepted_grant(
                        key_range, sent_at + hold_s, possible_until, grant_id
                    )
                return True
            case GrantNotSent():
                self._remove_unanswered(grant_id, possible_until)
            case GrantFenced():
                self._remove_unanswered(grant_id, possible_until)
                logger.warning(
                    "event=grant_fenced first={} fence={}", key_range.first, key_range.fence
                )
                await asyncio.sleep(RECONCILE_INTERVAL_S)
            case GrantUnknown(detail=detail):
                logger.info(
                    "event=grant_unanswered first={} fence={} detail={!r}",
                    key_range.first,
                    key_range.fence,
                    detail,
                )
        return False

    def _find_hold_s(self, key_range: KeyRange, now: float) -> float:
        """Return the seconds for which a range may be granted now, or 0 if it may not."""
        current = self.assignment.find_range(key_range.first)
        if (
            current is None
            or current.grant_id != key_range.grant_id
            or key_range.owner != self.incarnation
        ):
            return 0.0
        hold_s = min(GRANT_DURATION_S, self.lease.compute_end() - now)
        return hold_s if hold_s >= MIN_GRANT_DURATION_S else 0.0

    def _record_sent_grant(self, key_range: KeyRange, possible_until: float) -> None:
        """Track a sent grant until it is answered, since it may take effect at any time."""
        grant_id = key_range.grant_id
        self._unanswered[grant_id].append(possible_until)
        held = self._held.get(key_range.first)
        if held is not None and held.key_range.grant_id == grant_id:
            held.possible_until = max(held.possible_until, possible_until)

    def _record_accepted_grant(
        self,
        key_range: KeyRange,
        guaranteed_until: float,
        possible_until: float,
        grant_id: tuple[int, int, int],
    ) -> None:
        self._remove_unanswered(grant_id, possible_until)
        current = self.assignment.find_range(key_range.first)
        held = HeldRange(key_range, guaranteed_until, possible_until)
        if current is not None and current.grant_id == grant_id:
            known = self._held.get(key_range.first)
            if known is not None and known.key_range.grant_id == grant_id:
                held.guaranteed_until = max(held.guaranteed_until, known.guaranteed_until)
                held.possible_until = max(held.possible_until, known.possible_until)
            self._held[key_range.first] = held
        else:
            # The assignment changed while the grant was in flight.
            owned = {}
            if self.incarnation is not None:
                owned = {
                    key_range.first: key_range
                    for key_range in self.assignment.list_owned(self.incarnation)
                }
            self._release_unowned_parts(held, owned)

    def _remove_unanswered(self, grant_id: tuple[int, int, int], possible_until: float) -> None:
        """Stop tracking one answered grant; earlier unanswered ones may still take effect."""
        instants = self._unanswered.get(grant_id, [])
        if possible_until in instants:
            instants.remove(possible_until)

    def _renew(self) -> None:
        """Renew grants after a third of their duration, and drop expired unanswered ones."""
        now = read_clock()
        for held in self._held.values():
            if (
                held.guaranteed_until - now < GRANT_DURATION_S - RENEW_AFTER_S
                and not self._is_renewing(held.key_range)
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
            await asyncio.sleep(RECONCILE_INTERVAL_S)

    async def _wait_for_former_owners(self, key_range: KeyRange) -> str:
        """Wait until no former owner holds a range; return the handover, or an empty string."""
        takeover = self._takeovers.get(key_range.first)
        if takeover is None or takeover.offset != self.assignment.offset:
            witness_sets = tuple(
                names
                for names in (self.assignment.witnesses, self.assignment.former_witnesses)
                if names
            )
            takeover = Takeover(self.assignment.offset, witness_sets, read_clock())
            takeover.record_witness(self._node, self.assignment.offset, read_clock())
            self._takeovers[key_range.first] = takeover
        release_requests = asyncio.gather(
            *(
                self._request_release(key_range, incarnation)
                for incarnation in key_range.former_owners
            )
        )
        try:
            while not release_requests.done():
                wait_s = min(RECONCILE_INTERVAL_S, takeover.compute_ready() - read_clock())
                if wait_s <= 0:
                    logger.info(
                        "event=takeover first={} last={} former={}",
                        key_range.first,
                        key_range.last,
                        ",".join(incarnation.node for incarnation in key_range.former_owners),
                    )
                    return ""
                await asyncio.wait([release_requests], timeout=wait_s)
            handovers: list[str] = release_requests.result()
            # The last of the former owners held the keys most recently.
            return handovers[-1]
        finally:
            release_requests.cancel()
            self._takeovers.pop(key_range.first, None)

    async def _request_release(self, key_range: KeyRange, former: BackendIncarnation) -> str:
        """Request the release until the former owner's daemon confirms; return the handover."""
        payload = [key_range.first, key_range.last, key_range.fence, self.assignment.offset]
        while True:
            if former.node == self._node:
                while not await self._is_range_free(
                    key_range.first, key_range.last, key_range.fence
                ):
                    await asyncio.sleep(RELEASE_RETRY_S)
                return self._find_handover(key_range.first, key_range.last)
            peer = self.mesh.peers.get(former.node) if self.mesh is not None else None
            if peer is not None:
                try:
                    async with asyncio.timeout(RELEASE_REQUEST_TIMEOUT_S):
                        released, handover = await peer.client.request("release", payload)
                    if released:
                        return str(handover)
                except (PeerRequestError, TimeoutError) as error:
                    logger.debug("event=release_unanswered peer={} error={!r}", former.node, error)
            await asyncio.sleep(RELEASE_REQUEST_RETRY_S)
