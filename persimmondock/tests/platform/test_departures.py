"""Complete daemons whose backend servers leave, around restarts of the daemons beside them."""

from __future__ import annotations

import asyncio
import time
from unittest import mock

import pytest

from persimmondock._domain.backend_report import SILENT_AFTER_S
from persimmondock.tests.live_site import LiveNode, LiveSite, refuse_store_calls, run_site

FOUND_OUT_S = 1.5  # in which a new process hears from the store and from its peers
HELD_S = 2.0


async def leave(node: LiveNode, announces_draining: bool) -> int:
    """Let the backend server say that it leaves; return the status of the answer."""
    if not announces_draining:
        return await node.backend.send_leave()
    node.backend.draining = True
    return await node.backend.send_announcement(node.backend.build_next_announcement())


async def check_unused(site: LiveSite, node: LiveNode) -> None:
    """Check that no request reaches a backend server, from any daemon."""
    before = len(node.backend.runs)
    until = time.monotonic() + HELD_S
    while time.monotonic() < until:
        for sender in site.nodes:
            await site.ask(sender, "/assign/1")
    assert len(node.backend.runs) == before


@pytest.mark.parametrize("restarts", [1, 2])
@pytest.mark.parametrize("announces_draining", [False, True], ids=["leave", "draining"])
async def test_a_new_process_does_not_use_a_backend_server_whose_leaving_was_acknowledged(
    announces_draining: bool, restarts: int
) -> None:
    """DRAIN: a report from before the leave arrives late, at a new process of the daemon.

    It counted as the first one of a ready backend server.
    """
    async with run_site() as site:
        node = site.nodes[2]
        node.backend.stop_announcing()
        late = node.backend.build_next_announcement()
        assert await leave(node, announces_draining) == 200
        for _ in range(restarts):
            await site.restart_daemon(node)
            assert await node.backend.send_announcement(late) == 200
        await check_unused(site, node)


async def test_a_departure_is_kept_by_peers_while_the_store_does_not_answer() -> None:
    """DRAIN: the daemon is cut off from the store when it acknowledges, and killed then."""
    async with run_site() as site:
        node = site.nodes[2]
        node.backend.stop_announcing()
        late = node.backend.build_next_announcement()
        with refuse_store_calls(node):
            assert await node.backend.send_leave() == 200
        await site.restart_daemon(node)
        await asyncio.sleep(FOUND_OUT_S)
        assert await node.backend.send_announcement(late) == 200
        await check_unused(site, node)


async def test_a_departure_that_nobody_else_knows_is_not_acknowledged() -> None:
    """Guards against an acknowledgement that ends with the process that gave it."""
    async with run_site() as site:
        node = site.nodes[2]
        node.backend.stop_announcing()
        mesh = node.daemon.sidecar.mesh
        with refuse_store_calls(node), mock.patch.object(mesh, "list_alive", lambda _: []):
            assert await node.backend.send_leave() == 503
            assert not node.daemon.sidecar.gate.describe().accepts_work
        await asyncio.sleep(1.0)
        assert await node.backend.send_leave() == 200


async def test_a_departure_that_a_restored_store_has_lost_is_recorded_again() -> None:
    """DRAIN: the store comes back from a copy from before the leave."""
    async with run_site() as site:
        node = site.nodes[2]
        node.backend.stop_announcing()
        late, copy = node.backend.build_next_announcement(), site.store.take_copy()
        assert await node.backend.send_leave() == 200
        site.store.restore(copy)
        await asyncio.sleep(2.0)
        await site.restart_daemon(node)
        assert await node.backend.send_announcement(late) == 200
        await check_unused(site, node)


@pytest.mark.parametrize("is_new", [False, True], ids=["living", "reborn"])
async def test_a_new_process_uses_a_sound_backend_server_at_once(is_new: bool) -> None:
    """Guards against seconds without a backend server that never left, or that has just started."""
    async with run_site() as site:
        node = site.nodes[2]
        node.backend.stop_announcing()
        if is_new:
            assert await node.backend.send_leave() == 200
            node.backend.instance, node.backend.born_ms = "i-reborn", node.backend.born_ms + 5_000
        await site.restart_daemon(node)
        announcement = node.backend.build_next_announcement()
        assert await node.backend.send_announcement(announcement) == 200
        async with asyncio.timeout(1.0):
            while not node.daemon.sidecar.gate.describe().accepts_work:
                await asyncio.sleep(0.01)


async def test_a_departure_is_written_once() -> None:
    """Load: backend servers that drain announce it with each heartbeat."""
    async with run_site() as site:
        node = site.nodes[2]
        node.backend.draining = True
        await asyncio.sleep(1.5)
        before = site.store.calls
        for _ in range(5):
            assert (
                await node.backend.send_announcement(node.backend.build_next_announcement()) == 200
            )
        writes = site.store.calls - before
        assert writes <= 2


async def restart_all(site: LiveSite) -> None:
    """Let all daemons forget what they kept for each other, as when all are killed at once."""
    for node in site.nodes:
        await node.daemon.close()
    for node in site.nodes:
        await site.start_daemon(node)


@pytest.mark.parametrize("kills", [1, 2])
@pytest.mark.parametrize("is_back", [False, True], ids=["store back later", "store back before"])
@pytest.mark.parametrize("announces_draining", [False, True], ids=["leave", "draining"])
async def test_a_departure_that_all_daemons_forget_while_the_store_is_down_binds(
    announces_draining: bool, is_back: bool, kills: int
) -> None:
    """DRAIN: all daemons are killed after an acknowledgement that only their memory holds.

    Two late reports from before the departure arrive at the new process.
    """
    async with run_site() as site:
        node = site.nodes[2]
        node.backend.stop_announcing()
        late = [node.backend.build_next_announcement() for _ in range(2)]
        site.store.faults.down = True
        await asyncio.sleep(0.2)
        assert await leave(node, announces_draining) == 200
        site.store.faults.down = not is_back
        for _ in range(kills):
            await restart_all(site)
        await asyncio.sleep(0.3)
        site.store.faults.down = False
        await asyncio.sleep(0.7)
        for announcement in late:
            assert await node.backend.send_announcement(announcement) in (200, 503)
        await check_unused(site, node)
        await asyncio.sleep(SILENT_AFTER_S - 2.0)
        await check_unused(site, node)


async def test_sound_backend_servers_are_used_soon_after_all_daemons_were_killed() -> None:
    """Guards against seconds without any backend server: they prove that they have not left."""
    async with run_site() as site:
        site.store.faults.down = True
        await restart_all(site)
        site.store.faults.down = False
        async with asyncio.timeout(2.0):
            while not all(n.daemon.sidecar.gate.describe().accepts_work for n in site.nodes):
                await asyncio.sleep(0.02)


async def test_a_departure_that_not_all_asked_peers_keep_is_not_acknowledged() -> None:
    """Guards against an acknowledgement that rests on a peer which the next process cannot name."""
    async with run_site() as site:
        node = site.nodes[2]
        node.backend.stop_announcing()
        deaf = site.nodes[0].daemon.sidecar.mesh.server
        with (
            refuse_store_calls(node),
            mock.patch.dict(deaf.handlers, {"keep": lambda *_: asyncio.sleep(1.0)}),
        ):
            assert await node.backend.send_leave() == 503
