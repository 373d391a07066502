"""Tests of the delay of hedges and of the race between attempts."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

import numpy as np
import pytest

from persimmondock._domain.hedging import QuantileTracker, make_hedge_budget
from persimmondock._domain.verdict import Answer, Answered, NotRun, Reason, Verdict
from persimmondock._tasks.race import race_attempts

ANSWERED = Answered(Answer(200, (), b""))
REFUSED = NotRun(Reason.OVERLOADED)


def test_the_tracker_follows_its_quantile() -> None:
    source, tracker = random.Random(5), QuantileTracker()
    took = [source.expovariate(50.0) for _ in range(4_000)]
    for value in took:
        tracker.count(value)
    assert 0.9 < np.mean(np.array(took) <= tracker.estimate_s) < 0.99


def test_hedges_are_a_small_share_of_requests() -> None:
    budget, hedges = make_hedge_budget(), 0
    for number in range(10_000):
        budget.record_first(number / 1_000)
        hedges += budget.spend(number / 1_000)
    assert hedges <= 0.05 * 10_000 + 10 + 55


RACES = [
    # first after s, its verdict, second after s, its verdict, verdicts, cancelled
    (0.0, ANSWERED, 0.0, ANSWERED, [ANSWERED], 0),
    (0.0, REFUSED, 0.0, ANSWERED, [REFUSED], 0),
    (5.0, ANSWERED, 0.0, ANSWERED, [ANSWERED], 1),
    (0.05, ANSWERED, 5.0, ANSWERED, [ANSWERED], 1),
    (0.05, ANSWERED, 0.0, REFUSED, [REFUSED, ANSWERED], 0),
    (0.05, REFUSED, 0.0, REFUSED, [REFUSED, REFUSED], 0),
]


@pytest.mark.parametrize(("first_s", "first", "second_s", "second", "verdicts", "cancelled"), RACES)
async def test_the_first_answer_ends_the_race(
    first_s: float,
    first: Verdict,
    second_s: float,
    second: Verdict,
    verdicts: list[Verdict],
    cancelled: int,
) -> None:
    seen = []

    async def attempt(after_s: float, verdict: Verdict) -> Verdict:
        try:
            await asyncio.sleep(after_s)
        except asyncio.CancelledError:
            seen.append(verdict)
            raise
        return verdict

    def start_second() -> Coroutine[Any, Any, Verdict]:
        return attempt(second_s, second)

    assert await race_attempts(attempt(first_s, first), start_second, 0.01) == verdicts
    await asyncio.sleep(0.01)
    assert len(seen) == cancelled


async def test_a_caller_that_leaves_ends_both_attempts() -> None:
    ended = []

    async def attempt() -> Verdict:
        try:
            await asyncio.sleep(60)
        finally:
            ended.append(True)
        return ANSWERED

    race = asyncio.create_task(race_attempts(attempt(), attempt, 0.001))
    await asyncio.sleep(0.05)
    race.cancel()
    await asyncio.gather(race, return_exceptions=True)
    await asyncio.sleep(0)
    assert ended == [True, True]
