"""Keys have one holder, whatever processes crash, are replaced or take grants late."""

from __future__ import annotations

from typing import Any

from hypothesis import Phase, example, given, settings
from hypothesis import strategies as st

from persimmondock._domain.site import GrantsInHeartbeats
from persimmondock.tests.virtual_faults import FAULTS, build_runs, make_fault, make_run, play
from persimmondock.tests.virtual_time import run_in_virtual_time

RUNS = build_runs(FAULTS)
MOVED_BEFORE_ANNOUNCEMENT = make_run(make_fault("crash", 1.66, 0.4, 0.05))
MOVED_WHILE_GRANTS_ARE_LATE = make_run(
    make_fault("late_grants", 1.0, 0.5), make_fault("evacuate", 2.0, 1.0)
)


@settings(max_examples=200, phases=[Phase.explicit, Phase.generate])
@given(run=RUNS)
@example(run=MOVED_BEFORE_ANNOUNCEMENT)
@example(run=MOVED_WHILE_GRANTS_ARE_LATE)
def test_no_two_processes_hold_a_key_and_no_token_is_used_twice(run: dict[str, Any]) -> None:
    """Guards against orders for one process of a backend server that reach another one."""
    assert run_in_virtual_time(play(**run)) == []


@settings(max_examples=200, phases=[Phase.explicit, Phase.generate])
@given(run=RUNS)
@example(run=MOVED_BEFORE_ANNOUNCEMENT)
def test_processes_that_keep_their_name_are_told_apart(run: dict[str, Any]) -> None:
    """Guards against the same where a process starts again under the name that it had."""
    assert run_in_virtual_time(play(**run, keeps_name=True)) == []


@settings(max_examples=100, phases=[Phase.explicit, Phase.generate])
@given(run=RUNS, keeps_name=st.booleans())
@example(run=MOVED_BEFORE_ANNOUNCEMENT, keeps_name=True)
def test_replies_to_heartbeats_reach_no_other_process(
    run: dict[str, Any], keeps_name: bool
) -> None:
    """Guards against the same where replies to heartbeats grant the keys."""
    mode = GrantsInHeartbeats()
    assert run_in_virtual_time(play(**run, keeps_name=keeps_name, grant_mode=mode)) == []
