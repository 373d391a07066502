"""Routing of a request from a front to a gate: backend choice, attempts and retries."""

from __future__ import annotations

import asyncio
import random
import time
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from persimmondock._domain.choosing import Candidate, Chooser
from persimmondock._domain.messages import Call, replace_call_backend
from persimmondock._domain.placement import NO_OWNER
from persimmondock._domain.retries import GIVEN_UP_RETRY_MS, AttemptHistory, RetryBudget, Step
from persimmondock._domain.verdict import Answered, MayHaveRun, NotRun, Reason, Verdict
from persimmondock._domain.view import Member, PlacedBackend, View, is_eligible
from persimmondock._tasks.gate import NO_SLICE

if TYPE_CHECKING:
    from persimmondock._domain.membership import Membership
    from persimmondock._tasks.exchange import Exchange
    from persimmondock._tasks.gate import Gate

FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.2
OWNER_POLL_S = 0.1
MAX_OWNER_WAIT_S = 3.0
MAX_OWNER_WAITERS = 1_000


@attrs.define
class _Pool:
    """The eligible backend servers of one service, and their load statistics for one kind of call.

    Parameters
    ----------
    view
        View from which ``placed`` and ``candidates`` were taken.
    """

    view: View
    placed: dict[str, PlacedBackend] = attrs.field(factory=dict)
    candidates: list[Candidate] = attrs.field(factory=list)
    chooser: Chooser = attrs.field(factory=Chooser)


