"""Finds in the daemons' logs when their event loops were late."""

from __future__ import annotations

import re
from collections import defaultdict
from datetime import datetime
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from persimmondock.soak.checks import Span

LATE_LINE = re.compile(
    r"time=(?P<time>\S+) .*event=loop_late late_s=(?P<late>[\d.]+) busy_s=(?P<busy>[\d.]+)"
)
OUTAGE_TOLERANCE_S = 0.3  # a task is due up to 0.1 s after a freeze begins


@attrs.frozen
class LateLoop:
    """A time in which the event loop of a process ran nothing that was due.

    Parameters
    ----------
    start, end
        Instants of the monotonic clock at which the loop was due to run, and ran.
    busy_s
        Processor seconds that the process used meanwhile.
    planned
        Whether the plan froze the process at that time.
    """

    process: str
    start: float
    end: float
    busy_s: float
    planned: bool = False


def read_late_loops(
    folder: Path, clock_offset_s: float, outages: Sequence[Span]
) -> tuple[LateLoop, ...]:
    """Return what the daemons' logs in a folder tell of late event loops.

    Parameters
    ----------
    clock_offset_s
        What the time of day is ahead of the monotonic clock.
    outages
        When the plan took daemons away.
    """
    found = []
    for path in sorted(folder.glob("vm-*.log")):
        for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
            if (match := LATE_LINE.match(line)) is None:
                continue
            end = datetime.fromisoformat(match["time"]).timestamp() - clock_offset_s
            start = end - float(match["late"])
            planned = any(
                outage.subject == path.stem
                and abs(outage.start - start) <= OUTAGE_TOLERANCE_S
                and abs(outage.end - end) <= OUTAGE_TOLERANCE_S
                for outage in outages
            )
            found.append(LateLoop(path.stem, start, end, float(match["busy"]), planned))
    return tuple(found)


def render_late_loops(
    late_loops: Sequence[LateLoop], start: float, end: float, started_at: float
) -> list[str]:
    """Return lines on the event loops that were late between two instants."""
    return [
        f"    {item.process} late by {item.end - item.start:.2f} s until "
        f"{item.end - started_at:.2f} s, busy for {item.busy_s:.2f} s"
        + (", frozen by the plan" if item.planned else "")
        for item in sorted(late_loops, key=lambda item: item.end)
        if item.start < end and item.end > start
    ]


def summarize_late_loops(late_loops: Sequence[LateLoop]) -> list[str]:
    """Return a line for each process whose event loop was late, but for what the plan froze."""
    by_process: dict[str, list[LateLoop]] = defaultdict(list)
    for item in late_loops:
        if not item.planned:
            by_process[item.process].append(item)
    lines = []
    for process, items in sorted(by_process.items()):
        worst = max(items, key=lambda item: item.end - item.start)
        lines.append(
            f"{process}: event loop late {len(items)} times, by up to "
            f"{worst.end - worst.start:.2f} s, then busy for {worst.busy_s:.2f} s"
        )
    return lines
