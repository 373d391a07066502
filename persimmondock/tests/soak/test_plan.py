"""A soak's plan, and the seeds that are kept."""

from __future__ import annotations

import itertools

from persimmondock.soak.plan import QUIET_END_S, draw_plan


def test_one_seed_gives_one_plan() -> None:
    assert draw_plan(7, 60.0, 6) == draw_plan(7, 60.0, 6)
    assert draw_plan(7, 60.0, 6) != draw_plan(8, 60.0, 6)


def test_all_kinds_come_and_overlap() -> None:
    events = [event for seed in range(20) for event in draw_plan(seed, 60.0, 6)]
    assert len({event.kind for event in events}) == 12
    plan = draw_plan(3, 60.0, 6)
    assert any(one.at_s + one.for_s > two.at_s for one, two in itertools.pairwise(plan))


def test_the_end_is_quiet() -> None:
    for seed in range(20):
        assert all(event.at_s < 60.0 - QUIET_END_S for event in draw_plan(seed, 60.0, 6))
