"""A concurrency limit that adapts to the refusals of a backend server.

When a backend server refuses a request, the limit falls to the number of requests that it was
running, because it has shown that it can run that many. Completions at the limit raise it again, up
to the announced slots: slowly at first, since the next refusal is probably near, and twice as fast
after each step without one.
"""

from __future__ import annotations

import attrs

# Slots added to a limit of N by N completions at the limit.
INITIAL_GROWTH = 1 / 16


@attrs.define
class ConcurrencyLimit:
    """Additive increase with growing steps; decrease to the number running at a refusal.

    Parameters
    ----------
    slots
        Slots that the backend server announced; the upper bound of the limit.
    """

    slots: int
    _value: float = attrs.field(init=False)
    _growth: float = INITIAL_GROWTH

    def __attrs_post_init__(self) -> None:
        self._value = float(self.slots)

    @property
    def value(self) -> int:
        """Requests that may run at the same time."""
        return int(self._value)

    def record_completed(self, took_last_slot: bool) -> None:
        """Raise the limit after an answered request that took the last free slot."""
        if not took_last_slot:
            return
        before = self.value
        self._value = min(float(self.slots), self._value + self._growth / self._value)
        if self.value > before:
            self._growth = min(1.0, 2.0 * self._growth)

    def record_refused(self, running: int) -> None:
        """Lower the limit to the number of requests that ran when another one was refused."""
        self._value = max(1.0, min(self._value, float(running)))
        self._growth = INITIAL_GROWTH
