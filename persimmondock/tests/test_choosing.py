"""Tests of load balancing between backend servers, in simulated time."""

from __future__ import annotations

import heapq
import random
from collections import Counter

import pytest

from persimmondock._domain.choosing import Candidate, Chooser

NAMES = ("backend-1", "backend-2", "backend-3", "backend-4")


def simulate(
    latency_s: dict[str, float],
    seconds: float = 20.0,
    rate_per_s: float = 100.0,
    near: str = "",
    failing: str = "",
    chooser: Chooser | None = None,
    started_at: float = 0.0,
) -> Counter[str]:
    """Return how many requests each backend server gets at fixed latencies."""
    chooser, rng = chooser or Chooser(), random.Random(3)
    candidates = [Candidate(name, 12, name == near) for name in latency_s]
    running: list[tuple[float, str, int]] = []
    chosen: Counter[str] = Counter()
    for number in range(int(seconds * rate_per_s)):
        now = started_at + number / rate_per_s
        while running and running[0][0] <= now:
            ended_at, name, token = heapq.heappop(running)
            chooser.end(name, token, ended_at, answered=name != failing)
        name = chooser.choose(candidates, now, rng).name
        token = chooser.start(name, now)
        heapq.heappush(running, (now + latency_s[name], name, token))
        chosen[name] += 1
    return chosen


def test_equal_backend_servers_get_equal_shares() -> None:
    chosen = simulate(dict.fromkeys(NAMES, 0.02))
    assert max(chosen.values()) < 1.3 * min(chosen.values())


def test_a_slow_backend_server_gets_few_requests_but_some() -> None:
    chosen = simulate({**dict.fromkeys(NAMES, 0.02), "backend-1": 0.2}, seconds=60.0)
    assert 3 <= chosen["backend-1"] <= 0.01 * chosen.total()


def test_a_backend_server_that_recovers_gets_its_share_again() -> None:
    chooser = Chooser()
    simulate({**dict.fromkeys(NAMES, 0.02), "backend-1": 0.2}, chooser=chooser)
    equal = dict.fromkeys(NAMES, 0.02)
    chosen = simulate(equal, seconds=40.0, chooser=chooser, started_at=20.5)
    assert chosen["backend-1"] > 0.15 * chosen.total()


def test_a_backend_server_that_fails_fast_attracts_no_load() -> None:
    latency_s = {**dict.fromkeys(NAMES, 0.02), "backend-1": 0.001}
    chosen = simulate(latency_s, seconds=80.0, failing="backend-1")
    assert 3 <= chosen["backend-1"] <= 0.02 * chosen.total()


@pytest.mark.parametrize(("latency_s", "low", "high"), [(0.02, 0.4, 0.7), (0.06, 0.0, 0.1)])
def test_the_same_failure_domain_is_preferred_unless_it_is_slow(
    latency_s: float, low: float, high: float
) -> None:
    chosen = simulate({**dict.fromkeys(NAMES, 0.02), "backend-1": latency_s}, near="backend-1")
    assert low <= chosen["backend-1"] / chosen.total() <= high


def test_requests_in_flight_count_before_any_has_ended() -> None:
    chooser, rng = Chooser(), random.Random(3)
    candidates = [Candidate(name, 2, True) for name in NAMES[:2]]
    chooser.start("backend-1", 0.0)
    assert all(chooser.choose(candidates, 0.5, rng).name == "backend-2" for _ in range(20))


def test_backend_servers_that_are_gone_are_forgotten() -> None:
    chooser = Chooser()
    for name in NAMES[:2]:
        number = chooser.start(name, 0.0)
        if name == "backend-1":
            chooser.end(name, number, 0.1, answered=True)
    chooser.prune(set())
    assert set(chooser._observations) == {"backend-2"}
