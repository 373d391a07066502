"""One daemon's membership: joining, leases, witnessing, takeover and handover of slices.

``Membership`` is sans-I/O: it takes events with the present monotonic time in seconds and returns
effects. It performs no input or output and reads no clock.
"""

from __future__ import annotations

from collections import defaultdict, deque
from typing import TYPE_CHECKING

import attrs
import numpy as np

from persimmondock._domain.effects import Append, Effect, Send, SliceRef
from persimmondock._domain.leases import (
    HeldLease,
    LeaseTiming,
    WitnessSet,
    WitnessState,
    is_majority,
)
from persimmondock._domain.messages import (
    Granted,
    KeptAnswer,
    Message,
    RecordsAsked,
    ReleaseAsked,
    Released,
    ReleaseReceived,
    Renew,
    RenewalRefused,
    Settled,
    SettlementAsked,
    Voted,
)
from persimmondock._domain.records import (
    Backend,
    BackendAnnounced,
    BackendWithdrawn,
    HandoversSettled,
    MemberJoined,
    MemberLeaving,
    MemberLeft,
    MemberLost,
    MemberRef,
    Record,
    WitnessesChanged,
    make_record_id,
)
from persimmondock._domain.releases import ReleaseTracker
from persimmondock._domain.view import (
    Handover,
    Member,
    ServiceState,
    View,
    begin_batch,
    end_batch,
    fold,
    list_handovers_before,
)
from persimmondock._domain.witnesses import WITNESSES, choose_successor, choose_witnesses

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

APPEND_RETRY_S = 1.0
RELEASE_RETRY_S = 0.1
VOTE_RANK_DELAY_S = 0.15
VOTE_RETRY_S = 0.5
RESIGN_AFTER_S = 8.0
MAX_MEMBERS_WITHOUT_VOTE_DELAY = 3
ISOLATED_AFTER_S = 0.9
ISOLATED_VOTE_DELAY_S = 5.0
PROBE_INTERVAL_S = 0.2
# Below ISOLATED_AFTER_S: a daemon that gets nothing but probes must not take itself for isolated.
PROBE_ANSWER_VALID_S = 0.6
NOT_JOINED = -1
NOTHING_TRANSFERRED = -1
SETTLEMENT_INTERVAL_S = 5.0
SETTLEMENT_RETRY_S = 1.0
MAX_LOG_READ_AGE_S = 2.0
PROPOSED_VERSION = -1
MAX_ADVANCE_GAP_S = 0.4


@attrs.frozen
class Identity:
    """Name, failure domain and addresses of a daemon, from its settings."""

    daemon: str
    failure_domain: str
    peer_address: str
    data_address: str
    caller_address: str
    operator_address: str


@attrs.define
class _Settlement:
    """A round that asks all members that have lost slices whether their handovers are complete.

    Parameters
    ----------
    before
        ``before`` of the `HandoversSettled` record that the round may append.
    waiting
        Members that have not answered yet.
    ends_at
        Monotonic seconds at which the round ends.
    ask_at
        Monotonic seconds at which the waiting members are asked next.
    """

    before: int
    waiting: set[MemberRef]
    ends_at: float
    ask_at: float


@attrs.frozen
class _OwnedSlices:
    """Backend servers and slices of this daemon in one state of a service."""

    state: ServiceState
    member: MemberRef | None
    backends: tuple[Backend, ...]
    slices: tuple[int, ...]


