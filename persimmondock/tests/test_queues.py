"""Tests of the queue of one backend server."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmondock._domain.queues import (
    DEFERRABLE_START_INTERVAL,
    MAX_RETRY_MS,
    MIN_RETRY_MS,
    QueuedRequest,
    ServiceRate,
    WorkQueue,
)
from persimmondock._domain.verdict import Reason

SERVICE_RATE = ServiceRate(slots=2, service_s=0.1)


def fill(queue, count, may_wait=False, deadline=100.0, first=0):
    for number in range(first, first + count):
        assert queue.offer(QueuedRequest(number, may_wait, deadline), SERVICE_RATE, 0.0) is None


def test_urgent_requests_go_first_and_deferrable_ones_do_not_starve() -> None:
    queue = WorkQueue()
    fill(queue, 50, may_wait=True, first=100)
    fill(queue, 50)
    taken = [queue.take().may_wait for _ in range(40)]
    assert taken.count(True) == 40 // DEFERRABLE_START_INTERVAL
    assert taken[: DEFERRABLE_START_INTERVAL - 1] == [False] * (DEFERRABLE_START_INTERVAL - 1)


@pytest.mark.parametrize(
    ("ahead", "deadline", "refused"),
    [(0, 0.21, False), (0, 0.19, True), (10, 0.9, False), (10, 0.8, True)],
)
def test_a_request_that_would_be_late_is_refused_at_once(ahead, deadline, refused) -> None:
    queue = WorkQueue()
    fill(queue, ahead)
    refusal = queue.offer(QueuedRequest(99, False, deadline), SERVICE_RATE, 0.0)
    assert (refusal is not None) == refused
    if refusal is not None:
        assert refusal.reason is Reason.OVERLOADED
        assert MIN_RETRY_MS <= refusal.retry_after_ms <= MAX_RETRY_MS


def test_a_retry_after_the_returned_delay_is_admitted() -> None:
    """The queue has drained by then if the service rate stays the same."""
    queue = WorkQueue()
    fill(queue, 40)
    refusal = queue.offer(QueuedRequest(99, False, 1.0), SERVICE_RATE, 0.0)
    later = refusal.retry_after_ms / 1000
    for _ in range(int(later / SERVICE_RATE.service_s * SERVICE_RATE.slots)):
        queue.take()
    assert queue.offer(QueuedRequest(99, False, later + 1.0), SERVICE_RATE, later) is None


def test_requests_are_shed_when_the_backend_server_slows_down() -> None:
    queue = WorkQueue()
    fill(queue, 10, deadline=1.0)
    assert queue.shed(SERVICE_RATE, 0.0) == []
    shed = queue.shed(ServiceRate(slots=2, service_s=0.4), 0.0)
    assert [item.number for item in shed] == [3, 4, 5, 6, 7, 8, 9]
    assert len(queue) == 3


def test_deferrable_wait_is_estimated_from_the_recent_share() -> None:
    queue = WorkQueue()
    fill(queue, 200)
    fill(queue, 30, may_wait=True, first=500)
    item = QueuedRequest(999, True, 6.0)
    assert queue.offer(item, SERVICE_RATE, 0.0) is None
    queue.remove(item.number)
    for _ in range(80):
        queue.take()
    assert queue.offer(item, SERVICE_RATE, 0.0).reason is Reason.OVERLOADED


def test_the_queue_is_bounded() -> None:
    queue = WorkQueue(max_waiting=3)
    fill(queue, 3)
    assert (
        queue.offer(QueuedRequest(9, False, 100.0), SERVICE_RATE, 0.0).reason is Reason.OVERLOADED
    )
    assert queue.offer(QueuedRequest(9, True, 100.0), SERVICE_RATE, 0.0) is None


@given(st.lists(st.tuples(st.booleans(), st.floats(0.0, 3.0)), max_size=60))
def test_every_request_is_taken_or_refused_once_and_none_after_its_deadline(arrivals) -> None:
    queue = WorkQueue(max_waiting=20)
    now, outcomes = 0.0, []
    for number, (may_wait, patience) in enumerate(arrivals):
        if (
            queue.offer(QueuedRequest(number, may_wait, now + patience), SERVICE_RATE, now)
            is not None
        ):
            outcomes.append(number)
        now += 0.01
    while queue:
        outcomes += [shed.number for shed in queue.shed(SERVICE_RATE, now)]
        item = queue.take()
        if item is not None:
            assert item.deadline > now
            outcomes.append(item.number)
        now += SERVICE_RATE.service_s / SERVICE_RATE.slots
    assert sorted(outcomes) == list(range(len(arrivals)))
