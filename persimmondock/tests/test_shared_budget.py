"""A retry budget that all daemons share without communication.

Guards against retries beyond the budget while answers of a service are lost for seconds: its
retried requests call another service, where these calls count as retries as well.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmondock._domain.shared_budget import SharedBudget


def make_budget() -> SharedBudget:
    return SharedBudget(ratio=0.2, slack=64.0, window_s=10.0)


def spend_all(budget: SharedBudget, now: float, daemons: int) -> int:
    count = 0
    while budget.spend(now, daemons):
        count += 1
    return count


@given(st.lists(st.integers(0, 300), min_size=1, max_size=30))
def test_all_daemons_together_stay_within_the_services_budget(requests: list[int]) -> None:
    spent = 0
    for count in requests:
        budget = make_budget()
        for _ in range(count):
            budget.record_request(1.0)
        spent += spend_all(budget, 2.0, len(requests))
    assert spent <= 0.2 * sum(requests) + 64.0


def test_calls_of_retried_requests_use_the_budget() -> None:
    """Retried requests are expected to make a tenth as many calls as there are requests."""
    without_calls, with_calls = make_budget(), make_budget()
    for _ in range(300):
        without_calls.record_request(1.0)
        with_calls.record_request(1.0)
    with_calls.charge_calls(1.0, 30.0)
    assert spend_all(with_calls, 2.0, 14) <= spend_all(without_calls, 2.0, 14) - 25
    assert not with_calls.allows(2.0, 14, 1.0)
    assert with_calls.allows(12.1, 1, 30.0)


@given(st.lists(st.floats(0.1, 5.0), max_size=100), st.integers(0, 300))
def test_calls_and_retries_together_stay_within_the_budget(
    calls: list[float], requests: int
) -> None:
    budget, spent = make_budget(), 0.0
    for _ in range(requests):
        budget.record_request(1.0)
    for amount in calls:
        if budget.allows(2.0, 4, amount):
            budget.charge_calls(2.0, amount)
            spent += amount
        spent += budget.spend(2.0, 4)
    assert spent <= 0.2 * requests + 64.0 / 4


def test_the_budget_is_restored_after_the_window() -> None:
    budget = make_budget()
    first = spend_all(budget, 1.0, 1)
    assert not budget.spend(10.9, 1)
    assert spend_all(budget, 11.1, 1) == first


@pytest.mark.parametrize("daemons", [0, 1])
def test_a_single_daemon_has_the_whole_allowance(daemons: int) -> None:
    assert 30 <= spend_all(make_budget(), 1.0, daemons) <= 64


def test_nothing_of_the_fixed_allowance_is_spent_while_the_daemons_are_not_known() -> None:
    """A daemon that has just started knows no others, and would take the whole for itself."""
    budget = make_budget()
    assert not budget.spend(1.0, None)
    for _ in range(100):
        budget.record_request(1.0)
    assert budget.spend(1.0, None)


def test_a_process_waits_for_a_window_before_it_spends_of_the_fixed_allowance() -> None:
    """An earlier process of the same daemon may have spent it."""
    budget = SharedBudget(ratio=0.2, slack=64.0, window_s=10.0, slack_from=11.0)
    assert not budget.spend(10.9, 4)
    assert budget.spend(11.0, 4)


def test_a_retry_that_is_given_back_late_does_not_make_room_for_another() -> None:
    """A request waited for longer than a window, and its charge is forgotten."""
    budget = make_budget()
    assert budget.spend(1.0, 1)
    spent = spend_all(budget, 5.0, 1)
    budget.give_back(5.0)
    assert spend_all(budget, 6.0, 1) == 1
    assert spend_all(budget, 11.5, 1) == 1
    budget.give_back(1.0)
    assert spend_all(budget, 11.6, 1) == 0
    assert spent > 1
