"""Admission control in front of the local backend server; every request to it passes here."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

import attrs
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.http_exchange import MAX_HELD_BYTES
from persimmondock._domain.assignment import BackendIncarnation
from persimmondock._domain.backend_notice import (
    BackendNotice,
    KnownNotice,
    LimitChange,
    ToldNotice,
)
from persimmondock._domain.backend_report import BackendAnnouncement, Change, LocalBackend
from persimmondock._domain.call_rates import CallRates, RunKind
from persimmondock._domain.crash_suspects import CrashSuspects, LostRequests
from persimmondock._domain.forwarding import NO_KEY, ForwardedRequest
from persimmondock._domain.gate_queue import INITIAL_SERVICE_S, MAX_OWNER_WAIT_SHARE, ServiceTimes
from persimmondock._domain.gate_status import GateStatus
from persimmondock._domain.key_loads import KeyLoads
from persimmondock._domain.label_values import name_service
from persimmondock._domain.stop_deadline import StopDeadline
from persimmondock._domain.verdict import (
    Answer,
    Answered,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
    name_verdict,
)
from persimmondock._tasks.answer_streams import AnswerStreams, find_stream
from persimmondock._tasks.link_admission import LinkAdmission
from persimmondock._tasks.send_limits import SendLimits
from persimmondock._tasks.slot_pool import SlotPool

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from persimmondock._adapters.peer_stream import Delivery
    from persimmondock._domain.departures import Departure
    from persimmondock._domain.site import SiteBounds
    from persimmondock._ports.answer_body import AnswerBody, ReceivedBody
    from persimmondock._ports.backend import BackendServer
    from persimmondock._ports.metrics import MetricSink
    from persimmondock._tasks.range_keeper import RangeKeeper

MIN_REMAINING_S = 0.01  # a request with less time left would miss its deadline
ASSUMED_COLD_S = 5.0  # announcements come at least every 1.5 s, but may be delayed by seconds
REFUSED_RETRY_MS = 300
STREAM_GRACE_S = 0.1  # after the deadline, for the rest of an answer to reach its caller
MIN_ERROR_STATUS = 300
GATEWAY_TIMEOUT = 504  # status that the backend server itself returns at the time limit
# A limited backend server that answers nothing for so long is asked whether the limit still holds.
LIMIT_CHECK_INTERVAL_S = 2.0


class BackendGate:
    """Queues requests to one backend server and refuses those that must not be sent.

    Each request is checked again right before it is sent.

    Parameters
    ----------
    node
        Name of this daemon.
    bounds
        Limits that operators set.
    server
        Client of the backend server.
    keeper
        Knows which keys the backend server holds.

    Attributes
    ----------
    backend
        Latest announcement of the backend server.
    limits
        Bounds on what the backend server is sent, by its service's policy and its own notices.
    pool
        Requests that run, and those that wait for a slot.
    stop
        Instant by which requests have to be answered because the daemon stops.
    streams
        Large answers of the backend server that are on their way to callers.
    link
        Large answers that are sent to other daemons.
    evacuated
        Whether operators have evacuated the failure domain.
    leaving
        Whether the daemon is about to stop: the gate reports that it is closed, but still runs
        requests.
    closed
        Whether the gate takes no more requests because the daemon is stopping. Those that wait are
        still run.
    backend_down
        Whether the backend server was found unreachable since its last announcement.
    call_rates
        Calls that runs at the backend server make.
    charge_calls
        Charges expected calls to the retry budgets of their services; returns False if one of these
        does not allow it. The second argument tells whether to charge or only to ask.
    broadcast_suspects
        Sends numbers of crashes by fingerprint to other daemons; 0 clears a suspect.
    """

    def __init__(
        self,
        node: str,
        bounds: SiteBounds,
        server: BackendServer,
        keeper: RangeKeeper,
        metrics: MetricSink,
    ) -> None:
        self.backend = LocalBackend()
        self.evacuated = False
        self.leaving = False
        self.closed = False
        self.backend_down = False
        self._node = node
        self._server = server
        self._keeper = keeper
        self._metrics = metrics
        self.limits = SendLimits(bounds, self._estimate_slots_per_s, self._apply_limit)
        self.stop = StopDeadline()
        self.pool = SlotPool(self.limits, lambda: self.slots, self.stop)
        self._told_early: list[ToldNotice] = []
        self._limit_checked_at = 0.0
        self.streams = AnswerStreams("gate", metrics)
        self.link = LinkAdmission(metrics)
        self._awaiting_handover = 0
        self.loads = KeyLoads()
        self.call_rates = CallRates()
        self.charge_calls: Callable[[dict[str, float], bool], bool] = lambda *_: True
        self.suspects = CrashSuspects()
        self.broadcast_suspects: Callable[[dict[int, int]], None] = lambda _: None
        self._lost_requests = LostRequests()

    # Queries.

    @property
    def incarnation(self) -> BackendIncarnation | None:
        """Current incarnation of the backend server, or None before its first announcement."""
        announcement = self.backend.announcement
        if announcement is None:
            return None
        return BackendIncarnation(self._node, announcement.instance, announcement.born_ms)

    @property
    def slots(self) -> int:
        """Number of requests that may run concurrently."""
        return self.backend.announcement.slots if self.backend.announcement is not None else 0

    @property
    def notice(self) -> KnownNotice:
        """What the answers of the current incarnation say about it."""
        return self.limits.notice

    def _estimate_slots_per_s(self) -> float:
        return self.slots / (self.pool.service_times.mean_s or INITIAL_SERVICE_S)

    @property
    def is_open(self) -> bool:
        """Whether the gate accepts new requests."""
        return not (self.leaving or self.closed or self.backend_down or self.backend.leaving)

    def describe(self) -> GateStatus:
        """Return the state to report to other daemons."""
        announcement = self.backend.announcement
        now, times = read_clock(), self.pool.service_times
        slots = self.limits.count_usable_slots(self.slots, times.mean_s, now)
        return GateStatus(
            service=announcement.service if announcement is not None else "",
            incarnation=self.incarnation,
            slots=slots,
            running=len(self.pool.running),
            waiting=self.pool.waiting,
            accepts_work=self.is_open and not self.evacuated,
            service_s=self.limits.compute_reported_service_s(slots, times.mean_s),
            granted_offset=self._keeper.find_granted_offset(),
            capacity_per_s=self.limits.estimate_rate(self.slots, times.slow_mean_s, now),
            link_wait_s=round(self.link.budget.wait_s, 3),
            waiting_by_priority=self.pool.count_waiting_levels(),
        )

    def count_in_flight(self) -> int:
        """Return the number of requests that wait, are running, or whose answers are being sent.

        An answer that is still being received counts twice.
        """
        waiting = self.pool.waiting + self._awaiting_handover
        return len(self.pool.running) + waiting + len(self.streams)

    # Events.

    def handle_announcement(self, announcement: BackendAnnouncement) -> Change:
        """Apply an announcement of the backend server."""
        now = read_clock()
        change = self.backend.apply_announcement(announcement, now)
        if change is Change.STALE:
            return change
        if announcement.cold_s > 0:
            self.limits.arrivals.cold_until = now + announcement.cold_s
        elif change is not Change.NEW_INCARNATION:
            # An incarnation that was known before reports that it is no longer cold.
            self.limits.arrivals.cold_until = min(self.limits.arrivals.cold_until, now)
        if self.backend_down:
            logger.info("event=backend_back instance={}", announcement.instance)
        self.backend_down = False
        if change is not Change.NEW_INCARNATION:
            self._keeper.resume_grants(self.backend.alive_at)
        else:
            self._record_crash(now)
            self.pool.service_times = ServiceTimes()
            self.limits.reset()
            incarnation = self.incarnation
            assert incarnation is not None
            self._keeper.update_incarnation(incarnation)
            told_early, self._told_early = self._told_early, []
            for told in told_early:
                self.apply_told_notice(told)
        if change is Change.DRAINING:
            self._refuse_all_waiting(Reason.DRAINING)
        self.pool.start_waiting()
        return change

    def _apply_limit_change(self, change: LimitChange, previous_per_s: float | None) -> None:
        if change is LimitChange.NONE:
            return
        logger.info(
            "event=limit_changed change={} instance={} max_per_s={} previous_per_s={} running={} "
            "waiting={}",
            change.value,
            self.incarnation.instance if self.incarnation is not None else "-",
            _show_limit(self.notice.max_per_s),
            _show_limit(previous_per_s),
            len(self.pool.running),
            self.pool.waiting,
        )
        if change is LimitChange.ENDED and previous_per_s is not None:
            self.limits.start_recovery(previous_per_s)
        else:
            self.limits.end_recovery()
        self._apply_limit()

    async def watch_limit(self) -> None:
        """Find out until cancelled whether a limit holds that hardly lets anything be answered."""
        while True:
            await asyncio.sleep(LIMIT_CHECK_INTERVAL_S / 4)
            last_at = max(self.notice.heard_at, self._limit_checked_at)
            is_limited = self.notice.max_per_s is not None and not self.backend.leaving
            if is_limited and read_clock() - last_at >= LIMIT_CHECK_INTERVAL_S:
                self._limit_checked_at = read_clock()
                await self._check_limit()

    async def _check_limit(self) -> None:
        incarnation, policy = self.incarnation, self.limits.policy
        if incarnation is None or policy is None or self.backend_down:
            return
        sent_at = read_clock()
        notice = await self._server.check_health(policy.health_path, incarnation.instance)
        if notice is None or self.incarnation != incarnation or self.notice.heard_at > sent_at:
            return
        self._record_notice(incarnation, notice, sent_at)
        if notice.max_per_s is None:
            previous_per_s = self.notice.max_per_s
            self._apply_limit_change(self.notice.raise_limit(), previous_per_s)

    def apply_told_notice(self, told: ToldNotice) -> None:
        """Apply what a daemon that sends requests here has heard of the backend server.

        A new process of this daemon learns so what the former one knew, before it sends anything
        that comes from that daemon.
        """
        incarnation = self.incarnation
        if incarnation is None:
            if told not in self._told_early:
                self._told_early.append(told)
            return
        if told.incarnation != incarnation:
            return
        if told.leaving and not self.notice.leaving:
            self.notice.leaving = True
            logger.info("event=leaving_told instance={}", incarnation.instance)
            self._apply_leaving()
        if self.notice.tell(told.max_per_s):
            logger.info(
                "event=limit_told instance={} max_per_s={}",
                incarnation.instance,
                _show_limit(told.max_per_s),
            )
            self._apply_limit(assume_used=True)

    def _apply_leaving(self) -> None:
        """Treat the backend server as if it had announced that it drains."""
        if self.backend.mark_draining() is Change.DRAINING:
            self._refuse_all_waiting(Reason.DRAINING)

    def handle_leave(self, instance: str, now_ms: int, born_ms: int | None = None) -> Change:
        """Apply a backend server's notice that it is leaving; see `LocalBackend.mark_departed`."""
        change = self.backend.mark_departed(instance, now_ms, born_ms)
        if change is Change.GONE:
            self._refuse_all_waiting(Reason.DRAINING)
        return change

    def add_departures(self, departures: Iterable[Departure]) -> None:
        """Apply departures that a former process of this daemon acknowledged."""
        if self.backend.add_departures(departures) is Change.DRAINING:
            incarnation = self.incarnation
            assert incarnation is not None
            logger.info("event=departure_recalled instance={}", incarnation.instance)
            self._refuse_all_waiting(Reason.DRAINING)

    def set_evacuated(self, evacuated: bool) -> None:
        """Record that operators have evacuated the failure domain, or restored it."""
        if evacuated == self.evacuated:
            return
        self.evacuated = evacuated
        if evacuated:
            self._refuse_all_waiting(Reason.FAILURE_DOMAIN_OUT)
        # The backend server may have become cold meanwhile; its next announcement says so.
        now = read_clock()
        self.limits.arrivals.cold_until = max(self.limits.arrivals.cold_until, now + ASSUMED_COLD_S)

    # Running requests.

    async def handle_loads(self, _: Any, __: Delivery) -> Any:
        """Reply with the request rates of the keys served here."""
        return self.loads.list_rates(read_clock())

    async def run(self, request: ForwardedRequest) -> Verdict:
        """Run a request, or refuse it."""
        verdict = await self._run(request)
        if isinstance(verdict, NotRun):
            self._metrics.count(f"refusals.{verdict.reason.value}")
            self._log_refusal(request, verdict)
        return verdict

    def _log_refusal(self, request: ForwardedRequest, verdict: NotRun) -> None:
        now = read_clock()
        logger.info(
            "event=refused attempt={} route={} key={} reason={} running={} waiting={} slots={} "
            "service_ms={:.0f} cold_ms={:.0f} left_ms={:.0f} offset={} limit_per_s={} "
            "retry_after_ms={}",
            request.attempt,
            request.route,
            request.key,
            verdict.reason.value,
            len(self.pool.running),
            self.pool.waiting,
            self.slots,
            1000 * self.pool.service_times.mean_s,
            1000 * max(0.0, self.limits.arrivals.cold_until - now),
            1000 * (request.deadline - now),
            self._keeper.assignment.offset,
            _show_limit(self.notice.max_per_s),
            verdict.retry_after_ms,
        )

    async def _run(self, request: ForwardedRequest) -> Verdict:
        if self.closed:
            return NotRun(Reason.DRAINING, REFUSED_RETRY_MS)
        now = read_clock()
        request = self.stop.limit(request)
        if request.key != NO_KEY:
            self.loads.count(request.key, now)
        refusal = self._find_refusal(request, now)
        if refusal is not None and refusal.reason is Reason.HANDOVER_PENDING:
            wait_until = now + MAX_OWNER_WAIT_SHARE * (request.deadline - now)
            self._awaiting_handover += 1
            try:
                await self._keeper.wait_for_handover(request.key, wait_until)
            finally:
                self._awaiting_handover -= 1
            now = read_clock()
            refusal = self._find_refusal(request, now)
        if refusal is None and not self._pay_for_calls(request, charge=False):
            refusal = NotRun(Reason.RETRY_BUDGET, REFUSED_RETRY_MS)
        if refusal is not None:
            return refusal
        admitted = await self.pool.acquire(request, now)
        if isinstance(admitted, NotRun):
            return admitted
        verdict: Verdict | None = None
        try:
            verdict = await self._send(self.stop.limit(request), admitted)
        finally:
            if verdict is None or find_stream(verdict) is None:
                self.pool.release(admitted)
        match verdict:
            case Answered(answer=Answer(stream=stream) as answer) if stream is not None:
                held = self._hold_slot(request, admitted, stream)
                return Answered(attrs.evolve(answer, stream=held))
        return verdict

    def _hold_slot(self, request: ForwardedRequest, number: int, stream: AnswerBody) -> AnswerBody:
        """Keep the slot of a request until its answer is received; return the stream to send.

        While all answers hold `MAX_HELD_BYTES`, the slot is kept until the answer is sent, so that
        no more of them are received than slots allow.
        """
        body = cast("ReceivedBody", stream)
        held = self.streams.open(body, request.attempt, request.deadline + STREAM_GRACE_S)

        def release() -> None:
            if body.is_complete:
                self.pool.record_time(request, number)
            if self.streams.waiting_bytes < MAX_HELD_BYTES:
                self.pool.release(number)
            else:
                held.call_at_end(lambda: self.pool.release(number))

        body.call_when_received(release)
        return held

    async def _send(self, request: ForwardedRequest, number: int) -> Verdict:
        incarnation = self.incarnation
        if incarnation is None:
            return NotRun(Reason.BACKEND_DOWN, REFUSED_RETRY_MS)

        def record_notice(notice: BackendNotice) -> None:
            self._record_notice(incarnation, notice, self.pool.running[number].started_at)

        def check() -> NotRun | None:
            now = read_clock()
            refusal = self._find_refusal(request, now)
            if refusal is None and self.incarnation != incarnation:
                refusal = NotRun(Reason.BACKEND_DOWN, REFUSED_RETRY_MS)
            running = self.pool.running[number]
            if refusal is None and not running.calls_paid:
                running.calls_paid = self._pay_for_calls(request, charge=True)
                if not running.calls_paid:
                    refusal = NotRun(Reason.RETRY_BUDGET, REFUSED_RETRY_MS)
            if refusal is None:
                refusal = self.pool.record_send(number, now)
            if refusal is None:
                running.started_at = now
                if running.kind is None:
                    kind = RunKind(request.route, request.repeat)
                    running.kind = self.call_rates.record_start(kind, now)
            return refusal

        try:
            verdict = await self._server.run(request, incarnation.instance, check, record_notice)
        except asyncio.CancelledError:
            # The caller disconnected; the time until then still counts if it exceeds the estimate.
            elapsed_s = read_clock() - self.pool.running[number].started_at
            if elapsed_s > self.pool.service_times.estimate_service_s(request.route):
                self.pool.record_time(request, number)
            raise
        finally:
            ended = self.pool.running[number].kind
            if ended is not None:
                self.call_rates.record_end(ended, read_clock())
        sent_at = self.pool.running[number].started_at
        elapsed_s = read_clock() - sent_at
        self._metrics.time(f"backend_ms.{name_verdict(verdict)}", 1000 * elapsed_s)
        self._record_outcome(request, number, verdict, incarnation)
        self._count_arrival(request, verdict)
        if request.key != NO_KEY and incarnation == self.incarnation:
            self._record_service(verdict, sent_at)
        return verdict

    def _pay_for_calls(self, request: ForwardedRequest, charge: bool) -> bool:
        """Return whether retry budgets allow the calls that a retried request will make.

        They count as retries where they arrive, so nothing else could keep them within these.
        """
        if not request.repeat:
            return True
        kind = RunKind(request.route, repeat=True)
        expected = self.call_rates.estimate_calls(kind, read_clock())
        return self.charge_calls(expected, charge)

    def _count_arrival(self, request: ForwardedRequest, verdict: Verdict) -> None:
        """Count what reached the backend server, as far as that is known."""
        match verdict:
            case NotRun(arrived=False):
                return
            case NotRun(reason=reason) | MayHaveRun(reason=reason):
                outcome = reason.value
            case Answered(answer=answer):
                outcome = "answered" if answer.status < 500 else "failed"
        order = "repeat" if request.repeat else "first"
        self._metrics.count(f"backend_arrivals.{name_service(request.service)}.{order}.{outcome}")

    def _record_service(self, verdict: Verdict, sent_at: float) -> None:
        """Record that a backend server that serves a key is the process that it was granted."""
        if isinstance(verdict, Answered) and verdict.answer.status < MIN_ERROR_STATUS:
            self.backend.record_alive(sent_at)
            self._keeper.record_service(sent_at)

    def _record_outcome(
        self,
        request: ForwardedRequest,
        number: int,
        verdict: Verdict,
        incarnation: BackendIncarnation,
    ) -> None:
        match verdict:
            case Answered(answer=answer):
                if answer.stream is None and (
                    answer.status < 500 or answer.status == GATEWAY_TIMEOUT
                ):
                    self.pool.record_time(request, number)
                if self.suspects and self.suspects.record_answered(request.fingerprint):
                    self.broadcast_suspects({request.fingerprint: 0})
            case NotRun(reason=Reason.BACKEND_DOWN | Reason.BACKEND_UNREACHABLE as reason):
                if self.incarnation == incarnation and not self.backend_down:
                    logger.warning(
                        "event=backend_down instance={} reason={}",
                        incarnation.instance,
                        reason.value,
                    )
                    self.backend_down = True
                    if reason is Reason.BACKEND_DOWN:
                        self._keeper.pause_grants(incarnation)
                        self._record_crash(read_clock())
                    self._refuse_all_waiting(Reason.BACKEND_DOWN)
            case MayHaveRun(reason=reason):
                if reason is Reason.DEADLINE_PASSED:
                    self.pool.record_time(request, number)
                if reason is Reason.BACKEND_LOST:
                    self._lost_requests.add(incarnation, request.fingerprint, read_clock())
                logger.info(
                    "event=outcome_unknown attempt={} route={} instance={} reason={} idempotent={}",
                    request.attempt,
                    request.route,
                    incarnation.instance,
                    reason.value,
                    request.idempotent,
                )
            case _:
                return

    def _record_notice(
        self, incarnation: BackendIncarnation, notice: BackendNotice, sent_at: float
    ) -> None:
        """Record what an answer to a request that was sent at an instant says."""
        if incarnation != self.incarnation:
            return
        previous_per_s, was_leaving = self.notice.max_per_s, self.notice.leaving
        change = self.notice.hear(notice, sent_at, read_clock())
        self._apply_limit_change(change, previous_per_s)
        if self.notice.leaving and not was_leaving:
            logger.info("event=leaving_answered instance={}", incarnation.instance)
            self._apply_leaving()

    def _record_crash(self, now: float) -> None:
        """Record the requests that were lost shortly before a restart as crash suspects."""
        recent = self._lost_requests.take_recent(now)
        if not recent:
            return
        crashes = self.suspects.record_crash(recent, now)
        logger.warning("event=backend_crashed suspects={}", len(crashes))
        self.broadcast_suspects(crashes)

    def _find_refusal(self, request: ForwardedRequest, now: float) -> NotRun | None:
        """Return why a request must not be sent now, or None if it may be."""
        announcement = self.backend.announcement
        if announcement is None or self.backend_down:
            return NotRun(Reason.BACKEND_DOWN, REFUSED_RETRY_MS)
        service_s = self.pool.service_times.estimate_most_s(request.route)
        if self.backend.leaving or self.stop.is_too_late(request.deadline, service_s, now):
            return NotRun(Reason.DRAINING, REFUSED_RETRY_MS)
        if self.evacuated:
            return NotRun(Reason.FAILURE_DOMAIN_OUT, REFUSED_RETRY_MS)
        if announcement.service != request.service:
            return NotRun(Reason.NO_SUCH_SERVICE, REFUSED_RETRY_MS)
        if now + MIN_REMAINING_S >= request.deadline:
            return NotRun(Reason.DEADLINE_PASSED)
        if self.suspects and self.suspects.is_refused(request.fingerprint, now):
            return NotRun(Reason.SUSPECTED_POISON)
        if request.key != NO_KEY:
            return self._keeper.find_refusal(request.key, now)
        return None

    def _apply_limit(self, assume_used: bool = False) -> None:
        """Apply the limit that is in force from now on to what waits and to what comes."""
        self.limits.apply_named_limit(assume_used, read_clock())
        self.pool.refuse_hopeless()
        self.pool.start_waiting()

    def _refuse_all_waiting(self, reason: Reason) -> None:
        self.pool.refuse_all_waiting(NotRun(reason, REFUSED_RETRY_MS))


def _show_limit(max_per_s: float | None) -> str:
    return "-" if max_per_s is None else f"{max_per_s:g}"
