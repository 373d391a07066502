"""Connections to peer daemons: membership, heartbeats and replication of the store's records."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any

import attrs
import msgpack
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.peer_stream import Delivery, PeerClient, PeerRequestError, PeerServer
from persimmondock._domain.departures import decode_departures, encode_departures
from persimmondock._domain.foreign_data import (
    UNREADABLE,
    check_address,
    check_text,
    show_value,
)
from persimmondock._domain.gate_status import GateStatus, unpack_status
from persimmondock._domain.log_position import find_era
from persimmondock._domain.memory_budget import MemoryBudget
from persimmondock._domain.replica import KeyedEntry
from persimmondock._tasks.store_follower import Source

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from persimmondock._tasks.store_follower import PartitionFollower

HEARTBEAT_INTERVAL_S = 0.5  # of the six in a lease term of 3 s, four may be lost
FULL_RATE_PEERS = 12  # with more peers, heartbeats to those without priority become less frequent
MAX_HEARTBEAT_INTERVAL_S = 6.0  # daemons with requests at a lost peer notice it sooner anyway
READER_HEARTBEAT_INTERVAL_S = 1.0  # a lost reader delays configurations in its failure domain
READER_CANDIDATES = 4
PEER_TIMEOUT_S = 1.5  # three heartbeats without a reply
PEER_TIMEOUT_INTERVALS = 2.5  # for peers that get heartbeats less frequently
READERS_PER_DOMAIN = 2  # daemons of each failure domain that read new records from the store
SYNC_DELAY_S = 0.2  # a copy that lags for longer fetches the records from a peer
SYNC_TIMEOUT_S = 1.0
MAX_STRANGERS = 1_024  # daemons known by a greeting alone that have not replied
JOIN_S = 1.5  # daemons that start at the same time connect and answer within this time
CONFIRMATION_VERSION = 1  # of the protocol between daemons, from which on reads are passed on
DEPARTURES_KEY_PREFIX = "departed/"  # of records beside those of members
OPERATOR_INDEX = 0  # index of the operators' records among the copies


@attrs.frozen
class Member:
    """A daemon as described by its record in the store."""

    node: str
    address: str
    failure_domain: str
    service: str


@attrs.define
class Peer:
    """What is known about another daemon.

    Parameters
    ----------
    status
        State of its gate, from the latest heartbeat or forwarded request.
    replica_ends
        End offsets of its copies of the partitions.
    heard_at
        Instant of the latest reply to a heartbeat or forwarded request.
    store_answers
        Whether the store answered its latest read of the assignments.
    unanswered_since
        Instant at which the pending heartbeat was sent, or infinity if none is pending.
    last_heartbeat_at
        Instant at which the latest heartbeat was sent.
    interval_s
        Seconds between heartbeats.
    reads_operator
        Whether the store answered its latest read of the operators' records.
    expected_until
        Instant until which it counts as a reader without having replied, as it may be starting.
    configuration_delay_s
        Delay with which it got the newest operators' records, from the latest heartbeat.
    running_since
        Instant since which it remembers what it was told: that of its start, or minus infinity if
        it has never been restarted. Infinity until it says so.
    """

    member: Member
    client: PeerClient
    status: GateStatus = attrs.field(factory=GateStatus)
    replica_ends: tuple[int, ...] = ()
    heard_at: float = -math.inf
    store_answers: bool = False
    unanswered_since: float = math.inf
    last_heartbeat_at: float = -math.inf
    interval_s: float = HEARTBEAT_INTERVAL_S
    reads_operator: bool = True
    configuration_delay_s: float = 0.0
    expected_until: float = -math.inf
    running_since: float = math.inf

    @property
    def timeout_s(self) -> float:
        """Seconds without a reply after which the peer counts as lost."""
        return max(PEER_TIMEOUT_S, PEER_TIMEOUT_INTERVALS * self.interval_s)

    def is_alive(self, now: float) -> bool:
        """Return whether the peer is connected and replied recently."""
        return self.client.connected and now - self.heard_at < self.timeout_s


@attrs.frozen
class CopyStatus:
    """What a heartbeat reply tells about the copy of the operators' records.

    Parameters
    ----------
    record_age_s
        Seconds since its newest record is known to exist.
    delay_s
        Seconds by which its newest records came late.
    known_age_s
        Seconds since a read of any daemon showed that it is the newest, or None.
    store_answers
        Whether the store answered the daemon's latest read of these records.
    """

    record_age_s: float = 0.0
    delay_s: float = 0.0
    known_age_s: float | None = None
    store_answers: bool = True


@attrs.define
class _Lag:
    """How far the copy of one partition is behind those of peers.

    Parameters
    ----------
    end
        Highest end offset that a peer reported.
    since
        Instant at which the lag was noticed, or records were last requested.
    """

    end: int
    since: float


def _may_read_store(peer: Peer, now: float) -> bool:
    """Return whether a peer lives and the store answered its latest reads."""
    return peer.store_answers and peer.reads_operator and peer.is_alive(now)


def _is_expected(peer: Peer, now: float) -> bool:
    """Return whether a peer that has not replied may be starting."""
    return now < peer.expected_until and not peer.client.is_mistaken


def encode_member(member: Member) -> bytes:
    """Return the value of a daemon's record."""
    data: bytes = msgpack.packb([member.address, member.failure_domain, member.service])
    return data


