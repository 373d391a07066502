"""Bounds on the requests that a backend server gets."""

from __future__ import annotations

import bisect
import itertools
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmondock._domain.arrival_limit import (
    COLD_WINDOW_S,
    ArrivalBound,
    ArrivalLimit,
    bound_named_limit,
    bound_rate,
)

WINDOW_S = 4.0


def send_all(limit: ArrivalLimit, bounds: tuple[ArrivalBound, ...], until: float) -> list[float]:
    """Send as many requests as the bounds allow, from 100 s on."""
    now, sent = 100.0, []
    while now < until:
        now = max(now, limit.find_next_send_at(bounds, now))
        if now >= until:
            break
        limit.record(bounds, now)
        sent.append(now)
    return sent


def count_most(sent: list[float], window_s: float) -> int:
    ends = (bisect.bisect_left(sent, at + window_s) for at in sent)
    return max((end - start for start, end in enumerate(ends)), default=0)


@given(max_per_s=st.floats(0.02, 200.0))
def test_a_named_limit_holds_in_every_window(max_per_s: float) -> None:
    sent = send_all(ArrivalLimit(), bound_named_limit(max_per_s), 112.0)
    assert count_most(sent, WINDOW_S) <= max(1.0, WINDOW_S * max_per_s)
    assert count_most(sent, 1 / max_per_s) <= max(1, math.ceil(max_per_s / 4) + 1)


@pytest.mark.parametrize("max_per_s", [1.0, 5.0, 11.2, 18.1, 100.0])
def test_nine_tenths_of_a_named_limit_can_be_used(max_per_s: float) -> None:
    sent = send_all(ArrivalLimit(), bound_named_limit(max_per_s), 140.0)
    assert len(sent) >= 0.9 * 40.0 * max_per_s


def test_a_limit_of_zero_leaves_no_room() -> None:
    limit, bounds = ArrivalLimit(), bound_named_limit(0.0)
    assert not limit.has_room(bounds, 100.0)
    assert limit.find_next_send_at(bounds, 100.0) == math.inf


@pytest.mark.parametrize("max_per_s", [0.02, 0.3, 0.9])
def test_a_limit_below_one_a_second_leaves_room_for_single_requests(max_per_s: float) -> None:
    sent = send_all(ArrivalLimit(), bound_named_limit(max_per_s), 300.0)
    assert len(sent) >= 0.5 * 200.0 * max_per_s
    assert min(b - a for a, b in itertools.pairwise(sent)) >= min(1 / max_per_s, 1.0)


def test_a_cold_limit_below_one_a_second_can_be_asked_before_anything_was_sent() -> None:
    """Guards against an error where a cold backend server bears less than one in a window."""
    assert ArrivalLimit().find_next_send_at((bound_rate(0.4, COLD_WINDOW_S),), 100.0) == 100.0


def test_reservations_count_as_sent() -> None:
    """Guards against several queued requests that all find the same room."""
    limit, bounds = ArrivalLimit(), (ArrivalBound(2, 1.0),)
    limit.reserve()
    limit.record(bounds, 100.0)
    assert not limit.has_room(bounds, 100.5)
    limit.release()
    assert limit.has_room(bounds, 100.5)


def test_after_an_assumed_use_requests_go_on_at_the_limit() -> None:
    limit, bounds = ArrivalLimit(), bound_named_limit(10.0)
    limit.assume_used(bounds[0], 100.0)
    sent = send_all(limit, bounds, 104.0)
    assert 100.0 < sent[0] <= 100.2
    assert 36 <= len(sent) <= 40


def test_without_bounds_there_is_always_room() -> None:
    limit = ArrivalLimit()
    for _ in range(1000):
        limit.record((), 100.0)
    assert limit.has_room((), 100.0)
