"""Pace of a link, and how many large answers it takes."""

from __future__ import annotations

import heapq
import math
import random
import statistics

import attrs
import pytest

from persimmondock._domain.gate_choice import GateCandidate, compute_weights
from persimmondock._domain.link_budget import (
    MAX_PIECE_BYTES,
    MAX_RETRY_MS,
    MIN_PIECE_BYTES,
    MIN_RETRY_MS,
    LinkBudget,
    LinkRate,
    convert_bandwidth,
)

SLOW_LINK = convert_bandwidth(5.0)
MEAN_BYTES, MAX_BYTES = 90_000, 540_000
OBJECTIVE_S, DEADLINE_S = 2.0, 6.0
WORK_S = 0.18


@pytest.mark.parametrize("bandwidth", [0.0, -1.0])
def test_an_unknown_bandwidth_limits_nothing(bandwidth: float) -> None:
    rate = LinkRate(convert_bandwidth(bandwidth))
    rate.record(1_000_000, 1.0)
    assert rate.compute_wait(1.0) == 0.0 and rate.piece_bytes == MAX_PIECE_BYTES
    budget = LinkBudget(convert_bandwidth(bandwidth))
    budget.learn("manual", MAX_BYTES)
    for request in range(1_000):
        assert budget.find_refusal_ms("manual", 0.0, 0.1, 0.1) is None
        budget.reserve(request, "manual")
    assert budget.wait_s == 0.0


@pytest.mark.parametrize(("mbps", "bytes_"), [(0.1, MIN_PIECE_BYTES), (1_000, MAX_PIECE_BYTES)])
def test_pieces_have_bounded_sizes(mbps: float, bytes_: int) -> None:
    assert LinkRate(convert_bandwidth(mbps)).piece_bytes == bytes_


def test_pieces_leave_the_link_to_small_messages() -> None:
    """A VM of 5 Mbit/s sends downloads all the time, beside other messages of a third of its link.

    No queue builds up on the link: a small message waits for one piece at most.
    """
    rate = LinkRate(SLOW_LINK)
    link_bytes_per_s = 5e6 / 8
    now = link_free_at = next_small_at = 0.0
    pieces = 0
    longest_wait_s = 0.0
    while now < 20.0:
        if next_small_at <= now:
            rate.record(2_000, now)
            longest_wait_s = max(longest_wait_s, link_free_at - now)
            link_free_at = max(link_free_at, now) + 2_000 / link_bytes_per_s
            next_small_at += 2_000 / (0.33 * link_bytes_per_s)
        wait_s = rate.compute_wait(now)
        if wait_s == 0:
            rate.record(rate.piece_bytes, now)
            link_free_at = max(link_free_at, now) + rate.piece_bytes / link_bytes_per_s
            pieces += 1
        now += max(1e-4, min(wait_s, next_small_at - now))
    assert longest_wait_s < 0.012
    assert pieces * rate.piece_bytes / 20.0 > 0.5 * link_bytes_per_s


def make_budget(bytes_per_s: float = SLOW_LINK) -> LinkBudget:
    budget = LinkBudget(bytes_per_s)
    for _ in range(50):
        budget.learn("manual", MEAN_BYTES)
        budget.learn("charge", 5_000)
    return budget


def test_small_answers_are_never_refused() -> None:
    budget = make_budget()
    for request in range(1_000):
        budget.reserve(request, "manual")
    assert budget.find_refusal_ms("charge", 0.0, 0.1, 0.1) is None
    assert budget.find_refusal_ms("never seen", 0.0, 0.1, 0.1) is None
    assert budget.find_refusal_ms("manual", 0.0, OBJECTIVE_S, DEADLINE_S) == MAX_RETRY_MS


def test_the_retry_delay_is_when_the_link_will_be_free() -> None:
    budget = make_budget()
    count = 0
    while (retry_ms := budget.find_refusal_ms("manual", 0.0, OBJECTIVE_S, DEADLINE_S)) is None:
        budget.reserve(count, "manual")
        count += 1
    assert retry_ms >= MIN_RETRY_MS
    assert count == pytest.approx(OBJECTIVE_S * SLOW_LINK / MEAN_BYTES - 1, abs=1.5)
    sent = retry_ms / 1000 * SLOW_LINK
    for request in range(count):
        budget.record_sent(request, round(sent / count) + 1)
    later = retry_ms / 1000
    assert budget.find_refusal_ms("manual", later, later + OBJECTIVE_S, later + DEADLINE_S) is None


