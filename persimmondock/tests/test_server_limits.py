"""Limits and leaving that backend servers name in their answers, across all daemons of a site."""

from __future__ import annotations

import asyncio
import math
from typing import Any

import pytest

from persimmondock._adapters.clock import read_clock
from persimmondock.tests.virtual_site import Arrival, VirtualNode, VirtualSite, count_arrivals
from persimmondock.tests.virtual_time import run_in_virtual_time

CONTACT_S = 3.0  # a limit binds this long after it was first named
DRAIN_S = 2.0
LIMIT_PER_S = 11.2
WINDOW_S = 4.0


def run_site(scenario: Any, **options: Any) -> VirtualSite:
    """Run a scenario on a site in virtual time and return the site."""

    async def run() -> VirtualSite:
        site = VirtualSite(**options)
        await site.start()
        await scenario(site)
        await site.close()
        return site

    return run_in_virtual_time(run())


def name_limit(node: VirtualNode, limit: str = str(LIMIT_PER_S)) -> float:
    """Have a backend server name a limit from now on; return the instant."""
    node.server.limit = limit
    return read_clock()


# Guards against the LIMIT incident: the field of the answers was passed on to callers and not read.
@pytest.mark.parametrize("keyed", [True, False], ids=["keyed", "plain"])
def test_a_backend_server_gets_no_more_requests_than_it_asked_for(keyed: bool) -> None:
    binding_from = []

    async def scenario(site: VirtualSite) -> None:
        offered = asyncio.create_task(site.offer(130.0, 20.0))
        await asyncio.sleep(6.0)
        binding_from.append(name_limit(site.servers[0]) + CONTACT_S)
        await offered

    site = run_site(scenario, keyed=keyed)
    allowed = WINDOW_S * LIMIT_PER_S
    assert binding_from[0] < site.servers[0].server.arrivals[-1].at
    assert count_arrivals(site.servers[0].server, binding_from[0]) <= allowed


# Guards against a limit that only one process of the gate's daemon knows.
@pytest.mark.parametrize("keyed", [True, False], ids=["keyed", "plain"])
def test_a_restart_of_the_gate_does_not_forget_the_limit(keyed: bool) -> None:
    binding_from = []

    async def scenario(site: VirtualSite) -> None:
        offered = asyncio.create_task(site.offer(130.0, 25.0))
        await asyncio.sleep(3.0)
        binding_from.append(name_limit(site.servers[0]) + CONTACT_S)
        for at in (6.0, 3.0, 5.0):
            await asyncio.sleep(at)
            await site.restart(site.servers[0], down_s=0.6)
        await offered

    site = run_site(scenario, keyed=keyed)
    allowed = WINDOW_S * LIMIT_PER_S
    assert binding_from[0] < site.servers[0].server.arrivals[-1].at
    assert count_arrivals(site.servers[0].server, binding_from[0]) <= allowed


def list_late_arrivals(site: VirtualSite) -> list[Arrival]:
    """Return requests at the first server from fronts that had passed on that it leaves."""
    return [
        arrival
        for front in site.fronts
        for arrival in site.servers[0].server.arrivals
        if arrival.front == front.name
        and arrival.sent_at > front.process.passed_on_leaving.get("server-0", math.inf) + DRAIN_S
    ]


# Guards against a backend server that says in its answers that it leaves, and is sent requests.
@pytest.mark.parametrize("keyed", [True, False], ids=["keyed", "plain"])
def test_a_backend_server_that_says_it_leaves_gets_no_more_requests(keyed: bool) -> None:
    """Its announcements say nothing of it."""

    async def scenario(site: VirtualSite) -> None:
        offered = asyncio.create_task(site.offer(200.0, 14.0))
        await asyncio.sleep(4.0)
        site.servers[0].server.leaving = True
        await offered

    site = run_site(scenario, keyed=keyed)
    assert any(front.process.passed_on_leaving for front in site.fronts)
    assert list_late_arrivals(site) == []


# Guards against a new process of the gate's daemon to which the backend server seems to stay.
@pytest.mark.parametrize("keyed", [True, False], ids=["keyed", "plain"])
def test_a_restart_of_the_gate_does_not_forget_that_the_backend_server_leaves(keyed: bool) -> None:
    async def scenario(site: VirtualSite) -> None:
        offered = asyncio.create_task(site.offer(200.0, 14.0))
        await asyncio.sleep(4.0)
        site.servers[0].server.leaving = True
        await asyncio.sleep(1.0)
        await site.restart(site.servers[0], down_s=0.6)
        await offered

    site = run_site(scenario, keyed=keyed)
    assert any(front.process.passed_on_leaving for front in site.fronts)
    assert list_late_arrivals(site) == []


