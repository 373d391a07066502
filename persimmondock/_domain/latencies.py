"""Baseline latencies of a backend server, by kind of request.

Requests of one kind may be short or long, so single latencies say little. An overloaded backend
server is slow with all of them, which the shortest latency of a window of requests shows.
"""

from __future__ import annotations

import attrs

WINDOW_SIZE = 8
EWMA_WEIGHT = 0.2
LONGEST_DECAY = 0.01
SLOW_FACTOR = 3.0
OVERDUE_FACTOR = 2.0
MIN_EXCESS_S = 0.01


@attrs.frozen
class RequestKind:
    """Requests that share a baseline."""

    may_wait: bool
    idempotent: bool


@attrs.define
class _Baseline:
    """Latencies of windows that were not slow, in seconds.

    Parameters
    ----------
    shortest
        Exponential moving average of each window's shortest latency.
    longest
        Longest latency, decaying towards that of later windows.
    """

    shortest: float
    longest: float


@attrs.define
class LatencyBaselines:
    """Baseline latencies and the current window of each kind of request."""

    _baselines: dict[RequestKind, _Baseline] = attrs.field(factory=dict)
    _windows: dict[RequestKind, list[float]] = attrs.field(factory=dict)

    def is_slow(self, kind: RequestKind, latency: float) -> bool:
        """Return whether a latency is far above the shortest ones that are usual for its kind."""
        baseline = self._baselines.get(kind)
        return baseline is not None and _is_above(latency, baseline.shortest, SLOW_FACTOR)

    def is_overdue(self, kind: RequestKind, age: float) -> bool:
        """Return whether a request has run for far longer than the longest ones of its kind."""
        baseline = self._baselines.get(kind)
        return baseline is not None and _is_above(age, baseline.longest, OVERDUE_FACTOR)

    def add(self, kind: RequestKind, latency: float) -> bool:
        """Add a latency; return whether it completes a window in which all were slow."""
        window = self._windows.setdefault(kind, [])
        window.append(latency)
        if len(window) < WINDOW_SIZE:
            return False
        del self._windows[kind]
        if self.is_slow(kind, min(window)):
            return True
        self._update_baseline(kind, min(window), max(window))
        return False

    def clear_windows(self) -> None:
        """Drop incomplete windows, because the concurrency level has changed."""
        self._windows.clear()

    def raise_baseline(self, kind: RequestKind, latency: float) -> None:
        """Raise the baseline to a latency that less load would not have shortened."""
        baseline = self._baselines.setdefault(kind, _Baseline(latency, latency))
        baseline.shortest = max(baseline.shortest, latency)
        baseline.longest = max(baseline.longest, latency)

    def raise_longest(self, kind: RequestKind, latency: float) -> None:
        """Raise the longest latency of the baseline to that of a request."""
        baseline = self._baselines.setdefault(kind, _Baseline(latency, latency))
        baseline.longest = max(baseline.longest, latency)

    def clear(self) -> None:
        """Drop all baselines, because latency has changed for a reason other than load."""
        self._baselines.clear()
        self._windows.clear()

    def _update_baseline(self, kind: RequestKind, shortest: float, longest: float) -> None:
        baseline = self._baselines.setdefault(kind, _Baseline(shortest, longest))
        baseline.shortest += EWMA_WEIGHT * (shortest - baseline.shortest)
        baseline.longest = max(
            longest, baseline.longest + LONGEST_DECAY * (longest - baseline.longest)
        )


def _is_above(latency: float, baseline: float, factor: float) -> bool:
    return latency > max(factor * baseline, baseline + MIN_EXCESS_S)
