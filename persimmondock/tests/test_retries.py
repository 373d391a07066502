"""Tests of the retry budget and of the next step after an attempt."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmondock._domain.retries import AttemptHistory, RetryBudget, Step
from persimmondock._domain.verdict import Answer, Answered, MayHaveRun, NotRun, Reason

VERDICTS = st.one_of(
    st.builds(NotRun, st.sampled_from(Reason)),
    st.builds(MayHaveRun, st.sampled_from(Reason)),
    st.just(Answered(Answer(200, (), b""))),
)


@pytest.mark.parametrize("rate_per_s", [1, 20, 500, 13_300])
def test_attempts_stay_bounded_when_every_attempt_fails(rate_per_s: int) -> None:
    """Healthy traffic fills the budget; then each request retries as often as it allows."""
    budget, granted = RetryBudget(), 0
    for number in range(3 * rate_per_s):
        now = number / rate_per_s
        budget.record_first(now)
        while now >= 2.0 and budget.spend(now):
            granted += 1
    assert granted <= 2 * budget.min_per_s + 2 * budget.share * rate_per_s + 1


def test_an_idle_service_may_retry_a_little() -> None:
    budget = RetryBudget()
    assert [budget.spend(100.0) for _ in range(11)] == [True] * 10 + [False]
    assert budget.spend(105.0)


@given(st.lists(VERDICTS, min_size=1, max_size=6), st.booleans(), st.booleans())
def test_no_refusal_is_false(
    verdicts: list[Answered | NotRun | MayHaveRun], idempotent: bool, has_slice: bool
) -> None:
    history = AttemptHistory(idempotent, has_slice)
    seen = []
    for verdict in verdicts:
        seen.append(verdict)
        history.record(verdict, "backend-1")
        if history.plan(verdict) is Step.FINISH:
            break
    final = history.conclude(seen[-1])
    if isinstance(final, NotRun):
        assert all(isinstance(verdict, NotRun) for verdict in seen)
    if not idempotent:
        assert all(isinstance(verdict, NotRun) for verdict in seen[:-1])


def test_a_request_that_crashed_two_backend_servers_is_not_retried() -> None:
    history, lost = AttemptHistory(True, False), MayHaveRun(Reason.BACKEND_LOST)
    steps = []
    for name in ("backend-1", "backend-2"):
        history.record(lost, name)
        steps.append(history.plan(lost))
    assert steps == [Step.RETRY, Step.FINISH]
