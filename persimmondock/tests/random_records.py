"""Random records, most of which apply to a view."""

from __future__ import annotations

import random
from collections.abc import Callable

from persimmondock._domain.configuration import (
    FLEET_SUBJECT,
    FleetConfiguration,
    ServiceConfiguration,
    render_subject,
)
from persimmondock._domain.records import (
    BackendAnnounced,
    BackendWithdrawn,
    ConfigurationPublished,
    HandoversSettled,
    MemberLeaving,
    MemberLost,
    MemberRef,
    Record,
    SnapshotTaken,
    SubjectChange,
    WitnessesChanged,
    make_record_id,
)
from persimmondock._domain.view import View
from persimmondock.tests.builders import DOMAINS, make_backend, make_joined

SLICES = {"painel": 37, "dispatch": 200, "filings": 1}
DAEMONS = 10
BACKENDS = 16


def make_random_record(source: random.Random, view: View) -> Record:
    """Return a record of a random kind."""
    kinds: dict[Callable[[random.Random, View], Record], int] = {
        _make_joined: 4,
        _make_announced: 6,
        _make_witnesses: 1,
        _make_leaving: 1,
        _make_lost: 2,
        _make_withdrawn: 1,
        _make_published: 2,
        _make_fleet_change: 1,
        _make_settled: 1,
        _make_snapshot: 1,
    }
    (make,) = source.choices(list(kinds), weights=list(kinds.values()))
    return make(source, view)


def _pick_member(source: random.Random, view: View) -> MemberRef:
    """Return a member of the view, or rarely one that never joined."""
    refs = [member.ref for member in view.members.values()]
    return source.choice(refs) if refs and source.random() < 0.95 else MemberRef("ghost", 1)


def _pick_witnesses(source: random.Random, view: View) -> tuple[MemberRef, ...]:
    refs = [member.ref for member in view.members.values()]
    return tuple(source.sample(refs, min(len(refs), source.choice([0, 1, 3]))))


def _make_joined(source: random.Random, view: View) -> Record:
    return make_joined(source.randrange(DAEMONS), _pick_witnesses(source, view))


def _make_announced(source: random.Random, view: View) -> Record:
    backend = make_backend(
        source.randrange(BACKENDS), source.choice(list(SLICES)), source.choice([1, 6, 12])
    )
    return BackendAnnounced(make_record_id(), _pick_member(source, view), backend)


def _make_witnesses(source: random.Random, view: View) -> Record:
    ref = _pick_member(source, view)
    member = view.find_member(ref)
    version = member.witnesses_version if member else 0
    witnesses = _pick_witnesses(source, view)
    return WitnessesChanged(make_record_id(), ref, version, witnesses, None)


def _make_leaving(source: random.Random, view: View) -> Record:
    return MemberLeaving(make_record_id(), _pick_member(source, view))


def _make_lost(source: random.Random, view: View) -> Record:
    ref = _pick_member(source, view)
    member = view.find_member(ref)
    if member is None:
        return MemberLost(make_record_id(), ref, 0, ())
    return MemberLost(make_record_id(), ref, member.witnesses_version, member.witnesses)


def _make_withdrawn(source: random.Random, view: View) -> Record:
    name = f"backend-{source.randrange(BACKENDS)}"
    return BackendWithdrawn(make_record_id(), _pick_member(source, view), name)


def _make_published(source: random.Random, view: View) -> Record:
    name = source.choice(list(SLICES))
    service = ServiceConfiguration(name, f"/{name}", True, SLICES[name])
    body = None if source.random() < 0.25 else render_subject(service)
    return _publish(view, f"service/{name}", body)


def _make_fleet_change(source: random.Random, view: View) -> Record:
    out = tuple(source.sample(DOMAINS, source.randrange(3)))
    names = [f"backend-{number}" for number in range(BACKENDS)]
    draining = tuple(source.sample(names, source.randrange(3)))
    return _publish(view, FLEET_SUBJECT, render_subject(FleetConfiguration(out, draining)))


def _publish(view: View, subject: str, body: str | None) -> Record:
    present = view.subjects.get(subject)
    change = SubjectChange(subject, -1 if present is None else present.offset, body)
    return ConfigurationPublished(make_record_id(), "test", (change,))


def _make_settled(source: random.Random, view: View) -> Record:
    return HandoversSettled(make_record_id(), source.randrange(view.offset + 1))


def _make_snapshot(source: random.Random, view: View) -> Record:
    covers = source.randrange(view.offset + 3)
    return SnapshotTaken(make_record_id(), covers, "digest", b"", source.randrange(2), 2)
