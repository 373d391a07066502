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


def name_limit(node: VirtualNode, limit: float = LIMIT_PER_S) -> float:
    """Have a backend server name a limit from now on; return the instant."""
    node.server.limit = str(limit)
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
