"""Request rates of keys, by group of adjacent keys."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

KEYS_PER_GROUP = 4  # small backend servers can serve only a few busy keys each
DECAY_TIME_S = 1.5  # keys become busy within a second and stay so for a few seconds
MIN_REPORTED_PER_S = 0.2  # groups with a lower rate are not reported


@attrs.define
class KeyLoads:
    """Request counts by group of keys, decaying with the time constant ``DECAY_TIME_S``."""

    _counts: dict[int, float] = attrs.field(factory=dict)
    _decayed_at: float = -math.inf

    def count(self, key: int, now: float) -> None:
        """Count a request for a key at ``now``."""
        self._decay(now)
        group = key // KEYS_PER_GROUP
        self._counts[group] = self._counts.get(group, 0.0) + 1.0

    def list_rates(self, now: float) -> dict[int, float]:
        """Return the requests per second of each group with at least ``MIN_REPORTED_PER_S``."""
        self._decay(now)
        rates = {group: count / DECAY_TIME_S for group, count in self._counts.items()}
        return {
            group: round(rate, 2) for group, rate in rates.items() if rate >= MIN_REPORTED_PER_S
        }

    def _decay(self, now: float) -> None:
        """Decay all counts and drop small ones, at most every 0.1 s so that counting is cheap."""
        elapsed_s = now - self._decayed_at
        if elapsed_s < 0.1:
            return
        self._decayed_at = now
        remaining_share = math.exp(-elapsed_s / DECAY_TIME_S)
        self._counts = {
            g: c * remaining_share for g, c in self._counts.items() if c * remaining_share > 0.05
        }


def sum_rates(rates: Mapping[int, float], first: int, last: int) -> float:
    """Return the requests per second for all groups that overlap a range of keys."""
    low, high = first // KEYS_PER_GROUP, last // KEYS_PER_GROUP
    if high - low + 1 < len(rates):
        return sum(rates.get(group, 0.0) for group in range(low, high + 1))
    return sum(rate for group, rate in rates.items() if low <= group <= high)


def merge_rates(parts: Iterable[Mapping[int, float]]) -> dict[int, float]:
    """Add up the rates that several gates report."""
    total: dict[int, float] = {}
    for part in parts:
        for group, rate in part.items():
            total[group] = total.get(group, 0.0) + rate
    return total
