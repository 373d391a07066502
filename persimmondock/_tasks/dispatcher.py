"""Chooses the gate that runs each request from a caller, and decides about retries."""

from __future__ import annotations

import asyncio
import math
import random
from collections import Counter
from typing import TYPE_CHECKING, Any, cast

import attrs
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.peer_stream import Delivery, PeerRequestError, StreamedReply
from persimmondock._domain.assignment import BackendIncarnation
from persimmondock._domain.backend_notice import (
    BackendNotice,
    KnownNotice,
    ToldNotice,
    unpack_told,
)
from persimmondock._domain.call_rates import Target
from persimmondock._domain.forwarding import (
    NO_KEY,
    ForwardedRequest,
    pack_verdict,
    unpack_request,
    unpack_verdict,
)
from persimmondock._domain.gate_choice import GateCandidate, compute_weights
from persimmondock._domain.gate_queue import ServiceTimes
from persimmondock._domain.gate_status import GateStatus, unpack_status
from persimmondock._domain.label_values import name_service
from persimmondock._domain.memory_budget import MemoryAccount, compute_spared
from persimmondock._domain.service_room import Refuse, Send, ServiceRoom, estimate_wait
from persimmondock._domain.shared_budget import BudgetUse, SharedBudget
from persimmondock._domain.verdict import (
    Answer,
    Answered,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
    name_verdict,
)
from persimmondock._tasks.answer_streams import AnswerStreams, collect_answer, find_stream
from persimmondock._tasks.backend_gate import GATEWAY_TIMEOUT

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._domain.routing_table import RoutePolicy
    from persimmondock._domain.site import SiteBounds
    from persimmondock._ports.answer_body import ReceivedBody
    from persimmondock._ports.metrics import MetricSink
    from persimmondock._tasks.backend_gate import BackendGate
    from persimmondock._tasks.key_control import KeyControl
    from persimmondock._tasks.mesh import Mesh, Peer

OWNER_WAIT_SHARE = 0.125  # of the latency objective, to wait while no owner holds a key
OWNER_POLL_S = 0.02  # a handover takes about two round trips
REPLY_GRACE_S = 0.12  # the backend server and its gate respond at the deadline by themselves
MAX_GATES_TRIED = 4  # each refusal costs a round trip of a few ms
MAX_CALL_AGE_S = 1.0  # the caller of an older request has given up
PIECES_VERSION = 1  # of the protocol between daemons, from which on answers may come in pieces
NO_OWNER_RETRY_MS = 300
PEER_RETRY_MS = 100

OWNERSHIP_UNSETTLED = frozenset({Reason.NOT_OWNER, Reason.HANDOVER_PENDING, Reason.LEASE_LAPSED})
REFUSED_BY_BACKEND = frozenset({Reason.BACKEND_REFUSED})
NO_ROOM = frozenset({Reason.OVERLOADED, Reason.BACKEND_LIMITED, Reason.BACKEND_COLD})
ROOM_LOG_INTERVAL_S = 1.0


@attrs.define
class _Attempts:
    """Outcomes of the attempts at one request.

    Parameters
    ----------
    runs
        Attempts in which a backend server ran the request or may have run it.
    arrivals
        Attempts that a backend server received, or may have received.
    paid_at
        Instant at which the next arrival was charged to the retry budget, or None if it was not.
    unknown_outcome
        First verdict that the request may have run.
    failure
        Latest response with a 5xx status to an idempotent request.
    refusal
        Refusal with the shortest retry delay.
    tried
        Daemons that are not to be chosen again; cleared before a request with a key is retried.
    sent
        Whether the request was sent to a gate.
    final
        Whether no other gate is tried after one that has no room.
    free
        Whether the gate that is tried seems to have a free slot.
    """

    runs: int = 0
    arrivals: int = 0
    paid_at: float | None = None
    unknown_outcome: MayHaveRun | None = None
    failure: Answered | None = None
    refusal: NotRun | None = None
    tried: set[str] = attrs.field(factory=set)
    sent: bool = False
    final: bool = False
    free: bool = False

    def record_arrival(self) -> None:
        """Record that a backend server received the request, or may have received it."""
        self.arrivals += 1
        self.paid_at = None

    def conclude(self) -> Verdict:
        """Return the verdict on the request as a whole."""
        if self.failure is not None:
            return self.failure
        if self.unknown_outcome is not None:
            return self.unknown_outcome
        return self.refusal or NotRun(Reason.NO_OWNER, NO_OWNER_RETRY_MS)


