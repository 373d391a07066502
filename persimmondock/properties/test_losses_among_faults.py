"""Keys have one holder though the store loses records while VMs are isolated and others fail."""

from __future__ import annotations

from typing import Any

import attrs
from hypothesis import Phase, example, given, settings

from persimmondock._domain.site import GrantsInHeartbeats
from persimmondock._tasks.key_control import MIN_WITNESS_CHANGE_INTERVAL_S
from persimmondock.tests.virtual_faults import make_fault
from persimmondock.tests.virtual_losses import (
    RUNS,
    Isolation,
    Loss,
    Restoration,
    StoreAnswers,
    make_run,
    play,
)
from persimmondock.tests.virtual_time import run_in_virtual_time

# vm-1 and vm-2 are replaced as witnesses, the store loses that, and only they remain in reach.
LOST_CHANGE_OF_WITNESSES = make_run(
    Loss(Restoration(3.9, 3.85, 0.05, 0.0), restarted=frozenset({0}), down_s=0.1),
    Isolation(3.9, 10.0, frozenset({3, 4, 5}), StoreAnswers.NONE, is_cut=True),
    make_fault("restart_daemon", 0.0, 1.0),
    attrs.evolve(make_fault("restart_daemon", 0.0, 1.0), vm=2),
    settled_s=MIN_WITNESS_CHANGE_INTERVAL_S,
)
# Who remains in reach has restarted and knows of no assignment, nor does the store.
LOST_FIRST_ASSIGNMENT = make_run(
    Loss(Restoration(1.0, 8.0, 0.05, 0.0), restarted=frozenset({0, 1}), down_s=0.1),
    Isolation(1.0, 10.0, frozenset({2, 3, 4, 5}), StoreAnswers.NONE, is_cut=True),
)
# The former owners of moved keys, vm-1 and vm-4, restart and find their rows from before.
LOST_MOVE = make_run(
    Loss(
        Restoration(3.0, 1.8, 0.05, 0.0),
        restarted=frozenset({0, 1, 4}),
        down_s=0.1,
        moved_vm=1,
        moved_s=1.5,
    ),
)


@settings(max_examples=70, phases=[Phase.explicit, Phase.generate])
@given(run=RUNS)
@example(run=LOST_CHANGE_OF_WITNESSES)
@example(run=LOST_FIRST_ASSIGNMENT)
@example(run=LOST_MOVE)
def test_keys_have_one_holder_though_records_are_lost_among_faults(run: dict[str, Any]) -> None:
    """Guards against two holders by a loss of records that meets cuts, restarts or hanging servers.

    Each of these has a property of its own; a holder that only their join lets go on has none.
    """
    assert run_in_virtual_time(play(**run)) == []


@settings(max_examples=25, phases=[Phase.explicit, Phase.generate])
@given(run=RUNS)
@example(run=LOST_CHANGE_OF_WITNESSES)
@example(run=LOST_FIRST_ASSIGNMENT)
@example(run=LOST_MOVE)
def test_keys_of_replies_have_one_holder_though_records_are_lost_among_faults(
    run: dict[str, Any],
) -> None:
    """Guards against the same where replies to heartbeats grant the keys."""
    assert run_in_virtual_time(play(**run, grant_mode=GrantsInHeartbeats())) == []
