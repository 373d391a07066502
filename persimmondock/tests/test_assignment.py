"""Assignment of key ranges to backend servers, and balancing by request rates."""

from __future__ import annotations

import itertools

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmondock._domain.assignment import (
    KEY_COUNT,
    Assignment,
    EligibleOwner,
    build_next_assignment,
    choose_witnesses,
    count_moved_ranges,
    count_rows,
    decode_assignment,
    encode_assignment,
    merge_ranges,
    plan_assignment,
)
from persimmondock._domain.balance import BUSY_UTILIZATION, OwnerCapacity, balance_ranges
from persimmondock._domain.key_loads import KEYS_PER_GROUP, KeyLoads, merge_rates, sum_rates
from persimmondock.tests.sites import SERVICE, make_assignment, make_incarnation, make_range


def make_first_assignment(count: int) -> Assignment:
    """Return the first assignment of a site with ``count`` backend servers."""
    owners = [EligibleOwner(make_incarnation(number)) for number in range(count)]
    ranges = plan_assignment(Assignment(SERVICE), owners)
    assert ranges is not None
    return build_next_assignment(Assignment(SERVICE), ranges, frozenset("abc"), 0)


def test_the_first_assignment_covers_all_keys_once() -> None:
    assignment = make_first_assignment(3)
    position = 0
    for item in assignment.ranges:
        assert item.first == position
        position = item.last + 1
    assert position == KEY_COUNT


def test_adjacent_slices_have_different_owners() -> None:
    owners = [item.owner for item in make_first_assignment(4).ranges]
    assert all(a != b for a, b in itertools.pairwise(owners))


def test_an_encoded_assignment_is_decoded_unchanged() -> None:
    assignment = attrs.evolve(make_first_assignment(3), former_witnesses=frozenset("xy"))
    assert decode_assignment(SERVICE, 1, encode_assignment(assignment)) == assignment


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x93\x01\x02\x03"])
def test_an_undecodable_record_raises_with_service_and_offset(data: bytes) -> None:
    with pytest.raises(ValueError, match=r"'painel' at offset 9"):
        decode_assignment(SERVICE, 9, data)


def test_keys_of_a_lost_owner_go_to_the_others_and_name_it_as_former() -> None:
    before = make_first_assignment(3)
    owners = [EligibleOwner(make_incarnation(number)) for number in (0, 1)]
    after = plan_assignment(before, owners)
    assert after is not None
    for old, new in zip(before.ranges, after, strict=True):
        if old.owner == make_incarnation(2):
            assert new.owner != make_incarnation(2)
            assert new.former_owners == (make_incarnation(2),)
            assert new.fence == 0
        else:
            assert new == old


def test_a_new_incarnation_beside_the_same_daemon_takes_over_without_a_former_owner() -> None:
    before = make_first_assignment(2)
    owners = [EligibleOwner(make_incarnation(0)), EligibleOwner(make_incarnation(1, born_ms=2))]
    after = plan_assignment(before, owners)
    assert after is not None
    assert all(item.former_owners == () for item in after)
    assert {item.owner for item in after} == {make_incarnation(0), make_incarnation(1, born_ms=2)}


def test_new_fencing_tokens_are_above_all_earlier_ones() -> None:
    before = make_first_assignment(3)
    after = plan_assignment(before, [EligibleOwner(make_incarnation(0))])
    assert after is not None
    next_assignment = build_next_assignment(before, after, frozenset("abc"), 41)
    moved = [r for r, old in zip(next_assignment.ranges, before.ranges, strict=True) if r != old]
    assert moved and all(item.fence == 42 for item in moved)


def test_witnesses_are_kept_as_former_when_they_change() -> None:
    next_assignment = build_next_assignment(
        make_first_assignment(2), make_first_assignment(2).ranges, frozenset("xyz"), 5
    )
    assert next_assignment.former_witnesses == frozenset("abc")


def test_witnesses_are_an_odd_number_spread_over_failure_domains() -> None:
    failure_domains = {f"{domain}{n}": domain for domain in "abc" for n in range(5)}
    chosen = choose_witnesses(failure_domains)
    assert len(chosen) % 2 == 1
    assert {failure_domains[name] for name in chosen} == set("abc")


