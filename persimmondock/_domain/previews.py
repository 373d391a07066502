"""Preview of a configuration change, computed on a copy of the view."""

from __future__ import annotations

import difflib
from typing import TYPE_CHECKING

import attrs

from persimmondock._domain.placement import NO_OWNER
from persimmondock._domain.records import ConfigurationPublished, make_record_id
from persimmondock._domain.view import Rejection, fold

if TYPE_CHECKING:
    from persimmondock._domain.configuration import FleetConfiguration
    from persimmondock._domain.records import SubjectChange
    from persimmondock._domain.view import ServiceState, View


@attrs.frozen
class ServiceMoves:
    """Slices of one service that would change owners.

    Parameters
    ----------
    moved
        Slices that would move from one owner to another.
    first
        Slices without an owner that would get one.
    last
        Slices that would lose their owner and get no other.
    """

    service: str
    slices: int
    moved: tuple[int, ...]
    first: tuple[int, ...]
    last: tuple[int, ...]


@attrs.frozen
class Preview:
    """Effects of a configuration change."""

    differences: tuple[str, ...]
    moves: tuple[ServiceMoves, ...]
    rejection: Rejection | None


def preview_changes(view: View, changes: tuple[SubjectChange, ...]) -> Preview:
    """Apply changes to a copy of the view and compare it with the original."""
    record = ConfigurationPublished(make_record_id(), "preview", changes)
    after = fold(view, view.offset, record)
    outcome = after.publications[record.record_id]
    rejection = outcome if isinstance(outcome, Rejection) else None
    differences = [line for change in changes for line in _list_differences(view, change)]
    names = sorted(set(view.services) | set(after.services))
    moves = [
        _compare_owners(name, view.services.get(name), after.services.get(name)) for name in names
    ]
    changed = tuple(move for move in moves if move.moved or move.first or move.last)
    return Preview(tuple(differences), changed, rejection)


def _list_differences(view: View, change: SubjectChange) -> list[str]:
    present = view.subjects.get(change.subject)
    old = present.body.splitlines() if present else []
    new = (change.body or "").splitlines()
    return list(difflib.unified_diff(old, new, change.subject, change.subject, "", "", 1, ""))


def _compare_owners(
    name: str, before: ServiceState | None, after: ServiceState | None
) -> ServiceMoves:
    old = [] if before is None else before.owners.tolist()
    new = [] if after is None else after.owners.tolist()
    slices = max(len(old), len(new))
    old += [NO_OWNER] * (slices - len(old))
    new += [NO_OWNER] * (slices - len(new))
    pairs = [(index, a, b) for index, (a, b) in enumerate(zip(old, new, strict=True)) if a != b]
    return ServiceMoves(
        name,
        slices,
        moved=tuple(index for index, a, b in pairs if NO_OWNER not in (a, b)),
        first=tuple(index for index, a, b in pairs if a == NO_OWNER),
        last=tuple(index for index, a, b in pairs if b == NO_OWNER),
    )


def find_unknown_names(view: View, fleet: FleetConfiguration) -> list[str]:
    """Return one line for each newly named failure domain or backend server that does not exist.

    While the fleet has no members, failure domains are not checked; while it has no backend
    servers, their names are not.
    """
    domains = {member.failure_domain for member in view.members.values()}
    backends = {
        placed.backend.name for s in view.services.values() for placed in s.backends.values()
    }
    lines = []
    if domains:
        for name in sorted(set(fleet.failure_domains_out) - set(view.fleet.failure_domains_out)):
            if name not in domains:
                choices = ", ".join(sorted(domains))
                lines.append(f"failure domain {name!r} is not known; known: {choices}")
    if backends:
        for name in sorted(set(fleet.draining) - set(view.fleet.draining)):
            if name not in backends:
                choices = ", ".join(sorted(backends))
                lines.append(f"backend server {name!r} is not known; known: {choices}")
    return lines
