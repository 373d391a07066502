"""Body of an answer whose pieces wait in memory for their reader."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from persimmondock._domain.memory_budget import MemoryAccount, MemoryBudget
from persimmondock._ports.answer_body import AnswerCutError

if TYPE_CHECKING:
    from collections.abc import Callable

CLOSED_DETAIL = "closed by its reader"
SMALL_PIECE_BYTES = 1024  # pieces up to this size are merged, as each costs an object


class BufferedBody:
    """Implements `AnswerBody` between a source that calls `feed` and one reader.

    Parameters
    ----------
    length
        Bytes of the whole body.
    held
        Account of the bytes that wait, together with those of other bodies.

    Attributes
    ----------
    waiting_bytes
        Bytes that wait for the reader.
    on_read
        Called with the number of bytes that were read, for the source to go on.
    on_abandoned
        Called if the body is closed before all of it was received.
    """

    def __init__(self, length: int, held: MemoryAccount | None = None) -> None:
        self.length = length
        self.waiting_bytes = 0
        self.on_read: Callable[[int], None] = lambda _: None
        self.on_abandoned: Callable[[], None] = lambda: None
        self._held = held if held is not None else MemoryAccount(MemoryBudget())
        self._pieces: deque[bytes] = deque()
        self._missing = length
        self._cut = ""
        self._is_closed = False
        self._waiter: asyncio.Future[None] | None = None
        self._when_received: list[Callable[[], None]] = []

    @property
    def is_received(self) -> bool:
        """Whether the source has nothing more to send: the body is complete or cut."""
        return not self._missing or bool(self._cut)

    @property
    def is_complete(self) -> bool:
        """Whether the whole body was received."""
        return not self._missing

    def call_when_received(self, callback: Callable[[], None]) -> None:
        """Call back once `is_received`, at once if it is already."""
        if self.is_received:
            callback()
        else:
            self._when_received.append(callback)

    def feed(self, data: bytes) -> None:
        """Add received bytes; the body is cut if they exceed its length or the memory."""
        if self._cut or not data:
            return
        if len(data) > self._missing:
            self.cut(f"longer than its length of {self.length} bytes")
            return
        if not self._is_closed:
            if not self._held.add(len(data)):
                self.cut("no memory for it")
                return
            self.waiting_bytes += len(data)
            if self._pieces and len(self._pieces[-1]) + len(data) <= SMALL_PIECE_BYTES:
                self._pieces[-1] += data
            else:
                self._pieces.append(data)
        self._missing -= len(data)
        self._wake_reader()
        if not self._missing:
            self._notify_received()

    def cut(self, detail: str) -> None:
        """End the body before it is complete; what was not read yet is dropped."""
        if self.is_received:
            return
        self._cut = detail
        self._drop_waiting()
        self._wake_reader()
        self._notify_received()

    async def read(self) -> bytes:
        """Return the next piece, or no bytes after the last one.

        Raises
        ------
        AnswerCutError
            If the body is cut short or closed.
        """
        while not self._pieces:
            if self._cut or self._is_closed:
                raise AnswerCutError(self._cut or CLOSED_DETAIL)
            if not self._missing:
                return b""
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        piece = self._pieces.popleft()
        self._release_waiting(len(piece))
        self.on_read(len(piece))
        return piece

    def close(self) -> None:
        """Stop reading; the source is told unless it has sent everything."""
        if self._is_closed:
            return
        self._is_closed = True
        self._drop_waiting()
        if not self.is_received:
            self.on_abandoned()
            self.cut(CLOSED_DETAIL)
        self._wake_reader()

    def _release_waiting(self, size: int) -> None:
        self.waiting_bytes -= size
        self._held.release(size)

    def _drop_waiting(self) -> None:
        self._pieces.clear()
        self._release_waiting(self.waiting_bytes)

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _notify_received(self) -> None:
        callbacks, self._when_received = self._when_received, []
        for callback in callbacks:
            callback()
