"""The view: the state that all daemons agree on, folded from the log.

``fold`` is deterministic: daemons that have folded the same records have equal views. A view's
``offset`` is the offset of the next record to fold.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

import attrs
import numpy as np
from numpy.typing import NDArray

from persimmondock._domain.backend_index import BackendIndex, make_empty_index
from persimmondock._domain.configuration import (
    FLEET_SUBJECT,
    SERVICE_PREFIX,
    ConfigurationError,
    FleetConfiguration,
    ServiceConfiguration,
    parse_subject,
)
from persimmondock._domain.placement import NO_OWNER, plan_moves
from persimmondock._domain.records import (
    Backend,
    BackendAnnounced,
    BackendWithdrawn,
    ConfigurationPublished,
    HandoversSettled,
    MemberJoined,
    MemberLeaving,
    MemberLeft,
    MemberLost,
    MemberRef,
    Record,
    SnapshotTaken,
    SubjectChange,
    UnreadableRecord,
    WitnessesChanged,
)

MAX_PUBLICATIONS = 4096
NEWER_VERSION = "newer version in force"


@attrs.frozen
class Member:
    """One incarnation of a daemon in the view.

    Parameters
    ----------
    record_id
        Identifier of the record by which it joined.
    witnesses_version
        Offset of the record that named ``witnesses`` and ``successor``.
    """

    ref: MemberRef
    record_id: str
    failure_domain: str
    peer_address: str
    data_address: str
    caller_address: str
    operator_address: str
    witnesses: tuple[MemberRef, ...]
    successor: MemberRef | None
    witnesses_version: int
    leaving: bool = False


@attrs.frozen
class PlacedBackend:
    """A backend server and the member that serves through it.

    Parameters
    ----------
    code
        Number of the backend server within its service.
    """

    code: int
    member: MemberRef
    backend: Backend


@attrs.frozen
class Handover:
    """A former owner of a slice that may not have released it yet.

    Parameters
    ----------
    lost_at
        Offset of the record by which the member lost the slice. The member may serve the slice
        until it has folded that record.
    """

    member: MemberRef
    lost_at: int


class FoldBatch:
    """Identity of a batch of folds, which may change in place the data that it has copied."""


@attrs.frozen(eq=False)
class ServiceState:
    """One service: its backend servers and the owner of each slice.

    Parameters
    ----------
    slices
        Number of slices, or 0 until the service is configured for the first time.
    backends
        Backend servers by code.
    next_code
        Code of the next backend server that is added.
    owners
        Code of the owner of each slice, or ``NO_OWNER``.
    tokens
        Fencing token of each slice: offset of the record that gave it to its owner.
    floors
        For each slice, offset of the last record that removed its owner or a former owner whose
        kept answers the present owner may lack; -1 if there was none. Request identifiers not
        known to be issued after it are refused, because the removed member may have run them.
    handovers
        For slices that moved, the members that may not have released them yet.
    index
        Index derived from the other fields.
    edit
        Batch of folds that may change this object's contents in place.
    """

    slices: int
    backends: dict[int, PlacedBackend]
    next_code: int
    owners: NDArray[np.int32]
    tokens: NDArray[np.int64]
    floors: NDArray[np.int64]
    handovers: dict[int, tuple[Handover, ...]]
    index: BackendIndex | None = None
    edit: FoldBatch | None = None


@attrs.frozen
class SubjectVersion:
    """The accepted version of one configuration subject.

    Parameters
    ----------
    body
        The version as YAML, or empty if the subject was removed.
    """

    offset: int
    body: str
    record_id: str
    author: str


@attrs.frozen
class Rejection:
    """A rejected configuration change.

    Parameters
    ----------
    subject, reason
        Subject that caused the rejection, and why.
    offset, author
        Offset of the subject's version in force, or -1, and the author of that version. The
        author is given only if the change was based on another version.
    """

    subject: str
    reason: str
    offset: int
    author: str = ""


@attrs.frozen
class Accepted:
    """An accepted configuration change, in force since an offset."""

    offset: int


@attrs.frozen(eq=False)
class View:
    """The agreed state after all records before ``offset``.

    Parameters
    ----------
    subjects
        Accepted version of each configuration subject.
    publications
        Outcomes of the newest ``MAX_PUBLICATIONS`` configuration changes, by record identifier.
    settled_before
        Largest ``before`` of the `HandoversSettled` records that took effect, or 0.
    snapshot_covers
        Offset of the newest view with a complete snapshot in the log.
    snapshot_parts
        Numbers of the parts seen of incomplete snapshots, by digest.
    edit, members_edit
        Batch of folds in progress, and the batch that copied ``members``.
    """

    offset: int = 0
    members: dict[str, Member] = attrs.field(factory=dict)
    services: Mapping[str, ServiceState] = attrs.field(factory=dict)
    configurations: Mapping[str, ServiceConfiguration] = attrs.field(factory=dict)
    fleet: FleetConfiguration = attrs.field(factory=FleetConfiguration)
    subjects: Mapping[str, SubjectVersion] = attrs.field(factory=dict)
    publications: Mapping[str, Accepted | Rejection] = attrs.field(factory=dict)
    settled_before: int = 0
    snapshot_covers: int = 0
    snapshot_parts: Mapping[str, tuple[int, ...]] = attrs.field(factory=dict)
    edit: FoldBatch | None = None
    members_edit: FoldBatch | None = None

    def has_departed(self, ref: MemberRef) -> bool:
        """Return whether the view covers this incarnation's join and no longer contains it."""
        return ref.incarnation < self.offset and self.find_member(ref) is None

    def find_member(self, ref: MemberRef) -> Member | None:
        """Return the member if exactly this incarnation is present, or None."""
        member = self.members.get(ref.daemon)
        return member if member is not None and member.ref == ref else None

    def list_backends(self, ref: MemberRef) -> list[Backend]:
        """Return the backend servers that a member serves through."""
        return [
            state.backends[code].backend
            for state in self.services.values()
            for code in _get_index(self, state).codes_of.get(ref, ())
        ]


