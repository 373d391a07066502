"""Explanation of the placement of a key and of its next owner after a loss."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from persimmondock._domain.placement import NO_OWNER
from persimmondock._domain.records import MemberLost, make_record_id
from persimmondock._domain.slices import find_slice
from persimmondock._domain.view import fold

if TYPE_CHECKING:
    from persimmondock._domain.view import PlacedBackend, ServiceState, View


@attrs.frozen
class Owner:
    """A backend server and the daemon beside it."""

    backend: str
    daemon: str
    failure_domain: str


@attrs.frozen
class Explanation:
    """Placement of a key and the state behind it.

    Parameters
    ----------
    owner
        Its owner, or None while no backend server may own it.
    since
        Offset of the record that assigned the slice to its owner; also its fencing token.
    lost_at
        Offset of the last record by which an owner of the slice was lost, or -1. Request
        identifiers issued before it are refused as ``may_have_run``.
    waiting_for
        Earlier owners whose handover the log does not show as settled yet.
    witnesses
        Daemons a majority of which must agree that the owner's daemon is lost.
    successor
        Daemon designated to take over from the owner's daemon, or empty.
    next_owner
        Owner after the loss of the present owner's daemon, or None.
    """

    service: str
    key: str
    slice: int
    slices: int
    owner: Owner | None
    since: int
    lost_at: int
    waiting_for: tuple[str, ...]
    witnesses: tuple[str, ...]
    successor: str
    next_owner: Owner | None
    view_offset: int


class UnknownServiceError(ValueError):
    """No service of that name; the message lists the known ones."""


def explain_key(view: View, service: str, key: str) -> Explanation:
    """Explain the placement of a key.

    Raises
    ------
    UnknownServiceError
        If the view has no such service with slices.
    """
    state = view.services.get(service)
    if state is None or not state.slices or service not in view.configurations:
        choices = ", ".join(sorted(view.configurations)) or "none"
        raise UnknownServiceError(f"no service {service!r}; known: {choices}")
    index = find_slice(key, state.slices)
    placed = _find_owning_backend(state, index)
    member = view.find_member(placed.member) if placed else None
    return Explanation(
        service=service,
        key=key,
        slice=index,
        slices=state.slices,
        owner=_describe_owner(view, placed),
        since=int(state.tokens[index]),
        lost_at=int(state.floors[index]),
        waiting_for=tuple(h.member.daemon for h in state.handovers.get(index, ())),
        witnesses=tuple(w.daemon for w in member.witnesses) if member else (),
        successor=member.successor.daemon if member and member.successor else "",
        next_owner=_find_next_owner(view, service, index, placed),
        view_offset=view.offset,
    )


def _find_next_owner(
    view: View, service: str, index: int, placed: PlacedBackend | None
) -> Owner | None:
    """Return the owner of a slice after the loss of its present owner's daemon."""
    member = view.find_member(placed.member) if placed else None
    if member is None:
        return None
    lost = MemberLost(make_record_id(), member.ref, member.witnesses_version, member.witnesses)
    after = fold(view, view.offset, lost)
    if after.find_member(member.ref) is not None:
        return None
    return _describe_owner(after, _find_owning_backend(after.services[service], index))


def _find_owning_backend(state: ServiceState, index: int) -> PlacedBackend | None:
    code = int(state.owners[index])
    return state.backends.get(code) if code != NO_OWNER else None


def _describe_owner(view: View, placed: PlacedBackend | None) -> Owner | None:
    if placed is None:
        return None
    member = view.find_member(placed.member)
    domain = member.failure_domain if member else ""
    return Owner(placed.backend.name, placed.member.daemon, domain)
