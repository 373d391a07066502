"""How much work one backend server may have at a time, from what it was seen to do."""

from __future__ import annotations

import statistics

import attrs

from persimmondock._domain.latencies import Latencies, WorkKind
from persimmondock._domain.limits import ConcurrencyLimit
from persimmondock._domain.mechanisms import Mechanism
from persimmondock._domain.queues import Pace
from persimmondock._domain.ramps import Ramp
from persimmondock._domain.verdict import Answered, MayHaveRun, NotRun, Reason, Verdict

SERVICE_WEIGHT = 0.1
MIN_OVERDUE = 2


@attrs.frozen
class Running:
    """One request that a backend server has."""

    kind: WorkKind
    started_at: float
    generation: int
    filled: bool


@attrs.define
class Capacity:
    """Limit, ramp and pace of one backend server.

    Parameters
    ----------
    without
        Mechanisms that are switched off.
    """

    slots: int
    without: frozenset[Mechanism] = frozenset()
    running: dict[int, Running] = attrs.field(factory=dict)
    limit: ConcurrencyLimit = attrs.field(init=False)
    ramp: Ramp = attrs.field(init=False)
    _latencies: Latencies = attrs.field(factory=Latencies)
    _service_s: float | None = None

    def __attrs_post_init__(self) -> None:
        self.limit = ConcurrencyLimit(self.slots)
        self.ramp = Ramp(self.slots)

    @property
    def level(self) -> int:
        """Requests that may run at the same time."""
        level = self.slots
        if Mechanism.LIMIT not in self.without:
            level = min(level, self.limit.value)
        if Mechanism.RAMP not in self.without:
            level = min(level, self.ramp.level)
        return level

    def has_room(self) -> bool:
        """Return whether one more request may start."""
        return len(self.running) < self.level

    def compute_pace(self, now: float) -> Pace:
        """Return how fast the backend server works; one that answers nothing gets slower."""
        ages = [now - running.started_at for running in self.running.values()]
        service_s = self._service_s
        if ages and service_s is not None:
            service_s = max(service_s, statistics.median(ages))
        return Pace(self.level, service_s)

    def start(self, number: int, kind: WorkKind, now: float) -> None:
        """Count a request that is being sent."""
        filled = len(self.running) + 1 >= self.level
        self.running[number] = Running(kind, now, self.ramp.generation, filled)

    def finish(self, number: int, verdict: Verdict, now: float) -> None:
        """Count how a request ended."""
        running = self.running.pop(number)
        match verdict:
            case Answered():
                self._note_answered(running, now - running.started_at)
            case NotRun(reason=Reason.BACKEND_REFUSED):
                self.limit.note_shed(len(self.running))
            case NotRun(reason=Reason.BACKEND_UNREACHABLE) | MayHaveRun(reason=Reason.BACKEND_LOST):
                self.turn_cold()
            case _:
                return

    def turn_cold(self) -> None:
        """Take the backend server for cold."""
        self.ramp.turn_cold()

    def watch(self, now: float) -> None:
        """Notice that requests take far longer than usual before they have ended."""
        overdue = sum(
            self._latencies.is_step(running.kind, now - running.started_at)
            for running in self.running.values()
            if running.generation == self.ramp.generation
        )
        if overdue >= max(MIN_OVERDUE, len(self.running) / 2):
            self.ramp.doubt()

    def _note_answered(self, running: Running, latency: float) -> None:
        step = self._latencies.is_step(running.kind, latency)
        if self.ramp.note_completed(running.generation, step, running.filled):
            self._latencies.forget()
            step = False
        if not step:
            self._latencies.learn(running.kind, latency)
        self.limit.note_completed(running.filled)
        previous = latency if self._service_s is None else self._service_s
        self._service_s = previous + SERVICE_WEIGHT * (latency - previous)
