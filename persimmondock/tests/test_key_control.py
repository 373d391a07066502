"""Leader choice, and planning of assignments from the statuses of peers."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.peer_stream import Delivery
from persimmondock._domain.assignment import (
    UNKNOWN_OWNER,
    UNKNOWN_WITNESSES,
    Assignment,
    EligibleOwner,
    KeyRange,
    decode_assignment,
    encode_assignment,
    plan_assignment,
)
from persimmondock._domain.gate_status import GateStatus
from persimmondock._domain.key_loads import KeyLoads
from persimmondock._domain.log_position import find_offset, make_position
from persimmondock._domain.range_lease import RangeLease
from persimmondock._domain.replica import KeyedEntry
from persimmondock._ports.keyed_log import Partition
from persimmondock._tasks.key_control import (
    ASSIGNMENT_KEY_PREFIX,
    FIRST_ASSIGNMENT_DELAY_S,
    OWNER_LOST_AFTER_S,
    KeyControl,
)
from persimmondock._tasks.mesh import Member, Mesh, Peer
from persimmondock._tasks.range_keeper import RangeKeeper
from persimmondock._tasks.store_follower import PartitionFollower
from persimmondock.tests.fake_backend import FakeBackend
from persimmondock.tests.sites import SERVICE, make_assignment, make_incarnation, make_range
from persimmondock.tests.test_store_follower import ScriptedLog
from persimmondock.tests.virtual_time import run_in_virtual_time


@attrs.define
class FakeLink:
    """A peer client that is always connected.

    Parameters
    ----------
    known
        The peer's assignment, or None if it has none.
    """

    connected: bool = True
    known: Assignment | None = None

    async def request(self, kind: str, _: object) -> object:
        assert kind == "assignment"
        return [self.known.offset, encode_assignment(self.known)] if self.known else [0, b""]


def make_status(number: int, born_ms: int = 1, **changes: object) -> GateStatus:
    status = GateStatus(
        SERVICE, make_incarnation(number, born_ms), 4, accepts_work=True, granted_offset=1
    )
    return attrs.evolve(status, **changes)


class ControlHarness:
    """The key control of node-1 with configurable peers."""

    def __init__(self) -> None:
        log = ScriptedLog()
        self.follower = PartitionFollower(log, Partition("t"), lambda _: None)
        self.follower.store_answers = True
        own = Member("node-1", "127.0.0.1:1", "recife", SERVICE)
        self.status = make_status(1)
        self.mesh = Mesh(own, [self.follower], lambda: self.status, lambda *_: None)
        self.control = KeyControl(
            "node-1",
            SERVICE,
            log,
            self.follower,
            self.mesh,
            RangeKeeper(FakeBackend(), RangeLease(), "node-1"),
            lambda: self.status,
            lambda _: False,
            lambda _: True,
            KeyLoads(),
        )

    def add_peer(self, number: int, status: GateStatus, store_answers: bool = True) -> Peer:
        member = Member(f"node-{number}", "127.0.0.1:2", "salvador", SERVICE)
        peer = Peer(member, FakeLink(), status, heard_at=read_clock())  # type: ignore[arg-type]
        peer.store_answers = store_answers
        self.mesh.add_peer(peer)
        return peer

    def list_owners(self, current: Assignment) -> set[object]:
        now = read_clock()
        statuses = self.control._list_statuses(now)
        self.control._record_availability(statuses, now)
        return {owner.incarnation for owner in self.control._list_owners(statuses, current, now)}


@pytest.fixture
def harness() -> ControlHarness:
    return ControlHarness()


@pytest.mark.parametrize(
    ("own", "peer", "is_leader"), [(True, True, False), (True, False, True), (False, False, False)]
)
def test_the_lowest_named_daemon_that_the_store_answers_is_the_leader(
    harness: ControlHarness, own: bool, peer: bool, is_leader: bool
) -> None:
    harness.follower.store_answers = own
    harness.add_peer(0, make_status(0), store_answers=peer)
    assert harness.control._is_leader(read_clock()) is is_leader


def test_a_daemon_that_does_not_know_its_backend_server_yet_keeps_its_keys(
    harness: ControlHarness,
) -> None:
    """Guards against moving keys when all daemons start at once.

    Each learns of its backend server a little later.
    """
    current = make_assignment(make_range(0, 9, 1), make_range(10, 19, 2))
    harness.control.assignments[SERVICE] = current
    harness.add_peer(2, GateStatus())
    assert harness.list_owners(current) == {make_incarnation(1), make_incarnation(2)}
    harness.control._unavailable_since["node-2"] -= OWNER_LOST_AFTER_S
    assert harness.list_owners(current) == {make_incarnation(1)}


def test_a_closed_gate_loses_its_keys_at_once(harness: ControlHarness) -> None:
    current = make_assignment(make_range(0, 9, 1), make_range(10, 19, 2))
    harness.control.assignments[SERVICE] = current
    harness.add_peer(2, make_status(2, accepts_work=False))
    assert harness.list_owners(current) == {make_incarnation(1)}


def test_a_stale_status_does_not_end_a_newer_incarnation(harness: ControlHarness) -> None:
    newer = make_range(10, 19, 2)
    newer = attrs.evolve(newer, owner=make_incarnation(2, born_ms=5))
    current = make_assignment(make_range(0, 9, 1), newer)
    harness.control.assignments[SERVICE] = current
    harness.add_peer(2, make_status(2, born_ms=1))
    assert make_incarnation(2, 1) not in harness.list_owners(current)


def test_a_backend_server_of_another_service_gets_no_keys(harness: ControlHarness) -> None:
    """Guards against keys that nobody serves because their owner belongs to another service.

    The status of a daemon may name another service than its record, as after a change of its VM.
    """
    current = make_assignment(make_range(0, 9, 1))
    harness.add_peer(2, make_status(2, service="elsewhere"))
    assert harness.list_owners(current) == {make_incarnation(1)}


def test_an_incarnation_whose_clock_was_set_back_gets_the_keys_of_its_predecessor(
    harness: ControlHarness,
) -> None:
    """Guards against keys without an owner when the only backend server seems to start earlier."""
    predecessor, successor = make_incarnation(1, born_ms=5), make_incarnation(1, born_ms=2)
    current = make_assignment(attrs.evolve(make_range(0, 9, 1), owner=predecessor))
    harness.control.assignments[SERVICE] = current
    harness.status = make_status(1, born_ms=2)

    async def run() -> None:
        assert harness.list_owners(current) == set()
        await asyncio.sleep(OWNER_LOST_AFTER_S)
        owners = [EligibleOwner(owner) for owner in harness.list_owners(current)]
        ranges = plan_assignment(current, owners)
        assert ranges is not None
        # Nothing proves that the predecessor has ended, so its daemon is asked.
        assert [(r.owner, r.former_owners) for r in ranges] == [(successor, (predecessor,))]

    run_in_virtual_time(run())


@pytest.mark.parametrize("keeps_name", [True, False])
def test_a_newer_incarnation_is_no_proof_that_the_earlier_one_has_ended(
    harness: ControlHarness, keeps_name: bool
) -> None:
    """Guards against a second holder: the later start may be that of a late announcement.

    A newer incarnation of the same name may also have taken grants for the earlier one.
    """
    key_range = make_range(0, 9, 3, former_owners=(make_incarnation(2),))
    current = make_assignment(key_range)
    newer = make_incarnation(2, born_ms=5)
    if keeps_name:
        newer = attrs.evolve(make_incarnation(2), born_ms=5)
    harness.add_peer(2, make_status(2, incarnation=newer))
    statuses = harness.control._list_statuses(read_clock())
    kept = harness.control._drop_former_owners(current, current.ranges, statuses)
    assert kept[0].former_owners == (make_incarnation(2),)


def test_former_owners_are_dropped_once_the_current_owner_holds_the_range(
    harness: ControlHarness,
) -> None:
    """Guards against a restarted daemon waiting for an owner that left long ago."""
    key_range = make_range(0, 19, 2, former_owners=(make_incarnation(7),))
    current = make_assignment(key_range)
    harness.add_peer(2, make_status(2, granted_offset=1))
    statuses = harness.control._list_statuses(read_clock())
    part = attrs.evolve(
        key_range,
        first=10,
        owner=make_incarnation(1),
        former_owners=(make_incarnation(7), make_incarnation(2)),
    )
    ranges = harness.control._drop_former_owners(current, (key_range, part), statuses)
    assert [entry.former_owners for entry in ranges] == [(), (make_incarnation(2),)]


async def test_a_plan_is_given_up_when_the_assignment_changes_while_loads_are_collected(
    harness: ControlHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against keys that go back to a former owner under its old token.

    Two daemons lead for a moment when the store answers again. One of them wrote its plan, made on
    the assignment before, after that of the other one, and undid it.
    """
    key_range = make_range(0, 9, 1, former_owners=(make_incarnation(2),))
    current = make_assignment(key_range)
    harness.control.assignments[SERVICE] = current
    harness.follower.replica.confirmed_by_store = True
    harness.status = make_status(1, capacity_per_s=10.0)
    harness.add_peer(2, make_status(2, capacity_per_s=10.0))
    written = []

    async def collect_loads(_: object) -> list[dict[int, float]]:
        if not written:
            moved = make_assignment(make_range(0, 9, 2, fence=2), offset=2)
            harness.control.assignments[SERVICE] = moved
        return []

    async def write(current: Assignment, *_: object) -> None:
        written.append(current.offset)

    monkeypatch.setattr(harness.control, "_collect_loads", collect_loads)
    monkeypatch.setattr(harness.control, "_write", write)
    await harness.control._plan()
    assert written == []
    harness.control.assignments[SERVICE] = current
    written.append(-1)
    await harness.control._plan()
    assert written == [-1, current.offset]


