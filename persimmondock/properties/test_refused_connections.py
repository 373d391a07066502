"""Keys have one holder, whatever processes refuse connections while they hold them."""

from __future__ import annotations

from typing import Any

from hypothesis import Phase, example, given, settings

from persimmondock._domain.site import GrantsInHeartbeats
from persimmondock.tests.virtual_faults import (
    REFUSAL_FAULTS,
    build_runs,
    make_fault,
    make_run,
    play,
)
from persimmondock.tests.virtual_time import run_in_virtual_time

RUNS = build_runs(REFUSAL_FAULTS, min_faults=3)
RESTARTED_BESIDE_A_FULL_SERVER = make_run(
    make_fault("refuses_connections", 1.5, 1.0),
    make_fault("evacuate", 1.6, 1.0),
    make_fault("restart_daemon", 1.6, 0.1),
)
RESET_BY_A_FULL_SERVER = make_run(
    make_fault("refuses_connections", 1.5, 1.0),
    make_fault("evacuate", 1.6, 1.0),
    make_fault("reset_connections", 1.6, 0.1),
)


@settings(max_examples=200, phases=[Phase.explicit, Phase.generate])
@given(run=RUNS)
@example(run=RESTARTED_BESIDE_A_FULL_SERVER)
@example(run=RESET_BY_A_FULL_SERVER)
def test_a_process_that_refuses_connections_keeps_its_keys(run: dict[str, Any]) -> None:
    """Guards against a refused connection that is taken for the end of a holder of keys."""
    assert run_in_virtual_time(play(**run)) == []


@settings(max_examples=100, phases=[Phase.explicit, Phase.generate])
@given(run=RUNS)
@example(run=RESTARTED_BESIDE_A_FULL_SERVER)
def test_a_process_that_refuses_connections_keeps_the_keys_of_its_replies(
    run: dict[str, Any],
) -> None:
    """Guards against the same where replies to heartbeats grant the keys."""
    assert run_in_virtual_time(play(**run, grant_mode=GrantsInHeartbeats())) == []
