"""HTTP/1.1 server for whole requests and whole responses.

It parses with httptools. aiohttp's server takes half of a second of processor time and 12 MB of
memory on each VM before the first request, since it cannot be imported without its client.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs
import httptools
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.sockets import set_socket_options
from persimmondock._ports.answer_body import AnswerCutError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from persimmondock._ports.answer_body import AnswerBody

LISTEN_BACKLOG = 1024
CHECK_INTERVAL_S = 0.5
MAX_PIPELINED = 8  # reading pauses with more requests waiting on one connection
NO_BODY_STATUSES = frozenset({204, 304})
REASONS = {status.value: status.phrase for status in HTTPStatus}


@attrs.frozen
class ServerLimits:
    """Limits on what a client may send and how long it may take.

    Parameters
    ----------
    header_bytes, body_bytes
        Size of the header and of the body of a request.
    header_timeout_s
        Seconds from the first byte of a request to the end of its header.
    idle_timeout_s
        Seconds without any byte from the client, or without the client reading, after which the
        connection is closed unless a request is running.
    """

    header_bytes: int = 64 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class ServerRequest:
    """A complete request.

    Parameters
    ----------
    received_at
        Time at which the first byte of the request arrived, by `read_clock`.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    received_at: float = attrs.field(factory=read_clock)

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    def find_header(self, name: str) -> str | None:
        """Return the first value of a header, given by its lower-case name, or None."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


@attrs.frozen
class ServerResponse:
    """A response; the server adds the fields that concern the connection.

    Parameters
    ----------
    close
        Whether the connection ends after this response.
    stream
        The body, if it is sent in pieces. The server closes it, and cuts the connection if the
        pieces do not add up to its length.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    close: bool = False
    stream: AnswerBody | None = None


