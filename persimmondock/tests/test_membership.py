"""Tests of one daemon's part in ownership, under virtual time."""

from __future__ import annotations

from persimmondock._domain.effects import Send
from persimmondock._domain.leases import LeaseTiming
from persimmondock._domain.membership import Identity, Membership
from persimmondock._domain.messages import Granted, Renew, RenewalRefused
from persimmondock._domain.records import HandoversSettled, MemberLeaving, make_record_id
from persimmondock.tests.builders import fold_all, make_published, make_view
from persimmondock.tests.world import World

SETTLED_S = 14.0


def make_world(daemons: int = 4) -> World:
    """Return a world in which all daemons have joined and all slices are served."""
    world = World(seed=7, daemons=daemons)
    world.run(SETTLED_S)
    world.check_all_served()
    return world


def test_all_daemons_restarted_at_once_serve_again() -> None:
    world = make_world()
    for number in range(world.daemons):
        world.start(number)
    world.run(12.0)
    world.check_all_served()


def test_a_daemon_cut_from_its_peers_gets_no_slices_and_writes_nothing() -> None:
    world = make_world()
    world.parts[0] = 1
    world.run(10.0)
    written = len(world.log)
    world.run(10.0)
    assert not world.list_served(world.processes[0])
    assert sum(len(world.list_served(p)) for p in world.processes.values()) == 4
    assert len(world.log) == written


def test_nobody_is_declared_lost_while_the_log_is_silent() -> None:
    world = make_world()
    served = {n: world.list_served(process) for n, process in world.processes.items()}
    world.log_down = True
    world.run(4.0)
    world.pause(1, 3.0)
    world.run(5.0)
    assert {n: world.list_served(process) for n, process in world.processes.items()} == served
    world.log_down = False
    world.run(2.0)
    assert {n: world.list_served(process) for n, process in world.processes.items()} == served


def test_nobody_is_declared_lost_after_all_were_cut_off_for_a_while() -> None:
    world = make_world(5)
    before = {n: process.core.ref for n, process in world.processes.items()}
    world.parts = {number: number for number in range(world.daemons)}
    world.run(4.0)
    assert not any(world.list_served(process) for process in world.processes.values())
    world.parts.clear()
    world.run(1.0)
    assert {n: process.core.ref for n, process in world.processes.items()} == before
    world.check_all_served()


def test_a_daemon_leaves_although_half_of_all_messages_are_lost() -> None:
    world = make_world()
    world.leave(1)
    world.loss = 0.5
    world.run(10.0)
    assert world.processes[1].core.left


def test_a_witness_refuses_a_holder_that_lacks_what_it_has_long_known() -> None:
    view = make_view(4)
    holder, own = view.members["vm-3"].ref, view.members["vm-2"]
    identity = Identity("vm-2", own.failure_domain, own.peer_address, "", "", "")
    timing = LeaseTiming()
    witness = Membership(identity, timing, lambda ref: False, lambda ref: ())
    witness.adopt_view(view, 1.0)
    witness.ref = own.ref
    record = make_published("preview", slices=4)
    witness.apply_records([(view.offset, record)], 10.0)

    def answer(applied: int, now: float) -> type:
        effects = witness.receive(Renew(holder, 1, applied), "10.0.0.3:8102", now)
        kinds = [type(e.message) for e in effects if isinstance(e, Send)]
        return kinds[-1]

    assert answer(view.offset, 10.0 + timing.max_staleness_s - 0.1) is Granted
    assert answer(view.offset, 10.0 + timing.max_staleness_s + 0.1) is RenewalRefused
    assert answer(view.offset + 1, 10.0 + timing.max_staleness_s + 0.1) is Granted


def test_settling_keeps_the_handovers_of_slices_that_moved_since() -> None:
    view = make_view(4)
    before = view.offset
    view = fold_all([MemberLeaving(make_record_id(), view.members["vm-3"].ref)], view)
    state = view.services["painel"]
    moved = {index for index in state.handovers if state.tokens[index] >= before}
    assert moved and moved != set(state.handovers)
    view = fold_all([HandoversSettled(make_record_id(), before)], view)
    assert set(view.services["painel"].handovers) == moved
    view = fold_all([HandoversSettled(make_record_id(), view.offset)], view)
    assert not view.services["painel"].handovers
