"""Losses of the store among other faults in virtual time, drawn and played."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from typing import Any

import attrs
from hypothesis import strategies as st

from persimmondock._domain.range_lease import LEASE_TERM_S, MAX_WITNESS_ONLY_S
from persimmondock._domain.site import GrantMode, GrantsByCall
from persimmondock._tasks.key_control import MIN_WITNESS_CHANGE_INTERVAL_S
from persimmondock.tests import virtual_faults
from persimmondock.tests.virtual_faults import TERM_S, Fault, apply_fault, build_faults
from persimmondock.tests.virtual_fleet import PARTITIONS, VirtualFleet, find_untrue_refusals
from persimmondock.tests.virtual_freezes import FREEZES, Freeze, Freezer
from persimmondock.tests.virtual_network import find_reused_tokens, find_shared_holds

# As after other faults, and before it owners may wait for leases that unknown witnesses confirm.
RECOVERY_S = MAX_WITNESS_ONLY_S + LEASE_TERM_S + virtual_faults.RECOVERY_S
MAX_VMS = 6


@attrs.frozen
class Restoration:
    """The store goes away and comes back from a copy.

    Parameters
    ----------
    age_s
        Seconds from the copy to the outage.
    late_write_s
        Delay of the first conditional write after it, which gets no answer; 0 for none.
    """

    at_s: float
    age_s: float
    away_s: float
    late_write_s: float


@attrs.frozen
class Loss:
    """A restoration among moves of keys, and the daemons that restart meanwhile.

    Parameters
    ----------
    moved_vm, moved_s
        VM whose failure domain is evacuated before the outage, and for how long; 0 for no move.
    """

    restoration: Restoration
    restarted: frozenset[int] = frozenset()
    down_s: float = 0.0
    moved_vm: int = 0
    moved_s: float = 0.0


class StoreAnswers(enum.Enum):
    """What isolated VMs get from the store."""

    USUAL = enum.auto()
    NONE = enum.auto()
    REFUSALS = enum.auto()


@attrs.frozen
class Isolation:
    """A time in which some VMs do not reach the store, or the other VMs, or both."""

    at_s: float
    for_s: float
    vms: frozenset[int]
    store: StoreAnswers
    is_cut: bool


GROUPS = st.frozensets(st.integers(0, MAX_VMS - 1), min_size=1, max_size=MAX_VMS - 2)
RESTORATIONS = st.builds(
    Restoration,
    at_s=st.floats(0.0, 6.0),
    age_s=st.floats(0.0, 3.0) | st.floats(0.0, 8.0),
    away_s=st.sampled_from([0.0, 0.05, 0.3, 1.0, 3.0]),
    late_write_s=st.sampled_from([0.0, 0.0, 0.5, 2.0, 5.0]),
)
LOSSES = st.builds(
    Loss,
    RESTORATIONS,
    restarted=st.just(frozenset()) | GROUPS | st.just(frozenset(range(MAX_VMS))),
    down_s=st.floats(0.05, 3.0),
    moved_vm=st.integers(0, MAX_VMS - 1),
    moved_s=st.just(0.0) | st.floats(0.1, 3.0),
)


def _repeat(loss: Loss, again_after_s: float) -> list[Loss]:
    restoration = loss.restoration
    again = attrs.evolve(restoration, at_s=restoration.at_s + restoration.away_s + again_after_s)
    return [loss, Loss(again)]


ISOLATIONS = st.builds(
    Isolation,
    at_s=st.floats(0.0, 6.0),
    for_s=st.floats(0.3, 10.0),
    vms=GROUPS,
    store=st.sampled_from(StoreAnswers),
    is_cut=st.booleans(),
)
FAULTS = st.builds(
    lambda fault, vm: attrs.evolve(fault, vm=vm),
    build_faults(
        "crash",
        "replace",
        "late_grants",
        "late_announcement",
        "refuses_connections",
        "reset_connections",
        "hangs",
        "evacuate",
        *2 * ("restart_daemon",),
    ),
    st.integers(0, MAX_VMS - 1),
)
RUNS = st.fixed_dictionaries(
    {
        # The second loss of a pair falls within the leases from before the first one.
        "losses": st.lists(LOSSES, min_size=1, max_size=2)
        | st.builds(_repeat, LOSSES, st.floats(0.0, LEASE_TERM_S)),
        "isolations": st.lists(ISOLATIONS, max_size=3),
        "faults": st.lists(FAULTS, max_size=6),
        "freezes": st.lists(FREEZES, max_size=2),
        # Witnesses that are lost after a longer time are replaced.
        "settled_s": st.sampled_from([*7 * (0.0,), MIN_WITNESS_CHANGE_INTERVAL_S]),
        "vms": st.sampled_from([4, 4, 5, MAX_VMS]),
        "request_interval_s": st.sampled_from([0.5, 2.0]),
        "seed": st.integers(0, 1000),
    }
)


async def apply_restoration(fleet: VirtualFleet, restoration: Restoration) -> None:
    """Let the store come back from a copy; return when it has."""
    await asyncio.sleep(restoration.at_s)
    if restoration.late_write_s:
        fleet.log.late_writes.append(restoration.late_write_s)
    await fleet.log.restore(restoration.age_s, restoration.away_s, PARTITIONS.operator)


async def apply_loss(fleet: VirtualFleet, loss: Loss) -> None:
    """Move keys, restore the store and restart daemons; return when all of it has ended."""

    async def restart(index: int) -> None:
        await asyncio.sleep(loss.restoration.at_s)
        await fleet.restart_daemon(fleet.vms[index], loss.down_s)

    async def move() -> None:
        await asyncio.sleep(max(0.0, loss.restoration.at_s - loss.moved_s))
        if loss.moved_s:
            failure_domain = fleet.vms[loss.moved_vm % len(fleet.vms)].failure_domain
            await fleet.evacuate(failure_domain, loss.moved_s)

    await asyncio.gather(
        move(),
        apply_restoration(fleet, loss.restoration),
        *(restart(index) for index in sorted(loss.restarted) if index < len(fleet.vms)),
    )


async def apply_isolation(fleet: VirtualFleet, isolation: Isolation) -> None:
    """Isolate VMs for some time."""
    await asyncio.sleep(isolation.at_s)
    isolated = [vm for index, vm in enumerate(fleet.vms) if index in isolation.vms]
    others = [vm for vm in fleet.vms if vm not in isolated]
    names = {vm.name for vm in isolated}
    unanswered = {StoreAnswers.NONE: fleet.log.cut_off, StoreAnswers.REFUSALS: fleet.log.refused}
    without_answer = unanswered.get(isolation.store, set())
    with fleet.cut(isolated, others) if isolation.is_cut else contextlib.nullcontext():
        without_answer |= names
        await asyncio.sleep(isolation.for_s)
        without_answer -= names


async def play(
    losses: list[Loss],
    isolations: list[Isolation],
    faults: list[Fault],
    freezes: list[Freeze],
    settled_s: float,
    vms: int,
    request_interval_s: float,
    seed: int,
    grant_mode: GrantMode = GrantsByCall(),  # noqa: B008
) -> list[str]:
    """Return what was wrong at the backend servers while all was played and after it."""
    fleet, freezer = (
        VirtualFleet(vms, request_interval_s=request_interval_s, grant_mode=grant_mode, seed=seed),
        Freezer(),
    )
    with freezer.installed():
        await fleet.start()
        await asyncio.sleep(settled_s)
        await asyncio.gather(
            *(apply_loss(fleet, loss) for loss in losses),
            *(apply_isolation(fleet, isolation) for isolation in isolations),
            *(apply_fault(fleet, fault, False) for fault in faults),
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


def make_run(*troubles: Loss | Isolation | Fault, settled_s: float = 0.0) -> dict[str, Any]:
    """Return a run of six VMs without a draw."""
    return {
        "losses": [item for item in troubles if isinstance(item, Loss)],
        "isolations": [item for item in troubles if isinstance(item, Isolation)],
        "faults": [item for item in troubles if isinstance(item, Fault)],
        "freezes": [],
        "settled_s": settled_s,
        "vms": MAX_VMS,
        "request_interval_s": 0.2,
        "seed": 1,
    }
