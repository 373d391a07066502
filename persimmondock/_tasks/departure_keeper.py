"""Records which backend servers have left, so that the next process of this daemon knows it."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import math
from typing import TYPE_CHECKING

from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.peer_stream import PeerRequestError
from persimmondock._domain.backend_report import SILENT_AFTER_S
from persimmondock._domain.departures import decode_departures, encode_departures
from persimmondock._domain.log_position import find_era
from persimmondock._ports.keyed_log import Written
from persimmondock._tasks.mesh import DEPARTURES_KEY_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._ports.keyed_log import KeyedLog
    from persimmondock._tasks.backend_gate import BackendGate
    from persimmondock._tasks.mesh import Mesh, Peer
    from persimmondock._tasks.store_follower import PartitionFollower

START_POLL_S = 0.02
CHECK_INTERVAL_S = 0.5
# An acknowledgement counts within 1 s of the announcement.
STORE_TIMEOUT_S = 0.35
PEER_TIMEOUT_S = 0.35
ASKED_PEERS = 3
# Peers that are lost must not keep a sound backend server unused for long.
FIRST_REPLIES_S = 0.6
# Peers mostly prove within 0.15 s of a start that nothing is missing.
FIRST_PROOF_S = 0.25


class Proof(enum.Enum):
    """Why a process knows all departures that a late announcement may contradict.

    ``TIME`` holds only for announcements that arrive from then on.
    """

    FIRST_START = "first_start"
    NO_PEERS = "no_peers"
    PEERS = "peers"
    TIME = "time"


class DepartureKeeper:
    """Keeps the departures that this daemon acknowledges in the store and at some peers.

    An announcement from before a departure may arrive seconds after it, at a new process of the
    daemon. So a process uses no backend server before it knows what former ones acknowledged, or
    the server is known to announce itself still.

    Peers stand in while the store does not answer, or has come back from a copy without the record.
    They forget what they keep when they are restarted, as may happen to all daemons at once.
    Nothing is missing if one of the peers that a former process would have asked has run since
    before the oldest announcement that may still arrive. Otherwise it is not known whether a
    departure was acknowledged until no such announcement can arrive any more.

    Parameters
    ----------
    node
        Name of this daemon.
    log
        Client of the store.
    follower
        Copy of the partition of members, which also has the records of departures.
    mesh
        Connections to the peers that keep departures as well.
    gate
        Knows which incarnations have left.
    on_known
        Called once when the departures of former processes are known.
    is_first_start
        Whether there was no former process of this daemon.

    Attributes
    ----------
    proof
        Why the departures are known, or None while they are not.
    """

    def __init__(
        self,
        node: str,
        log: KeyedLog,
        follower: PartitionFollower,
        mesh: Mesh,
        gate: BackendGate,
        on_known: Callable[[], None],
        is_first_start: bool = False,
    ) -> None:
        self._key = DEPARTURES_KEY_PREFIX + node
        self._log = log
        self._follower = follower
        self._mesh = mesh
        self._gate = gate
        self._on_known = on_known
        self._written, self._written_at = b"", -1
        self._wanted = asyncio.Event()
        self._recorded = asyncio.Event()
        self._kept = b""
        self._asking: asyncio.Task[bool] | None = None
        self._is_first_start = is_first_start
        self._started_at = read_clock()
        self._replies_by = math.inf
        self.proof: Proof | None = None

    @property
    def is_known(self) -> bool:
        """Whether all departures are known that an announcement may contradict from now on."""
        if self.proof is None and self._has_copy:
            self.proof = self._find_proof()
            if self.proof is not None:
                logger.info(
                    "event=departures_known proof={} after_s={:.2f}",
                    self.proof.value,
                    read_clock() - self._started_at,
                )
        return self.proof is not None

    def _find_proof(self) -> Proof | None:
        if self._awaits_peers(read_clock()):
            return None
        if self._is_first_start:
            return Proof.FIRST_START
        # A store that has lost the record may know of no peers either; they connect on their own.
        if not self._mesh.peers and find_era(self._follower.replica.end) == 0:
            return Proof.NO_PEERS
        if self._has_heard_keeper():
            return Proof.PEERS
        if read_clock() >= self._started_at + SILENT_AFTER_S:
            return Proof.TIME
        return None

    def _awaits_peers(self, now: float) -> bool:
        """Return whether peers may soon tell of what a store has lost that came back."""
        if find_era(self._follower.replica.end) == 0:
            return False
        self._replies_by = min(self._replies_by, now + FIRST_REPLIES_S)
        if now >= self._replies_by:
            return False
        return not self._mesh.peers or self._mesh.awaits_first_replies(now)

    def _has_heard_keeper(self) -> bool:
        """Return whether a peer has replied that keeps what any former process may have asked.

        A peer was among those asked unless enough others come before it that lived then.
        """
        oldest_at = self._started_at - SILENT_AFTER_S
        first = sorted(self._mesh.peers.values(), key=self._order_of_asking)[:ASKED_PEERS]
        return any(peer.running_since <= oldest_at for peer in first)

    def _order_of_asking(self, peer: Peer) -> tuple[bool, str]:
        """Return what peers are sorted by to choose those that keep departures."""
        member = peer.member
        return member.failure_domain == self._mesh.own.failure_domain, member.node

    @property
    def _has_copy(self) -> bool:
        replica = self._follower.replica
        return replica.confirmed_by_store or replica.end > 0

    async def may_confirm(self) -> bool:
        """Return whether an announcement may be acknowledged that a departure may contradict.

        Right after the start, a proof is waited for. Later its server is to send another one at
        once, which proves that it still announces itself.
        """
        prove_by = self._started_at + FIRST_PROOF_S
        while not (self.is_known or self._is_first_start) and read_clock() < prove_by:
            await asyncio.sleep(START_POLL_S)
        return self.is_known or self._is_first_start

    def apply_record(self, value: bytes) -> None:
        """Apply departures that a former process has recorded."""
        try:
            departures = decode_departures(value)
        except ValueError as error:
            logger.error("event=departures_refused detail={!r}", str(error))
            return
        self._gate.add_departures(departures)

    async def run(self) -> None:
        """Find out what former processes acknowledged, and write what is not recorded yet."""
        while not self._has_copy:
            await asyncio.sleep(START_POLL_S)
        await asyncio.gather(self._wait_until_known(), self._keep_recorded())

    async def _wait_until_known(self) -> None:
        while not self.is_known:
            await asyncio.sleep(START_POLL_S)
        self._on_known()

    async def _keep_recorded(self) -> None:
        while True:
            self._wanted.clear()
            if not self._is_recorded():
                await self._write()
            if self._is_recorded():
                self._recorded.set()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._wanted.wait()

    def _is_recorded(self) -> bool:
        """Return whether the store has all departures, also after it came back from a copy."""
        departures = self._gate.backend.list_departures()
        value, replica = encode_departures(departures), self._follower.replica
        is_on_its_way = value == self._written and replica.end <= self._written_at
        return not departures or is_on_its_way or replica.has(self._key, value)

    async def _write(self) -> None:
        value = encode_departures(self._gate.backend.list_departures())
        self._follower.count_call("write")
        outcome = await self._log.write(self._follower.partition, [(self._key, value)], None)
        if isinstance(outcome, Written):
            self._written, self._written_at = value, outcome.offset
            logger.info("event=departures_written offset={}", outcome.offset)
        else:
            logger.info("event=departures_not_written outcome={!r}", outcome)

    async def record(self) -> bool:
        """Return whether the next process of this daemon finds all departures known by now."""
        value = encode_departures(self._gate.backend.list_departures())
        if value != self._kept and self._asking is None:
            self._asking = asyncio.create_task(self._ask_peers_to_keep(value))
        give_up_at = read_clock() + STORE_TIMEOUT_S
        while not (self._has_copy and self._is_recorded()):
            self._recorded.clear()
            self._wanted.set()
            try:
                async with asyncio.timeout(give_up_at - read_clock()):
                    await self._recorded.wait()
            except TimeoutError:
                if self._asking is not None:
                    await self._asking
                return self._kept == value
        return True

    async def _ask_peers_to_keep(self, value: bytes) -> bool:
        """Return whether all peers that are asked keep departures for the next process."""
        alive = self._mesh.list_alive(read_clock())
        peers = sorted(alive, key=self._order_of_asking)[:ASKED_PEERS]

        async def ask(peer: Peer) -> bool:
            try:
                async with asyncio.timeout(PEER_TIMEOUT_S):
                    return bool(await peer.client.request("keep", value))
            except (PeerRequestError, TimeoutError) as error:
                logger.info("event=not_told peer={} kind=keep error={!r}", peer.member.node, error)
                return False

        try:
            kept = await asyncio.gather(*(ask(peer) for peer in peers))
        finally:
            self._asking = None
        logger.info("event=departures_kept peers={} asked={}", sum(kept), len(kept))
        if not kept or not all(kept):
            return False
        self._kept = value
        return True
