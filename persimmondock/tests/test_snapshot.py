"""Tests of snapshots."""

from __future__ import annotations

import attrs
import pytest

from persimmondock._domain.records import MemberLeaving, encode_record, make_record_id
from persimmondock._domain.snapshot import (
    WRITER_RANK_DELAY_S,
    SnapshotError,
    SnapshotSchedule,
    SnapshotSearch,
    decode_view,
    encode_view,
    split_snapshot,
)
from persimmondock._domain.view import View
from persimmondock.tests.builders import fold_all, make_published, make_view


def make_view_with_handovers() -> View:
    """Return a view with handovers, a rejected publication, and a leaving member."""
    view = make_view(5)
    leaving = MemberLeaving(make_record_id(), view.members["vm-1"].ref)
    return fold_all([make_published(), leaving], view)


def test_a_decoded_view_equals_the_encoded_one_and_folds_alike() -> None:
    view = make_view_with_handovers()
    encoded = encode_view(view)
    decoded = decode_view(encoded)
    assert encode_view(decoded) == encoded
    assert decoded.members == view.members
    assert decoded.publications == view.publications
    record = MemberLeaving(make_record_id(), view.members["vm-2"].ref)
    after, after_decoded = fold_all([record], view), fold_all([record], decoded)
    assert encode_view(after_decoded) == encode_view(after)
    assert after.services["painel"].handovers


@pytest.mark.parametrize(
    "change",
    [
        {"body": b"x"},
        {"digest": "0" * 32},
        {"covers": 3},
    ],
)
def test_a_wrong_snapshot_is_refused(change) -> None:
    with pytest.raises(SnapshotError):
        decode_view(attrs.evolve(encode_view(make_view(3)), **change))


def test_a_search_needs_all_parts_and_takes_the_newest() -> None:
    older, newer = encode_view(make_view(3)), encode_view(make_view(4))
    first, second, third = split_snapshot(older, part_bytes=len(older.body) // 3 + 1)
    search = SnapshotSearch(earliest=0)
    for part in (third, first, first):
        search.add_part(part)
    assert search.newest is None
    search.add_part(second)
    assert search.newest == older
    for part in split_snapshot(newer):
        search.add_part(part)
    assert search.newest == newer


def test_a_snapshot_with_a_gap_after_it_is_ignored() -> None:
    encoded = encode_view(make_view(3))
    search = SnapshotSearch(earliest=encoded.covers + 1)
    search.add_part(split_snapshot(encoded)[0])
    assert search.newest is None


def test_folding_a_snapshot_changes_only_what_is_known_of_snapshots() -> None:
    view = make_view(3)
    parts = split_snapshot(encode_view(view), part_bytes=300)
    partial = fold_all(list(parts[:-1]), view)
    assert partial.snapshot_covers == 0
    whole = fold_all([parts[-1]], partial)
    assert whole.snapshot_covers == view.offset
    same = attrs.evolve(whole, offset=view.offset, snapshot_covers=0)
    assert encode_view(same) == encode_view(view)
    assert len(encode_record(parts[0])) < 600


def test_exactly_one_member_writes_and_the_next_one_only_when_it_does_not() -> None:
    view = make_view(5)
    refs = [member.ref for member in view.members.values()]
    schedules = {ref: SnapshotSchedule(interval_records=5) for ref in refs}

    def list_writers(view: View, now: float) -> list[str]:
        return [ref.daemon for ref, item in schedules.items() if item.should_write(view, ref, now)]

    (first,) = list_writers(view, 0.0)
    assert list_writers(view, WRITER_RANK_DELAY_S - 1) == []
    (second,) = list_writers(view, WRITER_RANK_DELAY_S)
    assert second != first
    view = fold_all(list(split_snapshot(encode_view(view))), view)
    assert list_writers(view, 2 * WRITER_RANK_DELAY_S) == []


@pytest.mark.parametrize(
    ("earliest", "due"),
    [(0, False), (5, False), (8, True), (11, True)],
)
def test_a_snapshot_is_written_before_the_log_drops_the_last(earliest, due) -> None:
    view = make_view(4)
    assert view.offset == 9
    view = attrs.evolve(view, offset=11, snapshot_covers=9)
    writers = []
    for member in view.members.values():
        schedule = SnapshotSchedule()
        schedule.record_earliest(earliest)
        writers.append(schedule.should_write(view, member.ref, 0.0))
    assert writers.count(True) == int(due)
