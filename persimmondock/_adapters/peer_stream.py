"""Requests between daemons over TCP.

Each daemon dials each peer that it sends requests to. Frames are msgpack with a length prefix. A
request gets one reply, or an error if its handler fails or the connection is lost; its sender may
cancel it. Both ends detect a silent connection by missing heartbeats and close it, which pynng's
sockets do not support.

A frame that waited in a buffer while a VM was paused is late. Each request carries the time at
which it was sent, by the sender's clock, and the receiver subtracts that time from its own clock.
The smallest difference on a connection counts as its normal delay, which includes the offset
between the two clocks. The amount by which a request exceeds it is the request's age.

A server tells the version of the protocol that it speaks, and a client that hears of one tells its
own. Daemons of earlier versions say nothing and count as version 0.

A client names the daemon that it wants first. The address may belong to another daemon by now,
which then refuses the connection and handles nothing that was sent on it.
"""

from __future__ import annotations

import asyncio
import math
import struct
from typing import TYPE_CHECKING, Any

import attrs
import msgpack
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.sockets import set_socket_options

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

CONNECT_TIMEOUT_S = 1.0  # a peer in another failure domain responds within a few milliseconds
RECONNECT_DELAY_S = 0.25  # VMs are back within 1.5 s of a power loss
MAX_RECONNECT_DELAY_S = 2.0
MAX_FRAME_BYTES = 72 * 1024 * 1024
MAX_WRITE_BUFFER_BYTES = 8 * 1024 * 1024
LENGTH_PREFIX = struct.Struct(">I")

# Kinds of frames. The client sends [kind, number, kind of request, payload, time of sending], the
# server [kind, number, payload]; the number is that of the request. A server that is not the one
# expected sends OTHER_NODE with its own name and closes the connection. VERSION carries that of the
# server, and is a kind of request of the client.
REQUEST, REPLY, CANCEL, FAILED, OTHER_NODE, VERSION = 0, 1, 2, 3, 4, 5
PROTOCOL_VERSION = 1


class PeerRequestError(Exception):
    """A request that failed or got no reply.

    Parameters
    ----------
    sent
        Whether the peer may have received the request.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


@attrs.frozen
class Delivery:
    """Sender and age of a received request.

    Parameters
    ----------
    peer
        Name that the sending daemon gave in its greeting.
    age_s
        Seconds that it took longer than the fastest frame of its connection.
    version
        Version of the protocol that the sender speaks.
    """

    peer: str
    age_s: float
    version: int = 0


class _FrameProtocol(asyncio.Protocol):
    """Reads and writes frames with a length prefix."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.last_received_at = read_clock()
        self._buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_socket_options(sock)

    def data_received(self, data: bytes) -> None:
        self.last_received_at = read_clock()
        buffer = self._buffer
        buffer += data
        position = 0
        try:
            while len(buffer) - position >= LENGTH_PREFIX.size:
                (length,) = LENGTH_PREFIX.unpack_from(buffer, position)
                if length > MAX_FRAME_BYTES:
                    raise ValueError(f"frame of {length} bytes exceeds the limit")
                end = position + LENGTH_PREFIX.size + length
                if len(buffer) < end:
                    break
                frame = msgpack.unpackb(
                    bytes(buffer[position + LENGTH_PREFIX.size : end]), strict_map_key=False
                )
                position = end
                self.handle_frame(frame)
        except (ValueError, TypeError, IndexError, msgpack.UnpackException) as error:
            logger.warning("event=frame_refused detail={!r}", error)
            self.close()
        del buffer[:position]

    def send(self, frame: list[Any]) -> None:
        """Write one frame, or drop it if the connection is closed."""
        if self.transport is None or self.transport.is_closing():
            return
        data = msgpack.packb(frame)
        self.transport.write(LENGTH_PREFIX.pack(len(data)) + data)

    def close(self) -> None:
        """Close the connection and discard unsent data."""
        if self.transport is not None:
            self.transport.abort()

    def handle_frame(self, frame: list[Any]) -> None:
        """Handle one frame."""
        raise NotImplementedError


@attrs.frozen
class _PendingRequest:
    """A request without a reply.

    Parameters
    ----------
    on_reply
        Called with the reply, or with a `PeerRequestError`.
    outlives_silence
        Whether the request waits on after the peer has been silent for too long.
    """

    on_reply: Callable[[Any], None]
    outlives_silence: bool


