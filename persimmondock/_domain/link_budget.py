"""The link of a VM as a resource that large answers share.

`LinkRate` decides when the next piece of a large answer may be sent, so that no queue builds up on
the link in front of small messages. `LinkBudget` decides whether another large answer can be sent
in its time.
"""

from __future__ import annotations

import math
from collections.abc import Hashable

import attrs

BITS_PER_MBIT = 1_000_000
BITS_PER_BYTE = 8
USABLE_SHARE = 0.9  # of the link; the rest is left for headers and what is not counted
BURST_S = 0.004  # of the link that may be sent at once
PIECE_S = 0.005  # of the link, the longest that a small message waits behind one piece
MIN_PIECE_BYTES = 2 * 1024
MAX_PIECE_BYTES = 16 * 1024
LARGE_ANSWER_BYTES = 16 * 1024  # smaller answers are sent whole and not budgeted
EWMA_WEIGHT = 0.1
OWN_SIZE_FACTOR = 2.0  # leaves time for an answer above the mean of its route
MIN_RETRY_MS = 100
MAX_RETRY_MS = 5_000


def convert_bandwidth(bandwidth_mbps: float) -> float:
    """Return the usable bytes per second of a link, or infinity if its bandwidth is unknown (0)."""
    if bandwidth_mbps <= 0:
        return math.inf
    return USABLE_SHARE * bandwidth_mbps * BITS_PER_MBIT / BITS_PER_BYTE


@attrs.define
class LinkRate:
    """Paces the pieces of large answers on a link; other messages are counted but never delayed.

    Parameters
    ----------
    bytes_per_s
        Usable bytes per second; infinity if unknown.
    """

    bytes_per_s: float = math.inf
    _free_at: float = -math.inf

    @property
    def piece_bytes(self) -> int:
        """Largest size of a piece."""
        return round(min(MAX_PIECE_BYTES, max(MIN_PIECE_BYTES, PIECE_S * self.bytes_per_s)))

    def record(self, size: int, now: float) -> None:
        """Record that ``size`` bytes are sent now."""
        self._free_at = max(self._free_at, now) + size / self.bytes_per_s

    def compute_wait(self, now: float) -> float:
        """Return the seconds until a piece may be sent; 0 if it may be sent now."""
        return max(0.0, self._free_at - now - BURST_S)


@attrs.define
class LinkBudget:
    """Large answers that are expected or under way on a link.

    The size of an answer is expected to be the mean of its route until its header has arrived. An
    answer that is not sent over the link, since its caller is on the same VM, takes nothing.

    Parameters
    ----------
    bytes_per_s
        Usable bytes per second; infinity if unknown, which admits everything.
    """

    bytes_per_s: float = math.inf
    _mean_bytes: dict[str, float] = attrs.field(factory=dict)
    _expected: dict[Hashable, float] = attrs.field(factory=dict)

    @property
    def queued_bytes(self) -> float:
        """Bytes of answers that are expected or under way."""
        return sum(self._expected.values())

    @property
    def wait_s(self) -> float:
        """Seconds that the link takes for what is expected or under way."""
        return self.queued_bytes / self.bytes_per_s

    def learn(self, route: str, size: int) -> None:
        """Record the size of an answer, small ones included."""
        mean_bytes = self._mean_bytes.get(route, size)
        self._mean_bytes[route] = mean_bytes + EWMA_WEIGHT * (size - mean_bytes)

    def is_large(self, route: str) -> bool:
        """Return whether the answers of a route are large in the mean."""
        return self._mean_bytes.get(route, 0) > LARGE_ANSWER_BYTES

    def find_refusal_ms(
        self, route: str, now: float, objective_at: float, deadline: float
    ) -> int | None:
        """Return the retry delay if an answer cannot be sent in time, or None if it can.

        It is in time at the latency objective, or at the deadline if the objective is missed even
        on an idle link. An idle link refuses nothing.
        """
        if not self._expected or not self.is_large(route):
            return None
        own_s = OWN_SIZE_FACTOR * self._mean_bytes[route] / self.bytes_per_s
        in_time_at = objective_at if now + own_s < objective_at else deadline
        late_s = now + self.wait_s + own_s - in_time_at
        if late_s <= 0:
            return None
        return round(min(MAX_RETRY_MS, max(MIN_RETRY_MS, 1000 * late_s)))

    def reserve(self, request: Hashable, route: str) -> None:
        """Expect the answer to a request."""
        if self.is_large(route):
            self._expected[request] = self._mean_bytes[route]

    def record_length(self, request: Hashable, size: int) -> None:
        """Record the size of a large answer whose header has arrived."""
        self._expected[request] = size

    def record_sent(self, request: Hashable, size: int) -> None:
        """Record that a part of an answer was sent."""
        if request in self._expected:
            self._expected[request] = max(0.0, self._expected[request] - size)

    def release(self, request: Hashable) -> None:
        """Expect nothing more of a request."""
        self._expected.pop(request, None)
