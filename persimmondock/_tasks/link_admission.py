"""Admits requests of other daemons whose large answers the link can send in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.link_budget import LinkBudget
from persimmondock._domain.verdict import Answer, Answered, NotRun, Reason, Verdict
from persimmondock._tasks.answer_streams import AnswerStream, find_stream

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from persimmondock._domain.forwarding import ForwardedRequest
    from persimmondock._ports.metrics import MetricSink

SUCCESS_STATUSES = range(200, 300)


class LinkAdmission:
    """Accounts for the answers that are sent over the link of this VM.

    Attributes
    ----------
    budget
        What the link is expected to send.
    """

    def __init__(self, metrics: MetricSink) -> None:
        self.budget = LinkBudget()
        self._metrics = metrics

    def learn(self, request: ForwardedRequest, answer: Answer) -> None:
        """Record the size of an answer, from any daemon."""
        if answer.status in SUCCESS_STATUSES:
            stream = answer.stream
            size = len(answer.body) if stream is None else stream.length
            self.budget.learn(request.route, size)

    async def run(
        self, request: ForwardedRequest, run: Callable[[ForwardedRequest], Awaitable[Verdict]]
    ) -> Verdict:
        """Run a request, or refuse it if the link cannot send its answer in time."""
        now = read_clock()
        retry_after_ms = self.budget.find_refusal_ms(
            request.route, now, request.objective_at, request.deadline
        )
        if retry_after_ms is not None:
            self._metrics.count("refusals.link_full")
            logger.info(
                "event=link_full attempt={} route={} queued_bytes={:.0f} wait_ms={:.0f} "
                "left_ms={:.0f} retry_after_ms={}",
                request.attempt,
                request.route,
                self.budget.queued_bytes,
                1000 * self.budget.wait_s,
                1000 * (request.deadline - now),
                retry_after_ms,
            )
            return NotRun(Reason.OVERLOADED, retry_after_ms)
        token = object()
        self.budget.reserve(token, request.route)
        stream = None
        try:
            verdict = await run(request)
            stream = find_stream(verdict)
        finally:
            if stream is None:
                self.budget.release(token)
        if isinstance(verdict, Answered):
            self.learn(request, verdict.answer)
        if isinstance(stream, AnswerStream):
            self.budget.record_length(token, stream.length)
            stream.on_read = lambda size: self.budget.record_sent(token, size)
            stream.call_at_end(lambda: self.budget.release(token))
        return verdict
