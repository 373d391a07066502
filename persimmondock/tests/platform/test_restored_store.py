"""Complete daemons while the store comes back from an older copy and loses what it acknowledged."""

from __future__ import annotations

import asyncio
import json

import pytest

from persimmondock._domain.site import GrantMode
from persimmondock.standins.site_store import StoreCopy
from persimmondock.tests.live_site import LiveSite, make_config, refuse_store_calls, run_site
from persimmondock.tests.platform.test_daemon import GRANT_MODES

AWAY_S = 0.3
SERVED_AGAIN_S = 8.0
RETURN_S = 2.0  # in which all daemons hear of the return
APPLY_S = 2.0
ORDERS = pytest.mark.parametrize("keeps_order", [False, True], ids=["newest", "in-order"])


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


async def ask_all(site: LiveSite, path: str) -> list[int]:
    """Return the status that each daemon answers."""
    return [(await site.ask(node, path))[0] for node in site.nodes]


async def wait_for_statuses(site: LiveSite, path: str, status: int) -> None:
    """Wait until all daemons answer with a status, within the time for a configuration."""
    async with asyncio.timeout(APPLY_S):
        while set(await ask_all(site, path)) != {status}:
            await asyncio.sleep(0.05)


@ORDERS
async def test_a_version_at_an_offset_that_was_given_out_before_is_applied(
    keeps_order: bool,
) -> None:
    """CONFIG: such a version was taken for an older one than what the store had lost."""
    async with run_site() as site:
        copy = site.store.take_copy()
        for version in range(2, 8):
            site.publish(make_config(version))
            await asyncio.sleep(0.1)
        await restore(site, copy, keeps_order)
        await asyncio.sleep(RETURN_S)
        assert await ask_all(site, "/assign/1") == [200] * 4
        site.publish(make_config(8, path_prefix="/moved/"))
        await wait_for_statuses(site, "/assign/1", 404)
        await wait_for_statuses(site, "/moved/1", 200)


async def test_a_daemon_that_missed_the_return_applies_a_version_at_a_former_offset() -> None:
    """CONFIG: a daemon hears of the return from its peers, or with the first record after it."""
    async with run_site() as site:
        copy = site.store.take_copy()
        site.publish(make_config(2))
        site.publish(make_config(3))
        await asyncio.sleep(0.5)
        with refuse_store_calls(site.nodes[3]):
            await restore(site, copy)
            site.publish(make_config(4, path_prefix="/moved/"))
            await wait_for_statuses(site, "/assign/1", 404)
            assert not site.nodes[3].daemon.sidecar.mesh._followers[0].store_answers
        await asyncio.sleep(RETURN_S)
        site.publish(make_config(5))
        await wait_for_statuses(site, "/assign/1", 200)


async def test_an_evacuation_stays_until_it_is_written_again_and_ends_afterwards() -> None:
    """EVAC: the record of an evacuation that was acknowledged is among what the store lost."""
    async with run_site() as site:
        evacuated = [node for node in site.nodes if node.settings.failure_domain == "recife"]
        copy = site.store.take_copy()
        site.store.write("keyed.op", "evacuate/recife", json.dumps({}).encode())
        await site.wait_until_served(site.nodes[0])
        before = [len(node.backend.runs) for node in evacuated]
        # The operators write again after the return only.
        site.store.faults.down = True
        site.store.release_waiting_reads()
        await asyncio.sleep(AWAY_S)
        site.store.restore(copy, writes_again=False)
        site.store.faults.down = False
        await asyncio.sleep(RETURN_S)
        assert await ask_all(site, "/assign/1") == [200] * 4
        assert [len(node.backend.runs) for node in evacuated] == before
        site.store.write("keyed.op", "evacuate/recife", b"{}")
        await asyncio.sleep(0.5)
        site.store.write("keyed.op", "evacuate/recife", b"")
        await asyncio.sleep(0.5)
        for node in evacuated:
            assert node.daemon.sidecar.gate.describe().accepts_work
        await site.wait_until_served(site.nodes[0], SERVED_AGAIN_S)
        check_owners(site)


async def test_an_evacuation_whose_end_was_lost_ends_when_that_is_written_again() -> None:
    """EVAC: the store comes back with an evacuation that had been ended."""
    async with run_site() as site:
        site.store.write("keyed.op", "evacuate/recife", b"{}")
        await asyncio.sleep(0.5)
        copy = site.store.take_copy()
        site.store.write("keyed.op", "evacuate/recife", b"")
        await asyncio.sleep(0.5)
        await restore(site, copy)
        await asyncio.sleep(RETURN_S)
        assert [node.daemon.sidecar.site.evacuated for node in site.nodes] == [frozenset()] * 4


async def test_a_daemon_that_starts_after_the_loss_has_the_version_of_its_peers() -> None:
    """CONFIG: a new process took what the restored store lists for the newest version."""
    async with run_site() as site:
        copy = site.store.take_copy()
        site.publish(make_config(2, path_prefix="/moved/"))
        await wait_for_statuses(site, "/moved/1", 200)
        await site.nodes[0].daemon.close()
        site.store.restore(copy, writes_again=False)
        await asyncio.sleep(1.0)
        await site.start_daemon(site.nodes[0])
        await asyncio.sleep(RETURN_S)
        assert await ask_all(site, "/moved/1") == [200] * 4
        site.publish(make_config(2, path_prefix="/moved/"))
        site.publish(make_config(3))
        await wait_for_statuses(site, "/assign/1", 200)
