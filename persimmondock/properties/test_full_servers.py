"""Keys have one holder though full backend servers leave orders without an answer.

The shape is that of a service of four VMs, two of which share a failure domain. Its backend servers
neither answer what they cannot queue nor anything after it, and its keys move all the time.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

import attrs
from hypothesis import Phase, example, given, settings
from hypothesis import strategies as st

from persimmondock.tests.virtual_faults import (
    FULL_SERVER_FAULTS,
    TERM_S,
    Fault,
    apply_fault,
    make_fault,
)
from persimmondock.tests.virtual_fleet import VirtualFleet, find_untrue_refusals
from persimmondock.tests.virtual_freezes import FREEZES, Freeze, Freezer
from persimmondock.tests.virtual_network import find_reused_tokens, find_shared_holds
from persimmondock.tests.virtual_time import run_in_virtual_time

VMS = 4  # vm-0 and vm-3 are in one failure domain
MAX_SENDINGS = 4  # of a request under one identifier
# Another owner is found, it waits for the leases of unknown ones, and earlier grants expire.
RECOVERY_S = 12.0


@attrs.frozen
class Move:
    """An evacuation that begins some time after the one before it."""

    after_s: float
    vm: int
    for_s: float


@attrs.frozen
class LateWrite:
    """The next conditional write to the store gets no answer and is carried out late."""

    at_s: float
    delay_s: float


MOVES = st.builds(
    Move,
    after_s=st.floats(0.1, 2.0),
    vm=st.sampled_from([0, 1, 2]),
    for_s=st.floats(0.2, 2.0),
)
LATE_WRITES = st.builds(
    LateWrite, at_s=st.floats(0.0, 6.0), delay_s=st.floats(0.1, 1.4) | st.floats(1.5, 6.0)
)
RUNS = st.fixed_dictionaries(
    {
        "faults": st.lists(FULL_SERVER_FAULTS, min_size=3, max_size=8),
        "moves": st.lists(MOVES, min_size=2, max_size=5),
        "late_writes": st.lists(LATE_WRITES, max_size=3),
        "freezes": st.lists(FREEZES, max_size=1),
        "request_interval_s": st.sampled_from([0.1, 0.5]),
        "names_orders": st.booleans(),
        "seed": st.integers(0, 1000),
    }
)


def make_run(
    *faults: Fault,
    moves: tuple[Move, ...] = (),
    late_writes: tuple[LateWrite, ...] = (),
    freezes: tuple[Freeze, ...] = (),
) -> dict[str, Any]:
    """Return a run without a draw."""
    return {
        "faults": list(faults),
        "moves": list(moves),
        "late_writes": list(late_writes),
        "freezes": list(freezes),
        "request_interval_s": 0.2,
        "names_orders": True,
        "seed": 1,
    }


# Renewals are under way without an answer when the keys move.
MOVED_WITH_A_GRANT_UNANSWERED = make_run(
    make_fault("late_grants", 1.0, 0.5), moves=(Move(2.0, 1, 1.0),)
)
# The same, and neither the daemon that sent them nor a connection to the server is there any more.
RESTARTED_BESIDE_A_HANGING_SERVER = make_run(
    make_fault("late_grants", 1.0, 0.4),
    make_fault("hangs", 2.0, 0.5),
    make_fault("refuses_connections", 2.0, 1.0),
    make_fault("restart_daemon", 2.2, 0.1),
    moves=(Move(2.0, 1, 1.0), Move(0.6, 2, 1.0), Move(0.6, 0, 1.0)),
)
# The planner writes, is taken for lost, and its plan arrives beside that of the next one.
PLANNED_BY_TWO = make_run(
    make_fault("late_grants", 1.5, 0.5),
    moves=(Move(1.6, 1, 0.5), Move(0.5, 2, 0.5), Move(0.5, 1, 0.5)),
    late_writes=(LateWrite(1.5, 1.2), LateWrite(2.5, 0.6)),
    freezes=(Freeze(1.7, 0, 3.0),),
)


async def play(
    faults: list[Fault],
    moves: list[Move],
    late_writes: list[LateWrite],
    freezes: list[Freeze],
    request_interval_s: float,
    names_orders: bool,
    seed: int,
) -> list[str]:
    """Return what was wrong at the backend servers while faults were played and after them."""
    fleet, freezer = (
        VirtualFleet(
            VMS, request_interval_s=request_interval_s, seed=seed, max_sendings=MAX_SENDINGS
        ),
        Freezer(),
    )
    for vm in fleet.vms:
        vm.behavior.names_orders = names_orders

    async def move(at_s: float, move: Move) -> None:
        await asyncio.sleep(at_s)
        await fleet.evacuate(fleet.vms[move.vm].failure_domain, move.for_s)

    async def write_late(late_write: LateWrite) -> None:
        await asyncio.sleep(late_write.at_s)
        fleet.log.late_writes.append(late_write.delay_s)

    with freezer.installed():
        await fleet.start()
        starts = itertools.accumulate(item.after_s for item in moves)
        await asyncio.gather(
            *(apply_fault(fleet, fault, False) for fault in faults),
            *(move(at_s, item) for at_s, item in zip(starts, moves, strict=True)),
            *(write_late(item) for item in late_writes),
            *(freezer.apply_freeze(freeze, fleet.vms) for freeze in freezes),
        )
        try:
            await fleet.wait_until_held(RECOVERY_S)
        except TimeoutError:
            return [f"keys {fleet.list_free()} are not held {RECOVERY_S:g} s after the last fault"]
        await asyncio.sleep(TERM_S)
        fleet.close()
    return [
        *find_shared_holds(fleet.processes),
        *find_reused_tokens(fleet.processes),
        *find_untrue_refusals(fleet),
    ]


@settings(max_examples=200, phases=[Phase.explicit, Phase.generate])
@given(run=RUNS)
@example(run=MOVED_WITH_A_GRANT_UNANSWERED)
@example(run=RESTARTED_BESIDE_A_HANGING_SERVER)
@example(run=PLANNED_BY_TWO)
def test_orders_without_an_answer_give_no_key_two_holders(run: dict[str, Any]) -> None:
    """Guards against grants that are forgotten because nothing answered them."""
    assert run_in_virtual_time(play(**run)) == []
