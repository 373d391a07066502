"""Tests of the ramp, the limit and the capacity of one backend server, in simulated time."""

from __future__ import annotations

import random

import pytest

from persimmondock._domain.capacity import Capacity
from persimmondock._domain.latencies import RequestKind
from persimmondock._domain.limits import ConcurrencyLimit
from persimmondock._domain.mechanisms import Mechanism
from persimmondock._domain.ramps import COLD_LEVEL, Doubted, Ramping, Warm
from persimmondock._domain.verdict import Answer, Answered, MayHaveRun, NotRun, Reason

KIND = RequestKind(may_wait=False, idempotent=True)
ANSWERED = Answered(Answer(200, (), b""))
SLOTS = 12
# Twelve requests that started together on a cold backend server take 0.02 s x 12 x 12 = 2.88 s.
DRAIN_S = 3.0


class LoadedBackend:
    """A backend server at full load; its latency depends on the running requests and the time."""

    def __init__(self, compute_latency) -> None:
        self.compute_latency = compute_latency
        self.capacity = Capacity(SLOTS)
        self.now = 0.0
        self.peak = 0
        self._ends: dict[int, float] = {}
        self.started = 0

    def run(self, seconds: float) -> int:
        """Start as many requests as are admitted; return the number of completions."""
        until, done = self.now + seconds, 0
        while self.now < until:
            while self.capacity.has_room():
                self.started += 1
                self.capacity.start(self.started, KIND, self.now)
                running = len(self.capacity.running)
                self._ends[self.started] = self.now + self.compute_latency(running, self.now)
                self.peak = max(self.peak, running)
            self.now += 0.005
            for number in [n for n, end in self._ends.items() if end <= self.now]:
                del self._ends[number]
                self.capacity.finish(number, ANSWERED, self.now)
                done += 1
            self.capacity.check_overdue(self.now)
        return done


def make_cold_latency(cold_until: float, cold_capacity: int = 2):
    """Return a function for latencies that grow with the square of the overload while cold."""

    def compute_latency(running: int, now: float) -> float:
        return 0.02 * (max(1.0, running / cold_capacity) ** 2 if now < cold_until else 1.0)

    return compute_latency


def test_a_new_backend_server_is_cold_and_its_level_rises_by_completions_only() -> None:
    capacity = Capacity(SLOTS)
    assert capacity.level == COLD_LEVEL
    for second in range(100):
        capacity.check_overdue(float(second))
    assert capacity.level == COLD_LEVEL


def test_a_healthy_backend_server_reaches_its_slots() -> None:
    backend = LoadedBackend(make_cold_latency(0.0))
    backend.run(2.0)
    assert backend.capacity.level == SLOTS


def test_a_backend_server_that_stays_cold_gets_few_requests() -> None:
    backend = LoadedBackend(make_cold_latency(30.0))
    backend.run(30.0)
    assert backend.peak <= 4
    backend.run(30.0)
    assert backend.capacity.level == SLOTS


def test_turning_cold_without_a_restart_is_detected_before_the_first_late_answer() -> None:
    backend = LoadedBackend(make_cold_latency(0.0))
    backend.run(2.0)
    backend.compute_latency = lambda running, now: 0.02 * running**2
    before = backend.started
    backend.run(0.15)
    assert isinstance(backend.capacity.ramp.state, Doubted)
    assert backend.started - before <= SLOTS + 2
    backend.run(DRAIN_S)
    backend.peak = 0
    states = []
    for _ in range(2_000):
        backend.run(0.005)
        states.append(type(backend.capacity.ramp.state))
    assert Warm not in states
    assert Ramping in states
    assert backend.peak <= 2 * COLD_LEVEL


def test_a_slow_backend_server_keeps_its_slots() -> None:
    backend = LoadedBackend(make_cold_latency(0.0))
    backend.run(2.0)
    backend.compute_latency = lambda running, now: 0.2
    backend.run(1.5)
    assert isinstance(backend.capacity.ramp.state, Warm)
    before = backend.capacity.ramp.generation
    backend.run(5.0)
    assert backend.capacity.ramp.generation == before


@pytest.mark.parametrize(
    ("verdict", "cold"),
    [
        (MayHaveRun(Reason.BACKEND_LOST), True),
        (NotRun(Reason.BACKEND_UNREACHABLE), True),
        (MayHaveRun(Reason.DEADLINE_PASSED), False),
        (NotRun(Reason.BACKEND_REFUSED), False),
        (ANSWERED, False),
    ],
)
def test_lost_connections_make_a_backend_server_cold(verdict, cold) -> None:
    backend = LoadedBackend(make_cold_latency(0.0))
    backend.run(2.0)
    backend.capacity.start(0, KIND, backend.now)
    backend.capacity.finish(0, verdict, backend.now)
    assert isinstance(backend.capacity.ramp.state, Ramping) == cold


def test_the_limit_falls_to_the_running_requests_and_grows_back() -> None:
    limit = ConcurrencyLimit(SLOTS)
    limit.record_refused(running=5)
    limit.record_refused(running=7)
    assert limit.value == 5
    for _ in range(20):
        limit.record_completed(took_last_slot=True)
    assert limit.value == 5
    for _ in range(400):
        limit.record_completed(took_last_slot=True)
    assert limit.value == SLOTS


def test_the_limit_stays_at_one_at_least_and_grows_only_when_it_is_used() -> None:
    limit = ConcurrencyLimit(SLOTS)
    limit.record_refused(running=0)
    for _ in range(100):
        limit.record_completed(took_last_slot=False)
    assert limit.value == 1


def test_mechanisms_can_be_switched_off() -> None:
    assert Capacity(SLOTS, frozenset({Mechanism.RAMP})).level == SLOTS


@pytest.mark.parametrize("long_share", [0.02, 0.1, 0.3])
def test_a_mix_of_short_and_long_requests_does_not_start_probing(long_share) -> None:
    rng = random.Random(3)
    backend = LoadedBackend(lambda running, now: 0.5 if rng.random() < long_share else 0.01)
    backend.run(30.0)
    assert isinstance(backend.capacity.ramp.state, Warm)
    before = backend.capacity.ramp.generation
    backend.run(120.0)
    assert backend.capacity.ramp.generation - before <= 2
