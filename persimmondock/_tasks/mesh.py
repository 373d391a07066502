"""The daemons that this one knows, and the links to them."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any

import attrs
import msgpack
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.peer_stream import Delivered, PeerLink, PeerLostError, PeerServer
from persimmondock._domain.gate_status import GateStatus, unpack_status
from persimmondock._domain.replica import KeyedEntry

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from persimmondock._tasks.store_follower import PartitionFollower

HEARTBEAT_INTERVAL_S = 0.5  # four in a witness's term of 3 s may be lost but two
FULL_RATE_PEERS = 20  # with more, heartbeats to those that are not close become rarer
MAX_HEARTBEAT_INTERVAL_S = (
    2.5  # a daemon that is silent for longer has been noticed by those that call it
)
PEER_TIMEOUT_S = 1.5  # three heartbeats without an answer
PEER_TIMEOUT_INTERVALS = 2.5
READERS_PER_DOMAIN = 2  # daemons of each failure domain that wait for the store's records
SYNC_DELAY_S = 0.2  # a copy that is behind for longer is brought up to date by a peer
SYNC_TIMEOUT_S = 1.0


@attrs.frozen
class Member:
    """A daemon, as its record in the store tells."""

    node: str
    address: str
    failure_domain: str
    service: str


@attrs.define
class Peer:
    """What is known of another daemon.

    Parameters
    ----------
    status
        State of its gate, from the newest heartbeat or answer.
    ends
        Where its copies of the partitions end.
    heard_at
        Instant of the newest answer to a heartbeat.
    store_answers
        Whether the store answered its last question about assignments.
    """

    member: Member
    link: PeerLink
    status: GateStatus = attrs.field(factory=GateStatus)
    replica_ends: tuple[int, ...] = ()
    heard_at: float = -math.inf
    store_answers: bool = False
    unanswered_since: float = math.inf
    last_heartbeat_at: float = -math.inf
    interval_s: float = HEARTBEAT_INTERVAL_S

    @property
    def timeout_s(self) -> float:
        """How long it may be silent before it is taken for lost."""
        return max(PEER_TIMEOUT_S, PEER_TIMEOUT_INTERVALS * self.interval_s)

    def is_alive(self, now: float) -> bool:
        """Return whether it answered lately."""
        return self.link.connected and now - self.heard_at < self.timeout_s


@attrs.define
class _Lag:
    """What others know more of one partition.

    Parameters
    ----------
    end
        Where the most advanced copy ends that was heard of.
    since
        Instant at which the lag was noticed, or last acted on.
    """

    end: int
    since: float


def encode_member(member: Member) -> bytes:
    """Return the value of a daemon's record."""
    data: bytes = msgpack.packb([member.address, member.failure_domain, member.service])
    return data


def decode_member(node: str, data: bytes) -> Member:
    """Read a daemon's record.

    Raises
    ------
    ValueError
        If it is no such record; the message names the daemon.
    """
    try:
        address, failure_domain, service = msgpack.unpackb(data)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise ValueError(f"record of daemon {node!r}: {error!r}") from error
    return Member(node, address, failure_domain, service)