def test_a_store_read_confirms_the_lease_though_only_other_services_wrote(
    harness: ControlHarness,
) -> None:
    current = make_assignment(make_range(0, 9, 1), offset=1, witnesses="abc")
    harness.control.assignments[SERVICE] = current
    lease = harness.control._keeper.lease
    harness.control._keeper.assignment = current
    lease.adopt_assignment(1, current.witnesses)
    harness.control.record_store_read(4, 100.0)
    assert lease.compute_end() > 100.0


def make_entry(assignment: Assignment, era: int) -> KeyedEntry:
    """Return the record of an assignment as it is read in an era."""
    offset = make_position(era, find_offset(assignment.offset) - 1)
    return KeyedEntry(offset, ASSIGNMENT_KEY_PREFIX + SERVICE, encode_assignment(assignment))


def start_era(harness: ControlHarness, assignment: Assignment, era: int = 1) -> None:
    """Let the store come back with an assignment of before."""
    entry = make_entry(assignment, era)
    harness.follower.replica.apply([entry], entry.offset + 1)
    harness.follower.replica.confirmed_by_store = True
    harness.control.update_assignments([entry])


async def test_an_assignment_from_before_the_store_came_back_grants_nothing(
    harness: ControlHarness,
) -> None:
    """OWNER: what the store has may have been replaced by a record that it has lost."""
    harness.control._keeper.update_incarnation(make_incarnation(1))
    start_era(harness, make_assignment(make_range(0, 9, 1), witnesses="abc"))
    harness.control.record_store_read(harness.follower.replica.end, read_clock())
    keeper = harness.control._keeper
    assert keeper.assignment.ranges == ()
    assert keeper.lease.compute_end() < read_clock()


