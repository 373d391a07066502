"""A site in one process: store, backend servers and daemons on loopback addresses."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import AsyncIterator, Iterator
from typing import Any
from unittest import mock

import aiohttp
import attrs
from aiohttp import web

from persimmondock._domain.site import (
    GrantMode,
    GrantsByCall,
    GrantsInHeartbeats,
    NodeSettings,
    SiteBounds,
)
from persimmondock._ports.keyed_log import StoreFailed
from persimmondock.platform._daemon import PlatformDaemon
from persimmondock.platform._settings import MetricsEndpoint
from persimmondock.standins.site_backend import SiteBackend
from persimmondock.standins.site_store import SiteStore
from persimmondock.tests.builders import NETWORK

STORE_ADDRESS = f"{NETWORK}200:9000"
HOST = "board.example"
METRICS_PORT = 9464


def make_config(version: int = 1, **route: Any) -> dict[str, Any]:
    """Return a configuration with a keyed service, a plain one, and one route to each.

    Parameters
    ----------
    route
        Fields that replace those of the route to the plain service.
    """
    view = {
        "name": "r-view",
        "path_prefix": "/view/",
        "route_type": "safe",
        "timeout_s": 2.0,
        "target_latency_s": 0.8,
        "priority": 1,
        "service": "painel",
        "max_attempts": 2,
    }
    assign = view | {
        "name": "r-assign",
        "path_prefix": "/assign/",
        "route_type": "unsafe",
        "service": "recepcao",
    }
    services = [
        {"name": "painel", "sharded": True, "warmup_s": 0, "cold_per_s": 0},
        {"name": "recepcao", "warmup_s": 0, "cold_per_s": 0},
    ]
    return {
        "version": version,
        "services": services,
        "limits": {},
        "virtual_hosts": [{"host": HOST, "paths": [view, assign | route]}],
    }


@attrs.define
class LiveNode:
    """One VM: a daemon and the backend server beside it."""

    number: int
    settings: NodeSettings
    backend: SiteBackend
    daemon: PlatformDaemon

    @property
    def caller_url(self) -> str:
        return f"http://{self.settings.caller_address}"


@attrs.define
class LiveSite:
    """All VMs, and the store."""

    store: SiteStore = attrs.field(factory=SiteStore)
    grant_mode: GrantMode = attrs.field(factory=GrantsByCall)
    nodes: list[LiveNode] = attrs.field(factory=list)
    _runner: web.AppRunner | None = None
    _session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Start the store."""
        self._runner = web.AppRunner(
            self.store.build_application(), access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        host, _, port = STORE_ADDRESS.rpartition(":")
        await web.TCPSite(self._runner, host, int(port), reuse_address=True).start()
        self._session = aiohttp.ClientSession()

    async def read_metrics(self, node: LiveNode) -> str:
        """Return a daemon's metrics as a collector would read them."""
        assert self._session is not None
        host = node.settings.caller_address.rpartition(":")[0]
        async with self._session.get(f"http://{host}:{METRICS_PORT}/metrics") as response:
            assert response.status == 200
            return await response.text()

    def publish(self, config: dict[str, Any]) -> None:
        """Write a configuration to the store as operators would."""
        self.store.write("keyed.op", "config", json.dumps(config).encode())

    async def add(self, number: int, service: str, zone: str = "recife") -> LiveNode:
        """Start a VM."""
        address = f"{NETWORK}{number}"
        settings = NodeSettings(
            node=f"node-{number}",
            failure_domain=zone,
            service=service,
            backend_address=f"{address}:8301",
            store_address=STORE_ADDRESS,
            caller_address=f"{address}:8304",
            ready_address=f"{address}:8302",
            announce_address=f"{address}:8306",
            peer_address=f"{address}:7620",
            bounds=SiteBounds(),
            grant_mode=self.grant_mode,
            is_first_start=True,
        )
        backend = SiteBackend(
            service,
            f"{address}:8301",
            f"{address}:8306",
            zone,
            keyed=service == "painel",
            grants_in_heartbeats=isinstance(self.grant_mode, GrantsInHeartbeats),
        )
        daemon = PlatformDaemon(settings, MetricsEndpoint(METRICS_PORT, "/metrics"))
        await daemon.start()
        await backend.start()
        node = LiveNode(number, settings, backend, daemon)
        self.nodes.append(node)
        return node

    async def ask(
        self, node: LiveNode, path: str, key: int = -1, attempt: str = "a", timeout_ms: int = 2000
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request to a daemon."""
        assert self._session is not None
        headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Timeout-Ms": str(timeout_ms)}
        if key >= 0:
            headers["X-Shard-Key"] = str(key)
        method = "POST" if path.startswith("/assign/") else "GET"
        async with self._session.request(
            method, node.caller_url + path, headers=headers
        ) as response:
            return response.status, dict(response.headers), await response.read()

    async def wait_until_served(self, node: LiveNode, within_s: float = 8.0) -> None:
        """Wait until all keys and the plain service are served."""
        until = time.monotonic() + within_s
        while True:
            statuses = [
                (await self.ask(node, "/view/1", key))[0] for key in range(0, 65_536, 4_096)
            ]
            statuses.append((await self.ask(node, "/assign/1"))[0])
            if set(statuses) == {200}:
                return
            assert time.monotonic() < until, statuses
            await asyncio.sleep(0.1)

    def find_double_holds(self) -> list[str]:
        """Return holds of the same keys by two backend servers at the same time."""
        found = []
        for index, node in enumerate(self.nodes):
            for other in self.nodes[index + 1 :]:
                for a in node.backend.held_ranges:
                    for b in other.backend.held_ranges:
                        keys_overlap = a.first <= b.last and b.first <= a.last
                        if keys_overlap and min(a.end, b.end) - max(a.start, b.start) > 0.01:
                            found.append(f"{node.number} {a} and {other.number} {b}")
        return found

    def find_low_tokens(self) -> list[str]:
        """Return holds under a token that is not above all that other backend servers had."""
        found = []
        for node in self.nodes:
            for hold in node.backend.held_ranges:
                found += [
                    f"{node.number} {hold} after {other.number} {earlier}"
                    for other in self.nodes
                    if other is not node
                    for earlier in other.backend.held_ranges
                    if earlier.start < hold.start
                    and earlier.first <= hold.last
                    and hold.first <= earlier.last
                    and earlier.fence >= hold.fence
                ]
        return found

    async def restart_daemon(self, node: LiveNode) -> None:
        """Replace a daemon by a new process of it, which remembers nothing."""
        await node.daemon.close()
        await self.start_daemon(node)

    async def start_daemon(self, node: LiveNode) -> None:
        """Start a new process of a daemon that has been closed."""
        settings = attrs.evolve(node.settings, is_first_start=False)
        node.daemon = PlatformDaemon(settings, MetricsEndpoint(METRICS_PORT, "/metrics"))
        await node.daemon.start()

    async def stop(self) -> None:
        """Stop all daemons and backend servers, then the store."""
        for node in self.nodes:
            await node.daemon.close()
            await node.backend.stop()
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()


async def _refuse_call(*_: object, **__: object) -> StoreFailed:
    return StoreFailed("cut off")


@contextlib.contextmanager
def refuse_store_calls(node: LiveNode) -> Iterator[None]:
    """Let all calls of a daemon to the store fail."""
    with mock.patch.object(node.daemon._store, "_call", _refuse_call):
        yield


@contextlib.asynccontextmanager
async def run_site(
    config: dict[str, Any] | None = None, grant_mode: GrantMode | None = None
) -> AsyncIterator[LiveSite]:
    """Run a site with two keyed and two plain VMs in two failure domains."""
    site = LiveSite(grant_mode=grant_mode or GrantsByCall())
    await site.start()
    site.publish(config or make_config())
    try:
        for number, service in enumerate(("painel", "painel", "recepcao", "recepcao"), 1):
            await site.add(number, service, ("recife", "salvador")[number % 2])
        await site.wait_until_served(site.nodes[0])
        yield site
    finally:
        await site.stop()
