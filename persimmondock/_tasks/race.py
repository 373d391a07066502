"""A race between an attempt and a second one that starts when the first is late."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from persimmondock._domain.verdict import Answered, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any


async def race_attempts(
    first: Coroutine[Any, Any, Verdict],
    start_second: Callable[[], Coroutine[Any, Any, Verdict] | None],
    delay_s: float,
) -> list[Verdict]:
    """Run an attempt, and after a delay a second one; the first answer cancels the other.

    Returns
    -------
    list of Verdict
        How the attempts ended, in that order; an answer is the last one.
    """
    tasks = [asyncio.create_task(first)]
    try:
        await asyncio.wait(tasks, timeout=delay_s)
        second = None if tasks[0].done() else start_second()
        if second is not None:
            tasks.append(asyncio.create_task(second))
        return await _collect_until_answered(tasks)
    finally:
        for task in tasks:
            task.cancel()


async def _collect_until_answered(tasks: list[asyncio.Task[Verdict]]) -> list[Verdict]:
    verdicts: list[Verdict] = []
    pending = set(tasks)
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            verdicts.append(task.result())
            if isinstance(verdicts[-1], Answered):
                return verdicts
    return verdicts