# Balancing: a hot key, busy adjacent keys, a new owner, a slow backend server.


def make_capacities(*per_s: float) -> dict:
    return {make_incarnation(number): OwnerCapacity(rate) for number, rate in enumerate(per_s)}


def compute_load(ranges: tuple, rates: dict[int, float], owner: int) -> float:
    return sum(
        sum_rates(rates, item.first, item.last)
        for item in ranges
        if item.owner == make_incarnation(owner)
    )


def test_hot_adjacent_keys_are_spread_over_the_owners() -> None:
    """Guards against an owner overloaded by adjacent keys, as when 200 get 40% of the requests.

    Here 52 adjacent keys get 78 of 103 requests per second.
    """
    before = make_first_assignment(4)
    rates = {group: 6.0 for group in range(13)} | {g: 0.05 for g in range(64, 4096, 8)}
    after = before.ranges
    for _ in range(4):
        after = balance_ranges(after, make_capacities(60, 60, 60, 60), rates) or after
    highest = max(compute_load(after, rates, owner) for owner in range(4))
    assert max(compute_load(before.ranges, rates, owner) for owner in range(4)) >= 78
    assert highest < 45


def test_only_busy_keys_move() -> None:
    before = make_first_assignment(4)
    rates = {group: 6.0 for group in range(13)}
    after = balance_ranges(before.ranges, make_capacities(60, 60, 60, 60), rates)
    assert after is not None
    moved = sum(item.last - item.first + 1 for item in after if item.fence == 0)
    assert moved <= 13 * KEYS_PER_GROUP


def test_one_hot_key_keeps_its_owner_and_the_other_keys_move() -> None:
    """One key uses most of its owner's capacity, so other busy keys have to move."""
    before = make_first_assignment(2)
    rates = {0: 50.0, 1: 10.0, 2: 10.0}
    after = balance_ranges(before.ranges, make_capacities(60, 60), rates)
    assert after is not None
    found = {item.first: item.owner for item in after}
    assert found[0] == before.ranges[0].owner
    assert sorted(compute_load(after, rates, owner) for owner in range(2)) in ([10, 60], [20, 50])
    assert max(compute_load(after, rates, owner) for owner in range(2)) < 70.0


def test_a_key_above_every_capacity_moves_to_the_largest_owner() -> None:
    """One key gets most of the requests, and its owner is the slowest backend server."""
    rates = {0: 200.0} | {group: 1.0 for group in range(64, 4096, 64)}
    capacities = make_capacities(18, 40, 66, 60)
    after = balance_ranges(make_first_assignment(4).ranges, capacities, rates)
    assert after is not None
    assert after[0].owner == make_incarnation(2)
    assert compute_load(after, rates, 2) < 215.0


def test_a_key_above_every_capacity_does_not_move_between_similar_owners() -> None:
    rates = {0: 200.0} | {group: 1.0 for group in range(64, 4096, 64)}
    before = make_first_assignment(4).ranges
    after = balance_ranges(before, make_capacities(60, 64, 70, 66), rates)
    assert after is not None
    assert after[0].owner == before[0].owner


def test_ranges_that_were_cut_but_not_moved_do_not_count_as_moved() -> None:
    before = make_first_assignment(2)
    rates = {0: 50.0, 1: 10.0, 2: 10.0}
    after = balance_ranges(before.ranges, make_capacities(60, 60), rates)
    assert after is not None and len(after) > len(before.ranges)
    assert count_moved_ranges(before, after) == 2
    assert count_moved_ranges(before, before.ranges) == 0


def test_low_utilization_moves_no_keys() -> None:
    rates = {0: 100 * BUSY_UTILIZATION * 0.9}
    assert (
        balance_ranges(make_first_assignment(3).ranges, make_capacities(100, 100, 100), rates)
        is None
    )


def test_a_backend_server_that_joins_gets_keys_at_once() -> None:
    before = make_first_assignment(3)
    rates = {group: 1.0 for group in range(0, 4096, 64)}
    after = balance_ranges(before.ranges, make_capacities(100, 100, 100, 100), rates)
    assert after is not None
    assert compute_load(after, rates, 3) > 0


