"""Reports the memory and the descriptors of this process before they run out."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from persimmondock._adapters.process_usage import (
    ProcessUsage,
    read_resident_bytes,
    read_usage,
)
from persimmondock._domain.memory_budget import BYTES_PER_MB, DEFAULT_MEMORY_MB, MemoryBudget

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._ports.metrics import MetricSink

CHECK_INTERVAL_S = 1.0
HIGH_SHARE = 0.5  # of the memory, above which it is reported
REPORT_STEP = 0.1  # of the memory, by which it has to grow to be reported again


@attrs.define
class UsageMonitor:
    """Watches what this process uses.

    Parameters
    ----------
    memory_mb
        MB above which the process is killed; 0 if unknown.
    max_descriptors
        Descriptors that the settings allow; 0 if unknown.
    budget
        Memory for what others send.
    update_shares
        Called once a second, since what the daemon needs itself depends on the number of peers.
    """

    memory_mb: float
    max_descriptors: int
    budget: MemoryBudget
    update_shares: Callable[[], None] = lambda: None
    _reported_share: float = HIGH_SHARE - REPORT_STEP

    async def run(self) -> None:
        """Report limits once, and high memory whenever it has grown, until cancelled."""
        usage = read_usage()
        logger.info(
            "event=process_limits memory_mb={:.0f} budget_mb={:.0f} resident_mb={:.0f}"
            " max_descriptors={} kernel_descriptors={} descriptors={}",
            self.memory_mb,
            self.budget.limit_bytes / BYTES_PER_MB,
            usage.resident_bytes / BYTES_PER_MB,
            self.max_descriptors,
            usage.max_descriptors,
            usage.descriptors,
        )
        while True:
            self.check(read_resident_bytes())
            self.update_shares()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check(self, resident_bytes: int) -> None:
        """Report resident memory if it is high and higher than at the last report."""
        share = resident_bytes / BYTES_PER_MB / (self.memory_mb or DEFAULT_MEMORY_MB)
        if share < HIGH_SHARE:
            self._reported_share = HIGH_SHARE - REPORT_STEP
        elif share >= self._reported_share + REPORT_STEP:
            self._reported_share = share
            logger.warning(
                "event=memory_high resident_mb={:.0f} memory_mb={:.0f} held_mb={:.1f} refusals={}",
                resident_bytes / BYTES_PER_MB,
                self.memory_mb,
                self.budget.held_bytes / BYTES_PER_MB,
                self.budget.refusals,
            )

    def update_gauges(self, sink: MetricSink, usage: ProcessUsage | None = None) -> None:
        """Update the gauges of this process."""
        usage = usage or read_usage()
        sink.set_gauge("resident_bytes", usage.resident_bytes)
        sink.set_gauge("memory_limit_bytes", self.memory_mb * BYTES_PER_MB)
        sink.set_gauge("foreign_bytes", self.budget.held_bytes)
        sink.set_gauge("foreign_limit_bytes", self.budget.limit_bytes)
        sink.set_gauge("foreign_refusals", self.budget.refusals)
        sink.set_gauge("descriptors", usage.descriptors)
        sink.set_gauge("descriptors_limit", usage.max_descriptors)