def test_an_idle_link_refuses_nothing() -> None:
    assert make_budget(1_000.0).find_refusal_ms("manual", 0.0, 0.1, 0.2) is None


def test_a_request_that_is_late_anyway_counts_by_its_deadline() -> None:
    budget = make_budget()
    budget.reserve(0, "manual")
    assert budget.find_refusal_ms("manual", 3.0, OBJECTIVE_S, DEADLINE_S) is None


def test_what_ended_takes_nothing() -> None:
    budget = make_budget()
    budget.reserve(0, "manual")
    budget.record_length(0, MAX_BYTES)
    assert budget.queued_bytes == MAX_BYTES
    budget.record_sent(0, MAX_BYTES + 1)
    assert budget.queued_bytes == 0
    budget.release(0)
    budget.release(0)
    budget.record_sent(0, 1)
    assert budget.queued_bytes == 0


@attrs.define
class _Outcome:
    in_time: int = 0
    late: int = 0
    refused: int = 0


def play(per_s: float, gates: int, has_budget: bool, seconds: float = 40.0) -> _Outcome:
    """Send downloads to gates of 5 Mbit/s, chosen by their links' reports of 0.3 s ago."""
    generator = random.Random(7)
    outcome = _Outcome()
    budgets = [make_budget() for _ in range(gates)]
    link_free_at = [0.0] * gates
    reported = [0.0] * gates
    events: list[tuple[float, int, str, int, float]] = []  # the last: begin, or size of a head
    now, number = 0.0, 0
    while now < seconds:
        now += generator.expovariate(per_s)
        heapq.heappush(events, (now, number, "arrive", -1, now))
        number += 1
    for tick in range(int(seconds / 0.3)):
        heapq.heappush(events, (tick * 0.3, -1 - tick, "report", -1, 0.0))
    while events:
        at, request, kind, gate, value = heapq.heappop(events)
        if kind == "report":
            reported = [max(0.0, free_at - at) for free_at in link_free_at]
        elif kind == "arrive":
            weights = compute_weights(
                [
                    GateCandidate(str(index), 6, 1, WORK_S, False, link_wait_s=reported[index])
                    for index in range(gates)
                ]
            )
            gate = generator.choices(range(gates), weights)[0]
            budget = budgets[gate]
            refusal_ms = budget.find_refusal_ms("manual", at, at + OBJECTIVE_S, at + DEADLINE_S)
            if has_budget and refusal_ms is not None:
                outcome.refused += 1
                continue
            budget.reserve(request, "manual")
            size = min(MAX_BYTES, generator.lognormvariate(math.log(MEAN_BYTES) - 0.18, 0.6))
            sent_at = max(at + WORK_S, link_free_at[gate]) + size / SLOW_LINK
            link_free_at[gate] = sent_at
            heapq.heappush(events, (at + WORK_S, request, "head", gate, size))
            heapq.heappush(events, (sent_at, request, "sent", gate, at))
        elif kind == "head":
            budgets[gate].record_length(request, round(value))
        else:
            budgets[gate].release(request)
            took_s = at - value
            outcome.in_time += took_s <= OBJECTIVE_S
            outcome.late += took_s > OBJECTIVE_S
    return outcome


def test_usual_downloads_of_nine_gates_are_hardly_refused() -> None:
    """50 downloads a second on nine machines of 5 Mbit/s: 0.89 of their links."""
    outcome = play(50.0, 9, has_budget=True)
    assert outcome.refused < 0.1 * 50 * 40
    assert outcome.in_time > 0.85 * 50 * 40


def test_two_and_a_half_times_the_downloads_keep_the_admitted_ones_in_time() -> None:
    """125 downloads a second on nine machines of 5 Mbit/s, which can send 56.

    Without a budget all answers are late soon; with it the links stay full of answers in time.
    """
    with_budget, without = (play(125.0, 9, has_budget) for has_budget in (True, False))
    possible = 40 * 9 * SLOW_LINK / MEAN_BYTES
    assert without.in_time < 0.2 * possible
    assert with_budget.in_time > 0.75 * possible
    assert with_budget.late < 0.2 * with_budget.in_time


def test_downloads_go_where_the_link_is_free() -> None:
    waits_s = [0.0, 0.5, 2.0]
    weights = compute_weights(
        [GateCandidate("n", 6, 1, WORK_S, False, link_wait_s=wait) for wait in waits_s]
    )
    shares = [weight / sum(weights) for weight in weights]
    assert shares[0] > 0.95 and statistics.fmean(shares[1:]) < 0.025