class Mesh:
    """Links to all daemons, with heartbeats.

    Parameters
    ----------
    followers
        Copies that daemons carry to each other.
    describe
        Returns the state of this daemon's own gate.
    note_confirmed
        Called with a daemon, where its copies end, whether it may witness, the instants at which
        the heartbeat was sent and answered, and for each copy how long ago the store confirmed it
        to that daemon, or None.
    """

    def __init__(
        self,
        own: Member,
        followers: Sequence[PartitionFollower],
        describe: Callable[[], GateStatus],
        on_heartbeat: Callable[
            [str, tuple[int, ...], bool, float, float, list[float | None]], None
        ],
    ) -> None:
        self.own = own
        self.server = PeerServer(self._handle_greeting)
        self.server.handlers["ping"] = self._handle_ping
        self.server.handlers["sync"] = self._handle_sync
        self.server.handlers["push"] = self._handle_push
        self.priority_peers: frozenset[str] = frozenset()
        self.is_busy: Callable[[str], bool] = lambda _: False
        self.peers: dict[str, Peer] = {}
        self._followers = followers
        self._describe = describe
        self._on_heartbeat = on_heartbeat
        self._lags: dict[int, _Lag] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def update_members(self, changed: list[KeyedEntry]) -> None:
        """Connect to daemons that are new or have moved."""
        for entry in changed:
            if entry.key == self.own.node:
                continue
            known = self.peers.get(entry.key)
            if not entry.value:
                self._remove_peer(entry.key)
                continue
            try:
                member = decode_member(entry.key, entry.value)
            except ValueError as error:
                logger.warning("event=member_refused detail={!r}", str(error))
                continue
            if known is not None and known.member == member:
                continue
            self._connect(member)

    def _connect(self, member: Member) -> None:
        self._remove_peer(member.node)
        own = self.own
        greeting = [own.node, own.address, own.failure_domain, own.service]
        self.peers[member.node] = Peer(member, PeerLink(greeting, member.node, member.address))
        logger.info("event=peer_known peer={} address={}", member.node, member.address)

    def _handle_greeting(self, greeting: list[str]) -> None:
        """Get to know a daemon that dialled: the store may be out of reach when this one starts."""
        member = Member(*greeting)
        if member.node not in self.peers and member.node != self.own.node:
            self._connect(member)

    def list_alive(self, now: float) -> list[Peer]:
        """Return the daemons that answered lately."""
        return [peer for peer in self.peers.values() if peer.is_alive(now)]

    def list_by_service(self, service: str) -> list[Peer]:
        """Return the daemons beside backend servers of a service."""
        return [peer for peer in self.peers.values() if peer.member.service == service]

    def is_reader(self) -> bool:
        """Return whether this daemon waits for the store's records, and brings them to others."""
        return self._count_preceding_readers() < READERS_PER_DOMAIN

    def push_records(self, index: int, start: int, changed: list[KeyedEntry], end: int) -> None:
        """Bring records that the store gave to the daemons of the own failure domain.

        Each reader does, since another one may be cut off; who has the records already drops them.
        """
        if not self.is_reader():
            return
        payload = [index, start, [[e.offset, e.key, e.value] for e in changed], end]
        for peer in self.list_alive(read_clock()):
            if peer.member.failure_domain == self.own.failure_domain:
                self._create_task(self._send_to_peer(peer, "push", payload))

    def _count_preceding_readers(self) -> int:
        """Return how many daemons of the own failure domain come before this one as readers."""
        now = read_clock()
        return sum(
            peer.member.failure_domain == self.own.failure_domain
            and peer.member.node < self.own.node
            and peer.store_answers
            and peer.is_alive(now)
            for peer in self.peers.values()
        )

    def broadcast(self, kind: str, payload: Any) -> None:
        """Send a message to all daemons that are alive; nobody waits for the replies."""
        for peer in self.list_alive(read_clock()):
            self._create_task(self._send_to_peer(peer, kind, payload))

    async def _send_to_peer(self, peer: Peer, kind: str, payload: Any) -> None:
        try:
            async with asyncio.timeout(SYNC_TIMEOUT_S):
                await peer.link.request(kind, payload)
        except (PeerLostError, TimeoutError) as error:
            logger.info("event=not_told peer={} kind={} error={!r}", peer.member.node, kind, error)

    async def run(self) -> None:
        """Send heartbeats for ever."""
        while True:
            started = read_clock()
            for peer in list(self.peers.values()):
                self._check_peer(peer, started)
            scaled_interval_s = min(
                MAX_HEARTBEAT_INTERVAL_S, HEARTBEAT_INTERVAL_S * len(self.peers) / FULL_RATE_PEERS
            )
            self.server.drop_silent(
                2 * max(PEER_TIMEOUT_S, PEER_TIMEOUT_INTERVALS * scaled_interval_s)
            )
            await asyncio.sleep(HEARTBEAT_INTERVAL_S / 2)

    def close(self) -> None:
        """End all links."""
        for peer in self.peers.values():
            peer.link.close()
        self.server.close()

    def _remove_peer(self, node: str) -> None:
        peer = self.peers.pop(node, None)
        if peer is not None:
            logger.info("event=peer_forgotten peer={}", node)
            peer.link.close()

    def _check_peer(self, peer: Peer, now: float) -> None:
        if not peer.link.connected:
            peer.unanswered_since = math.inf
            return
        if now - peer.unanswered_since > PEER_TIMEOUT_S:
            peer.link.drop("no answer to heartbeats")
            peer.unanswered_since = math.inf
            return
        peer.interval_s = self._choose_interval(peer)
        if (
            peer.unanswered_since is math.inf
            and now - peer.last_heartbeat_at >= 0.9 * peer.interval_s
        ):
            peer.unanswered_since = peer.last_heartbeat_at = now
            self._create_task(self._ping(peer, now))

    def _choose_interval(self, peer: Peer) -> float:
        """Return the seconds between heartbeats: few for those that this daemon depends on."""
        node = peer.member.node
        if node in self.priority_peers or self.is_busy(node):
            return HEARTBEAT_INTERVAL_S
        scaled_interval_s = HEARTBEAT_INTERVAL_S * len(self.peers) / FULL_RATE_PEERS
        return min(MAX_HEARTBEAT_INTERVAL_S, max(HEARTBEAT_INTERVAL_S, scaled_interval_s))

    def _create_task(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ping(self, peer: Peer, sent_at: float) -> None:
        ends = [follower.replica.end for follower in self._followers]
        try:
            reply = await peer.link.request("ping", [self.own.node, ends])
        except PeerLostError:
            return
        finally:
            peer.unanswered_since = math.inf
        now = read_clock()
        was_alive = peer.is_alive(now)
        ends, may_witness, store_answers, status, confirmation_ages = reply
        peer.heard_at = now
        peer.replica_ends = tuple(ends)
        peer.store_answers = store_answers
        peer.status = unpack_status(status)
        if not was_alive:
            logger.info("event=peer_alive peer={}", peer.member.node)
        self._on_heartbeat(
            peer.member.node, peer.replica_ends, may_witness, sent_at, now, confirmation_ages
        )
        for index, end in enumerate(peer.replica_ends):
            if end > self._followers[index].replica.end:
                self._request_missing(peer, index, end, now)

    def _request_missing(self, peer: Peer, index: int, end: int, now: float) -> None:
        """Ask a peer for what it knows more, unless the store or a reader brings it at once.

        Other peers that lag too say nothing about whether this copy does.
        """
        lag = self._lags.get(index)
        if lag is None or self._followers[index].replica.end >= lag.end:
            lag = self._lags[index] = _Lag(end, now)
        lag.end = max(lag.end, end)
        if now - lag.since >= SYNC_DELAY_S:
            lag.since = now
            self._create_task(self._sync(peer, index))

    async def _sync(self, peer: Peer, index: int) -> None:
        follower = self._followers[index]
        try:
            async with asyncio.timeout(SYNC_TIMEOUT_S):
                reply = await peer.link.request("sync", [index, follower.replica.end])
        except (PeerLostError, TimeoutError) as error:
            logger.debug("event=sync_failed peer={} error={!r}", peer.member.node, error)
            return
        entries, end = reply
        logger.info("event=synced peer={} part={} offset={}", peer.member.node, index, end)
        follower.apply_from_peer((KeyedEntry(*entry) for entry in entries), end)
        follower.restart_read()

    async def _handle_ping(self, payload: Any, _: Delivered) -> Any:
        name, ends = payload
        now = read_clock()
        peer = self.peers.get(name)
        for index, end in enumerate(ends):
            if peer is not None and end > self._followers[index].replica.end:
                self._request_missing(peer, index, end, now)
        return [
            [follower.replica.end for follower in self._followers],
            all(follower.replica.from_store for follower in self._followers),
            self._followers[-1].store_answers,
            self._describe().pack(),
            [follower.compute_confirmation_age(now) for follower in self._followers],
        ]

    async def _handle_push(self, payload: Any, delivered: Delivered) -> None:
        """Take records that a reader brings, unless some before them are missing here."""
        index, start, entries, end = payload
        follower = self._followers[index]
        if follower.replica.end < start:
            peer = self.peers.get(delivered.peer)
            if peer is not None:
                await self._sync(peer, index)
            return
        follower.apply_from_peer((KeyedEntry(*entry) for entry in entries), end)

    async def _handle_sync(self, payload: Any, _: Delivered) -> Any:
        index, offset = payload
        replica = self._followers[index].replica
        entries = [[e.offset, e.key, e.value] for e in replica.list_since(offset)]
        return [entries, replica.end]