def begin_batch(view: View) -> View:
    """Return a view for a batch of folds, of which only the last result may be kept.

    The batch copies each large part of the view once instead of once per record.
    """
    return attrs.evolve(view, edit=FoldBatch())


def end_batch(view: View) -> View:
    """Return the result of a batch of folds, which no later fold changes."""
    return attrs.evolve(view, edit=None)


def fold(view: View, offset: int, record: Record) -> View:
    """Return the view after one more record.

    A record that does not apply, because it lost a race or repeats another, changes only the
    offset. The given view is not changed unless it is part of a batch of folds.

    Raises
    ------
    ValueError
        If records are missing between the view and this one.
    """
    if offset < view.offset:
        return view
    if offset > view.offset:
        raise ValueError(f"record {offset} does not follow a view up to {view.offset}")
    if view.edit is None:
        return end_batch(_fold(begin_batch(view), offset, record))
    return _fold(view, offset, record)


def _fold(view: View, offset: int, record: Record) -> View:
    view = attrs.evolve(view, offset=offset + 1)
    match record:
        case MemberJoined():
            return _fold_joined(view, offset, record)
        case WitnessesChanged():
            return _fold_witnesses(view, offset, record)
        case MemberLeaving(member=ref):
            return _fold_leaving(view, offset, ref)
        case MemberLeft(member=ref, applied=applied):
            return _remove_member(view, offset, ref, applied)
        case MemberLost():
            return _fold_lost(view, offset, record)
        case BackendAnnounced():
            return _fold_announced(view, offset, record)
        case BackendWithdrawn():
            return _fold_withdrawn(view, offset, record)
        case ConfigurationPublished():
            return _fold_published(view, offset, record)
        case HandoversSettled(before=before):
            return _settle_handovers(view, before)
        case SnapshotTaken():
            return _fold_snapshot(view, record)
        case UnreadableRecord():
            return view


