"""Who writes assignments, and from what it knows of the others."""

from __future__ import annotations

import attrs
import pytest

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.assignment import Assignment
from persimmondock._domain.gate_status import GateStatus
from persimmondock._domain.key_loads import KeyLoads
from persimmondock._domain.range_lease import RangeLease
from persimmondock._ports.keyed_log import Partition
from persimmondock._tasks.key_control import LOST_AFTER_S, KeyControl
from persimmondock._tasks.mesh import Member, Mesh, Peer
from persimmondock._tasks.range_keeper import RangeKeeper
from persimmondock._tasks.store_follower import PartitionFollower
from persimmondock.tests.fake_backend import FakeBackend
from persimmondock.tests.sites import SERVICE, make_assignment, make_incarnation, make_range
from persimmondock.tests.test_store_follower import ScriptedLog


@attrs.define
class FakeLink:
    """A link that is always there."""

    connected: bool = True


def make_status(number: int, born_ms: int = 1, **changes: object) -> GateStatus:
    status = GateStatus(
        SERVICE, make_incarnation(number, born_ms), 4, accepts_work=True, granted_offset=1
    )
    return attrs.evolve(status, **changes)


class Controlling:
    """The control of node-1, with peers that are given."""

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
        self.mesh.peers[member.node] = peer
        return peer

    def list_owners(self, present: Assignment) -> set[object]:
        now = read_clock()
        statuses = self.control._list_statuses(now)
        self.control._note_fit(statuses, now)
        return {owner.incarnation for owner in self.control._list_owners(statuses, present, now)}


@pytest.fixture
def controlling() -> Controlling:
    return Controlling()


@pytest.mark.parametrize(
    ("own", "peer", "leads"), [(True, True, False), (True, False, True), (False, False, False)]
)
def test_the_lowest_name_that_the_store_answers_writes(
    controlling: Controlling, own: bool, peer: bool, leads: bool
) -> None:
    controlling.follower.store_answers = own
    controlling.add_peer(0, make_status(0), store_answers=peer)
    assert controlling.control._is_leader(read_clock()) is leads


def test_a_daemon_that_does_not_know_its_backend_server_yet_keeps_its_keys(
    controlling: Controlling,
) -> None:
    """Pattern: all daemons start at once; each learns of its backend server a little later."""
    present = make_assignment(make_range(0, 9, 1), make_range(10, 19, 2))
    controlling.control.assignments[SERVICE] = present
    controlling.add_peer(2, GateStatus())
    assert controlling.list_owners(present) == {make_incarnation(1), make_incarnation(2)}
    controlling.control._unfit_since["node-2"] -= LOST_AFTER_S
    assert controlling.list_owners(present) == {make_incarnation(1)}


def test_a_closed_gate_loses_its_keys_at_once(controlling: Controlling) -> None:
    present = make_assignment(make_range(0, 9, 1), make_range(10, 19, 2))
    controlling.control.assignments[SERVICE] = present
    controlling.add_peer(2, make_status(2, accepts_work=False))
    assert controlling.list_owners(present) == {make_incarnation(1)}


def test_old_news_of_a_daemon_does_not_end_its_newer_life(controlling: Controlling) -> None:
    newer = make_range(10, 19, 2)
    newer = attrs.evolve(newer, owner=make_incarnation(2, born_ms=5))
    present = make_assignment(make_range(0, 9, 1), newer)
    controlling.control.assignments[SERVICE] = present
    controlling.add_peer(2, make_status(2, born_ms=1))
    statuses = controlling.control._list_statuses(read_clock())
    assert controlling.control._list_gone(present, statuses) == frozenset()
    assert make_incarnation(2, 1) not in controlling.list_owners(present)


def test_a_newer_life_shows_that_the_earlier_one_has_ended(controlling: Controlling) -> None:
    present = make_assignment(make_range(0, 9, 2))
    controlling.add_peer(2, make_status(2, born_ms=5))
    statuses = controlling.control._list_statuses(read_clock())
    assert controlling.control._list_gone(present, statuses) == {make_incarnation(2)}


def test_former_owners_are_dropped_once_the_present_one_is_settled(
    controlling: Controlling,
) -> None:
    """Pattern: a daemon starts again and would wait for an owner that left long ago."""
    item = make_range(0, 19, 2, former_owners=(make_incarnation(7),))
    present = make_assignment(item)
    controlling.add_peer(2, make_status(2, granted_offset=1))
    statuses = controlling.control._list_statuses(read_clock())
    part = attrs.evolve(
        item,
        first=10,
        owner=make_incarnation(1),
        former_owners=(make_incarnation(7), make_incarnation(2)),
    )
    ranges = controlling.control._drop_settled(present, (item, part), statuses, frozenset())
    assert [entry.former_owners for entry in ranges] == [(), (make_incarnation(2),)]


def test_a_lease_is_proved_also_when_only_other_services_wrote(controlling: Controlling) -> None:
    present = make_assignment(make_range(0, 9, 1), offset=1, witnesses="abc")
    controlling.control.assignments[SERVICE] = present
    lease = controlling.control._keeper.lease
    controlling.control._keeper.assignment = present
    lease.adopt_assignment(1, present.witnesses)
    controlling.control.note_store(4, 100.0)
    assert lease.compute_end() > 100.0