def decode_member(node: str, data: bytes) -> Member:
    """Parse the value of a daemon's record.

    Raises
    ------
    ValueError
        If the value is malformed; the message names the daemon.
    """
    try:
        return read_member([node, *msgpack.unpackb(data)])
    except UNREADABLE as error:
        raise ValueError(f"record of daemon {node!r}: {show_value(error)}") from error


def read_member(fields: list[Any]) -> Member:
    """Return the daemon that a record or a greeting describes.

    Raises
    ------
    ValueError
        If a field is missing or invalid; the message shows it.
    """
    if len(fields) != 4:
        raise ValueError(f"expected four fields: {show_value(fields)}")
    node, address, failure_domain, service = fields
    return Member(
        check_text(node), check_address(address), check_text(failure_domain), check_text(service)
    )


class Mesh:
    """Connections to all peer daemons, with heartbeats and replication of records.

    Parameters
    ----------
    own
        This daemon.
    followers
        Copies of the partitions that daemons replicate among each other.
    describe
        Returns the state of this daemon's own gate.
    on_heartbeat
        Called for each heartbeat reply with the peer's name, the end offsets of its copies, whether
        it may witness leases, the instants of the heartbeat and of the reply, and for each copy the
        seconds since the store confirmed it to the peer, or None.
    memory
        Budget for what peers send.
    """

    def __init__(
        self,
        own: Member,
        followers: Sequence[PartitionFollower],
        describe: Callable[[], GateStatus],
        on_heartbeat: Callable[
            [str, tuple[int, ...], bool, float, float, list[float | None]], None
        ],
        memory: MemoryBudget | None = None,
    ) -> None:
        self.own = own
        self._memory = memory if memory is not None else MemoryBudget()
        self.server = PeerServer(self._handle_greeting, own.node, self._memory)
        self.server.instant_handlers["ping"] = self._handle_ping
        self.server.handlers["sync"] = self._handle_sync
        self.server.handlers["keys"] = self._handle_keys
        self.server.handlers["former"] = self._handle_former
        self.server.handlers["push"] = self._handle_push
        self.server.instant_handlers["confirmed"] = self._handle_fresh_read
        self.server.handlers["keep"] = self._handle_keep
        # What peers asked this daemon to tell their next processes.
        self._kept: dict[str, bytes] = {}
        self.on_kept: Callable[[bytes], None] = lambda _: None
        self.running_since = read_clock()
        self.priority_peers: frozenset[str] = frozenset()
        self.has_requests_at: Callable[[str], bool] = lambda _: False
        self.peers: dict[str, Peer] = {}
        self._greeters: dict[str, None] = {}  # peers that the store has not named
        self._by_service: dict[str, list[Peer]] = {}
        self._reader_candidates: frozenset[str] = frozenset()
        self._followers = followers
        self._describe = describe
        self._on_heartbeat = on_heartbeat
        self._lags: dict[int, _Lag] = {}
        self._asked_former: set[str] = set()
        self._has_fetched_former = False
        # Operators' records that are ordered by themselves, of this daemon and of peers.
        self.list_versioned: Callable[[], list[KeyedEntry]] = list
        self.on_versioned: Callable[[list[KeyedEntry]], None] = lambda _: None
        self._tasks: set[asyncio.Task[None]] = set()

    def update_members(self, changed: list[KeyedEntry]) -> None:
        """Connect to daemons that are new or have changed, and drop removed ones."""
        for entry in changed:
            if entry.key == self.own.node or entry.key.startswith(DEPARTURES_KEY_PREFIX):
                continue
            known = self.peers.get(entry.key)
            self._greeters.pop(entry.key, None)
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
        peer = Peer(member, PeerClient(greeting, member.node, member.address, self._memory))
        peer.expected_until = read_clock() + JOIN_S
        # The first reply tells what a former process of this daemon asked the peer to keep.
        peer.client.on_connected = lambda: self._check_peer(peer, read_clock())
        self.add_peer(peer)
        logger.info("event=peer_known peer={} address={}", member.node, member.address)

    def add_peer(self, peer: Peer) -> None:
        """Add a peer that is not known yet."""
        self.peers[peer.member.node] = peer
        self._by_service.setdefault(peer.member.service, []).append(peer)
        self._choose_reader_candidates()

    def _choose_reader_candidates(self) -> None:
        names = sorted(
            node
            for node, peer in self.peers.items()
            if peer.member.failure_domain == self.own.failure_domain
        )
        self._reader_candidates = frozenset(names[:READER_CANDIDATES])

    def _handle_greeting(self, greeting: list[str]) -> None:
        """Connect back to an unknown daemon; the store may have been unavailable at startup."""
        try:
            member = read_member(greeting)
        except ValueError as error:
            logger.warning("event=member_refused detail={!r}", str(error))
            return
        if member.node not in self.peers and member.node != self.own.node:
            self._connect(member)
            self._greeters[member.node] = None
            self._forget_strangers()

    def _forget_strangers(self) -> None:
        """Forget those of the first greeters that have not replied, if there are too many."""
        strangers = [node for node in self._greeters if self.peers[node].heard_at == -math.inf]
        for node in strangers[:-MAX_STRANGERS]:
            self._remove_peer(node)

    def list_alive(self, now: float) -> list[Peer]:
        """Return the peers that replied recently."""
        return [peer for peer in self.peers.values() if peer.is_alive(now)]

    def list_by_service(self, service: str) -> list[Peer]:
        """Return the peers whose backend servers belong to a service."""
        return self._by_service.get(service, [])

    def is_reader(self) -> bool:
        """Return whether this daemon reads new records from the store and pushes them to peers."""
        return self._count_preceding_readers() < READERS_PER_DOMAIN

    def is_first_reader(self) -> bool:
        """Return whether no daemon of the own failure domain precedes this one as a reader."""
        return self._count_preceding_readers() == 0

    def push_records(self, index: int, start: int, changed: list[KeyedEntry], end: int) -> None:
        """Push records read from the store to the live peers of the own failure domain.

        All readers do so, since one of them may be cut off, and so do the next ones in line when
        their copy was stale. Peers ignore records they have.

        Parameters
        ----------
        index
            Index of the follower.
        start, end
            End offsets of the copy before and after the records.
        """
        was_stale = self._followers[index].read_while_stale
        if not self.is_reader() and not (was_stale and self._is_reader_candidate()):
            return
        payload = [index, start, [[e.offset, e.key, e.value] for e in changed], end]
        for peer in self.list_alive(read_clock()):
            if peer.member.failure_domain == self.own.failure_domain:
                self._create_task(self._send_to_peer(peer, "push", payload))

    def _is_reader_candidate(self) -> bool:
        """Return whether few daemons of the own failure domain precede this one."""
        return sum(node < self.own.node for node in self._reader_candidates) < READER_CANDIDATES

    def _count_preceding_readers(self) -> int:
        """Return how many daemons of the own failure domain precede this one as readers."""
        now = read_clock()
        return sum(
            peer.member.failure_domain == self.own.failure_domain
            and peer.member.node < self.own.node
            and (_may_read_store(peer, now) or _is_expected(peer, now))
            for peer in self.peers.values()
        )

    def share_poll(self) -> None:
        """Announce a poll of this daemon to the first readers of other failure domains.

        Those with higher names rely on it and do not poll the store themselves.
        """
        now = read_clock()
        first: dict[str, Peer] = {}
        for peer in self.peers.values():
            known = first.get(peer.member.failure_domain)
            if (known is None or peer.member.node < known.member.node) and _may_read_store(
                peer, now
            ):
                first[peer.member.failure_domain] = peer
        first.pop(self.own.failure_domain, None)
        readers = [peer for peer in first.values() if peer.member.node > self.own.node]
        self.announce_read(readers)

    def announce_read(self, peers: Iterable[Peer]) -> None:
        """Have peers ask at once for what a read of this daemon has just shown.

        They use only the reply to a question of their own, whose sending bounds its age: an
        announcement may have waited in a buffer while a VM was paused.
        """
        for peer in peers:
            if peer.client.version >= CONFIRMATION_VERSION:
                self._create_task(self._send_to_peer(peer, "confirmed", None))

    def _handle_fresh_read(self, _: Any, delivered: Delivery) -> None:
        """Ask a peer for what its read has just shown, unless a heartbeat is pending."""
        peer = self.peers.get(delivered.peer)
        if peer is not None and peer.client.connected and peer.unanswered_since is math.inf:
            self._send_heartbeat(peer, read_clock(), after_read=True)

    def broadcast(self, kind: str, payload: Any) -> None:
        """Send a message to all live peers without waiting for replies."""
        for peer in self.list_alive(read_clock()):
            self._create_task(self._send_to_peer(peer, kind, payload))

    async def _send_to_peer(self, peer: Peer, kind: str, payload: Any) -> None:
        try:
            async with asyncio.timeout(SYNC_TIMEOUT_S):
                await peer.client.request(kind, payload)
        except (PeerRequestError, TimeoutError) as error:
            logger.info("event=not_told peer={} kind={} error={!r}", peer.member.node, kind, error)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            started = read_clock()
            for peer in list(self.peers.values()):
                self._check_peer(peer, started)
            scaled_interval_s = min(
                MAX_HEARTBEAT_INTERVAL_S, HEARTBEAT_INTERVAL_S * len(self.peers) / FULL_RATE_PEERS
            )
            self.server.close_silent(
                2 * max(PEER_TIMEOUT_S, PEER_TIMEOUT_INTERVALS * scaled_interval_s)
            )
            await asyncio.sleep(HEARTBEAT_INTERVAL_S / 2)

    def close(self) -> None:
        """Close all connections."""
        for peer in self.peers.values():
            peer.client.close()
        self.server.close()

    def _remove_peer(self, node: str) -> None:
        peer = self.peers.pop(node, None)
        self._greeters.pop(node, None)
        if peer is not None:
            self._by_service[peer.member.service].remove(peer)
            self._choose_reader_candidates()
            logger.info("event=peer_forgotten peer={}", node)
            peer.client.close()

    def _check_peer(self, peer: Peer, now: float) -> None:
        if not peer.client.connected:
            peer.unanswered_since = math.inf
            return
        if now - peer.unanswered_since > PEER_TIMEOUT_S:
            peer.client.reconnect("no answer to heartbeats")
            # A paused VM accepts connections, so only a reply shows that the peer is back.
            peer.heard_at = peer.last_heartbeat_at = -math.inf
            peer.unanswered_since = math.inf
            return
        peer.interval_s = self._choose_interval(peer)
        if peer.unanswered_since is not math.inf:
            return
        if now - peer.last_heartbeat_at >= 0.9 * peer.interval_s or (
            # Replies to forwarded requests tell the same as replies to heartbeats.
            self.has_requests_at(peer.member.node)
            and now - max(peer.heard_at, peer.last_heartbeat_at) >= 0.9 * HEARTBEAT_INTERVAL_S
        ):
            self._send_heartbeat(peer, now)

    def _choose_interval(self, peer: Peer) -> float:
        """Return the seconds between heartbeats; short for peers that this daemon depends on."""
        node = peer.member.node
        if node in self.priority_peers:
            return HEARTBEAT_INTERVAL_S
        scaled_interval_s = HEARTBEAT_INTERVAL_S * len(self.peers) / FULL_RATE_PEERS
        if node in self._reader_candidates:
            scaled_interval_s = min(READER_HEARTBEAT_INTERVAL_S, scaled_interval_s)
        return min(MAX_HEARTBEAT_INTERVAL_S, max(HEARTBEAT_INTERVAL_S, scaled_interval_s))

    def _create_task(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _send_heartbeat(self, peer: Peer, sent_at: float, after_read: bool = False) -> None:
        def record_reply(reply: Any) -> None:
            peer.unanswered_since = math.inf
            if not isinstance(reply, PeerRequestError):
                self._record_heartbeat_reply(peer, reply, sent_at, after_read)

        own_ends = [follower.replica.end for follower in self._followers]
        peer.unanswered_since = peer.last_heartbeat_at = sent_at
        try:
            peer.client.send("ping", [self.own.node, own_ends], record_reply)
        except PeerRequestError:
            peer.unanswered_since = math.inf

    def _record_heartbeat_reply(
        self, peer: Peer, reply: Any, sent_at: float, after_read: bool = False
    ) -> None:
        now = read_clock()
        was_alive = peer.is_alive(now)
        ends, may_witness, store_answers, status, ages = reply
        # Daemons of earlier versions send the ages of confirmations only.
        confirmation_ages = ages[: len(self._followers)]
        copy = CopyStatus(*(ages[len(self._followers) :] or [[]])[0])
        kept, *running_s = ages[len(self._followers) + 1 :] or [b""]
        if kept:
            self.on_kept(kept)
        # Daemons of earlier versions do not say it, and may have been restarted just now.
        peer.running_since = now - running_s[0] if running_s else math.inf
        peer.reads_operator = copy.store_answers
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
                age_s = copy.record_age_s if index == OPERATOR_INDEX else 0.0
                self._followers[index].record_newer(end, now - age_s)
                self._request_missing(peer, index, end, now)
        if copy.known_age_s is not None:
            operator = self._followers[OPERATOR_INDEX]
            operator.record_confirmation(
                peer.replica_ends[OPERATOR_INDEX], sent_at - copy.known_age_s
            )
            if after_read and peer.member.node < self.own.node:
                operator.record_shared_poll(sent_at - copy.known_age_s)
        self._record_configuration_delay(peer, copy.delay_s, now)
        if self._may_know_former(peer) and peer.member.node not in self._asked_former:
            self._asked_former.add(peer.member.node)
            self._create_task(self._fetch_former(peer))

    def _may_know_former(self, peer: Peer) -> bool:
        """Return whether a peer may have lost records of operators that this daemon lacks.

        Until it has heard itself that the store came back, it does not know that they are lost.
        """
        operator = self._followers[OPERATOR_INDEX]
        has_heard = find_era(peer.replica_ends[OPERATOR_INDEX]) >= find_era(operator.replica.end)
        return operator.lacks_former and has_heard

    def awaits_first_replies(self, now: float) -> bool:
        """Return whether peers may still tell soon what this process cannot know.

        That is what each of them keeps, and what operators wrote before the store came back.
        """
        if self._followers[OPERATOR_INDEX].lacks_former and not self._has_fetched_former:
            return True
        return any(
            peer.heard_at == -math.inf and _is_expected(peer, now) for peer in self.peers.values()
        )

    async def _fetch_former(self, peer: Peer) -> None:
        """Fetch what operators wrote before the store came back, which it may have lost.

        This process started after that, or it would have these records.
        """
        follower = self._followers[OPERATOR_INDEX]
        try:
            async with asyncio.timeout(SYNC_TIMEOUT_S):
                entries = await peer.client.request("former", None)
        except (PeerRequestError, TimeoutError) as error:
            # Daemons of earlier versions do not know this request.
            logger.debug("event=former_not_told peer={} error={!r}", peer.member.node, error)
            self._asked_former.discard(peer.member.node)
            return
        self._has_fetched_former = True
        former, versioned = ([KeyedEntry(*entry) for entry in part] for part in entries)
        if former and follower.lacks_former:
            logger.info("event=former_fetched peer={} keys={}", peer.member.node, len(former))
            follower.apply_from_peer(former, follower.replica.end)
        if versioned:
            self.on_versioned(versioned)

    def _record_configuration_delay(self, peer: Peer, delay_s: float, now: float) -> None:
        """Record how late a peer got the operators' records, or how late it is now."""
        own = self._followers[OPERATOR_INDEX]
        if peer.replica_ends[OPERATOR_INDEX] < own.replica.end:
            delay_s = max(delay_s, own.compute_record_age(now))
        peer.configuration_delay_s = delay_s

    def compute_worst_configuration_delay(self, now: float) -> float:
        """Return the longest delay with which this daemon or a live peer got operators' records."""
        delays = [peer.configuration_delay_s for peer in self.list_alive(now)]
        return max([self._followers[OPERATOR_INDEX].compute_delay(now), *delays])

    def _request_missing(self, peer: Peer, index: int, end: int, now: float) -> None:
        """Request missing records from a peer once the copy has lagged for SYNC_DELAY_S.

        Until then the store or a reader usually delivers them, unless the copy is stale. A
        heartbeat of a peer that lags too does not reset the lag.
        """
        lag = self._lags.get(index)
        follower = self._followers[index]
        if lag is None or follower.replica.end >= lag.end:
            lag = self._lags[index] = _Lag(end, -math.inf if follower.is_stale(now) else now)
        lag.end = max(lag.end, end)
        if now - lag.since >= SYNC_DELAY_S:
            lag.since = now
            self._create_task(self._sync(peer, index))

    async def _sync(self, peer: Peer, index: int) -> None:
        follower = self._followers[index]
        offset = follower.replica.end
        try:
            async with asyncio.timeout(SYNC_TIMEOUT_S):
                if offset > 0:
                    await self._drop_deleted(peer, index)
                entries, end = await peer.client.request("sync", [index, offset])
        except (PeerRequestError, TimeoutError) as error:
            logger.debug("event=sync_failed peer={} error={!r}", peer.member.node, error)
            return
        logger.info("event=synced peer={} part={} offset={}", peer.member.node, index, end)
        follower.apply_from_peer((KeyedEntry(*entry) for entry in entries), end)
        follower.restart_read()

    async def _drop_deleted(self, peer: Peer, index: int) -> None:
        """Drop keys that were deleted before the peer had them; its records cannot tell of these.

        Deletions after the peer's answer are among its records.
        """
        try:
            end, keys = await peer.client.request("keys", [index])
        except PeerRequestError as error:
            # Daemons of earlier versions do not know this request.
            logger.debug("event=keys_not_told peer={} error={!r}", peer.member.node, error)
            return
        self._followers[index].drop_unlisted(keys, end)

    def _handle_ping(self, payload: Any, delivered: Delivery) -> Any:
        node, ends = payload
        now = read_clock()
        peer = self.peers.get(node)
        for index, end in enumerate(ends):
            if peer is not None and end > self._followers[index].replica.end:
                self._followers[index].record_newer(end, now)
                self._request_missing(peer, index, end, now)
        operator = self._followers[OPERATOR_INDEX]
        copy = CopyStatus(
            operator.compute_record_age(now),
            operator.compute_delay(now),
            operator.compute_known_age(now),
            operator.store_answers,
        )
        return [
            [follower.replica.end for follower in self._followers],
            all(follower.replica.confirmed_by_store for follower in self._followers),
            self._followers[-1].store_answers,
            self._describe().pack(delivered.version),
            [
                *(follower.compute_confirmation_age(now) for follower in self._followers),
                attrs.astuple(copy),
                self._kept.get(node, b""),
                now - self.running_since,
            ],
        ]

    async def _handle_keep(self, value: Any, delivered: Delivery) -> bool:
        """Keep a peer's departures for its next process, which asks with its first heartbeat."""
        departures = decode_departures(value)
        known = (
            decode_departures(self._kept[delivered.peer]) if delivered.peer in self._kept else ()
        )
        self._kept[delivered.peer] = encode_departures([*known, *departures])
        return True

    async def _handle_push(self, payload: Any, delivered: Delivery) -> None:
        """Apply records pushed by a reader; if earlier ones are missing, request all of them."""
        index, start, entries, end = payload
        follower = self._followers[index]
        if follower.replica.end < start:
            peer = self.peers.get(delivered.peer)
            if peer is not None:
                await self._sync(peer, index)
            return
        follower.apply_from_peer((KeyedEntry(*entry) for entry in entries), end, Source.PUSH)

    async def _handle_sync(self, payload: Any, _: Delivery) -> Any:
        index, offset = payload
        replica = self._followers[index].replica
        entries = [[e.offset, e.key, e.value] for e in replica.list_since(offset)]
        return [entries, replica.end]

    async def _handle_former(self, _: Any, __: Delivery) -> Any:
        former = self._followers[OPERATOR_INDEX].replica.list_former()
        return [
            [[e.offset, e.key, e.value] for e in entries]
            for entries in (former, self.list_versioned())
        ]

    async def _handle_keys(self, payload: Any, _: Delivery) -> Any:
        (index,) = payload
        replica = self._followers[index].replica
        return [replica.end, replica.list_keys()]
