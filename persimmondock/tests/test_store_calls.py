"""Calls to the store: at rest, at the start of a site, and when the daemon that makes them is lost.

Each call is billed, and all daemons of a site share a limit. Sites of 60 to 78 daemons made one
every 1.4 s and daemon.
"""

from __future__ import annotations

import asyncio

import attrs
import pytest

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.peer_stream import Delivery
from persimmondock._domain.assignment import encode_assignment
from persimmondock._domain.gate_status import GateStatus
from persimmondock._domain.range_lease import LEASE_TERM_S
from persimmondock._domain.replica import KeyedEntry
from persimmondock._ports.keyed_log import Records
from persimmondock._tasks.key_control import (
    ASSIGNMENT_KEY_PREFIX,
    CONFIRMATION_WAIT_S,
    LEASE_CHECK_INTERVAL_S,
    LEASE_CHECK_STEP_S,
)
from persimmondock._tasks.mesh import JOIN_S
from persimmondock._tasks.store_follower import POLL_WAIT_S, SHARED_POLL_S, PartitionFollower
from persimmondock.tests.sites import SERVICE, make_assignment, make_range
from persimmondock.tests.test_configuration_delay import SITES
from persimmondock.tests.test_key_control import ControlHarness, make_status
from persimmondock.tests.test_mesh import FakeLink, make_member, make_mesh
from persimmondock.tests.test_store_follower import PARTITION, ScriptedLog
from persimmondock.tests.virtual_mesh import VirtualMeshSite
from persimmondock.tests.virtual_time import run_in_virtual_time

REST_S = 10.0


@attrs.define
class VersionedLink(FakeLink):
    """A peer client with the version that both ends speak."""

    version: int = 1
    is_mistaken: bool = False


@pytest.mark.parametrize(("sizes", "apply_s", "count"), SITES[:2])
def test_one_daemon_polls_for_all_failure_domains(
    sizes: tuple[int, ...], apply_s: float, count: int
) -> None:
    """Load: a site at rest, where one daemon of each failure domain polled each 0.5 s."""

    async def scenario() -> None:
        site = VirtualMeshSite(sizes, apply_s)
        await site.run()
        await asyncio.sleep(1.0)
        before = {daemon.name: daemon.calls for daemon in site.daemons}
        await asyncio.sleep(REST_S)
        calls = {daemon.name: daemon.calls - before[daemon.name] for daemon in site.daemons}
        assert calls.pop("a-00") > REST_S
        # Two readers a domain wait for the records of two partitions, 20 s at most.
        assert sum(calls.values()) <= 2 * 2 * 2 * len(sizes)
        await site.stop()

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("fault", ["paused_until", "unanswered_until"])
def test_another_daemon_polls_when_the_polls_of_the_first_cease(fault: str) -> None:
    """Failure: the daemon that polls stands still, or the store does not answer it any more."""

    async def scenario() -> float:
        site = VirtualMeshSite((6, 4, 4), 2.0)
        await site.run()
        await asyncio.sleep(1.0)
        first, second = site.daemons[0], site.daemons[6]
        setattr(first, fault, read_clock() + 30.0)
        before, lost_at = second.calls, read_clock()
        while second.calls - before < 3:
            await asyncio.sleep(0.01)
        await site.stop()
        return read_clock() - lost_at

    # Abandoned wait, poll, and the call after it.
    assert run_in_virtual_time(scenario()) < SHARED_POLL_S + 2 * POLL_WAIT_S + 0.5


def test_a_starting_follower_settles_before_it_waits_at_the_store() -> None:
    """Load: 60 daemons start at once and none knows of another that reads."""

    async def scenario() -> None:
        log = ScriptedLog([Records((), 3)])
        follower = PartitionFollower(log, PARTITION, lambda _: None, settle_s=0.5)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.4)
        assert log.read_offsets == []
        await asyncio.sleep(0.5)
        assert log.read_offsets == [3]
        task.cancel()

    run_in_virtual_time(scenario())


def test_a_stale_copy_is_read_though_its_daemon_settles() -> None:
    """Guards against an old configuration at a daemon that starts."""

    async def scenario() -> None:
        log = ScriptedLog([Records((), 3)])
        follower = PartitionFollower(log, PARTITION, lambda _: None, max_age_s=0.3, settle_s=5.0)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.8)
        assert log.read_offsets[:1] == [3]
        task.cancel()

    run_in_virtual_time(scenario())


def test_peers_that_may_be_starting_count_as_readers_for_a_while() -> None:
    mesh = make_mesh(6, 14)
    for peer in mesh.peers.values():
        peer.store_answers = False
        peer.expected_until = read_clock() + JOIN_S
        peer.client = VersionedLink()  # type: ignore[assignment]
    assert not mesh.is_reader()
    for peer in mesh.peers.values():
        peer.expected_until = read_clock() - 0.1
    assert mesh.is_reader()


async def test_a_poll_is_shared_with_the_first_readers_of_other_domains_only() -> None:
    mesh = make_mesh(0, 14)
    for peer in mesh.peers.values():
        peer.client = VersionedLink(version=0 if peer.member.node == "node-0001" else 1)  # type: ignore[assignment]
    mesh.share_poll()
    await asyncio.sleep(0)
    told = [node for node, peer in mesh.peers.items() if peer.client.sent]  # type: ignore[attr-defined]
    # The first reader of one of the two other domains is of an earlier version.
    assert told == [make_member(2).node]


