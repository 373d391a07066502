"""The task that reports metrics, and the middleware that measures requests of callers."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from aiohttp import web

from persimmondock._tasks.dumping import compute_lease_left_ms

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from persimmondock._domain.membership import Membership
    from persimmondock._ports.metrics import MetricSink
    from persimmondock._tasks.exchange import Exchange
    from persimmondock._tasks.gate import Gate
    from persimmondock._tasks.log_follower import LogWriter

REPORT_INTERVAL_S = 1.0
VERDICT_HEADER = "Persimmondock-Verdict"
REASON_HEADER = "Persimmondock-Reason"


class Reporter:
    """Sends metrics of the other tasks to a sink every ``REPORT_INTERVAL_S`` seconds.

    Attributes
    ----------
    closes_connections
        Whether connections of callers are closed after each response, as during shutdown.
    """

    def __init__(
        self,
        sink: MetricSink,
        membership: Membership,
        gate: Gate,
        exchange: Exchange,
        writer: LogWriter,
    ) -> None:
        self._sink = sink
        self._membership = membership
        self._gate = gate
        self._exchange = exchange
        self._writer = writer
        self._reported_calls = 0
        self._reported_appends = 0
        self.closes_connections = False

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self.report(time.monotonic())

    def report(self, now: float) -> None:
        """Send gauges and the increase of counters since the last report."""
        sink, membership = self._sink, self._membership
        lease_left_ms = compute_lease_left_ms(membership, now)
        if lease_left_ms is not None:
            sink.set_gauge("lease_left_ms", max(0, lease_left_ms))
        sink.set_gauge("view_offset", membership.view.offset)
        sink.set_gauge("members", len(membership.view.members))
        sink.set_gauge("handovers_waiting", len(membership.unreleased))
        sink.set_gauge("in_flight", self._gate.count_in_flight())
        sink.set_gauge("request_table", len(self._gate.table))
        backend_states = self._gate.describe_backends().values()
        sink.set_gauge("queued", sum(backend_state.waiting for backend_state in backend_states))
        sink.set_gauge(
            "concurrency_level", sum(backend_state.level for backend_state in backend_states)
        )
        sink.set_gauge("suspects", len(self._gate.suspects.registry))
        sink.count("forwards", self._exchange.calls - self._reported_calls)
        sink.count("appends", self._writer.appends - self._reported_appends)
        self._reported_calls = self._exchange.calls
        self._reported_appends = self._writer.appends
        sink.flush()

    def build_middleware(self) -> Callable[..., Awaitable[web.StreamResponse]]:
        """Return the middleware that measures requests of callers."""

        @web.middleware
        async def observe(
            request: web.Request,
            handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
        ) -> web.StreamResponse:
            started = time.monotonic()
            response = await handler(request)
            self._observe(response, (time.monotonic() - started) * 1000)
            return response

        return observe

    def _observe(self, response: web.StreamResponse, milliseconds: float) -> None:
        """Record a response; close its connection if the daemon is shutting down."""
        verdict = response.headers.get(VERDICT_HEADER, "none")
        reason = response.headers.get(REASON_HEADER, "")
        self._sink.count(f"requests.{verdict}.{reason}" if reason else f"requests.{verdict}")
        self._sink.time(f"request_ms.{verdict}", milliseconds)
        if self.closes_connections:
            response.force_close()
