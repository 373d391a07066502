"""Tests of a member that leaves after its slices moved away, back and away again."""

from __future__ import annotations

import pytest

from persimmondock._domain.effects import Append
from persimmondock._domain.leases import LeaseTiming
from persimmondock._domain.membership import Identity, Membership
from persimmondock._domain.messages import ReleaseAsked, ReleaseReceived
from persimmondock._domain.records import (
    ConfigurationPublished,
    MemberLeaving,
    MemberLeft,
    MemberRef,
    SubjectChange,
)
from persimmondock.tests.builders import fold_all, make_view


@pytest.mark.parametrize("order", [(0, 1), (1, 0)])
def test_leaves_whatever_the_order_of_releases(order):
    """The member leaves once the owners have both releases of a slice, in either order."""
    view = make_view(3, slices=6)
    member = view.members["vm-2"]
    losses = []
    for record in [
        make_fleet_change(view.offset, "{draining: [backend-2]}", -1),
        make_fleet_change(view.offset + 1, "{}", view.offset),
        MemberLeaving("leaving", member.ref),
    ]:
        losses.append(view.offset)
        view = fold_all([record], view)
    identity = Identity("vm-2", "salvador", "a:1", "a:2", "a:3", "a:4")
    leaver = Membership(identity, LeaseTiming(), lambda ref: False, lambda ref: ())
    leaver.view, leaver.ref, leaver.leaving = view, member.ref, True
    state = view.services["painel"]
    slices = tuple(
        index
        for index, slice_handovers in state.handovers.items()
        if [h.lost_at for h in slice_handovers if h.member == member.ref] == [losses[0], losses[2]]
    )
    assert slices
    assert not list_left(leaver, 1.0)
    for position, lost_at in enumerate([losses[0], losses[2]][step] for step in order):
        for index in slices:
            owner = state.backends[int(state.owners[index])].member
            request = ReleaseAsked(owner, "painel", (index,), lost_at)
            leaver.receive(request, "a:9", 2.0 + position)
    for index in set(state.handovers) - set(slices):
        owner = state.backends[int(state.owners[index])].member
        leaver.receive(ReleaseReceived(owner, "painel", (index,), view.offset), "a:9", 4.0)
    assert not list_left(leaver, 5.0)
    for lost_at in [[losses[0], losses[2]][step] for step in order]:
        for index in slices:
            owner = state.backends[int(state.owners[index])].member
            leaver.receive(ReleaseReceived(owner, "painel", (index,), lost_at), "a:9", 6.0)
    assert list_left(leaver, 10.0) == [member.ref]


def make_fleet_change(offset: int, body: str, base: int) -> ConfigurationPublished:
    """Return a change of the fleet's configuration."""
    return ConfigurationPublished(f"change-{offset}", "test", (SubjectChange("fleet", base, body),))


def list_left(membership: Membership, now: float) -> list[MemberRef]:
    """Return the members whose last record the membership writes."""
    return [
        record.member
        for effect in membership.advance(now)
        if isinstance(effect, Append)
        for record in effect.records
        if isinstance(record, MemberLeft)
    ]
