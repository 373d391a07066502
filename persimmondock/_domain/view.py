"""The view: what all daemons agree on, folded from the log.

``fold`` is a pure function. Daemons that have folded the same records have equal views. A view's
``offset`` is the offset of the next record to fold.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs
import numpy as np
from numpy.typing import NDArray

from persimmondock._domain.configuration import (
    FLEET_SUBJECT,
    SERVICE_PREFIX,
    ConfigurationError,
    FleetConfiguration,
    ServiceConfiguration,
    parse_subject,
)
from persimmondock._domain.placement import NO_OWNER, Share, place_slices
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

RECENT_RECORD_IDS = 4096
NEWER_VERSION = "newer version in force"


@attrs.frozen
class Member:
    """One incarnation of a daemon, as the view knows it.

    Parameters
    ----------
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
    """A backend server with its number in the service and the member in front of it."""

    code: int
    member: MemberRef
    backend: Backend


@attrs.frozen
class Handover:
    """A member that may still serve a slice until it has folded ``lost_at``."""

    member: MemberRef
    lost_at: int


@attrs.frozen(eq=False)
class ServiceState:
    """One service: its backend servers and the owner of each slice.

    Parameters
    ----------
    backends
        Backend servers by code.
    owners
        Code of the owner of each slice, or ``NO_OWNER``.
    tokens
        Fencing token of each slice: offset of the record that gave it to its owner.
    floors
        Offset of the last record by which the slice's owner was lost, or -1.
    handovers
        For slices that moved, the members that may not have released them yet.
    """

    slices: int
    backends: Mapping[int, PlacedBackend]
    next_code: int
    owners: NDArray[np.int32]
    tokens: NDArray[np.int64]
    floors: NDArray[np.int64]
    handovers: Mapping[int, tuple[Handover, ...]]


@attrs.frozen
class SubjectVersion:
    """The accepted version of one configuration subject."""

    offset: int
    body: str
    record_id: str
    author: str


@attrs.frozen
class Rejection:
    """A configuration change that lost, with the subject and the version that it lost to."""

    subject: str
    reason: str
    offset: int
    author: str = ""


@attrs.frozen
class Accepted:
    """A configuration change in force since an offset."""

    offset: int


@attrs.frozen(eq=False)
class View:
    """The agreed state after all records before ``offset``.

    Parameters
    ----------
    snapshot_covers
        Offset of the newest view of which a whole snapshot stands in the log.
    snapshot_parts
        Parts seen of snapshots that are not whole yet, by digest.
    """

    offset: int = 0
    members: Mapping[str, Member] = attrs.field(factory=dict)
    services: Mapping[str, ServiceState] = attrs.field(factory=dict)
    configurations: Mapping[str, ServiceConfiguration] = attrs.field(factory=dict)
    fleet: FleetConfiguration = attrs.field(factory=FleetConfiguration)
    subjects: Mapping[str, SubjectVersion] = attrs.field(factory=dict)
    publications: Mapping[str, Accepted | Rejection] = attrs.field(factory=dict)
    settled_before: int = 0
    snapshot_covers: int = 0
    snapshot_parts: Mapping[str, tuple[int, ...]] = attrs.field(factory=dict)

    def find_member(self, ref: MemberRef) -> Member | None:
        """Return the member of this very incarnation, or None."""
        member = self.members.get(ref.daemon)
        return member if member is not None and member.ref == ref else None


