"""Fencing tokens and former owners over histories of assignments that two planners write."""

from __future__ import annotations

from typing import Any

from hypothesis import Phase, example, given, settings
from hypothesis import strategies as st

from persimmondock._domain.balance import MAX_RANGES
from persimmondock.tests.planner_histories import (
    KINDS,
    PLANNERS,
    AssignmentHistory,
    PlannerSite,
    Step,
)
from persimmondock.tests.virtual_time import run_in_virtual_time

MAX_STEPS = 16
MAX_VMS = 4
# Keys move only while all is known to all, so most steps let it be.
STEPS = st.builds(
    Step,
    kind=st.sampled_from(
        [*KINDS, *10 * ("round",), *8 * ("shift",), *4 * ("evict", "meanwhile", "race", "succeed")]
    ),
    planner=st.integers(0, PLANNERS - 1),
    vm=st.integers(0, MAX_VMS - 1),
    number=st.integers(0, 3),
)
HISTORIES = st.fixed_dictionaries(
    {
        "steps": st.lists(STEPS, min_size=MAX_STEPS // 2, max_size=MAX_STEPS),
        "vms": st.integers(2, MAX_VMS),
        "max_rows": st.sampled_from([3, 8, MAX_RANGES]),
    }
)
# Busy keys go from one VM to the other, back, and there again.
THERE_AND_BACK: dict[str, Any] = {
    "steps": [Step("shift", vm=vm, number=3) for vm in (0, 1, 0, 1)],
    "vms": 2,
    "max_rows": MAX_RANGES,
}
# Its keys go to the others, where they lie side by side; it comes back as another process.
LEAVES_AND_COMES_BACK: dict[str, Any] = {
    "steps": [
        Step("leave", vm=2),
        *3 * (Step("round"),),
        Step("replace", vm=2, number=3),
        *3 * (Step("round"),),
        Step("wait", number=3),
        Step("round", vm=1, number=3),
    ],
    "vms": 3,
    "max_rows": 3,
}
# Both plan at once; one write is refused, one is carried out late, above the first one of an era.
WRITES_UNANSWERED: dict[str, Any] = {
    "steps": [
        Step("late", number=0),
        Step("leave", vm=2),
        Step("round"),
        Step("round", planner=1),
        Step("return", vm=2),
        Step("hear", planner=0),
        Step("hear", planner=1),
        Step("race"),
        Step("refuse"),
        Step("round"),
        Step("leave", vm=2),
        Step("round"),
        Step("late", number=3),
        Step("leave", vm=1),
        Step("round"),
        Step("restore", number=1),
        Step("round", planner=1),
        Step("wait", number=2),
        Step("round"),
        Step("shift", vm=0, number=2),
    ],
    "vms": 3,
    "max_rows": MAX_RANGES,
}
# The process that leaves has a successor that seems to start earlier, and which gets keys at once;
# the other planner still knows the status of the one that left.
SUCCESSOR_SEEMS_EARLIER: dict[str, Any] = {
    "steps": [
        Step("leave", vm=2),
        Step("shift", vm=0, number=2),
        Step("replace", vm=1, number=2),
        Step("succeed", planner=1, vm=2, number=2),
    ],
    "vms": 3,
    "max_rows": 8,
}
# The record by which others got the keys of a VM is lost, with all copies of it.
MOVE_IS_LOST: dict[str, Any] = {
    "steps": [
        Step("wait", number=2),
        Step("evict", vm=2, number=1),
        Step("round"),
        Step("return", vm=2),
        Step("restore", number=1),
        Step("restart", vm=0),
        Step("restart", vm=1),
    ],
    "vms": 3,
    "max_rows": MAX_RANGES,
}


def play(steps: list[Step], vms: int, max_rows: int) -> AssignmentHistory:
    """Return the history that results from steps."""
    return run_in_virtual_time(_play(steps, vms, max_rows))


async def _play(steps: list[Step], vms: int, max_rows: int) -> AssignmentHistory:
    return await PlannerSite(vms, max_rows).play(steps)


@settings(max_examples=200, phases=[Phase.explicit, Phase.generate])
@given(history=HISTORIES)
@example(history=THERE_AND_BACK)
@example(history=LEAVES_AND_COMES_BACK)
@example(history=WRITES_UNANSWERED)
@example(history=SUCCESSOR_SEEMS_EARLIER)
@example(history=MOVE_IS_LOST)
def test_keys_change_owners_under_rising_tokens_and_former_owners_stay_named(
    history: dict[str, Any],
) -> None:
    """OWNER: a former owner gets keys under a token that it had, or is not waited for."""
    assert play(**history).faults == []


def test_the_histories_have_what_they_are_to_have() -> None:
    """Guards against a property that holds since nothing moves, is merged, or is lost."""
    there_and_back, comes_back, unanswered = (
        play(**history).counts
        for history in (THERE_AND_BACK, LEAVES_AND_COMES_BACK, WRITES_UNANSWERED)
    )
    assert there_and_back["moved back"] > 0
    assert min(comes_back[name] for name in ("moved", "merged", "new token", "witnesses")) > 0
    outcomes = ("refused", "StoreFailed", "Conflict", "era", "not in force")
    assert min(unanswered[name] for name in outcomes) > 0
