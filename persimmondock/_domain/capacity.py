"""How much work one backend server may have at a time, from what it was seen to do."""

from __future__ import annotations

import statistics

import attrs

from persimmondock._domain.queues import Pace
from persimmondock._domain.verdict import Answered, Verdict

SERVICE_WEIGHT = 0.1


@attrs.frozen
class Running:
    """One request that a backend server has."""

    started_at: float


@attrs.define
class Capacity:
    """Slots and pace of one backend server."""

    slots: int
    running: dict[int, Running] = attrs.field(factory=dict)
    _service_s: float | None = None

    @property
    def level(self) -> int:
        """Requests that may run at the same time."""
        return self.slots

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

    def start(self, number: int, now: float) -> None:
        """Count a request that is being sent."""
        self.running[number] = Running(now)

    def finish(self, number: int, verdict: Verdict, now: float) -> None:
        """Count how a request ended."""
        running = self.running.pop(number)
        if isinstance(verdict, Answered):
            latency = now - running.started_at
            previous = latency if self._service_s is None else self._service_s
            self._service_s = previous + SERVICE_WEIGHT * (latency - previous)
