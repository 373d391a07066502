"""Daemons that replicate a store's partitions among each other, in virtual time.

The meshes and followers are those of the product. Links and the store are imitated.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.peer_stream import PROTOCOL_VERSION, Delivery, PeerRequestError
from persimmondock._domain.gate_status import GateStatus
from persimmondock._domain.replica import KeyedEntry
from persimmondock._ports.keyed_log import (
    Partition,
    ReadOutcome,
    Records,
    StoreFailed,
    WriteOutcome,
    Written,
)
from persimmondock._tasks.mesh import Member, Mesh, Peer
from persimmondock._tasks.store_follower import STALE_MARGIN_S, PartitionFollower

OPERATOR, ASSIGNMENTS = Partition("op"), Partition("fleet", 1)
HOP_S = 0.002
STORE_TIMEOUT_S = 1.5
STARTS_WITHIN_S = 0.3
SETTLE_S = 3.0


@attrs.define
class VirtualStore:
    """Records of all partitions; a waiting read returns as soon as there is one."""

    records: dict[Partition, list[KeyedEntry]] = attrs.field(factory=dict)
    grown: asyncio.Event = attrs.field(factory=asyncio.Event)

    def append(self, partition: Partition, key: str, value: bytes) -> int:
        """Append a record and return its offset."""
        records = self.records.setdefault(partition, [])
        records.append(KeyedEntry(len(records), key, value))
        self.grown.set()
        self.grown = asyncio.Event()
        return len(records) - 1

    def list_from(self, partition: Partition, offset: int) -> tuple[KeyedEntry, ...]:
        """Return the records from an offset on."""
        return tuple(self.records.get(partition, [])[offset:])


@attrs.define(eq=False)
class VirtualDaemon:
    """One daemon.

    Parameters
    ----------
    paused_until
        Instant until which it stands still.
    unanswered_until
        Instant until which the store accepts its calls and does not answer them, including reads
        that wait already.
    cut_until
        Instant until which its messages to and from other failure domains are held up.
    lag_s
        Seconds by which what it sends to other daemons is held up.
    """

    name: str
    failure_domain: str
    site: VirtualMeshSite
    paused_until: float = 0.0
    unanswered_until: float = 0.0
    cut_until: float = 0.0
    lag_s: float = 0.0
    calls: int = 0
    mesh: Mesh = attrs.field(init=False)
    followers: tuple[PartitionFollower, ...] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.followers = tuple(
            PartitionFollower(self, partition, lambda _: None, max_age_s=max_age_s)
            for partition, max_age_s in (
                (OPERATOR, self.site.apply_s - STALE_MARGIN_S),
                (ASSIGNMENTS, math.inf),
            )
        )
        own = Member(self.name, "", self.failure_domain, "painel")
        self.mesh = Mesh(own, self.followers, GateStatus, lambda *_: None)
        self.followers[0].is_poller = self.mesh.is_first_reader
        self.followers[0].share_poll = self.mesh.share_poll
        for index, follower in enumerate(self.followers):
            follower.is_reader = self.mesh.is_reader
            follower.push_records = self._make_push(index)

    def _make_push(self, index: int) -> Callable[[int, list[KeyedEntry], int], None]:
        return lambda start, changed, end: self.mesh.push_records(index, start, changed, end)

    @property
    def is_paused(self) -> bool:
        """Whether it stands still."""
        return read_clock() < self.paused_until

    async def stand_still(self) -> None:
        """Wait until the daemon runs."""
        while self.is_paused:
            await asyncio.sleep(self.paused_until - read_clock())

    # Client of the store.

    async def read_newest(self, partition: Partition) -> Records | StoreFailed:
        """Read all records."""
        outcome = await self.read_from(partition, 0, 0.0)
        assert isinstance(outcome, (Records, StoreFailed))
        return outcome

    async def read_from(self, partition: Partition, offset: int, wait_s: float) -> ReadOutcome:
        """Read records from an offset on."""
        self.calls += 1
        try:
            async with asyncio.timeout(wait_s + STORE_TIMEOUT_S):
                entries = await self._wait_for_records(partition, offset, wait_s)
                if read_clock() < self.unanswered_until:
                    # The connection returns nothing further.
                    await asyncio.sleep(wait_s + STORE_TIMEOUT_S)
        except TimeoutError:
            return StoreFailed("no response within the timeout")
        await self.stand_still()
        return Records(entries, offset + len(entries))

    async def _wait_for_records(
        self, partition: Partition, offset: int, wait_s: float
    ) -> tuple[KeyedEntry, ...]:
        store = self.site.store
        await asyncio.sleep(HOP_S)
        deadline = read_clock() + wait_s
        while not (entries := store.list_from(partition, offset)) and read_clock() < deadline:
            try:
                async with asyncio.timeout(deadline - read_clock()):
                    await store.grown.wait()
            except TimeoutError:
                break
        await asyncio.sleep(HOP_S)
        return entries

    async def write(
        self, partition: Partition, entries: Sequence[tuple[str, bytes]], expected_end: int | None
    ) -> WriteOutcome:
        """Append records."""
        return Written(self.site.store.append(partition, *entries[0]))


@attrs.define(eq=False)
class VirtualLink:
    """Connection of one daemon to another one, which stays open while either stands still."""

    source: VirtualDaemon
    target: VirtualDaemon
    connected: bool = True
    version: int = PROTOCOL_VERSION
    generation: int = 0

    def reconnect(self, _: str) -> None:
        """Drop requests without a reply."""
        self.generation += 1

    async def request(self, kind: str, payload: Any, outlives_silence: bool = False) -> Any:
        """Send a request and return its reply."""
        generation = self.generation
        await self.source.stand_still()
        await asyncio.sleep(HOP_S + self.source.lag_s)
        await self.pass_cut()
        await self.target.stand_still()
        if generation != self.generation:
            raise PeerRequestError("dropped", sent=True)
        server = self.target.mesh.server
        delivery = Delivery(self.source.name, 0.0)
        if kind in server.instant_handlers:
            reply = server.instant_handlers[kind](payload, delivery)
        else:
            reply = await server.handlers[kind](payload, delivery)
        await asyncio.sleep(HOP_S + self.target.lag_s)
        await self.pass_cut()
        await self.source.stand_still()
        return reply

    async def pass_cut(self) -> None:
        """Wait until messages between the two daemons pass."""
        if self.source.failure_domain != self.target.failure_domain:
            healed_at = max(self.source.cut_until, self.target.cut_until)
            await asyncio.sleep(max(0.0, healed_at - read_clock()))

    def send(self, kind: str, payload: Any, on_reply: Callable[[Any], None], **_: Any) -> None:
        """Send a request without waiting for its reply."""

        async def exchange() -> None:
            generation = self.generation
            try:
                reply = await self.request(kind, payload)
            except PeerRequestError as error:
                reply = error
            if generation == self.generation:
                on_reply(reply)

        self.source.site.start(exchange())

    def close(self) -> None:
        """Do nothing."""


class VirtualMeshSite:
    """All daemons of a site and its store.

    Parameters
    ----------
    sizes
        Number of daemons in each failure domain.
    apply_s
        Seconds within which a configuration has to take effect.
    """

    def __init__(self, sizes: Sequence[int], apply_s: float, seed: int = 1) -> None:
        self.apply_s = apply_s
        self.random = random.Random(seed)
        self.store = VirtualStore()
        self.daemons = [
            VirtualDaemon(f"{chr(97 + domain)}-{number:02d}", f"domain-{domain}", self)
            for domain, size in enumerate(sizes)
            for number in range(size)
        ]
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, work: Any) -> None:
        """Start a task that ends with the site."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run(self) -> None:
        """Start all daemons, in any order, and wait until they know each other."""
        self.store.append(OPERATOR, "config", b"0")
        self.store.append(ASSIGNMENTS, "painel", b"0")
        for daemon in self.daemons:
            for other in self.daemons:
                if other is not daemon:
                    daemon.mesh.add_peer(Peer(other.mesh.own, VirtualLink(daemon, other)))  # type: ignore[arg-type]
            self.start(self._run_daemon(daemon))
        await asyncio.sleep(SETTLE_S)
        # Each daemon reads by itself until it knows others; this ends the reads that still wait.
        self.store.append(OPERATOR, "config", b"0")
        self.store.append(ASSIGNMENTS, "painel", b"0")
        await asyncio.sleep(SETTLE_S)

    async def _run_daemon(self, daemon: VirtualDaemon) -> None:
        await asyncio.sleep(self.random.uniform(0.0, STARTS_WITHIN_S))
        for follower in daemon.followers:
            self.start(follower.run())
        await daemon.mesh.run()

    def list_readers(self, failure_domain: str | None = None) -> list[VirtualDaemon]:
        """Return the daemons that read new records from the store."""
        return [
            daemon
            for daemon in self.daemons
            if daemon.mesh.is_reader() and failure_domain in (None, daemon.failure_domain)
        ]

    async def measure_delay(self, limit_s: float) -> tuple[float, str]:
        """Change the operators' record; return when the last running daemon has it, and its name.

        Daemons whose messages are held up do not count. The time is infinite if some do not have it
        after ``limit_s`` seconds.
        """
        acknowledged_at = read_clock()
        end = self.store.append(OPERATOR, "config", b"1") + 1
        while read_clock() < acknowledged_at + limit_s:
            behind = [
                daemon
                for daemon in self.daemons
                if daemon.followers[0].replica.end < end and not (daemon.is_paused or daemon.lag_s)
            ]
            if not behind:
                return read_clock() - acknowledged_at, ""
            await asyncio.sleep(0.01)
        return math.inf, behind[0].name

    async def stop(self) -> None:
        """End all tasks."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
