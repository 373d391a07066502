"""Plans of a daemon that learns of a newer assignment while it plans."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from persimmondock._domain.assignment import BackendIncarnation
from persimmondock._ports.keyed_log import Conflict, Partition, StoreFailed, WriteOutcome
from persimmondock.tests.sites import SERVICE, make_assignment, make_incarnation, make_range
from persimmondock.tests.test_key_control import ControlHarness, make_status
from persimmondock.tests.test_store_follower import ScriptedLog

PLANNED_AT, NEWER = 1, 2


@attrs.define
class RecordingLog(ScriptedLog):
    """A store at which every conditional write comes too late."""

    expected_ends: list[int | None] = attrs.field(factory=list)

    async def write(
        self, partition: Partition, entries: Sequence[tuple[str, bytes]], expected_end: int | None
    ) -> WriteOutcome:
        self.expected_ends.append(expected_end)
        return Conflict()


async def test_a_plan_made_on_an_older_assignment_is_not_written_over_a_newer_one() -> None:
    """Guards against keys that go back to a former owner under its old fencing token.

    Two daemons lead for a moment. One collects loads while the other's assignment arrives, and
    writes the ranges that it knew before, on the condition that the log ends at the new one.
    """
    harness = ControlHarness()
    log = harness.control._log = harness.follower._log = RecordingLog(reads=[StoreFailed("")])
    replica = harness.follower.replica
    replica.confirmed_by_store, replica.end = True, PLANNED_AT
    harness.status = make_status(1, capacity_per_s=10.0)
    harness.add_peer(2, make_status(2, capacity_per_s=10.0))
    moved = make_range(0, 32_767, 1, former_owners=(make_incarnation(2),))
    kept = make_range(32_768, 65_535, 2)
    harness.control.assignments[SERVICE] = make_assignment(moved, kept, offset=PLANNED_AT)
    asked: list[BackendIncarnation] = []

    async def collect_loads(owners: list[BackendIncarnation]) -> list[dict[int, float]]:
        asked.extend(owners)
        newer = attrs.evolve(moved, owner=make_incarnation(2), fence=NEWER)
        harness.control.assignments[SERVICE] = make_assignment(newer, kept, offset=NEWER)
        replica.end = NEWER
        return []

    harness.control._collect_loads = collect_loads  # type: ignore[method-assign]
    await harness.control._plan()
    assert asked
    assert NEWER not in log.expected_ends