class Router:
    """Sends calls to gates until they end or are given up.

    Attributes
    ----------
    offered
        Number of calls that were routed.
    attempts
        Number of calls passed to a gate, without those that could not be sent to its daemon.
    """

    def __init__(self, membership: Membership, gate: Gate, exchange: Exchange) -> None:
        self._membership = membership
        self._gate = gate
        self._exchange = exchange
        self._budgets: defaultdict[str, RetryBudget] = defaultdict(RetryBudget)
        self._pools: dict[tuple[str, bool], _Pool] = {}
        self._random = random.Random()
        self._owner_waiters = 0
        self.offered = 0
        self.attempts = 0

    async def route(self, call: Call) -> Verdict:
        """Attempt a request at gates chosen from the view until it ends or is given up."""
        self.offered += 1
        self._budgets[call.service].record_first(time.monotonic())
        history = AttemptHistory(call.idempotent, call.slice != NO_SLICE)
        give_up_at_ms = min(call.deadline_ms, int((time.time() + MAX_OWNER_WAIT_S) * 1000))
        while True:
            call = self._gate.pin_suspect(call)
            history.has_slice = call.slice != NO_SLICE
            placed = self._choose_backend(call, history)
            if placed is None:
                return history.conclude(NotRun(Reason.NO_OWNER, GIVEN_UP_RETRY_MS))
            verdict = await self._attempt(call, placed, history)
            match history.plan(verdict):
                case Step.FINISH:
                    return history.conclude(verdict)
                case Step.RETRY:
                    proceeds = await self._prepare_retry(call, history)
                    history.retries += 1
                case Step.WAIT_FOR_OWNER:
                    proceeds = await self._wait_for_owner(placed, call, give_up_at_ms)
            if not proceeds:
                return history.conclude(verdict)

    async def _attempt(self, call: Call, placed: PlacedBackend, history: AttemptHistory) -> Verdict:
        """Make one attempt and record its outcome for later choices."""
        if call.slice != NO_SLICE:
            verdict = await self._send(call, placed)
            history.record(verdict, placed.backend.name)
            return verdict
        chooser = self._find_pool(call).chooser
        name = placed.backend.name
        number = chooser.start(name, time.monotonic())
        try:
            verdict = await self._send(call, placed)
        except asyncio.CancelledError:
            chooser.abandon(name, number, time.monotonic())
            raise
        chooser.end(name, number, time.monotonic(), isinstance(verdict, Answered))
        history.record(verdict, name)
        return verdict

    async def _send(self, call: Call, placed: PlacedBackend) -> Verdict:
        member = self._membership.view.find_member(placed.member)
        if member is None:
            return NotRun(Reason.NO_OWNER, GIVEN_UP_RETRY_MS)
        call = replace_call_backend(call, placed.backend.name)
        self.attempts += 1
        try:
            verdict = await self._submit(call, member)
        except Exception:
            logger.exception("event=attempt_failed service={}", call.service)
            return MayHaveRun(Reason.INTERNAL_ERROR)
        if isinstance(verdict, NotRun) and verdict.reason is Reason.PEER_UNREACHABLE:
            self.attempts -= 1
        return verdict

    async def _submit(self, call: Call, member: Member) -> Verdict:
        if member.ref == self._membership.ref:
            return await self._gate.submit(call)
        return await self._exchange.call(member, call)

    async def _prepare_retry(self, call: Call, history: AttemptHistory) -> bool:
        """Wait before a retry; return False if the deadline or the retry budget forbids it.

        The first retry of a call without a slice is immediate, since another backend server may run
        it.
        """
        backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**history.retries)
        if not history.has_slice and history.retries == 0:
            backoff_s = 0.0
        if time.time() + backoff_s >= call.deadline_ms / 1000:
            return False
        if not self._budgets[call.service].spend(time.monotonic()):
            return False
        await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
        return True

    async def _wait_for_owner(self, placed: PlacedBackend, call: Call, give_up_at_ms: int) -> bool:
        """Wait until the slice has a new owner or its owner may be tried again.

        Return False if the time to wait is over or too many calls are waiting.
        """
        retry_at = time.time() + OWNER_POLL_S
        if self._owner_waiters >= MAX_OWNER_WAITERS or retry_at >= give_up_at_ms / 1000:
            return False
        self._owner_waiters += 1
        try:
            while time.time() < retry_at and self._find_owner(call) == placed:
                await self._exchange.wait_for_view_change(retry_at)
            return True
        finally:
            self._owner_waiters -= 1

    def _choose_backend(self, call: Call, history: AttemptHistory) -> PlacedBackend | None:
        """Return the backend server for the next attempt, or None if there is none.

        A call with a slice goes to the slice's owner. Any other call goes to an eligible backend
        server, preferably one that has not been tried.
        """
        if call.slice != NO_SLICE:
            return self._find_owner(call)
        pool = self._find_pool(call)
        if not pool.candidates:
            return None
        untried = [item for item in pool.candidates if item.name not in history.tried]
        candidates = untried or pool.candidates
        chosen = pool.chooser.choose(candidates, time.monotonic(), self._random)
        return pool.placed[chosen.name]

    def _find_pool(self, call: Call) -> _Pool:
        """Return the pool for calls of this kind, updated to the current view."""
        view = self._membership.view
        pool = self._pools.get((call.service, call.may_wait))
        if pool is None:
            pool = self._pools[(call.service, call.may_wait)] = _Pool(view)
        elif pool.view is view:
            return pool
        pool.view = view
        state = view.services.get(call.service)
        backends = state.backends.values() if state is not None else ()
        pool.placed = {item.backend.name: item for item in backends if is_eligible(view, item)}
        pool.candidates = [self._build_candidate(item) for item in pool.placed.values()]
        pool.chooser.prune(set(pool.placed))
        return pool

    def _build_candidate(self, placed: PlacedBackend) -> Candidate:
        member = self._membership.view.find_member(placed.member)
        domain = self._membership.identity.failure_domain
        same_domain = member is not None and member.failure_domain == domain
        return Candidate(placed.backend.name, placed.backend.slots, same_domain)

    def _find_owner(self, call: Call) -> PlacedBackend | None:
        state = self._membership.view.services.get(call.service)
        if state is None or call.slice >= len(state.owners):
            return None
        owner = int(state.owners[call.slice])
        return state.backends.get(owner) if owner != NO_OWNER else None
