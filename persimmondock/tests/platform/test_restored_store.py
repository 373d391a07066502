"""Complete daemons while the store comes back from an older copy and loses what it acknowledged."""

from __future__ import annotations

import asyncio

from persimmondock._domain.site import GrantMode
from persimmondock.standins.site_store import StoreCopy
from persimmondock.tests.live_site import LiveSite, run_site
from persimmondock.tests.platform.test_daemon import GRANT_MODES

AWAY_S = 0.3
SERVED_AGAIN_S = 8.0


async def restore(site: LiveSite, copy: StoreCopy, keeps_order: bool = False) -> None:
    """Let the store be away for a moment and come back from a copy."""
    site.store.faults.down = True
    site.store.release_waiting_reads()
    await asyncio.sleep(AWAY_S)
    site.store.restore(copy, keeps_order)
    site.store.faults.down = False


def check_owners(site: LiveSite) -> None:
    """Check that no keys had two owners, and that no token was given out twice."""
    assert site.find_low_tokens() == []
    assert site.find_double_holds() == []


@GRANT_MODES
async def test_a_daemon_that_starts_does_not_grant_by_an_assignment_from_before_a_move(
    grant_mode: GrantMode,
) -> None:
    """OWNER: a restarted daemon granted keys again under the token of before they moved.

    The store had lost the record of the move, and the daemon had no other copy.
    """
    async with run_site(grant_mode=grant_mode) as site:
        restarted = site.nodes[0]
        copy = site.store.take_copy()
        await restarted.daemon.stop()
        await site.wait_until_served(site.nodes[2])
        await restore(site, copy)
        await site.start_daemon(restarted)
        await asyncio.sleep(1.0)
        await site.wait_until_served(site.nodes[2], SERVED_AGAIN_S)
        check_owners(site)


@GRANT_MODES
async def test_keys_are_served_again_after_two_restorations_while_daemons_start(
    grant_mode: GrantMode,
) -> None:
    """OWNER: all daemons of a service restart while the store comes back twice within a second."""
    async with run_site(grant_mode=grant_mode) as site:
        first = site.store.take_copy()
        site.nodes[1].backend.draining = True
        await site.wait_until_served(site.nodes[2])
        await asyncio.sleep(1.0)
        site.nodes[1].backend.draining = False
        await restore(site, first)
        await site.restart_daemon(site.nodes[0])
        second = site.store.take_copy()
        await asyncio.sleep(0.5)
        await restore(site, second)
        await site.restart_daemon(site.nodes[1])
        await asyncio.sleep(1.0)
        await site.wait_until_served(site.nodes[2], SERVED_AGAIN_S)
        check_owners(site)
