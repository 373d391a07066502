"""Tests of the membership of daemons in virtual time."""

from __future__ import annotations

import pytest

from persimmondock._domain.effects import Send
from persimmondock._domain.leases import LeaseTiming
from persimmondock._domain.membership import Identity, Membership
from persimmondock._domain.messages import Granted, Renew, RenewalRefused
from persimmondock._domain.records import HandoversSettled, MemberLeaving, make_record_id
from persimmondock.tests.builders import fold_all, make_published, make_view
from persimmondock.tests.simulation import Simulation

START_UP_S = 14.0


def make_simulation(daemons: int = 4) -> Simulation:
    """Return a simulation in which all daemons have joined and all slices are served."""
    simulation = Simulation(seed=7, daemons=daemons)
    simulation.run(START_UP_S)
    simulation.check_all_served()
    return simulation


def test_all_daemons_restarted_at_once_serve_again() -> None:
    simulation = make_simulation()
    for number in range(simulation.daemons):
        simulation.start(number)
    simulation.run(12.0)
    simulation.check_all_served()


@pytest.mark.parametrize("seed", [1, 5, 12, 29, 39, 55, 57, 59, 67, 74])
def test_five_daemons_restarted_at_once_rejoin(seed: int) -> None:
    """Guards against probes of unjoined daemons that keep all witnesses from voting."""
    simulation = Simulation(seed, 5)
    simulation.run(START_UP_S)
    for number in range(simulation.daemons):
        simulation.start(number)
    simulation.run(START_UP_S)
    simulation.check_all_served()


def test_a_daemon_cut_from_its_peers_gets_no_slices_and_writes_nothing() -> None:
    simulation = make_simulation()
    simulation.parts[0] = 1
    simulation.run(10.0)
    written = len(simulation.log)
    simulation.run(10.0)
    assert not simulation.list_served(simulation.processes[0])
    assert sum(len(simulation.list_served(p)) for p in simulation.processes.values()) == 4
    assert len(simulation.log) == written


def test_nobody_is_declared_lost_while_the_log_is_silent() -> None:
    simulation = make_simulation()
    served = {n: simulation.list_served(process) for n, process in simulation.processes.items()}
    simulation.log_down = True
    simulation.run(4.0)
    simulation.pause(1, 3.0)
    simulation.run(5.0)
    assert {
        n: simulation.list_served(process) for n, process in simulation.processes.items()
    } == served
    simulation.log_down = False
    simulation.run(2.0)
    assert {
        n: simulation.list_served(process) for n, process in simulation.processes.items()
    } == served


def test_nobody_is_declared_lost_after_all_were_cut_off_for_a_while() -> None:
    simulation = make_simulation(5)
    before = {n: process.membership.ref for n, process in simulation.processes.items()}
    simulation.parts = {number: number for number in range(simulation.daemons)}
    simulation.run(4.0)
    assert not any(simulation.list_served(process) for process in simulation.processes.values())
    simulation.parts.clear()
    simulation.run(1.0)
    assert {n: process.membership.ref for n, process in simulation.processes.items()} == before
    simulation.check_all_served()


def test_a_daemon_leaves_although_half_of_all_messages_are_lost() -> None:
    simulation = make_simulation()
    simulation.leave(1)
    simulation.loss = 0.5
    simulation.run(10.0)
    assert simulation.processes[1].membership.left


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
