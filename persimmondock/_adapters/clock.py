"""Clocks of the machine."""

from __future__ import annotations

import time


def read_clock() -> float:
    """Return seconds of a clock that never steps and also counts time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
