"""Finds a gate for each caller's request and brings the answer back."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.peer_stream import Delivery, PeerRequestError
from persimmondock._domain.forwarding import (
    NO_KEY,
    ForwardedRequest,
    pack_verdict,
    unpack_request,
    unpack_verdict,
)
from persimmondock._domain.gate_choice import Candidate, weigh_candidates
from persimmondock._domain.gate_status import GateStatus, unpack_status
from persimmondock._domain.shared_budget import SharedBudget
from persimmondock._domain.verdict import (
    Answered,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
    name_verdict,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._domain.routing_table import RoutePolicy
    from persimmondock._domain.site import SiteBounds
    from persimmondock._ports.metrics import MetricSink
    from persimmondock._tasks.backend_gate import BackendGate
    from persimmondock._tasks.key_control import KeyControl
    from persimmondock._tasks.mesh import Mesh, Peer

HOLD_SHARE = 0.125  # part of the objective for which an unsettled key is waited for
HOLD_STEP_S = 0.02  # a handover takes about two round trips
REPLY_GRACE_S = 0.12  # the backend server and its gate answer by themselves at the deadline
MAX_GATES = 4  # each refusal costs a round trip of a few ms
MAX_AGE_S = 1.0  # a request that was held up for longer has been given up by its caller
GIVEN_UP_RETRY_MS = 300
LATE_RETRY_MS = 100

UNSETTLED = frozenset({Reason.NOT_OWNER, Reason.HANDOVER_PENDING, Reason.LEASE_LAPSED})
ARRIVED = frozenset({Reason.BACKEND_REFUSED})


@attrs.define
class _Attempts:
    """What one request has met so far."""

    runs: int = 0
    arrivals: int = 0
    doubt: MayHaveRun | None = None
    failure: Answered | None = None
    refusal: NotRun | None = None
    tried: set[str] = attrs.field(factory=set)

    def conclude(self) -> Verdict:
        """Return the verdict on the request as a whole."""
        if self.failure is not None:
            return self.failure
        if self.doubt is not None:
            return self.doubt
        return self.refusal or NotRun(Reason.NO_OWNER, GIVEN_UP_RETRY_MS)


class Dispatcher:
    """The front's decisions."""

    def __init__(
        self,
        own_service: str,
        bounds: SiteBounds,
        mesh: Mesh,
        gate: BackendGate,
        control: KeyControl,
        metrics: MetricSink,
    ) -> None:
        self._own_service = own_service
        self.bounds = bounds
        self._mesh = mesh
        self._gate = gate
        self._control = control
        self._metrics = metrics
        self._sent: Counter[str] = Counter()
        self._sent_before: Counter[str] = Counter()
        self._budgets: dict[str, SharedBudget] = {}
        self._random = random.Random()
        self.in_flight = 0
        self.is_out: Callable[[str], bool] = lambda _: False
        mesh.server.handlers["call"] = self._answer_call

    async def dispatch(self, request: ForwardedRequest, route: RoutePolicy) -> Verdict:
        """Get a request answered, or refuse it."""
        self.in_flight += 1
        started = read_clock()
        attempts = _Attempts()
        try:
            verdict = await self._dispatch(request, route, attempts)
        except asyncio.CancelledError:
            self._note_end("caller_left", "", started)
            raise
        finally:
            self.in_flight -= 1
        if isinstance(verdict, Answered):
            self._note_end(name_verdict(verdict), "", started)
        else:
            self._note_end(name_verdict(verdict), verdict.reason.value, started)
            _log_refusal(request, verdict, attempts)
        return verdict

    def _note_end(self, verdict: str, reason: str, started: float) -> None:
        self._metrics.count(f"requests.{verdict}.{reason}")
        self._metrics.time(f"request_ms.{verdict}", 1000 * (read_clock() - started))

    async def _dispatch(
        self, request: ForwardedRequest, route: RoutePolicy, attempts: _Attempts
    ) -> Verdict:
        now = read_clock()
        # What comes in while repeats run here may be calls of theirs.
        repeated = self._gate.find_repeated_share()
        self._find_budget(request.service).record_request(now, repeated)
        hold_s = HOLD_SHARE * route.objective_s
        hold_until, runs = now + hold_s, 0
        while True:
            node = self._choose(request, attempts)
            if node is None:
                if request.key != NO_KEY and attempts.doubt is None and read_clock() < hold_until:
                    await asyncio.sleep(HOLD_STEP_S)
                    continue
                break
            verdict = await self._send(node, request, attempts)
            if not self._goes_on(node, verdict, request, route, attempts):
                return verdict if isinstance(verdict, Answered) else attempts.conclude()
            if request.key != NO_KEY:
                if attempts.runs > runs:
                    # A repeat may wait for a new owner as long as a first attempt.
                    runs, hold_until = attempts.runs, read_clock() + hold_s
                if read_clock() >= hold_until:
                    break
                attempts.tried.clear()
                await asyncio.sleep(HOLD_STEP_S)
        return attempts.conclude()

    def _goes_on(
        self,
        node: str,
        verdict: Verdict,
        request: ForwardedRequest,
        route: RoutePolicy,
        attempts: _Attempts,
    ) -> bool:
        """Note how an attempt ended; return whether another one is to follow."""
        attempts.tried.add(node)
        now = read_clock()
        match verdict:
            case Answered(answer=answer):
                attempts.runs += 1
                if answer.status < 500 or not request.idempotent:
                    return False
                attempts.failure = verdict
            case NotRun(reason=reason):
                attempts.refusal = _keep_sooner(attempts.refusal, verdict)
                if reason in ARRIVED:
                    attempts.arrivals += 1
                    return self._may_repeat(request, now)
                if request.key != NO_KEY:
                    return reason in UNSETTLED or reason is Reason.PEER_UNREACHABLE
                return len(attempts.tried) < MAX_GATES
            case MayHaveRun():
                attempts.runs += 1
                attempts.doubt = attempts.doubt or verdict
                if not request.idempotent:
                    return False
        left_s = request.deadline - now
        worth = left_s > 0.3 * route.objective_s
        return worth and attempts.runs < route.max_attempts and self._may_repeat(request, now)

    def _may_repeat(self, request: ForwardedRequest, now: float) -> bool:
        daemons = len(self._mesh.list_alive(now)) + 1
        return self._find_budget(request.service).spend(now, daemons)

    def _find_budget(self, service: str) -> SharedBudget:
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self.bounds
            budget = SharedBudget(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)
            self._budgets[service] = budget
        return budget

    # Choosing.

    def _choose(self, request: ForwardedRequest, attempts: _Attempts) -> str | None:
        """Return the daemon whose gate gets the request next."""
        if request.key != NO_KEY:
            assignment = self._control.assignments.get(request.service)
            item = assignment.find_range(request.key) if assignment is not None else None
            if item is None:
                return None
            node = item.owner.node
            known = node == self._mesh.own.node or node in self._mesh.peers
            return node if known and node not in attempts.tried else None
        candidates = self._list_candidates(request.service, attempts.tried)
        if not candidates:
            return None
        weights = weigh_candidates(candidates)
        return self._random.choices(candidates, weights)[0].node

    def _list_candidates(self, service: str, tried: set[str]) -> list[Candidate]:
        now = read_clock()
        own = self._mesh.own
        found = []
        status = self._gate.describe()
        if service == self._own_service and status.open and own.node not in tried:
            load = status.running + status.waiting
            found.append(Candidate(own.node, status.slots, load, status.service_s, True))
        for peer in self._mesh.list_of_service(service):
            member = peer.member
            if not peer.is_alive(now) or not peer.status.open or member.node in tried:
                continue
            if self.is_out(member.failure_domain) or peer.status.service != service:
                continue
            found.append(self._make_candidate(peer, own.failure_domain))
        return found

    def _make_candidate(self, peer: Peer, own_domain: str) -> Candidate:
        node, status = peer.member.node, peer.status
        since = self._sent[node] - self._sent_before[node]
        load = max(0, status.running + status.waiting + since)
        near = peer.member.failure_domain == own_domain
        return Candidate(node, status.slots, load, status.service_s, near)

    def note_status(self, node: str) -> None:
        """Note that a peer's status is new: what was sent before is counted in it."""
        self._sent_before[node] = self._sent[node]

    def is_waiting_for(self, node: str) -> bool:
        """Return whether requests are under way at a daemon."""
        return self._sent[node] > 0

    # Sending.

    async def _send(self, node: str, request: ForwardedRequest, attempts: _Attempts) -> Verdict:
        if attempts.runs or attempts.arrivals:
            request = attrs.evolve(request, repeat=True)
        if node == self._mesh.own.node:
            return await self._gate.run(request)
        peer = self._mesh.peers[node]
        self._sent[node] += 1
        self._metrics.count("forwards")
        try:
            async with asyncio.timeout(request.deadline - read_clock() + REPLY_GRACE_S):
                reply = await peer.link.request("call", request.pack(read_clock()))
        except PeerRequestError as error:
            if error.sent:
                return MayHaveRun(Reason.PEER_SILENT)
            return NotRun(Reason.PEER_UNREACHABLE, LATE_RETRY_MS)
        except TimeoutError:
            return MayHaveRun(Reason.DEADLINE_PASSED)
        finally:
            self._sent[node] -= 1
        verdict, status = reply
        peer.status = unpack_status(status)
        peer.heard_at = read_clock()
        self.note_status(node)
        return unpack_verdict(verdict)

    async def _answer_call(self, payload: Any, delivered: Delivery) -> Any:
        """Run a request that another daemon sent to this gate."""
        now = read_clock()
        verdict: Verdict
        if delivered.age_s > MAX_AGE_S:
            logger.info("event=late_call peer={} age_s={:.2f}", delivered.peer, delivered.age_s)
            verdict = NotRun(Reason.DEADLINE_PASSED, LATE_RETRY_MS)
        else:
            verdict = await self._gate.run(unpack_request(payload, now, delivered.age_s))
        status: GateStatus = self._gate.describe()
        return [pack_verdict(verdict), status.pack()]


def _log_refusal(
    request: ForwardedRequest, verdict: NotRun | MayHaveRun, attempts: _Attempts
) -> None:
    logger.info(
        "event=not_answered attempt={} route={} key={} verdict={} reason={} tried={}",
        request.attempt,
        request.route,
        request.key,
        name_verdict(verdict),
        verdict.reason.value,
        ",".join(sorted(attempts.tried)) or "-",
    )


def _keep_sooner(known: NotRun | None, new: NotRun) -> NotRun:
    """Return the refusal with which the caller may come back sooner."""
    if known is None or 0 < new.retry_after_ms < known.retry_after_ms:
        return new
    return known
