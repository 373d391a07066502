"""Turns of the large answers of one daemon on the link of its VM."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.link_budget import LinkRate

if TYPE_CHECKING:
    from collections.abc import Callable


class PieceLink:
    """Sends pieces of large answers one at a time, no faster than the link.

    A lock wakes its waiters in the order in which they came, and pieces have a bounded size, so
    streams share the link evenly.

    Attributes
    ----------
    rate
        Pace of the link.
    """

    def __init__(self) -> None:
        self.rate = LinkRate()
        self._turn = asyncio.Lock()

    def record(self, size: int) -> None:
        """Record that a message was sent."""
        self.rate.record(size, read_clock())

    async def send_in_turn(self, send: Callable[[], None]) -> None:
        """Send a piece once it is its turn and the link is free."""
        async with self._turn:
            while (wait_s := self.rate.compute_wait(read_clock())) > 0:
                await asyncio.sleep(wait_s)
            send()
