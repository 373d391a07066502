"""Calls that a backend server makes while it runs requests, learned beside it.

A call names no parent, and callers on the same VM send to the same daemon. What comes in is
therefore compared with what runs at that time: the rate of requests is taken as a constant, for
callers, plus a rate for each running request of a kind (least squares without negative rates, in
which older observations count less).
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from itertools import product
from operator import mul
from typing import TypeVar

import attrs

MEMORY_S = 30.0
MAX_GAP = 50.0  # time constants; after so long nothing earlier counts
MAX_KINDS = 16  # of runs that are told apart; all others count as one
MAX_TARGETS = 32  # that are told apart; beyond them the routes of a service count as one
MAX_WEIGHT = 1e6  # of an observation; all are scaled down then
DROP_BELOW = 1e-3  # of what is hardly seen any more
SWEEPS = 12  # of the solver; a few are enough for a handful of kinds
PRIOR_RUNS = 3.0  # for which repeats of a route are taken to be like its first runs
ESTIMATE_S = 1.0  # for which rates are used before they are computed anew
MIN_CALLS = 0.05  # by run; fewer cannot be told from chance


@attrs.frozen(cache_hash=True)
class RunKind:
    """Requests of one route that are run for the first time, or again."""

    route: str
    repeat: bool


@attrs.frozen(cache_hash=True)
class Target:
    """What is called."""

    service: str
    route: str


K = TypeVar("K")
OTHERS = ""  # in place of a route
CALLERS = None  # in place of a kind: what comes in whatever runs


@attrs.define
class CallRates:
    """Estimates how many calls a run of a route makes.

    Parameters
    ----------
    memory_s
        Time constant in seconds with which observations are forgotten.
    """

    memory_s: float = MEMORY_S
    _running: Counter[RunKind] = attrs.field(factory=Counter)
    _runs: defaultdict[RunKind, float] = attrs.field(factory=lambda: defaultdict(float))
    # Integral over time of the product of what runs of two kinds.
    _overlaps: defaultdict[tuple[RunKind | None, RunKind | None], float] = attrs.field(
        factory=lambda: defaultdict(float)
    )
    # Sum over the requests for a target of what ran of a kind when they came.
    _seen: dict[Target, defaultdict[RunKind | None, float]] = attrs.field(factory=dict)
    _updated_at: float | None = None
    _weight: float = 1.0
    _rates: dict[Target, dict[RunKind | None, float]] = attrs.field(factory=dict)
    _estimated_until: float = -math.inf

    def record_start(self, kind: RunKind, now: float) -> RunKind:
        """Record that a run starts; return the kind under which its end is recorded."""
        self._advance(now)
        kind = self._choose_kind(kind)
        self._running[kind] += 1
        self._runs[kind] += self._weight
        return kind

    def _choose_kind(self, kind: RunKind) -> RunKind:
        is_known = kind in self._runs or len(self._runs) < MAX_KINDS
        return kind if is_known else RunKind(OTHERS, kind.repeat)

    def record_end(self, kind: RunKind, now: float) -> None:
        """Record that a run ends."""
        self._advance(now)
        self._running[kind] -= 1
        if not self._running[kind]:
            del self._running[kind]

    def record_request(self, target: Target, now: float) -> None:
        """Record that a request came in."""
        self._advance(now)
        if target not in self._seen and len(self._seen) >= MAX_TARGETS:
            target = Target(target.service, OTHERS)
        seen = self._seen.setdefault(target, defaultdict(float))
        seen[CALLERS] += self._weight
        for kind, running in self._running.items():
            seen[kind] += self._weight * running

    def estimate_calls(self, kind: RunKind, now: float) -> dict[str, float]:
        """Return the calls that one more run is expected to make, by service."""
        if now >= self._estimated_until:
            self._estimated_until = now + ESTIMATE_S
            self._rates = {target: self._estimate_rates(target) for target in self._seen}
        kind = self._choose_kind(kind)
        like = kind if self._runs.get(kind) else RunKind(kind.route, repeat=False)
        if not self._runs.get(like):
            return {}
        mean_run_s = self._overlaps.get((like, CALLERS), 0.0) / self._runs[like]
        expected: dict[str, float] = defaultdict(float)
        for target, rates in self._rates.items():
            calls = self._find_rate(rates, like) * mean_run_s
            if calls >= MIN_CALLS:
                expected[target.service] += calls
        return dict(expected)

    def _find_rate(self, rates: dict[RunKind | None, float], kind: RunKind) -> float:
        """Return the rate of a kind, or that of first runs if it was not seen by then."""
        return rates.get(kind, rates.get(RunKind(kind.route, repeat=False), 0.0))

    def _estimate_rates(self, target: Target) -> dict[RunKind | None, float]:
        """Return the requests for a target in a second, by callers and by a run of each kind."""
        seen = self._seen[target]
        # First runs come first, since the rates of repeats start from theirs.
        runs = sorted(self._runs, key=lambda kind: kind.repeat)
        kinds: list[RunKind | None] = [*runs, CALLERS]
        numbers = range(len(kinds))
        overlaps = [[self._overlaps.get((one, other), 0.0) for other in kinds] for one in kinds]
        priors = [self._weigh_prior(kind) for kind in kinds]
        firsts = [self._find_first(kinds, kind) for kind in kinds]
        rates = [0.0] * len(kinds)
        for _ in range(SWEEPS):
            for number in numbers:
                row, prior = overlaps[number], priors[number]
                total = row[number] + prior
                explained = sum(map(mul, row, rates)) - row[number] * rates[number]
                unexplained = seen.get(kinds[number], 0.0) - explained
                unexplained += prior * rates[firsts[number]]
                rates[number] = max(0.0, unexplained / total) if total > 0 else 0.0
        return dict(zip(kinds, rates, strict=True))

    def _find_first(self, kinds: list[RunKind | None], kind: RunKind | None) -> int:
        """Return the place of the first runs of a kind's route, or its own place."""
        if kind is CALLERS:
            return kinds.index(CALLERS)
        first = RunKind(kind.route, repeat=False)
        return kinds.index(first if first in kinds else kind)

    def _weigh_prior(self, kind: RunKind | None) -> float:
        """Return the weight with which a kind is taken to be like first runs."""
        if kind is CALLERS or not kind.repeat:
            return 0.0
        mean_run_s = self._overlaps.get((kind, CALLERS), 0.0) / self._runs[kind]
        return PRIOR_RUNS * mean_run_s * self._weight

    def _advance(self, now: float) -> None:
        """Count the time of what has been running."""
        elapsed_s = 0.0 if self._updated_at is None else max(0.0, now - self._updated_at)
        self._updated_at = now
        if not elapsed_s:
            return
        present: list[tuple[RunKind | None, int]] = [*self._running.items(), (CALLERS, 1)]
        for (kind, count), (other, other_count) in product(present, repeat=2):
            self._overlaps[kind, other] += self._weight * elapsed_s * count * other_count
        self._weight *= math.exp(min(MAX_GAP, elapsed_s / self.memory_s))
        if self._weight > MAX_WEIGHT:
            self._scale_down()

    def _scale_down(self) -> None:
        """Scale all sums to the present weight, and forget what is hardly seen any more."""
        weight, self._weight = self._weight, 1.0
        self._runs = _scale(self._runs, weight)
        self._overlaps = _scale(self._overlaps, weight)
        scaled = {target: _scale(seen, weight) for target, seen in self._seen.items()}
        self._seen = {target: seen for target, seen in scaled.items() if seen}


def _scale(sums: dict[K, float], weight: float) -> defaultdict[K, float]:
    kept = {key: value / weight for key, value in sums.items() if value / weight > DROP_BELOW}
    return defaultdict(float, kept)
