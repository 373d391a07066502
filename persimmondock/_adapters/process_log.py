"""Lines about a process's start and unexpected end, before logging is configured.

Only small modules of the standard library are imported here: importing the rest may be what fails.
"""

from __future__ import annotations

import contextlib
import os
import stat
import sys
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType

EXIT_FAILED = 1


def report_start(descriptor: int) -> None:
    """Write that this process has started, and from now on why it ends if nothing catches it.

    Parameters
    ----------
    descriptor
        File descriptor of the log.
    """
    version = ".".join(map(str, sys.version_info[:3]))
    machine = os.uname().machine
    _write_line(
        descriptor,
        f"level=INFO event=process_started pid={os.getpid()} python={version} machine={machine}",
    )

    def report_uncaught(
        kind: type[BaseException], error: BaseException, trace: TracebackType | None
    ) -> None:
        _write_line(
            descriptor,
            f"level=ERROR event=process_ended reason={describe_error(error)!r} code={EXIT_FAILED}",
        )
        sys.__excepthook__(kind, error, trace)

    sys.excepthook = report_uncaught


def describe_error(error: BaseException) -> str:
    """Return the type, message and place of an error in one line."""
    trace = error.__traceback__
    place = ""
    while trace is not None:
        name = os.path.basename(trace.tb_frame.f_code.co_filename)
        place = f" at {name}:{trace.tb_lineno}"
        trace = trace.tb_next
    return " ".join(f"{type(error).__name__}: {error}{place}".split())


def _write_line(descriptor: int, text: str) -> None:
    """Write a line without waiting for its reader, or drop it."""
    now = time.time()
    instant = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(now))
    line = f"time={instant}.{int(now * 1000) % 1000:03}+0000 {text}\n"
    with contextlib.suppress(OSError):
        if not stat.S_ISREG(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)
        os.write(descriptor, line.encode())
