"""What a backend server's latency usually is, by kind of request.

Requests of one kind may be short or long, so single latencies say little. A backend server that
cannot bear its load is slow with all of them: the shortest of a window of requests shows it.
"""

from __future__ import annotations

import attrs

WINDOW = 8
WEIGHT = 0.2
DECAY = 0.01
SLOW_FACTOR = 3.0
OVERDUE_FACTOR = 2.0
MIN_EXCESS_S = 0.01


@attrs.frozen
class WorkKind:
    """Requests that are taken together."""

    may_wait: bool
    idempotent: bool


@attrs.define
class _Usual:
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
class Latencies:
    """Usual latencies and the present window of each kind."""

    _usual: dict[WorkKind, _Usual] = attrs.field(factory=dict)
    _windows: dict[WorkKind, list[float]] = attrs.field(factory=dict)

    def is_slow(self, kind: WorkKind, latency: float) -> bool:
        """Return whether a latency is far above the shortest ones of its kind."""
        usual = self._usual.get(kind)
        return usual is not None and _is_above(latency, usual.shortest, SLOW_FACTOR)

    def is_overdue(self, kind: WorkKind, age: float) -> bool:
        """Return whether even a long request would have ended by now."""
        usual = self._usual.get(kind)
        return usual is not None and _is_above(age, usual.longest, OVERDUE_FACTOR)

    def add(self, kind: WorkKind, latency: float) -> bool:
        """Count a latency; return whether it ends a window in which all were slow."""
        window = self._windows.setdefault(kind, [])
        window.append(latency)
        if len(window) < WINDOW:
            return False
        del self._windows[kind]
        if self.is_slow(kind, min(window)):
            return True
        self._learn(kind, min(window), max(window))
        return False

    def clear_windows(self) -> None:
        """Drop unfinished windows, because the level of work has changed."""
        self._windows.clear()

    def accept(self, kind: WorkKind, latency: float) -> None:
        """Take a latency for usual, because less work would not have shortened it."""
        usual = self._usual.setdefault(kind, _Usual(latency, latency))
        usual.shortest = max(usual.shortest, latency)
        usual.longest = max(usual.longest, latency)

    def accept_longest(self, kind: WorkKind, latency: float) -> None:
        """Take a latency for one that long requests may have."""
        usual = self._usual.setdefault(kind, _Usual(latency, latency))
        usual.longest = max(usual.longest, latency)

    def forget(self) -> None:
        """Start over, because the backend server is now slower or faster by itself."""
        self._usual.clear()
        self._windows.clear()

    def _learn(self, kind: WorkKind, shortest: float, longest: float) -> None:
        usual = self._usual.setdefault(kind, _Usual(shortest, longest))
        usual.shortest += WEIGHT * (shortest - usual.shortest)
        usual.longest = max(longest, usual.longest + DECAY * (longest - usual.longest))


def _is_above(latency: float, usual: float, factor: float) -> bool:
    return latency > max(factor * usual, usual + MIN_EXCESS_S)