# Guards against a limit that lets nothing through, and so is never heard to have risen.
@pytest.mark.parametrize("limit", ["0", "0.3"])
@pytest.mark.parametrize("restarts", [False, True], ids=["steady", "gate_restarted"])
def test_a_server_that_takes_hardly_anything_is_used_again_once_it_takes_more(
    limit: str, restarts: bool
) -> None:
    risen_at, limited_from = [], []

    async def scenario(site: VirtualSite) -> None:
        server = site.servers[0].server
        offered = asyncio.create_task(site.offer(130.0, 30.0))
        await asyncio.sleep(3.0)
        limited_from.append(name_limit(site.servers[0], limit) + CONTACT_S)
        await asyncio.sleep(6.0)
        if restarts:
            await site.restart(site.servers[0], down_s=0.6)
        await asyncio.sleep(6.0)
        assert sum(a.at >= limited_from[0] for a in server.arrivals) <= 9 * 0.3 + 1
        server.limit = ""
        risen_at.append(read_clock())
        await offered

    site = run_site(scenario, keyed=True)
    server = site.servers[0].server
    served_again = [a.at for a in server.arrivals if a.at > risen_at[0] + 6.0]
    assert len(served_again) > 100
    assert 0 < len(server.health_checks) <= 20


# Guards against keys that a planner never gives back, as nothing ends the limit of an idle server.
def test_the_limit_of_an_idle_server_is_raised_once_it_names_none() -> None:
    async def scenario(site: VirtualSite) -> None:
        await site.offer(50.0, 2.0)
        name_limit(site.servers[0], "5")
        await site.offer(50.0, 2.0)
        await asyncio.sleep(1.0)  # no answer is under way any more
        site.servers[0].server.limit = ""
        await asyncio.sleep(10.0)
        assert site.servers[0].process.gate.describe().capacity_per_s > 20.0

    run_site(scenario, keyed=True)


# Guards against a limit that goes up and down faster than the bounds follow.
@pytest.mark.parametrize("keyed", [True, False], ids=["keyed", "plain"])
def test_steps_of_a_limit_are_followed(keyed: bool) -> None:
    steps: list[tuple[float, float]] = []

    async def scenario(site: VirtualSite) -> None:
        offered = asyncio.create_task(site.offer(160.0, 24.0))
        await asyncio.sleep(3.0)
        for limit in (18.0, 5.0, 30.0, 2.0, 11.0):
            steps.append((name_limit(site.servers[0], str(limit)), limit))
            await asyncio.sleep(4.0)
        await offered

    site = run_site(scenario, keyed=keyed)
    for start, limit in steps:
        # An answer that names the new limit has to come first.
        arrivals = [
            a.at for a in site.servers[0].server.arrivals if start + 0.6 <= a.at < start + 4
        ]
        assert len(arrivals) <= 1.1 * limit * 3.4 + 1


# Guards against the rush after an answer that does not name the limit by mistake.
@pytest.mark.parametrize("keyed", [True, False], ids=["keyed", "plain"])
def test_answers_that_miss_the_limit_do_not_end_it_for_long(keyed: bool) -> None:
    binding_from = []

    async def scenario(site: VirtualSite) -> None:
        site.servers[0].server.unnamed_share = 0.2
        offered = asyncio.create_task(site.offer(200.0, 20.0))
        await asyncio.sleep(3.0)
        binding_from.append(name_limit(site.servers[0]) + CONTACT_S)
        await offered

    site = run_site(scenario, keyed=keyed)
    server = site.servers[0].server
    assert count_arrivals(server, binding_from[0]) <= 1.5 * WINDOW_S * LIMIT_PER_S + 5


# Guards against everyone at once when a limit ends.
def test_requests_come_back_step_by_step_when_a_limit_ends() -> None:
    ended_at = []

    async def scenario(site: VirtualSite) -> None:
        offered = asyncio.create_task(site.offer(200.0, 18.0))
        await asyncio.sleep(3.0)
        name_limit(site.servers[0], "5")
        await asyncio.sleep(7.0)
        site.servers[0].server.limit = ""
        ended_at.append(read_clock())
        await offered

    arrivals = run_site(scenario, keyed=True).servers[0].server.arrivals
    assert sum(ended_at[0] <= a.at < ended_at[0] + 0.8 for a in arrivals) <= 20
    assert sum(ended_at[0] + 4.0 <= a.at < ended_at[0] + 5.0 for a in arrivals) >= 50
