"""Keys have one holder though daemons stand still while backend servers crash beside them."""

from __future__ import annotations

import asyncio
from typing import Any

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from persimmondock.tests.virtual_faults import FAULTS, RECOVERY_S, TERM_S, Fault, apply_fault
from persimmondock.tests.virtual_fleet import VirtualFleet
from persimmondock.tests.virtual_freezes import FREEZES, Freeze, Freezer
from persimmondock.tests.virtual_network import find_reused_tokens, find_shared_holds
from persimmondock.tests.virtual_time import run_in_virtual_time


async def play(
    faults: list[Fault], freezes: list[Freeze], vms: int, request_interval_s: float, seed: int
) -> list[str]:
    """Return what was wrong at the backend servers while daemons stood still and after it."""
    fleet, freezer = VirtualFleet(vms, request_interval_s=request_interval_s, seed=seed), Freezer()

    with freezer.installed():
        await fleet.start()
        await asyncio.gather(
            *(apply_fault(fleet, fault, False) for fault in faults),
            *(freezer.apply_freeze(freeze, fleet.vms) for freeze in freezes),
        )
        try:
            await fleet.wait_until_held(RECOVERY_S)
        except TimeoutError:
            return [f"keys {fleet.list_free()} are not held {RECOVERY_S:g} s after the last fault"]
        await asyncio.sleep(TERM_S)
        fleet.close()
    return find_shared_holds(fleet.processes) + find_reused_tokens(fleet.processes)


@settings(max_examples=100, phases=[Phase.explicit, Phase.generate])
@given(
    run=st.fixed_dictionaries(
        {
            "faults": st.lists(FAULTS, min_size=1, max_size=6),
            "freezes": st.lists(FREEZES, min_size=1, max_size=4),
            "vms": st.integers(3, 4),
            "request_interval_s": st.sampled_from([0.1, 0.5, 5.0]),
            "seed": st.integers(0, 1000),
        }
    )
)
def test_a_daemon_that_stood_still_grants_nothing_to_a_successor(run: dict[str, Any]) -> None:
    """Guards against announcements, lost connections and answers that are handled in one turn."""
    assert run_in_virtual_time(play(**run)) == []
