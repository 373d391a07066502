"""The daemons that this one knows, and the links to them."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any

import attrs
import msgpack
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.peer_stream import Delivery, PeerClient, PeerRequestError, PeerServer
from persimmondock._domain.gate_status import GateStatus, unpack_status
from persimmondock._domain.replica import KeyedEntry

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from persimmondock._tasks.store_follower import PartitionFollower

HEARTBEAT_S = 0.5  # four in a witness's term of 3 s may be lost but two
FREQUENT_PEERS = 20  # with more, heartbeats to those that are not close become rarer
MAX_HEARTBEAT_S = 2.5  # a daemon that is silent for longer has been noticed by those that call it
SILENT_S = 1.5  # three heartbeats without an answer
SILENT_INTERVALS = 2.5
READERS = 2  # daemons of each failure domain that wait for the store's records
SYNC_AFTER_S = 0.2  # a copy that is behind for longer is brought up to date by a peer
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
    link: PeerClient
    status: GateStatus = attrs.field(factory=GateStatus)
    ends: tuple[int, ...] = ()
    heard_at: float = -math.inf
    store_answers: bool = False
    asked_at: float = math.inf
    pinged_at: float = -math.inf
    interval_s: float = HEARTBEAT_S

    @property
    def silent_s(self) -> float:
        """How long it may be silent before it is taken for lost."""
        return max(SILENT_S, SILENT_INTERVALS * self.interval_s)

    def is_alive(self, now: float) -> bool:
        """Return whether it answered lately."""
        return self.link.connected and now - self.heard_at < self.silent_s


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
        note_confirmed: Callable[
            [str, tuple[int, ...], bool, float, float, list[float | None]], None
        ],
    ) -> None:
        self.own = own
        self.server = PeerServer(self._take_greeting)
        self.server.handlers["ping"] = self._answer_ping
        self.server.handlers["sync"] = self._answer_sync
        self.server.handlers["push"] = self._take_push
        self.close_peers: frozenset[str] = frozenset()
        self.is_busy: Callable[[str], bool] = lambda _: False
        self.peers: dict[str, Peer] = {}
        self._followers = followers
        self._describe = describe
        self._note_confirmed = note_confirmed
        self._lags: dict[int, _Lag] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def take_members(self, changed: list[KeyedEntry]) -> None:
        """Connect to daemons that are new or have moved."""
        for entry in changed:
            if entry.key == self.own.node:
                continue
            known = self.peers.get(entry.key)
            if not entry.value:
                self._forget(entry.key)
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
        self._forget(member.node)
        own = self.own
        greeting = [own.node, own.address, own.failure_domain, own.service]
        self.peers[member.node] = Peer(member, PeerClient(greeting, member.node, member.address))
        logger.info("event=peer_known peer={} address={}", member.node, member.address)

    def _take_greeting(self, greeting: list[str]) -> None:
        """Get to know a daemon that dialled: the store may be out of reach when this one starts."""
        member = Member(*greeting)
        if member.node not in self.peers and member.node != self.own.node:
            self._connect(member)

    def list_alive(self, now: float) -> list[Peer]:
        """Return the daemons that answered lately."""
        return [peer for peer in self.peers.values() if peer.is_alive(now)]

    def list_of_service(self, service: str) -> list[Peer]:
        """Return the daemons beside backend servers of a service."""
        return [peer for peer in self.peers.values() if peer.member.service == service]

    def is_reader(self) -> bool:
        """Return whether this daemon waits for the store's records, and brings them to others."""
        return self._find_place() < READERS

    def spread(self, index: int, start: int, changed: list[KeyedEntry], end: int) -> None:
        """Bring records that the store gave to the daemons of the own failure domain.

        Each reader does, since another one may be cut off; who has the records already drops them.
        """
        if not self.is_reader():
            return
        payload = [index, start, [[e.offset, e.key, e.value] for e in changed], end]
        for peer in self.list_alive(read_clock()):
            if peer.member.failure_domain == self.own.failure_domain:
                self._start(self._tell(peer, "push", payload))

    def _find_place(self) -> int:
        """Return how many daemons of the own failure domain come before this one as readers."""
        now = read_clock()
        return sum(
            peer.member.failure_domain == self.own.failure_domain
            and peer.member.node < self.own.node
            and peer.store_answers
            and peer.is_alive(now)
            for peer in self.peers.values()
        )

    def tell_all(self, kind: str, payload: Any) -> None:
        """Send a message to all daemons that are alive; nobody waits for the replies."""
        for peer in self.list_alive(read_clock()):
            self._start(self._tell(peer, kind, payload))

    async def _tell(self, peer: Peer, kind: str, payload: Any) -> None:
        try:
            async with asyncio.timeout(SYNC_TIMEOUT_S):
                await peer.link.request(kind, payload)
        except (PeerRequestError, TimeoutError) as error:
            logger.info("event=not_told peer={} kind={} error={!r}", peer.member.node, kind, error)

    async def run(self) -> None:
        """Send heartbeats for ever."""
        while True:
            started = read_clock()
            for peer in list(self.peers.values()):
                self._check(peer, started)
            usual_s = min(MAX_HEARTBEAT_S, HEARTBEAT_S * len(self.peers) / FREQUENT_PEERS)
            self.server.close_silent(2 * max(SILENT_S, SILENT_INTERVALS * usual_s))
            await asyncio.sleep(HEARTBEAT_S / 2)

    def close(self) -> None:
        """End all links."""
        for peer in self.peers.values():
            peer.link.close()
        self.server.close()

    def _forget(self, node: str) -> None:
        peer = self.peers.pop(node, None)
        if peer is not None:
            logger.info("event=peer_forgotten peer={}", node)
            peer.link.close()

    def _check(self, peer: Peer, now: float) -> None:
        if not peer.link.connected:
            peer.asked_at = math.inf
            return
        if now - peer.asked_at > SILENT_S:
            peer.link.reconnect("no answer to heartbeats")
            peer.asked_at = math.inf
            return
        peer.interval_s = self._choose_interval(peer)
        if peer.asked_at is math.inf and now - peer.pinged_at >= 0.9 * peer.interval_s:
            peer.asked_at = peer.pinged_at = now
            self._start(self._ping(peer, now))

    def _choose_interval(self, peer: Peer) -> float:
        """Return the seconds between heartbeats: few for those that this daemon depends on."""
        node = peer.member.node
        if node in self.close_peers or self.is_busy(node):
            return HEARTBEAT_S
        usual_s = HEARTBEAT_S * len(self.peers) / FREQUENT_PEERS
        return min(MAX_HEARTBEAT_S, max(HEARTBEAT_S, usual_s))

    def _start(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ping(self, peer: Peer, sent_at: float) -> None:
        ends = [follower.replica.end for follower in self._followers]
        try:
            reply = await peer.link.request("ping", [self.own.node, ends])
        except PeerRequestError:
            return
        finally:
            peer.asked_at = math.inf
        now = read_clock()
        was_alive = peer.is_alive(now)
        ends, sure, store_answers, status, proof_ages = reply
        peer.heard_at = now
        peer.ends = tuple(ends)
        peer.store_answers = store_answers
        peer.status = unpack_status(status)
        if not was_alive:
            logger.info("event=peer_alive peer={}", peer.member.node)
        self._note_confirmed(peer.member.node, peer.ends, sure, sent_at, now, proof_ages)
        for index, end in enumerate(peer.ends):
            if end > self._followers[index].replica.end:
                self._catch_up(peer, index, end, now)

    def _catch_up(self, peer: Peer, index: int, end: int, now: float) -> None:
        """Ask a peer for what it knows more, unless the store or a reader brings it at once.

        Other peers that lag too say nothing about whether this copy does.
        """
        lag = self._lags.get(index)
        if lag is None or self._followers[index].replica.end >= lag.end:
            lag = self._lags[index] = _Lag(end, now)
        lag.end = max(lag.end, end)
        if now - lag.since >= SYNC_AFTER_S:
            lag.since = now
            self._start(self._sync(peer, index))

    async def _sync(self, peer: Peer, index: int) -> None:
        follower = self._followers[index]
        try:
            async with asyncio.timeout(SYNC_TIMEOUT_S):
                reply = await peer.link.request("sync", [index, follower.replica.end])
        except (PeerRequestError, TimeoutError) as error:
            logger.debug("event=sync_failed peer={} error={!r}", peer.member.node, error)
            return
        entries, end = reply
        logger.info("event=synced peer={} part={} offset={}", peer.member.node, index, end)
        follower.take_from_peer((KeyedEntry(*entry) for entry in entries), end)
        follower.read_again()

    async def _answer_ping(self, payload: Any, _: Delivery) -> Any:
        name, ends = payload
        now = read_clock()
        peer = self.peers.get(name)
        for index, end in enumerate(ends):
            if peer is not None and end > self._followers[index].replica.end:
                self._catch_up(peer, index, end, now)
        return [
            [follower.replica.end for follower in self._followers],
            all(follower.replica.confirmed_by_store for follower in self._followers),
            self._followers[-1].store_answers,
            self._describe().pack(),
            [follower.find_proof_age(now) for follower in self._followers],
        ]

    async def _take_push(self, payload: Any, delivered: Delivery) -> None:
        """Take records that a reader brings, unless some before them are missing here."""
        index, start, entries, end = payload
        follower = self._followers[index]
        if follower.replica.end < start:
            peer = self.peers.get(delivered.peer)
            if peer is not None:
                await self._sync(peer, index)
            return
        follower.take_from_peer((KeyedEntry(*entry) for entry in entries), end)

    async def _answer_sync(self, payload: Any, _: Delivery) -> Any:
        index, offset = payload
        replica = self._followers[index].replica
        entries = [[e.offset, e.key, e.value] for e in replica.list_since(offset)]
        return [entries, replica.end]
