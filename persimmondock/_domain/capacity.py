"""Concurrency level of one backend server, from the outcomes and latencies of its requests."""

from __future__ import annotations

import statistics

import attrs

from persimmondock._domain.latencies import LatencyBaselines, RequestKind
from persimmondock._domain.limits import ConcurrencyLimit
from persimmondock._domain.mechanisms import Mechanism
from persimmondock._domain.queues import ServiceRate
from persimmondock._domain.ramps import Ramp
from persimmondock._domain.verdict import Answered, MayHaveRun, NotRun, Reason, Verdict

MEAN_WEIGHT = 0.1
MIN_OVERDUE_REQUESTS = 2


@attrs.frozen
class RunningRequest:
    """One request that is being run by a backend server.

    Parameters
    ----------
    generation
        Generation of the ramp at the start of the request.
    takes_last_slot
        Whether the request brought the number of running requests to `Capacity.level`.
    """

    kind: RequestKind
    started_at: float
    generation: int
    takes_last_slot: bool


@attrs.define
class Capacity:
    """Concurrency limit, ramp and service rate of one backend server.

    Parameters
    ----------
    disabled
        Mechanisms that are disabled in the settings.
    running
        Running requests by number.
    """

    slots: int
    disabled: frozenset[Mechanism] = frozenset()
    running: dict[int, RunningRequest] = attrs.field(factory=dict)
    limit: ConcurrencyLimit = attrs.field(init=False)
    ramp: Ramp = attrs.field(init=False)
    _latencies: LatencyBaselines = attrs.field(factory=LatencyBaselines)
    _mean_service_s: float | None = None
    # Longest latencies of requests that were started in an earlier generation of the ramp.
    _earlier_longest_s: dict[RequestKind, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.limit = ConcurrencyLimit(self.slots)
        self.ramp = Ramp(self.slots)

    @property
    def level(self) -> int:
        """Number of requests that may run concurrently."""
        level = self.slots
        if Mechanism.LIMIT not in self.disabled:
            level = min(level, self.limit.value)
        if Mechanism.RAMP not in self.disabled:
            level = min(level, self.ramp.level)
        return level

    def has_room(self) -> bool:
        """Return whether one more request may start."""
        return len(self.running) < self.level

    def compute_service_rate(self, now: float) -> ServiceRate:
        """Return the service rate, which falls while the backend server answers no requests."""
        ages_s = [now - running.started_at for running in self.running.values()]
        service_s = self._mean_service_s
        if ages_s and service_s is not None:
            service_s = max(service_s, statistics.median(ages_s))
        return ServiceRate(self.level, service_s)

    def start(self, number: int, kind: RequestKind, now: float) -> None:
        """Record a request that is being sent."""
        takes_last_slot = len(self.running) + 1 >= self.level
        self.running[number] = RunningRequest(kind, now, self.ramp.generation, takes_last_slot)

    def finish(self, number: int, verdict: Verdict, now: float) -> None:
        """Record the outcome of a request."""
        running = self.running.pop(number)
        match verdict:
            case Answered():
                self._record_answered(running, now)
            case NotRun(reason=Reason.BACKEND_REFUSED):
                self.limit.record_refused(len(self.running))
            case NotRun(reason=Reason.BACKEND_UNREACHABLE) | MayHaveRun(reason=Reason.BACKEND_LOST):
                self.turn_cold()
            case _:
                return

    def turn_cold(self) -> None:
        """Treat the backend server as cold."""
        self.ramp.turn_cold()

    def check_overdue(self, now: float) -> None:
        """Treat the backend server as slow when half of its requests are overdue."""
        current = [r for r in self.running.values() if r.generation == self.ramp.generation]
        overdue = sum(self._latencies.is_overdue(r.kind, now - r.started_at) for r in current)
        if overdue >= max(MIN_OVERDUE_REQUESTS, len(current) / 2):
            self._suspect_slowdown()

    def _suspect_slowdown(self) -> None:
        """Start probing; at the lowest level, drop the baselines instead."""
        self._latencies.clear_windows()
        self._earlier_longest_s.clear()
        if self.ramp.start_probing():
            self._latencies.clear()

    def _record_answered(self, running: RunningRequest, now: float) -> None:
        latency_s = now - running.started_at
        if running.generation == self.ramp.generation:
            self._record_current_generation(running, latency_s)
        else:
            longest_s = max(latency_s, self._earlier_longest_s.get(running.kind, 0.0))
            self._earlier_longest_s[running.kind] = longest_s
        self.limit.record_completed(running.takes_last_slot)
        previous = latency_s if self._mean_service_s is None else self._mean_service_s
        self._mean_service_s = previous + MEAN_WEIGHT * (latency_s - previous)

    def _accept_latencies(self, kind: RequestKind, latency_s: float) -> None:
        """Accept the latencies of a probe and of requests started before it as normal."""
        self._latencies.raise_baseline(kind, latency_s)
        for earlier_kind, longest_s in self._earlier_longest_s.items():
            self._latencies.raise_longest(earlier_kind, longest_s)

    def _record_current_generation(self, running: RunningRequest, latency_s: float) -> None:
        """Record a request that was started in the current generation of the ramp."""
        slow = self._latencies.is_slow(running.kind, latency_s)
        if self.ramp.record_completed(slow, running.takes_last_slot):
            self._accept_latencies(running.kind, latency_s)
        elif self.ramp.is_representative(running.generation) and self._latencies.add(
            running.kind, latency_s
        ):
            self._suspect_slowdown()