@attrs.define
class _HeardNotice:
    """What answers that were passed on here have said of an incarnation of a backend server."""

    incarnation: BackendIncarnation
    known: KnownNotice = attrs.field(factory=KnownNotice)

    def is_empty(self) -> bool:
        """Return whether there is nothing to tell."""
        return self.known.max_per_s is None and not self.known.leaving

    def build_told(self) -> ToldNotice:
        """Return the message to the gate of the backend server."""
        return ToldNotice(self.incarnation, self.known.max_per_s, self.known.leaving)


class Dispatcher:
    """Sends requests of callers to gates, with retries within a budget.

    Parameters
    ----------
    own_service
        Service of the local backend server.
    bounds
        Limits that operators set.
    gate
        The local gate.
    control
        Knows the current assignments.
    is_first_start
        Whether no earlier process of this daemon can have spent anything.

    Attributes
    ----------
    streams
        Large answers from other daemons that are on their way to callers.
    is_evacuated
        Returns whether operators have evacuated a failure domain.
    knows_members
        Returns whether the other daemons are known.
    read_notice
        Returns what an answer says about its backend server, or None if it cannot be read.
    """

    def __init__(
        self,
        own_service: str,
        bounds: SiteBounds,
        mesh: Mesh,
        gate: BackendGate,
        control: KeyControl,
        metrics: MetricSink,
        is_first_start: bool = False,
    ) -> None:
        self._own_service = own_service
        self.bounds = bounds
        self._mesh = mesh
        self._gate = gate
        self._control = control
        self._metrics = metrics
        self.streams = AnswerStreams("front", metrics)
        self._in_flight_by_node: Counter[str] = Counter()
        self._in_flight_at_status: Counter[str] = Counter()
        self._budgets: dict[str, SharedBudget] = {}
        self._started_at = -math.inf if is_first_start else read_clock()
        self._rooms: dict[str, ServiceRoom] = {}
        # Times from the sending to a gate to the answer, by service.
        self._answer_times: dict[str, ServiceTimes] = {}
        self._reply_timeouts: set[asyncio.Timeout] = set()
        self._room_logged_at: dict[str, float] = {}
        self._random = random.Random()
        self.in_flight = 0
        self.is_evacuated: Callable[[str], bool] = lambda _: False
        self.knows_members: Callable[[], bool] = lambda: True
        self.read_notice: Callable[[Answer], BackendNotice | None] = lambda _: None
        self._heard_notices: dict[str, _HeardNotice] = {}
        mesh.server.instant_handlers["notice"] = self._handle_notice
        mesh.server.handlers["call"] = self._handle_call
        gate.charge_calls = self._charge_calls

    def limit_replies(self) -> None:
        """Let no request that was sent to another gate outlive the stop of this daemon.

        It may wait there for a slot, and then nothing excuses a connection that is cut.
        """
        left_s = self._gate.stop.answer_by - read_clock() + REPLY_GRACE_S
        latest = asyncio.get_running_loop().time() + left_s
        for reply_timeout in self._reply_timeouts:
            when = reply_timeout.when()
            if when is not None and when > latest:
                reply_timeout.reschedule(latest)

    async def dispatch(self, request: ForwardedRequest, route: RoutePolicy) -> Verdict:
        """Send a request to one or more gates; return the response or why there is none."""
        self.in_flight += 1
        started = read_clock()
        attempts = _Attempts()
        try:
            verdict = await self._dispatch(request, route, attempts)
        except asyncio.CancelledError:
            self._record_verdict("caller_left", "", started)
            raise
        finally:
            self.in_flight -= 1
        if attempts.paid_at is not None:
            # No gate sent it on to a backend server.
            self._get_budget(request.service).give_back(attempts.paid_at)
            self._metrics.count(f"retries.{name_service(request.service)}.returned")
        if isinstance(verdict, NotRun) and verdict.reason in NO_ROOM and attempts.sent:
            room, owner = self._get_room(request.service), self._find_owner(request)
            room.record_not_taken(request.priority, read_clock(), owner)
        if isinstance(verdict, Answered):
            self._record_verdict(name_verdict(verdict), "", started)
        else:
            self._record_verdict(name_verdict(verdict), verdict.reason.value, started)
            _log_unanswered(request, verdict, attempts)
        return verdict

    def _record_verdict(self, verdict: str, reason: str, started: float) -> None:
        self._metrics.count(f"requests.{verdict}.{reason}")
        self._metrics.time(f"request_ms.{verdict}", 1000 * (read_clock() - started))

    async def _dispatch(
        self, request: ForwardedRequest, route: RoutePolicy, attempts: _Attempts
    ) -> Verdict:
        now = read_clock()
        if now >= request.deadline:
            # It waited for requests before it on its connection.
            return NotRun(Reason.DEADLINE_PASSED, PEER_RETRY_MS)
        self._get_budget(request.service).record_request(now)
        # The local backend server sends its calls through this daemon too.
        self._gate.call_rates.record_request(Target(request.service, request.route), now)
        owner_wait_s = OWNER_WAIT_SHARE * route.objective_s
        owner_wait_until, previous_runs = now + owner_wait_s, 0
        while True:
            answer_s = self._estimate_answer_s(request, route)
            if self._gate.stop.is_too_late(request.deadline, answer_s, read_clock()):
                attempts.refusal = NotRun(Reason.STOPPING, PEER_RETRY_MS)
                break
            node = self._choose_node(request, attempts)
            if isinstance(node, Refuse):
                self._refuse_here(request, node, attempts)
                break
            if node is None:
                if (
                    request.key != NO_KEY
                    and attempts.unknown_outcome is None
                    and read_clock() < owner_wait_until
                ):
                    await asyncio.sleep(OWNER_POLL_S)
                    continue
                break
            self._record_sent(node, request, attempts)
            sent_at = read_clock()
            verdict = await self._send(node, request, attempts)
            self._record_answer_time(request, verdict, sent_at)
            if isinstance(verdict, Answered) and attempts.free:
                times = self._get_room(request.service).service_times
                times.record(request.route, read_clock() - sent_at)
            if not self._record_attempt(node, verdict, request, route, attempts):
                return verdict if isinstance(verdict, Answered) else attempts.conclude()
            if request.key != NO_KEY:
                if attempts.runs > previous_runs:
                    # A retry may wait for a new owner as long as a first attempt.
                    previous_runs, owner_wait_until = attempts.runs, read_clock() + owner_wait_s
                if read_clock() >= owner_wait_until:
                    break
                attempts.tried.clear()
                await asyncio.sleep(OWNER_POLL_S)
        return attempts.conclude()

    def _estimate_answer_s(self, request: ForwardedRequest, route: RoutePolicy) -> float:
        """Return the time within which most requests of a route are answered, in seconds."""
        times = self._answer_times.get(request.service)
        return route.objective_s if times is None else times.estimate_most_s(request.route)

    def _record_answer_time(
        self, request: ForwardedRequest, verdict: Verdict, sent_at: float
    ) -> None:
        match verdict:
            case Answered(answer=answer) if answer.status < 500 or answer.status == GATEWAY_TIMEOUT:
                pass
            case MayHaveRun(reason=Reason.DEADLINE_PASSED):
                pass
            case _:
                return
        times = self._answer_times.setdefault(request.service, ServiceTimes())
        times.record(request.route, read_clock() - sent_at)

    def _record_attempt(
        self,
        node: str,
        verdict: Verdict,
        request: ForwardedRequest,
        route: RoutePolicy,
        attempts: _Attempts,
    ) -> bool:
        """Record the outcome of an attempt; return whether to make another one."""
        attempts.tried.add(node)
        now = read_clock()
        match verdict:
            case Answered(answer=answer):
                attempts.runs += 1
                attempts.record_arrival()
                if answer.status < 500 or not request.idempotent:
                    return False
                attempts.failure = verdict
            case NotRun(reason=reason):
                attempts.refusal = _choose_sooner_retry(attempts.refusal, verdict)
                if reason in NO_ROOM:
                    room = self._get_room(request.service)
                    room.record_refusal(node, request.priority, now)
                may_go_on = _may_be_tried_again(reason, request, attempts)
                if not verdict.arrived:
                    return may_go_on
                attempts.record_arrival()
                return may_go_on and self._spend_retry(request, attempts, now)
            case MayHaveRun():
                attempts.runs += 1
                attempts.record_arrival()
                attempts.unknown_outcome = attempts.unknown_outcome or verdict
                if not request.idempotent:
                    return False
        left_s = request.deadline - now
        has_time_left = left_s > 0.3 * route.objective_s
        return (
            has_time_left
            and attempts.runs < route.max_attempts
            and self._spend_retry(request, attempts, now)
        )

    def _spend_retry(self, request: ForwardedRequest, attempts: _Attempts, now: float) -> bool:
        """Return whether the service's retry budget allows one more attempt, and charge it."""
        daemons = self._count_daemons()
        budget = self._get_budget(request.service)
        allowed = budget.spend(now, daemons)
        attempts.paid_at = now if allowed else None
        outcome = "spent" if allowed else "refused"
        self._metrics.count(f"retries.{name_service(request.service)}.{outcome}")
        if not allowed:
            use = budget.describe(now, daemons)
            logger.info(
                "event=retry_refused attempt={} service={} arrivals={} requests={:.0f} "
                "allowed={:.2f} retries={:.0f} inherited={:.2f} daemons={}",
                request.attempt,
                request.service,
                attempts.arrivals,
                use.requests,
                use.allowed,
                use.retries,
                use.inherited,
                daemons,
            )
        return allowed

    def _charge_calls(self, expected: dict[str, float], charge: bool) -> bool:
        """Return whether retry budgets allow the calls of a retry, and charge them if asked."""
        now = read_clock()
        daemons = self._count_daemons()
        for service, calls in expected.items():
            if not self._get_budget(service).allows(now, daemons, calls):
                self._metrics.count(f"retries.{name_service(service)}.calls_refused")
                return False
        if charge:
            for service, calls in expected.items():
                self._get_budget(service).charge_calls(now, calls)
        return True

    def _count_daemons(self) -> int | None:
        """Return how many daemons share what budgets allow, or None until all are known.

        Those that cannot be heard count as well: each of them may spend its part.
        """
        return len(self._mesh.peers) + 1 if self.knows_members() else None

    def list_budget_uses(self) -> dict[str, BudgetUse]:
        """Return how much of its part of each retry budget this daemon uses, by service.

        Services are named as in metrics.
        """
        now = read_clock()
        daemons = self._count_daemons()
        return {
            name_service(service): budget.describe(now, daemons)
            for service, budget in self._budgets.items()
        }

    def _get_budget(self, service: str) -> SharedBudget:
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self.bounds
            slack_from = self._started_at + bounds.retry_window_s
            budget = SharedBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s, slack_from
            )
            self._budgets[service] = budget
        return budget

    # Choosing a gate.

    def _choose_node(self, request: ForwardedRequest, attempts: _Attempts) -> str | Refuse | None:
        """Return the daemon whose gate gets the request next, or None if there is none."""
        now = read_clock()
        if request.key != NO_KEY:
            node = self._find_owner(request)
            if node == self._mesh.own.node:
                return node if node not in attempts.tried else None
            owner = self._mesh.peers.get(node)
            if owner is None or node in attempts.tried:
                return None
            if not self.bounds.service_room:
                return node
            if attempts.sent or not owner.is_alive(now) or not owner.status.accepts_work:
                return node
            candidates = [self._make_candidate(owner, request.priority)]
        else:
            candidates, node = self._list_candidates(request, attempts.tried), ""
        if not candidates:
            return None
        if not self.bounds.service_room:
            return self._random.choices(candidates, compute_weights(candidates))[0].node
        room = self._get_room(request.service)
        match room.decide(candidates, request, now, self._random, node):
            case Refuse() as refused:
                return refused
            case Send(candidates=able, final=final, at_random=at_random):
                weights = [1.0] * len(able) if at_random else compute_weights(able)
                chosen = self._random.choices(able, weights)[0]
                attempts.final, attempts.free = final, estimate_wait(chosen, now) == 0.0
                return chosen.node

    def _find_owner(self, request: ForwardedRequest) -> str:
        """Return the daemon whose gate owns the request's key, or an empty string."""
        if request.key == NO_KEY:
            return ""
        assignment = self._control.assignments.get(request.service)
        key_range = assignment.find_range(request.key) if assignment is not None else None
        return key_range.owner.node if key_range is not None else ""

    def _list_candidates(self, request: ForwardedRequest, tried: set[str]) -> list[GateCandidate]:
        now, service, priority = read_clock(), request.service, request.priority
        is_large = self._gate.link.budget.is_large(request.route)
        own = self._mesh.own
        found = []
        if service == self._own_service and own.node not in tried:
            status = self._gate.describe()
            if status.accepts_work:
                load, behind = status.running + status.waiting, status.count_behind(priority)
                found.append(
                    GateCandidate(own.node, status.slots, load, status.service_s, True, now, behind)
                )
        for peer in self._mesh.list_by_service(service):
            member = peer.member
            if not peer.is_alive(now) or not peer.status.accepts_work or member.node in tried:
                continue
            if self.is_evacuated(member.failure_domain) or peer.status.service != service:
                continue
            candidate = self._make_candidate(peer, priority)
            if is_large:
                candidate = attrs.evolve(candidate, link_wait_s=peer.status.link_wait_s)
            found.append(candidate)
        return found

    def _make_candidate(self, peer: Peer, priority: int) -> GateCandidate:
        node, status = peer.member.node, peer.status
        sent_since = self._in_flight_by_node[node] - self._in_flight_at_status[node]
        load = max(0, status.running + status.waiting + sent_since)
        behind = status.count_behind(priority)
        same_domain = peer.member.failure_domain == self._mesh.own.failure_domain
        reported_at = peer.heard_at if status.tells_order else -math.inf
        return GateCandidate(
            node, status.slots, load, status.service_s, same_domain, reported_at, behind
        )

    # Room of a service.

    def list_sent_shares(self) -> dict[str, float]:
        """Return the smallest share of a priority's requests that is sent on, by service.

        Services are named as in metrics.
        """
        now = read_clock()
        return {
            name_service(service): room.compute_lowest_sent_share(now)
            for service, room in self._rooms.items()
        }

    def _get_room(self, service: str) -> ServiceRoom:
        return self._rooms.setdefault(service, ServiceRoom())

    def _record_sent(self, node: str, request: ForwardedRequest, attempts: _Attempts) -> None:
        """Count the request in the room of its service when it is sent for the first time."""
        if not attempts.sent:
            attempts.sent = True
            room, owner = self._get_room(request.service), self._find_owner(request)
            room.record_sent(request.priority, read_clock(), owner)

    def _refuse_here(self, request: ForwardedRequest, refused: Refuse, attempts: _Attempts) -> None:
        """Refuse a request that no gate is expected to have room for."""
        now, service = read_clock(), request.service
        if not attempts.sent:
            room, owner = self._get_room(service), self._find_owner(request)
            room.record_refused_here(request.priority, now, owner)
            attempts.refusal = NotRun(Reason.OVERLOADED, refused.retry_after_ms)
            self._metrics.count(f"front_refusals.{name_service(service)}.{request.priority}")
            share = room.compute_sent_share(request.priority, now, owner)
            if now >= self._room_logged_at.get(service, -math.inf) + ROOM_LOG_INTERVAL_S:
                self._room_logged_at[service] = now
                logger.info(
                    "event=service_short service={} priority={} owner={} sent_share={:.2f} "
                    "retry_after_ms={}",
                    service,
                    request.priority,
                    owner or "-",
                    share,
                    refused.retry_after_ms,
                )

    def record_status_update(self, node: str) -> None:
        """Record that a peer's status was updated; it includes the requests sent before."""
        self._in_flight_at_status[node] = self._in_flight_by_node[node]

    def has_requests_at(self, node: str) -> bool:
        """Return whether requests to a daemon are in flight."""
        return self._in_flight_by_node[node] > 0

    # Sending.

    async def _send(self, node: str, request: ForwardedRequest, attempts: _Attempts) -> Verdict:
        room, owner = self._get_room(request.service), self._find_owner(request)
        stands_for = room.compute_stands_for(request.priority, read_clock(), owner)
        repeat = attempts.arrivals > 0
        if repeat or stands_for != request.stands_for:
            request = attrs.evolve(request, repeat=repeat, stands_for=round(stands_for, 2))
        request = self._gate.stop.limit(request)
        if node == self._mesh.own.node:
            return await self._gate.run(request)
        peer = self._mesh.peers[node]
        self._tell_notice(peer)
        incarnation, sent_at = peer.status.incarnation, read_clock()
        self._in_flight_by_node[node] += 1
        self._metrics.count("forwards")
        reply_timeout = asyncio.timeout(request.deadline - read_clock() + REPLY_GRACE_S)
        self._reply_timeouts.add(reply_timeout)
        try:
            async with reply_timeout:
                # A request that is not idempotent cannot be tried elsewhere.
                reply = await peer.client.request(
                    "call",
                    request.pack(read_clock(), peer.client.version),
                    outlives_silence=not request.idempotent,
                )
        except PeerRequestError as error:
            if error.sent:
                return MayHaveRun(Reason.PEER_SILENT)
            return NotRun(Reason.PEER_UNREACHABLE, PEER_RETRY_MS)
        except TimeoutError:
            return MayHaveRun(Reason.DEADLINE_PASSED)
        finally:
            self._reply_timeouts.discard(reply_timeout)
            self._in_flight_by_node[node] -= 1
        stream = None
        if isinstance(reply, StreamedReply):
            body = cast("ReceivedBody", reply.body)
            stream = self.streams.open(body, request.attempt, request.deadline + REPLY_GRACE_S)
            reply = reply.payload
        verdict, status, *replaced = reply
        peer.status = unpack_status(status)
        peer.heard_at = read_clock()
        self.record_status_update(node)
        result = unpack_verdict(verdict)
        if isinstance(result, Answered) and stream is not None:
            result = Answered(attrs.evolve(result.answer, stream=stream))
        if isinstance(result, Answered):
            self._gate.link.learn(request, result.answer)
        is_same = not replaced and incarnation in (None, peer.status.incarnation)
        if isinstance(result, Answered) and is_same:
            self._record_notice(peer, result.answer, sent_at)
        return result

    # Notices of backend servers.

    def _record_notice(self, peer: Peer, answer: Answer, sent_at: float) -> None:
        """Remember what an answer says, since a new process of its gate's daemon does not know."""
        notice, incarnation = self.read_notice(answer), peer.status.incarnation
        node = peer.member.node
        heard = self._heard_notices.get(node)
        if notice is None or incarnation is None:
            return
        if heard is None or heard.incarnation != incarnation:
            heard = _HeardNotice(incarnation)
        heard.known.hear(notice, sent_at, read_clock())
        if heard.is_empty():
            self._heard_notices.pop(node, None)
        elif node not in self._heard_notices or self._heard_notices[node] is not heard:
            for unknown in self._heard_notices.keys() - self._mesh.peers.keys():
                del self._heard_notices[unknown]
            self._heard_notices[node] = heard

    def _tell_notice(self, peer: Peer) -> None:
        """Tell a gate what was heard of its backend server, ahead of the next request."""
        heard = self._heard_notices.get(peer.member.node)
        if heard is None:
            return
        try:
            peer.client.send("notice", heard.build_told().pack(), lambda _: None)
        except PeerRequestError as error:
            # The request that follows fails in the same way and reports it.
            logger.debug("event=notice_not_sent peer={} error={!r}", peer.member.node, error)

    def _handle_notice(self, payload: Any, _: Delivery) -> None:
        self._gate.apply_told_notice(unpack_told(payload))

    async def _handle_call(self, payload: Any, delivered: Delivery) -> Any:
        """Run a request that another daemon forwarded to the local gate.

        The reply has a third item if the backend server was replaced meanwhile: the status is not
        that of the one that answered.
        """
        now, incarnation = read_clock(), self._gate.incarnation
        end_at = now
        verdict: Verdict
        if delivered.age_s > MAX_CALL_AGE_S:
            logger.info("event=late_call peer={} age_s={:.2f}", delivered.peer, delivered.age_s)
            verdict = NotRun(Reason.DEADLINE_PASSED, PEER_RETRY_MS)
        else:
            request = unpack_request(payload, now, delivered.age_s)
            end_at = request.deadline + REPLY_GRACE_S
            verdict = await self._run_call(request)
        if isinstance(verdict, Answered) and delivered.version < PIECES_VERSION:
            verdict = await collect_answer(verdict.answer)
        status: GateStatus = self._gate.describe()
        reply: list[Any] = [pack_verdict(verdict), status.pack(delivered.version)]
        if status.incarnation != incarnation:
            reply.append(True)
        stream = find_stream(verdict)
        return reply if stream is None else StreamedReply(reply, stream, end_at)

    async def _run_call(self, request: ForwardedRequest) -> Verdict:
        """Run a forwarded request if there is memory for it until it is answered."""
        memory, size = self._mesh.server.memory, len(request.body)
        account = MemoryAccount(memory)
        if not account.add(size, compute_spared(memory.limit_bytes, size)):
            self._metrics.count("refusals.no_memory")
            logger.info("event=no_memory attempt={} bytes={}", request.attempt, size)
            return NotRun(Reason.OVERLOADED, PEER_RETRY_MS)
        try:
            return await self._gate.link.run(request, self._gate.run)
        finally:
            account.clear()


def _log_unanswered(
    request: ForwardedRequest, verdict: NotRun | MayHaveRun, attempts: _Attempts
) -> None:
    logger.info(
        "event=not_answered attempt={} route={} key={} verdict={} reason={} tried={} arrivals={}",
        request.attempt,
        request.route,
        request.key,
        name_verdict(verdict),
        verdict.reason.value,
        ",".join(sorted(attempts.tried)) or "-",
        attempts.arrivals,
    )


def _may_be_tried_again(reason: Reason, request: ForwardedRequest, attempts: _Attempts) -> bool:
    """Return whether a request that was refused for a reason may be sent to a gate again."""
    if reason in REFUSED_BY_BACKEND:
        return True
    if request.key != NO_KEY:
        return reason in OWNERSHIP_UNSETTLED or reason is Reason.PEER_UNREACHABLE
    if reason in NO_ROOM and attempts.final:
        return False
    return len(attempts.tried) < MAX_GATES_TRIED


def _choose_sooner_retry(known: NotRun | None, new: NotRun) -> NotRun:
    """Return the refusal with the shorter retry delay."""
    if known is None or 0 < new.retry_after_ms < known.retry_after_ms:
        return new
    return known
