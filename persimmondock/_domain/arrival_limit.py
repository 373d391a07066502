"""A limit on the requests that a cold backend server gets in any second."""

from __future__ import annotations

from collections import deque

import attrs

WINDOW_S = 1.0
WINDOW_MARGIN_S = 0.05  # requests may arrive at shorter intervals than they were sent


@attrs.define
class ArrivalLimit:
    """Sliding window of the requests sent in the last second.

    Parameters
    ----------
    cold_until
        Instant until which the backend server is considered cold.
    """

    cold_until: float = 0.0
    _sent_at: deque[float] = attrs.field(factory=deque)

    def is_cold(self, now: float) -> bool:
        """Return whether the backend server is considered cold."""
        return now < self.cold_until

    def has_room(self, max_per_s: float, now: float) -> bool:
        """Return whether another request may be sent; a limit of 0 sets none."""
        if not self.is_cold(now) or max_per_s <= 0:
            return True
        self._drop_expired(now)
        return len(self._sent_at) + 1 <= max_per_s

    def find_next_send_at(self, max_per_s: float, now: float) -> float:
        """Return the instant from which another request may be sent."""
        if self.has_room(max_per_s, now):
            return now
        index = max(0, len(self._sent_at) - max(1, int(max_per_s)))
        return self._sent_at[index] + WINDOW_S + WINDOW_MARGIN_S

    def record(self, now: float) -> None:
        """Record a request that is being sent."""
        self._sent_at.append(now)
        self._drop_expired(now)

    def _drop_expired(self, now: float) -> None:
        while self._sent_at and self._sent_at[0] <= now - WINDOW_S - WINDOW_MARGIN_S:
            self._sent_at.popleft()
