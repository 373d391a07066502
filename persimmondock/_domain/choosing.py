"""Load balancing of requests that any backend server of a service may run.

Of two candidates picked at random, a front chooses the one where the request is expected to end
first (power of two choices). It uses only its own observations: its requests in flight and the
latencies of recent ones. Old observations decay towards the median of all backend servers, so that
a slow one is tried again with one request every few seconds.
"""

from __future__ import annotations

import math
from statistics import median
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

OBSERVATION_DECAY_S = 4.0
MEDIAN_INTERVAL_S = 0.2
INCREASE_WEIGHT = 0.3
DECREASE_WEIGHT = 0.1
INITIAL_LATENCY_S = 0.005
MIN_FAILURE_LATENCY_S = 0.25
OTHER_DOMAIN_FACTOR = 1.25


@attrs.frozen
class Candidate:
    """A backend server that may be given the request.

    Parameters
    ----------
    same_domain
        Whether it is in the front's own failure domain.
    """

    name: str
    slots: int
    same_domain: bool


@attrs.define
class Observation:
    """What a front has observed of one backend server.

    Parameters
    ----------
    latency_s
        Exponential moving average of latencies, in seconds.
    seen_at
        When the last latency was added, in monotonic seconds.
    started
        When each request in flight was sent, by its number, in monotonic seconds, oldest first.
    """

    latency_s: float = INITIAL_LATENCY_S
    seen_at: float = -math.inf
    started: dict[int, float] = attrs.field(factory=dict)

    def add_latency(self, took_s: float, now: float) -> None:
        """Add the latency of a request that ended."""
        if self.seen_at == -math.inf:
            self.latency_s = took_s
        else:
            weight = INCREASE_WEIGHT if took_s > self.latency_s else DECREASE_WEIGHT
            self.latency_s += weight * (took_s - self.latency_s)
        self.seen_at = now

    def estimate(self, median_s: float, now: float) -> float:
        """Return the expected latency.

        The older the observation, the closer to the median it is; it is never below the age of the
        oldest request in flight.
        """
        kept = math.exp(min(0.0, self.seen_at - now) / OBSERVATION_DECAY_S)
        expected = median_s + (self.latency_s - median_s) * kept
        oldest = next(iter(self.started.values()), now)
        return max(expected, now - oldest)


@attrs.define
class Chooser:
    """Chooses among the backend servers of one service for one kind of request."""

    _observations: dict[str, Observation] = attrs.field(factory=dict)
    _number: int = 0
    _median_s: float = INITIAL_LATENCY_S
    _median_expires_at: float = -math.inf

    def choose(self, candidates: Sequence[Candidate], now: float, rng: random.Random) -> Candidate:
        """Return the better one of two candidates picked at random."""
        if len(candidates) == 1:
            return candidates[0]
        first, second = rng.sample(candidates, 2)
        median_s = self._compute_median(now)
        if self.compute_cost(second, median_s, now) < self.compute_cost(first, median_s, now):
            return second
        return first

    def compute_cost(self, candidate: Candidate, median_s: float, now: float) -> float:
        """Return the seconds that a request is expected to take at a candidate."""
        seen = self._observations.get(candidate.name)
        domain_factor = 1.0 if candidate.same_domain else OTHER_DOMAIN_FACTOR
        if seen is None:
            return median_s * domain_factor
        occupied = (len(seen.started) + 1) / candidate.slots
        return seen.estimate(median_s, now) * domain_factor * (1.0 + occupied)

    def start(self, name: str, now: float) -> int:
        """Record that a request was sent; return its number."""
        self._number += 1
        self._observations.setdefault(name, Observation()).started[self._number] = now
        return self._number

    def end(self, name: str, number: int, now: float, answered: bool) -> None:
        """Record that a request ended.

        A failure counts as a slow answer, so that a backend server that fails fast does not
        attract requests.
        """
        seen = self._observations[name]
        took_s = now - seen.started.pop(number)
        seen.add_latency(took_s if answered else max(took_s, MIN_FAILURE_LATENCY_S), now)

    def abandon(self, name: str, number: int, now: float) -> None:
        """Record that a request was cancelled.

        It would have taken at least this long, so the time counts only if it is above the average.
        """
        seen = self._observations[name]
        took_s = now - seen.started.pop(number)
        if took_s > seen.latency_s:
            seen.add_latency(took_s, now)

    def prune(self, present: set[str]) -> None:
        """Remove the observations of absent backend servers without requests in flight."""
        for name in self._observations.keys() - present:
            if not self._observations[name].started:
                del self._observations[name]

    def _compute_median(self, now: float) -> float:
        """Return the median latency of all backend servers, computed a few times a second."""
        if now >= self._median_expires_at and self._observations:
            self._median_s = median(seen.latency_s for seen in self._observations.values())
            self._median_expires_at = now + MEDIAN_INTERVAL_S
        return self._median_s
