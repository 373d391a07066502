"""Tests of the plan of a soak."""

from __future__ import annotations

import itertools

from persimmondock.soak.plan import (
    ANSWER_KINDS,
    CRASH_KINDS,
    DEPARTURE_KINDS,
    FAILURE_KINDS,
    PROCESS_KINDS,
    RESTORE_KINDS,
    SETTLING_TIME_S,
    SHEDDING_KINDS,
    Event,
    draw_answers,
    draw_crashes,
    draw_departures,
    draw_failures,
    draw_plan,
    draw_process_faults,
    draw_restorations,
    draw_shedding,
)


def test_plan_is_determined_by_its_seed() -> None:
    assert draw_plan(7, 60.0, 6) == draw_plan(7, 60.0, 6)
    assert draw_plan(7, 60.0, 6) != draw_plan(8, 60.0, 6)


def test_plans_have_all_kinds_and_overlapping_events() -> None:
    events = [event for seed in range(20) for event in draw_plan(seed, 60.0, 6)]
    assert len({event.kind for event in events}) == 35
    plan = draw_plan(3, 60.0, 6)
    assert any(one.at_s + one.for_s > two.at_s for one, two in itertools.pairwise(plan))


def test_no_event_starts_in_the_settling_time() -> None:
    for seed in range(20):
        assert all(event.at_s < 60.0 - SETTLING_TIME_S for event in draw_plan(seed, 60.0, 6))


def test_later_sequences_leave_the_other_events_of_a_seed_as_they_are() -> None:
    plan = draw_plan(310, 25.0, 6)
    assert [e for e in plan if e.kind in CRASH_KINDS] == draw_crashes(310, 25.0, 6)
    assert [e for e in plan if e.kind in ANSWER_KINDS] == draw_answers(310, 25.0, 6)
    assert [e for e in plan if e.kind in RESTORE_KINDS] == draw_restorations(310, 25.0)
    assert [e for e in plan if e.kind in DEPARTURE_KINDS] == draw_departures(310, 25.0, 6)
    assert [e for e in plan if e.kind in PROCESS_KINDS] == draw_process_faults(310, 25.0, 6)
    assert [e for e in plan if e.kind in SHEDDING_KINDS] == draw_shedding(310, 25.0)
    assert [e for e in plan if e.kind in FAILURE_KINDS] == draw_failures(310, 25.0, 6)
    kinds = (CRASH_KINDS, ANSWER_KINDS, DEPARTURE_KINDS, RESTORE_KINDS, PROCESS_KINDS)
    later = {kind for group in (*kinds, SHEDDING_KINDS, FAILURE_KINDS) for kind in group}
    others = [event for event in plan if event.kind not in later]
    assert len(others) == 16
    assert others[0] == Event(3.0, "configure", 0, 0.3)
    assert others[-1] == Event(14.74, "drain_backend", 4, 1.0)
