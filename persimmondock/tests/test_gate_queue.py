"""Order of the queue of a gate, and refusal of requests that cannot be answered in time.

Covers a burst on a backend server without free slots, calls of running requests that queue behind
new requests, and a backend server that has become slow.
"""

from __future__ import annotations

import math
from collections import Counter

import pytest

from persimmondock._domain.gate_queue import (
    GateQueue,
    QueuedRequest,
    ReturnTimes,
    ServiceTimes,
    compute_retry_after_ms,
    is_worth_queueing,
)


def make_queue(*requests: tuple[int, float]) -> GateQueue:
    """Return a queue of requests by priority and deadline, each with 0.1 s of service time."""
    queue = GateQueue()
    for number, (priority, deadline) in enumerate(requests):
        queue.add(QueuedRequest(priority, number, 0.1, deadline))
    return queue


def pop_numbers(queue: GateQueue) -> list[int]:
    numbers = []
    while (request := queue.pop()) is not None:
        numbers.append(request.number)
    return numbers


def test_lower_priority_numbers_and_nearer_deadlines_go_first() -> None:
    assert pop_numbers(make_queue((2, 1.0), (1, 9.0), (1, 0.4), (0, 5.0))) == [3, 2, 1, 0]


def test_a_call_waits_only_behind_more_urgent_requests() -> None:
    """Ten bookings are queued, and a running preview makes a call with an earlier deadline."""
    queue = make_queue(*[(1, 1.5)] * 10)
    booking = queue.estimate_wait(1, 1.5, 0.16, 4)
    call = queue.estimate_wait(1, 0.4, 0.16, 4)
    assert call == pytest.approx(0.04)
    assert booking > 6 * call


def test_the_first_in_the_queue_waits_until_any_slot_is_free() -> None:
    assert GateQueue().estimate_wait(1, 1.0, 0.12, 12) == pytest.approx(0.01)


@pytest.mark.parametrize(
    ("wait_s", "now", "accepted"),
    [(0.25, 0.0, True), (0.35, 0.0, False), (0.2, 0.5, True), (0.6, 0.5, False)],
    ids=["within", "beyond", "late but soon", "late and long"],
)
def test_only_requests_that_can_be_answered_in_time_are_queued(
    wait_s: float, now: float, accepted: bool
) -> None:
    """The objective is at 0.4 s and the deadline at 2.5 s; the service time is 0.1 s."""
    assert is_worth_queueing(wait_s, 0.1, now, 0.4, 2.5) is accepted


def test_a_request_that_cannot_meet_its_objective_may_still_wait_briefly() -> None:
    """All requests to a slow backend server miss the objective, but its queue is short."""
    assert is_worth_queueing(0.1, 0.6, 0.0, 0.4, 2.5)


@pytest.mark.parametrize(
    ("wait_s", "accepted"),
    [
        pytest.param(0.07, True, id="one of three slots is free within 70 ms"),
        pytest.param(0.09, False, id="longer than a caller would wait before a retry"),
    ],
)
def test_a_short_call_to_a_busy_owner_waits_though_its_objective_is_missed(
    wait_s: float, accepted: bool
) -> None:
    """All slots of a key's owner run requests of 0.2 s, and a running booking reads from it.

    The call takes 40 ms, its objective is 0.1 s and its limit 0.25 s. No other backend server has
    the key, and the booking's work is lost if the call is refused.
    """
    assert is_worth_queueing(wait_s, 0.04, 0.0, 0.1, 0.25, keyed=True) is accepted
    assert not is_worth_queueing(wait_s, 0.04, 0.0, 0.1, 0.25, keyed=False)


def test_a_request_for_a_key_is_refused_if_its_deadline_would_be_missed() -> None:
    assert not is_worth_queueing(0.3, 0.8, 0.0, 0.4, 1.0, keyed=True)


def test_requests_that_cannot_meet_their_deadline_are_removed() -> None:
    queue = make_queue((1, 0.03), (1, 5.0))
    assert [request.number for request in queue.pop_unanswerable(0.0)] == [0]
    assert pop_numbers(queue) == [1]


def test_means_follow_a_change_within_a_few_dozen_answers() -> None:
    times = ServiceTimes()
    for _ in range(50):
        times.record("view", 0.1)
    for _ in range(40):
        times.record("view", 1.2)
    assert times.slow_mean_s > 1.0
    assert times.estimate_service_s("view") > 1.1
    assert times.estimate_service_s("other") == times.mean_s


def test_the_first_answers_have_equal_weight() -> None:
    """The first answer is that of a quick call, with one tenth of the usual service time."""
    times = ServiceTimes()
    for duration_s in (0.02, 0.2, 0.2, 0.2, 0.2):
        times.record("view", duration_s)
    assert times.slow_mean_s == times.mean_s == pytest.approx(0.164)


def test_the_retry_delay_is_the_wait_within_bounds() -> None:
    assert compute_retry_after_ms(0.4) == 400
    assert compute_retry_after_ms(0.0) >= 50
    assert compute_retry_after_ms(60.0) <= 2_000


def test_a_lower_rate_refuses_those_that_would_come_too_late() -> None:
    """Guards against requests that wait on until their deadline when a limit is named."""
    queue = GateQueue()
    for number in range(6):
        queue.add(QueuedRequest(1, number, 0.1, 103.0 + number, objective_at=101.0))
    hopeless = queue.pop_hopeless(first_wait_s=0.2, interval_s=0.3, now=100.0)
    assert [request.number for request in hopeless] == [3, 4, 5]
    assert len(queue) == 3
    assert len(queue.pop_hopeless(math.inf, math.inf, 100.0)) == 3


def test_refused_callers_return_one_by_one() -> None:
    """Guards against a wave of callers that were refused at the same moment."""
    returns = ReturnTimes()
    delays_ms = [returns.choose_retry_after_ms(100.2, 0.1, 100.0) for _ in range(30)]
    assert delays_ms[:4] == pytest.approx([200, 300, 400, 500], abs=1)
    assert max(delays_ms) <= 1500
    assert max(Counter(delays_ms).values()) <= 3


def test_a_refused_caller_is_told_the_longest_delay_when_there_will_be_no_room() -> None:
    returns = ReturnTimes()
    assert [returns.choose_retry_after_ms(math.inf, math.inf, 100.0) for _ in range(2)] == [
        1500
    ] * 2