def _fold_joined(view: View, offset: int, record: MemberJoined) -> View:
    present = view.members.get(record.daemon)
    if present is not None:
        if present.witnesses or present.ref != record.replaces:
            return view
        view = _remove_member(view, offset, present.ref)
    member = Member(
        ref=MemberRef(record.daemon, offset),
        record_id=record.record_id,
        failure_domain=record.failure_domain,
        peer_address=record.peer_address,
        data_address=record.data_address,
        caller_address=record.caller_address,
        operator_address=record.operator_address,
        witnesses=tuple(_intern_ref(view, witness) for witness in record.witnesses),
        successor=_intern_ref(view, record.successor) if record.successor else None,
        witnesses_version=offset,
    )
    if any(view.find_member(witness) is None for witness in record.witnesses):
        return view
    return _with_member(view, member)


def _fold_witnesses(view: View, offset: int, record: WitnessesChanged) -> View:
    member = view.find_member(record.member)
    if member is None or member.witnesses_version != record.version:
        return view
    if any(view.find_member(witness) is None for witness in record.witnesses):
        return view
    changed = attrs.evolve(
        member,
        witnesses=tuple(_intern_ref(view, witness) for witness in record.witnesses),
        successor=_intern_ref(view, record.successor) if record.successor else None,
        witnesses_version=offset,
    )
    return _with_member(view, changed)


def _fold_leaving(view: View, offset: int, ref: MemberRef) -> View:
    member = view.find_member(ref)
    if member is None or member.leaving:
        return view
    view = _with_member(view, attrs.evolve(member, leaving=True))
    for name in _list_services(view, ref):
        view, state = _copy_service_on_write(view, name)
        index = _get_index(view, state)
        index.exclude(index.codes_of[ref])
        view = _reassign_slices(view, offset, name)
    return view


def _fold_lost(view: View, offset: int, record: MemberLost) -> View:
    member = view.find_member(record.member)
    if member is None or member.witnesses_version != record.version:
        return view
    voters = set(record.voters) & set(member.witnesses)
    if 2 * len(voters) <= len(member.witnesses):
        return view
    return _remove_member(view, offset, record.member)


def _fold_announced(view: View, offset: int, record: BackendAnnounced) -> View:
    backend = record.backend
    if view.find_member(record.member) is None:
        return view
    if backend.service not in view.services:
        view = _with_service(view, backend.service, _make_service(backend.service, view))
    if backend.name in _get_index(view, view.services[backend.service]).code_of:
        return view
    view, state = _copy_service_on_write(view, backend.service)
    placed = PlacedBackend(state.next_code, _intern_ref(view, record.member), backend)
    state.backends[placed.code] = placed
    index = _get_index(view, state)
    index.add(placed.code, record.member, backend, is_eligible(view, placed))
    view = _with_service(view, backend.service, attrs.evolve(state, next_code=placed.code + 1))
    return _reassign_slices(view, offset, backend.service)


def _fold_withdrawn(view: View, offset: int, record: BackendWithdrawn) -> View:
    for name, state in view.services.items():
        code = _get_index(view, state).code_of.get(record.backend)
        if code is not None and state.backends[code].member == record.member:
            return _remove_backends(view, offset, name, {code}, lost=False)
    return view


def _remove_member(view: View, offset: int, ref: MemberRef, transferred_before: int = -1) -> View:
    """Remove a member and reassign its slices, which get new floors.

    Slices with a handover from the member get a new floor too, unless their present owner has
    owned them since before ``transferred_before`` and so has received the member's kept answers.
    """
    if view.find_member(ref) is None:
        return view
    view = _copy_members_on_write(view)
    del view.members[ref.daemon]
    for name in list(view.services):
        view = _drop_handovers(view, offset, name, ref, transferred_before)
    for name in _list_services(view, ref):
        codes = set(_get_index(view, view.services[name]).codes_of[ref])
        view = _remove_backends(view, offset, name, codes, lost=True)
    return view


