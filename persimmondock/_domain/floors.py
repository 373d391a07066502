"""How long this daemon has known of a loss.

A loss gives its slices a floor: a record offset. Request identifiers that may be older than the
floor are refused, because the lost owner may have run them. The log carries no time, so each
daemon records when its view passed an offset. Instants are monotonic seconds.
"""

from __future__ import annotations

from collections import deque

import attrs

SAMPLE_INTERVAL_S = 1.0
MAX_SAMPLES = 4_096


@attrs.frozen
class _Sample:
    """All records before ``offset`` were known at ``at``."""

    offset: int
    at: float


@attrs.define
class OffsetHistory:
    """Instants at which the view passed offsets.

    An offset whose sample was dropped counts as passed later than it was.
    """

    _samples: deque[_Sample] = attrs.field(factory=lambda: deque(maxlen=MAX_SAMPLES))

    def note(self, offset: int, now: float) -> None:
        """Record the offset that the view has reached."""
        if not self._samples:
            self._samples.append(_Sample(offset, now))
            return
        last = self._samples[-1]
        if offset > last.offset and now >= last.at + SAMPLE_INTERVAL_S:
            self._samples.append(_Sample(offset, now))

    def is_known_for(self, floor: int, age_s: float, now: float) -> bool:
        """Return whether the record at ``floor`` has been known for at least ``age_s`` seconds."""
        known_at = next((sample.at for sample in self._samples if sample.offset > floor), now)
        return now - known_at >= age_s
