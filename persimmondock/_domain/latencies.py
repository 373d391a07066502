"""What a backend server's latency usually is, by kind of request.

Requests of one kind may be short or long, so single latencies say little. A backend server that
cannot bear its load is slow with all of them: the shortest of a window of requests shows it.
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
    """Requests that are taken together."""

    may_wait: bool
    idempotent: bool


@attrs.define
class _Baseline:
    """Latencies of usual windows, in seconds.

    Parameters
    ----------
    shortest
        Moving mean of the shortest ones.
    longest
        Longest one that was seen lately.
    """

    shortest: float
    longest: float


@attrs.define
class LatencyBaselines:
    """Usual latencies and the present window of each kind."""

    _baselines: dict[RequestKind, _Baseline] = attrs.field(factory=dict)
    _windows: dict[RequestKind, list[float]] = attrs.field(factory=dict)

    def is_slow(self, kind: RequestKind, latency: float) -> bool:
        """Return whether a latency is far above the shortest ones of its kind."""
        baseline = self._baselines.get(kind)
        return baseline is not None and _is_above(latency, baseline.shortest, SLOW_FACTOR)

    def is_overdue(self, kind: RequestKind, age: float) -> bool:
        """Return whether even a long request would have ended by now."""
        baseline = self._baselines.get(kind)
        return baseline is not None and _is_above(age, baseline.longest, OVERDUE_FACTOR)

    def add(self, kind: RequestKind, latency: float) -> bool:
        """Count a latency; return whether it ends a window in which all were slow."""
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
        """Drop unfinished windows, because the level of work has changed."""
        self._windows.clear()

    def raise_baseline(self, kind: RequestKind, latency: float) -> None:
        """Take a latency for usual, because less work would not have shortened it."""
        baseline = self._baselines.setdefault(kind, _Baseline(latency, latency))
        baseline.shortest = max(baseline.shortest, latency)
        baseline.longest = max(baseline.longest, latency)

    def raise_longest(self, kind: RequestKind, latency: float) -> None:
        """Take a latency for one that long requests may have."""
        baseline = self._baselines.setdefault(kind, _Baseline(latency, latency))
        baseline.longest = max(baseline.longest, latency)

    def forget(self) -> None:
        """Start over, because the backend server is now slower or faster by itself."""
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