def fold(view: View, offset: int, record: Record) -> View:
    """Return the view after one more record.

    A record that does not apply, because it lost a race or repeats another, changes nothing but
    the offset.

    Raises
    ------
    ValueError
        If records are missing between the view and this one.
    """
    if offset < view.offset:
        return view
    if offset > view.offset:
        raise ValueError(f"record {offset} does not follow a view up to {view.offset}")
    view = attrs.evolve(view, offset=offset + 1)
    match record:
        case MemberJoined():
            return _fold_joined(view, offset, record)
        case WitnessesChanged():
            return _fold_witnesses(view, offset, record)
        case MemberLeaving(member=ref):
            return _fold_leaving(view, offset, ref)
        case MemberLeft(member=ref):
            return _remove_member(view, offset, ref, lost=False)
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
        if present.witnesses or present.record_id == record.record_id:
            return view
        view = _remove_member(view, offset, present.ref, lost=True)
    member = Member(
        ref=MemberRef(record.daemon, offset),
        record_id=record.record_id,
        failure_domain=record.failure_domain,
        peer_address=record.peer_address,
        data_address=record.data_address,
        caller_address=record.caller_address,
        operator_address=record.operator_address,
        witnesses=record.witnesses,
        successor=record.successor,
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
        witnesses=record.witnesses,
        successor=record.successor,
        witnesses_version=offset,
    )
    return _with_member(view, changed)


def _fold_leaving(view: View, offset: int, ref: MemberRef) -> View:
    member = view.find_member(ref)
    if member is None or member.leaving:
        return view
    view = _with_member(view, attrs.evolve(member, leaving=True))
    return _place_services(view, offset, _list_services(view, ref))


def _fold_lost(view: View, offset: int, record: MemberLost) -> View:
    member = view.find_member(record.member)
    if member is None or member.witnesses_version != record.version:
        return view
    voters = set(record.voters) & set(member.witnesses)
    if 2 * len(voters) <= len(member.witnesses):
        return view
    return _remove_member(view, offset, record.member, lost=True)


def _fold_announced(view: View, offset: int, record: BackendAnnounced) -> View:
    backend = record.backend
    if view.find_member(record.member) is None:
        return view
    state = view.services.get(backend.service) or _make_service(backend.service, view)
    if any(placed.backend.name == backend.name for placed in state.backends.values()):
        return view
    placed = PlacedBackend(state.next_code, record.member, backend)
    state = attrs.evolve(
        state,
        backends={**state.backends, placed.code: placed},
        next_code=state.next_code + 1,
    )
    view = _with_service(view, backend.service, state)
    return _place_services(view, offset, [backend.service])


def _fold_withdrawn(view: View, offset: int, record: BackendWithdrawn) -> View:
    for name, state in view.services.items():
        for code, placed in state.backends.items():
            if placed.backend.name == record.backend and placed.member == record.member:
                return _remove_backends(view, offset, name, {code}, lost=False)
    return view


def _remove_member(view: View, offset: int, ref: MemberRef, lost: bool) -> View:
    if view.find_member(ref) is None:
        return view
    members = dict(view.members)
    del members[ref.daemon]
    view = attrs.evolve(view, members=members)
    for name in list(view.services):
        view = _drop_handovers(view, offset, name, ref, lost)
    for name in _list_services(view, ref):
        state = view.services[name]
        codes = {code for code, placed in state.backends.items() if placed.member == ref}
        view = _remove_backends(view, offset, name, codes, lost)
    return view


def _remove_backends(view: View, offset: int, name: str, codes: set[int], lost: bool) -> View:
    """Place the slices of removed backend servers; the rest of the service stays."""
    state = view.services[name]
    if lost:
        floors = state.floors.copy()
        floors[np.isin(state.owners, list(codes))] = offset
        state = attrs.evolve(state, floors=floors)
        view = _with_service(view, name, state)
    view = _place_service(view, offset, name, removed=codes)
    state = view.services[name]
    backends = {code: placed for code, placed in state.backends.items() if code not in codes}
    return _with_service(view, name, attrs.evolve(state, backends=backends))


def _drop_handovers(view: View, offset: int, name: str, ref: MemberRef, lost: bool) -> View:
    """Forget a removed member as one that may still serve a slice.

    The request table of a lost one may not have reached the new owner: the slice gets a new floor.
    """
    state = view.services[name]
    affected = [
        index
        for index, held in state.handovers.items()
        if any(handover.member == ref for handover in held)
    ]
    if not affected:
        return view
    floors = state.floors.copy()
    if lost:
        floors[affected] = offset
    handovers = dict(state.handovers)
    for index in affected:
        remaining = tuple(held for held in handovers.pop(index) if held.member != ref)
        if remaining:
            handovers[index] = remaining
    state = attrs.evolve(state, handovers=handovers, floors=floors)
    return _with_service(view, name, state)


