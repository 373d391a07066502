"""Requests between daemons over TCP.

Each daemon dials each peer that it talks to. Frames are msgpack behind a length. A request gets one
reply, or the error that the connection was lost; whoever asked may cancel. Both ends notice a
silent connection by its missing heartbeats and close it, which pynng's sockets do not offer.

A frame that waited in a buffer while a machine stood still is late. Frames carry the sender's
clock; the least difference between the two clocks that was seen on a connection is its delay, and
what a frame took longer than that is its age.
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
from persimmondock._adapters.sockets import tune_socket

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

CONNECT_TIMEOUT_S = 1.0  # a peer in another failure domain answers within a few ms
RECONNECT_S = 0.25  # machines come back within 1.5 s of a power loss
MAX_RECONNECT_S = 2.0
MAX_FRAME_BYTES = 72 * 1024 * 1024
MAX_UNSENT_BYTES = 8 * 1024 * 1024
LENGTH = struct.Struct(">I")

REQUEST, REPLY, CANCEL, FAILED = 0, 1, 2, 3


class PeerLostError(Exception):
    """No reply; ``sent`` tells whether the peer may have got the request."""

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


@attrs.frozen
class Delivered:
    """How a request came in.

    Parameters
    ----------
    peer
        Name that the dialling daemon gave in its first frame.
    age_s
        Seconds that it took longer than the quickest frame of its connection.
    """

    peer: str
    age_s: float


class _FrameProtocol(asyncio.Protocol):
    """Splits bytes into frames."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.heard_at = read_clock()
        self._buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            tune_socket(sock)

    def data_received(self, data: bytes) -> None:
        self.heard_at = read_clock()
        buffer = self._buffer
        buffer += data
        position = 0
        try:
            while len(buffer) - position >= LENGTH.size:
                (length,) = LENGTH.unpack_from(buffer, position)
                if length > MAX_FRAME_BYTES:
                    raise ValueError(f"a frame of {length} bytes")
                end = position + LENGTH.size + length
                if len(buffer) < end:
                    break
                frame = msgpack.unpackb(
                    bytes(buffer[position + LENGTH.size : end]), strict_map_key=False
                )
                position = end
                self.take_frame(frame)
        except (ValueError, TypeError, IndexError, msgpack.UnpackException) as error:
            logger.warning("event=frame_refused detail={!r}", error)
            self.close()
        del buffer[:position]

    def send(self, frame: list[Any]) -> None:
        """Write one frame."""
        if self.transport is None or self.transport.is_closing():
            return
        data = msgpack.packb(frame)
        self.transport.write(LENGTH.pack(len(data)) + data)

    def close(self) -> None:
        """End the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def take_frame(self, frame: list[Any]) -> None:
        """Handle one frame."""
        raise NotImplementedError


class _ClientProtocol(_FrameProtocol):
    def __init__(self, link: PeerLink) -> None:
        super().__init__()
        self._link = link

    def take_frame(self, frame: list[Any]) -> None:
        kind, number, payload = frame
        future = self._link.pending.pop(number, None)
        if future is None or future.done():
            return
        if kind == REPLY:
            future.set_result(payload)
        else:
            future.set_exception(PeerLostError(str(payload), sent=True))

    def connection_lost(self, error: Exception | None) -> None:
        self._link.note_lost(self, repr(error))


class PeerLink:
    """The dialled connection to one peer.

    Parameters
    ----------
    greeting
        What this daemon tells of itself first; its name comes first.
    """

    def __init__(self, greeting: list[str], node: str, address: str) -> None:
        self.node = node
        self.address = address
        self.pending: dict[int, asyncio.Future[Any]] = {}
        self._greeting = greeting
        self._number = 0
        self._protocol: _ClientProtocol | None = None
        self._task = asyncio.create_task(self._stay_connected())
        self._lost = asyncio.Event()

    @property
    def connected(self) -> bool:
        """Whether there is a connection."""
        return self._protocol is not None

    async def request(self, kind: str, payload: Any) -> Any:
        """Send a request and return its reply.

        Raises
        ------
        PeerLostError
            If there is none.
        """
        protocol = self._protocol
        if protocol is None or protocol.transport is None:
            raise PeerLostError("not connected", sent=False)
        if protocol.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            raise PeerLostError("the peer does not read", sent=False)
        self._number += 1
        number = self._number
        future = asyncio.get_running_loop().create_future()
        self.pending[number] = future
        protocol.send([REQUEST, number, kind, payload, read_clock()])
        try:
            return await future
        except asyncio.CancelledError:
            if self.pending.pop(number, None) is not None and self._protocol is protocol:
                protocol.send([CANCEL, number, None, None, read_clock()])
            raise

    def drop(self, detail: str) -> None:
        """End a connection that is silent; a new one is made."""
        if self._protocol is not None:
            logger.info("event=peer_dropped peer={} detail={!r}", self.node, detail)
            self._protocol.close()

    def note_lost(self, protocol: _ClientProtocol, detail: str) -> None:
        """Fail what waits for replies on a connection that has ended."""
        if self._protocol is not protocol:
            return
        self._protocol = None
        pending, self.pending = self.pending, {}
        for future in pending.values():
            if not future.done():
                future.set_exception(PeerLostError(detail, sent=True))
        self._lost.set()

    def close(self) -> None:
        """End the connection for good."""
        self._task.cancel()
        if self._protocol is not None:
            self._protocol.close()

    async def _stay_connected(self) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        pause = RECONNECT_S
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, protocol = await loop.create_connection(
                        lambda: _ClientProtocol(self), host, int(port)
                    )
            except (TimeoutError, OSError):
                await asyncio.sleep(pause)
                pause = min(MAX_RECONNECT_S, 2 * pause)
                continue
            pause = RECONNECT_S
            self._lost.clear()
            protocol.send([REQUEST, 0, "hello", self._greeting, read_clock()])
            self._protocol = protocol
            await self._lost.wait()


class _ServerProtocol(_FrameProtocol):
    def __init__(self, server: PeerServer) -> None:
        super().__init__()
        self._server = server
        self._peer = ""
        self._delay = math.inf
        self._running: dict[int, asyncio.Task[None]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._server.connections.add(self)

    def take_frame(self, frame: list[Any]) -> None:
        kind, number, name, payload, sent_at = frame
        delay = read_clock() - sent_at
        self._delay = min(self._delay, delay)
        if kind == CANCEL:
            task = self._running.get(number)
            if task is not None:
                task.cancel()
            return
        if name == "hello":
            self._peer = payload[0]
            self._server.greeted(payload)
            return
        delivered = Delivered(self._peer, delay - self._delay)
        task = asyncio.create_task(self._answer(number, name, payload, delivered))
        self._running[number] = task
        task.add_done_callback(lambda _: self._running.pop(number, None))

    async def _answer(self, number: int, name: str, payload: Any, delivered: Delivered) -> None:
        try:
            reply = await self._server.handlers[name](payload, delivered)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            logger.error("event=peer_request_failed kind={} error={!r}", name, error)
            self.send([FAILED, number, repr(error)])
            return
        self.send([REPLY, number, reply])

    def connection_lost(self, error: Exception | None) -> None:
        self._server.connections.discard(self)
        for task in list(self._running.values()):
            task.cancel()


class PeerServer:
    """Answers the requests of other daemons.

    Parameters
    ----------
    greeted
        Called with what a daemon that dialled tells of itself.
    """

    def __init__(self, greeted: Callable[[list[str]], None]) -> None:
        self.greeted = greeted
        self.handlers: dict[str, Callable[[Any, Delivered], Awaitable[Any]]] = {}
        self.connections: set[_ServerProtocol] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen.

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
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()

    def drop_silent(self, silent_s: float) -> None:
        """End connections on which no heartbeat came for a time."""
        now = read_clock()
        for connection in list(self.connections):
            if now - connection.heard_at > silent_s:
                connection.close()
