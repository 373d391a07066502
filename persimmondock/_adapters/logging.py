"""Log lines of events on standard error, bounded for each event name."""

from __future__ import annotations

import re
import sys
from collections import Counter
from typing import TYPE_CHECKING, Any

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

LOG_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level} {message}"
MAX_LINES_PER_SECOND = 10
EVENT_NAME = re.compile(r"event=(\w+)")


class BoundedLog:
    """Writes at most a number of lines a second for each event name, and counts the others.

    Parameters
    ----------
    write
        Takes a line with its end.
    limit
        Lines a second for each event name.
    """

    def __init__(self, write: Callable[[str], object], limit: int = MAX_LINES_PER_SECOND) -> None:
        self._write = write
        self._limit = limit
        self._second = 0
        self._written: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()

    def take(self, message: Any) -> None:
        """Write a line, or count it; used as a sink of loguru."""
        record = message.record
        second = int(record["time"].timestamp())
        if second != self._second:
            self._start_second(second, record["time"].isoformat(timespec="milliseconds"))
        found = EVENT_NAME.match(record["message"])
        name = found.group(1) if found else "-"
        if self._written[name] >= self._limit:
            self._dropped[name] += 1
            return
        self._written[name] += 1
        self._write(str(message))

    def _start_second(self, second: int, time: str) -> None:
        """Say how many lines of the last second with lines were dropped."""
        for name, count in sorted(self._dropped.items()):
            self._write(
                f"time={time} level=WARNING event=log_lines_dropped name={name} count={count}\n"
            )
        self._second = second
        self._written.clear()
        self._dropped.clear()


def configure_logging(level: str) -> None:
    """Write one key=value line for each event to standard error."""
    logger.remove()
    bounded = BoundedLog(_write_error_line)
    logger.add(bounded.take, level=level, format=LOG_FORMAT, backtrace=False, diagnose=False)


def _write_error_line(line: str) -> None:
    sys.stderr.write(line)
    sys.stderr.flush()
