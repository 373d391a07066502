"""Interface to the body of an answer that is read in pieces."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable


class AnswerCutError(Exception):
    """The answer ended before its whole body arrived; what was read of it is incomplete."""


class AnswerBody(Protocol):
    """Body of an answer, in pieces that are produced as fast as they are read.

    Attributes
    ----------
    length
        Bytes of the whole body.
    """

    length: int

    async def read(self) -> bytes:
        """Return the next piece, or no bytes after the last one.

        Raises
        ------
        AnswerCutError
            If the body is cut short.
        """

    def close(self) -> None:
        """Stop reading; the source frees what it holds. Has no effect after the last piece."""


class ReceivedBody(AnswerBody, Protocol):
    """Body that arrives from elsewhere and waits here for its reader.

    Attributes
    ----------
    waiting_bytes
        Bytes that wait.
    """

    waiting_bytes: int

    @property
    def is_complete(self) -> bool:
        """Whether the whole body has arrived."""

    def call_when_received(self, callback: Callable[[], None]) -> None:
        """Call back once the whole body has arrived, or it is cut or closed."""
