"""Log lines of events on standard error."""

from __future__ import annotations

import sys

from loguru import logger

LOG_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level} {message}"


def configure_logging(level: str) -> None:
    """Write one key=value line for each event to standard error."""
    logger.remove()
    logger.add(sys.stderr, level=level, format=LOG_FORMAT, backtrace=False, diagnose=False)
