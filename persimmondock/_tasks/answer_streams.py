"""Large answers that are on their way to callers, and what ends them."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.verdict import Answer, Answered, MayHaveRun, Reason, Verdict
from persimmondock._ports.answer_body import AnswerCutError

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._ports.answer_body import AnswerBody, ReceivedBody
    from persimmondock._ports.metrics import MetricSink


class StreamEnd(enum.StrEnum):
    """How an answer that is sent in pieces ended."""

    COMPLETE = "complete"
    CUT = "cut"  # by its source
    EXPIRED = "expired"
    CLOSED = "closed"  # by its reader, when the caller has left


class AnswerStream:
    """Body of one answer, which ends at the latest when its caller stops waiting.

    Attributes
    ----------
    on_read
        Called with the size of each piece that is read.
    """

    def __init__(self, streams: AnswerStreams, body: ReceivedBody, attempt: str, end_at: float):
        self.length = body.length
        self.body = body
        self.on_read: Callable[[int], None] = lambda _: None
        self._when_ended: list[Callable[[], None]] = []
        self._streams = streams
        self._attempt = attempt
        self._read_bytes = 0
        self._ended: StreamEnd | None = None
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(0.0, end_at - read_clock()), self._expire)

    async def read(self) -> bytes:
        """Return the next piece, or no bytes after the last one.

        Raises
        ------
        AnswerCutError
            If the body is cut short, closed, or has expired.
        """
        try:
            piece = await self.body.read()
        except AnswerCutError as error:
            self._end(StreamEnd.CUT, str(error))
            raise
        self._read_bytes += len(piece)
        self.on_read(len(piece))
        return piece

    def close(self) -> None:
        """Stop reading."""
        is_complete = self._read_bytes == self.length
        self._end(StreamEnd.COMPLETE if is_complete else StreamEnd.CLOSED, "")

    def call_at_end(self, callback: Callable[[], None]) -> None:
        """Call back when the body is closed, is cut, or has expired; at once if it has."""
        if self._ended is None:
            self._when_ended.append(callback)
        else:
            callback()

    def _expire(self) -> None:
        self._end(StreamEnd.EXPIRED, "the caller's time is over")

    def _end(self, ended: StreamEnd, detail: str) -> None:
        if self._ended is not None:
            return
        self._ended = ended
        self._timer.cancel()
        self.body.close()
        if detail:
            logger.info(
                "event=answer_stream_ended place={} attempt={} ended={} read_bytes={} length={} "
                "detail={!r}",
                self._streams.place,
                self._attempt,
                ended.value,
                self._read_bytes,
                self.length,
                detail,
            )
        self._streams.remove(self, ended)
        for callback in self._when_ended:
            callback()


class AnswerStreams:
    """The answers that one part of a daemon is sending in pieces.

    Parameters
    ----------
    place
        Name of the part in logs and metrics.
    """

    def __init__(self, place: str, metrics: MetricSink) -> None:
        self.place = place
        self._metrics = metrics
        self._open: set[AnswerStream] = set()

    def __len__(self) -> int:
        """Return the number of answers that are not complete."""
        return len(self._open)

    @property
    def waiting_bytes(self) -> int:
        """Bytes that wait here for their readers."""
        return sum(stream.body.waiting_bytes for stream in self._open)

    def open(self, body: ReceivedBody, attempt: str, end_at: float) -> AnswerStream:
        """Return the stream of a body, which is closed at ``end_at`` unless it ends sooner."""
        stream = AnswerStream(self, body, attempt, end_at)
        self._open.add(stream)
        return stream

    def remove(self, stream: AnswerStream, ended: StreamEnd) -> None:
        """Record that a stream has ended."""
        self._open.discard(stream)
        self._metrics.count(f"streams.{self.place}.{ended.value}")


def find_stream(verdict: Verdict) -> AnswerBody | None:
    """Return the body of an answer that is sent in pieces, or None."""
    return verdict.answer.stream if isinstance(verdict, Answered) else None


async def collect_answer(answer: Answer) -> Verdict:
    """Return an answer with its whole body, for a receiver that takes no pieces."""
    stream = answer.stream
    if stream is None:
        return Answered(answer)
    pieces = []
    try:
        while piece := await stream.read():
            pieces.append(piece)
    except AnswerCutError:
        return MayHaveRun(Reason.ANSWER_TRUNCATED)
    finally:
        stream.close()
    return Answered(Answer(answer.status, answer.headers, b"".join(pieces)))
