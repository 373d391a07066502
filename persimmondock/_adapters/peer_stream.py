"""Requests between daemons over TCP.

Each daemon dials each peer that it sends requests to. Frames are msgpack with a length prefix. A
request gets one reply, or an error if its handler fails or the connection is lost; its sender may
cancel it. Both ends detect a silent connection by missing heartbeats and close it, which pynng's
sockets do not support.

A reply may have a body that follows in pieces, no more of them than the client has opened its
window for. Pieces of all replies take turns on the link, and wait until the socket has sent most of
what was written before, so that other frames wait behind few of them.

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
import functools
import math
import struct
from typing import TYPE_CHECKING, Any

import attrs
import msgpack
from loguru import logger

from persimmondock._adapters.accepting import Acceptor, Room
from persimmondock._adapters.buffered_body import BufferedBody
from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.piece_link import PieceLink
from persimmondock._adapters.sockets import (
    bind_socket,
    count_undelivered,
    keep_send_queue_short,
    set_socket_options,
)
from persimmondock._adapters.supervision import keep_running
from persimmondock._domain.descriptor_budget import UNKNOWN_PEERS_SHARE, ConnectionShare
from persimmondock._domain.foreign_data import UNREADABLE, show_value
from persimmondock._domain.memory_budget import MemoryAccount, MemoryBudget
from persimmondock._domain.packed_data import check_objects
from persimmondock._ports.answer_body import AnswerCutError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from persimmondock._ports.answer_body import AnswerBody

LISTEN_BACKLOG = 512
GREETING_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0  # a peer in another failure domain responds within a few milliseconds
RECONNECT_DELAY_S = 0.25  # VMs are back within 1.5 s of a power loss
MAX_RECONNECT_DELAY_S = 2.0
MAX_FRAME_BYTES = 72 * 1024 * 1024
MAX_GREETING_BYTES = 64 * 1024  # of a frame before the greeting of a daemon
FRAME_COST = 2  # bytes of memory for each of a frame, which is copied when it is unpacked
MAX_WRITE_BUFFER_BYTES = 8 * 1024 * 1024
STREAM_WINDOW_BYTES = 64 * 1024  # of one body that the client has not read
PIECE_BUFFER_BYTES = 16 * 1024  # of unsent data above which no pieces are written
LENGTH_PREFIX = struct.Struct(">I")

# Kinds of frames. The client sends [kind, number, kind of request, payload, time of sending], the
# server [kind, number, payload]; the number is that of the request. A server that is not the one
# expected sends OTHER_NODE with its own name and closes the connection. VERSION carries that of the
# server, and is a kind of request of the client. From version 1 on a server may send HEAD, with a
# reply and the length of its body, then PIECE until the body is complete, or FAILED. The client
# sends WINDOW with the number of bytes that it has read, in place of a payload.
REQUEST, REPLY, CANCEL, FAILED, OTHER_NODE, VERSION, HEAD, PIECE, WINDOW = range(9)
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
class StreamedReply:
    """A reply with a body that is sent in pieces.

    Parameters
    ----------
    body
        Closed by the server after the last piece.
    end_at
        Instant at which the server gives up sending.
    """

    payload: Any
    body: AnswerBody
    end_at: float = math.inf


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
    """Reads and writes frames with a length prefix.

    Parameters
    ----------
    memory
        Budget for what is received.
    """

    def __init__(self, memory: MemoryBudget | None = None) -> None:
        self.memory = memory if memory is not None else MemoryBudget()
        self._account = MemoryAccount(self.memory)
        self._max_frame_bytes = self._max_sent_bytes = min(
            MAX_FRAME_BYTES, self.memory.limit_bytes // FRAME_COST
        )
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
        buffer, position = self._buffer, 0
        try:
            if not self._account.add(FRAME_COST * len(data)):
                raise ValueError(f"no memory for a frame of more than {len(buffer)} bytes")
            buffer += data
            while len(buffer) - position >= LENGTH_PREFIX.size:
                (length,) = LENGTH_PREFIX.unpack_from(buffer, position)
                if length > self._max_frame_bytes:
                    raise ValueError(f"frame of {length} bytes exceeds the limit")
                end = position + LENGTH_PREFIX.size + length
                if len(buffer) < end:
                    break
                with memoryview(buffer) as view, view[position + LENGTH_PREFIX.size : end] as part:
                    if length > MAX_GREETING_BYTES:
                        check_objects(part)
                    frame = msgpack.unpackb(part, strict_map_key=False)
                position = end
                self.handle_frame(frame)
        except (*UNREADABLE, MemoryError) as error:
            logger.warning("event=frame_refused detail={}", show_value(error))
            self.close()
            position = len(buffer)
        del buffer[:position]
        self._account.release(self._account.held_bytes - FRAME_COST * len(buffer))

    def connection_lost(self, error: Exception | None) -> None:
        """Drop an incomplete frame."""
        self._buffer.clear()
        self._account.clear()

    def send(self, frame: list[Any]) -> None:
        """Write one frame, or drop it if the connection is closed.

        Raises
        ------
        PeerRequestError
            If the frame is so large that it would end the connection.
        """
        if self.transport is None or self.transport.is_closing():
            return
        data = msgpack.packb(frame)
        if len(data) > self._max_sent_bytes:
            raise PeerRequestError(f"a frame of {len(data)} bytes is too large", sent=False)
        self.transport.write(LENGTH_PREFIX.pack(len(data)) + data)
        self.record_written(len(data))

    def record_written(self, size: int) -> None:
        """Record the size of a frame that was written."""

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

    def __init__(self, client: PeerClient, memory: MemoryBudget | None = None) -> None:
        super().__init__(memory)
        self._client = client
        self._pending: dict[int, _PendingRequest] = {}
        self._bodies: dict[int, BufferedBody] = {}
        self._retired = False
        self.is_refused = False
        self.version = 0

    def send_request(self, number: int, kind: str, payload: Any, request: _PendingRequest) -> None:
        """Send a request.

        Raises
        ------
        PeerRequestError
            If it is too large.
        """
        self.send([REQUEST, number, kind, payload, read_clock()])
        self._pending[number] = request

    def cancel_request(self, number: int) -> None:
        """Have the peer cancel a request, unless its reply has arrived."""
        body = self._bodies.get(number)
        if body is not None:
            body.close()
        elif self._pending.pop(number, None) is not None:
            self._send_cancel(number)

    def _send_cancel(self, number: int) -> None:
        self.send([CANCEL, number, None, None, read_clock()])
        self._close_if_done()

    def retire(self) -> None:
        """Keep the connection only for the requests that outlive the peer's silence.

        Replies that have begun cannot be had elsewhere, so their bodies are waited for too.
        """
        self._retired = True
        for number, request in list(self._pending.items()):
            if not request.outlives_silence:
                self.cancel_request(number)
                request.on_reply(PeerRequestError("the peer is silent", sent=True))
        self._close_if_done()

    def _close_if_done(self) -> None:
        if self._retired and not self._pending and not self._bodies:
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
        if kind == PIECE or number in self._bodies:
            self._handle_piece(kind, number, payload)
            return
        if kind == HEAD:
            self._begin_body(number, *payload)
            return
        request = self._pending.pop(number, None)
        if request is not None:
            is_reply = kind == REPLY
            request.on_reply(payload if is_reply else PeerRequestError(str(payload), sent=True))
        self._close_if_done()

    def _begin_body(self, number: int, payload: Any, length: int) -> None:
        """Reply to a request whose body follows; one that was cancelled has no number.

        Raises
        ------
        ValueError
            If the length cannot be that of a body in pieces.
        """
        if isinstance(length, bool) or not isinstance(length, int) or length <= 0:
            raise ValueError(f"a body must have a positive length, not {length!r}")
        request = self._pending.pop(number, None)
        if request is None:
            return
        body = BufferedBody(length, MemoryAccount(self.memory))
        unreported = 0

        def open_window(size: int) -> None:
            nonlocal unreported
            unreported += size
            if 2 * unreported >= STREAM_WINDOW_BYTES and not body.is_received:
                self.send([WINDOW, number, None, unreported, read_clock()])
                unreported = 0

        def cancel() -> None:
            self._bodies.pop(number, None)
            self._send_cancel(number)

        body.on_read, body.on_abandoned = open_window, cancel
        self._bodies[number] = body
        request.on_reply(StreamedReply(payload, body))

    def _handle_piece(self, kind: int, number: int, piece: Any) -> None:
        """Add a piece to its body, or cut the body if the peer has; a closed body has no number.

        Raises
        ------
        TypeError
            If the piece is not bytes.
        """
        body = self._bodies.get(number)
        if body is None:
            return
        if kind != PIECE:
            body.cut(f"by the peer: {piece}")
        elif not isinstance(piece, bytes):
            raise TypeError(f"a piece must be bytes, not {piece!r}")
        elif body.waiting_bytes + len(piece) > STREAM_WINDOW_BYTES:
            body.cut(f"{len(piece)} bytes exceed the window of {STREAM_WINDOW_BYTES}")
        else:
            body.feed(piece)
        if body.is_received:
            del self._bodies[number]
            if kind == PIECE and not body.is_complete:
                self._send_cancel(number)
            self._close_if_done()

    def _handle_refusal(self, node: str) -> None:
        self._client.record_mistake(node)
        self.is_refused = True
        self.close()
        self._fail_pending(PeerRequestError(f"{node} is at the address", sent=False))

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        self._client.handle_disconnect(self)
        self._fail_pending(PeerRequestError(repr(error), sent=True))

    def _fail_pending(self, error: PeerRequestError) -> None:
        pending, self._pending = self._pending, {}
        for request in pending.values():
            request.on_reply(error)
        bodies, self._bodies = self._bodies, {}
        for body in bodies.values():
            body.cut(str(error))


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
    memory
        Budget for what the peer sends.

    Attributes
    ----------
    on_connected
        Called when a connection has been opened.
    """

    def __init__(
        self, greeting: list[str], node: str, address: str, memory: MemoryBudget | None = None
    ) -> None:
        self._memory = memory if memory is not None else MemoryBudget()
        self.node = node
        self.address = address
        self._greeting = greeting
        self._last_number = 0
        self._protocol: _ClientProtocol | None = None
        self.on_connected: Callable[[], None] = lambda: None
        self._mistaken_for = ""
        self._retired: set[_ClientProtocol] = set()
        self._task = asyncio.create_task(keep_running("peer_connection", self._run_connection))
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
        """Send a request and return its reply, a `StreamedReply` if its body follows in pieces.

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
            If there is no connection, its write buffer is full or the request is too large.
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
                        lambda: _ClientProtocol(self, self._memory), host, int(port)
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
            self.on_connected()
            await self._disconnected.wait()
            if protocol.is_refused:
                await asyncio.sleep(MAX_RECONNECT_DELAY_S)


class _Window:
    """Bytes of one body that the client is ready to hold."""

    def __init__(self) -> None:
        self._left = STREAM_WINDOW_BYTES
        self._opened = asyncio.Event()

    def open(self, size: int) -> None:
        """Add bytes that the client has read.

        Raises
        ------
        ValueError
            If the client cannot have read so much.
        """
        if isinstance(size, bool) or not isinstance(size, int) or size <= 0:
            raise ValueError(f"a window must open by a positive number of bytes, not {size!r}")
        if self._left + size > STREAM_WINDOW_BYTES:
            raise ValueError(f"a window of {STREAM_WINDOW_BYTES} bytes opened by {size} too many")
        self._left += size
        self._opened.set()

    async def take(self, size: int) -> None:
        """Wait until the window is open for ``size`` bytes, and use them."""
        while self._left < size:
            self._opened.clear()
            await self._opened.wait()
        self._left -= size


class _ServerProtocol(_FrameProtocol):
    def __init__(self, server: PeerServer) -> None:
        super().__init__(server.memory)
        self._max_frame_bytes = min(MAX_GREETING_BYTES, self._max_frame_bytes)
        self._server = server
        self.opened_at = read_clock()
        self._windows: dict[int, _Window] = {}
        self._writable = asyncio.Event()
        self._writable.set()
        self._peer = ""
        self._version = 0
        self._min_delay_s = math.inf
        self._is_refused = False
        self._request_tasks: dict[int, asyncio.Task[None]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._server.connections.add(self)
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=PIECE_BUFFER_BYTES)
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            keep_send_queue_short(sock, PIECE_BUFFER_BYTES)
        self.send([VERSION, 0, PROTOCOL_VERSION])

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def record_written(self, size: int) -> None:
        self._server.link.record(size)

    @property
    def has_undelivered(self) -> bool:
        """Whether the client has not received all that was written, as far as known."""
        if self.transport is None or self.transport.is_closing():
            return False
        sock = self.transport.get_extra_info("socket")
        in_kernel = 0 if sock is None else count_undelivered(sock)
        return bool(in_kernel or self.transport.get_write_buffer_size())

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
        if kind == WINDOW:
            window = self._windows.get(number)
            if window is not None:
                window.open(payload)
            return
        if name == "expect":
            if payload != self._server.node:
                self._refuse()
            return
        if name == "hello":
            self._peer = payload[0]
            self._max_frame_bytes = self._max_sent_bytes
            self._server.unknown.remove(self)
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
        """Refuse the connection of a daemon that expects another one at this address.

        The daemon closes it; what it has sent meanwhile is read, as a close before that may end in
        a reset, which discards the refusal.
        """
        self._is_refused = True
        self.send([OTHER_NODE, 0, self._server.node])
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write_eof()

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
        del payload  # the request of a large answer is no longer held
        if isinstance(reply, StreamedReply):
            await self._send_streamed(number, reply)
            return
        try:
            self.send([REPLY, number, reply])
        except PeerRequestError as error:
            self.send([FAILED, number, str(error)])

    async def _send_streamed(self, number: int, reply: StreamedReply) -> None:
        body, link = reply.body, self._server.link
        window = self._windows[number] = _Window()
        missing = body.length
        end_in_s = None if reply.end_at == math.inf else reply.end_at - read_clock()
        try:
            self.send([HEAD, number, [reply.payload, body.length]])
            async with asyncio.timeout(end_in_s):
                while missing:
                    data = await body.read()
                    if not data or len(data) > missing:
                        raise AnswerCutError(f"{len(data)} bytes where {missing} are missing")
                    missing -= len(data)
                    for start in range(0, len(data), link.rate.piece_bytes):
                        piece = data[start : start + link.rate.piece_bytes]
                        await window.take(len(piece))
                        await self._writable.wait()
                        await link.send_in_turn(
                            functools.partial(self.send, [PIECE, number, piece])
                        )
        except (AnswerCutError, TimeoutError) as error:
            self.send([FAILED, number, repr(error)])
        except Exception as error:
            logger.error("event=peer_request_failed kind=piece error={!r}", error)
            self.send([FAILED, number, repr(error)])
        finally:
            del self._windows[number]
            body.close()

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        self._server.connections.discard(self)
        self._server.unknown.remove(self)
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
    memory
        Budget for what all peers send.

    Attributes
    ----------
    handlers
        Coroutine functions by kind of request; each returns the reply.
    instant_handlers
        Functions that return the reply at once, by kind of request. They save a task and two
        iterations of the event loop for each request.
    unknown
        Connections that have not said whose they are.
    link
        Turns of the pieces that are sent on all connections.
    """

    def __init__(
        self,
        on_greeting: Callable[[list[str]], None],
        node: str,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.memory = memory if memory is not None else MemoryBudget()
        self.on_greeting = on_greeting
        self.node = node
        self.handlers: dict[str, Callable[[Any, Delivery], Awaitable[Any]]] = {}
        self.instant_handlers: dict[str, Callable[[Any, Delivery], Any]] = {}
        self.connections: set[_ServerProtocol] = set()
        self.link = PieceLink()
        self.unknown: ConnectionShare[_ServerProtocol] = ConnectionShare(UNKNOWN_PEERS_SHARE)
        self._acceptor: Acceptor | None = None

    async def start(self, address: str) -> None:
        """Listen on a ``host:port``.

        Raises
        ------
        OSError
            If the address cannot be listened on.
        """
        host, _, port = address.rpartition(":")
        self._acceptor = Acceptor(
            bind_socket(host, int(port)),
            LISTEN_BACKLOG,
            lambda: self.unknown.has_room,
            self._make_room,
            self._choose_protocol,
            self._close_unknown,
        )

    def _make_room(self) -> Room:
        if self.unknown.has_room:
            return Room.NOW
        return Room.NEXT_TURN if self._close_unknown() else Room.SOON

    def _close_unknown(self) -> bool:
        """Close the connection that has not said for longest whose it is, if there is one."""
        connection = self.unknown.take_idle(read_clock())
        if connection is not None:
            connection.close()
        return connection is not None

    def _choose_protocol(self) -> _ServerProtocol:
        protocol = _ServerProtocol(self)
        self.unknown.add(protocol, read_clock())
        return protocol

    @property
    def has_undelivered(self) -> bool:
        """Whether any client has not received all that was written for it, as far as known."""
        return any(connection.has_undelivered for connection in self.connections)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._acceptor is not None:
            self._acceptor.close()
        for connection in list(self.connections):
            connection.close()

    def close_silent(self, max_silence_s: float) -> None:
        """Close connections that received nothing for so long, or do not say whose they are."""
        now = read_clock()
        for connection in list(self.connections):
            silence_s = now - connection.last_received_at
            is_unknown = connection in self.unknown
            if silence_s > max_silence_s or (
                is_unknown and now - connection.opened_at > GREETING_TIMEOUT_S
            ):
                connection.close()
