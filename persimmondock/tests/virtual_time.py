"""Runs coroutines in virtual time: waiting takes no real time."""

from __future__ import annotations

import asyncio
import selectors
import types
from collections.abc import Coroutine
from typing import Any, TypeVar
from unittest import mock

from persimmondock._adapters import clock

T = TypeVar("T")
START_S = 1_000.0


class _VirtualSelector(selectors.DefaultSelector):
    """A selector that advances the clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = START_S

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError("all tasks wait for events that nothing in virtual time causes")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


def run_in_virtual_time(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in a loop of its own; `read_clock` returns the loop's time meanwhile."""
    loop = VirtualLoop()
    shim = types.SimpleNamespace(CLOCK_BOOTTIME=0, clock_gettime=lambda _: loop.time())
    with (
        mock.patch.object(clock, "time", shim),
        asyncio.Runner(loop_factory=lambda: loop) as runner,
    ):
        return runner.run(coroutine)
