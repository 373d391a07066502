"""Log lines on standard error, rate-limited for each event name."""

from __future__ import annotations

import os
import re
import stat
import sys
from collections import Counter
from typing import TYPE_CHECKING, Any, TextIO

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

LOG_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level} {message}"
MAX_LINES_PER_SECOND = 10
EVENT_NAME = re.compile(r"event=(\w+)")


class RateLimitedSink:
    """Loguru sink that limits the lines per second for each event name and counts dropped lines.

    Parameters
    ----------
    write
        Called with each line, including its newline.
    limit
        Maximum number of lines per second for each event name.
    """

    def __init__(self, write: Callable[[str], object], limit: int = MAX_LINES_PER_SECOND) -> None:
        self._write = write
        self._limit = limit
        self._second = 0
        self._written: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()

    def emit(self, message: Any) -> None:
        """Write a line, or count it as dropped."""
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
        """Write how many lines were dropped in the last second that had lines, and reset."""
        for name, count in sorted(self._dropped.items()):
            self._write(
                f"time={time} level=WARNING event=log_lines_dropped name={name} count={count}\n"
            )
        self._second = second
        self._written.clear()
        self._dropped.clear()


def configure_logging(level: str, stream: TextIO | None = None) -> None:
    """Write one key=value line for each event to a stream, by default standard error."""
    logger.remove()
    sink = RateLimitedSink(NonBlockingWriter(stream or sys.stderr).write)
    logger.add(sink.emit, level=level, format=LOG_FORMAT, backtrace=False, diagnose=False)


class NonBlockingWriter:
    """Writes lines to a stream without waiting for its reader.

    Parameters
    ----------
    stream
        A stream with a file descriptor is written to without blocking. Lines that do not fit are
        dropped and counted; the count is written before the next line that fits.
    """

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self._lost_lines = 0
        self._unwritten = b""
        try:
            self._descriptor: int | None = stream.fileno()
            if not stat.S_ISREG(os.fstat(self._descriptor).st_mode):
                os.set_blocking(self._descriptor, False)
        except (OSError, ValueError):
            self._descriptor = None

    def write(self, line: str) -> None:
        """Write a line, or count it as lost."""
        if self._descriptor is None:
            self._stream.write(line)
            self._stream.flush()
            return
        if self._lost_lines:
            line = f"level=WARNING event=log_reader_slow lines_lost={self._lost_lines}\n{line}"
        data = self._unwritten or line.encode()
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            self._lost_lines += 1
            return
        if self._unwritten:
            # The rest of an earlier line was written instead of this one.
            self._lost_lines += 1
        elif written == len(data):
            self._lost_lines = 0
        self._unwritten = data[written:]