def _settle_handovers(view: View, before: int) -> View:
    if before <= view.settled_before or before > view.offset:
        return view
    for name, state in view.services.items():
        handovers = {}
        for index, held in state.handovers.items():
            remaining = tuple(handover for handover in held if handover.lost_at >= before)
            if remaining:
                handovers[index] = remaining
        view = _with_service(view, name, attrs.evolve(state, handovers=handovers))
    return attrs.evolve(view, settled_before=before)


def _fold_snapshot(view: View, record: SnapshotTaken) -> View:
    """Count the parts of a snapshot; what it covers is in the view already."""
    if not view.snapshot_covers < record.covers <= view.offset:
        return view
    seen = {*view.snapshot_parts.get(record.digest, ()), record.part}
    if len(seen) == record.parts:
        return attrs.evolve(view, snapshot_covers=record.covers, snapshot_parts={})
    parts = {**view.snapshot_parts, record.digest: tuple(sorted(seen))}
    return attrs.evolve(view, snapshot_parts=parts)


def _fold_published(view: View, offset: int, record: ConfigurationPublished) -> View:
    if record.record_id in view.publications:
        return view
    outcome = _judge_changes(view, offset, record)
    publications = {**view.publications, record.record_id: outcome}
    while len(publications) > RECENT_RECORD_IDS:
        del publications[next(iter(publications))]
    view = attrs.evolve(view, publications=publications)
    if isinstance(outcome, Rejection):
        return view
    for change in record.changes:
        view = _apply_change(view, offset, record, change)
    return _place_services(view, offset, list(view.services))


def _judge_changes(view: View, offset: int, record: ConfigurationPublished) -> Accepted | Rejection:
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
    """Check one change; ``paths`` are the request paths of all services, kept up to date."""
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
        return attrs.evolve(view, fleet=parse_subject(change.body or "{}", FleetConfiguration))
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
    fresh = _make_service(name, view)
    if state is not None:
        fresh = attrs.evolve(fresh, backends=state.backends, next_code=state.next_code)
    return _with_service(view, name, fresh)


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


def _place_services(view: View, offset: int, names: list[str]) -> View:
    for name in names:
        view = _place_service(view, offset, name, removed=set())
    return view


def _place_service(view: View, offset: int, name: str, removed: set[int]) -> View:
    """Give each slice of a service an owner; owners that lose a slice become handovers."""
    state = view.services[name]
    shares = [
        Share(code, placed.backend.slots)
        for code, placed in sorted(state.backends.items())
        if code not in removed and is_eligible(view, placed)
    ]
    if name not in view.configurations:
        shares = []
    owners = place_slices(state.owners, shares)
    moved = np.flatnonzero(owners != state.owners)
    if not len(moved):
        return view
    tokens = state.tokens.copy()
    tokens[moved] = offset
    handovers = dict(state.handovers)
    for index in moved.tolist():
        previous = state.backends.get(int(state.owners[index]))
        if previous is not None and view.find_member(previous.member) is not None:
            handover = Handover(previous.member, offset)
            handovers[index] = (*handovers.get(index, ()), handover)
    state = attrs.evolve(state, owners=owners, tokens=tokens, handovers=handovers)
    return _with_service(view, name, state)


def is_eligible(view: View, placed: PlacedBackend) -> bool:
    """Return whether a backend server may be given new work."""
    member = view.find_member(placed.member)
    return (
        member is not None
        and not member.leaving
        and member.failure_domain not in view.fleet.failure_domains_out
        and placed.backend.name not in view.fleet.draining
    )


def _list_services(view: View, ref: MemberRef) -> list[str]:
    return [
        name
        for name, state in view.services.items()
        if any(placed.member == ref for placed in state.backends.values())
    ]


def _with_member(view: View, member: Member) -> View:
    return attrs.evolve(view, members={**view.members, member.ref.daemon: member})


def _with_service(view: View, name: str, state: ServiceState) -> View:
    return attrs.evolve(view, services={**view.services, name: state})
