"""Reports of an event loop that is late."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

import attrs
import pytest
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.prometheus import METRICS
from persimmondock._ports.metrics import NoMetrics
from persimmondock._tasks.loop_meter import LoopMeter
from persimmondock._tasks.range_keeper import RECONCILE_INTERVAL_S
from persimmondock.tests.virtual_fleet import VirtualFleet
from persimmondock.tests.virtual_freezes import Freezer
from persimmondock.tests.virtual_time import run_in_virtual_time


class RecordedMetrics(NoMetrics):
    """Keeps durations."""

    def __init__(self) -> None:
        self.durations: list[tuple[str, float]] = []

    def time(self, name: str, milliseconds: float) -> None:
        self.durations.append((name, round(milliseconds)))


@contextlib.contextmanager
def capture_reports() -> Iterator[list[str]]:
    """Collect the log lines on late event loops."""
    lines: list[str] = []

    def keep(message: str) -> None:
        if message.startswith("event=loop_late "):
            lines.append(message.strip())

    handler = logger.add(keep, level="WARNING", format="{message}")
    try:
        yield lines
    finally:
        logger.remove(handler)


@attrs.define
class Process:
    """A process of known processor time, whose periodic task is due each 0.1 s."""

    used_s: float = 5.0
    metrics: RecordedMetrics = attrs.field(factory=RecordedMetrics)

    async def run(self, *steps: tuple[float, float]) -> None:
        """Run the task after each of the times, with the processor time used meanwhile."""
        meter = LoopMeter(0.1, self.metrics, lambda: self.used_s)
        meter.record_run()
        for elapsed_s, used_s in steps:
            await asyncio.sleep(elapsed_s)
            self.used_s += used_s
            meter.record_run()


@pytest.mark.parametrize(
    ("used_s", "cause"), [(0.02, "not_run"), (1.4, "not_run"), (1.6, "busy"), (3.0, "busy")]
)
def test_a_process_that_was_not_run_is_told_from_a_busy_one(used_s: float, cause: str) -> None:
    """Guards against a daemon that is silent for seconds, and nothing tells why (issue 49)."""
    process = Process()
    with capture_reports() as lines:
        run_in_virtual_time(process.run((0.1, 0.05), (3.0, used_s), (0.1, 0.05)))
    assert lines == [f"event=loop_late late_s=2.90 busy_s={used_s:.2f} cause={cause}"]
    assert process.metrics.durations == [(f"loop_late_ms.{cause}", 2900)]
    assert METRICS["loop_late_ms"].labels == ("cause",)


def test_a_loop_that_is_in_time_is_not_reported() -> None:
    process = Process()
    with capture_reports() as lines:
        run_in_virtual_time(process.run((0.1, 0.1), (0.34, 0.3), (0.1, 0.0)))
    assert lines == [] and process.metrics.durations == []


def test_each_late_run_is_reported_by_itself() -> None:
    """A late run does not count again for the next one."""
    process = Process()
    with capture_reports() as lines:
        run_in_virtual_time(process.run((1.0, 0.0), (0.1, 0.0), (0.6, 0.6)))
    assert lines == [
        "event=loop_late late_s=0.90 busy_s=0.00 cause=not_run",
        "event=loop_late late_s=0.50 busy_s=0.60 cause=busy",
    ]


@pytest.mark.parametrize("for_s", [0.5, 2.5])
def test_only_the_daemon_that_stood_still_reports_it(for_s: float) -> None:
    """Guards against a frozen daemon that looks like a silent one in its log (issue 49)."""
    freezer, ended_at = Freezer(), 0.0

    async def scenario() -> None:
        nonlocal ended_at
        fleet = VirtualFleet()
        await fleet.start()
        await asyncio.sleep(2.0)
        await freezer.freeze(fleet.vms[1].daemon, for_s)
        ended_at = read_clock()
        await asyncio.sleep(1.0)
        fleet.close()

    with capture_reports() as lines, freezer.installed():
        run_in_virtual_time(scenario())
    assert len(lines) == 1
    late_s = float(lines[0].split("late_s=")[1].split()[0])
    assert for_s - RECONCILE_INTERVAL_S <= late_s <= for_s + 0.01