def test_a_slow_backend_server_loses_keys() -> None:
    """One of four backend servers takes five times as long as the others."""
    before = make_first_assignment(4)
    rates = {group: 1.5 for group in range(0, 4096, 64)}
    after = balance_ranges(before.ranges, make_capacities(20, 100, 100, 100), rates)
    assert after is not None
    assert compute_load(after, rates, 0) < compute_load(before.ranges, rates, 0)


@given(
    st.dictionaries(st.integers(0, 4095), st.floats(0.2, 200), max_size=60),
    st.lists(st.floats(5, 200), min_size=2, max_size=6),
)
def test_balancing_keeps_all_keys_and_never_raises_the_highest_utilization(
    rates: dict[int, float], per_s: list[float]
) -> None:
    before = make_first_assignment(len(per_s))
    capacities = make_capacities(*per_s)
    after = balance_ranges(before.ranges, capacities, rates)
    if after is None:
        return
    position = 0
    for item in after:
        assert item.first == position and item.last >= item.first
        position = item.last + 1
    assert position == KEY_COUNT
    highest = max(
        compute_load(before.ranges, rates, n) / capacity for n, capacity in enumerate(per_s)
    )
    assert (
        max(compute_load(after, rates, n) / capacity for n, capacity in enumerate(per_s))
        <= highest * 1.01
    )


def test_rates_decay() -> None:
    loads = KeyLoads()
    for _ in range(30):
        loads.count(17, 100.0)
    group = 17 // KEYS_PER_GROUP
    assert loads.list_rates(100.0)[group] == pytest.approx(20.0)
    assert loads.list_rates(103.0)[group] < 3.0
    assert loads.list_rates(120.0) == {}


def test_rates_of_several_gates_add_up() -> None:
    assert merge_rates([{1: 2.0}, {1: 3.0, 4: 1.0}]) == {1: 5.0, 4: 1.0}


def test_find_range_returns_the_range_of_a_key() -> None:
    assignment = make_assignment(make_range(0, 9, 1), make_range(10, 99, 2))
    found = assignment.find_range(10)
    assert found is not None and found.owner == make_incarnation(2)
    assert assignment.find_range(100) is None


def test_only_owners_with_too_many_grants_get_their_adjacent_ranges_merged() -> None:
    """Replies to heartbeats hold a limited number of rows, and moves split ranges for ever."""
    split = [make_range(n, n, 1, fence=1 + n) for n in range(6)]
    other = [make_range(n, n, 2, fence=1) for n in (6, 8)]
    ranges = (*split, other[0], make_range(7, 7, 3), other[1])
    merged = merge_ranges(ranges, 5)
    assert merged == (make_range(0, 5, 1, fence=0), *ranges[6:])
    assert merge_ranges(ranges, 6) is None


def test_ranges_with_former_owners_are_not_merged() -> None:
    ranges = (
        make_range(0, 0, 1),
        make_range(1, 1, 1, fence=2, former_owners=(make_incarnation(2),)),
        make_range(2, 2, 1, fence=3),
    )
    assert merge_ranges(ranges, 1) is None


def test_moves_give_no_owner_more_grants_than_it_may_have() -> None:
    before = make_first_assignment(4).ranges
    most = max(count_rows(before).values())
    rates = {group: 20.0 for group in range(0, 40, 3)}
    after = balance_ranges(before, make_capacities(60, 60, 60, 60), rates, most + 2) or before
    assert max(count_rows(after).values()) <= most + 2


def test_owned_ranges_are_those_of_the_present_ranges() -> None:
    """Load: some 300 ranges, of which each heartbeat and answer asks for those of one owner."""
    ranges = tuple(make_range(10 * n, 10 * n + 9, n % 25) for n in range(300))
    assignment = Assignment(SERVICE, ranges)
    for number in (0, 7, 24, 25):
        owner = make_incarnation(number)
        expected = tuple(item for item in ranges if item.owner == owner)
        assert assignment.list_owned(owner) == expected
    assert len(assignment.list_owners()) == 25
    changed = attrs.evolve(assignment, ranges=ranges[:1])
    assert changed.list_owned(make_incarnation(7)) == ()
    assert changed.list_owned(make_incarnation(0)) == ranges[:1]
    assert Assignment(SERVICE, ranges) == assignment
