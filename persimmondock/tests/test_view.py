"""Tests of folding records into the view."""

from __future__ import annotations

import numpy as np
import pytest

from persimmondock._domain.configuration import FLEET_SUBJECT, FleetConfiguration, render_subject
from persimmondock._domain.records import (
    BackendWithdrawn,
    ConfigurationPublished,
    MemberLeaving,
    MemberLeft,
    MemberLost,
    SubjectChange,
    make_record_id,
)
from persimmondock._domain.view import Accepted, Rejection, View, fold
from persimmondock.tests.builders import fold_all, make_joined, make_published, make_view


def fold_loss(view, name):
    member = view.members[name]
    record = MemberLost(
        make_record_id(), member.ref, member.witnesses_version, member.witnesses[:2]
    )
    return fold_all([record], view)


def test_slices_are_placed_on_all_members() -> None:
    view = make_view(4)
    assert np.bincount(view.services["painel"].owners).tolist() == [16, 16, 16, 16]


def test_a_lost_member_has_no_handovers_and_its_slices_get_new_floors() -> None:
    before = make_view(4)
    view = fold_loss(before, "vm-3")
    assert "vm-3" not in view.members
    state = view.services["painel"]
    lost = before.services["painel"].owners == 3
    assert (state.floors[lost] == view.offset - 1).all()
    assert (state.tokens[lost] == view.offset - 1).all()
    members = {
        h.member.daemon for slice_handovers in state.handovers.values() for h in slice_handovers
    }
    assert "vm-3" not in members


def test_a_loss_without_a_majority_of_votes_changes_nothing() -> None:
    before = make_view(4)
    member = before.members["vm-3"]
    record = MemberLost(make_record_id(), member.ref, member.witnesses_version, (member.ref,))
    assert "vm-3" in fold_all([record], before).members


def test_a_loss_by_replaced_witnesses_changes_nothing() -> None:
    before = make_view(4)
    member = before.members["vm-3"]
    record = MemberLost(make_record_id(), member.ref, 0, member.witnesses)
    assert "vm-3" in fold_all([record], before).members


def test_a_leaving_member_keeps_its_handovers_until_it_left() -> None:
    view = make_view(4)
    ref = view.members["vm-3"].ref
    view = fold_all([MemberLeaving(make_record_id(), ref)], view)
    state = view.services["painel"]
    assert not (state.owners == 3).any()
    assert (
        sum(
            h.member == ref for slice_handovers in state.handovers.values() for h in slice_handovers
        )
        == 16
    )
    view = fold_all([MemberLeft(make_record_id(), ref, view.offset)], view)
    state = view.services["painel"]
    assert not any(
        h.member == ref for slice_handovers in state.handovers.values() for h in slice_handovers
    )
    assert state.floors.max() == -1


def test_a_withdrawn_backend_server_loses_its_slices() -> None:
    view = make_view(3)
    ref = view.members["vm-1"].ref
    view = fold_all([BackendWithdrawn(make_record_id(), ref, "backend-1")], view)
    assert sorted(set(view.services["painel"].owners.tolist())) == [0, 2]


def test_a_failure_domain_out_gets_no_slices() -> None:
    view = make_view(6)
    body = render_subject(FleetConfiguration(failure_domains_out=("recife",)))
    change = SubjectChange(FLEET_SUBJECT, -1, body)
    view = fold_all([ConfigurationPublished(make_record_id(), "test", (change,))], view)
    assert sorted(set(view.services["painel"].owners.tolist())) == [1, 2, 4, 5]


def test_the_first_of_two_racing_changes_wins() -> None:
    first, second = make_published(timeout_ms=1000), make_published(timeout_ms=2000)
    view = fold_all([first, second])
    assert view.publications[first.record_id] == Accepted(0)
    assert view.publications[second.record_id] == Rejection(
        "service/painel", "newer version in force", 0, "test"
    )
    assert view.configurations["painel"].timeout_ms == 1000


def test_an_accepted_change_appended_twice_stays_accepted() -> None:
    record = make_published()
    view = fold_all([record, record])
    assert view.publications[record.record_id] == Accepted(0)


def test_the_number_of_slices_cannot_change() -> None:
    record = make_published(base=0, slices=32)
    view = fold_all([make_published(slices=64), record])
    assert view.publications[record.record_id] == Rejection(
        "service/painel", "slices of 'painel' stay 64, not 32", 0
    )


def test_a_repeated_join_changes_nothing() -> None:
    record = make_joined(1)
    view = fold_all([record, record])
    assert view.members["vm-1"].ref.incarnation == 0


def test_a_gap_is_refused() -> None:
    with pytest.raises(ValueError, match="record 5 does not follow a view up to 0"):
        fold(View(), 5, make_joined(1))
