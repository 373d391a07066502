"""Ends of connections as the processes at the other side see them."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

from aiohttp.web_protocol import RequestHandler

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from aiohttp import web


def reset_connection(transport: asyncio.WriteTransport) -> None:
    """Close a connection with RST instead of FIN, without sending what is buffered."""
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        # With a linger time of 0 s, closing sends RST.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


def reset_handled_connection(connection: RequestHandler) -> None:
    """Reset a connection that a server handles, and cancel its handler."""
    if connection.transport is not None:
        reset_connection(connection.transport)
    connection.force_close()


def end_handled_connection(connection: RequestHandler) -> None:
    """Close a connection with FIN, without sending what is buffered, and cancel its handler."""
    if connection.transport is not None:
        connection.transport.abort()
    connection.force_close()


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
