"""Keeps limits on rates together with the other daemons; see `_domain.shared_rate`."""

from __future__ import annotations

import asyncio
import functools
import math
import random
from collections import deque
from typing import TYPE_CHECKING, Any

import attrs
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.peer_stream import Delivery, PeerRequestError
from persimmondock._domain.holder_ring import HOLDERS, HolderRing, hash_name
from persimmondock._domain.shared_rate import (
    ASK_TIMEOUT_S,
    LOAN_TERM_S,
    UNREACHABLE_PAUSE_S,
    BorrowedTokens,
    Loan,
    RateAccount,
    RateLimit,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._ports.metrics import MetricSink
    from persimmondock._tasks.mesh import Mesh

LOST_AFTER_S = 12.0  # twice the longest interval of heartbeats; holders are then replaced
LAPSE_S = 9.0  # a holder that hears too few daemons stops lending before it is replaced
RING_CHECK_INTERVAL_S = 1.0
KEPT_RINGS = 4
IDLE_S = 60.0  # what was not used for so long is forgotten; buckets are full long before
UNKNOWN_RETRY_S = 0.3
MIN_VERSION = 1  # of the protocol between daemons
NOT_HOLDER = -1  # in place of a number of tokens


@attrs.frozen
class Admitted:
    """The request is within the limit."""


@attrs.frozen
class OverLimit:
    """The request is beyond the limit, which has room for it after a time."""

    retry_after_s: float


@attrs.frozen
class LimitUnknown:
    """No holder of the limit can be reached."""

    retry_after_s: float = UNKNOWN_RETRY_S


@attrs.frozen
class VersionedLimit:
    """A limit as of a version of the configuration; the highest version is in force."""

    name: str
    limit: RateLimit
    version: int


@attrs.define
class _Account:
    """A limit of which this daemon is a holder."""

    account: RateAccount
    version: int
    used_at: float


@attrs.define
class _Share:
    """What this daemon borrows of one limit.

    Parameters
    ----------
    waiting
        Requests that wait for the answer to a question.
    pending
        Done when the pending question is answered, or has taken too long.
    paused_until
        Instants until which holders are not asked.
    empty_until
        Instant until which the latest answer without tokens counts.
    """

    tokens: BorrowedTokens
    waiting: int = 0
    pending: asyncio.Future[None] | None = None
    paused_until: dict[str, float] = attrs.field(factory=dict)
    empty_until: float = -math.inf
    used_at: float = -math.inf


class SharedRates:
    """One daemon's part in limits that all daemons keep together.

    Parameters
    ----------
    mesh
        The other daemons.

    Attributes
    ----------
    knows_members
        Returns whether the other daemons are known; until then nothing is lent or borrowed.
    reaches_store
        Returns whether the store answers this daemon. A daemon that the store answers is not cut
        off, so the many that it does not hear are lost.
    """

    def __init__(self, mesh: Mesh, metrics: MetricSink) -> None:
        self._mesh = mesh
        self._metrics = metrics
        self._accounts: dict[str, _Account] = {}
        self._shares: dict[str, _Share] = {}
        self._heard_at: dict[str, float] = {}
        self._rings: deque[tuple[float, HolderRing]] = deque(maxlen=KEPT_RINGS)
        self._next_check_at = -math.inf
        self._lapsed = False
        self._next_holder = hash_name(mesh.own.node) % HOLDERS
        self.knows_members: Callable[[], bool] = lambda: True
        self.reaches_store: Callable[[], bool] = lambda: False
        mesh.server.instant_handlers["tokens"] = self._handle_question

    async def run(self) -> None:
        """Watch which daemons are lost, until cancelled."""
        while True:
            self._check_ring(read_clock())
            await asyncio.sleep(RING_CHECK_INTERVAL_S)

    async def admit(
        self, limit: VersionedLimit, patience_s: float
    ) -> Admitted | OverLimit | LimitUnknown:
        """Decide whether a request is within a limit, and count it.

        Parameters
        ----------
        patience_s
            Seconds after which its caller returns at the latest if it is refused.
        """
        now = read_clock()
        self._check_ring(now)
        share = self._shares.get(limit.name)
        if share is None:
            generator = random.Random(f"{self._mesh.own.node} {limit.name}")
            share = self._shares[limit.name] = _Share(BorrowedTokens(generator))
        share.used_at = now
        share.tokens.count_arrival(now)
        while True:
            now = read_clock()
            if share.pending is not None and share.pending.done():
                # Its callbacks have not run yet, and waiting for it would not yield to them.
                share.pending = None
            if share.tokens.spend(now):
                if share.pending is None and share.tokens.should_refill(now):
                    self._ask(share, limit, 0, now)
                return Admitted()
            if share.pending is None and not self._ask(share, limit, share.waiting + 1, now):
                return self._refuse(share, limit, patience_s, now)
            if share.pending is not None:
                share.waiting += 1
                try:
                    await asyncio.shield(share.pending)
                finally:
                    share.waiting -= 1

    def give_back(self, name: str) -> None:
        """Return the token of a request that was admitted and not run."""
        share = self._shares.get(name)
        if share is not None:
            share.tokens.give_back(read_clock())

    def find_holders(self, name: str) -> tuple[str, ...]:
        """Return the daemons that hold a limit; none until the other daemons are known."""
        return self._rings[-1][1].find_holders(name) if self._rings else ()

    def _refuse(
        self, share: _Share, limit: VersionedLimit, patience_s: float, now: float
    ) -> OverLimit | LimitUnknown:
        if share.empty_until > now:
            return OverLimit(share.tokens.refuse(limit.limit.rate_per_s, patience_s, now))
        return LimitUnknown()

    # Borrowing.

    def _ask(self, share: _Share, limit: VersionedLimit, needed: int, now: float) -> bool:
        """Ask the next holder for tokens; return whether there are some, or an answer will come."""
        holders = self.find_holders(limit.name)
        # Taking turns uses the parts of all holders evenly.
        self._next_holder += 1
        for index in range(len(holders)):
            holder = holders[(self._next_holder + index) % len(holders)]
            if share.paused_until.get(holder, -math.inf) > now:
                continue
            wanted = share.tokens.compute_wanted(needed, now)
            if holder == self._mesh.own.node:
                loan = self._lend(limit, needed, wanted, share.tokens.take_promised(), now)
                self._take_loan(share, holder, loan, needed, now)
                if loan is not None and loan.count:
                    return True
            elif self._send_question(share, holder, limit, needed, wanted, now):
                return True
        return False

    def _send_question(
        self,
        share: _Share,
        holder: str,
        limit: VersionedLimit,
        needed: int,
        wanted: int,
        now: float,
    ) -> bool:
        peer = self._mesh.peers.get(holder)
        if peer is None or not peer.client.connected or peer.client.version < MIN_VERSION:
            share.paused_until[holder] = now + UNREACHABLE_PAUSE_S
            return False
        pending: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        promised = share.tokens.take_promised()
        question = [
            limit.name,
            limit.version,
            limit.limit.rate_per_s,
            limit.limit.burst,
            needed,
            wanted,
            promised,
        ]

        def record_answer(answer: Any) -> None:
            if isinstance(answer, PeerRequestError):
                loan = None
            else:
                loan = None if answer[0] == NOT_HOLDER else Loan(*answer)
            self._take_loan(share, holder, loan, needed, now)
            _finish(pending)

        try:
            peer.client.send("tokens", question, record_answer)
        except PeerRequestError:
            share.tokens.promised += promised
            share.paused_until[holder] = now + UNREACHABLE_PAUSE_S
            return False
        self._metrics.count("limit_questions")
        share.pending = pending
        timer = asyncio.get_running_loop().call_later(
            ASK_TIMEOUT_S, functools.partial(self._give_up, share, holder, pending)
        )
        pending.add_done_callback(functools.partial(_clear_pending, share, timer))
        return True

    def _give_up(self, share: _Share, holder: str, pending: asyncio.Future[None]) -> None:
        if not pending.done():
            share.paused_until[holder] = read_clock() + UNREACHABLE_PAUSE_S
            pending.set_result(None)

    def _take_loan(
        self, share: _Share, holder: str, loan: Loan | None, needed: int, asked_at: float
    ) -> None:
        now = read_clock()
        if loan is None:
            share.paused_until[holder] = now + UNREACHABLE_PAUSE_S
            return
        share.tokens.add(loan.count, asked_at + LOAN_TERM_S)
        if loan.count < needed:
            share.paused_until[holder] = share.empty_until = now + loan.pause_s
            share.tokens.record_wait(loan.wait_s, now)

    # Lending.

    def _handle_question(self, payload: Any, _: Delivery) -> Any:
        name, version, rate_per_s, burst, needed, wanted, promised = payload
        now = read_clock()
        self._check_ring(now)
        limit = VersionedLimit(name, RateLimit(rate_per_s, burst), version)
        loan = self._lend(limit, needed, wanted, promised, now)
        return [NOT_HOLDER] if loan is None else attrs.astuple(loan)

    def _lend(
        self, limit: VersionedLimit, needed: int, wanted: int, promised: int, now: float
    ) -> Loan | None:
        """Return a loan, or None if this daemon is no holder of the limit."""
        holders = self.find_holders(limit.name)
        if self._mesh.own.node not in holders or self._lapsed:
            return None
        part = limit.limit.divide(len(holders))
        known = self._accounts.get(limit.name)
        if known is None:
            account = RateAccount(part, self._find_since(limit.name))
            known = self._accounts[limit.name] = _Account(account, limit.version, now)
        elif limit.version > known.version:
            known.version = limit.version
            if part != known.account.limit:
                known.account.change_limit(part, now)
        known.used_at = now
        return known.account.lend(needed, wanted, promised, now)

    def _find_since(self, name: str) -> float:
        """Return the instant from which this daemon has been a holder without a break."""
        since = self._rings[-1][0]
        for started_at, ring in reversed(self._rings):
            if self._mesh.own.node not in ring.find_holders(name):
                break
            since = started_at
        return since

    # Holders.

    def _check_ring(self, now: float) -> None:
        """Choose the holders among the daemons that are not lost; forget what is not used."""
        # A daemon that stood still checks before it lends anything.
        if now < self._next_check_at or not (self._rings or self.knows_members()):
            return
        self._next_check_at = now + RING_CHECK_INTERVAL_S / 2
        own, peers = self._mesh.own, self._mesh.peers
        # A peer whose connection is replaced counts as not heard of from then on, so the instants
        # are kept here; one that is new counts as heard.
        self._heard_at = {
            node: max(peer.heard_at, self._heard_at.get(node, now)) for node, peer in peers.items()
        }
        ages = {node: now - heard_at for node, heard_at in self._heard_at.items()}
        heard = 1 + sum(age < LAPSE_S for age in ages.values())
        self._lapsed = 2 * heard < 1 + len(peers) and not self.reaches_store()
        # A minority that is cut off must not replace holders that go on without it.
        present = {node for node, age in ages.items() if age < LOST_AFTER_S}
        if 2 * (1 + len(present)) <= 1 + len(peers) and not self.reaches_store():
            present = set(peers)
        domains = {node: peers[node].member.failure_domain for node in present}
        domains[own.node] = own.failure_domain
        if not self._rings or self._rings[-1][1].domains != domains:
            self._replace_ring(HolderRing(domains), now)
        for name, known in list(self._accounts.items()):
            if now - known.used_at > IDLE_S:
                del self._accounts[name]
        for name, share in list(self._shares.items()):
            if now - share.used_at > IDLE_S and not share.waiting:
                del self._shares[name]

    def _replace_ring(self, ring: HolderRing, now: float) -> None:
        self._rings.append((now, ring))
        logger.info("event=limit_holders daemons={}", len(ring.domains))
        for name in list(self._accounts):
            if self._mesh.own.node not in ring.find_holders(name):
                del self._accounts[name]


def _finish(pending: asyncio.Future[None]) -> None:
    if not pending.done():
        pending.set_result(None)


def _clear_pending(
    share: _Share, timer: asyncio.TimerHandle, pending: asyncio.Future[None]
) -> None:
    timer.cancel()
    if share.pending is pending:
        share.pending = None
