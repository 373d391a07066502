"""A named limit holds for whatever restarts, freezes and cuts, in virtual time."""

from __future__ import annotations

import asyncio
import bisect

import attrs
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from persimmondock._adapters.clock import read_clock
from persimmondock.tests.virtual_site import VirtualNode, VirtualSite
from persimmondock.tests.virtual_time import run_in_virtual_time

CONTACT_S = 3.0
TOLD_S = 0.5  # a daemon is bound so long after it has passed on an answer with a limit
WINDOW_S = 4.0
DRAIN_S = 2.0
OFFERED_PER_S = 60.0
NAMED_AT_S, DURATION_S = 1.0, 14.0


@attrs.frozen
class Fault:
    """A fault of the daemon beside a server, or of a front."""

    kind: str
    at_s: float
    for_s: float
    node: int


FAULTS = st.builds(
    Fault,
    kind=st.sampled_from(["restart", "freeze", "cut", "restart_front", "renew_server"]),
    at_s=st.floats(2.0, 11.0),
    for_s=st.floats(0.2, 2.5),
    node=st.integers(0, 1),
)


async def apply_fault(site: VirtualSite, fault: Fault) -> None:
    """Apply a fault at its time."""
    await asyncio.sleep(fault.at_s)
    server, front = site.servers[fault.node], site.fronts[fault.node]
    match fault.kind:
        case "restart":
            await site.restart(server, fault.for_s)
        case "freeze":
            await site.freeze(server, fault.for_s)
        case "cut":
            await site.cut(server, front, fault.for_s)
        case "restart_front":
            await site.restart(front, fault.for_s)
        case "renew_server":
            site.renew_server(server)


def count_most(times: list[float]) -> int:
    """Return the most instants in any window."""
    ends = (bisect.bisect_left(times, at + WINDOW_S) for at in times)
    return max((end - start for start, end in enumerate(ends)), default=0)


def list_bound_arrivals(site: VirtualSite, server: VirtualNode, start: float) -> list[float]:
    """Return the arrivals from fronts that had passed on the limit, by their present process."""
    return sorted(
        arrival.at
        for front in site.fronts
        for arrival in server.server.arrivals
        if arrival.front == front.name
        and front.process is not None
        and server.name in front.process.passed_on_limit
        and arrival.at >= max(start, front.process.passed_on_limit[server.name] + TOLD_S)
    )


@settings(max_examples=25, phases=[Phase.explicit, Phase.generate])
@given(
    limits=st.tuples(st.floats(0.3, 20.0), st.floats(0.3, 20.0)),
    faults=st.lists(FAULTS, max_size=5),
    keyed=st.booleans(),
    seed=st.integers(0, 1000),
)
def test_no_window_has_more_arrivals_than_the_limit_allows(
    limits: tuple[float, float], faults: list[Fault], keyed: bool, seed: int
) -> None:
    """Counts requests of fronts that have passed on an answer with the limit and still run."""
    named_at = []

    async def run() -> VirtualSite:
        site = VirtualSite(servers=3, fronts=3, work_s=0.05, keyed=keyed, seed=seed, retries=1)
        await site.start()
        tasks = [asyncio.create_task(apply_fault(site, fault)) for fault in faults]
        offered = asyncio.create_task(site.offer(OFFERED_PER_S, DURATION_S))
        await asyncio.sleep(NAMED_AT_S)
        named_at.append(read_clock())
        for server, limit in zip(site.servers, limits, strict=False):
            server.server.limit = f"{limit:.3f}"
        await asyncio.gather(offered, *tasks)
        await site.close()
        return site

    site = run_in_virtual_time(run())
    for server, limit in zip(site.servers, limits, strict=False):
        first_named_at = max([named_at[0], *server.renewed_at])
        arrivals = list_bound_arrivals(site, server, first_named_at + CONTACT_S)
        assert count_most(arrivals) <= max(1.0, WINDOW_S * limit), server.name


@settings(max_examples=15, phases=[Phase.explicit, Phase.generate])
@given(faults=st.lists(FAULTS, max_size=4), keyed=st.booleans(), seed=st.integers(0, 1000))
def test_no_request_reaches_a_server_that_said_it_leaves(
    faults: list[Fault], keyed: bool, seed: int
) -> None:
    """Counts requests sent later than ``DRAIN_S`` after their front had passed that on."""
    faults = [fault for fault in faults if fault.kind != "renew_server"]

    async def run() -> VirtualSite:
        site = VirtualSite(servers=3, fronts=3, work_s=0.05, keyed=keyed, seed=seed)
        await site.start()
        tasks = [asyncio.create_task(apply_fault(site, fault)) for fault in faults]
        offered = asyncio.create_task(site.offer(OFFERED_PER_S, DURATION_S))
        await asyncio.sleep(NAMED_AT_S)
        site.servers[0].server.leaving = True
        await asyncio.gather(offered, *tasks)
        await site.close()
        return site

    site = run_in_virtual_time(run())
    late = [
        arrival
        for front in site.fronts
        for arrival in site.servers[0].server.arrivals
        if arrival.front == front.name
        and front.process is not None
        and "server-0" in front.process.passed_on_leaving
        and arrival.sent_at > front.process.passed_on_leaving["server-0"] + DRAIN_S
    ]
    assert late == []