def _remove_backends(view: View, offset: int, name: str, codes: set[int], lost: bool) -> View:
    """Remove backend servers from a service and reassign their slices."""
    view, state = _copy_service_on_write(view, name)
    index = _get_index(view, state)
    index.exclude(codes)
    view = _reassign_slices(view, offset, name, lost=codes if lost else set())
    for code in codes:
        placed = state.backends.pop(code)
        index.remove(code, placed.member, placed.backend)
    return view


def _drop_handovers(
    view: View, offset: int, name: str, ref: MemberRef, transferred_before: int
) -> View:
    """Drop the handovers from a removed member.

    A slice whose present owner may not have received that member's kept answers gets a new floor.
    """
    state = view.services[name]
    affected = [
        index
        for index, slice_handovers in state.handovers.items()
        if any(handover.member == ref for handover in slice_handovers)
    ]
    if not affected:
        return view
    view, state = _copy_service_on_write(view, name)
    transferred = (state.owners != NO_OWNER) & (state.tokens < transferred_before)
    state.floors[[index for index in affected if not transferred[index]]] = offset
    for index in affected:
        remaining = tuple(
            handover for handover in state.handovers.pop(index) if handover.member != ref
        )
        if remaining:
            state.handovers[index] = remaining
    return view


def _settle_handovers(view: View, before: int) -> View:
    if before <= view.settled_before or before > view.offset:
        return view
    for name, state in view.services.items():
        settled = {index for index, _ in list_handovers_before(state, before)}
        if settled:
            handovers = {
                i: slice_handovers
                for i, slice_handovers in state.handovers.items()
                if i not in settled
            }
            view = _with_service(view, name, attrs.evolve(state, handovers=handovers))
    return attrs.evolve(view, settled_before=before)


def _fold_snapshot(view: View, record: SnapshotTaken) -> View:
    """Record the parts of a snapshot; the view already includes what it covers."""
    if not view.snapshot_covers < record.covers <= view.offset:
        return view
    seen = {*view.snapshot_parts.get(record.digest, ()), record.part}
    if len(seen) == record.parts:
        return attrs.evolve(view, snapshot_covers=record.covers, snapshot_parts={})
    parts = {**view.snapshot_parts, record.digest: tuple(sorted(seen))}
    return attrs.evolve(view, snapshot_parts=parts)


def list_handovers_before(
    state: ServiceState, before: int
) -> list[tuple[int, tuple[Handover, ...]]]:
    """Return the handovers of slices whose present owner has owned them since before an offset."""
    return [
        (index, slice_handovers)
        for index, slice_handovers in state.handovers.items()
        if state.tokens[index] < before and state.owners[index] != NO_OWNER
    ]


def _fold_published(view: View, offset: int, record: ConfigurationPublished) -> View:
    if record.record_id in view.publications:
        return view
    outcome = _validate_publication(view, offset, record)
    publications = {**view.publications, record.record_id: outcome}
    while len(publications) > MAX_PUBLICATIONS:
        del publications[next(iter(publications))]
    view = attrs.evolve(view, publications=publications)
    if isinstance(outcome, Rejection):
        return view
    for change in record.changes:
        view = _apply_change(view, offset, record, change)
    for name in _list_changed_services(view, record):
        view = _reassign_slices(view, offset, name)
    return view


def _list_changed_services(view: View, record: ConfigurationPublished) -> list[str]:
    """Return the services whose placement a change may alter."""
    subjects = {change.subject for change in record.changes}
    if FLEET_SUBJECT in subjects:
        return list(view.services)
    return [name for name in view.services if SERVICE_PREFIX + name in subjects]


