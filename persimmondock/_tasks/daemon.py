"""One daemon: builds, runs and shuts down its tasks."""

from __future__ import annotations

import asyncio
import os
import time
from typing import TYPE_CHECKING, Any

import aiohttp
from loguru import logger

from persimmondock._adapters.addresses import wait_until_free
from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.listeners import Listener, ListenerBounds
from persimmondock._adapters.log_client import HttpLog
from persimmondock._adapters.metrics import StatsdMetrics
from persimmondock._adapters.peer_link import PeerTransport
from persimmondock._adapters.signals import SignalInbox
from persimmondock._domain.leases import LeaseTiming
from persimmondock._domain.membership import Identity, Membership
from persimmondock._ports.metrics import MetricSink, NoMetrics
from persimmondock._tasks.control import Control, LeaveRequested, PeerMessage
from persimmondock._tasks.exchange import Exchange
from persimmondock._tasks.front import Front
from persimmondock._tasks.gate import Gate
from persimmondock._tasks.log_follower import LogFollower, LogWriter
from persimmondock._tasks.operator import OperatorApi
from persimmondock._tasks.reporter import Reporter

if TYPE_CHECKING:
    from aiohttp import web

    from persimmondock._domain.messages import Message
    from persimmondock.settings import Settings

POLL_INTERVAL_S = 0.05
MAX_OPERATOR_CONNECTIONS = 256
VIEW_STABLE_S = 1.0
CALLER_LINGER_S = 0.5
FORMER_PROCESS_MARGIN_S = 2.0  # for what follows the end of its stop


class DaemonError(Exception):
    """A task of the daemon failed; the failure has been logged."""


