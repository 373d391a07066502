"""Daemons that keep a limit together, in virtual time; links and heartbeats are imitated."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import attrs
import msgpack

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.peer_stream import Delivery, PeerRequestError
from persimmondock._domain.shared_rate import RateLimit
from persimmondock._ports.metrics import NoMetrics
from persimmondock._tasks.mesh import Member
from persimmondock._tasks.shared_rates import (
    Admitted,
    OverLimit,
    SharedRates,
    VersionedLimit,
)

HOP_S = 0.002
HEARTBEAT_S = 0.5
SETTLE_S = 4.0
PATIENCE_S = 1.0  # of callers
LIMIT_NAME = "tenant/orla"
DOMAINS = ("recife", "fortaleza", "salvador")


@attrs.define
class Ask:
    """A request of the tenant, and what became of it."""

    at: float
    node: str
    outcome: Any
    limit: RateLimit


@attrs.define(eq=False)
class RateNode:
    """One daemon."""

    name: str
    failure_domain: str
    rates: SharedRates
    mesh: Any
    task: asyncio.Task[None]
    frozen_until: float = 0.0
    version: int = 1


@attrs.define
class RateLink:
    """Connection of one daemon to another one."""

    site: RateSite
    source: str
    target: str
    version: int = 1

    @property
    def connected(self) -> bool:
        return self.target in self.site.nodes

    def send(self, kind: str, payload: Any, on_reply: Callable[[Any], None]) -> None:
        """Send a question; while the link is cut neither it nor its answer arrives."""
        node = self.site.nodes.get(self.target)
        if node is None:
            raise PeerRequestError("not connected", sent=False)
        self.site.messages += 1
        self.site.message_bytes += len(msgpack.packb(payload)) + 24

        async def deliver() -> None:
            await asyncio.sleep(HOP_S)
            await self.site.wait_until_thawed(node)
            if self.site.nodes.get(self.target) is not node or self._is_cut():
                return
            handler = node.mesh.server.instant_handlers[kind]
            reply = handler(msgpack.unpackb(msgpack.packb(payload)), Delivery(self.source, 0.0))
            await asyncio.sleep(HOP_S)
            source = self.site.nodes.get(self.source)
            if source is None or self._is_cut():
                return
            await self.site.wait_until_thawed(source)
            on_reply(reply)

        self.site.start(deliver())

    def _is_cut(self) -> bool:
        return self.site.is_cut(self.source, self.target)


class RateSite:
    """Daemons with one limit.

    Parameters
    ----------
    count
        Number of daemons.
    limit
        Limit that all know at first.
    make_rates
        Makes the daemons' parts.
    """

    def __init__(
        self,
        count: int,
        limit: RateLimit,
        make_rates: Callable[[Any, Any], SharedRates] = SharedRates,
        seed: int = 1,
    ) -> None:
        self.limit = limit
        self.config_version = 1
        self.make_rates = make_rates
        self.random = random.Random(seed)
        self.nodes: dict[str, RateNode] = {}
        self.cut: set[str] = set()
        self.asks: list[Ask] = []
        self.messages = self.message_bytes = 0
        self._tasks: set[asyncio.Task[Any]] = set()
        self._names = [f"node-{number}" for number in range(count)]
        for name in self._names:
            self.add(name)
        self.start(self._send_heartbeats())

    def start(self, work: Any) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()

    def add(self, name: str) -> None:
        """Start a daemon."""
        domain = DOMAINS[int(name.rpartition("-")[2]) % len(DOMAINS)]
        mesh = SimpleNamespace(
            own=Member(name, f"{name}:1", domain, "painel"),
            peers={},
            server=SimpleNamespace(instant_handlers={}),
        )
        rates = self.make_rates(cast("Any", mesh), NoMetrics())
        for other in self.nodes.values():
            mesh.peers[other.name] = self._make_peer(name, other.name, other.failure_domain)
            other.mesh.peers.setdefault(name, self._make_peer(other.name, name, domain))
        task = self.start(rates.run())
        self.nodes[name] = RateNode(name, domain, rates, mesh, task)

    def _make_peer(self, source: str, target: str, domain: str) -> Any:
        member = Member(target, f"{target}:1", domain, "painel")
        return SimpleNamespace(
            member=member, client=RateLink(self, source, target), heard_at=read_clock()
        )

    def kill(self, name: str) -> None:
        """End a daemon; the others still know it."""
        node = self.nodes.pop(name, None)
        if node is not None:
            node.task.cancel()

    def forget(self, name: str) -> None:
        """Remove a daemon from the record."""
        self.kill(name)
        for node in self.nodes.values():
            node.mesh.peers.pop(name, None)

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether two daemons are on different sides of a cut."""
        return (source in self.cut) != (target in self.cut)

    async def wait_until_thawed(self, node: RateNode) -> None:
        while node.frozen_until > read_clock():
            await asyncio.sleep(node.frozen_until - read_clock())

    async def _send_heartbeats(self) -> None:
        while True:
            now = read_clock()
            for node in self.nodes.values():
                for peer in node.mesh.peers.values():
                    other = self.nodes.get(peer.member.node)
                    if (
                        other is not None
                        and max(node.frozen_until, other.frozen_until) <= now
                        and not self.is_cut(node.name, other.name)
                    ):
                        peer.heard_at = now
            await asyncio.sleep(HEARTBEAT_S)

    async def ask(self, name: str) -> None:
        """Let a request of the tenant arrive at a daemon."""
        node = self.nodes.get(name)
        if node is None or node.frozen_until > read_clock():
            return
        limit = self.limit
        at = read_clock()
        versioned = VersionedLimit(LIMIT_NAME, limit, self.config_version)
        outcome = await node.rates.admit(versioned, PATIENCE_S)
        self.asks.append(Ask(at, name, outcome, limit))

    async def load(self, per_s: float, for_s: float, names: list[str] | None = None) -> None:
        """Let requests arrive at random instants at some or all daemons."""
        until = read_clock() + for_s
        while True:
            await asyncio.sleep(self.random.expovariate(per_s))
            if read_clock() >= until:
                return
            self.start(self.ask(self.random.choice(names or list(self._names))))

    def list_admitted(self, since: float = 0.0) -> list[float]:
        """Return the instants at which requests were sent that were admitted."""
        asks = [a for a in self.asks if a.at >= since and isinstance(a.outcome, Admitted)]
        return sorted(a.at for a in asks)

    def count_refused(self, since: float, kind: type = OverLimit) -> int:
        """Return how many requests were refused."""
        return sum(a.at >= since and isinstance(a.outcome, kind) for a in self.asks)


def count_most_in_window(instants: list[float], window_s: float) -> int:
    """Return the largest number of instants in any window."""
    most = first = 0
    for index, at in enumerate(instants):
        while instants[first] < at - window_s:
            first += 1
        most = max(most, index - first + 1)
    return most
