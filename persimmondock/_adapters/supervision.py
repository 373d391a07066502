"""Work that goes on for as long as its owner, whatever happens to it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

RESTART_S = 1.0


async def keep_running(name: str, run: Callable[[], Coroutine[None, None, None]]) -> None:
    """Run something again whenever it ends by itself, until cancelled.

    Parameters
    ----------
    name
        Stands in the log for what ended.
    """
    while True:
        try:
            await run()
            log_end(name, None)
        except Exception as error:
            log_end(name, error)
        await asyncio.sleep(RESTART_S)


def log_end(name: str, error: BaseException | None) -> None:
    """Log that a task ended that should not."""
    logger.opt(exception=error).error("event=task_failed task={} error={!r}", name, error)
