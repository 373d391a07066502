"""Lease of a gate, and the wait of a new owner of its keys."""

from __future__ import annotations

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from persimmondock._domain.range_lease import (
    CLOCK_TOLERANCE,
    LEASE_TERM_S,
    MAX_WITNESS_ONLY_S,
    RangeLease,
    Takeover,
)

WITNESSES = frozenset("abcde")


def make_lease() -> RangeLease:
    lease = RangeLease()
    lease.adopt_assignment(7, WITNESSES)
    return lease


def test_a_new_lease_grants_nothing() -> None:
    assert make_lease().compute_end() == float("-inf")


def test_a_store_confirmation_counts_from_the_instant_of_the_question() -> None:
    lease = make_lease()
    lease.confirm_by_store(7, 100.0)
    assert lease.compute_end() == 100.0 + LEASE_TERM_S


def test_a_store_confirmation_of_another_offset_is_ignored() -> None:
    lease = make_lease()
    lease.confirm_by_store(8, 100.0)
    assert lease.compute_end() == float("-inf")


def test_a_majority_of_witnesses_extends_what_the_store_confirmed() -> None:
    lease = make_lease()
    lease.confirm_by_store(7, 100.0)
    for number, name in enumerate("abc"):
        lease.confirm_by_witness(name, 7, 105.0 + number)
    assert lease.compute_end() == 105.0 + LEASE_TERM_S


@pytest.mark.parametrize(
    ("names", "offset"),
    [("ab", 7), ("abc", 6), ("xyz", 7)],
    ids=["no majority", "another offset", "not witnesses"],
)
def test_insufficient_confirmations_do_not_extend_the_lease(names: str, offset: int) -> None:
    lease = make_lease()
    lease.confirm_by_store(7, 100.0)
    for name in names:
        lease.confirm_by_witness(name, offset, 110.0)
    assert lease.compute_end() == 100.0 + LEASE_TERM_S


def test_witnesses_alone_extend_the_lease_for_a_limited_time() -> None:
    lease = make_lease()
    lease.confirm_by_store(7, 100.0)
    for name in WITNESSES:
        lease.confirm_by_witness(name, 7, 500.0)
    assert lease.compute_end() == 100.0 + MAX_WITNESS_ONLY_S + LEASE_TERM_S


def test_a_majority_of_the_former_witnesses_is_needed_too() -> None:
    """Guards against leases that a new owner, who knows the former witnesses only, cannot see."""
    lease = RangeLease()
    lease.adopt_assignment(7, WITNESSES, frozenset("avw"))
    lease.confirm_by_store(7, 100.0)
    for name in "abcde":
        lease.confirm_by_witness(name, 7, 105.0)
    assert lease.compute_end() == 100.0 + LEASE_TERM_S
    lease.confirm_by_witness("v", 7, 104.0)
    assert lease.compute_end() == 104.0 + LEASE_TERM_S


def test_a_newer_assignment_discards_all_confirmations() -> None:
    lease = make_lease()
    lease.confirm_by_store(7, 100.0)
    lease.adopt_assignment(8, WITNESSES)
    assert lease.compute_end() == float("-inf")


def test_a_takeover_without_answers_of_witnesses_waits_for_the_longest_lease() -> None:
    takeover = Takeover(8, (WITNESSES,), 100.0)
    assert takeover.compute_ready() > 100.0 + MAX_WITNESS_ONLY_S + LEASE_TERM_S


def test_each_set_of_witnesses_has_to_be_informed() -> None:
    takeover = Takeover(8, (WITNESSES, frozenset("vwx")), 100.0)
    for name in "abc":
        takeover.record_witness(name, 8, 101.0)
    assert takeover.compute_ready() > 100.0 + MAX_WITNESS_ONLY_S
    for name in "vw":
        takeover.record_witness(name, 9, 102.0)
    assert 102.0 + LEASE_TERM_S < takeover.compute_ready() < 103.0 + LEASE_TERM_S


@given(
    asked=st.lists(
        st.tuples(st.sampled_from("abcde"), st.floats(0, 40), st.floats(0, 0.5)), max_size=40
    ),
    informed=st.dictionaries(st.sampled_from("abcde"), st.floats(20, 60)),
    store=st.lists(st.floats(0, 20), max_size=5),
    learned_at=st.floats(20, 25),
)
def test_no_grant_of_a_stale_holder_outlasts_the_takeover_wait(
    asked: list[tuple[str, float, float]],
    informed: dict[str, float],
    store: list[float],
    learned_at: float,
) -> None:
    """The record is written at 20 s; a witness that has it never confirms the older assignment."""
    holder = make_lease()
    for at in store:
        holder.confirm_by_store(7, at)
    for name, sent, delay in asked:
        if sent + delay < informed.get(name, 1000.0):
            holder.confirm_by_witness(name, 7, sent)
    takeover = Takeover(8, (WITNESSES,), learned_at)
    for name, at in informed.items():
        takeover.record_witness(name, 8, at)
    end = holder.compute_end()
    assert end + CLOCK_TOLERANCE * LEASE_TERM_S < takeover.compute_ready()


@given(
    asked=st.lists(
        st.tuples(st.sampled_from("abcdevw"), st.floats(0, 40), st.floats(0, 0.5)), max_size=60
    ),
    informed=st.dictionaries(st.sampled_from("abcdevw"), st.floats(20, 60)),
    store=st.floats(0, 20),
    learned_at=st.floats(20, 25),
)
@example(
    asked=[(name, 38.0, 0.0) for name in "bcd"],
    informed={"v": 21.0, "w": 21.0},
    store=19.0,
    learned_at=20.0,
)
def test_no_grant_outlasts_a_takeover_that_knows_the_former_witnesses_only(
    asked: list[tuple[str, float, float]],
    informed: dict[str, float],
    store: float,
    learned_at: float,
) -> None:
    """The store loses the change of witnesses at 20 s, and names the former ones."""
    former = frozenset("avw")
    holder = RangeLease()
    holder.adopt_assignment(7, WITNESSES, former)
    holder.confirm_by_store(7, store)
    for name, sent, delay in asked:
        if sent + delay < informed.get(name, 1000.0):
            holder.confirm_by_witness(name, 7, sent)
    takeover = Takeover(8, (former,), learned_at)
    for name, at in informed.items():
        takeover.record_witness(name, 8, at)
    assert holder.compute_end() + CLOCK_TOLERANCE * LEASE_TERM_S < takeover.compute_ready()