class Daemon:
    """All tasks of one daemon."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._stopping = asyncio.Event()
        self._failed = False
        self._tasks: list[asyncio.Task[None]] = []
        self._listeners: list[Listener] = []

    async def run(self, inbox: SignalInbox | None = None) -> None:
        """Serve until a signal asks to stop, then shut down gracefully.

        Parameters
        ----------
        inbox
            Where signals are recorded, or None to serve without them.

        Raises
        ------
        OSError
            If an address cannot be bound.
        DaemonError
            If a task failed.
        """
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(_log_stray_error)
        with (inbox or SignalInbox()).deliver(loop, self._stopping.set, lambda: None):
            if await self._wait_for_addresses():
                await self._serve()
        if self._failed:
            raise DaemonError(self._settings.daemon)
        logger.info("event=daemon_stopped daemon={}", self._settings.daemon)

    async def _wait_for_addresses(self) -> bool:
        """Wait until a former process has left all addresses; return whether to serve.

        Raises
        ------
        OSError
            If the former process takes longer than a stop may take, or an address cannot be used.
        """
        identity = build_identity(self._settings)
        addresses = (
            identity.peer_address,
            identity.data_address,
            identity.operator_address,
            identity.caller_address,
        )
        deadline = read_clock() + self._settings.stop_within_s + FORMER_PROCESS_MARGIN_S
        waiting = asyncio.create_task(wait_until_free(addresses, deadline))
        stopping = asyncio.create_task(self._stopping.wait())
        await asyncio.wait([waiting, stopping], return_when=asyncio.FIRST_COMPLETED)
        waiting.cancel()
        stopping.cancel()
        if waiting.done():
            waiting.result()
        return not self._stopping.is_set()

    async def _serve(self) -> None:
        async with aiohttp.ClientSession() as session:
            self._build(session)
            try:
                await self._start()
                logger.info("event=daemon_started daemon={}", self._settings.daemon)
                await self._stopping.wait()
                if not self._failed:
                    await self._leave()
                    await self._close_callers()
            finally:
                await self._close()

    def _build(self, session: aiohttp.ClientSession) -> None:
        settings = self._settings
        log = HttpLog(settings.log, session)
        timing = LeaseTiming(term_s=settings.lease_term_s, renew_interval_s=settings.renew_every_s)
        self.membership = Membership(
            identity=build_identity(settings),
            timing=timing,
            # Lambdas, because the gate needs the membership and is created after it.
            is_busy=lambda ref: self.gate.is_busy(ref),
            collect_kept=lambda ref: self.gate.collect_kept(ref),
        )
        self.gate = Gate(self.membership, frozenset(settings.gate_without))
        self.exchange = Exchange(self.gate)
        self.follower = LogFollower(log, lambda: self.membership.view.offset)
        self.writer = LogWriter(log)
        self.control = Control(
            self.membership, self.gate, self.exchange, self.follower, self.writer, settings.peers
        )
        self.control.report_failure = lambda error: self.fail("control", error)
        self.front = Front(self.membership, self.gate, self.exchange)
        self.reporter = Reporter(
            build_sink(settings), self.membership, self.gate, self.exchange, self.writer
        )
        self.operator = OperatorApi(self.membership, self.gate, self.control.inbox)
        identity = self.membership.identity
        self.peer_transport = PeerTransport(
            settings.daemon,
            identity.peer_address,
            self._handle_control_message,
            _log_refused_frame,
            settings.peer_key,
        )
        self.data_transport = PeerTransport(
            settings.daemon,
            identity.data_address,
            self.exchange.receive,
            _log_refused_frame,
            settings.peer_key,
        )

    def fail(self, task: str, error: BaseException) -> None:
        """Log an unexpected error and stop without handing over slices.

        A daemon whose state may be inconsistent must not serve; its leases expire and other members
        take over.
        """
        logger.error(
            "event=daemon_failed task={} error={!r} at={}", task, error, locate_error(error)
        )
        self._failed = True
        self._stopping.set()

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            self.fail(task.get_name(), error)

    def _handle_control_message(self, message: Message, address: str) -> None:
        self.control.inbox.on_next(PeerMessage(message, address))

    async def _start(self) -> None:
        settings = self._settings
        await self.peer_transport.start()
        await self.data_transport.start()
        self.control.attach(self.peer_transport)
        self.exchange.attach(self.data_transport)
        callers = self.front.build_application()
        callers.middlewares.insert(0, self.reporter.build_middleware())
        self._caller_listener = self._add_listener(
            callers, settings.caller_port, settings.caller_connections
        )
        operators = self.operator.build_application()
        await self._add_listener(
            operators, settings.operator_port, MAX_OPERATOR_CONNECTIONS
        ).start()
        for component in (self.follower, self.writer, self.control, self.reporter):
            task = asyncio.create_task(component.run(), name=type(component).__name__)
            task.add_done_callback(self._handle_task_end)
            self._tasks.append(task)
        opening = asyncio.create_task(self._open_callers(), name="Front")
        opening.add_done_callback(self._handle_task_end)
        self._tasks.append(opening)

    async def _open_callers(self) -> None:
        """Accept callers once the view is complete, so that no service is missing from it."""
        await self._wait_for_view()
        await self._caller_listener.start()
        logger.info("event=callers_accepted view_offset={}", self.membership.view.offset)

    async def _wait_for_view(self) -> None:
        """Wait until the end of the log has been read.

        During an outage of the log, wait until a view from peers has not changed for
        ``VIEW_STABLE_S`` seconds.
        """
        offset, changed_at = 0, time.monotonic()
        while not self.membership.caught_up:
            now = time.monotonic()
            if self.membership.view.offset != offset:
                offset, changed_at = self.membership.view.offset, now
            elif offset and now - changed_at > VIEW_STABLE_S:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def _add_listener(self, application: web.Application, port: int, connections: int) -> Listener:
        """Create a listener that is closed at shutdown."""
        listener = Listener(application, self._settings.address, port, ListenerBounds(connections))
        self._listeners.append(listener)
        return listener

    async def _leave(self) -> None:
        """Hand over all slices and finish all requests within ``stop_within_s`` of the settings."""
        deadline = time.monotonic() + self._settings.stop_within_s
        logger.info("event=leaving daemon={}", self._settings.daemon)
        self.reporter.closes_connections = True
        self.control.inbox.on_next(LeaveRequested())
        while not self.membership.left and time.monotonic() < deadline:
            if self.membership.ref is None:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        if not self.membership.left:
            logger.warning("event=leave_unfinished in_flight={}", self.gate.count_in_flight())

    async def _close_callers(self) -> None:
        """Accept no new connections, but serve open ones for ``CALLER_LINGER_S`` seconds."""
        self._caller_listener.stop_accepting()
        await asyncio.sleep(CALLER_LINGER_S)

    async def _close(self) -> None:
        for listener in self._listeners:
            await listener.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.peer_transport.close()
        await self.data_transport.close()
        await self.gate.close()


def build_identity(settings: Settings) -> Identity:
    """Return the name, failure domain and addresses that a daemon announces."""
    address = settings.address
    return Identity(
        daemon=settings.daemon,
        failure_domain=settings.failure_domain,
        peer_address=f"{address}:{settings.peer_port}",
        data_address=f"{address}:{settings.data_port}",
        caller_address=f"{address}:{settings.caller_port}",
        operator_address=f"{address}:{settings.operator_port}",
    )


def build_sink(settings: Settings) -> MetricSink:
    """Return the sink for a daemon's metrics."""
    if not settings.statsd:
        return NoMetrics()
    return StatsdMetrics(settings.statsd, settings.daemon)


def locate_error(error: BaseException) -> str:
    """Return ``file:line`` of the innermost frame of an error."""
    trace = error.__traceback__
    if trace is None:
        return "-"
    while trace.tb_next is not None:
        trace = trace.tb_next
    name = os.path.basename(trace.tb_frame.f_code.co_filename)
    return f"{name}:{trace.tb_lineno}"


def _log_stray_error(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an error that no task awaits."""
    error = context.get("exception")
    where = locate_error(error) if error is not None else "-"
    logger.error(
        "event=stray_error message={!r} error={!r} at={}", context.get("message"), error, where
    )


def _log_refused_frame(detail: str) -> None:
    logger.warning("event=frame_refused detail={!r}", detail)
