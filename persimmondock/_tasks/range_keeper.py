"""Grants key ranges to the local backend server, and renews and releases them."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import math
from typing import TYPE_CHECKING, Any

from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.peer_stream import Delivery, PeerRequestError
from persimmondock._domain.assignment import Assignment, BackendIncarnation, KeyRange
from persimmondock._domain.balance import MAX_RANGES
from persimmondock._domain.holdings import (
    GrantedHoldings,
    HeldRange,
    ReleasedRange,
    ReportedHoldings,
)
from persimmondock._domain.range_lease import RangeLease, Takeover, compute_hold_end
from persimmondock._domain.site import GrantMode, GrantsByCall, GrantsInHeartbeats
from persimmondock._domain.verdict import NotRun, Reason
from persimmondock._ports.metrics import NoMetrics
from persimmondock._tasks.call_grants import CallGrants
from persimmondock._tasks.heartbeat_grants import MAX_PLANNED_ROWS, HeartbeatGrants
from persimmondock._tasks.loop_meter import LoopMeter

if TYPE_CHECKING:
    from collections.abc import Mapping

    from persimmondock._ports.backend import BackendServer
    from persimmondock._tasks.mesh import Mesh

GRANT_DURATION_S = 3.0  # equals the lease term: a lost daemon's keys are free when its lease ends
MIN_GRANT_DURATION_S = 0.3  # a shorter grant would expire before its first request completes
RECONCILE_INTERVAL_S = 0.1
RELEASE_RETRY_S = 0.1
RELEASE_POLL_S = 0.02  # a handover takes a few ms when no request is running
RELEASE_REQUEST_RETRY_S = 0.2
RELEASE_REQUEST_TIMEOUT_S = 4.0  # running requests for the keys have to end first
HANDOVER_RETRY_MS = 150
EXPECTED_HANDOVER_S = 1.0  # a handover that takes longer waits for a former owner's lease to end
TAKEOVER_RETRY_MS = 1_000
MAX_RELEASE_HISTORY = 512
RESUMED_RENEW_AFTER_S = 0.5  # another pause may follow before the grants are due


def find_max_rows(grant_mode: GrantMode) -> int:
    """Return how many grants each owner is to have at most."""
    match grant_mode:
        case GrantsByCall():
            return MAX_RANGES
        case GrantsInHeartbeats():
            return MAX_PLANNED_ROWS


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
    grant_mode
        How the backend server gets its grants.

    Attributes
    ----------
    announced_at
        Instant at which the current incarnation was last taken to run.
    is_paused
        Whether nothing is granted, since the current incarnation may have ended.
    """

    def __init__(
        self,
        backend: BackendServer,
        lease: RangeLease,
        node: str,
        grant_mode: GrantMode = GrantsByCall(),  # noqa: B008
    ) -> None:
        self.lease = lease
        self.assignment = Assignment("")
        self.incarnation: BackendIncarnation | None = None
        self.mesh: Mesh | None = None
        self.loop_meter = LoopMeter(RECONCILE_INTERVAL_S, NoMetrics())
        self._node = node
        self._held: dict[int, HeldRange] = {}
        self._acquiring: dict[tuple[int, int, int], asyncio.Task[None]] = {}
        # A range has several releases if a renewal was carried out after the first one.
        self._releasing: dict[asyncio.Task[None], tuple[int, int, int]] = {}
        self._acquisition_starts: dict[tuple[int, int, int], float] = {}
        self._held_changed = asyncio.Event()
        self._released: list[ReleasedRange] = []
        self._takeovers: dict[int, Takeover] = {}
        # Grants to the backend server's address from before may be unknown to this keeper.
        self._grants_known_since = read_clock()
        self._replaced: set[BackendIncarnation] = set()
        self.is_paused = False
        self._paused_at = self._absent_at = -math.inf
        self.announced_at = -math.inf
        self._channel: CallGrants | HeartbeatGrants
        match grant_mode:
            case GrantsByCall():
                self._channel = CallGrants(backend, self)
            case GrantsInHeartbeats():
                self._channel = HeartbeatGrants(self)

    # Queries by the gate.

    def find_refusal(self, key: int, now: float) -> NotRun | None:
        """Return why a key cannot be served now, or None if it can."""
        key_range = self.assignment.find_range(key)
        if key_range is None or key_range.owner != self.incarnation:
            return NotRun(Reason.NOT_OWNER, HANDOVER_RETRY_MS)
        held = self._held.get(key_range.first)
        if held is None or held.key_range.grant_id != key_range.grant_id:
            expected = now < self._expect_handover_by(key_range)
            retry_after_ms = HANDOVER_RETRY_MS if expected else TAKEOVER_RETRY_MS
            return NotRun(Reason.HANDOVER_PENDING, retry_after_ms)
        if now >= held.guaranteed_until:
            return NotRun(Reason.LEASE_LAPSED, HANDOVER_RETRY_MS)
        return None

    def _expect_handover_by(self, key_range: KeyRange) -> float:
        started_at = self._acquisition_starts.get(key_range.grant_id, -math.inf)
        return started_at + EXPECTED_HANDOVER_S

    async def wait_for_handover(self, key: int, wait_until: float) -> None:
        """Wait until a key that is about to be handed over can be served.

        Parameters
        ----------
        wait_until
            Instant at which waiting ends at the latest.
        """
        while True:
            now = read_clock()
            refusal = self.find_refusal(key, now)
            key_range = self.assignment.find_range(key)
            if refusal is None or refusal.reason is not Reason.HANDOVER_PENDING:
                return
            assert key_range is not None
            wait_s = min(wait_until, self._expect_handover_by(key_range)) - now
            if wait_s <= 0:
                return
            held_changed = self._held_changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await held_changed.wait()

    def _notify_held_changed(self) -> None:
        self._held_changed.set()
        self._held_changed = asyncio.Event()

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
        self._notify_held_changed()
        self.lease.adopt_assignment(partition_end, *assignment.witness_sets)
        self._reconcile()

    def update_incarnation(self, incarnation: BackendIncarnation) -> None:
        """Record a restart of the backend server; a new incarnation holds no keys."""
        if incarnation == self.incarnation:
            return
        previous, self.incarnation = self.incarnation, incarnation
        self.is_paused = False
        self._absent_at = -math.inf
        self.announced_at = read_clock()
        former_holds = list(self._held.values())
        self._held.clear()
        for task in self._acquiring.values():
            task.cancel()
        self._acquiring.clear()
        self._channel.reset()
        if previous is not None and (
            previous.instance == incarnation.instance
            or incarnation.born_ms < previous.born_ms
            or incarnation in self._replaced
        ):
            # The new process may have taken grants for the earlier one, which has the same name,
            # or the one before may live on: its announcements may only be held up.
            self._grants_known_since = read_clock()
        if previous is not None:
            self._replaced.add(previous)
            if previous.instance != incarnation.instance:
                # An announcement is no proof that the process before has ended: it may be a late
                # one. The answer of a successor to an order for that process is.
                for held in former_holds:
                    self._start_release(held.key_range.first, held.key_range.last, held)
        self._reconcile()

    def pause_grants(self, incarnation: BackendIncarnation | None, is_absent: bool = True) -> None:
        """Grant nothing to an incarnation that may have ended, until it is heard of again.

        Another process may listen at its address before that announces itself.

        Parameters
        ----------
        is_absent
            Whether nothing listens at the address, or another instance.
        """
        if incarnation is None or incarnation != self.incarnation:
            return
        self._paused_at = read_clock()
        if is_absent:
            self._absent_at = self._paused_at
        if self.is_paused:
            return
        self.is_paused = True
        logger.info("event=grants_paused instance={}", incarnation.instance)

    def resume_grants(self, alive_at: float) -> None:
        """Grant keys again unless what was heard of the current incarnation may be of before.

        Parameters
        ----------
        alive_at
            Latest instant at which the current incarnation is known to have run.
        """
        if alive_at <= self._absent_at and isinstance(self._channel, CallGrants):
            # A reply to a heartbeat reaches nobody but its sender; a call may reach a successor.
            return
        self.announced_at = read_clock()
        if self.is_paused:
            self._end_pause()

    def record_service(self, sent_at: float) -> None:
        """Grant keys again if the backend server served a key since it was last missed.

        It is the process that got the grant: its successor starts without keys.

        Parameters
        ----------
        sent_at
            Instant at which the request for the key was sent.
        """
        if self.is_paused and sent_at > self._paused_at:
            self.announced_at = max(self.announced_at, sent_at)
            self._end_pause()

    def _end_pause(self) -> None:
        self.is_paused = False
        if self.incarnation is not None:
            logger.info("event=grants_resumed instance={}", self.incarnation.instance)
        self._channel.renew(RESUMED_RENEW_AFTER_S)

    async def grant_holdings(
        self,
        incarnation: BackendIncarnation,
        sequence: int,
        holdings: ReportedHoldings,
        may_wait: bool,
    ) -> GrantedHoldings | None:
        """Apply what a heartbeat of the backend server says of its keys; return the grants.

        The result is None for a heartbeat that is not the newest of the current incarnation, if
        the backend server takes its grants by calls, and while nothing may be granted.

        Parameters
        ----------
        sequence
            Number that increases with each heartbeat of an incarnation.
        may_wait
            Whether the reply may be held open for a change of the grants.
        """
        if incarnation != self.incarnation or not isinstance(self._channel, HeartbeatGrants):
            return None
        self._channel.record_report(sequence, holdings)
        self._reconcile()
        return await self._channel.grant_holdings(sequence, may_wait)

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
            self.loop_meter.record_run()
            self._reconcile()
            self._channel.renew()
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
        self._adopt_merged_ranges(owned)
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
                self._acquisition_starts[grant_id] = read_clock()
                task.add_done_callback(functools.partial(self._finish_acquisition, grant_id))

    def _adopt_merged_ranges(self, owned: Mapping[int, KeyRange]) -> None:
        """Hold owned ranges that were merged from held ones; a renewal replaces their grants."""
        for item in owned.values():
            pieces = [
                held
                for held in self._held.values()
                if item.first <= held.key_range.first
                and held.key_range.last <= item.last
                and held.key_range.fence < item.fence
            ]
            keys = sum(held.key_range.last - held.key_range.first + 1 for held in pieces)
            if keys != item.last - item.first + 1 or item.former_owners:
                continue
            for held in pieces:
                del self._held[held.key_range.first]
            self._held[item.first] = HeldRange(
                item,
                min(held.guaranteed_until for held in pieces),
                max(held.possible_until for held in pieces),
            )

    def _finish_acquisition(self, grant_id: tuple[int, int, int], task: asyncio.Task[None]) -> None:
        if self._acquiring.get(grant_id) is task:
            del self._acquiring[grant_id]
        if grant_id not in self._acquiring:
            self._acquisition_starts.pop(grant_id, None)
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
        owner = held.key_range.owner
        task = asyncio.create_task(self._release_range(owner, grant_id, held.possible_until))
        self._releasing[task] = grant_id
        task.add_done_callback(self._releasing.pop)

    async def _release_range(
        self, owner: BackendIncarnation, grant_id: tuple[int, int, int], possible_until: float
    ) -> None:
        first, last, fence = grant_id
        handover = await self._channel.release(owner, first, last, fence, possible_until)
        self.record_released(ReleasedRange(first, last, handover))
        logger.info(
            "event=range_released first={} last={} fence={} handover={}",
            first,
            last,
            fence,
            bool(handover),
        )

    def _find_handover(self, first: int, last: int) -> str:
        """Return the handover of the latest release that covers a range, or an empty string."""
        for released in reversed(self._released):
            if released.covers(first, last):
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
        for low, high, held_fence in [*self._acquiring, *self._releasing.values()]:
            if low <= last and first <= high and held_fence < fence:
                return False
        now = read_clock()
        if now < self._channel.find_possible_until(first, last):
            return False
        if now < compute_hold_end(self._grants_known_since, GRANT_DURATION_S):
            # Grants of an earlier process of this daemon may not have expired yet.
            return await self._channel.release_for_predecessor(first, last, fence)
        return True

    async def _acquire_range(self, key_range: KeyRange) -> None:
        """Wait until former owners have released a range, then grant it until that succeeds."""
        handover = ""
        if key_range.former_owners and not self._channel.is_already_granted(key_range):
            handover = await self._wait_for_former_owners(key_range)
        started = read_clock()
        await self._channel.acquire(key_range, handover)
        logger.info(
            "event=range_taken first={} last={} fence={} instance={} former={} handover={} "
            "after_s={:.2f}",
            key_range.first,
            key_range.last,
            key_range.fence,
            key_range.owner.instance,
            len(key_range.former_owners),
            bool(handover),
            read_clock() - started,
        )

    # Decisions for the channel.

    def find_hold_s(self, key_range: KeyRange, counted_from: float) -> float:
        """Return the seconds for which a range may be granted, or 0 if it may not.

        Parameters
        ----------
        counted_from
            Instant from which the backend server counts at the latest.
        """
        current = self.assignment.find_range(key_range.first)
        if (
            self.is_paused
            or current is None
            or current.grant_id != key_range.grant_id
            or key_range.owner != self.incarnation
        ):
            return 0.0
        return self.compute_hold_s(counted_from)

    def compute_hold_s(self, counted_from: float) -> float:
        """Return the seconds for which the lease allows grants, or 0 if they would be too short."""
        hold_s = min(GRANT_DURATION_S, self.lease.compute_end() - counted_from)
        return hold_s if hold_s >= MIN_GRANT_DURATION_S else 0.0

    def is_due(self, held: HeldRange, now: float, renew_after_s: float) -> bool:
        """Return whether a grant is at least ``renew_after_s`` seconds old and may be renewed."""
        age_left_s = GRANT_DURATION_S - renew_after_s
        return not self.is_paused and held.guaranteed_until - now < age_left_s

    def list_held(self) -> list[HeldRange]:
        """Return the ranges that are held under the current assignment."""
        return list(self._held.values())

    def record_released(self, released: ReleasedRange) -> None:
        """Record a release, so that the next owner gets its handover."""
        self._released.append(released)
        del self._released[:-MAX_RELEASE_HISTORY]

    def record_sent_grant(self, key_range: KeyRange, possible_until: float) -> None:
        """Record that a grant was sent, whose outcome is not known yet."""
        held = self._held.get(key_range.first)
        if held is not None and held.key_range.grant_id == key_range.grant_id:
            held.possible_until = max(held.possible_until, possible_until)

    def record_accepted_grant(
        self, key_range: KeyRange, guaranteed_until: float, possible_until: float
    ) -> None:
        """Record that the backend server holds a range; release it if it has moved meanwhile."""
        grant_id = key_range.grant_id
        current = self.assignment.find_range(key_range.first)
        held = HeldRange(key_range, guaranteed_until, possible_until)
        if current is not None and current.grant_id == grant_id:
            known = self._held.get(key_range.first)
            if known is not None and known.key_range.grant_id == grant_id:
                held.guaranteed_until = max(held.guaranteed_until, known.guaranteed_until)
                held.possible_until = max(held.possible_until, known.possible_until)
            self._held[key_range.first] = held
            self._notify_held_changed()
        else:
            # The assignment changed while the grant was in flight.
            owned = {}
            if self.incarnation is not None:
                owned = {
                    key_range.first: key_range
                    for key_range in self.assignment.list_owned(self.incarnation)
                }
            self._release_unowned_parts(held, owned)

    async def _wait_for_former_owners(self, key_range: KeyRange) -> str:
        """Wait until no former owner holds a range; return the handover, or an empty string."""
        takeover = self._takeovers.get(key_range.first)
        if takeover is None or takeover.offset != self.assignment.offset:
            takeover = Takeover(self.assignment.offset, self.assignment.witness_sets, read_clock())
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
            # Marks the error of the cancelled requests as handled.
            release_requests.add_done_callback(lambda done: done.cancelled() or done.exception())
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
