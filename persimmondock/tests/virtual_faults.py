"""Faults of daemons and backend servers in virtual time, drawn and played."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
from hypothesis import strategies as st

from persimmondock._domain.site import GrantMode, GrantsByCall
from persimmondock.tests.virtual_fleet import VirtualFleet, find_untrue_refusals
from persimmondock.tests.virtual_network import Health, find_reused_tokens, find_shared_holds

# An owner is lost, its keys are taken over, and earlier grants of a restarted daemon expire.
RECOVERY_S = 10.0
TERM_S = 3.5  # longer than a grant lasts, late or not
# Faults that are a behavior of a backend server for a time.
ANSWER_KINDS = (
    "repeats_answers",
    "repeats_last_answer",
    "repeats_afterwards",
    "loses_answers",
    "is_full",
    "disowns_keys",
    "refuses_connections",
)
BEHAVIOR_KINDS = (*ANSWER_KINDS, "hangs")


@attrs.frozen
class Fault:
    """A fault of one VM.

    Parameters
    ----------
    for_s
        Time until the fault ends, as a crash with the start of the next process; other faults last
        a few times as long.
    announced_after_s
        Time from the start of a process to its first announcement, or delay of an announcement.
    late_s
        Delay of the grants that arrive during the fault.
    """

    kind: str
    at_s: float
    vm: int
    for_s: float
    announced_after_s: float
    late_s: float
    health: Health


def build_faults(*kinds: str) -> st.SearchStrategy[Fault]:
    """Return faults of the given kinds; kinds that are given twice are likelier."""
    return st.builds(
        Fault,
        kind=st.sampled_from(kinds),
        at_s=st.floats(0.0, 5.0),
        vm=st.sampled_from([1, 1, 1, 0, 2, 3]),
        for_s=st.floats(0.1, 1.0),
        announced_after_s=st.floats(0.0, 2.0),
        late_s=st.floats(2.0, 3.0) | st.floats(2.0, 12.0),
        health=st.sampled_from([Health.RESET, Health.UNANSWERED, Health.FAILING]),
    )


FAULTS = build_faults(
    "crash",
    "crash",
    "crash",
    "replace",
    "late_grants",
    "late_grants",
    "lost_connections",
    "late_announcement",
    "health",
    "restart_daemon",
    "evacuate",
    "evacuate",
)
ANSWER_FAULTS = build_faults(
    *ANSWER_KINDS,
    *2 * ("repeats_answers", "is_full", "disowns_keys"),
    *4 * ("repeats_last_answer", "late_grants", "evacuate"),
    "crash",
    "replace",
    "lost_connections",
    "restart_daemon",
)

REFUSAL_FAULTS = build_faults(
    *4 * ("refuses_connections",),
    *2 * ("reset_connections", "restart_daemon", "late_grants", "evacuate"),
    "lost_connections",
    "crash",
    "replace",
)
FULL_SERVER_FAULTS = build_faults(
    *4 * ("hangs", "late_grants"),
    *2 * ("refuses_connections", "loses_answers", "restart_daemon", "crash"),
    "reset_connections",
    "replace",
    "evacuate",
)


def build_runs(
    faults: st.SearchStrategy[Fault], min_faults: int = 1
) -> st.SearchStrategy[dict[str, Any]]:
    """Return arguments of `play`."""
    return st.fixed_dictionaries(
        {
            "faults": st.lists(faults, min_size=min_faults, max_size=8),
            "vms": st.integers(3, 4),
            "request_interval_s": st.sampled_from([0.1, 0.5, 5.0]),
            "seed": st.integers(0, 1000),
        }
    )


async def apply_fault(fleet: VirtualFleet, fault: Fault, keeps_name: bool) -> None:
    """Apply a fault at its time; return when it has ended."""
    await asyncio.sleep(fault.at_s)
    vm = fleet.vms[fault.vm % len(fleet.vms)]
    match fault.kind:
        case "crash":
            await fleet.crash_server(vm, fault.for_s, fault.announced_after_s, keeps_name)
            await asyncio.sleep(fault.announced_after_s)
        case "replace":
            await fleet.replace_server(vm, 4 * fault.for_s, fault.announced_after_s)
            await asyncio.sleep(fault.announced_after_s)
        case "late_grants":
            vm.behavior.late_s = fault.late_s
            await asyncio.sleep(3 * fault.for_s)
            vm.behavior.late_s = 0.0
        case "lost_connections":
            if vm.server is not None:
                vm.server.close_idle_connections()
        case "late_announcement":
            if vm.server is not None:
                await fleet.announce(vm, vm.server, delay_s=fault.announced_after_s)
        case "reset_connections":
            if vm.server is not None:
                vm.server.reset_connections()
        case kind if kind in BEHAVIOR_KINDS:
            setattr(vm.behavior, kind, True)
            await asyncio.sleep(3 * fault.for_s)
            setattr(vm.behavior, kind, False)
        case "health":
            vm.behavior.health = fault.health
            await asyncio.sleep(3 * fault.for_s)
            vm.behavior.health = Health.ANSWERED
        case "restart_daemon":
            await fleet.restart_daemon(vm, 4 * fault.for_s)
        case "evacuate":
            await fleet.evacuate(vm.failure_domain, 3 * fault.for_s)


async def play(
    faults: list[Fault],
    vms: int,
    request_interval_s: float,
    seed: int,
    keeps_name: bool = False,
    grant_mode: GrantMode = GrantsByCall(),  # noqa: B008
    names_orders: bool = True,
    max_sendings: int = 1,
) -> list[str]:
    """Return what was wrong at the backend servers while faults were played and after them."""
    fleet = VirtualFleet(
        vms,
        request_interval_s=request_interval_s,
        grant_mode=grant_mode,
        seed=seed,
        max_sendings=max_sendings,
    )
    for vm in fleet.vms:
        vm.behavior.names_orders = names_orders
    await fleet.start()
    await asyncio.gather(*(apply_fault(fleet, fault, keeps_name) for fault in faults))
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


def make_run(*faults: Fault) -> dict[str, Any]:
    """Return a run with faults of vm-1 among three VMs."""
    return {"faults": list(faults), "vms": 3, "request_interval_s": 0.2, "seed": 1}


def make_fault(kind: str, at_s: float, for_s: float, announced_after_s: float = 0.0) -> Fault:
    """Return a fault of vm-1."""
    return Fault(kind, at_s, 1, for_s, announced_after_s, 2.0, Health.ANSWERED)