@attrs.define
class Membership:
    """State machine of one daemon's membership and slice ownership.

    Parameters
    ----------
    is_busy
        Returns whether requests of a slice are in flight at this daemon; index -1 stands for all
        slices of the service.
    collect_kept
        Returns the kept answers of a slice, which are sent with its release.
    ref
        Present incarnation, or None before this daemon has joined and after its loss.
    leaving, left
        Whether a graceful shutdown has begun, and whether the log shows that it has ended.
    backends
        Backend servers that announced themselves to this daemon, by name.
    unreleased
        For each slice of this daemon, the handovers whose earlier owner has not released it.
    log_read_at
        Monotonic seconds at which the log last answered a read.
    caught_up
        Whether the view has once reached the end of the log.
    """

    identity: Identity
    timing: LeaseTiming
    is_busy: Callable[[SliceRef], bool]
    collect_kept: Callable[[SliceRef], tuple[KeptAnswer, ...]]
    view: View = attrs.field(factory=View)
    ref: MemberRef | None = None
    leaving: bool = False
    left: bool = False
    lease: HeldLease | None = None
    witness_state: WitnessState = attrs.field(init=False)
    backends: dict[str, Backend] = attrs.field(factory=dict)
    unreleased: dict[SliceRef, set[Handover]] = attrs.field(factory=dict)
    log_read_at: float = 0.0
    caught_up: bool = False
    _join_record_id: str = attrs.field(factory=make_record_id)
    _proposal: WitnessesChanged | None = None
    _sequence: int = 0
    _renewals_sent_at: dict[int, float] = attrs.field(factory=dict)
    _next_renewal_at: float = 0.0
    _last_advance_at: float = 0.0
    _next_append_at: dict[str, float] = attrs.field(factory=dict)
    _releases_requested_at: float = 0.0
    _votes: dict[tuple[MemberRef, int], dict[MemberRef, float]] = attrs.field(
        factory=lambda: defaultdict(dict)
    )
    _releases: ReleaseTracker = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda self: ReleaseTracker(
                lambda ref: self.is_busy(ref), lambda ref: self.collect_kept(ref)
            ),
            takes_self=True,
        ),
    )
    _released_handovers: dict[SliceRef, set[Handover]] = attrs.field(factory=dict)
    _started_at: float | None = None
    _log_read_sent_at: float = 0.0
    _resumed_at: float = 0.0
    _votes_sent_at: float = 0.0
    _offset_history: deque[tuple[float, int]] = attrs.field(factory=deque)
    _indexed_members: Mapping[str, Member] | None = None
    _watched_holders: dict[MemberRef, MemberRef] = attrs.field(factory=dict)
    _wanted_witnesses: tuple[MemberRef, ...] | None = None
    _refusing_witnesses: set[MemberRef] = attrs.field(factory=set)
    _lease_held_at: float = 0.0
    _last_message_at: float = 0.0
    _next_probe_at: float = 0.0
    _probe_answered_at: dict[str, float] = attrs.field(factory=dict)
    _settler: MemberRef | None = None
    _settlement: _Settlement | None = None
    _next_settlement_at: float = 0.0
    _owned_by_service: dict[str, _OwnedSlices] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.witness_state = WitnessState(self.timing)

    # Queries of the gate and the front.

    def holds_lease(self, now: float) -> bool:
        """Return whether this daemon's lease allows its backend servers to run requests."""
        return self.lease is not None and not self.left and self.lease.is_held(now)

    def serves_slice(self, ref: SliceRef, now: float) -> bool:
        """Return whether this daemon may serve a slice at ``now``."""
        return self.owns_slice(ref) and not self.unreleased.get(ref) and self.holds_lease(now)

    def owns_slice(self, ref: SliceRef) -> bool:
        """Return whether the view gives a slice to a backend server of this daemon."""
        state = self.view.services.get(ref.service)
        if state is None or ref.index >= state.slices:
            return False
        placed = state.backends.get(int(state.owners[ref.index]))
        return placed is not None and placed.member == self.ref

    # Events.

    def apply_records(self, entries: Iterable[tuple[int, Record]], now: float) -> list[Effect]:
        """Fold records from the log or a peer."""
        self._record_start(now)
        self.view = begin_batch(self.view)
        try:
            for offset, record in entries:
                self.view = fold(self.view, offset, record)
                self._handle_own_record(offset, record, now)
        finally:
            self.view = end_batch(self.view)
        self._update_from_view(now)
        return self.advance(now)

    def adopt_view(self, view: View, now: float) -> list[Effect]:
        """Replace the view by a newer one from a snapshot or a peer; an older one is ignored."""
        if view.offset <= self.view.offset:
            return []
        self._record_start(now)
        self.view = view
        self._reconcile_own_member(now)
        self._update_from_view(now)
        return self.advance(now)

    def record_log_read(self, now: float, caught_up: bool, asked_at: float) -> None:
        """Record that the log answered a read.

        Parameters
        ----------
        now, asked_at
            Monotonic seconds at which the answer arrived and the read was sent.
        caught_up
            Whether the view has reached the end of the log.
        """
        self.log_read_at = now
        self._log_read_sent_at = asked_at
        self.caught_up = self.caught_up or caught_up

    def needs_log(self, now: float) -> bool:
        """Return whether this daemon must read the log itself, to join, vote or resign."""
        if not self.holds_lease(now):
            return True
        return any(
            self.witness_state.has_lapsed(holder, now) or self.witness_state.has_voted(holder)
            for holder in self._watched_holders
        )

    def announce_backend(self, backend: Backend, now: float) -> list[Effect]:
        """Add a backend server that announced itself."""
        self.backends[backend.name] = backend
        return self.advance(now)

    def withdraw_backend(self, name: str, now: float) -> list[Effect]:
        """Remove a backend server."""
        self.backends.pop(name, None)
        return self.advance(now)

    def start_leaving(self, now: float) -> list[Effect]:
        """Begin a graceful shutdown."""
        self.leaving = True
        return self.advance(now)

    def receive(self, message: Message, reply_address: str, now: float) -> list[Effect]:
        """Handle a message from another daemon's membership."""
        if self._compute_vote_delay(now):
            # Renewals may have been lost while this daemon received no messages.
            self.witness_state.extend(now)
        self._last_message_at = now
        match message:
            case Renew():
                return self._receive_renew(message, reply_address, now)
            case Granted():
                return self._receive_granted(message, reply_address)
            case RenewalRefused():
                return self._receive_refusal(message, reply_address, now)
            case Voted():
                self._votes[(message.holder, message.version)].setdefault(message.witness, now)
                return self._propose_losses(now)
            case ReleaseAsked():
                self._releases.receive_request(message, reply_address)
                return self._answer_release_requests(now)
            case Released():
                return self._receive_released(message, reply_address)
            case ReleaseReceived():
                self._releases.receive_confirmation(message)
                return []
            case SettlementAsked(before=before):
                return self._answer_settlement(before, reply_address)
            case Settled(member=member, before=before):
                self._receive_settled(member, before)
                return self._write_settlement(now)
            case _:
                return []

    def advance(self, now: float) -> list[Effect]:
        """Perform what is due at ``now``.

        Must be called at least every ``MAX_ADVANCE_GAP_S`` seconds; a longer gap counts as a pause
        of this daemon and extends all its promises.
        """
        self._record_start(now)
        self._extend_promises_after_pause(now)
        effects = self._join_or_leave(now)
        effects += self._renew_lease(now)
        effects += self._vote_on_lapsed(now)
        effects += self._propose_losses(now)
        effects += self._announce_backends(now)
        effects += self._replace_witnesses(now)
        effects += self._request_releases(now)
        effects += self._answer_release_requests(now)
        effects += self._settle_handovers(now)
        return effects

    def _record_start(self, now: float) -> None:
        if self._started_at is None:
            self._started_at = now

    def _extend_promises_after_pause(self, now: float) -> None:
        """After a pause of this daemon, extend every promise by a term before any vote."""
        if now - self._last_advance_at > MAX_ADVANCE_GAP_S:
            self._resumed_at = now
            self.witness_state.extend(now)
        self._last_advance_at = now

    # Joining and leaving.

    def _join_or_leave(self, now: float) -> list[Effect]:
        if self.ref is None:
            if self.leaving or self.left or not self.caught_up:
                return []
            return self._join(now)
        member = self.view.find_member(self.ref)
        if member is None or self.left:
            return []
        if not self.leaving:
            return self._resign(now)
        if not member.leaving:
            if self._try_acquire_append("leaving", now):
                return [Append((MemberLeaving(make_record_id(), self.ref),))]
            return []
        return self._leave(now)

    def _join(self, now: float) -> list[Effect]:
        """Join once a majority of the chosen witnesses has answered a probe.

        A daemon that cannot reach its peers would only be declared lost again. A probe is a renewal
        by an incarnation that has not joined, which every daemon answers with a refusal.
        """
        joined = self._make_joined()
        answered = sum(
            self._probe_answered_at.get(witness.daemon, 0.0) + PROBE_ANSWER_VALID_S > now
            for witness in joined.witnesses
        )
        if not joined.witnesses or is_majority(answered, len(joined.witnesses)):
            return [Append((joined,))] if self._may_join(now) else []
        if now < self._next_probe_at:
            return []
        self._next_probe_at = now + PROBE_INTERVAL_S
        probe = Renew(MemberRef(self.identity.daemon, NOT_JOINED), 0, self.view.offset)
        addresses = [self.view.members[w.daemon].peer_address for w in joined.witnesses]
        return [Send(address, probe) for address in addresses]

    def _resign(self, now: float) -> list[Effect]:
        """Leave as this incarnation if it cannot regain its lease while the log answers.

        All its witnesses may have left or voted for its loss. Its slices get new floors.
        """
        if self.holds_lease(now) or now - self.log_read_at > MAX_LOG_READ_AGE_S:
            self._lease_held_at = now
        if now < self._lease_held_at + RESIGN_AFTER_S or self._has_requests_in_flight():
            return []
        self.lease = None
        self._proposal = None
        assert self.ref is not None
        if not self._try_acquire_append("left", now):
            return []
        return [Append((MemberLeft(make_record_id(), self.ref, NOTHING_TRANSFERRED),))]

    def _has_requests_in_flight(self) -> bool:
        return any(self.is_busy(SliceRef(name, -1)) for name in self.view.services)

    def _may_join(self, now: float) -> bool:
        """Return whether the join record may be appended now.

        An earlier incarnation must have left the view, or have no witnesses and no work left.
        """
        present = self.view.members.get(self.identity.daemon)
        if present is not None:
            assert self._started_at is not None
            if (
                present.witnesses
                or now < self._started_at + self.timing.term_s + self.timing.grace_s
            ):
                return False
        return self._try_acquire_append("join", now)

    def _leave(self, now: float) -> list[Effect]:
        """Append the last record once all slices are released and no request is in flight."""
        assert self.ref is not None
        if self._has_requests_in_flight():
            return []
        if self._has_unreleased_losses() or not self._try_acquire_append("left", now):
            return []
        return [Append((MemberLeft(make_record_id(), self.ref, self.view.offset),))]

    def _has_unreleased_losses(self) -> bool:
        """Return whether a new owner still waits for a slice of this daemon."""
        return self._releases.has_unsent() or not self._has_handed_over(self.view.offset)

    def _has_handed_over(self, before: int) -> bool:
        """Return whether this daemon's kept answers have reached the owners of its former slices.

        Only slices whose present owner has owned them since before an offset are considered.
        """
        for name, state in self.view.services.items():
            for index, slice_handovers in list_handovers_before(state, before):
                own_losses = [h.lost_at for h in slice_handovers if h.member == self.ref]
                if own_losses and not self._is_confirmed(SliceRef(name, index), max(own_losses)):
                    return False
        return True

    def _is_confirmed(self, ref: SliceRef, lost_at: int) -> bool:
        """Return whether the present owner of a slice has this daemon's kept answers."""
        owner = self._find_owner(ref.service, ref.index)
        if owner is None or owner == self.ref:
            return True
        return self._releases.is_confirmed(ref, owner, lost_at)

    def _find_owner(self, service: str, index: int) -> MemberRef | None:
        state = self.view.services[service]
        placed = state.backends.get(int(state.owners[index]))
        return None if placed is None else placed.member

    def _make_joined(self) -> MemberJoined:
        identity = self.identity
        others = [
            member
            for member in self.view.members.values()
            if member.ref.daemon != identity.daemon and not member.leaving
        ]
        present = self.view.members.get(identity.daemon)
        witnesses = choose_witnesses(identity.daemon, identity.failure_domain, others)
        return MemberJoined(
            record_id=self._join_record_id,
            daemon=identity.daemon,
            failure_domain=identity.failure_domain,
            peer_address=identity.peer_address,
            data_address=identity.data_address,
            caller_address=identity.caller_address,
            operator_address=identity.operator_address,
            witnesses=witnesses,
            successor=choose_successor(identity.daemon, identity.failure_domain, others),
            replaces=None if present is None else present.ref,
        )

    def _handle_own_record(self, offset: int, record: Record, now: float) -> None:
        match record:
            case MemberJoined(record_id=record_id) if record_id == self._join_record_id:
                ref = MemberRef(self.identity.daemon, offset)
                if self.view.find_member(ref) is not None:
                    self._start_incarnation(ref, now)
            case WitnessesChanged(record_id=record_id) if (
                self._proposal is not None and record_id == self._proposal.record_id
            ):
                self._complete_witness_change(offset)
            case MemberLeft(member=member) if member == self.ref and self.leaving:
                self.left = True
                self.lease = None
                self._proposal = None

    def _reconcile_own_member(self, now: float) -> None:
        """Apply the records about this daemon that an adopted view covers."""
        member = self.view.members.get(self.identity.daemon)
        if member is None:
            return
        if self.ref is None and member.record_id == self._join_record_id:
            self._start_incarnation(member.ref, now)
        proposal = self._proposal
        if member.ref == self.ref and proposal is not None:
            if member.witnesses_version != proposal.version:
                self._complete_witness_change(member.witnesses_version)

    def _start_incarnation(self, ref: MemberRef, now: float) -> None:
        member = self.view.find_member(ref)
        assert member is not None
        self.ref = ref
        self.lease = HeldLease(ref, self.timing, [WitnessSet(ref.incarnation, member.witnesses)])
        self._proposal = None
        self._refusing_witnesses.clear()
        self._releases.forget_confirmations()
        self._lease_held_at = now
        self._next_renewal_at = 0.0

    def _complete_witness_change(self, offset: int) -> None:
        """Require only the new witnesses if ``offset`` is now their version, else the old ones."""
        assert self.ref is not None and self.lease is not None
        member = self.view.find_member(self.ref)
        proposal = self._proposal
        if member is None or proposal is None:
            return
        if member.witnesses_version == offset:
            kept = [s for s in self.lease.sets if s.version == PROPOSED_VERSION]
            for witness_set in kept:
                witness_set.version = offset
        else:
            kept = [s for s in self.lease.sets if s.version != PROPOSED_VERSION]
        self.lease.sets = kept
        self._proposal = None

    def _update_from_view(self, now: float) -> None:
        """Update the local state to the present view."""
        self._record_offset(now)
        if self.ref is not None and self.view.find_member(self.ref) is None and not self.left:
            self._reset_incarnation()
        self._update_watched_holders(now)
        self._update_unreleased()

    def _reset_incarnation(self) -> None:
        """Forget this incarnation after its loss, so that the daemon joins as a new one."""
        self.ref = None
        self.lease = None
        self._proposal = None
        self._join_record_id = make_record_id()
        self._next_append_at.clear()

    def _record_offset(self, now: float) -> None:
        """Record when the view reached its offset, for as long as ``_is_stale`` needs it."""
        self._offset_history.append((now, self.view.offset))
        while (
            len(self._offset_history) > 1
            and self._offset_history[1][0] + self.timing.max_staleness_s <= now
        ):
            self._offset_history.popleft()

    def _is_stale(self, applied: int, now: float) -> bool:
        """Return whether a holder lacks records known here for ``max_staleness_s``."""
        known = 0
        for at, offset in self._offset_history:
            if at + self.timing.max_staleness_s <= now:
                known = offset
        return applied < known

    def _update_watched_holders(self, now: float) -> None:
        """Watch the holders that name this daemon, in any incarnation, as a witness."""
        if self.view.members is self._indexed_members:
            return
        self._indexed_members = self.view.members
        for holder, promise in list(self.witness_state.promises.items()):
            if self.view.find_member(holder) is None and promise.until < now:
                self.witness_state.forget(holder)
        name = self.identity.daemon
        self._watched_holders = {
            member.ref: witness
            for member in self.view.members.values()
            for witness in member.witnesses
            if witness.daemon == name and member.ref != self.ref
        }
        for holder in self._watched_holders:
            self.witness_state.watch(holder, now)
        for key in list(self._votes):
            if self.view.find_member(key[0]) is None:
                del self._votes[key]
        self._wanted_witnesses = self._choose_new_witnesses()
        remaining = [member.ref for member in self.view.members.values() if not member.leaving]
        self._settler = min(remaining, key=lambda ref: ref.incarnation, default=None)

    def _update_unreleased(self) -> None:
        """Determine for each slice of this daemon which earlier owners must release it first."""
        unreleased: dict[SliceRef, set[Handover]] = {}
        released: dict[SliceRef, set[Handover]] = {}
        for name, state in self.view.services.items():
            for index in self._get_owned(name, state).slices:
                slice_handovers = state.handovers.get(index, ())
                ref = SliceRef(name, index)
                done = self._released_handovers.get(ref, set()) & set(slice_handovers)
                if done:
                    released[ref] = done
                missing = {h for h in slice_handovers if h.member != self.ref} - done
                if missing:
                    unreleased[ref] = missing
        self.unreleased = unreleased
        self._released_handovers = released
        services = self.view.services
        self._releases.forget_confirmations({name: services[name].handovers for name in services})

    def _get_owned(self, name: str, state: ServiceState) -> _OwnedSlices:
        """Return what this daemon owns of a service, computed once per state of the service."""
        own = self._owned_by_service.get(name)
        if own is None or own.state is not state or own.member != self.ref:
            placed = [item for item in state.backends.values() if item.member == self.ref]
            owned = np.isin(state.owners, [item.code for item in placed])
            slices = tuple(np.flatnonzero(owned).tolist())
            own = _OwnedSlices(state, self.ref, tuple(item.backend for item in placed), slices)
            self._owned_by_service[name] = own
        return own

    # The holder's side of the lease.

    def _renew_lease(self, now: float) -> list[Effect]:
        """Ask all witnesses for another term.

        A member without witnesses that was paused may have been replaced meanwhile, so it must
        read the log before it extends its lease.
        """
        if self.lease is None or self.ref is None or now < self._next_renewal_at:
            return []
        self._next_renewal_at = now + self.timing.renew_interval_s
        if self._log_read_sent_at >= self._resumed_at:
            self.lease.renew_unwitnessed(now)
        effects: list[Effect] = []
        for witness in self.lease.list_witnesses():
            member = self.view.find_member(witness)
            if member is None:
                continue
            self._sequence += 1
            self._renewals_sent_at[self._sequence] = now
            renew = Renew(self.ref, self._sequence, self.view.offset)
            effects.append(Send(member.peer_address, renew))
        self._forget_old_sequences(now)
        return effects

    def _forget_old_sequences(self, now: float) -> None:
        for sequence, sent_at in list(self._renewals_sent_at.items()):
            if sent_at + self.timing.term_s < now:
                del self._renewals_sent_at[sequence]

    def _receive_granted(self, message: Granted, reply_address: str) -> list[Effect]:
        sent_at = self._renewals_sent_at.pop(message.sequence, None)
        if self.lease is not None and message.holder == self.ref and sent_at is not None:
            self.lease.record_grant(message.witness, sent_at)
        return self._request_records(message.applied, reply_address)

    def _receive_refusal(self, message: RenewalRefused, address: str, now: float) -> list[Effect]:
        self._probe_answered_at[message.witness.daemon] = now
        if (
            message.voted
            and message.holder == self.ref
            and message.witness not in self._refusing_witnesses
        ):
            self._refusing_witnesses.add(message.witness)
            self._wanted_witnesses = self._choose_new_witnesses()
        return self._request_records(message.applied, address)

    def _request_records(self, applied: int, address: str) -> list[Effect]:
        """Ask a peer for records if it has folded more than this daemon."""
        if applied <= self.view.offset:
            return []
        return [Send(address, RecordsAsked(self.view.offset))]

    # The witness's side.

    def _receive_renew(self, message: Renew, reply_address: str, now: float) -> list[Effect]:
        holder, offset = message.holder, self.view.offset
        if self.ref is None:
            # This process may vote on behalf of an earlier incarnation, so it extends the promise,
            # but only an incarnation that has joined can grant a renewal.
            if holder.incarnation != NOT_JOINED:
                self.witness_state.renew(holder, now)
            own = MemberRef(self.identity.daemon, NOT_JOINED)
            return [Send(reply_address, RenewalRefused(own, holder, offset, voted=False))]
        effects = self._request_records(message.applied, reply_address)
        if self.view.has_departed(holder) or self._is_stale(message.applied, now):
            refused = RenewalRefused(self.ref, holder, offset, voted=False)
            return [*effects, Send(reply_address, refused)]
        if not self.witness_state.renew(holder, now):
            refused = RenewalRefused(self.ref, holder, offset, voted=True)
            return [*effects, Send(reply_address, refused)]
        granted = Granted(self.ref, holder, message.sequence, offset)
        return [*effects, Send(reply_address, granted)]

    def _vote_on_lapsed(self, now: float) -> list[Effect]:
        """Vote for the loss of holders that stopped renewing, unless the log cannot record it.

        A process also votes on behalf of earlier incarnations of its daemon. They have ended,
        messages to them have reached this process since its start, and their promises have expired
        once this process has watched the holder for a term.
        """
        if now - self.log_read_at > MAX_LOG_READ_AGE_S or not self.caught_up:
            return []
        for holder in self._watched_holders:
            if self.witness_state.has_lapsed(holder, now - self._compute_vote_delay(now)):
                self.witness_state.vote(holder)
                self._votes_sent_at = 0.0
        if now < self._votes_sent_at + VOTE_RETRY_S:
            return []
        self._votes_sent_at = now
        effects: list[Effect] = []
        for holder, witness in self._watched_holders.items():
            if self.witness_state.has_voted(holder):
                effects += self._send_votes(holder, witness, now)
        return effects

    def _compute_vote_delay(self, now: float) -> float:
        """Return the additional delay before a vote, in seconds.

        A daemon that receives nothing from any peer is more likely to be isolated itself.
        """
        if len(self.view.members) <= MAX_MEMBERS_WITHOUT_VOTE_DELAY:
            return 0.0
        return ISOLATED_VOTE_DELAY_S if now > self._last_message_at + ISOLATED_AFTER_S else 0.0

    def _send_votes(self, holder: MemberRef, voter: MemberRef, now: float) -> list[Effect]:
        member = self.view.find_member(holder)
        if member is None:
            return []
        vote = Voted(voter, holder, member.witnesses_version)
        self._votes[(holder, vote.version)].setdefault(voter, now)
        return [
            Send(other.peer_address, vote)
            for witness in member.witnesses
            if witness != voter and (other := self.view.members.get(witness.daemon)) is not None
        ]

    def _propose_losses(self, now: float) -> list[Effect]:
        """Append the loss of members whose witnesses voted, after a delay by the voter's rank."""
        effects: list[Effect] = []
        for (holder, version), votes in self._votes.items():
            member = self.view.find_member(holder)
            own = self._watched_holders.get(holder)
            if member is None or member.witnesses_version != version or own is None:
                continue
            voters = tuple(w for w in member.witnesses if w in votes)
            if not is_majority(len(voters), len(member.witnesses)) or own not in voters:
                continue
            due = max(votes.values()) + VOTE_RANK_DELAY_S * voters.index(own)
            if now >= due and self._try_acquire_append(f"lost {holder}", now):
                lost = MemberLost(make_record_id(), holder, version, voters)
                effects.append(Append((lost,)))
        return effects

    # Records about this daemon.

    def _announce_backends(self, now: float) -> list[Effect]:
        if self.ref is None or self.leaving or not self.holds_lease(now):
            return []
        known = {
            backend.name
            for name, state in self.view.services.items()
            for backend in self._get_owned(name, state).backends
        }
        records: list[Record] = []
        for name, backend in self.backends.items():
            if name not in known and self._try_acquire_append(f"announce {name}", now):
                records.append(BackendAnnounced(make_record_id(), self.ref, backend))
        for name in known:
            if name not in self.backends and self._try_acquire_append(f"withdraw {name}", now):
                records.append(BackendWithdrawn(make_record_id(), self.ref, name))
        return [Append(tuple(records))] if records else []

    def _replace_witnesses(self, now: float) -> list[Effect]:
        """Replace witnesses that are gone, and complete a set that is too small.

        The change is appended only after the new witnesses have promised. From then on the lease
        needs a majority of both sets until the log shows whether the change was accepted.
        """
        if self.ref is None or self.lease is None or self.left:
            return []
        if self._proposal is not None:
            return self._write_proposal(now)
        member = self.view.find_member(self.ref)
        if member is None:
            return []
        wanted = self._wanted_witnesses
        if wanted is None:
            self.lease.prospective = None
            return []
        prospective = self.lease.prospective
        if prospective is None or prospective.witnesses != wanted:
            self.lease.prospective = WitnessSet(PROPOSED_VERSION, wanted)
            return []
        needed = max(now + self.timing.renew_interval_s, self.lease.compute_deadline())
        if prospective.compute_deadline() < needed:
            return []
        self.lease.sets.append(prospective)
        self.lease.prospective = None
        self._proposal = self._make_witnesses_changed(member, wanted)
        return self._write_proposal(now)

    def _make_witnesses_changed(
        self, member: Member, witnesses: tuple[MemberRef, ...]
    ) -> WitnessesChanged:
        successor = choose_successor(
            member.ref.daemon, member.failure_domain, self._list_witness_candidates(member)
        )
        return WitnessesChanged(
            make_record_id(), member.ref, member.witnesses_version, witnesses, successor
        )

    def _write_proposal(self, now: float) -> list[Effect]:
        """Append the change of witnesses, repeatedly until the log shows it."""
        if self._proposal is None or not self._try_acquire_append("witnesses", now):
            return []
        return [Append((self._proposal,))]

    def _choose_new_witnesses(self) -> tuple[MemberRef, ...] | None:
        """Return better witnesses, or None to keep the present ones."""
        member = None if self.ref is None else self.view.find_member(self.ref)
        if member is None:
            return None
        present = [witness for witness in member.witnesses if self._is_witness_candidate(witness)]
        if len(present) == WITNESSES:
            return None
        others = self._list_witness_candidates(member)
        wanted = choose_witnesses(member.ref.daemon, member.failure_domain, others)
        if len(present) == len(member.witnesses) and len(wanted) <= len(present):
            return None
        return wanted

    def _is_witness_candidate(self, ref: MemberRef) -> bool:
        member = self.view.find_member(ref)
        return member is not None and not member.leaving and ref not in self._refusing_witnesses

    def _list_witness_candidates(self, member: Member) -> list[Member]:
        return [
            other
            for other in self.view.members.values()
            if other.ref != member.ref and self._is_witness_candidate(other.ref)
        ]

    # Handover of slices.

    def _request_releases(self, now: float) -> list[Effect]:
        if self.ref is None or now < self._releases_requested_at + RELEASE_RETRY_S:
            return []
        wanted: dict[tuple[MemberRef, str, int], list[int]] = defaultdict(list)
        for ref, missing in self.unreleased.items():
            for handover in missing:
                wanted[(handover.member, ref.service, handover.lost_at)].append(ref.index)
        if wanted:
            self._releases_requested_at = now
        effects: list[Effect] = []
        for (former_owner, service, lost_at), slices in wanted.items():
            member = self.view.find_member(former_owner)
            if member is not None:
                request = ReleaseAsked(self.ref, service, tuple(slices), lost_at)
                effects.append(Send(member.peer_address, request))
        return effects

    def _receive_released(self, message: Released, address: str) -> list[Effect]:
        for index in message.slices:
            ref = SliceRef(message.service, index)
            missing = self.unreleased.get(ref, set())
            done = {h for h in missing if h.member == message.member}
            done = {h for h in done if h.lost_at <= message.lost_at}
            missing -= done
            if not missing:
                self.unreleased.pop(ref, None)
            self._released_handovers.setdefault(ref, set()).update(done)
        if self.ref is None:
            return []
        confirmation = ReleaseReceived(self.ref, message.service, message.slices, message.lost_at)
        return [Send(address, confirmation)]

    def _answer_release_requests(self, now: float) -> list[Effect]:
        return [] if self.ref is None else [*self._releases.answer(self.ref, self.view, now)]

    # Settlement of handovers.

    def _settle_handovers(self, now: float) -> list[Effect]:
        """Let the oldest member check periodically whether handovers can be dropped.

        All members together append at most one record for this every ``SETTLEMENT_INTERVAL_S``
        seconds.
        """
        if self.ref is None or self.ref != self._settler:
            self._settlement = None
            return []
        if self._settlement is None or now >= self._settlement.ends_at:
            self._settlement = self._open_settlement(now)
        if self._settlement is None or now < self._settlement.ask_at:
            return []
        effects: list[Effect] = []
        self._settlement.ask_at = now + SETTLEMENT_RETRY_S
        if self._has_handed_over(self._settlement.before):
            self._settlement.waiting.discard(self.ref)
        for ref in self._settlement.waiting - {self.ref}:
            member = self.view.find_member(ref)
            if member is not None:
                asked = SettlementAsked(self._settlement.before)
                effects.append(Send(member.peer_address, asked))
        return effects + self._write_settlement(now)

    def _open_settlement(self, now: float) -> _Settlement | None:
        if now < self._next_settlement_at:
            return None
        self._next_settlement_at = now + SETTLEMENT_INTERVAL_S
        before = self.view.offset
        waiting = {
            handover.member
            for state in self.view.services.values()
            for _, slice_handovers in list_handovers_before(state, before)
            for handover in slice_handovers
        }
        return _Settlement(before, waiting, self._next_settlement_at, now) if waiting else None

    def _answer_settlement(self, before: int, address: str) -> list[Effect]:
        if self.ref is None or self.view.offset < before or not self._has_handed_over(before):
            return []
        return [Send(address, Settled(self.ref, before))]

    def _receive_settled(self, member: MemberRef, before: int) -> None:
        if self._settlement is not None and self._settlement.before == before:
            self._settlement.waiting.discard(member)

    def _write_settlement(self, now: float) -> list[Effect]:
        """Append the record once all members that are still present have answered."""
        if self._settlement is None or self._settlement.before <= self.view.settled_before:
            return []
        if any(self.view.find_member(ref) is not None for ref in self._settlement.waiting):
            return []
        if not self._try_acquire_append("settled", now):
            return []
        return [Append((HandoversSettled(make_record_id(), self._settlement.before),))]

    def _try_acquire_append(self, key: str, now: float) -> bool:
        """Return whether the record of a key may be appended now, and if so delay its retry."""
        if now < self._next_append_at.get(key, 0.0):
            return False
        self._next_append_at[key] = now + APPEND_RETRY_S
        return True