@pytest.fixture
def written(harness: ControlHarness, monkeypatch: pytest.MonkeyPatch) -> list[tuple[KeyRange, ...]]:
    """Ranges that the key control writes."""
    result: list[tuple[KeyRange, ...]] = []

    async def write(_: Assignment, ranges: tuple[KeyRange, ...], *__: object) -> None:
        result.append(ranges)

    monkeypatch.setattr(harness.control, "_write", write)
    return result


def test_the_first_assignment_of_an_era_has_new_tokens_and_unknown_former_owners(
    harness: ControlHarness, written: list[tuple[KeyRange, ...]]
) -> None:
    """OWNER: tokens were given out again, and lost owners were not waited for."""
    start_era(harness, make_assignment(make_range(0, 9, 1), make_range(10, 19, 2)))
    harness.add_peer(2, make_status(2))
    harness.control._started_at -= FIRST_ASSIGNMENT_DELAY_S
    asyncio.run(harness.control._plan())
    expected = (make_range(0, 9, 1), make_range(10, 19, 2))
    assert written == [
        tuple(attrs.evolve(r, fence=0, former_owners=(UNKNOWN_OWNER,)) for r in expected)
    ]


def make_known(owner: int, era: int, offset: int) -> Assignment:
    """Return an assignment that was written in an era."""
    position = make_position(era, offset)
    return make_assignment(make_range(0, 9, owner, fence=position), offset=position)


@pytest.mark.parametrize(
    ("told", "owner"),
    [
        ([], 1),
        ([None, make_known(2, 0, 24)], 2),
        ([make_known(2, 0, 24), make_known(3, 0, 23)], 2),
        ([make_known(2, 0, 24), make_known(3, 1, 4)], 3),
    ],
    ids=["nobody", "one", "two of one era", "a later era"],
)
def test_the_first_assignment_of_an_era_goes_by_the_latest_one_that_any_daemon_has(
    harness: ControlHarness,
    written: list[tuple[KeyRange, ...]],
    told: list[Assignment | None],
    owner: int,
) -> None:
    """Guards against owners of before a lost move while other daemons know the later ones."""
    start_era(harness, make_assignment(make_range(0, 9, 1), offset=2), era=2)
    for number, known in enumerate(told, 2):
        harness.add_peer(number, make_status(number)).client.known = known  # type: ignore[attr-defined]
    harness.control._started_at -= FIRST_ASSIGNMENT_DELAY_S
    asyncio.run(harness.control._plan())
    assert [item.owner for item in written[0]] == [make_incarnation(owner)]


