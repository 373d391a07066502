"""HTTP/1.1 server for whole requests and whole responses.

It parses with httptools. aiohttp's server takes half of a second of processor time and 12 MB of
memory on each VM before the first request, since it cannot be imported without its client.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import httptools
from loguru import logger

from persimmondock._adapters.accepting import Acceptor, Room
from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.server_messages import (
    NO_REQUEST,
    NO_ROOM,
    ServerLimits,
    ServerRequest,
    ServerResponse,
    has_body,
    render_response,
)
from persimmondock._adapters.sockets import (
    bind_socket,
    count_undelivered,
    has_unread_bytes,
    limit_reads,
    set_socket_options,
)
from persimmondock._adapters.supervision import keep_running
from persimmondock._domain.descriptor_budget import REFUSED_SHARE, ConnectionShare
from persimmondock._domain.memory_budget import (
    PIECE_BYTES,
    SMALL_BYTES,
    SMALL_SPARED_SHARE,
    MemoryAccount,
    MemoryBudget,
)
from persimmondock._domain.pipeline import Exchange, Pipeline
from persimmondock._ports.answer_body import AnswerCutError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from persimmondock._ports.answer_body import AnswerBody

LISTEN_BACKLOG = 1024
CHECK_INTERVAL_S = 0.5
REFUSAL_TIMEOUT_S = 1.0  # in which a connection that is refused must send its request
REPORT_INTERVAL_S = 1.0
RECEIVE_BYTES = 32 * 1024  # most that is received at once
CHUNK_BYTES = 5  # of a chunk, without its content
PARSE_BYTES = 16 * 1024  # bounds the requests that are parsed before reading can pause
FIELD_BYTES = 2 * PIECE_BYTES  # of the objects that hold the name and the value of a header
FIELD_MARKS = 3  # a colon and the end of the line
RESERVED_SHARE = 0.125  # of the memory, for small requests and for answers
NO_MEMORY_RETRY_S = 0.5
UNREAD_S = 1.0  # clients that read nothing for so long make room for requests of others
# A close before the client has everything may end in a reset, which discards what it has not read.
LINGER_S = 0.5  # for the client to close a connection after all was delivered
CLOSE_POLL_S = 0.02
DISCARDED_BYTES = 8 * 1024 * 1024  # per CHECK_INTERVAL_S, behind the last request
NOTHING = memoryview(b"")


class HttpServer:
    """Listens on one address and passes each request to a handler.

    Parameters
    ----------
    handle
        Returns the response to a request; it is cancelled when the client disconnects.
    may_overlap
        Returns whether a request may run beside others of its connection, and may be sent again
        if the connection closes before its response. By default no request may.
    memory
        Memory of the process for what others send, and for what clients have not read yet.
    find_limits
        Returns the limits in force, if they may change.
    share
        Connections that may be open. When it is used up, the one that has been idle for longest is
        closed, or the new one is refused.
    refusals
        Connections that may stay open until their request is refused.
    refuse
        Returns the response to a request on a connection for which there is no room.

    Attributes
    ----------
    idle_timeout_s
        The idle timeout in force. A shorter one counts once the former one has passed, since
        clients rely on the longer one until they know.
    draining
        Whether each connection ends with its next response behind which no request waits.
    closing
        Whether the server stops listening, and idle connections are closed as well.
    """

    def __init__(
        self,
        handle: Callable[[ServerRequest], Awaitable[ServerResponse]],
        limits: ServerLimits | None = None,
        may_overlap: Callable[[ServerRequest], bool] | None = None,
        memory: MemoryBudget | None = None,
        find_limits: Callable[[], ServerLimits] | None = None,
        share: ConnectionShare[_Connection] | None = None,
        refusals: ConnectionShare[_Connection] | None = None,
        refuse: Callable[[ServerRequest], ServerResponse] = lambda _: NO_ROOM,
    ) -> None:
        self.handle = handle
        self.limits = limits or (find_limits() if find_limits is not None else ServerLimits())
        self.idle_timeout_s = self.limits.idle_timeout_s
        self.memory = memory if memory is not None else MemoryBudget()
        self._find_limits = find_limits
        self._shorten_at = math.inf
        self.may_overlap = may_overlap or (lambda _: False)
        self.closing = False
        self.draining = False
        self.connections: set[_Connection] = set()
        self.share = ConnectionShare() if share is None else share
        self.refusals = ConnectionShare(REFUSED_SHARE) if refusals is None else refusals
        self.refuse = refuse
        self._address = ""
        self._report_at = -math.inf
        self._acceptor: Acceptor | None = None
        self._checker: asyncio.Task[None] | None = None

    async def listen(self, address: str) -> None:
        """Listen on a ``host:port``.

        Raises
        ------
        OSError
            If the address cannot be listened on.
        """
        host, _, port = address.rpartition(":")
        sock = bind_socket(host, int(port))
        set_socket_options(sock)
        self._address = address
        self._acceptor = Acceptor(
            sock,
            LISTEN_BACKLOG,
            lambda: self.share.has_room,
            self._make_room,
            self._choose_protocol,
            lambda: self._close_idle(self.share),
            render_response("GET", NO_ROOM, keep_alive=False),
        )
        self._checker = asyncio.create_task(
            keep_running("connection_deadlines", self._close_expired)
        )

    def stop_accepting(self) -> None:
        """Accept no more connections, while those accepted already are set up."""
        if self._acceptor is not None:
            self._acceptor.stop()

    async def close(self, within_s: float) -> None:
        """Stop listening, and close each connection once its requests are answered.

        Parameters
        ----------
        within_s
            Seconds after which the remaining connections are closed.
        """
        self.closing = True
        if self._acceptor is not None:
            self._acceptor.close()
        close_by = read_clock() + within_s
        self._close_idle_connections()
        while self.connections and read_clock() < close_by:
            await asyncio.sleep(min(CLOSE_POLL_S, within_s))
            self._close_idle_connections()
        if self._checker is not None:
            self._checker.cancel()
        for connection in list(self.connections):
            connection.abort()

    def _close_idle_connections(self) -> None:
        for connection in list(self.connections):
            connection.close_if_idle()

    def count_pipelined(self) -> int:
        """Return the number of requests behind others of their connections."""
        return sum(max(0, len(connection.pipeline) - 1) for connection in self.connections)

    def count_held_bytes(self) -> int:
        """Return the bytes of requests that wait and of responses behind unfinished ones."""
        return sum(connection.pipeline.held_bytes for connection in self.connections)

    def _make_room(self) -> Room:
        share = self.share
        if share.has_room:
            return Room.NOW
        if self._close_idle(share):
            return Room.NEXT_TURN
        if share.has_new:
            return Room.SOON
        if self.refusals.has_room:
            return Room.NOW
        oldest = self.refusals.find_oldest()
        if oldest is not None:
            oldest.end_refused()
        return Room.NEXT_TURN

    def _close_idle(self, share: ConnectionShare[_Connection]) -> bool:
        """Close the connection that has been idle for longest; return whether there was one."""
        while (connection := share.take_idle(read_clock())) is not None:
            if connection.make_way():
                share.idle_closed += 1
                self._report_full()
                return True
        return False

    def _choose_protocol(self) -> _Connection:
        share = self.share
        if not share.has_room:
            share.refused += 1
            self._report_full()
            share = self.refusals
        connection = _Connection(self, share)
        share.add(connection, read_clock())
        return connection

    def _report_full(self) -> None:
        now = read_clock()
        if now < self._report_at:
            return
        self._report_at = now + REPORT_INTERVAL_S
        logger.warning(
            "event=connections_full address={} open={} limit={} idle_closed={} refused={}",
            self._address,
            len(self.share),
            self.share.limit,
            self.share.idle_closed,
            self.share.refused,
        )

    def update_limits(self) -> None:
        """Put the limits in force, also for open connections."""
        now = read_clock()
        limits = self._find_limits() if self._find_limits is not None else self.limits
        if limits is not self.limits:
            self.limits = limits
            longer_s = limits.idle_timeout_s - self.idle_timeout_s
            self._shorten_at = now + self.idle_timeout_s if longer_s < 0 else math.inf
            if longer_s > 0:
                self.idle_timeout_s = limits.idle_timeout_s
                for connection in self.connections:
                    connection.extend_idle(longer_s)
        if now >= self._shorten_at:
            self._shorten_at = math.inf
            self.idle_timeout_s = self.limits.idle_timeout_s

    def make_room(self, size: int, unread_s: float = 0.0) -> bool:
        """Cut clients that do not read their answers, and return whether the memory is free.

        The one whose unread bytes have waited longest is cut first.

        Parameters
        ----------
        unread_s
            Seconds that unread bytes must have waited.
        """
        if size > self.memory.limit_bytes:
            return False
        now = read_clock()
        while self.memory.free_bytes < size:
            unread = [
                connection
                for connection in self.connections
                if connection.count_unread(now) and now - connection.unread_since >= unread_s
            ]
            if self.memory.free_bytes >= size:
                break
            if not unread:
                return False
            oldest = min(unread, key=lambda connection: connection.unread_since)
            logger.info(
                "event=unread_answer_cut unread_bytes={} unread_s={:.1f}",
                oldest.count_unread(now),
                now - oldest.unread_since,
            )
            oldest.abort()
        return True

    async def _close_expired(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.update_limits()
            now = read_clock()
            for connection in list(self.connections):
                connection.check_deadline(now)


class _Connection(asyncio.Protocol):
    """One connection of a client, whose requests are answered in the order of their arrival."""

    def __init__(
        self, server: HttpServer, share: ConnectionShare[_Connection] | None = None
    ) -> None:
        self._server = server
        self._share = server.share if share is None else share
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._memory = MemoryAccount(server.memory)
        self.pipeline: Pipeline[ServerRequest, ServerResponse] = Pipeline(
            server.limits.pipeline, server.may_overlap
        )
        self._tasks: dict[Exchange[ServerRequest, ServerResponse], asyncio.Task[None]] = {}
        self._unparsed = NOTHING
        self._received_bytes = 0  # of the piece that `_unparsed` is a part of
        self._arrived_at = 0.0
        self._messages_in_part = 0
        self._reading = self._writable = True
        self._unsent_bytes = 0
        self.unread_since = math.inf
        self._advanced = asyncio.Event()
        self._deadline = self._body_deadline = math.inf
        self._in_message = False
        self._in_header = False
        self._must_continue = False
        self._has_advanced = False  # past a line or within a body, in the last part
        self._lingers = False
        self._linger_until = math.inf
        self._undelivered_bytes = 0  # when they were last counted
        self._is_spared = False  # from making way until all is delivered
        self._discarded_bytes = 0
        self._has_responded = self._follows_response = False
        self._reset_message()

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: list[tuple[str, str]] = []
        self._body: bytes | bytearray = b""
        self._header_bytes = self._trailer_bytes = self._chunks = 0
        self._line_bytes = 0  # of an unfinished line
        self._received_at = self._arrived_at

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        limit_reads(transport, RECEIVE_BYTES)
        self._server.connections.add(self)
        allowed_s = self._server.idle_timeout_s
        if self._is_refused:
            allowed_s = min(allowed_s, REFUSAL_TIMEOUT_S)
        self._deadline = read_clock() + allowed_s

    def data_received(self, data: bytes) -> None:
        if self.pipeline.ended:
            self._discard(len(data))
            return
        self._arrived_at = read_clock()
        if not self._in_header:
            self._deadline = self._arrived_at + self._server.idle_timeout_s
        if len(data) <= PARSE_BYTES:
            self._parse(data)
        else:
            self._unparsed = memoryview(data)
            self._received_bytes = len(data)
            self._parse_waiting()
            if self._unparsed and not self._hold_request():
                self._refuse(503, "no memory")
        self._update_reading()
        if self._server.closing:
            self.close_if_idle()

    def _discard(self, size: int) -> None:
        """Bound what is read of a client that goes on sending after its last request."""
        self._discarded_bytes += size
        if self._discarded_bytes > DISCARDED_BYTES and self._transport is not None:
            self._reading = False
            self._transport.pause_reading()

    def _discard_more(self) -> None:
        """Read on, as unread bytes would turn the close of the connection into a reset."""
        self._discarded_bytes = 0
        if not self._reading and self._transport is not None:
            self._reading = True
            self._transport.resume_reading()

    def pause_writing(self) -> None:
        self._writable = False

    def resume_writing(self) -> None:
        self._writable = True
        self._advance()

    def connection_lost(self, error: Exception | None) -> None:
        self._server.connections.discard(self)
        self._share.remove(self)
        self._transport = None
        self.pipeline.end()
        self._drop_message()
        for task in list(self._tasks.values()):
            task.cancel()
        if not self._tasks:
            self._memory.clear()

    # Parsing.

    def _parse_waiting(self) -> None:
        """Parse what was received, until the pipeline is full."""
        while self._unparsed and not self.pipeline.is_full and not self.pipeline.ended:
            part, self._unparsed = self._unparsed[:PARSE_BYTES], self._unparsed[PARSE_BYTES:]
            self._parse(part)
        if not self._unparsed:
            self._unparsed, self._received_bytes = NOTHING, 0

    def _parse(self, data: bytes | memoryview) -> None:
        if self._parser is None:
            return
        self._messages_in_part = 1 if self._in_message else 0
        self._has_advanced = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is complete; what follows it would be in another protocol.
            self.pipeline.end()
        except httptools.HttpParserError as error:
            self._refuse(400, str(error))
            return
        if self.pipeline.ended:
            self._drop_message()
        elif self._in_message:
            self._check_message(len(data))

    def _check_message(self, size: int) -> None:
        """Refuse a message that is too large already, after a part of that size."""
        if self._in_header:
            # How much of a part belongs to a header behind another message is not known.
            self._line_bytes += size if self._messages_in_part == 1 else 0
        else:
            self._line_bytes = 0 if self._has_advanced else self._line_bytes + size
        if self._is_header_too_large(
            max(self._line_bytes, self._header_bytes, self._trailer_bytes)
        ):
            self._refuse(431, "header too large")
        elif not self._hold_request():
            self._refuse(503, "no memory")

    # Memory.

    def _count_header(self) -> int:
        """Return the bytes that the header of the message in progress takes."""
        return self._header_bytes + FIELD_BYTES * len(self._headers)

    def _settle(self, further_bytes: int = 0, spared: int = 0) -> int:
        """Have the account hold what the connection holds; return the bytes without room.

        Parameters
        ----------
        further_bytes
            Bytes that it is about to hold as well.
        spared
            Bytes of the memory that must stay free if it holds more than before.
        """
        pipeline = self.pipeline
        held = (
            pipeline.request_bytes
            + pipeline.held_bytes
            + self._received_bytes
            + self._unsent_bytes
            + further_bytes
        )
        if self._in_message:
            body_bytes = len(self._body)
            if isinstance(self._body, bytearray):
                body_bytes *= 2  # an array is there twice while it is moved or joined
            held += self._count_header() + self._trailer_bytes + self._line_bytes + body_bytes
        grown = held - self._memory.held_bytes
        if grown <= 0:
            self._memory.release(-grown)
            return 0
        return 0 if self._memory.add(grown, spared) else grown

    def _hold_request(self, further_bytes: int = 0) -> bool:
        """Return whether there is room for what was received and for so much more."""
        memory = self._server.memory
        if len(self._body) + further_bytes > SMALL_BYTES:
            reserved = int(RESERVED_SHARE * memory.limit_bytes)
            if memory.free_bytes < reserved and not self._server.make_room(reserved, UNREAD_S):
                memory.refusals += 1
                return False
        spared = int(SMALL_SPARED_SHARE * memory.limit_bytes)
        missing = self._settle(further_bytes, spared)
        if missing and self._server.make_room(missing + spared, UNREAD_S):
            missing = self._settle(further_bytes, spared)
        return not missing

    def _hold_answers(self) -> None:
        """Make room for answers that clients have not read; cut the connection if there is none."""
        missing = self._settle()
        if missing and self._server.make_room(missing):
            missing = self._settle()
        if missing:
            logger.info("event=unread_answer_cut unread_bytes={} unread_s=0.0", self._unsent_bytes)
            self.abort()

    def count_unread(self, now: float) -> int:
        """Return the bytes that the client has not read."""
        if self._unsent_bytes and self._transport is not None:
            self._record_unsent(now)
            self._settle()
        return self._unsent_bytes

    def _record_unsent(self, now: float) -> None:
        assert self._transport is not None
        unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes < self._unsent_bytes:
            self._deadline = now + self._server.idle_timeout_s
            self.unread_since = now
        elif unsent_bytes and not self._unsent_bytes:
            self.unread_since = now
        self._unsent_bytes = unsent_bytes

    def _drop_message(self) -> None:
        """Keep nothing of what was received and is not in the pipeline."""
        self._parser = None  # which refers to the connection
        self._in_message = self._in_header = self._must_continue = False
        self._unparsed, self._received_bytes = NOTHING, 0
        self._reset_message()

    def _update_reading(self) -> None:
        """Read from the connection unless the pipeline is full."""
        must_read = not self.pipeline.is_full
        if self._transport is None or self._reading == must_read:
            return
        self._reading = must_read
        if not must_read:
            logger.info(
                "event=pipeline_full requests={} held_bytes={}",
                len(self.pipeline),
                self.pipeline.held_bytes,
            )
            self._transport.pause_reading()
            return
        server = self._server
        allowed_s = server.limits.header_timeout_s if self._in_header else server.idle_timeout_s
        now = read_clock()
        self._deadline = now + allowed_s
        self._body_deadline = now + server.limits.body_timeout_s
        self._transport.resume_reading()

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        if self._parser is None:
            return
        self._share.mark_busy(self)
        self._reset_message()
        self._messages_in_part += 1
        self._follows_response = self._has_responded
        self._in_message = self._in_header = True
        self._deadline = read_clock() + self._server.limits.header_timeout_s

    def on_url(self, url: bytes) -> None:
        if self._parser is not None:
            self._target += url
            self._header_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_header:
            self._header_bytes += len(name) + len(value) + FIELD_MARKS
            self._headers.append((name.decode("latin-1"), value.decode("latin-1")))
        elif self._parser is not None:
            # A trailer must not be taken for a header.
            self._trailer_bytes += len(name) + len(value) + FIELD_MARKS
            self._has_advanced = True

    def on_headers_complete(self) -> None:
        if self._parser is None:
            return
        self._in_header = False
        self._line_bytes = 0
        self._has_advanced = True
        now = read_clock()
        self._deadline = now + self._server.idle_timeout_s
        self._body_deadline = now + self._server.limits.body_timeout_s
        must_continue, length = False, "0"
        for name, value in self._headers:
            lower = name.lower()
            if lower == "content-length":
                length = value
            elif lower == "expect" and value.lower() == "100-continue":
                must_continue = True
        if self._is_header_too_large(self._header_bytes):
            self._refuse(431, "header too large")
        elif self._allows_body(length) and must_continue:
            self._must_continue = True
            self._tell_to_continue()

    def _allows_body(self, length: str) -> bool:
        """Return whether a body of that length can be received, or refuse it."""
        size = int(length)  # the parser has checked the digits
        if self._is_body_too_large(size):
            self._refuse(413, "body too large")
        elif size > SMALL_BYTES and not self._server.make_room(size, UNREAD_S):
            self._server.memory.refusals += 1
            self._refuse(503, "no memory")
        return self._parser is not None

    def _is_body_too_large(self, size: int) -> bool:
        if size <= self._server.limits.body_bytes:
            return False
        self._server.update_limits()
        return size > self._server.limits.body_bytes

    def _is_header_too_large(self, size: int) -> bool:
        if size <= self._server.limits.header_bytes:
            return False
        self._server.update_limits()
        return size > self._server.limits.header_bytes

    def on_chunk_header(self) -> None:
        self._chunks += 1
        framing_bytes = CHUNK_BYTES * self._chunks
        if self._parser is not None and (
            framing_bytes > self._server.limits.header_bytes + len(self._body)
        ):
            # They cost the most to parse, for the least content.
            self._refuse(413, "chunks too small")

    def on_body(self, data: bytes) -> None:
        self._must_continue = False
        self._has_advanced = True
        if self._parser is None:
            return
        if self._is_body_too_large(len(self._body) + len(data)):
            self._refuse(413, "body too large")
        elif not self._body:
            self._body = data
        elif isinstance(self._body, bytearray):
            self._body += data
        else:
            self._body = bytearray(self._body) + data

    def on_message_complete(self) -> None:
        if self._parser is None:
            return
        if self._is_header_too_large(self._trailer_bytes):
            self._refuse(431, "header too large")
            return
        is_joined = isinstance(self._body, bytearray)
        is_small = len(self._body) <= SMALL_BYTES
        if not (is_small and not self._settle()) and not self._hold_request():
            self._refuse(503, "no memory")
            return
        request = ServerRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            tuple(self._headers),
            bytes(self._body),
            self._received_at,
            self._follows_response,
        )
        self._in_message = self._must_continue = False
        self._body = b""
        self.pipeline.add(request, len(request.body), self._count_header())
        if is_joined:
            self._settle()
        if not self._parser.should_keep_alive():
            self.pipeline.end()
        self._begin_requests()

    # Serving.

    def _begin_requests(self) -> None:
        while self._writable and (exchange := self.pipeline.begin_next()) is not None:
            task = asyncio.get_running_loop().create_task(self._serve(exchange))
            self._tasks[exchange] = task

    async def _serve(self, exchange: Exchange[ServerRequest, ServerResponse]) -> None:
        try:
            response = await self._handle(exchange.request)
            if response.close:
                self.pipeline.stop()
                self._drop_message()
            if response.stream is None:
                exchange.answer = response
                self.pipeline.set_held(exchange, len(response.body))
            else:
                await self._send_pieces(exchange, response, response.stream)
        except asyncio.CancelledError:
            # No other response may take the place of the one that will not come.
            self.abort()
            raise
        finally:
            del self._tasks[exchange]
            if self._transport is None and not self._tasks:
                self._memory.clear()
        self._advance()

    async def _handle(self, request: ServerRequest) -> ServerResponse:
        if self._is_refused:
            return self._server.refuse(request)
        try:
            return await self._server.handle(request)
        except Exception as error:
            logger.opt(exception=error).error("event=handler_failed target={}", request.target)
            return ServerResponse(500)

    def _advance(self) -> None:
        """Send the responses that are due, and begin the requests that may run now."""
        while self._writable and (response := self.pipeline.find_first_answer()) is not None:
            exchange = self.pipeline.pop()
            self._has_responded = True
            is_last = self._closes_when_empty and not len(self.pipeline)
            self._write(render_response(exchange.request.method, response, not is_last))
        if self._transport is None:
            return
        if self._settle():
            self._hold_answers()
        if self._closes_when_empty and not len(self.pipeline):
            self._end()
            return
        self._advanced.set()
        self._advanced.clear()
        self._begin_requests()
        self._tell_to_continue()
        if not self._reading:
            self._parse_waiting()
        self._update_reading()
        if self._is_idle:
            self._share.mark_idle(self, read_clock())

    @property
    def _is_idle(self) -> bool:
        """Whether no request is running, partly received or waiting to be read."""
        return not len(self.pipeline) and not self._in_message and not self._unparsed

    @property
    def _is_refused(self) -> bool:
        """Whether there was no room for the connection, so that its request is refused."""
        return self._share is self._server.refusals

    def _end(self) -> None:
        """End the answers of the connection, and close it once the client has received them.

        Whatever the client has sent behind its last request, or still sends, is read until then.
        """
        if self._transport is None or self._lingers:
            return
        self._drop_message()
        if self._transport.is_closing() or not self._transport.can_write_eof():
            self._transport.close()
            return
        self._lingers = True
        self.pipeline.end()
        self._transport.write_eof()
        self._discard_more()

    def _count_undelivered(self) -> int:
        """Return the bytes of answers that the client has not acknowledged, as far as known."""
        assert self._transport is not None
        sock = self._transport.get_extra_info("socket")
        in_kernel = 0 if sock is None else count_undelivered(sock)
        return self._transport.get_write_buffer_size() + in_kernel

    def _has_received_more(self) -> bool:
        """Return whether the client still receives answers, compared with the last call."""
        before, self._undelivered_bytes = self._undelivered_bytes, self._count_undelivered()
        return 0 < self._undelivered_bytes != before

    def _check_linger(self, now: float) -> None:
        """Close an ended connection if its client has everything or receives nothing more."""
        assert self._transport is not None
        self._discard_more()
        if self._has_received_more():
            self._deadline = now + self._server.idle_timeout_s
        if self._undelivered_bytes:
            if now >= self._deadline:
                self.abort()
        elif self._linger_until == math.inf:
            self._linger_until = now + LINGER_S
            self._share.mark_idle(self, now)
        elif now >= self._linger_until:
            self._transport.close()

    @property
    def _closes_when_empty(self) -> bool:
        return self.pipeline.ended or self._server.draining or self._server.closing

    async def _send_pieces(
        self,
        exchange: Exchange[ServerRequest, ServerResponse],
        response: ServerResponse,
        stream: AnswerBody,
    ) -> None:
        """Send the body of a response as fast as the client reads it.

        While responses before it are unfinished, as many pieces are read as the pipeline may hold,
        so that the source is done with a small body.
        """
        method = exchange.request.method
        missing = stream.length if has_body(method, response.status) else 0
        held: list[bytes] = []
        has_begun = False
        try:
            while not (self.pipeline.is_first(exchange) and self._writable):
                if missing and self.pipeline.held_bytes < self._server.limits.pipeline.held_bytes:
                    held.append(await _read_piece(stream, missing))
                    missing -= len(held[-1])
                    self.pipeline.set_held(exchange, exchange.held_bytes + len(held[-1]))
                    self._hold_answers()
                else:
                    await self._advanced.wait()
            has_begun = True
            is_last = self._closes_when_empty and len(self.pipeline) == 1
            self._write(render_response(method, response, not is_last) + b"".join(held))
            held.clear()
            self.pipeline.set_held(exchange, 0)
            self._hold_answers()
            while missing:
                while not self._writable:
                    await self._advanced.wait()
                piece = await _read_piece(stream, missing)
                missing -= len(piece)
                self._write(piece)
                self._hold_answers()
            self.pipeline.pop()
        except Exception as error:
            _log_cut(error)
            if has_begun:
                self.abort()
            else:
                exchange.answer = ServerResponse(502)
        finally:
            stream.close()

    def _tell_to_continue(self) -> None:
        """Tell a client that waits for it to send the body of its request."""
        if self._must_continue and not len(self.pipeline):
            self._must_continue = False
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _refuse(self, status: int, detail: str) -> None:
        """Refuse the request that is being received, after those before it are answered."""
        if self.pipeline.ended:
            return
        if status in (413, 431) and self._server.limits.provisional:
            status = 503
        logger.info("event=bad_request status={} detail={!r}", status, detail)
        fields = (("Retry-After", f"{NO_MEMORY_RETRY_S:.3f}"),) if status == 503 else ()
        self._drop_message()
        self.pipeline.add_refusal(NO_REQUEST, ServerResponse(status, fields))
        self._advance()

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)
            now = read_clock()
            if self._unsent_bytes or self._transport.get_write_buffer_size():
                self._record_unsent(now)
            self._deadline = now + self._server.idle_timeout_s

    def abort(self) -> None:
        """Close the connection and discard unsent data."""
        if self._transport is not None:
            self._transport.abort()
            self._unsent_bytes = 0
            self._settle()

    def make_way(self) -> bool:
        """Close the connection for another one, unless a request is on its way."""
        transport = self._transport
        if transport is None or not self._is_idle:
            return False
        if self._count_undelivered():
            self._is_spared = True
            return False
        if not self._lingers and has_unread_bytes(transport.get_extra_info("socket")):
            return False
        transport.close()
        return True

    def end_refused(self) -> None:
        """Refuse what is being received, or will be, without waiting for it."""
        if self._transport is None or len(self.pipeline):
            return
        if not self.pipeline.ended:
            self._write(render_response("GET", NO_ROOM, keep_alive=False))
        self.pipeline.end()
        if self._transport.get_write_buffer_size():
            self._transport.abort()
        else:
            self._transport.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request or a part of an answer is on its way."""
        transport = self._transport
        if transport is None or not self._is_idle:
            return
        if self._lingers:
            self._check_linger(read_clock())
        elif not (
            self._count_undelivered() or has_unread_bytes(transport.get_extra_info("socket"))
        ):
            transport.close()

    def check_deadline(self, now: float) -> None:
        """Close the connection if the client has been idle or slow for too long."""
        if self._transport is None:
            return
        self._record_unsent(now)
        self._settle()
        if self._lingers:
            self._check_linger(now)
            return
        if self._is_spared and not self._count_undelivered():
            self._is_spared = False
            if self._is_idle:
                self._share.mark_idle(self, now)
        is_running = len(self.pipeline) > 0 and self._writable
        if is_running:
            return
        if now >= self._deadline:
            if self._is_idle and self._has_received_more():
                self._deadline = now + self._server.idle_timeout_s
            else:
                self.abort()
        elif self._in_message and not self._in_header and now >= self._body_deadline:
            self._refuse(408, "body too slow")

    def extend_idle(self, further_s: float) -> None:
        """Let the client be idle for longer."""
        if not self._in_header and not self._lingers:
            self._deadline += further_s


async def _read_piece(stream: AnswerBody, missing: int) -> bytes:
    """Return the next piece of a body of which so many bytes are missing.

    Raises
    ------
    AnswerCutError
        If the body is cut short or is longer than it said.
    """
    piece = await stream.read()
    if not piece or len(piece) > missing:
        raise AnswerCutError(f"{len(piece)} bytes where {missing} are missing")
    return piece


def _log_cut(error: Exception) -> None:
    if isinstance(error, AnswerCutError):
        logger.info("event=answer_cut detail={!r}", str(error))
    else:
        logger.opt(exception=error).error("event=answer_cut")