class HttpServer:
    """Listens on one address and passes each request to a handler.

    Parameters
    ----------
    handle
        Returns the response to a request; it is cancelled when the client disconnects.
    """

    def __init__(
        self,
        handle: Callable[[ServerRequest], Awaitable[ServerResponse]],
        limits: ServerLimits | None = None,
    ) -> None:
        self.handle = handle
        self.limits = limits or ServerLimits()
        self.closing = False
        self.connections: set[_Connection] = set()
        self._listener: asyncio.Server | None = None
        self._checker: asyncio.Task[None] | None = None

    async def listen(self, address: str) -> None:
        """Listen on a ``host:port``.

        Raises
        ------
        OSError
            If the address cannot be listened on.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: _Connection(self), host, int(port), backlog=LISTEN_BACKLOG, reuse_address=True
        )
        for sock in self._listener.sockets:
            set_socket_options(sock)
        self._checker = asyncio.create_task(self._close_expired())

    def stop_accepting(self) -> None:
        """Accept no more connections, while those accepted already are set up."""
        if self._listener is not None:
            for sock in self._listener.sockets:
                asyncio.get_running_loop().remove_reader(sock.fileno())

    async def close(self, within_s: float) -> None:
        """Stop listening, and close each connection once its requests are answered.

        Parameters
        ----------
        within_s
            Seconds after which the remaining connections are closed.
        """
        self.closing = True
        if self._listener is not None:
            self._listener.close()
        close_by = read_clock() + within_s
        for connection in list(self.connections):
            connection.close_if_idle()
        while self.connections and read_clock() < close_by:
            await asyncio.sleep(min(0.02, within_s))
        if self._checker is not None:
            self._checker.cancel()
        for connection in list(self.connections):
            connection.abort()

    async def _close_expired(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = read_clock()
            for connection in list(self.connections):
                connection.check_deadline(now)


class _Connection(asyncio.Protocol):
    """One connection of a client, whose requests are served one after the other."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[tuple[ServerRequest, bool]] = deque()
        self._task: asyncio.Task[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._deadline = math.inf
        self._in_message = False
        self._in_header = False
        self._refused = False
        self._reset_message()

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._header_bytes = 0
        self._received_at = 0.0

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)
        self._deadline = read_clock() + self._server.limits.idle_timeout_s

    def data_received(self, data: bytes) -> None:
        if self._refused:
            return
        limits = self._server.limits
        if not self._in_header:
            self._deadline = read_clock() + limits.idle_timeout_s
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is complete; what follows it would be in another protocol.
            self._refused = True
        except httptools.HttpParserError as error:
            logger.info("event=bad_request detail={!r}", str(error))
            self._refuse(400)
            return
        if self._in_header:
            self._header_bytes += len(data)
        if self._header_bytes > limits.header_bytes:
            self._refuse(431)
        elif self._body_bytes > limits.body_bytes:
            self._refuse(413)
        elif len(self._waiting) > MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def connection_lost(self, error: Exception | None) -> None:
        self._server.connections.discard(self)
        self._transport = None
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        self._reset_message()
        self._in_message = self._in_header = True
        self._received_at = read_clock()
        self._deadline = self._received_at + self._server.limits.header_timeout_s

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        self._in_header = False
        self._header_bytes = 0
        self._deadline = read_clock() + self._server.limits.idle_timeout_s
        if self._task is None and any(
            name.lower() == "expect" and value.lower() == "100-continue"
            for name, value in self._headers
        ):
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes <= self._server.limits.body_bytes:
            self._body.append(data)

    def on_message_complete(self) -> None:
        self._in_message = False
        if self._body_bytes > self._server.limits.body_bytes:
            return
        request = ServerRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            tuple(self._headers),
            b"".join(self._body),
            self._received_at,
        )
        self._body = []
        self._waiting.append((request, bool(self._parser.should_keep_alive())))
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._serve())

    # Serving.

    async def _serve(self) -> None:
        try:
            while self._waiting and self._transport is not None:
                request, keep_alive = self._waiting.popleft()
                response = await self._handle(request)
                is_last = self._server.closing and not self._waiting
                keep_alive = keep_alive and not response.close and not is_last
                self._write(_render_response(request.method, response, keep_alive))
                self._deadline = read_clock() + self._server.limits.idle_timeout_s
                if response.stream is not None:
                    await self._send_pieces(request.method, response, response.stream)
                if not keep_alive:
                    self._waiting.clear()
                    self._close()
                    return
                # `check_deadline` closes the connection of a client that does not read.
                await self._writable.wait()
                if self._transport is not None:
                    self._transport.resume_reading()
        finally:
            self._task = None
        if self._refused:
            self._close()

    async def _handle(self, request: ServerRequest) -> ServerResponse:
        try:
            return await self._server.handle(request)
        except Exception as error:
            logger.opt(exception=error).error("event=handler_failed target={}", request.target)
            return ServerResponse(500)

    async def _send_pieces(self, method: str, response: ServerResponse, stream: AnswerBody) -> None:
        """Send the body of a response as fast as the client reads it."""
        missing = stream.length if _has_body(method, response.status) else 0
        try:
            while missing > 0:
                await self._writable.wait()
                piece = await stream.read()
                missing -= len(piece)
                if not piece or missing < 0:
                    raise AnswerCutError(f"{missing} bytes are missing")
                self._write(piece)
                self._deadline = read_clock() + self._server.limits.idle_timeout_s
        except AnswerCutError as error:
            logger.info("event=answer_cut detail={!r}", str(error))
            self.abort()
        except Exception as error:
            logger.opt(exception=error).error("event=answer_cut")
            self.abort()
        finally:
            stream.close()

    def _refuse(self, status: int) -> None:
        """Refuse the request that is being received, after those before it are answered."""
        self._refused = True
        self._body.clear()
        if self._task is not None:
            return
        self._write(_render_response("GET", ServerResponse(status), keep_alive=False))
        self._close()

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection and discard unsent data."""
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is running or partly received."""
        if self._task is None and not self._in_message:
            self._close()

    def check_deadline(self, now: float) -> None:
        """Close the connection if the client has been idle or slow for too long."""
        is_running = self._task is not None and self._writable.is_set()
        if now >= self._deadline and not is_running:
            self.abort()


def _render_response(method: str, response: ServerResponse, keep_alive: bool) -> bytes:
    lines = [f"HTTP/1.1 {response.status} {REASONS.get(response.status, '')}"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    if response.status not in NO_BODY_STATUSES:
        length = len(response.body) if response.stream is None else response.stream.length
        lines.append(f"Content-Length: {length}")
    if not keep_alive:
        lines.append("Connection: close")
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    return head + response.body if _has_body(method, response.status) else head


def _has_body(method: str, status: int) -> bool:
    return method != "HEAD" and status not in NO_BODY_STATUSES
