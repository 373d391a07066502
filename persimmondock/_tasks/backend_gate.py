"""The only way into the backend server beside this daemon."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.arrival_limit import ArrivalLimit
from persimmondock._domain.assignment import BackendIncarnation
from persimmondock._domain.backend_report import BackendReport, Change, LocalBackend
from persimmondock._domain.crash_suspects import CrashSuspects
from persimmondock._domain.forwarding import NO_KEY, ForwardedRequest
from persimmondock._domain.gate_queue import (
    GateQueue,
    ServiceTimes,
    Waiter,
    choose_retry_ms,
    is_worth_waiting,
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

MIN_LEFT_S = 0.01  # a request with less time left cannot be answered
COLD_SHARE = 0.8  # of what a cold backend server bears; more would crash it when bursts add up
DOUBT_S = 5.0  # announcements come every 1.5 s at most, and may be seconds late
REFUSED_RETRY_MS = 300
CRASH_WINDOW_S = 6.0  # a crash is certain when the next life announces itself, seconds later
TIMED_OUT = 504  # a backend server's own answer at the time limit
TICK_S = 0.05


@attrs.define
class _Running:
    """A request that runs, or is about to."""

    route: str
    started_at: float
    repeat: bool = False


@attrs.define
class _LostWork:
    """Requests whose connection ended without an answer, and the life that had them."""

    life: BackendIncarnation | None = None
    fingerprints: list[tuple[float, int]] = attrs.field(factory=list)


class BackendGate:
    """Decides about each request right before it is sent."""

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
        self.out = False
        self.leaving = False
        self.closed = False
        self.down = False
        self._node = node
        self.bounds = bounds
        self._server = server
        self._keeper = keeper
        self._metrics = metrics
        self._arrivals = ArrivalLimit()
        self._times = ServiceTimes()
        self._queue = GateQueue()
        self._futures: dict[int, asyncio.Future[NotRun | None]] = {}
        self._running: dict[int, _Running] = {}
        self._number = 0
        self.loads = KeyLoads()
        self.suspects = CrashSuspects()
        self.tell_suspects: Callable[[dict[int, int]], None] = lambda _: None
        self._lost = _LostWork()
        self._timer: asyncio.TimerHandle | None = None

    # What others ask.

    @property
    def life(self) -> BackendIncarnation | None:
        """The present life of the backend server."""
        report = self.backend.report
        if report is None:
            return None
        return BackendIncarnation(self._node, report.instance, report.born_ms)

    @property
    def slots(self) -> int:
        """Requests that may run at the same time."""
        return self.backend.report.slots if self.backend.report is not None else 0

    @property
    def is_open(self) -> bool:
        """Whether the gate takes new work."""
        return not (self.leaving or self.closed or self.down or self.backend.leaving)

    def describe(self) -> GateStatus:
        """Return the state to tell others."""
        report = self.backend.report
        return GateStatus(
            service=report.service if report is not None else "",
            incarnation=self.life,
            slots=self._count_usable_slots(),
            running=len(self._running),
            waiting=len(self._queue),
            open=self.is_open and not self.out,
            service_s=self._times.overall_s,
            settled=self._keeper.find_settled(),
            per_s=self._estimate_rate(),
        )

    def find_repeated_share(self) -> float:
        """Return the part of the running requests that had reached a backend server before."""
        if not self._running:
            return 0.0
        return sum(running.repeat for running in self._running.values()) / len(self._running)

    def count_in_flight(self) -> int:
        """Return the number of requests that run or wait."""
        return len(self._running) + len(self._queue)

    # Events.

    def take_report(self, report: BackendReport) -> Change:
        """Take an announcement of the backend server."""
        change = self.backend.take(report)
        if change is Change.STALE:
            return change
        now = read_clock()
        if report.cold_s > 0:
            self._arrivals.cold_until = now + report.cold_s
        elif change is not Change.NEW_INCARNATION:
            self._arrivals.cold_until = min(self._arrivals.cold_until, now)
        if self.down:
            logger.info("event=backend_back instance={}", report.instance)
        self.down = False
        if change is Change.NEW_INCARNATION:
            self._judge_crash(now)
            self._times = ServiceTimes()
            life = self.life
            assert life is not None
            self._keeper.follow_life(life)
        if change is Change.DRAINING:
            self._refuse_waiting(Reason.DRAINING)
        self._pump()
        return change

    def take_leave(self, instance: str) -> Change:
        """Take a backend server's goodbye."""
        change = self.backend.leave(instance)
        if change is Change.GONE:
            self._refuse_waiting(Reason.DRAINING)
        return change

    def set_out(self, out: bool) -> None:
        """Take note that the failure domain was taken out, or is back."""
        if out == self.out:
            return
        self.out = out
        if out:
            self._refuse_waiting(Reason.FAILURE_DOMAIN_OUT)
        # Backend servers may have turned cold meanwhile; the next announcement tells.
        now = read_clock()
        self._arrivals.cold_until = max(self._arrivals.cold_until, now + DOUBT_S)

    # The life of a request.

    async def answer_loads(self, _: Any, __: Delivery) -> Any:
        """Tell how often keys are asked for here."""
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
            "service_ms={:.0f} cold_ms={:.0f} left_ms={:.0f} offset={} retry_after_ms={}",
            request.attempt,
            request.route,
            request.key,
            verdict.reason.value,
            len(self._running),
            len(self._queue),
            self.slots,
            1000 * self._times.overall_s,
            1000 * max(0.0, self._arrivals.cold_until - now),
            1000 * (request.deadline - now),
            self._keeper.assignment.offset,
            verdict.retry_after_ms,
        )

    async def _run(self, request: ForwardedRequest) -> Verdict:
        now = read_clock()
        if request.key != NO_KEY:
            self.loads.count(request.key, now)
        refusal = self._find_refusal(request, now)
        if refusal is not None:
            return refusal
        self._number += 1
        number = self._number
        if self._queue or not self._has_room(now):
            refusal = await self._wait(request, number, now)
            if refusal is not None:
                return refusal
        else:
            self._running[number] = _Running(request.route, now)
        try:
            return await self._send(request, number)
        finally:
            self._running.pop(number, None)
            self._pump()

    async def _send(self, request: ForwardedRequest, number: int) -> Verdict:
        life = self.life
        if life is None:
            return NotRun(Reason.BACKEND_DOWN, REFUSED_RETRY_MS)

        def check() -> NotRun | None:
            now = read_clock()
            refusal = self._find_refusal(request, now)
            if refusal is None and self.life != life:
                refusal = NotRun(Reason.BACKEND_DOWN, REFUSED_RETRY_MS)
            if refusal is None and not self._arrivals.has_room(self._cold_per_s, now):
                refusal = NotRun(Reason.BACKEND_COLD, REFUSED_RETRY_MS)
            if refusal is None:
                self._arrivals.record(now)
                self._running[number].started_at = now
                self._running[number].repeat = request.repeat
            return refusal

        try:
            verdict = await self._server.run(request, life.instance, check)
        except asyncio.CancelledError:
            # The caller left; a request that was slow by then says so of the backend server.
            took_s = read_clock() - self._running[number].started_at
            if took_s > self._times.estimate(request.route):
                self._record_time(request, number)
            raise
        took_s = read_clock() - self._running[number].started_at
        self._metrics.time(f"backend_ms.{name_verdict(verdict)}", 1000 * took_s)
        self._note_outcome(request, number, verdict, life)
        return verdict

    def _note_outcome(
        self, request: ForwardedRequest, number: int, verdict: Verdict, life: BackendIncarnation
    ) -> None:
        match verdict:
            case Answered(answer=answer):
                if answer.status < 500 or answer.status == TIMED_OUT:
                    self._record_time(request, number)
                if self.suspects and self.suspects.note_answered(request.fingerprint):
                    self.tell_suspects({request.fingerprint: 0})
            case NotRun(reason=Reason.BACKEND_DOWN | Reason.BACKEND_UNREACHABLE as reason):
                if self.life == life and not self.down:
                    logger.warning(
                        "event=backend_down instance={} reason={}", life.instance, reason.value
                    )
                    self.down = True
                    if reason is Reason.BACKEND_DOWN:
                        self._judge_crash(read_clock())
                    self._refuse_waiting(Reason.BACKEND_DOWN)
            case MayHaveRun(reason=reason):
                if reason is Reason.DEADLINE_PASSED:
                    self._record_time(request, number)
                if reason is Reason.BACKEND_LOST:
                    if self._lost.life != life:
                        self._lost = _LostWork(life)
                    self._lost.fingerprints.append((read_clock(), request.fingerprint))
                logger.info(
                    "event=outcome_unknown attempt={} route={} instance={} reason={} idempotent={}",
                    request.attempt,
                    request.route,
                    life.instance,
                    reason.value,
                    request.idempotent,
                )
            case _:
                return

    def _judge_crash(self, now: float) -> None:
        """Suspect what the life that has ended had when it was lost."""
        lost, self._lost = self._lost, _LostWork()
        recent = [number for at, number in lost.fingerprints if now - at < CRASH_WINDOW_S]
        if not recent:
            return
        crashes = self.suspects.note_crash(recent, now)
        logger.warning("event=backend_crashed suspects={}", len(crashes))
        self.tell_suspects(crashes)

    def _record_time(self, request: ForwardedRequest, number: int) -> None:
        """Count how long a request took, or that it took at least so long."""
        took_s = read_clock() - self._running[number].started_at
        self._times.record(request.route, took_s)

    def _find_refusal(self, request: ForwardedRequest, now: float) -> NotRun | None:
        """Return why a request may not be sent at this moment."""
        report = self.backend.report
        if report is None or self.down:
            return NotRun(Reason.BACKEND_DOWN, REFUSED_RETRY_MS)
        if self.backend.leaving or self.closed:
            return NotRun(Reason.DRAINING, REFUSED_RETRY_MS)
        if self.out:
            return NotRun(Reason.FAILURE_DOMAIN_OUT, REFUSED_RETRY_MS)
        if report.service != request.service:
            return NotRun(Reason.NO_SUCH_SERVICE, REFUSED_RETRY_MS)
        if now + MIN_LEFT_S >= request.deadline:
            return NotRun(Reason.DEADLINE_PASSED)
        if self.suspects and self.suspects.is_refused(request.fingerprint, now):
            return NotRun(Reason.SUSPECTED_POISON)
        if request.key != NO_KEY:
            return self._keeper.refuse(request.key, now)
        return None

    # The queue.

    @property
    def _cold_per_s(self) -> float:
        if self.policy is None:
            # No configuration is known yet: this much any cold backend server may get.
            return COLD_SHARE * self.bounds.cold_slack
        if self.policy.cold_per_s <= 0:
            return 0.0
        bound = self.policy.cold_per_s * self.bounds.cold_factor + self.bounds.cold_slack
        return COLD_SHARE * bound

    def _count_usable_slots(self) -> int:
        """Return slots; a cold backend server counts for less."""
        now = read_clock()
        if self._cold_per_s > 0 and self._arrivals.is_cold(now):
            return max(1, min(self.slots, int(self._cold_per_s * 0.1)))
        return self.slots

    def _estimate_rate(self) -> float:
        """Return how many requests a second the backend server can answer, or 0."""
        if self._times.steady_s == 0.0:
            return 0.0
        per_s = self.slots / self._times.steady_s
        if self._cold_per_s > 0 and self._arrivals.is_cold(read_clock()):
            return min(per_s, self._cold_per_s)
        return per_s

    def _has_room(self, now: float) -> bool:
        return len(self._running) < self.slots and self._arrivals.has_room(self._cold_per_s, now)

    def _estimate_running(self, now: float) -> float:
        """Return how long a request takes now; a backend server that answers nothing gets slow."""
        if not self._running:
            return self._times.overall_s
        ages = [now - running.started_at for running in self._running.values()]
        return max(self._times.overall_s, sum(ages) / len(ages))

    async def _wait(self, request: ForwardedRequest, number: int, now: float) -> NotRun | None:
        """Wait for a slot; return None once the request counts as running."""
        work_s = self._times.estimate(request.route)
        running_s = self._estimate_running(now)
        wait_s = self._queue.estimate_wait(
            request.priority, request.deadline, running_s, self.slots
        )
        if self._arrivals.is_cold(now) and self._cold_per_s > 0:
            wait_s = max(wait_s, self._arrivals.find_next(self._cold_per_s, now) - now)
            wait_s += len(self._queue) / self._cold_per_s
        if not is_worth_waiting(wait_s, work_s, now, request.objective_at, request.deadline):
            return NotRun(Reason.OVERLOADED, choose_retry_ms(wait_s))
        waiter = Waiter(request.priority, number, work_s, request.deadline)
        future: asyncio.Future[NotRun | None] = asyncio.get_running_loop().create_future()
        self._futures[number] = future
        self._queue.add(waiter)
        self._set_timer()
        try:
            refusal = await future
        except asyncio.CancelledError:
            self._queue.remove(waiter)
            self._running.pop(number, None)
            self._pump()
            raise
        finally:
            self._futures.pop(number, None)
        if refusal is None:
            self._running[number].route = request.route
        return refusal

    def _pump(self) -> None:
        """Let requests start while there is room, and refuse what has become hopeless."""
        now = read_clock()
        for waiter in self._queue.take_hopeless(now):
            self._refuse(waiter, NotRun(Reason.DEADLINE_PASSED))
        while self._queue and self._has_room(now):
            first = self._queue.take()
            assert first is not None
            future = self._futures.get(first.number)
            if future is None or future.done():
                continue
            self._running[first.number] = _Running("", now)
            future.set_result(None)
            if self._arrivals.is_cold(now):
                break
        if self._queue:
            self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._pump()

    def _refuse_waiting(self, reason: Reason) -> None:
        while (waiter := self._queue.take()) is not None:
            self._refuse(waiter, NotRun(reason, REFUSED_RETRY_MS))

    def _refuse(self, waiter: Waiter, refusal: NotRun) -> None:
        future = self._futures.get(waiter.number)
        if future is not None and not future.done():
            future.set_result(refusal)
