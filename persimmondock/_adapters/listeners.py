"""HTTP listeners with limits on connections and on slow clients."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
from aiohttp import web

from persimmondock._adapters.sockets import bind_socket

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

BACKLOG = 512
MAX_HEADER_BYTES = 16 * 1024
KEEPALIVE_S = 75.0
SHUTDOWN_TIMEOUT_S = 1.0


@attrs.frozen
class ListenerBounds:
    """Limits of one listener.

    Parameters
    ----------
    connections
        Maximum number of open connections; further ones are closed at once.
    header_timeout_s
        Seconds within which a new connection must send a complete request header.
    body_timeout_s
        Seconds within which a request's body must arrive.
    """

    connections: int
    header_timeout_s: float = 10.0
    body_timeout_s: float = 30.0


class _ClosingProtocol(asyncio.Protocol):
    """Closes each connection at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.close()


class Listener:
    """Serves one HTTP application on one address.

    The address is bound when the listener is created; connections are accepted after `start`.

    Raises
    ------
    OSError
        If the address cannot be bound; the message names it.
    """

    def __init__(
        self, application: web.Application, host: str, port: int, bounds: ListenerBounds
    ) -> None:
        application.middlewares.insert(0, self._build_middleware())
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            auto_decompress=False,
            keepalive_timeout=KEEPALIVE_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self._bounds = bounds
        self._socket = bind_socket(host, port)
        self._server: asyncio.Server | None = None
        self._awaiting_header: set[asyncio.BaseProtocol] = set()

    async def start(self) -> None:
        """Accept connections."""
        await self._runner.setup()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._create_protocol, sock=self._socket, backlog=BACKLOG
        )

    def stop_accepting(self) -> None:
        """Accept no new connections; open ones are still served."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Wait up to ``SHUTDOWN_TIMEOUT_S`` seconds for requests, then close all connections."""
        self.stop_accepting()
        self._socket.close()
        await self._runner.cleanup()

    def _create_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol of a new connection."""
        server = self._runner.server
        if server is None or len(server.connections) >= self._bounds.connections:
            return _ClosingProtocol()
        protocol = server()
        self._awaiting_header.add(protocol)
        asyncio.get_running_loop().call_later(
            self._bounds.header_timeout_s, self._close_if_awaiting_header, protocol
        )
        return protocol

    def _close_if_awaiting_header(self, protocol: web.RequestHandler) -> None:
        """Close a connection that has not sent a complete request header yet."""
        if protocol not in self._awaiting_header:
            return
        self._awaiting_header.discard(protocol)
        if protocol.transport is not None:
            protocol.transport.abort()

    def _build_middleware(self) -> Callable[..., Awaitable[web.StreamResponse]]:
        @web.middleware
        async def limit_body_time(
            request: web.Request,
            handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
        ) -> web.StreamResponse:
            self._awaiting_header.discard(request.protocol)
            if not request.can_read_body:
                return await handler(request)
            loop = asyncio.get_running_loop()
            timer = loop.call_later(self._bounds.body_timeout_s, _close_if_body_incomplete, request)
            try:
                return await handler(request)
            finally:
                timer.cancel()

        return limit_body_time


def _close_if_body_incomplete(request: web.Request) -> None:
    """Close a request's connection if its body is incomplete; such a request was not forwarded."""
    if not request.content.is_eof() and request.transport is not None:
        request.transport.close()
