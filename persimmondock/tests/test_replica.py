"""Copies of a log that comes back from an older copy and gives out offsets again."""

from __future__ import annotations

from persimmondock._domain.log_position import make_position
from persimmondock._domain.replica import KeyedEntry, Replica


def make_entry(era: int, offset: int, key: str, value: bytes = b"v") -> KeyedEntry:
    return KeyedEntry(make_position(era, offset), key, value)


def make_replica() -> Replica:
    """Return a copy with two records of the first era."""
    replica = Replica()
    replica.apply([make_entry(1, 3, "a", b"old"), make_entry(1, 7, "b")], make_position(1, 8))
    return replica


def test_a_record_at_an_offset_that_was_given_out_before_is_newer() -> None:
    replica = make_replica()
    record = make_entry(2, 3, "b", b"new")
    assert replica.apply([record], make_position(2, 4)) == [record]
    assert replica.get("b") == b"new"
    assert replica.end == make_position(2, 4)


def test_a_record_of_a_former_era_that_arrives_late_is_older() -> None:
    replica = make_replica()
    replica.apply([make_entry(2, 3, "b", b"new")], make_position(2, 4))
    assert replica.apply([make_entry(1, 9, "b", b"late")], make_position(1, 10)) == []
    assert replica.end == make_position(2, 4)


def test_what_the_log_has_lost_is_kept_until_it_is_dropped() -> None:
    replica = make_replica()
    replica.apply_snapshot([make_entry(2, 3, "a", b"old")], make_position(2, 5))
    assert replica.get("b") == b"v"
    assert not replica.has("b", b"v")
    assert replica.has("a", b"old")
    assert replica.list_former() == [make_entry(1, 7, "b")]
    assert [entry.key for entry in replica.drop_former()] == ["b"]
    assert replica.get("b") is None
    assert replica.drop_former() == []


def test_a_peer_of_the_new_era_does_not_delete_what_the_log_has_lost() -> None:
    replica = make_replica()
    assert replica.drop_unlisted(["a"], make_position(2, 5)) == []
    assert [e.key for e in replica.drop_unlisted(["a"], make_position(1, 9))] == ["b"]
