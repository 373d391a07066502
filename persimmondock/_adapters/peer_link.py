"""Messages between daemons over pynng.

Each daemon listens on one address and dials each peer that it sends to. Messages to one peer that
are queued in the same turn of the event loop travel in one frame, sealed with the key that all
daemons share. A link does not promise delivery: frames to a peer that cannot be reached are
dropped, and whoever sent a message that needs an answer sends it again.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from typing import TYPE_CHECKING

import attrs
import pynng
from loguru import logger

from persimmondock._domain.codec import decode_messages, encode_message, join_messages
from persimmondock._domain.messages import FrameError, Message
from persimmondock._domain.sealing import (
    NO_NONCE,
    FrameKind,
    ReplayGuard,
    SealedFrame,
    Sealer,
    StaleNonceError,
    generate_nonce,
)

if TYPE_CHECKING:
    from collections.abc import Callable

SEND_TIMEOUT_MS = 1_000
RECONNECT_TIMEOUT_MS = 300
GREETING_TIMEOUT_S = 1.0
GREETING_RETRY_S = 0.1
MAX_FRAME_BYTES = 16 * 1024 * 1024
FULL_FRAME_BYTES = 256 * 1024
MAX_QUEUED_MESSAGES = 4_096
MAX_QUEUED_BYTES = 16 * 1024 * 1024
MAX_TOTAL_QUEUED_BYTES = 64 * 1024 * 1024
MAX_PEERS = 4_096
MAX_READY_FRAMES = 16
IDLE_S = 60.0
UNREACHABLE_S = 0.5
CLOSE_WITHIN_S = 2.0
REPORT_EVERY_S = 1.0


@attrs.frozen
class _Queued:
    """A message with its encoding."""

    message: Message
    data: bytes


@attrs.define
class _Outbox:
    """Messages on their way to one peer, and the task that sends them.

    Parameters
    ----------
    unreachable_until
        Monotonic instant until which messages are refused, because none could be sent.
    peer_nonce
        The peer's nonce, or ``NO_NONCE`` while it is not known.
    token
        Random value of the present connection; only a greeting's reply that echoes it counts.
    replies
        Tokens of the peer's greetings that wait for a reply.
    """

    address: str
    queue: list[_Queued] = attrs.field(factory=list)
    queued_bytes: int = 0
    ready: asyncio.Event = attrs.field(factory=asyncio.Event)
    greeted: asyncio.Event = attrs.field(factory=asyncio.Event)
    task: asyncio.Task[None] | None = None
    unreachable_until: float = 0.0
    peer_nonce: bytes = NO_NONCE
    token: bytes = attrs.field(factory=generate_nonce)
    replies: list[bytes] = attrs.field(factory=list)

    def forget_peer(self) -> None:
        """Require a new greeting; the peer may have been replaced."""
        self.peer_nonce = NO_NONCE
        self.token = generate_nonce()
        self.greeted.clear()

    def take(self, max_bytes: int) -> list[_Queued]:
        """Remove from the queue what fits into a number of bytes, at least one message."""
        count, size = 0, 0
        for item in self.queue:
            if count and size + len(item.data) > max_bytes:
                break
            count += 1
            size += len(item.data)
        taken, self.queue = self.queue[:count], self.queue[count:]
        self.queued_bytes -= size
        return taken


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
        Called at most once a second with what was refused since the last time.
    peer_key
        Secret that all daemons share.

    Attributes
    ----------
    undelivered
        Called with messages that were queued, have not left this process and never will.
    disconnected
        Called with a peer's address when the connection to it was lost.
    refused
        Frames and connections that were refused, by reason.
    """

    def __init__(
        self,
        daemon: str,
        address: str,
        receive: Callable[[Message, str], None],
        refuse: Callable[[str], None],
        peer_key: str,
    ) -> None:
        self._daemon = daemon
        self._address = address
        self._receive = receive
        self._refuse = refuse
        self._sealer = Sealer(peer_key)
        self._guard = ReplayGuard()
        self._nonce = generate_nonce()
        self._number = 0
        self._queued_bytes = 0
        self._closing = False
        self.undelivered: Callable[[tuple[Message, ...]], None] = lambda _: None
        self.disconnected: Callable[[str], None] = lambda _: None
        self.refused: Counter[str] = Counter()
        self._unreported: Counter[str] = Counter()
        self._report_at = 0.0
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
        socket.add_pre_pipe_connect_cb(_make_limiter(socket))
        try:
            socket.listen(f"tcp://{self._address}")
        except pynng.NNGException as error:
            socket.close()
            raise OSError(f"cannot listen on {self._address}: {error}") from error
        self._listener = socket
        self._reader = asyncio.create_task(self._read(socket))

    async def close(self) -> None:
        """Stop all tasks and close all sockets."""
        self._closing = True
        tasks = [outbox.task for outbox in self._outboxes.values() if outbox.task is not None]
        if self._reader is not None:
            tasks.append(self._reader)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=CLOSE_WITHIN_S)
        self._outboxes.clear()
        if self._listener is not None:
            self._listener.close()

    def send(self, address: str, message: Message) -> bool:
        """Queue a message; return False when the peer is not reachable or too much waits."""
        outbox = self._open_outbox(address)
        if outbox is None or time.monotonic() < outbox.unreachable_until:
            return False
        data = encode_message(message)
        if not self._has_room(outbox, len(data)):
            self._count_refused("queue full")
            return False
        outbox.queue.append(_Queued(message, data))
        outbox.queued_bytes += len(data)
        self._queued_bytes += len(data)
        outbox.ready.set()
        return True

    def _open_outbox(self, address: str) -> _Outbox | None:
        outbox = self._outboxes.get(address)
        if outbox is None:
            if len(self._outboxes) >= MAX_PEERS:
                self._count_refused("too many peers")
                return None
            outbox = self._outboxes[address] = _Outbox(address)
            outbox.task = asyncio.create_task(self._write(outbox))
        return outbox

    def _has_room(self, outbox: _Outbox, size: int) -> bool:
        return (
            size <= MAX_FRAME_BYTES - FULL_FRAME_BYTES
            and len(outbox.queue) < MAX_QUEUED_MESSAGES
            and outbox.queued_bytes + size <= MAX_QUEUED_BYTES
            and self._queued_bytes + size <= MAX_TOTAL_QUEUED_BYTES
        )

    def _take(self, outbox: _Outbox, max_bytes: int) -> list[_Queued]:
        """Remove from a queue what fits into a number of bytes, at least one message."""
        taken = outbox.take(max_bytes)
        self._queued_bytes -= sum(len(item.data) for item in taken)
        return taken

    # Receiving.

    async def _read(self, socket: pynng.Pull0) -> None:
        while not self._closing:
            try:
                self._take_frame(await socket.arecv())
                self._take_ready(socket)
            except pynng.Closed:
                return
            except pynng.NNGException as error:
                self._count_refused(type(error).__name__)

    def _take_ready(self, socket: pynng.Pull0) -> None:
        """Take the frames that are there already, without waiting."""
        for _ in range(MAX_READY_FRAMES):
            try:
                self._take_frame(socket.recv(block=False))
            except pynng.TryAgain:
                return

    def _take_frame(self, data: bytes) -> None:
        """Open a frame and hand on what it carries; nothing that comes in ends the reader."""
        try:
            frame = self._sealer.open(data)
            match frame.kind:
                case FrameKind.GREETING:
                    self._reply_to(frame)
                case FrameKind.GREETING_REPLY:
                    self._take_reply(frame)
                case FrameKind.MESSAGES:
                    self._take_messages(frame)
        except FrameError as error:
            self._count_refused(str(error))

    def _reply_to(self, frame: SealedFrame) -> None:
        outbox = self._open_outbox(frame.sender)
        if outbox is not None and frame.token not in outbox.replies:
            outbox.replies = [*outbox.replies, frame.token][-2:]
            outbox.ready.set()

    def _take_reply(self, frame: SealedFrame) -> None:
        outbox = self._outboxes.get(frame.sender)
        if outbox is None or outbox.token != frame.token:
            raise FrameError("reply to no greeting")
        outbox.peer_nonce = frame.payload
        outbox.greeted.set()

    def _take_messages(self, frame: SealedFrame) -> None:
        try:
            self._guard.admit(frame)
        except StaleNonceError:
            self._reply_to(frame)
            raise
        for message in decode_messages(frame.payload):
            try:
                self._receive(message, frame.sender)
            except Exception:
                logger.exception("event=message_failed kind={}", type(message).__name__)

    def _count_refused(self, reason: str) -> None:
        """Count what was refused and report the sums once a second at most."""
        self.refused[reason] += 1
        self._unreported[reason] += 1
        now = time.monotonic()
        if now >= self._report_at:
            self._report_at = now + REPORT_EVERY_S
            self._refuse(", ".join(f"{name}: {n}" for name, n in self._unreported.items()))
            self._unreported.clear()

    # Sending.

    async def _write(self, outbox: _Outbox) -> None:
        """Send what is queued for one peer; ends when nothing was queued for a while."""
        socket = pynng.Push0(send_timeout=SEND_TIMEOUT_MS)
        try:
            self._watch_connection(socket, outbox)
            socket.dial(f"tcp://{outbox.address}", block=False)
            while not self._closing and await self._wait_for_work(outbox):
                await self._send_queued(socket, outbox)
        finally:
            socket.close()
            if self._outboxes.get(outbox.address) is outbox:
                del self._outboxes[outbox.address]
            self._return(outbox, self._take(outbox, MAX_TOTAL_QUEUED_BYTES))

    async def _wait_for_work(self, outbox: _Outbox) -> bool:
        try:
            async with asyncio.timeout(IDLE_S):
                await outbox.ready.wait()
        except TimeoutError:
            return bool(outbox.queue)
        return True

    async def _send_queued(self, socket: pynng.Push0, outbox: _Outbox) -> None:
        """Send all that is queued, or return it if no connection takes it."""
        outbox.ready.clear()
        taken: list[_Queued] = []
        try:
            await self._send_replies(socket, outbox)
            while outbox.queue:
                if outbox.peer_nonce == NO_NONCE:
                    await self._greet(socket, outbox)
                taken = self._take(outbox, FULL_FRAME_BYTES)
                payload = join_messages([item.data for item in taken])
                await self._send(socket, outbox, FrameKind.MESSAGES, payload, outbox.peer_nonce)
                taken = []
        except (pynng.Timeout, TimeoutError):
            if not socket.pipes:
                outbox.unreachable_until = time.monotonic() + UNREACHABLE_S
            self._return(outbox, [*taken, *self._take(outbox, MAX_TOTAL_QUEUED_BYTES)])

    async def _send_replies(self, socket: pynng.Push0, outbox: _Outbox) -> None:
        while outbox.replies:
            token = outbox.replies.pop()
            await self._send(
                socket, outbox, FrameKind.GREETING_REPLY, self._guard.nonce, NO_NONCE, token
            )

    async def _greet(self, socket: pynng.Push0, outbox: _Outbox) -> None:
        """Learn the peer's nonce; the peer's own greeting is answered meanwhile.

        Raises
        ------
        TimeoutError
            If the peer does not reply in time.
        """
        deadline = time.monotonic() + GREETING_TIMEOUT_S
        while not outbox.greeted.is_set():
            if time.monotonic() >= deadline:
                raise TimeoutError
            await self._send(socket, outbox, FrameKind.GREETING, b"", NO_NONCE)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(GREETING_RETRY_S):
                    await outbox.greeted.wait()
            await self._send_replies(socket, outbox)

    async def _send(
        self,
        socket: pynng.Push0,
        outbox: _Outbox,
        kind: FrameKind,
        payload: bytes,
        receiver_nonce: bytes,
        token: bytes | None = None,
    ) -> None:
        self._number += 1
        frame = SealedFrame(
            kind=kind,
            sender=self._address,
            sender_nonce=self._nonce,
            receiver_nonce=receiver_nonce,
            token=outbox.token if token is None else token,
            number=self._number,
            payload=payload,
        )
        data = self._sealer.seal(frame)
        try:
            socket.send(data, block=False)
        except pynng.TryAgain:
            await socket.asend(data)

    def _return(self, outbox: _Outbox, items: list[_Queued]) -> None:
        if items:
            self.undelivered(tuple(item.message for item in items))

    def _watch_connection(self, socket: pynng.Push0, outbox: _Outbox) -> None:
        """Follow the one connection of a socket; pynng calls back from threads of its own."""
        loop = asyncio.get_running_loop()

        def note_connected() -> None:
            outbox.unreachable_until = 0.0
            with contextlib.suppress(pynng.NNGException):
                socket.send_timeout = RECONNECT_TIMEOUT_MS

        def note_lost() -> None:
            outbox.forget_peer()
            if self._outboxes.get(outbox.address) is outbox:
                self.disconnected(outbox.address)

        def call_later(note: Callable[[], None]) -> None:
            with contextlib.suppress(RuntimeError):
                loop.call_soon_threadsafe(note)

        socket.add_post_pipe_connect_cb(lambda _: call_later(note_connected))
        socket.add_post_pipe_remove_cb(lambda _: call_later(note_lost))


def _make_limiter(socket: pynng.Pull0) -> Callable[[pynng.Pipe], None]:
    """Return a callback that closes connections above the number of peers."""

    def limit(pipe: pynng.Pipe) -> None:
        if len(socket.pipes) > MAX_PEERS:
            pipe.close()

    return limit
