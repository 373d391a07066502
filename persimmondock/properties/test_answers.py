"""Keys have one holder and refusals are true, whatever backend servers answer, and when."""

from __future__ import annotations

from typing import Any

from hypothesis import Phase, example, given, settings
from hypothesis import strategies as st

from persimmondock.tests.virtual_faults import (
    ANSWER_FAULTS,
    build_runs,
    make_fault,
    make_run,
    play,
)
from persimmondock.tests.virtual_time import run_in_virtual_time

MAX_SENDINGS = 4  # of a request under one identifier

# Renewals are under way when the keys move, and earlier answers stand on their connections.
MOVED_BEHIND_REPEATED_ANSWERS = make_run(
    make_fault("repeats_last_answer", 1.5, 1.0),
    make_fault("late_grants", 1.5, 1.0),
    make_fault("evacuate", 2.5, 1.0),
)
ACCEPTED_BEHIND_REPEATED_REFUSALS = make_run(
    make_fault("is_full", 1.0, 0.3),
    make_fault("disowns_keys", 2.5, 0.3),
    make_fault("repeats_answers", 1.5, 1.0),
)


@settings(max_examples=200, phases=[Phase.explicit, Phase.generate])
@given(run=build_runs(ANSWER_FAULTS, min_faults=4), names_orders=st.booleans())
@example(run=MOVED_BEHIND_REPEATED_ANSWERS, names_orders=True)
@example(run=MOVED_BEHIND_REPEATED_ANSWERS, names_orders=False)
@example(run=ACCEPTED_BEHIND_REPEATED_REFUSALS, names_orders=True)
def test_answers_count_only_for_the_request_that_they_answer(
    run: dict[str, Any], names_orders: bool
) -> None:
    """Guards against repeated and lost answers that give keys or refusals to another request."""
    faults = play(**run, names_orders=names_orders, max_sendings=MAX_SENDINGS)
    assert run_in_virtual_time(faults) == []
