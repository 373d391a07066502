"""Tests of the ramp, the limit and the capacity of one backend server, under virtual time."""

from __future__ import annotations

import random

import pytest

from persimmondock._domain.capacity import Capacity
from persimmondock._domain.latencies import WorkKind
from persimmondock._domain.limits import ConcurrencyLimit
from persimmondock._domain.mechanisms import Mechanism
from persimmondock._domain.ramps import COLD_LEVEL, Doubted, Ramping, Warm
from persimmondock._domain.verdict import Answer, Answered, MayHaveRun, NotRun, Reason

KIND = WorkKind(may_wait=False, idempotent=True)
ANSWERED = Answered(Answer(200, (), b""))
SLOTS = 12
# Twelve requests that started together on a cold backend server take 0.02 s x 12 x 12.
DRAIN_S = 3.0


class Bench:
    """A backend server under full load whose latency is a function of what runs."""

    def __init__(self, compute_latency) -> None:
        self.compute_latency = compute_latency
        self.capacity = Capacity(SLOTS)
        self.now = 0.0
        self.peak = 0
        self._ends: dict[int, float] = {}
        self.started = 0

    def run(self, seconds: float) -> int:
        """Keep it as busy as it may be; return the completions."""
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


def make_cold(cold_until: float, bears: int = 2):
    """Return latencies that grow with the square of overload while cold."""

    def compute_latency(running: int, now: float) -> float:
        return 0.02 * (max(1.0, running / bears) ** 2 if now < cold_until else 1.0)

    return compute_latency


def test_a_new_backend_server_is_cold_and_grows_by_completions_only() -> None:
    capacity = Capacity(SLOTS)
    assert capacity.level == COLD_LEVEL
    for second in range(100):
        capacity.check_overdue(float(second))
    assert capacity.level == COLD_LEVEL


def test_a_healthy_backend_server_reaches_its_slots() -> None:
    bench = Bench(make_cold(0.0))
    bench.run(2.0)
    assert bench.capacity.level == SLOTS


def test_a_backend_server_that_stays_cold_gets_little() -> None:
    bench = Bench(make_cold(30.0))
    bench.run(30.0)
    assert bench.peak <= 4
    bench.run(30.0)
    assert bench.capacity.level == SLOTS


def test_a_silent_turn_to_cold_is_noticed_before_the_first_late_answer() -> None:
    bench = Bench(make_cold(0.0))
    bench.run(2.0)
    bench.compute_latency = lambda running, now: 0.02 * running**2
    before = bench.started
    bench.run(0.15)
    assert isinstance(bench.capacity.ramp.state, Doubted)
    assert bench.started - before <= SLOTS + 2
    bench.run(DRAIN_S)
    bench.peak = 0
    states = []
    for _ in range(2_000):
        bench.run(0.005)
        states.append(type(bench.capacity.ramp.state))
    assert Warm not in states
    assert Ramping in states
    assert bench.peak <= 2 * COLD_LEVEL


def test_a_slow_backend_server_keeps_its_slots() -> None:
    bench = Bench(make_cold(0.0))
    bench.run(2.0)
    bench.compute_latency = lambda running, now: 0.2
    bench.run(1.5)
    assert isinstance(bench.capacity.ramp.state, Warm)
    before = bench.capacity.ramp.generation
    bench.run(5.0)
    assert bench.capacity.ramp.generation == before


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
def test_lost_connections_make_it_cold(verdict, cold) -> None:
    bench = Bench(make_cold(0.0))
    bench.run(2.0)
    bench.capacity.start(0, KIND, bench.now)
    bench.capacity.finish(0, verdict, bench.now)
    assert isinstance(bench.capacity.ramp.state, Ramping) == cold


def test_the_limit_falls_to_what_was_borne_and_grows_back() -> None:
    limit = ConcurrencyLimit(SLOTS)
    limit.note_shed(running=5)
    limit.note_shed(running=7)
    assert limit.value == 5
    for _ in range(20):
        limit.note_completed(filled=True)
    assert limit.value == 5
    for _ in range(400):
        limit.note_completed(filled=True)
    assert limit.value == SLOTS


def test_the_limit_stays_at_one_at_least_and_grows_only_when_it_is_used() -> None:
    limit = ConcurrencyLimit(SLOTS)
    limit.note_shed(running=0)
    for _ in range(100):
        limit.note_completed(filled=False)
    assert limit.value == 1


def test_mechanisms_can_be_switched_off() -> None:
    assert Capacity(SLOTS, frozenset({Mechanism.RAMP})).level == SLOTS


@pytest.mark.parametrize("long_share", [0.02, 0.1, 0.3])
def test_a_mix_of_short_and_long_requests_is_no_reason_to_doubt(long_share) -> None:
    chooser = random.Random(3)
    bench = Bench(lambda running, now: 0.5 if chooser.random() < long_share else 0.01)
    bench.run(30.0)
    assert isinstance(bench.capacity.ramp.state, Warm)
    before = bench.capacity.ramp.generation
    bench.run(120.0)
    assert bench.capacity.ramp.generation - before <= 2
