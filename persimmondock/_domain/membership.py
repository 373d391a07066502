"""One daemon's part in ownership: joining, leases, witnessing, takeover and handover.

``Membership`` is a decision core. It takes events with the present monotonic time and returns
effects; it does no input or output and reads no clock.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, TypeAlias

import attrs

from persimmondock._domain.leases import HeldLease, LeaseTerms, WitnessBook, WitnessSet, is_majority
from persimmondock._domain.messages import (
    Granted,
    KeptAnswer,
    Message,
    RecordsAsked,
    ReleaseAsked,
    Released,
    Renew,
    Voted,
)
from persimmondock._domain.placement import NO_OWNER
from persimmondock._domain.records import (
    Backend,
    BackendAnnounced,
    BackendWithdrawn,
    MemberJoined,
    MemberLeaving,
    MemberLeft,
    MemberLost,
    MemberRef,
    Record,
    WitnessesChanged,
    make_record_id,
)
from persimmondock._domain.view import Handover, Member, View, finish_edit, fold, start_edit
from persimmondock._domain.witnesses import WITNESSES, choose_successor, choose_witnesses

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

APPEND_RETRY_S = 1.0
RELEASE_RETRY_S = 0.1
VOTE_RANK_DELAY_S = 0.15
LOG_FRESHNESS_S = 2.0
PROPOSED_VERSION = -1
MAX_LATENESS_S = 0.4


@attrs.frozen
class Identity:
    """What a daemon knows of itself from its settings."""

    daemon: str
    failure_domain: str
    peer_address: str
    data_address: str
    caller_address: str
    operator_address: str


@attrs.frozen
class Send:
    """Send a message to the daemon at an address."""

    address: str
    message: Message


@attrs.frozen
class Append:
    """Append records to the log as one unit."""

    records: tuple[Record, ...]


Effect: TypeAlias = Send | Append


@attrs.frozen
class SliceRef:
    """One slice of one service."""

    service: str
    index: int


@attrs.define
class _OpenAsk:
    """A release that a new owner asked for and this daemon has not given yet."""

    asker: MemberRef
    address: str
    service: str
    slices: set[int]
    lost_at: int


@attrs.define
class Membership:
    """One daemon's part in ownership.

    Parameters
    ----------
    is_busy
        Tells whether requests of a slice are in flight at this daemon.
    collect_kept
        Returns the kept answers of a slice, to be handed over.
    """

    identity: Identity
    terms: LeaseTerms
    is_busy: Callable[[SliceRef], bool]
    collect_kept: Callable[[SliceRef], tuple[KeptAnswer, ...]]
    view: View = attrs.field(factory=View)
    ref: MemberRef | None = None
    leaving: bool = False
    left: bool = False
    lease: HeldLease | None = None
    book: WitnessBook = attrs.field(init=False)
    backends: dict[str, Backend] = attrs.field(factory=dict)
    unreleased: dict[SliceRef, set[Handover]] = attrs.field(factory=dict)
    log_read_at: float = 0.0
    caught_up: bool = False
    _joining_id: str = attrs.field(factory=make_record_id)
    _proposal: WitnessesChanged | None = None
    _sequence: int = 0
    _sent_at: dict[int, float] = attrs.field(factory=dict)
    _renew_at: float = 0.0
    _advanced_at: float = 0.0
    _append_at: dict[str, float] = attrs.field(factory=dict)
    _asked_at: float = 0.0
    _votes: dict[tuple[MemberRef, int], dict[MemberRef, float]] = attrs.field(
        factory=lambda: defaultdict(dict)
    )
    _open_asks: list[_OpenAsk] = attrs.field(factory=list)
    _released: dict[SliceRef, set[Handover]] = attrs.field(factory=dict)
    _given: dict[SliceRef, int] = attrs.field(factory=dict)
    _watched_members: Mapping[str, Member] | None = None

    def __attrs_post_init__(self) -> None:
        self.book = WitnessBook(self.terms)

    # Questions of the gate and the front.

    def holds_lease(self, now: float) -> bool:
        """Return whether this daemon may let its backend servers work."""
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
        """Fold records read from the log or given by a peer."""
        self.view = start_edit(self.view)
        try:
            for offset, record in entries:
                self.view = fold(self.view, offset, record)
                self._notice_own_record(offset, record, now)
        finally:
            self.view = finish_edit(self.view)
        self._follow_view(now)
        return self._answer_asks() + self.advance(now)

    def adopt_view(self, view: View, now: float) -> list[Effect]:
        """Continue from a newer view, taken from a snapshot or from peers."""
        if view.offset <= self.view.offset:
            return []
        self.view = view
        self._notice_own_state()
        self._follow_view(now)
        return self._answer_asks() + self.advance(now)

    def note_log_read(self, now: float, caught_up: bool) -> None:
        """Note that the log answered, and whether the view has reached its end."""
        self.log_read_at = now
        self.caught_up = self.caught_up or caught_up

    def needs_log(self, now: float) -> bool:
        """Return whether this daemon must hear from the log itself: to join, or to vote."""
        if self.ref is None:
            return True
        return any(self.book.has_lapsed(holder, now) for holder in self.book.promises)

    def announce_backend(self, backend: Backend, now: float) -> list[Effect]:
        """Serve through a backend server that announced itself."""
        self.backends[backend.name] = backend
        return self.advance(now)

    def withdraw_backend(self, name: str, now: float) -> list[Effect]:
        """Stop serving through a backend server."""
        self.backends.pop(name, None)
        return self.advance(now)

    def start_leaving(self, now: float) -> list[Effect]:
        """Begin a graceful shutdown."""
        self.leaving = True
        return self.advance(now)

    def receive(self, message: Message, reply_address: str, now: float) -> list[Effect]:
        """Take a message of another daemon's membership."""
        match message:
            case Renew():
                return self._receive_renew(message, reply_address, now)
            case Granted():
                return self._receive_granted(message, reply_address)
            case Voted():
                self._votes[(message.holder, message.version)].setdefault(message.witness, now)
                return self._propose_losses(now)
            case ReleaseAsked():
                return self._receive_release_asked(message, reply_address)
            case Released():
                self._receive_released(message)
                return []
            case _:
                return []

    def advance(self, now: float) -> list[Effect]:
        """Do what is due at ``now``; called at least every renewal interval."""
        self._excuse_own_lateness(now)
        effects = self._join_or_leave(now)
        effects += self._renew_lease(now)
        effects += self._vote_on_lapsed(now)
        effects += self._propose_losses(now)
        effects += self._announce_backends(now)
        effects += self._improve_witnesses(now)
        effects += self._ask_releases(now)
        effects += self._answer_asks()
        return effects

    def _excuse_own_lateness(self, now: float) -> None:
        """After a pause of this daemon, give every holder a fresh term before judging it."""
        if now - self._advanced_at > MAX_LATENESS_S:
            self.book.extend(now)
        self._advanced_at = now

    # Joining and leaving.

    def _join_or_leave(self, now: float) -> list[Effect]:
        if self.ref is None:
            if self.leaving or self.left or not self.caught_up or not self._may_append("join", now):
                return []
            return [Append((self._make_joined(),))]
        member = self.view.find_member(self.ref)
        if member is None or not self.leaving or self.left:
            return []
        if not member.leaving:
            if self._may_append("leaving", now):
                return [Append((MemberLeaving(make_record_id(), self.ref),))]
            return []
        return self._leave(now)

    def _leave(self, now: float) -> list[Effect]:
        """Write the last record once nothing is held and nothing is in flight."""
        assert self.ref is not None
        if any(self.is_busy(SliceRef(name, -1)) for name in self.view.services):
            return []
        if self._has_unreleased_losses() or not self._may_append("left", now):
            return []
        return [Append((MemberLeft(make_record_id(), self.ref),))]

    def _has_unreleased_losses(self) -> bool:
        """Return whether a new owner still waits for one of this daemon's slices."""
        for name, state in self.view.services.items():
            for index, held in state.handovers.items():
                mine = [h.lost_at for h in held if h.member == self.ref]
                given = self._given.get(SliceRef(name, index), -1)
                if mine and max(mine) > given and int(state.owners[index]) != NO_OWNER:
                    return True
        return bool(self._open_asks)

    def _make_joined(self) -> MemberJoined:
        identity = self.identity
        others = [m for m in self.view.members.values() if m.ref.daemon != identity.daemon]
        witnesses = choose_witnesses(identity.daemon, identity.failure_domain, others)
        return MemberJoined(
            record_id=self._joining_id,
            daemon=identity.daemon,
            failure_domain=identity.failure_domain,
            peer_address=identity.peer_address,
            data_address=identity.data_address,
            caller_address=identity.caller_address,
            operator_address=identity.operator_address,
            witnesses=witnesses,
            successor=choose_successor(identity.daemon, identity.failure_domain, others),
        )

    def _notice_own_record(self, offset: int, record: Record, now: float) -> None:
        match record:
            case MemberJoined(record_id=record_id) if record_id == self._joining_id:
                ref = MemberRef(self.identity.daemon, offset)
                if self.view.find_member(ref) is not None:
                    self._start_incarnation(ref)
            case WitnessesChanged(member=member) if member == self.ref:
                self._adopt_witnesses(offset)
            case MemberLeft(member=member) if member == self.ref:
                self.left = True
                self.lease = None

    def _notice_own_state(self) -> None:
        """Catch up with records about this daemon that an adopted view covers."""
        member = self.view.members.get(self.identity.daemon)
        if member is None:
            return
        if self.ref is None and member.record_id == self._joining_id:
            self._start_incarnation(member.ref)
        proposal = self._proposal
        if member.ref == self.ref and proposal is not None:
            if member.witnesses_version != proposal.version:
                self._adopt_witnesses(member.witnesses_version)

    def _start_incarnation(self, ref: MemberRef) -> None:
        member = self.view.find_member(ref)
        assert member is not None
        self.ref = ref
        self.lease = HeldLease(ref, self.terms, [WitnessSet(ref.incarnation, member.witnesses)])
        self._renew_at = 0.0

    def _adopt_witnesses(self, offset: int) -> None:
        """Need only the new witnesses once the change is accepted, or none of them if it lost."""
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

    def _follow_view(self, now: float) -> None:
        """Bring the local state in line with the view."""
        if self.ref is not None and self.view.find_member(self.ref) is None and not self.left:
            self._start_over()
        self._follow_witnessing(now)
        self._follow_handovers()

    def _start_over(self) -> None:
        """Join again as a new incarnation after this one was declared lost."""
        self.ref = None
        self.lease = None
        self._proposal = None
        self._joining_id = make_record_id()
        self._append_at.clear()

    def _follow_witnessing(self, now: float) -> None:
        for holder, promise in list(self.book.promises.items()):
            if self.view.find_member(holder) is None and promise.until < now:
                self.book.forget(holder)
        if self.ref is None:
            return
        if self.view.members is not self._watched_members:
            self._watched_members = self.view.members
            for member in self.view.members.values():
                if self.ref in member.witnesses:
                    self.book.watch(member.ref, now)
        for key in list(self._votes):
            if self.view.find_member(key[0]) is None:
                del self._votes[key]

    def _follow_handovers(self) -> None:
        """Note for each slice of this daemon which earlier owners must release it first."""
        fresh: dict[SliceRef, set[Handover]] = {}
        released: dict[SliceRef, set[Handover]] = {}
        for name, state in self.view.services.items():
            for index, held in state.handovers.items():
                ref = SliceRef(name, index)
                done = self._released.get(ref, set()) & set(held)
                if done:
                    released[ref] = done
                missing = {h for h in held if h.member != self.ref} - done
                if missing and self.owns_slice(ref):
                    fresh[ref] = missing
        self.unreleased = fresh
        self._released = released

    # The holder's side of the lease.

    def _renew_lease(self, now: float) -> list[Effect]:
        if self.lease is None or self.ref is None or now < self._renew_at:
            return []
        self._renew_at = now + self.terms.renew_every
        effects: list[Effect] = []
        for witness in self.lease.list_witnesses():
            member = self.view.find_member(witness)
            if member is None:
                continue
            self._sequence += 1
            self._sent_at[self._sequence] = now
            renew = Renew(self.ref, self._sequence, self.view.offset)
            effects.append(Send(member.peer_address, renew))
        self._forget_old_sequences(now)
        return effects

    def _forget_old_sequences(self, now: float) -> None:
        for sequence, sent_at in list(self._sent_at.items()):
            if sent_at + self.terms.term < now:
                del self._sent_at[sequence]

    def _receive_granted(self, message: Granted, reply_address: str) -> list[Effect]:
        sent_at = self._sent_at.pop(message.sequence, None)
        if self.lease is not None and message.holder == self.ref and sent_at is not None:
            self.lease.record_grant(message.witness, sent_at)
        if message.applied > self.view.offset:
            return [Send(reply_address, RecordsAsked(self.view.offset))]
        return []

    # The witness's side.

    def _receive_renew(self, message: Renew, reply_address: str, now: float) -> list[Effect]:
        if self.ref is None or self._knows_gone(message.holder):
            return []
        effects: list[Effect] = []
        if message.applied > self.view.offset:
            effects.append(Send(reply_address, RecordsAsked(self.view.offset)))
        if self.book.renew(message.holder, message.applied, now):
            granted = Granted(self.ref, message.holder, message.sequence, self.view.offset)
            effects.append(Send(reply_address, granted))
        return effects

    def _knows_gone(self, ref: MemberRef) -> bool:
        """Return whether the view has seen this incarnation come and go."""
        return ref.incarnation < self.view.offset and self.view.find_member(ref) is None

    def _vote_on_lapsed(self, now: float) -> list[Effect]:
        """Vote for the loss of holders that stopped asking, unless the log cannot record it."""
        if self.ref is None or now - self.log_read_at > LOG_FRESHNESS_S:
            return []
        effects: list[Effect] = []
        for holder in list(self.book.promises):
            member = self.view.find_member(holder)
            if member is None or not self.book.has_lapsed(holder, now):
                continue
            version = member.witnesses_version
            if self.ref not in member.witnesses:
                continue
            self.book.vote(holder)
            self._votes[(holder, version)].setdefault(self.ref, now)
            for witness in member.witnesses:
                other = self.view.find_member(witness)
                if other is not None and witness != self.ref:
                    effects.append(Send(other.peer_address, Voted(self.ref, holder, version)))
        return effects

    def _propose_losses(self, now: float) -> list[Effect]:
        """Write the loss of members whose witnesses voted; the first witness writes first."""
        effects: list[Effect] = []
        for (holder, version), votes in self._votes.items():
            member = self.view.find_member(holder)
            if member is None or member.witnesses_version != version or self.ref is None:
                continue
            voters = tuple(w for w in member.witnesses if w in votes)
            if not is_majority(len(voters), len(member.witnesses)) or self.ref not in voters:
                continue
            due = max(votes.values()) + VOTE_RANK_DELAY_S * voters.index(self.ref)
            if now >= due and self._may_append(f"lost {holder}", now):
                lost = MemberLost(make_record_id(), holder, version, voters)
                effects.append(Append((lost,)))
        return effects

    # Records about this daemon.

    def _announce_backends(self, now: float) -> list[Effect]:
        if self.ref is None or self.leaving:
            return []
        known = {backend.name for backend in self.view.list_backends(self.ref)}
        records: list[Record] = []
        for name, backend in self.backends.items():
            if name not in known and self._may_append(f"announce {name}", now):
                records.append(BackendAnnounced(make_record_id(), self.ref, backend))
        for name in known:
            if name not in self.backends and self._may_append(f"withdraw {name}", now):
                records.append(BackendWithdrawn(make_record_id(), self.ref, name))
        return [Append(tuple(records))] if records else []

    def _improve_witnesses(self, now: float) -> list[Effect]:
        """Replace witnesses that are gone, and fill up a set that is too small.

        The new witnesses promise first; only then is the change written, and from that moment the
        lease needs a majority of both sets until the log has decided.
        """
        if self.ref is None or self.lease is None or self.left:
            return []
        if self._proposal is not None:
            return self._write_proposal(now)
        member = self.view.find_member(self.ref)
        if member is None:
            return []
        wanted = self._choose_new_witnesses(member)
        if wanted is None:
            self.lease.prospective = None
            return []
        prospective = self.lease.prospective
        if prospective is None or prospective.witnesses != wanted:
            self.lease.prospective = WitnessSet(PROPOSED_VERSION, wanted)
            return []
        if prospective.compute_deadline() < now + self.terms.renew_every:
            return []
        self.lease.sets.append(prospective)
        self.lease.prospective = None
        self._proposal = self._make_witnesses_changed(member, wanted)
        return self._write_proposal(now)

    def _make_witnesses_changed(
        self, member: Member, witnesses: tuple[MemberRef, ...]
    ) -> WitnessesChanged:
        successor = choose_successor(
            member.ref.daemon, member.failure_domain, self._list_others(member)
        )
        return WitnessesChanged(
            make_record_id(), member.ref, member.witnesses_version, witnesses, successor
        )

    def _write_proposal(self, now: float) -> list[Effect]:
        """Write the change of witnesses, again until the log shows it."""
        if self._proposal is None or not self._may_append("witnesses", now):
            return []
        return [Append((self._proposal,))]

    def _choose_new_witnesses(self, member: Member) -> tuple[MemberRef, ...] | None:
        """Return better witnesses, or None if the present ones will do."""
        present = [w for w in member.witnesses if self.view.find_member(w) is not None]
        if len(present) >= WITNESSES:
            return None
        others = self._list_others(member)
        wanted = choose_witnesses(member.ref.daemon, member.failure_domain, others)
        if len(present) == len(member.witnesses) and len(wanted) <= len(present):
            return None
        return wanted

    def _list_others(self, member: Member) -> list[Member]:
        return [
            other
            for other in self.view.members.values()
            if other.ref != member.ref and not other.leaving
        ]

    # Handover of slices.

    def _ask_releases(self, now: float) -> list[Effect]:
        if self.ref is None or now < self._asked_at + RELEASE_RETRY_S:
            return []
        wanted: dict[tuple[MemberRef, str, int], list[int]] = defaultdict(list)
        for ref, missing in self.unreleased.items():
            for handover in missing:
                wanted[(handover.member, ref.service, handover.lost_at)].append(ref.index)
        if wanted:
            self._asked_at = now
        effects: list[Effect] = []
        for (holder, service, lost_at), slices in wanted.items():
            member_state = self.view.find_member(holder)
            if member_state is not None:
                ask = ReleaseAsked(self.ref, service, tuple(slices), lost_at)
                effects.append(Send(member_state.peer_address, ask))
        return effects

    def _receive_release_asked(self, message: ReleaseAsked, address: str) -> list[Effect]:
        for ask in self._open_asks:
            if (ask.asker, ask.service, ask.lost_at) == (
                message.asker,
                message.service,
                message.lost_at,
            ):
                ask.slices |= set(message.slices)
                break
        else:
            ask = _OpenAsk(
                message.asker, address, message.service, set(message.slices), message.lost_at
            )
            self._open_asks.append(ask)
        return self._answer_asks()

    def _answer_asks(self) -> list[Effect]:
        """Release the slices that this daemon has lost and that have no work in flight."""
        if self.ref is None:
            return []
        effects: list[Effect] = []
        for ask in list(self._open_asks):
            if self.view.offset <= ask.lost_at:
                continue
            ready = {i for i in ask.slices if not self.is_busy(SliceRef(ask.service, i))}
            if ready:
                kept = [
                    entry
                    for index in sorted(ready)
                    for entry in self.collect_kept(SliceRef(ask.service, index))
                ]
                released = Released(
                    self.ref, ask.service, tuple(sorted(ready)), ask.lost_at, tuple(kept)
                )
                effects.append(Send(ask.address, released))
                ask.slices -= ready
                for index in ready:
                    self._note_given(SliceRef(ask.service, index), ask.lost_at)
            if not ask.slices:
                self._open_asks.remove(ask)
        return effects

    def _note_given(self, ref: SliceRef, lost_at: int) -> None:
        """Note a release; releases of earlier losses may be asked for after later ones."""
        self._given[ref] = max(lost_at, self._given.get(ref, -1))

    def _receive_released(self, message: Released) -> None:
        for index in message.slices:
            ref = SliceRef(message.service, index)
            missing = self.unreleased.get(ref, set())
            done = {h for h in missing if h.member == message.member}
            done = {h for h in done if h.lost_at <= message.lost_at}
            missing -= done
            if not missing:
                self.unreleased.pop(ref, None)
            self._released.setdefault(ref, set()).update(done)

    def _may_append(self, what: str, now: float) -> bool:
        """Return whether a kind of record may be written now, and note that it was."""
        if now < self._append_at.get(what, 0.0):
            return False
        self._append_at[what] = now + APPEND_RETRY_S
        return True