async def test_an_announced_read_counts_from_the_own_question() -> None:
    """Failure: the announcement waited in a buffer while this VM was paused.

    What it says of its time cannot be known. The reply to a heartbeat that is sent now is bounded
    by that sending.
    """
    mesh = make_mesh(3, 14)
    link = VersionedLink()
    mesh.peers["node-0000"].client = link  # type: ignore[assignment]
    link.reply = [[0], True, True, GateStatus().pack(), [None, [0.0, 0.0, 1.5, True]]]
    asked_at = read_clock()
    mesh._handle_fresh_read(None, Delivery("node-0000", 0.0, 1))
    assert [kind for kind, _ in link.sent] == ["ping"]
    known_age_s = mesh._followers[0].compute_known_age(read_clock())
    assert known_age_s is not None and known_age_s >= 1.5
    assert mesh._followers[0]._shared_poll_at <= asked_at - 1.5 + 0.5


async def test_a_read_that_a_peer_passes_on_before_the_records_confirms_the_lease() -> None:
    """Load: each new assignment made each of 25 owners ask the store."""
    harness = make_owner("abc")
    lease, now = harness.control._keeper.lease, read_clock()
    harness.control.record_relayed_read(7, now - 0.1)
    assert lease.compute_end() < now
    current = make_assignment(make_range(0, 9, 1), offset=7, witnesses="abc")
    entry = KeyedEntry(6, ASSIGNMENT_KEY_PREFIX + SERVICE, encode_assignment(current))
    harness.follower.replica.apply([entry], 7)
    harness.control.update_assignments([entry])
    assert lease.compute_end() == pytest.approx(now - 0.1 + LEASE_TERM_S)


async def test_an_owner_asks_the_store_when_nobody_passes_on_a_read() -> None:
    """Failure: the writer of an assignment is lost after its write."""
    harness = make_owner("abc")
    harness.follower._log.reads.append(Records((), 1))  # type: ignore[attr-defined]
    causes: list[str] = []
    harness.follower.count_call = causes.append
    current = make_assignment(make_range(0, 9, 1), offset=7, witnesses="abc")
    entry = KeyedEntry(6, ASSIGNMENT_KEY_PREFIX + SERVICE, encode_assignment(current))
    harness.control.update_assignments([entry])
    await harness.control._check_lease()
    assert causes == []
    await asyncio.sleep(CONFIRMATION_WAIT_S + 0.05)
    await harness.control._check_lease()
    assert causes == ["check"]


def make_owner(witnesses: str) -> ControlHarness:
    """Return an owner whose lease the store has just confirmed."""
    harness = ControlHarness()
    current = make_assignment(make_range(0, 9, 1), offset=1, witnesses=witnesses)
    harness.control.assignments[SERVICE] = current
    harness.control._keeper.lease.adopt_assignment(1, current.witnesses)
    return harness


@pytest.mark.parametrize(
    ("witnesses", "peers", "steps"),
    [
        pytest.param(("node-1", "node-2"), (2,), 0, id="first witness"),
        pytest.param(("node-0", "node-1"), (0,), 1, id="second witness"),
        pytest.param(("node-0", "node-1"), (), 0, id="first live witness"),
        pytest.param(("node-0", "node-2"), (0, 2), 2, id="no witness"),
    ],
)
def test_the_first_live_witness_asks_the_store_for_all_owners(
    witnesses: tuple[str, ...], peers: tuple[int, ...], steps: int
) -> None:
    """Load: each of 25 owners asked the store each 3 s."""
    harness = ControlHarness()
    for number in peers:
        harness.add_peer(number, make_status(number))
    current = make_assignment(make_range(0, 9, 1), witnesses=witnesses)
    interval_s = harness.control._find_check_interval(current, read_clock())
    assert interval_s == LEASE_CHECK_INTERVAL_S + steps * LEASE_CHECK_STEP_S


@pytest.mark.parametrize(
    ("end", "age_s", "asks"),
    [
        pytest.param(1, 0.5, False, id="a peer has just asked"),
        pytest.param(1, LEASE_TERM_S + 3.0, True, id="a peer asked long ago"),
        pytest.param(2, 0.5, True, id="a peer saw a newer assignment"),
    ],
)
async def test_a_read_that_a_peer_passes_on_takes_the_place_of_an_own_one(
    end: int, age_s: float, asks: bool
) -> None:
    harness = make_owner("abc")
    harness.control.record_relayed_read(end, read_clock() - age_s)
    causes: list[str] = []
    harness.follower.count_call = causes.append
    harness.follower._log.reads.append(Records((), 1))  # type: ignore[attr-defined]
    await harness.control._check_lease()
    assert bool(causes) is asks


async def test_an_owner_without_an_assignment_asks_nothing() -> None:
    """Load: at the start of a site no owner has a lease that could be confirmed."""
    harness = ControlHarness()
    causes: list[str] = []
    harness.follower.count_call = causes.append
    await harness.control._check_lease()
    assert causes == []
