"""Runs the HTTP application of a stand-in."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable


async def serve(build_application: Callable[[], web.Application], address: str) -> None:
    """Serve an application on ``host:port`` until SIGINT or SIGTERM."""
    host, _, port = address.rpartition(":")
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop_requested.set)
    runner = web.AppRunner(
        build_application(), access_log=None, handler_cancellation=True, shutdown_timeout=0.2
    )
    await runner.setup()
    await web.TCPSite(runner, host, int(port)).start()
    await stop_requested.wait()
    await runner.cleanup()
