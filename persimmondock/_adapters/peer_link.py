"""Messages between daemons over pynng.

Each daemon listens on one address and dials each peer that it sends to. Messages to one peer that
are queued in the same turn of the event loop travel in one frame. A link does not promise
delivery: frames to a peer that cannot be reached are dropped, and whoever sent a message that
needs an answer sends it again.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import attrs
import pynng

from persimmondock._domain.messages import Frame, FrameError, Message, decode_frame, encode_frame

if TYPE_CHECKING:
    from collections.abc import Callable

SEND_TIMEOUT_MS = 1_000
RECONNECT_TIMEOUT_MS = 300
MAX_FRAME_BYTES = 32 * 1024 * 1024
MAX_QUEUED_MESSAGES = 4_096
IDLE_S = 60.0


@attrs.define
class _Outbox:
    """Messages on their way to one peer, and the task that sends them."""

    queue: list[Message] = attrs.field(factory=list)
    ready: asyncio.Event = attrs.field(factory=asyncio.Event)
    task: asyncio.Task[None] | None = None
    unreachable: bool = False


class PeerLink:
    """One daemon's sockets towards its peers.

    Parameters
    ----------
    daemon
        Name of this daemon.
    address
        ``host:port`` to listen on, and where peers answer.
    receive
        Called with each message and its sender's address.
    refuse
        Called with the reason when a frame cannot be decoded.

    Attributes
    ----------
    undelivered
        Called with messages that were queued, have not left this process and never will.
    disconnected
        Called with a peer's address when the connection to it was lost.
    """

    def __init__(
        self,
        daemon: str,
        address: str,
        receive: Callable[[Message, str], None],
        refuse: Callable[[str], None],
    ) -> None:
        self._daemon = daemon
        self._address = address
        self._receive = receive
        self._refuse = refuse
        self.undelivered: Callable[[tuple[Message, ...]], None] = lambda _: None
        self.disconnected: Callable[[str], None] = lambda _: None
        self._outboxes: dict[str, _Outbox] = {}
        self._listener: pynng.Pull0 | None = None
        self._reader: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen for peers.

        Raises
        ------
        OSError
            If the address is in use or not an address of this VM.
        """
        socket = pynng.Pull0(recv_max_size=MAX_FRAME_BYTES)
        try:
            socket.listen(f"tcp://{self._address}")
        except pynng.NNGException as error:
            socket.close()
            raise OSError(f"cannot listen on {self._address}: {error}") from error
        self._listener = socket
        self._reader = asyncio.create_task(self._read(socket))

    async def close(self) -> None:
        """Stop all tasks and close all sockets."""
        tasks = [self._reader, *(outbox.task for outbox in self._outboxes.values())]
        for task in tasks:
            if task is not None:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
        self._outboxes.clear()
        if self._listener is not None:
            self._listener.close()

    def send(self, address: str, message: Message) -> bool:
        """Queue a message; return False when the peer is not reachable or too many wait."""
        outbox = self._outboxes.get(address)
        if outbox is None:
            outbox = self._outboxes[address] = _Outbox()
            outbox.task = asyncio.create_task(self._write(address, outbox))
        if outbox.unreachable or len(outbox.queue) >= MAX_QUEUED_MESSAGES:
            return False
        outbox.queue.append(message)
        outbox.ready.set()
        return True

    async def _read(self, socket: pynng.Pull0) -> None:
        while True:
            data = await socket.arecv()
            try:
                frame = decode_frame(data)
            except FrameError as error:
                self._refuse(str(error))
                continue
            for message in frame.messages:
                self._receive(message, frame.reply_address)

    async def _write(self, address: str, outbox: _Outbox) -> None:
        """Send what is queued for one peer; ends when nothing was queued for a while."""
        socket = pynng.Push0(send_timeout=SEND_TIMEOUT_MS)
        try:
            self._watch_connection(socket, address, outbox)
            socket.dial(f"tcp://{address}", block=False)
            while await self._wait_for_messages(outbox):
                await self._send_queued(socket, outbox)
        finally:
            socket.close()
            if self._outboxes.get(address) is outbox:
                del self._outboxes[address]
            self.undelivered(tuple(outbox.queue))

    async def _send_queued(self, socket: pynng.Push0, outbox: _Outbox) -> None:
        """Send all queued messages in one frame, or return them if no connection takes it."""
        messages, outbox.queue = tuple(outbox.queue), []
        outbox.ready.clear()
        frame = Frame(self._daemon, self._address, messages)
        try:
            await socket.asend(encode_frame(frame))
        except pynng.Timeout:
            outbox.unreachable = not socket.pipes
            returned, outbox.queue = (*messages, *outbox.queue), []
            self.undelivered(returned)

    def _watch_connection(self, socket: pynng.Push0, address: str, outbox: _Outbox) -> None:
        """Follow the one connection of a socket; pynng calls back from threads of its own."""
        loop = asyncio.get_running_loop()

        def note_connected() -> None:
            outbox.unreachable = False
            with contextlib.suppress(pynng.NNGException):
                socket.send_timeout = RECONNECT_TIMEOUT_MS

        def note_lost() -> None:
            if self._outboxes.get(address) is outbox:
                self.disconnected(address)

        def call_later(note: Callable[[], None]) -> None:
            with contextlib.suppress(RuntimeError):
                loop.call_soon_threadsafe(note)

        socket.add_post_pipe_connect_cb(lambda _: call_later(note_connected))
        socket.add_post_pipe_remove_cb(lambda _: call_later(note_lost))

    async def _wait_for_messages(self, outbox: _Outbox) -> bool:
        try:
            await asyncio.wait_for(outbox.ready.wait(), IDLE_S)
        except TimeoutError:
            return bool(outbox.queue)
        return True
