"""Admission control in front of the local backend server; every request to it passes here."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.arrival_limit import (
    COLD_WINDOW_S,
    ArrivalBound,
    ArrivalLimit,
    bound_named_limit,
    bound_rate,
)
from persimmondock._domain.assignment import BackendIncarnation
from persimmondock._domain.backend_notice import (
    BackendNotice,
    KnownNotice,
    LimitChange,
    ToldNotice,
)
from persimmondock._domain.backend_report import BackendAnnouncement, Change, LocalBackend
from persimmondock._domain.crash_suspects import CrashSuspects
from persimmondock._domain.forwarding import NO_KEY, ForwardedRequest
from persimmondock._domain.gate_queue import (
    INITIAL_SERVICE_S,
    MAX_OWNER_WAIT_SHARE,
    GateQueue,
    QueuedRequest,
    ReturnTimes,
    ServiceTimes,
    compute_retry_after_ms,
    is_worth_queueing,
)
from persimmondock._domain.gate_status import GateStatus
from persimmondock._domain.key_loads import KeyLoads
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

    from persimmondock._adapters.peer_stream import Delivery
    from persimmondock._domain.routing_table import ServicePolicy
    from persimmondock._domain.site import SiteBounds
    from persimmondock._ports.backend import BackendServer
    from persimmondock._ports.metrics import MetricSink
    from persimmondock._tasks.range_keeper import RangeKeeper

MIN_REMAINING_S = 0.01  # a request with less time left would miss its deadline
COLD_RATE_SHARE = 0.8  # of the limit while cold; overlapping bursts at the full limit cause a crash
ASSUMED_COLD_S = 5.0  # announcements come at least every 1.5 s, but may be delayed by seconds
REFUSED_RETRY_MS = 300
CRASH_WINDOW_S = 6.0  # only a restart proves a crash, and it is announced seconds later
GATEWAY_TIMEOUT = 504  # status that the backend server itself returns at the time limit
QUEUE_CHECK_INTERVAL_S = 0.05
MIN_REPORTED_PER_S = 0.1  # 0 stands for an unknown rate
# After the end of a limit, twice as much is sent in each of these steps: a server that was in need
# is not met by everyone at once, and one answer without the limit costs little.
RECOVERY_STEP_S = 0.5
MIN_RECOVERY_PER_S = 1.0
# A limited backend server that answers nothing for so long is asked whether the limit still holds.
LIMIT_CHECK_INTERVAL_S = 2.0
MAX_SLOWDOWN_REPORTED = 10.0  # enough for other gates to be chosen first


@attrs.define
class _RunningRequest:
    """A request that is running or about to be sent.

    Parameters
    ----------
    repeat
        Whether an earlier attempt at the request reached a backend server.
    reserved
        Whether it holds a reservation of `ArrivalLimit`.
    """

    route: str
    started_at: float
    repeat: bool = False
    reserved: bool = True


@attrs.define
class _LostRequests:
    """Requests of one incarnation whose connection ended without a response.

    Parameters
    ----------
    fingerprints
        Instant of the loss and fingerprint of each request.
    """

    incarnation: BackendIncarnation | None = None
    fingerprints: list[tuple[float, int]] = attrs.field(factory=list)


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
    policy
        Policy of the backend server's service, or None while no configuration is known.
    evacuated
        Whether operators have evacuated the failure domain.
    leaving
        Whether the daemon is about to stop: the gate reports that it is closed, but still runs
        requests.
    closed
        Whether the gate refuses all requests because the daemon is stopping.
    backend_down
        Whether the backend server was found unreachable since its last announcement.
    notice
        What the answers of the current incarnation say about it.
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
        self.policy: ServicePolicy | None = None
        self.evacuated = False
        self.leaving = False
        self.closed = False
        self.backend_down = False
        self._node = node
        self.bounds = bounds
        self._server = server
        self._keeper = keeper
        self._metrics = metrics
        self.notice = KnownNotice()
        self._arrival_limit = ArrivalLimit()
        self._named_bounds: tuple[ArrivalBound, ...] = ()
        self._told_early: list[ToldNotice] = []
        self._limit_checked_at = 0.0
        self._recovery_per_s: float | None = None
        self._recovery_timer: asyncio.TimerHandle | None = None
        self._return_times = ReturnTimes()
        self._service_times = ServiceTimes()
        self._queue = GateQueue()
        self._slot_futures: dict[int, asyncio.Future[NotRun | None]] = {}
        self._running: dict[int, _RunningRequest] = {}
        self._last_number = 0
        self._awaiting_handover = 0
        self.loads = KeyLoads()
        self.suspects = CrashSuspects()
        self.broadcast_suspects: Callable[[dict[int, int]], None] = lambda _: None
        self._lost_requests = _LostRequests()
        self._timer: asyncio.TimerHandle | None = None

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
    def is_open(self) -> bool:
        """Whether the gate accepts new requests."""
        return not (self.leaving or self.closed or self.backend_down or self.backend.leaving)

    def describe(self) -> GateStatus:
        """Return the state to report to other daemons."""
        announcement = self.backend.announcement
        slots = self._count_usable_slots()
        return GateStatus(
            service=announcement.service if announcement is not None else "",
            incarnation=self.incarnation,
            slots=slots,
            running=len(self._running),
            waiting=len(self._queue),
            accepts_work=self.is_open and not self.evacuated,
            service_s=self._compute_reported_service_s(slots),
            granted_offset=self._keeper.find_granted_offset(),
            capacity_per_s=self._estimate_rate(),
        )

    def compute_repeat_share(self) -> float:
        """Return the fraction of running requests that reached a backend server before."""
        if not self._running:
            return 0.0
        return sum(running.repeat for running in self._running.values()) / len(self._running)

    def count_in_flight(self) -> int:
        """Return the number of requests that are running, queued, or wait for their key."""
        return len(self._running) + len(self._queue) + self._awaiting_handover

    # Events.

    def handle_announcement(self, announcement: BackendAnnouncement) -> Change:
        """Apply an announcement of the backend server."""
        now = read_clock()
        change = self.backend.apply_announcement(announcement, now)
        if change is Change.STALE:
            return change
        if announcement.cold_s > 0:
            self._arrival_limit.cold_until = now + announcement.cold_s
        elif change is not Change.NEW_INCARNATION:
            # An incarnation that was known before reports that it is no longer cold.
            self._arrival_limit.cold_until = min(self._arrival_limit.cold_until, now)
        if self.backend_down:
            logger.info("event=backend_back instance={}", announcement.instance)
        self.backend_down = False
        if change is not Change.NEW_INCARNATION:
            self._keeper.resume_grants()
        else:
            self._record_crash(now)
            self._service_times = ServiceTimes()
            self.notice, self._named_bounds = KnownNotice(), ()
            self._end_recovery()
            incarnation = self.incarnation
            assert incarnation is not None
            self._keeper.update_incarnation(incarnation)
            told_early, self._told_early = self._told_early, []
            for told in told_early:
                self.apply_told_notice(told)
        if change is Change.DRAINING:
            self._refuse_all_waiting(Reason.DRAINING)
        self._start_waiting()
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
            len(self._running),
            len(self._queue),
        )
        if change is LimitChange.ENDED and previous_per_s is not None:
            self._recovery_per_s = max(previous_per_s, MIN_RECOVERY_PER_S)
            self._advance_recovery()
        else:
            self._end_recovery()
        self._apply_limit()

    def _advance_recovery(self) -> None:
        """Double the rate after the end of a limit, until the slots allow less."""
        assert self._recovery_per_s is not None
        self._recovery_per_s *= 2
        slots_per_s = self.slots / (self._service_times.mean_s or INITIAL_SERVICE_S)
        if self._recovery_per_s >= slots_per_s:
            self._end_recovery()
        else:
            self._recovery_timer = asyncio.get_running_loop().call_later(
                RECOVERY_STEP_S, self._on_recovery_timer
            )

    def _on_recovery_timer(self) -> None:
        self._advance_recovery()
        self._apply_limit()

    def _end_recovery(self) -> None:
        self._recovery_per_s = None
        if self._recovery_timer is not None:
            self._recovery_timer.cancel()
            self._recovery_timer = None

    @property
    def _limit_per_s(self) -> float | None:
        """Requests per second that may be sent, by the limit or after its end; None for all."""
        return self.notice.max_per_s if self.notice.max_per_s is not None else self._recovery_per_s

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
        incarnation, policy = self.incarnation, self.policy
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

    def set_evacuated(self, evacuated: bool) -> None:
        """Record that operators have evacuated the failure domain, or restored it."""
        if evacuated == self.evacuated:
            return
        self.evacuated = evacuated
        if evacuated:
            self._refuse_all_waiting(Reason.FAILURE_DOMAIN_OUT)
        # The backend server may have become cold meanwhile; its next announcement says so.
        now = read_clock()
        self._arrival_limit.cold_until = max(self._arrival_limit.cold_until, now + ASSUMED_COLD_S)

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
            len(self._running),
            len(self._queue),
            self.slots,
            1000 * self._service_times.mean_s,
            1000 * max(0.0, self._arrival_limit.cold_until - now),
            1000 * (request.deadline - now),
            self._keeper.assignment.offset,
            _show_limit(self.notice.max_per_s),
            verdict.retry_after_ms,
        )

    async def _run(self, request: ForwardedRequest) -> Verdict:
        now = read_clock()
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
        if refusal is not None:
            return refusal
        self._last_number += 1
        number = self._last_number
        if self._queue or not self._has_room(now):
            refusal = await self._wait_for_slot(request, number, now)
            if refusal is not None:
                return refusal
        else:
            self._start(number, request.route, now)
        try:
            return await self._send(request, number)
        finally:
            self._finish(number)
            self._start_waiting()

    def _start(self, number: int, route: str, now: float) -> None:
        self._running[number] = _RunningRequest(route, now)
        self._arrival_limit.reserve()

    def _finish(self, number: int) -> None:
        running = self._running.pop(number, None)
        if running is not None and running.reserved:
            self._arrival_limit.release()

    async def _send(self, request: ForwardedRequest, number: int) -> Verdict:
        incarnation = self.incarnation
        if incarnation is None:
            return NotRun(Reason.BACKEND_DOWN, REFUSED_RETRY_MS)

        def record_notice(notice: BackendNotice) -> None:
            self._record_notice(incarnation, notice, self._running[number].started_at)

        def check() -> NotRun | None:
            now = read_clock()
            refusal = self._find_refusal(request, now)
            if refusal is None and self.incarnation != incarnation:
                refusal = NotRun(Reason.BACKEND_DOWN, REFUSED_RETRY_MS)
            if refusal is None:
                refusal = self._record_send(number, now)
            if refusal is None:
                self._running[number].started_at = now
                self._running[number].repeat = request.repeat
            return refusal

        try:
            verdict = await self._server.run(request, incarnation.instance, check, record_notice)
        except asyncio.CancelledError:
            # The caller disconnected; the time until then still counts if it exceeds the estimate.
            elapsed_s = read_clock() - self._running[number].started_at
            if elapsed_s > self._service_times.estimate_service_s(request.route):
                self._record_time(request, number)
            raise
        elapsed_s = read_clock() - self._running[number].started_at
        self._metrics.time(f"backend_ms.{name_verdict(verdict)}", 1000 * elapsed_s)
        self._record_outcome(request, number, verdict, incarnation)
        return verdict

    def _record_outcome(
        self,
        request: ForwardedRequest,
        number: int,
        verdict: Verdict,
        incarnation: BackendIncarnation,
    ) -> None:
        match verdict:
            case Answered(answer=answer):
                if answer.status < 500 or answer.status == GATEWAY_TIMEOUT:
                    self._record_time(request, number)
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
                    self._record_time(request, number)
                if reason is Reason.BACKEND_LOST:
                    if self._lost_requests.incarnation != incarnation:
                        self._lost_requests = _LostRequests(incarnation)
                    self._lost_requests.fingerprints.append((read_clock(), request.fingerprint))
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
        lost, self._lost_requests = self._lost_requests, _LostRequests()
        recent = [fingerprint for at, fingerprint in lost.fingerprints if now - at < CRASH_WINDOW_S]
        if not recent:
            return
        crashes = self.suspects.record_crash(recent, now)
        logger.warning("event=backend_crashed suspects={}", len(crashes))
        self.broadcast_suspects(crashes)

    def _record_time(self, request: ForwardedRequest, number: int) -> None:
        """Record the time that a request took, or a lower bound of it."""
        elapsed_s = read_clock() - self._running[number].started_at
        self._service_times.record(request.route, elapsed_s)

    def _find_refusal(self, request: ForwardedRequest, now: float) -> NotRun | None:
        """Return why a request must not be sent now, or None if it may be."""
        announcement = self.backend.announcement
        if announcement is None or self.backend_down:
            return NotRun(Reason.BACKEND_DOWN, REFUSED_RETRY_MS)
        if self.backend.leaving or self.closed:
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

    # The queue.

    @property
    def _cold_limit_per_s(self) -> float:
        """Requests per second that a cold backend server may get; 0 sets no limit."""
        if self.policy is None:
            # No configuration is known yet; the limit of every service allows the slack.
            return COLD_RATE_SHARE * self.bounds.cold_slack
        if self.policy.cold_per_s <= 0:
            return 0.0
        bound = self.policy.cold_per_s * self.bounds.cold_factor + self.bounds.cold_slack
        return COLD_RATE_SHARE * bound

    def _list_bounds(self, now: float) -> tuple[ArrivalBound, ...]:
        """Return the bounds on the requests that may be sent now."""
        if self._cold_limit_per_s > 0 and self._arrival_limit.is_cold(now):
            return (bound_rate(self._cold_limit_per_s, COLD_WINDOW_S), *self._named_bounds)
        return self._named_bounds

    def _apply_limit(self, assume_used: bool = False) -> None:
        """Apply the limit that is in force from now on to what waits and to what comes.

        Parameters
        ----------
        assume_used
            Whether a former process of this daemon may have used the limit up to now.
        """
        now, limit_per_s = read_clock(), self._limit_per_s
        self._named_bounds = () if limit_per_s is None else bound_named_limit(limit_per_s)
        if self._named_bounds:
            total = self._named_bounds[0]
            room_at = self._arrival_limit.find_next_send_at(self._named_bounds, now)
            if assume_used or room_at > now + total.interval_s:
                # What was sent before the limit was named does not count against it.
                self._arrival_limit.assume_used(total, now)
            self._refuse_hopeless(now)
        self._start_waiting()

    def _record_send(self, number: int, now: float) -> NotRun | None:
        """Record that a request is sent now, or return why there is no room any more."""
        running, bounds = self._running[number], self._list_bounds(now)
        if running.reserved:
            running.reserved = False
            self._arrival_limit.release()
        if not self._arrival_limit.has_room(bounds, now):
            if self._named_bounds:
                return self._refuse_by_limit(0.0, now)
            return NotRun(Reason.BACKEND_COLD, REFUSED_RETRY_MS)
        self._arrival_limit.record(bounds, now)
        return None

    def _refuse_by_limit(self, wait_s: float, now: float) -> NotRun:
        """Return the refusal of a request that would wait because of the named limit."""
        interval_s = self._named_bounds[0].interval_s
        room_at = max(now + wait_s, self._arrival_limit.find_next_send_at(self._named_bounds, now))
        retry_after_ms = self._return_times.choose_retry_after_ms(room_at, interval_s, now)
        return NotRun(Reason.BACKEND_LIMITED, retry_after_ms)

    def _refuse_hopeless(self, now: float) -> None:
        """Refuse the waiting requests for which a lower limit leaves no room in time."""
        interval_s = self._named_bounds[0].interval_s
        first_wait_s = self._arrival_limit.find_next_send_at(self._named_bounds, now) - now
        hopeless = self._queue.pop_hopeless(first_wait_s, interval_s, now)
        wait_s = first_wait_s + len(self._queue) * interval_s
        for queued in hopeless:
            self._refuse(queued, self._refuse_by_limit(wait_s, now))

    def _count_usable_slots(self) -> int:
        """Return the slots to report; fewer while the backend server is cold or limited."""
        now, slots = read_clock(), self.slots
        if self._cold_limit_per_s > 0 and self._arrival_limit.is_cold(now):
            # As many requests as the limit allows in 0.1 s.
            slots = min(slots, int(self._cold_limit_per_s * 0.1))
        if self._limit_per_s is not None:
            # As many as run at a time when requests come at the limit.
            service_s = self._service_times.mean_s or INITIAL_SERVICE_S
            slots = min(slots, int(self._limit_per_s * service_s))
        return max(min(1, self.slots), slots)

    def _compute_reported_service_s(self, slots: int) -> float:
        """Return the mean service time to report, longer where a limit allows less than the slots.

        Other daemons compare gates by the slots and by this time.
        """
        mean_s, limit_per_s = self._service_times.mean_s, self._limit_per_s
        if limit_per_s is None:
            return mean_s
        longest_s = MAX_SLOWDOWN_REPORTED * (mean_s or INITIAL_SERVICE_S)
        return min(longest_s, max(mean_s, slots / limit_per_s)) if limit_per_s else longest_s

    def _estimate_rate(self) -> float:
        """Return the requests per second that the backend server can answer, or 0 if unknown."""
        limit_per_s = self._limit_per_s
        if self._service_times.slow_mean_s == 0.0:
            return 0.0 if limit_per_s is None else max(MIN_REPORTED_PER_S, limit_per_s)
        per_s = self.slots / self._service_times.slow_mean_s
        if limit_per_s is not None:
            per_s = min(per_s, max(MIN_REPORTED_PER_S, limit_per_s))
        if self._cold_limit_per_s > 0 and self._arrival_limit.is_cold(read_clock()):
            return min(per_s, self._cold_limit_per_s)
        return per_s

    def _has_room(self, now: float) -> bool:
        return len(self._running) < self.slots and self._arrival_limit.has_room(
            self._list_bounds(now), now
        )

    def _estimate_service_time(self, now: float) -> float:
        """Return the mean service time, or the mean age of running requests if longer, in seconds.

        The ages reveal a backend server that has stopped responding.
        """
        if not self._running:
            return self._service_times.mean_s
        ages = [now - running.started_at for running in self._running.values()]
        return max(self._service_times.mean_s, sum(ages) / len(ages))

    async def _wait_for_slot(
        self, request: ForwardedRequest, number: int, now: float
    ) -> NotRun | None:
        """Wait for a slot; return None once the request has one, or the refusal."""
        service_s = self._service_times.estimate_service_s(request.route)
        mean_service_s = self._estimate_service_time(now)
        wait_s = self._queue.estimate_wait(
            request.priority, request.deadline, mean_service_s, self.slots
        )
        paced_wait_s = self._estimate_paced_wait(request, now)
        is_limited = bool(self._named_bounds) and paced_wait_s > wait_s
        wait_s = max(wait_s, paced_wait_s)
        if not is_worth_queueing(
            wait_s,
            service_s,
            now,
            request.objective_at,
            request.deadline,
            keyed=request.key != NO_KEY,
        ):
            if is_limited:
                return self._refuse_by_limit(wait_s, now)
            return NotRun(Reason.OVERLOADED, compute_retry_after_ms(wait_s))
        queued = QueuedRequest(
            request.priority,
            number,
            service_s,
            request.deadline,
            request.objective_at,
            request.key != NO_KEY,
        )
        future: asyncio.Future[NotRun | None] = asyncio.get_running_loop().create_future()
        self._slot_futures[number] = future
        self._queue.add(queued)
        self._set_timer()
        try:
            refusal = await future
        except asyncio.CancelledError:
            self._queue.remove(queued)
            self._finish(number)
            self._start_waiting()
            raise
        finally:
            self._slot_futures.pop(number, None)
        if refusal is None:
            self._running[number].route = request.route
        return refusal

    def _estimate_paced_wait(self, request: ForwardedRequest, now: float) -> float:
        """Return the expected wait until the bounds on arrivals leave room, in seconds."""
        bounds = self._list_bounds(now)
        if not bounds:
            return 0.0
        ahead = self._queue.count_ahead(request.priority, request.deadline)
        wait_s = self._arrival_limit.find_next_send_at(bounds, now) - now
        return wait_s + (ahead * max(bound.interval_s for bound in bounds) if ahead else 0.0)

    def _start_waiting(self) -> None:
        """Start queued requests while there is room; refuse those that would be too late."""
        now = read_clock()
        for queued in self._queue.pop_unanswerable(now):
            self._refuse(queued, NotRun(Reason.DEADLINE_PASSED))
        while self._queue and self._has_room(now):
            next_queued = self._queue.pop()
            assert next_queued is not None
            future = self._slot_futures.get(next_queued.number)
            if future is None or future.done():
                continue
            self._start(next_queued.number, "", now)
            future.set_result(None)
        if self._queue:
            self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                QUEUE_CHECK_INTERVAL_S, self._on_timer
            )

    def _on_timer(self) -> None:
        self._timer = None
        self._start_waiting()

    def _refuse_all_waiting(self, reason: Reason) -> None:
        while (queued := self._queue.pop()) is not None:
            self._refuse(queued, NotRun(reason, REFUSED_RETRY_MS))

    def _refuse(self, queued: QueuedRequest, refusal: NotRun) -> None:
        future = self._slot_futures.get(queued.number)
        if future is not None and not future.done():
            future.set_result(refusal)


def _show_limit(max_per_s: float | None) -> str:
    return "-" if max_per_s is None else f"{max_per_s:g}"