def _validate_publication(
    view: View, offset: int, record: ConfigurationPublished
) -> Accepted | Rejection:
    paths = {name: item.path for name, item in view.configurations.items()}
    for change in record.changes:
        present = view.subjects.get(change.subject)
        present_offset = -1 if present is None else present.offset
        if change.base != present_offset:
            author = "" if present is None else present.author
            return Rejection(change.subject, NEWER_VERSION, present_offset, author)
        try:
            _check_change(view, change, paths)
        except ConfigurationError as error:
            return Rejection(change.subject, str(error), present_offset)
    return Accepted(offset)


def _check_change(view: View, change: SubjectChange, paths: dict[str, str]) -> None:
    """Validate one change and update ``paths``, the request path of each service by name.

    Raises
    ------
    ConfigurationError
        If the change is not valid.
    """
    if change.subject == FLEET_SUBJECT:
        parse_subject(change.body or "{}", FleetConfiguration)
        return
    if not change.subject.startswith(SERVICE_PREFIX):
        raise ConfigurationError(f"unknown subject {change.subject!r}")
    name = change.subject.removeprefix(SERVICE_PREFIX)
    paths.pop(name, None)
    if change.body is None:
        return
    parsed = parse_subject(change.body, ServiceConfiguration)
    if parsed.name != name:
        raise ConfigurationError(f"name {parsed.name!r} differs from subject {change.subject!r}")
    if parsed.path in paths.values():
        raise ConfigurationError(f"path {parsed.path!r} belongs to another service")
    state = view.services.get(name)
    if state is not None and state.slices not in (0, parsed.slices):
        raise ConfigurationError(f"slices of {name!r} stay {state.slices}, not {parsed.slices}")
    paths[name] = parsed.path


def _apply_change(
    view: View, offset: int, record: ConfigurationPublished, change: SubjectChange
) -> View:
    subjects = dict(view.subjects)
    subjects[change.subject] = SubjectVersion(
        offset, change.body or "", record.record_id, record.author
    )
    view = attrs.evolve(view, subjects=subjects)
    if change.subject == FLEET_SUBJECT:
        view = attrs.evolve(view, fleet=parse_subject(change.body or "{}", FleetConfiguration))
        return _recompute_shares(view)
    name = change.subject.removeprefix(SERVICE_PREFIX)
    configurations = dict(view.configurations)
    configurations.pop(name, None)
    if change.body is None:
        return attrs.evolve(view, configurations=configurations)
    configurations[name] = parse_subject(change.body, ServiceConfiguration)
    view = attrs.evolve(view, configurations=configurations)
    state = view.services.get(name)
    if state is not None and state.slices:
        return view
    new_state = _make_service(name, view)
    if state is not None:
        new_state = attrs.evolve(
            new_state, backends=dict(state.backends), next_code=state.next_code
        )
        new_state = attrs.evolve(new_state, index=build_index(view, new_state))
    return _with_service(view, name, new_state)


def _make_service(name: str, view: View) -> ServiceState:
    configuration = view.configurations.get(name)
    slices = configuration.slices if configuration else 0
    return ServiceState(
        slices=slices,
        backends={},
        next_code=0,
        owners=np.full(slices, NO_OWNER, dtype=np.int32),
        tokens=np.full(slices, -1, dtype=np.int64),
        floors=np.full(slices, -1, dtype=np.int64),
        handovers={},
    )


def _recompute_shares(view: View) -> View:
    """Recompute which backend servers of each service may own slices."""
    for name in list(view.services):
        view, state = _copy_service_on_write(view, name)
        _get_index(view, state).set_shares(_compute_shares(view, state))
    return view


def _compute_shares(view: View, state: ServiceState) -> dict[int, int]:
    """Return the slots of each backend server that may own slices, by code."""
    return {
        code: placed.backend.slots
        for code, placed in state.backends.items()
        if is_eligible(view, placed)
    }


def build_index(view: View, state: ServiceState) -> BackendIndex:
    """Return the index of a service, derived from the rest of the view."""
    index = make_empty_index(state.owners, state.next_code)
    for code, placed in sorted(state.backends.items()):
        index.add(code, placed.member, placed.backend, eligible=False)
    index.set_shares(_compute_shares(view, state))
    return index


