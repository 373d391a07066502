"""Tasks that run for as long as the daemon does."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from persimmondock._adapters.process_log import describe_error
from persimmondock._adapters.supervision import keep_running, log_end

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine


class TaskGroup:
    """The tasks of one daemon.

    Parameters
    ----------
    on_failure
        Called when a task that the daemon cannot do without has ended by itself.

    Attributes
    ----------
    failure
        Name of the first such task, and why it ended, or an empty string.
    """

    def __init__(self, on_failure: Callable[[], None]) -> None:
        self.failure = ""
        self._on_failure = on_failure
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, name: str, coroutine: Coroutine[None, None, None]) -> None:
        """Run a task without which the daemon has to stop."""
        task = asyncio.create_task(coroutine, name=name)
        task.add_done_callback(self._record_end)
        self._tasks.append(task)

    def start_auxiliary(self, name: str, run: Callable[[], Coroutine[None, None, None]]) -> None:
        """Run a task that is started again if it ends; the daemon serves without it meanwhile."""
        self.start(name, keep_running(name, run))

    def cancel(self) -> None:
        """End all tasks."""
        for task in self._tasks:
            task.cancel()

    def _record_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        error = task.exception()
        log_end(task.get_name(), error)
        if not self.failure:
            why = "it returned" if error is None else describe_error(error)
            self.failure = f"task {task.get_name()} ended: {why}"
        self._on_failure()