@pytest.mark.parametrize(
    ("is_first_start", "witnesses"), [(False, UNKNOWN_WITNESSES), (True, frozenset())]
)
def test_without_a_known_assignment_the_witnesses_of_lost_ones_are_unknown(
    harness: ControlHarness,
    monkeypatch: pytest.MonkeyPatch,
    is_first_start: bool,
    witnesses: frozenset[str],
) -> None:
    """Guards against owners that do not wait for leases which unknown daemons confirm."""
    harness.control._is_first_start = is_first_start
    currents = []

    async def write(current: Assignment, *_: object) -> None:
        currents.append(current)

    monkeypatch.setattr(harness.control, "_write", write)
    harness.follower.replica.end = make_position(1, 0)
    harness.follower.replica.confirmed_by_store = True
    harness.control._started_at -= FIRST_ASSIGNMENT_DELAY_S
    asyncio.run(harness.control._plan())
    assert [current.witnesses for current in currents] == [witnesses]


def learn(harness: ControlHarness, assignment: Assignment, waited_s: float) -> None:
    """Let a daemon whose last change of witnesses is some seconds ago learn of an assignment."""
    harness.control._witnesses_changed_at -= waited_s
    harness.control.update_assignments([make_entry(assignment, 0)])


def test_the_former_witnesses_of_the_first_known_assignment_count(harness: ControlHarness) -> None:
    """Guards against unknown witnesses that a daemon without a copy drops at once."""
    first = make_assignment(make_range(0, 9, 1), witnesses="abc")
    learn(harness, attrs.evolve(first, former_witnesses=UNKNOWN_WITNESSES), 100.0)
    assert harness.control._keeps_witnesses(read_clock())


def test_other_former_witnesses_count_as_a_change(harness: ControlHarness) -> None:
    """Guards against former witnesses that a daemon drops which missed two changes, to and fro."""
    first = make_assignment(make_range(0, 9, 1), witnesses="abc")
    learn(harness, first, 0.0)
    learn(harness, attrs.evolve(first, former_witnesses=frozenset("abd"), offset=3), 100.0)
    assert harness.control._keeps_witnesses(read_clock())


def test_heartbeats_to_former_witnesses_are_as_frequent(harness: ControlHarness) -> None:
    """Guards against leases that lapse in an outage, since former witnesses are rarely asked."""
    harness.follower.store_answers = False
    first = make_assignment(make_range(0, 9, 1), witnesses="abc")
    learn(harness, attrs.evolve(first, former_witnesses=frozenset("cd")), 0.0)
    harness.control._choose_priority_peers()
    assert harness.mesh.priority_peers == frozenset("abcd")


async def test_a_daemon_tells_the_assignment_that_it_knows(harness: ControlHarness) -> None:
    delivery = Delivery("node-2", 1)
    assert await harness.control.handle_assignment(0, delivery) == [0, b""]
    known = make_known(1, 0, 24)
    harness.control.assignments[SERVICE] = known
    assert await harness.control.handle_assignment(known.offset, delivery) == [0, b""]
    offset, data = await harness.control.handle_assignment(2, delivery)
    assert decode_assignment(SERVICE, offset, data) == known


def test_a_daemon_that_has_just_started_waits_before_it_replaces_an_assignment(
    harness: ControlHarness, written: list[tuple[KeyRange, ...]]
) -> None:
    """Guards against keys that move because their owners are not heard of yet."""
    start_era(harness, make_assignment(make_range(0, 9, 1)))
    harness.control._started_at = read_clock()
    asyncio.run(harness.control._plan())
    assert written == []


async def test_a_write_from_before_the_store_came_back_replaces_nothing(
    harness: ControlHarness, written: list[tuple[KeyRange, ...]]
) -> None:
    """OWNER: its condition held again, since the partition ended at the same offset."""
    token = make_position(1, 5)
    in_force = make_assignment(make_range(0, 9, 1, fence=token), offset=token)
    start_era(harness, in_force)
    late = make_assignment(make_range(0, 9, 2, fence=6), offset=6)
    entry = make_entry(late, 1)
    harness.follower.replica.apply([entry], entry.offset + 1)
    harness.control.update_assignments([entry])
    assert harness.control.assignments[SERVICE].ranges == in_force.ranges
    # The copies of daemons that start now begin with the late record.
    await harness.control._plan()
    assert written == [in_force.ranges]
