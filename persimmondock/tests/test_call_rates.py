"""Estimates of the calls that runs at a backend server make.

Guards against calls of retried requests that are charged to the wrong service, or not at all.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from persimmondock._domain.call_rates import (
    MAX_KINDS,
    MAX_TARGETS,
    CallRates,
    RunKind,
    Target,
)

FIRST = RunKind("lookup", repeat=False)
REPEAT = RunKind("lookup", repeat=True)
ROSTER = Target("baybook", "roster")
WATCHED_S = 30.0


def watch(
    calls: dict[RunKind, int],
    run_s: float = 0.3,
    runs_per_s: float = 12.0,
    from_callers_per_s: float = 0.0,
    seed: int = 1,
) -> CallRates:
    """Return what was learned from runs that make calls, beside requests of callers.

    Parameters
    ----------
    calls
        Calls that each run of a kind makes, at random instants; one run in five is of a kind other
        than the first.
    """
    generator, rates = random.Random(seed), CallRates()
    events: list[tuple[float, int, Callable[[float], None]]] = []

    def add(at: float, apply: Callable[[float], None]) -> None:
        events.append((at, len(events), apply))

    kinds = list(calls)
    at = 0.0
    while at < WATCHED_S:
        at += generator.expovariate(runs_per_s)
        others = len(kinds) > 1 and generator.random() < 0.2
        kind = generator.choice(kinds[1:]) if others else kinds[0]
        end = at + run_s * generator.uniform(0.5, 1.5)
        add(at, lambda now, kind=kind: rates.record_start(kind, now))
        for _ in range(calls[kind]):
            add(generator.uniform(at, end), lambda now: rates.record_request(ROSTER, now))
        add(end, lambda now, kind=kind: rates.record_end(kind, now))
    at = 0.0
    while from_callers_per_s and at < WATCHED_S:
        at += generator.expovariate(from_callers_per_s)
        add(at, lambda now: rates.record_request(ROSTER, now))
    for now, _, apply in sorted(events):
        apply(now)
    return rates


@pytest.mark.parametrize("calls", [1, 2, 4])
@pytest.mark.parametrize("from_callers_per_s", [0.0, 5.0])
def test_the_calls_of_a_run_are_learned(calls: int, from_callers_per_s: float) -> None:
    rates = watch({FIRST: calls}, from_callers_per_s=from_callers_per_s)
    assert rates.estimate_calls(FIRST, WATCHED_S)["baybook"] == pytest.approx(calls, rel=0.35)


def test_repeats_that_make_more_calls_than_first_runs_are_told_from_these() -> None:
    """What fails for lack of a call makes calls; one run in five is a repeat."""
    rates = watch({FIRST: 1, REPEAT: 4})
    assert rates.estimate_calls(REPEAT, WATCHED_S)["baybook"] == pytest.approx(4, rel=0.35)
    assert rates.estimate_calls(FIRST, WATCHED_S)["baybook"] == pytest.approx(1, rel=0.5)


def test_a_route_without_calls_is_told_from_one_with_calls() -> None:
    other = RunKind("export", repeat=False)
    rates = watch({FIRST: 3, other: 0})
    assert rates.estimate_calls(other, WATCHED_S).get("baybook", 0.0) <= 0.6


@pytest.mark.parametrize("seed", range(1, 6))
def test_requests_of_callers_are_not_taken_for_calls(seed: int) -> None:
    rates = watch({FIRST: 0}, from_callers_per_s=5.0, seed=seed)
    assert rates.estimate_calls(REPEAT, WATCHED_S).get("baybook", 0.0) <= 0.25


def test_repeats_are_expected_to_call_like_first_runs_until_some_were_seen() -> None:
    rates = watch({FIRST: 2})
    assert rates.estimate_calls(REPEAT, WATCHED_S) == rates.estimate_calls(FIRST, WATCHED_S)


def test_nothing_is_expected_of_a_route_that_never_ran() -> None:
    assert CallRates().estimate_calls(REPEAT, WATCHED_S) == {}


def test_many_routes_are_estimated_together() -> None:
    """A configuration grows by hundreds of routes, of the server and of what it calls."""
    rates = CallRates()
    for number in range(1_000):
        kind = rates.record_start(RunKind(f"r{number}", repeat=False), 0.1 * number)
        rates.record_request(Target("baybook", f"t{number}"), 0.1 * number + 0.05)
        rates.record_end(kind, 0.1 * number + 0.08)
    assert len(rates._runs) <= MAX_KINDS + 1
    assert len(rates._seen) <= MAX_TARGETS + 1
    expected = rates.estimate_calls(RunKind("r999", repeat=True), 100.0)
    assert expected["baybook"] == pytest.approx(1.0, rel=0.35)


def test_a_long_suspension_is_survived() -> None:
    rates = watch({FIRST: 2})
    kind = rates.record_start(FIRST, WATCHED_S)
    rates.record_end(kind, 1e7)
    rates.record_request(ROSTER, 1e7 + 1.0)
    assert rates.estimate_calls(FIRST, 1e7 + 1.0).get("baybook", 0.0) <= 2.0


def test_what_is_not_seen_any_more_is_forgotten() -> None:
    rates = watch({FIRST: 2})
    for hour in range(1, 4):
        rates.record_start(RunKind("other", repeat=False), 3600.0 * hour)
        rates.record_end(RunKind("other", repeat=False), 3600.0 * hour + 0.1)
    assert rates.estimate_calls(FIRST, 3.0 * 3600.0) == {}
    assert not rates._seen
