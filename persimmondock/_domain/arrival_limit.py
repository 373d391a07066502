"""Bounds on the requests that a backend server gets in any span of time."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

COLD_WINDOW_S = 1.0
NAMED_WINDOW_S = 4.0  # over which a limit that a backend server names is judged
WINDOW_MARGIN_S = 0.05  # requests may arrive at shorter intervals than they were sent
BURST_S = 0.25  # a named limit is spread over time down to what it allows in this span
# Spacing within a window, relative to an even one: some room to catch up after a gap.
SPACING_SHARE = 0.9


@attrs.frozen
class ArrivalBound:
    """At most ``count`` requests in any ``window_s`` seconds."""

    count: int
    window_s: float

    @property
    def interval_s(self) -> float:
        """Mean time between two requests at the bound in seconds."""
        return self.window_s / self.count if self.count else math.inf


def bound_rate(max_per_s: float, window_s: float) -> ArrivalBound:
    """Return the bound for a rate; below one request in a window, the window is longer."""
    count = int(max_per_s * window_s)
    if count >= 1:
        return ArrivalBound(count, window_s + WINDOW_MARGIN_S)
    if max_per_s > 0:
        return ArrivalBound(1, 1 / max_per_s + WINDOW_MARGIN_S)
    return ArrivalBound(0, window_s)


def bound_named_limit(max_per_s: float) -> tuple[ArrivalBound, ...]:
    """Return the bounds for a limit that a backend server names: in a window, and within it."""
    total = bound_rate(max_per_s, NAMED_WINDOW_S)
    if total.count <= 1:
        return (total,)
    burst = max(1, math.ceil(max_per_s * BURST_S))
    return total, ArrivalBound(burst, SPACING_SHARE * burst * total.interval_s)


@attrs.define
class ArrivalLimit:
    """Requests sent to one backend server, and the room that bounds leave for more.

    A request that is about to be sent holds a reservation, which counts as sent.

    Parameters
    ----------
    cold_until
        Instant until which the backend server is considered cold.
    """

    cold_until: float = 0.0
    _sent_at: deque[float] = attrs.field(factory=deque)
    _reserved: int = 0

    def is_cold(self, now: float) -> bool:
        """Return whether the backend server is considered cold."""
        return now < self.cold_until

    def has_room(self, bounds: Sequence[ArrivalBound], now: float) -> bool:
        """Return whether another request may be sent."""
        return self.find_next_send_at(bounds, now) <= now

    def find_next_send_at(self, bounds: Sequence[ArrivalBound], now: float) -> float:
        """Return the instant from which another request may be sent; infinity for never."""
        return max([now, *(self._find_room_at(bound, now) for bound in bounds)])

    def _find_room_at(self, bound: ArrivalBound, now: float) -> float:
        if bound.count == 0:
            return math.inf
        index = len(self._sent_at) + self._reserved - bound.count
        if index < 0:
            return now
        blocked_by = self._sent_at[index] if index < len(self._sent_at) else now
        return blocked_by + bound.window_s

    def reserve(self) -> None:
        """Count a request that will be sent at once."""
        self._reserved += 1

    def release(self) -> None:
        """Drop a reservation whose request was sent, or will not be."""
        self._reserved -= 1

    def record(self, bounds: Sequence[ArrivalBound], now: float) -> None:
        """Record a request that is being sent."""
        self._sent_at.append(now)
        kept_s = max([COLD_WINDOW_S, *(bound.window_s for bound in bounds)]) + WINDOW_MARGIN_S
        while self._sent_at[0] <= now - kept_s:
            self._sent_at.popleft()

    def assume_used(self, bound: ArrivalBound, now: float) -> None:
        """Replace what was sent by an even use of a bound up to now."""
        self._sent_at = deque(
            now - bound.interval_s * ago for ago in range(bound.count - 1, -1, -1)
        )
