"""Order of the requests and answers of one connection.

A caller may send further requests before the first one is answered, and counts answers by their
order alone. Requests that may be repeated run side by side. Any other request begins once those
before it are answered on a connection that stays open, and those behind it wait for its answer; so
a caller may send again whatever it sent behind an answer that closes the connection.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Generic, TypeVar

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

RequestT = TypeVar("RequestT")
AnswerT = TypeVar("AnswerT")


@attrs.frozen
class PipelineLimits:
    """Bounds for one connection.

    Parameters
    ----------
    side_by_side
        Requests that run, or whose answers are not sent yet.
    waiting
        Requests that are read and not begun before reading pauses.
    held_bytes
        Bytes of such requests and of answers not sent yet before reading pauses and nothing more
        is begun behind an unanswered request.
    """

    side_by_side: int = 8
    waiting: int = 32
    held_bytes: int = 512 * 1024


@attrs.define(eq=False)
class Exchange(Generic[RequestT, AnswerT]):
    """A request and its answer.

    Parameters
    ----------
    answer
        The answer, or None before it is complete.
    held_bytes
        Bytes of the request before it has begun, then those of its unsent answer.
    request_bytes
        Bytes of the request that `held_bytes` does not count.
    """

    request: RequestT
    answer: AnswerT | None = None
    held_bytes: int = 0
    request_bytes: int = 0
    _may_overlap: bool | None = None

    def may_overlap(self, decide: Callable[[RequestT], bool]) -> bool:
        """Return whether the request may run beside others; decided once."""
        if self._may_overlap is None:
            self._may_overlap = decide(self.request)
        return self._may_overlap


class Pipeline(Generic[RequestT, AnswerT]):
    """Requests of one connection, from their arrival until their answers are sent.

    Parameters
    ----------
    may_overlap
        Returns whether a request may run beside others of its connection.

    Attributes
    ----------
    held_bytes
        Bytes of requests that wait and of answers that are not sent.
    request_bytes
        Bytes of requests that `held_bytes` does not count: bodies once their requests have begun,
        and all headers.
    ended
        Whether the connection closes once the requests in the pipeline are answered.
    """

    def __init__(self, limits: PipelineLimits, may_overlap: Callable[[RequestT], bool]) -> None:
        self._limits = limits
        self._may_overlap = may_overlap
        self._exchanges: deque[Exchange[RequestT, AnswerT]] = deque()
        self._begun = 0
        self.held_bytes = 0
        self.request_bytes = 0
        self.ended = False

    def __len__(self) -> int:
        return len(self._exchanges)

    @property
    def waiting(self) -> int:
        """Number of requests that have not begun."""
        return len(self._exchanges) - self._begun

    @property
    def is_full(self) -> bool:
        """Whether no more should be read from the connection."""
        limits = self._limits
        return self.waiting > limits.waiting or (
            self.held_bytes >= limits.held_bytes and len(self._exchanges) > 0
        )

    def add(self, request: RequestT, size: int, header_bytes: int = 0) -> None:
        """Add a request behind the others, unless the pipeline has ended.

        Parameters
        ----------
        size
            Bytes that count towards the limit on what waits.
        header_bytes
            Further bytes that are held until the request is answered.
        """
        if not self.ended:
            self._exchanges.append(Exchange(request, held_bytes=size, request_bytes=header_bytes))
            self.held_bytes += size
            self.request_bytes += header_bytes

    def add_refusal(self, request: RequestT, answer: AnswerT) -> None:
        """Add a request that is answered already, and is the last one."""
        if not self.ended:
            self._exchanges.append(Exchange(request, answer))
            self.ended = True

    def begin_next(self) -> Exchange[RequestT, AnswerT] | None:
        """Return the next request that is to run now, or None if there is none."""
        if self._begun == len(self._exchanges):
            return None
        exchange = self._exchanges[self._begun]
        if exchange.answer is not None:
            return None
        if self._begun > 0 and not self._may_begin_behind(exchange):
            return None
        self._begun += 1
        exchange.request_bytes += exchange.held_bytes
        self.request_bytes += exchange.held_bytes
        self.set_held(exchange, 0)
        return exchange

    def _may_begin_behind(self, exchange: Exchange[RequestT, AnswerT]) -> bool:
        """Return whether a request may begin while others before it are not answered."""
        if self._begun >= self._limits.side_by_side or self.held_bytes >= self._limits.held_bytes:
            return False
        return exchange.may_overlap(self._may_overlap) and self._exchanges[0].may_overlap(
            self._may_overlap
        )

    def is_first(self, exchange: Exchange[RequestT, AnswerT]) -> bool:
        """Return whether all requests before this one are answered."""
        return bool(self._exchanges) and self._exchanges[0] is exchange

    def set_held(self, exchange: Exchange[RequestT, AnswerT], size: int) -> None:
        """Record how many bytes of a request or of its answer wait."""
        self.held_bytes += size - exchange.held_bytes
        exchange.held_bytes = size

    def find_first_answer(self) -> AnswerT | None:
        """Return the answer that is to be sent next, or None while it is not there."""
        return self._exchanges[0].answer if self._exchanges else None

    def pop(self) -> Exchange[RequestT, AnswerT]:
        """Remove the first request, as its answer is being sent."""
        exchange = self._exchanges.popleft()
        self._begun = max(0, self._begun - 1)
        self._release(exchange)
        return exchange

    def _release(self, exchange: Exchange[RequestT, AnswerT]) -> None:
        self.set_held(exchange, 0)
        self.request_bytes -= exchange.request_bytes
        exchange.request_bytes = 0

    def end(self) -> None:
        """Accept no more requests; those in the pipeline are answered."""
        self.ended = True

    def stop(self) -> None:
        """Accept no more requests, and drop those that have not begun.

        Their caller learns by the closing of the connection that they were not passed on.
        """
        self.ended = True
        while len(self._exchanges) > self._begun:
            self._release(self._exchanges.pop())
