"""One daemon: builds its tasks, runs them, and shuts them down."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
from loguru import logger

from persimmondock._adapters.log_client import HttpLog
from persimmondock._adapters.peer_link import PeerLink
from persimmondock._domain.leases import LeaseTerms
from persimmondock._domain.membership import Identity, Membership
from persimmondock._tasks.control import Control, LeaveAsked, PeerMessage
from persimmondock._tasks.exchange import Exchange
from persimmondock._tasks.front import Front
from persimmondock._tasks.gate import Gate
from persimmondock._tasks.log_follower import LogFollower, LogWriter
from persimmondock._tasks.operator import Operator

if TYPE_CHECKING:
    from persimmondock._domain.messages import Message
    from persimmondock.settings import Settings

STOP_POLL_S = 0.05


class Daemon:
    """All tasks of one daemon."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._stopping = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._runners: list[web.AppRunner] = []

    async def run(self) -> None:
        """Serve until a signal asks to stop, then shut down gracefully.

        Raises
        ------
        OSError
            If an address cannot be listened on.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, self._stopping.set)
        async with aiohttp.ClientSession() as session:
            self._build(session)
            try:
                await self._start()
                logger.info("event=daemon_started daemon={}", self._settings.daemon)
                await self._stopping.wait()
                await self._leave()
            finally:
                await self._close()
        logger.info("event=daemon_stopped daemon={}", self._settings.daemon)

    def _build(self, session: aiohttp.ClientSession) -> None:
        settings = self._settings
        log = HttpLog(settings.log, session)
        terms = LeaseTerms(term=settings.lease_term_s, renew_every=settings.renew_every_s)
        self.membership = Membership(
            identity=build_identity(settings),
            terms=terms,
            is_busy=lambda ref: self.gate.is_busy(ref),
            collect_kept=lambda ref: self.gate.collect_kept(ref),
        )
        self.gate = Gate(self.membership)
        self.exchange = Exchange(self.gate)
        self.follower = LogFollower(log, lambda: self.membership.view.offset)
        self.writer = LogWriter(log)
        self.control = Control(
            self.membership, self.gate, self.exchange, self.follower, self.writer, settings.peers
        )
        self.front = Front(self.membership, self.gate, self.exchange)
        self.operator = Operator(self.membership, self.gate, self.control.inbox)
        identity = self.membership.identity
        self.peer_link = PeerLink(
            settings.daemon, identity.peer_address, self._receive_control, _log_refused
        )
        self.data_link = PeerLink(
            settings.daemon, identity.data_address, self.exchange.receive, _log_refused
        )

    def _receive_control(self, message: Message, address: str) -> None:
        self.control.inbox.on_next(PeerMessage(message, address))

    async def _start(self) -> None:
        settings = self._settings
        await self.peer_link.start()
        await self.data_link.start()
        self.control.attach(self.peer_link)
        self.exchange.attach(self.data_link)
        await self._listen(self.front.build_application(), settings.caller_port)
        await self._listen(self.operator.build_application(), settings.operator_port)
        for work in (self.follower.run(), self.writer.run(), self.control.run()):
            self._tasks.append(asyncio.create_task(work))

    async def _listen(self, application: web.Application, port: int) -> None:
        runner = web.AppRunner(application, access_log=None, handler_cancellation=True)
        await runner.setup()
        self._runners.append(runner)
        site = web.TCPSite(runner, self._settings.address, port, shutdown_timeout=1.0)
        await site.start()

    async def _leave(self) -> None:
        """Hand over all slices and finish all work, within the time that settings allow."""
        stop_by = time.monotonic() + self._settings.stop_within_s
        self.control.inbox.on_next(LeaveAsked())
        while not self.membership.left and time.monotonic() < stop_by:
            if self.membership.ref is None:
                return
            await asyncio.sleep(STOP_POLL_S)

    async def _close(self) -> None:
        for runner in self._runners:
            await runner.cleanup()
        for task in self._tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self.peer_link.close()
        await self.data_link.close()
        await self.gate.close()


def build_identity(settings: Settings) -> Identity:
    """Return what a daemon tells others of itself."""
    address = settings.address
    return Identity(
        daemon=settings.daemon,
        failure_domain=settings.failure_domain,
        peer_address=f"{address}:{settings.peer_port}",
        data_address=f"{address}:{settings.data_port}",
        caller_address=f"{address}:{settings.caller_port}",
        operator_address=f"{address}:{settings.operator_port}",
    )


def _log_refused(detail: str) -> None:
    logger.warning("event=frame_refused detail={!r}", detail)
