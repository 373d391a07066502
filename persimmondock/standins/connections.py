"""Ends of connections as the processes at the other side see them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp.web_protocol import RequestHandler

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web


async def close_server(
    runner: web.AppRunner,
    close_connection: Callable[[RequestHandler], None] = RequestHandler.force_close,
) -> None:
    """Stop listening and close all connections, without waiting for running handlers."""
    for site in list(runner.sites):
        await site.stop()
    if runner.server is not None:
        # Handlers are cancelled with their connections. One that were to end at the instant of the
        # shutdown timeout would fail with InvalidStateError.
        for connection in runner.server.connections:
            close_connection(connection)
    await runner.cleanup()
