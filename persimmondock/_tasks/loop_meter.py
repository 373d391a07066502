"""Measures how late the event loop runs a periodic task."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

from loguru import logger

from persimmondock._adapters.clock import read_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._ports.metrics import MetricSink

MIN_LATE_S = 0.25
BUSY_RATIO = 0.5  # of the time since the last run


class LoopMeter:
    """Reports runs of a periodic task that are late, and whether the process was busy meanwhile.

    Parameters
    ----------
    interval_s
        Time between two runs.
    metrics
        Sink of the metrics.
    read_processor_time
        Returns the processor seconds that this process has used.
    """

    def __init__(
        self,
        interval_s: float,
        metrics: MetricSink,
        read_processor_time: Callable[[], float] = time.process_time,
    ) -> None:
        self._interval_s = interval_s
        self._metrics = metrics
        self._read_processor_time = read_processor_time
        self._due_at = math.inf
        self._used_s = 0.0

    def record_run(self) -> None:
        """Record a run, and report it if it is late."""
        now, used_s = read_clock(), self._read_processor_time()
        late_s, busy_s = now - self._due_at, used_s - self._used_s
        self._due_at, self._used_s = now + self._interval_s, used_s
        if late_s < MIN_LATE_S:
            return
        cause = "busy" if busy_s >= BUSY_RATIO * (late_s + self._interval_s) else "not_run"
        logger.warning(
            "event=loop_late late_s={:.2f} busy_s={:.2f} cause={}", late_s, busy_s, cause
        )
        self._metrics.time(f"loop_late_ms.{cause}", 1000 * late_s)
