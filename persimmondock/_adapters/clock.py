"""System clock."""

from __future__ import annotations

import time


def read_clock() -> float:
    """Return the seconds of a monotonic clock that includes time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
