"""Parts of a retry budget that daemons spend on their own stay within the whole.

Guards against more repeats at a service than its budget allows while it sheds load: repeated runs
of another service call it, daemons that know few others take larger parts, restarted ones take
theirs once more, and some arrivals are not charged.
"""

from __future__ import annotations

import asyncio

import pytest

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.site import SiteBounds
from persimmondock.tests.sites import SERVICE
from persimmondock.tests.virtual_calls import (
    OBJECTIVE_S,
    CallingServer,
    CallingSite,
    compute_budget_use,
)
from persimmondock.tests.virtual_site import CALLER_SERVICE, TIMEOUT_S, VirtualNode
from persimmondock.tests.virtual_time import run_in_virtual_time

QUIET_S = 5.0
SHED_S = 7.0
BOOKINGS_PER_S = 40.0
SLACK_ONLY = SiteBounds(retry_ratio=0.0, retry_slack=48.0, retry_window_s=10.0)


async def play_shedding(site: CallingSite, per_s: float) -> None:
    """Let the called service refuse more than half of what arrives for a time."""
    await site.start()

    async def shed() -> None:
        await asyncio.sleep(QUIET_S)
        site.set_refused_share(0.55)
        await asyncio.sleep(SHED_S)

    await asyncio.gather(
        shed(),
        site.offer_requests(CALLER_SERVICE, "lookup", per_s, QUIET_S + SHED_S),
        site.offer_requests(SERVICE, "booking", BOOKINGS_PER_S, QUIET_S + SHED_S),
    )
    await site.close()


@pytest.mark.parametrize(
    ("per_s", "slots", "calls", "calling_share"),
    [(200.0, 4, 2, 0.7), (200.0, 4, 4, 0.7), (260.0, 3, 2, 0.5)],
)
def test_calls_of_retried_requests_stay_within_the_budget_of_the_called_service(
    per_s: float, slots: int, calls: int, calling_share: float
) -> None:
    """The callers' own service is full, so its budget is large for the requests that it runs."""
    site = CallingSite(slots=slots, calls=calls, calling_share=calling_share)
    run_in_virtual_time(play_shedding(site, per_s))
    assert compute_budget_use(site, SERVICE) <= 1.0
    assert compute_budget_use(site, CALLER_SERVICE) <= 1.0


async def ask_each(site: CallingSite, nodes: list[VirtualNode], count: int) -> None:
    """Send requests from each of some VMs, one after the other."""

    async def ask(node: VirtualNode) -> None:
        for _ in range(count):
            deadline = read_clock() + TIMEOUT_S
            await site.ask(node, SERVICE, "booking", OBJECTIVE_S, deadline)

    await asyncio.gather(*map(ask, nodes))


def test_daemons_that_hear_few_others_share_one_allowance() -> None:
    """Heartbeats between VMs are lost; each daemon hears only those that it asks."""
    site = CallingSite(servers=2, fronts=16, bounds=SLACK_ONLY)
    site.lost_reports = {(a.name, b.name) for a in site.fronts for b in site.fronts}

    async def play() -> None:
        await site.start()
        await asyncio.sleep(SLACK_ONLY.retry_window_s)
        site.set_refused_share(1.0)
        await ask_each(site, site.fronts, 30)
        await site.close()

    run_in_virtual_time(play())
    assert 0.0 < compute_budget_use(site, SERVICE) <= 1.0


def test_restarted_daemons_do_not_spend_their_part_of_the_allowance_twice() -> None:
    """Daemons are restarted one after the other while a service refuses everything."""
    site = CallingSite(servers=4, fronts=4, bounds=SLACK_ONLY)

    async def play() -> None:
        await site.start()
        await asyncio.sleep(SLACK_ONLY.retry_window_s)
        site.set_refused_share(1.0)
        for _ in range(5):
            await ask_each(site, site.fronts, 30)
            await asyncio.gather(*(site.restart(node, 0.1) for node in site.fronts))
            await asyncio.sleep(0.5)
        await site.close()

    run_in_virtual_time(play())
    assert 0.0 < compute_budget_use(site, SERVICE) <= 1.0


@pytest.mark.parametrize("keyed", [False, True])
def test_arrivals_that_a_misdirected_request_causes_are_charged(keyed: bool) -> None:
    """Backend servers were replaced, and the new ones answer 421 until they are announced."""
    site = CallingSite(servers=4, fronts=4, keyed=keyed)

    async def play() -> None:
        await site.start()
        for node in site.servers:
            assert isinstance(node.server, CallingServer)
            node.server.misdirected = True
        await ask_each(site, site.fronts, 30)
        await site.close()

    run_in_virtual_time(play())
    assert 0.0 < compute_budget_use(site, SERVICE) <= 1.0