def rebuild_indexes(view: View) -> View:
    """Return a decoded view with the indexes of all services."""
    services = {
        name: attrs.evolve(state, index=build_index(view, state))
        for name, state in view.services.items()
    }
    return attrs.evolve(view, services=services)


def _intern_ref(view: View, ref: MemberRef) -> MemberRef:
    """Return the view's own object for an equal reference, or the given one."""
    member = view.find_member(ref)
    return ref if member is None else member.ref


def _get_index(view: View, state: ServiceState) -> BackendIndex:
    return state.index or build_index(view, state)


def _copy_service_on_write(view: View, name: str) -> tuple[View, ServiceState]:
    """Return a service that this batch of folds may change in place, copied if necessary."""
    state = view.services[name]
    if state.edit is view.edit:
        return view, state
    state = attrs.evolve(
        state,
        backends=dict(state.backends),
        owners=state.owners.copy(),
        tokens=state.tokens.copy(),
        floors=state.floors.copy(),
        handovers=dict(state.handovers),
        index=state.index.copy() if state.index else build_index(view, state),
        edit=view.edit,
    )
    return _with_service(view, name, state), state


def _copy_members_on_write(view: View) -> View:
    """Return a view whose members this batch of folds may change, copied if necessary."""
    if view.members_edit is view.edit:
        return view
    return attrs.evolve(view, members=dict(view.members), members_edit=view.edit)


def _reassign_slices(
    view: View, offset: int, name: str, lost: Collection[int] = frozenset()
) -> View:
    """Reassign the slices of a service to the backend servers that may own them.

    Members that lose a slice are added to its handovers. Slices of the ``lost`` backend servers,
    which no longer have a share, get a new floor.
    """
    state = view.services[name]
    index = _get_index(view, state)
    codes = index.codes if name in view.configurations else index.codes[:0]
    moves = plan_moves(state.owners, codes, index.weights[: len(codes)], index.counts)
    if not len(moves.slices):
        return view
    view, state = _copy_service_on_write(view, name)
    previous = state.owners[moves.slices]
    state.owners[moves.slices] = moves.targets
    state.tokens[moves.slices] = offset
    if lost:
        state.floors[moves.slices[np.isin(previous, list(lost))]] = offset
    _get_index(view, state).move(previous, moves.targets)
    _add_handovers(view, offset, state, moves.slices, previous)
    return view


def _add_handovers(
    view: View,
    offset: int,
    state: ServiceState,
    slices: NDArray[np.int64],
    previous: NDArray[np.int32],
) -> None:
    """Record the previous owners that may still serve slices that moved."""
    handovers = {}
    for code in np.unique(previous).tolist():
        placed = state.backends.get(code)
        if placed is not None and view.find_member(placed.member) is not None:
            handovers[code] = Handover(placed.member, offset)
    if not handovers:
        return
    for index, code in zip(slices.tolist(), previous.tolist(), strict=True):
        if code in handovers:
            state.handovers[index] = (*state.handovers.get(index, ()), handovers[code])


def is_eligible(view: View, placed: PlacedBackend) -> bool:
    """Return whether a backend server may be assigned slices and new requests."""
    member = view.find_member(placed.member)
    return (
        member is not None
        and not member.leaving
        and member.failure_domain not in view.fleet.failure_domains_out
        and placed.backend.name not in view.fleet.draining
    )


def _list_services(view: View, ref: MemberRef) -> list[str]:
    return [
        name for name, state in view.services.items() if ref in _get_index(view, state).codes_of
    ]


def _with_member(view: View, member: Member) -> View:
    view = _copy_members_on_write(view)
    view.members[member.ref.daemon] = member
    return view


def _with_service(view: View, name: str, state: ServiceState) -> View:
    return attrs.evolve(view, services={**view.services, name: state})