class _ClientProtocol(_FrameProtocol):
    """One connection, with the requests that wait for replies on it."""

    def __init__(self, client: PeerClient) -> None:
        super().__init__()
        self._client = client
        self._pending: dict[int, _PendingRequest] = {}
        self._retired = False
        self.is_refused = False
        self.version = 0

    def send_request(self, number: int, kind: str, payload: Any, request: _PendingRequest) -> None:
        """Send a request."""
        self._pending[number] = request
        self.send([REQUEST, number, kind, payload, read_clock()])

    def cancel_request(self, number: int) -> None:
        """Have the peer cancel a request, unless its reply has arrived."""
        if self._pending.pop(number, None) is not None:
            self.send([CANCEL, number, None, None, read_clock()])
            self._close_if_done()

    def retire(self) -> None:
        """Keep the connection only for the requests that outlive the peer's silence."""
        self._retired = True
        for number, request in list(self._pending.items()):
            if not request.outlives_silence:
                self.cancel_request(number)
                request.on_reply(PeerRequestError("the peer is silent", sent=True))
        self._close_if_done()

    def _close_if_done(self) -> None:
        if self._retired and not self._pending:
            self.close()

    def handle_frame(self, frame: list[Any]) -> None:
        kind, number, payload = frame
        if kind == OTHER_NODE:
            self._handle_refusal(payload)
            return
        if kind == VERSION:
            self.version = min(PROTOCOL_VERSION, int(payload))
            self.send([REQUEST, 0, "version", PROTOCOL_VERSION, read_clock()])
            return
        request = self._pending.pop(number, None)
        if request is not None:
            is_reply = kind == REPLY
            request.on_reply(payload if is_reply else PeerRequestError(str(payload), sent=True))
        self._close_if_done()

    def _handle_refusal(self, node: str) -> None:
        self._client.record_mistake(node)
        self.is_refused = True
        self.close()
        self._fail_pending(PeerRequestError(f"{node} is at the address", sent=False))

    def connection_lost(self, error: Exception | None) -> None:
        self._client.handle_disconnect(self)
        self._fail_pending(PeerRequestError(repr(error), sent=True))

    def _fail_pending(self, error: PeerRequestError) -> None:
        pending, self._pending = self._pending, {}
        for request in pending.values():
            request.on_reply(error)


class PeerClient:
    """A connection to one peer, opened again whenever it is lost.

    Parameters
    ----------
    greeting
        Description of this daemon that is sent first on each connection; its first item is the
        daemon's name.
    node
        Name of the peer.
    address
        ``host:port`` of the peer.
    """

    def __init__(self, greeting: list[str], node: str, address: str) -> None:
        self.node = node
        self.address = address
        self._greeting = greeting
        self._last_number = 0
        self._protocol: _ClientProtocol | None = None
        self._mistaken_for = ""
        self._retired: set[_ClientProtocol] = set()
        self._task = asyncio.create_task(self._run_connection())
        self._disconnected = asyncio.Event()

    @property
    def connected(self) -> bool:
        """Whether a connection is open."""
        return self._protocol is not None

    @property
    def version(self) -> int:
        """Version of the protocol that both ends speak, or 0 while no connection is open."""
        return self._protocol.version if self._protocol is not None else 0

    @property
    def is_mistaken(self) -> bool:
        """Whether another daemon answered at the address the last time."""
        return bool(self._mistaken_for)

    async def request(self, kind: str, payload: Any, outlives_silence: bool = False) -> Any:
        """Send a request and return its reply.

        Parameters
        ----------
        outlives_silence
            Whether to wait on, up to the loss of the connection, when the peer has been silent for
            too long.

        Raises
        ------
        PeerRequestError
            If there is no connection, its write buffer is full, it is lost, the peer is silent, or
            its handler fails.
        """
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()

        def complete(reply: Any) -> None:
            if future.done():
                return
            if isinstance(reply, PeerRequestError):
                future.set_exception(reply)
            else:
                future.set_result(reply)

        number, protocol = self.send(kind, payload, complete, outlives_silence)
        try:
            return await future
        except asyncio.CancelledError:
            protocol.cancel_request(number)
            raise

    def send(
        self,
        kind: str,
        payload: Any,
        on_reply: Callable[[Any], None],
        outlives_silence: bool = False,
    ) -> tuple[int, _ClientProtocol]:
        """Send a request without waiting for its reply.

        Parameters
        ----------
        on_reply
            Called with the reply, or with a `PeerRequestError`.

        Returns
        -------
        tuple[int, _ClientProtocol]
            Number of the request, and the connection that carries it.

        Raises
        ------
        PeerRequestError
            If there is no connection or its write buffer is full.
        """
        protocol = self._protocol
        if protocol is None or protocol.transport is None:
            raise PeerRequestError("not connected", sent=False)
        if protocol.transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            raise PeerRequestError("write buffer is full", sent=False)
        self._last_number += 1
        number = self._last_number
        protocol.send_request(number, kind, payload, _PendingRequest(on_reply, outlives_silence))
        return number, protocol

    def reconnect(self, detail: str) -> None:
        """Replace a silent connection by a new one; requests that outlive silence stay on it."""
        protocol = self._protocol
        if protocol is not None:
            logger.info("event=peer_dropped peer={} detail={!r}", self.node, detail)
            self._retired.add(protocol)
            self._protocol = None
            self._disconnected.set()
            protocol.retire()

    def record_mistake(self, node: str) -> None:
        """Log that another daemon is at the address, once for each that is met in a row."""
        if node != self._mistaken_for:
            logger.warning(
                "event=peer_mistaken peer={} address={} answered_by={}",
                self.node,
                self.address,
                node,
            )
        self._mistaken_for = node

    def handle_disconnect(self, protocol: _ClientProtocol) -> None:
        """Open a new connection after the loss of the current one."""
        self._retired.discard(protocol)
        if self._protocol is protocol:
            self._protocol = None
            self._disconnected.set()

    def close(self) -> None:
        """Close all connections and stop reconnecting."""
        self._task.cancel()
        for protocol in [self._protocol, *self._retired]:
            if protocol is not None:
                protocol.close()

    async def _run_connection(self) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        delay_s = RECONNECT_DELAY_S
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, protocol = await loop.create_connection(
                        lambda: _ClientProtocol(self), host, int(port)
                    )
            except (TimeoutError, OSError):
                await asyncio.sleep(delay_s)
                delay_s = min(MAX_RECONNECT_DELAY_S, 2 * delay_s)
                continue
            delay_s = RECONNECT_DELAY_S
            self._disconnected.clear()
            protocol.send([REQUEST, 0, "expect", self.node, read_clock()])
            protocol.send([REQUEST, 0, "hello", self._greeting, read_clock()])
            self._protocol = protocol
            await self._disconnected.wait()
            if protocol.is_refused:
                await asyncio.sleep(MAX_RECONNECT_DELAY_S)


