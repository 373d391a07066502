"""How long ago this daemon came to know a loss.

A loss gives its slices a floor: a record offset. Identifiers that may be older than the floor are
refused, because the lost owner may have run them. The log carries no time, so each daemon notes
for itself when its view passed an offset. Instants are monotonic seconds.
"""

from __future__ import annotations

from collections import deque

import attrs

MARK_EVERY_S = 1.0
MAX_MARKS = 4_096


@attrs.frozen
class _Mark:
    """All records before ``offset`` were known at ``at``."""

    offset: int
    at: float


@attrs.define
class FloorClock:
    """When the view passed which offset; what was forgotten counts as known later."""

    _marks: deque[_Mark] = attrs.field(factory=lambda: deque(maxlen=MAX_MARKS))

    def note(self, offset: int, now: float) -> None:
        """Note how far the view has come."""
        if not self._marks:
            self._marks.append(_Mark(offset, now))
            return
        last = self._marks[-1]
        if offset > last.offset and now >= last.at + MARK_EVERY_S:
            self._marks.append(_Mark(offset, now))

    def is_older(self, floor: int, age_s: float, now: float) -> bool:
        """Return whether a record has been known for at least an age."""
        known_at = next((mark.at for mark in self._marks if mark.offset > floor), now)
        return now - known_at >= age_s
