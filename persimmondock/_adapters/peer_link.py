"""Messages between daemons over pynng.

Each daemon listens on one address and dials each peer that it sends to. Messages that are queued
for one peer in the same turn of the event loop share a frame, which is authenticated with a key
that all daemons share. Delivery is not guaranteed: messages to an unreachable peer are dropped, and
the sender of a message that needs a reply must send it again.

`persimmondock._domain.frame_authentication` describes the handshake of greetings and the replay
protection.
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
from persimmondock._domain.frame_authentication import (
    NO_NONCE,
    Frame,
    FrameAuthenticator,
    FrameKind,
    ReplayGuard,
    StaleNonceError,
    generate_nonce,
)
from persimmondock._domain.messages import FrameError, Message

if TYPE_CHECKING:
    from collections.abc import Callable

SEND_TIMEOUT_MS = 1_000
RECONNECT_TIMEOUT_MS = 300  # replaces SEND_TIMEOUT_MS once the peer has been connected
GREETING_TIMEOUT_S = 1.0
GREETING_RETRY_INTERVAL_S = 0.1
MAX_FRAME_BYTES = 16 * 1024 * 1024
TARGET_FRAME_BYTES = 256 * 1024
MAX_QUEUED_MESSAGES = 4_096
MAX_QUEUED_BYTES = 16 * 1024 * 1024
MAX_TOTAL_QUEUED_BYTES = 64 * 1024 * 1024
MAX_PEERS = 4_096
MAX_FRAMES_PER_WAKEUP = 16
IDLE_TIMEOUT_S = 60.0
UNREACHABLE_BACKOFF_S = 0.5
CLOSE_TIMEOUT_S = 2.0
REPORT_INTERVAL_S = 1.0


@attrs.frozen
class _QueuedMessage:
    """A message and its encoded bytes."""

    message: Message
    data: bytes


@attrs.define
class _Outbox:
    """Messages queued for one peer, and the task that sends them.

    Parameters
    ----------
    ready
        Set when messages or greeting replies wait to be sent.
    greeted
        Set when the peer has replied to the greeting.
    unreachable_until
        Monotonic time in seconds until which messages are refused, after a send has timed out
        without a connection.
    peer_nonce
        The peer's nonce, or ``NO_NONCE`` while it is unknown.
    token
        Random value of the current connection; a greeting reply is valid only if it echoes it.
    reply_tokens
        Tokens of the peer's greetings that have not been replied to; only the last two are kept.
    """

    address: str
    queue: list[_QueuedMessage] = attrs.field(factory=list)
    queued_bytes: int = 0
    ready: asyncio.Event = attrs.field(factory=asyncio.Event)
    greeted: asyncio.Event = attrs.field(factory=asyncio.Event)
    task: asyncio.Task[None] | None = None
    unreachable_until: float = 0.0
    peer_nonce: bytes = NO_NONCE
    token: bytes = attrs.field(factory=generate_nonce)
    reply_tokens: list[bytes] = attrs.field(factory=list)

    def reset_greeting(self) -> None:
        """Require a new greeting; the peer may have restarted."""
        self.peer_nonce = NO_NONCE
        self.token = generate_nonce()
        self.greeted.clear()

    def pop_batch(self, max_bytes: int) -> list[_QueuedMessage]:
        """Remove and return messages of at most ``max_bytes`` in total, or one larger message."""
        count, size = 0, 0
        for item in self.queue:
            if count and size + len(item.data) > max_bytes:
                break
            count += 1
            size += len(item.data)
        batch, self.queue = self.queue[:count], self.queue[count:]
        self.queued_bytes -= size
        return batch


class PeerTransport:
    """One daemon's connections to its peers.

    Parameters
    ----------
    daemon
        Name of this daemon.
    address
        ``host:port`` to listen on; frames name it as their sender, and peers reply to it.
    receive
        Called with each message and its sender's address.
    report_refusals
        Called at most once a second with the counts of refusals since the last call, as text.
    peer_key
        Secret that all daemons share.

    Attributes
    ----------
    on_undelivered
        Called with queued messages that have not left this process and will not be sent.
    on_disconnected
        Called with a peer's address when the connection to it is lost.
    refused
        Number of refused frames, messages and peers, by reason.
    """

    def __init__(
        self,
        daemon: str,
        address: str,
        receive: Callable[[Message, str], None],
        report_refusals: Callable[[str], None],
        peer_key: str,
    ) -> None:
        self._daemon = daemon
        self._address = address
        self._receive = receive
        self._report_refusals = report_refusals
        self._authenticator = FrameAuthenticator(peer_key)
        self._replay_guard = ReplayGuard()
        self._nonce = generate_nonce()
        self._last_frame_number = 0
        self._queued_bytes = 0
        self._closing = False
        self.on_undelivered: Callable[[tuple[Message, ...]], None] = lambda _: None
        self.on_disconnected: Callable[[str], None] = lambda _: None
        self.refused: Counter[str] = Counter()
        self._unreported: Counter[str] = Counter()
        self._next_report_at = 0.0
        self._outboxes: dict[str, _Outbox] = {}
        self._listener: pynng.Pull0 | None = None
        self._receive_task: asyncio.Task[None] | None = None

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
        self._receive_task = asyncio.create_task(self._receive_frames(socket))

    async def close(self) -> None:
        """Stop all tasks and close all sockets."""
        self._closing = True
        tasks = [outbox.task for outbox in self._outboxes.values() if outbox.task is not None]
        if self._receive_task is not None:
            tasks.append(self._receive_task)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=CLOSE_TIMEOUT_S)
        self._outboxes.clear()
        if self._listener is not None:
            self._listener.close()

    def send(self, address: str, message: Message) -> bool:
        """Queue a message; return False if the peer is unreachable or a limit is reached."""
        outbox = self._open_outbox(address)
        if outbox is None or time.monotonic() < outbox.unreachable_until:
            return False
        data = encode_message(message)
        if not self._has_room(outbox, len(data)):
            self._count_refusal("queue full")
            return False
        outbox.queue.append(_QueuedMessage(message, data))
        outbox.queued_bytes += len(data)
        self._queued_bytes += len(data)
        outbox.ready.set()
        return True

    def _open_outbox(self, address: str) -> _Outbox | None:
        outbox = self._outboxes.get(address)
        if outbox is None:
            if len(self._outboxes) >= MAX_PEERS:
                self._count_refusal("too many peers")
                return None
            outbox = self._outboxes[address] = _Outbox(address)
            outbox.task = asyncio.create_task(self._run_sender(outbox))
        return outbox

    def _has_room(self, outbox: _Outbox, size: int) -> bool:
        """Return whether a message fits into one frame with its header, and into the queues."""
        return (
            size <= MAX_FRAME_BYTES - TARGET_FRAME_BYTES
            and len(outbox.queue) < MAX_QUEUED_MESSAGES
            and outbox.queued_bytes + size <= MAX_QUEUED_BYTES
            and self._queued_bytes + size <= MAX_TOTAL_QUEUED_BYTES
        )

    def _pop_batch(self, outbox: _Outbox, max_bytes: int) -> list[_QueuedMessage]:
        """Remove and return a batch of messages, and subtract it from the total size."""
        batch = outbox.pop_batch(max_bytes)
        self._queued_bytes -= sum(len(item.data) for item in batch)
        return batch

    # Receiving.

    async def _receive_frames(self, socket: pynng.Pull0) -> None:
        while not self._closing:
            try:
                self._handle_frame(await socket.arecv())
                self._handle_ready_frames(socket)
            except pynng.Closed:
                return
            except pynng.NNGException as error:
                self._count_refusal(type(error).__name__)

    def _handle_ready_frames(self, socket: pynng.Pull0) -> None:
        """Handle frames that have already arrived, at most ``MAX_FRAMES_PER_WAKEUP``."""
        for _ in range(MAX_FRAMES_PER_WAKEUP):
            try:
                self._handle_frame(socket.recv(block=False))
            except pynng.TryAgain:
                return

    def _handle_frame(self, data: bytes) -> None:
        """Check a frame and handle its payload.

        An invalid frame is counted and dropped, so that no input ends the receiving task.
        """
        try:
            frame = self._authenticator.decode(data)
            match frame.kind:
                case FrameKind.GREETING:
                    self._queue_greeting_reply(frame)
                case FrameKind.GREETING_REPLY:
                    self._handle_greeting_reply(frame)
                case FrameKind.MESSAGES:
                    self._handle_messages(frame)
        except FrameError as error:
            self._count_refusal(str(error))

    def _queue_greeting_reply(self, frame: Frame) -> None:
        outbox = self._open_outbox(frame.sender)
        if outbox is not None and frame.token not in outbox.reply_tokens:
            outbox.reply_tokens = [*outbox.reply_tokens, frame.token][-2:]
            outbox.ready.set()

    def _handle_greeting_reply(self, frame: Frame) -> None:
        outbox = self._outboxes.get(frame.sender)
        if outbox is None or outbox.token != frame.token:
            raise FrameError("greeting reply does not match the greeting sent")
        outbox.peer_nonce = frame.payload
        outbox.greeted.set()

    def _handle_messages(self, frame: Frame) -> None:
        try:
            self._replay_guard.admit(frame)
        except StaleNonceError:
            # The reply tells the sender the current nonce.
            self._queue_greeting_reply(frame)
            raise
        for message in decode_messages(frame.payload):
            try:
                self._receive(message, frame.sender)
            except Exception:
                logger.exception("event=message_failed kind={}", type(message).__name__)

    def _count_refusal(self, reason: str) -> None:
        """Count a refusal, and report the counts at most once a second."""
        self.refused[reason] += 1
        self._unreported[reason] += 1
        now = time.monotonic()
        if now >= self._next_report_at:
            self._next_report_at = now + REPORT_INTERVAL_S
            self._report_refusals(", ".join(f"{name}: {n}" for name, n in self._unreported.items()))
            self._unreported.clear()

    # Sending.

    async def _run_sender(self, outbox: _Outbox) -> None:
        """Send messages to one peer until none is queued for ``IDLE_TIMEOUT_S`` seconds."""
        socket = pynng.Push0(send_timeout=SEND_TIMEOUT_MS)
        try:
            self._watch_connection(socket, outbox)
            socket.dial(f"tcp://{outbox.address}", block=False)
            while not self._closing and await self._wait_for_message(outbox):
                await self._send_queued(socket, outbox)
        finally:
            socket.close()
            if self._outboxes.get(outbox.address) is outbox:
                del self._outboxes[outbox.address]
            self._report_undelivered(outbox, self._pop_batch(outbox, MAX_TOTAL_QUEUED_BYTES))

    async def _wait_for_message(self, outbox: _Outbox) -> bool:
        """Wait for messages or greeting replies to send; return False if idle for too long."""
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                await outbox.ready.wait()
        except TimeoutError:
            return bool(outbox.queue)
        return True

    async def _send_queued(self, socket: pynng.Push0, outbox: _Outbox) -> None:
        """Send all queued messages, or report them as undelivered if sending times out."""
        outbox.ready.clear()
        batch: list[_QueuedMessage] = []
        try:
            await self._send_greeting_replies(socket, outbox)
            while outbox.queue:
                if outbox.peer_nonce == NO_NONCE:
                    await self._greet(socket, outbox)
                batch = self._pop_batch(outbox, TARGET_FRAME_BYTES)
                payload = join_messages([item.data for item in batch])
                await self._send_frame(
                    socket, outbox, FrameKind.MESSAGES, payload, outbox.peer_nonce
                )
                batch = []
        except (pynng.Timeout, TimeoutError):
            if not socket.pipes:
                outbox.unreachable_until = time.monotonic() + UNREACHABLE_BACKOFF_S
            self._report_undelivered(
                outbox, [*batch, *self._pop_batch(outbox, MAX_TOTAL_QUEUED_BYTES)]
            )

    async def _send_greeting_replies(self, socket: pynng.Push0, outbox: _Outbox) -> None:
        while outbox.reply_tokens:
            token = outbox.reply_tokens.pop()
            await self._send_frame(
                socket, outbox, FrameKind.GREETING_REPLY, self._replay_guard.nonce, NO_NONCE, token
            )

    async def _greet(self, socket: pynng.Push0, outbox: _Outbox) -> None:
        """Obtain the peer's nonce, replying to the peer's own greetings meanwhile.

        Raises
        ------
        TimeoutError
            If the peer does not reply within ``GREETING_TIMEOUT_S`` seconds.
        """
        deadline = time.monotonic() + GREETING_TIMEOUT_S
        while not outbox.greeted.is_set():
            if time.monotonic() >= deadline:
                raise TimeoutError
            await self._send_frame(socket, outbox, FrameKind.GREETING, b"", NO_NONCE)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(GREETING_RETRY_INTERVAL_S):
                    await outbox.greeted.wait()
            await self._send_greeting_replies(socket, outbox)

    async def _send_frame(
        self,
        socket: pynng.Push0,
        outbox: _Outbox,
        kind: FrameKind,
        payload: bytes,
        receiver_nonce: bytes,
        token: bytes | None = None,
    ) -> None:
        self._last_frame_number += 1
        frame = Frame(
            kind=kind,
            sender=self._address,
            sender_nonce=self._nonce,
            receiver_nonce=receiver_nonce,
            token=outbox.token if token is None else token,
            number=self._last_frame_number,
            payload=payload,
        )
        data = self._authenticator.encode(frame)
        try:
            socket.send(data, block=False)
        except pynng.TryAgain:
            await socket.asend(data)

    def _report_undelivered(self, outbox: _Outbox, items: list[_QueuedMessage]) -> None:
        if items:
            self.on_undelivered(tuple(item.message for item in items))

    def _watch_connection(self, socket: pynng.Push0, outbox: _Outbox) -> None:
        """Handle connects and disconnects of a socket; pynng calls back from its own threads."""
        loop = asyncio.get_running_loop()

        def handle_connected() -> None:
            outbox.unreachable_until = 0.0
            with contextlib.suppress(pynng.NNGException):
                socket.send_timeout = RECONNECT_TIMEOUT_MS

        def handle_disconnected() -> None:
            outbox.reset_greeting()
            if self._outboxes.get(outbox.address) is outbox:
                self.on_disconnected(outbox.address)

        def call_in_loop(callback: Callable[[], None]) -> None:
            with contextlib.suppress(RuntimeError):  # the event loop is closed
                loop.call_soon_threadsafe(callback)

        socket.add_post_pipe_connect_cb(lambda _: call_in_loop(handle_connected))
        socket.add_post_pipe_remove_cb(lambda _: call_in_loop(handle_disconnected))


def _make_limiter(socket: pynng.Pull0) -> Callable[[pynng.Pipe], None]:
    """Return a callback that closes connections in excess of ``MAX_PEERS``."""

    def limit(pipe: pynng.Pipe) -> None:
        if len(socket.pipes) > MAX_PEERS:
            pipe.close()

    return limit