class _ServerProtocol(_FrameProtocol):
    def __init__(self, server: PeerServer) -> None:
        super().__init__()
        self._server = server
        self._peer = ""
        self._version = 0
        self._min_delay_s = math.inf
        self._is_refused = False
        self._request_tasks: dict[int, asyncio.Task[None]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._server.connections.add(self)
        self.send([VERSION, 0, PROTOCOL_VERSION])

    def handle_frame(self, frame: list[Any]) -> None:
        kind, number, name, payload, sent_at = frame
        if self._is_refused:
            return
        delay = read_clock() - sent_at
        self._min_delay_s = min(self._min_delay_s, delay)
        if kind == CANCEL:
            task = self._request_tasks.get(number)
            if task is not None:
                task.cancel()
            return
        if name == "expect":
            if payload != self._server.node:
                self._refuse()
            return
        if name == "hello":
            self._peer = payload[0]
            self._server.on_greeting(payload)
            return
        if name == "version":
            self._version = min(PROTOCOL_VERSION, int(payload))
            return
        delivery = Delivery(self._peer, delay - self._min_delay_s, self._version)
        instant_handler = self._server.instant_handlers.get(name)
        if instant_handler is not None:
            self.send([REPLY, number, instant_handler(payload, delivery)])
            return
        task = asyncio.create_task(self._handle_request(number, name, payload, delivery))
        self._request_tasks[number] = task
        task.add_done_callback(lambda _: self._request_tasks.pop(number, None))

    def _refuse(self) -> None:
        """Close the connection of a daemon that expects another one at this address."""
        self._is_refused = True
        self.send([OTHER_NODE, 0, self._server.node])
        if self.transport is not None:
            self.transport.close()

    async def _handle_request(
        self, number: int, name: str, payload: Any, delivery: Delivery
    ) -> None:
        try:
            reply = await self._server.handlers[name](payload, delivery)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            logger.error("event=peer_request_failed kind={} error={!r}", name, error)
            self.send([FAILED, number, repr(error)])
            return
        self.send([REPLY, number, reply])

    def connection_lost(self, error: Exception | None) -> None:
        self._server.connections.discard(self)
        for task in list(self._request_tasks.values()):
            task.cancel()


class PeerServer:
    """Handles the requests of other daemons.

    Parameters
    ----------
    on_greeting
        Called with the greeting of each daemon that connects.
    node
        Name of this daemon; connections that expect another one are refused.

    Attributes
    ----------
    handlers
        Coroutine functions by kind of request; each returns the reply.
    instant_handlers
        Functions that return the reply at once, by kind of request. They save a task and two
        iterations of the event loop for each request.
    """

    def __init__(self, on_greeting: Callable[[list[str]], None], node: str) -> None:
        self.on_greeting = on_greeting
        self.node = node
        self.handlers: dict[str, Callable[[Any, Delivery], Awaitable[Any]]] = {}
        self.instant_handlers: dict[str, Callable[[Any, Delivery], Any]] = {}
        self.connections: set[_ServerProtocol] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on a ``host:port``.

        Raises
        ------
        OSError
            If the address cannot be listened on.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServerProtocol(self), host, int(port), reuse_address=True
        )

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()

    def close_silent(self, max_silence_s: float) -> None:
        """Close connections that have received nothing for ``max_silence_s`` seconds."""
        now = read_clock()
        for connection in list(self.connections):
            if now - connection.last_received_at > max_silence_s:
                connection.close()
