"""Answers, connections in memory, and servers that end them at any byte, for tests of cuts."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from collections.abc import AsyncIterator

import attrs

from persimmondock.standins.connections import reset_connection
from persimmondock.tests.builders import NETWORK
from persimmondock.tests.memory_transport import MemoryTransport

HOST = f"{NETWORK}173"
FIELDS = b"X-Attempt-Id: a\r\nX-Server-Signature: s\r\n"
LENGTH = b"Content-Length: 2\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
LATE_FIELD = b"X-Attempt-Id: z\r\n"
LATE = b"HTTP/1.1 200 OK\r\n" + LATE_FIELD + b"Content-Length: 4\r\n\r\nlate"
LATE_CHUNKED = b"HTTP/1.1 200 OK\r\n" + LATE_FIELD + CHUNKED + b"\r\n4\r\nlate\r\n0\r\n\r\n"
INTERIM = b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </s>\r\n\r\n"


class End(enum.Enum):
    """How a connection ends."""

    CLOSED = "closed"  # FIN
    RESET = "reset"  # RST


@attrs.frozen
class CutAnswer:
    """Bytes on a connection up to the end of one answer to attempt ``a``.

    Parameters
    ----------
    before
        What comes before the head of the answer.
    ends_with_connection
        Whether the body has no length.
    """

    head: bytes
    rest: bytes = b""
    body: bytes = b""
    before: bytes = b""
    ends_with_connection: bool = False

    @property
    def data(self) -> bytes:
        """All bytes."""
        return self.before + self.head + self.rest

    def find_body(self, size: int, end: End) -> bytes | None:
        """Return the body if the answer is complete after ``size`` bytes and the end, or None."""
        head_end = len(self.before) + len(self.head)
        if self.ends_with_connection:
            is_complete = end is End.CLOSED and size >= head_end
            return self.data[head_end:size] if is_complete else None
        return self.body if size == len(self.data) else None


def make_head(*fields: bytes, status: bytes = b"HTTP/1.1 200 OK") -> bytes:
    """Return the head of an answer to attempt ``a``."""
    return status + b"\r\n" + FIELDS + b"".join(fields) + b"\r\n"


PLAIN = CutAnswer(make_head(LENGTH), b"ok", b"ok")
UNTIL_END = CutAnswer(make_head(), b"all of it", ends_with_connection=True)
IN_CHUNKS = CutAnswer(
    make_head(CHUNKED), b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX-T: t\r\n\r\n", b"abcde"
)
OLD_STATUS = b"HTTP/1.0 200 OK"
ANSWERS = {
    "length": PLAIN,
    "no length": UNTIL_END,
    "chunked": IN_CHUNKS,
    "length of 0": CutAnswer(make_head(b"Content-Length: 0\r\n")),
    "length first": CutAnswer(b"HTTP/1.1 200 OK\r\n" + LENGTH + FIELDS + b"\r\n", b"ok", b"ok"),
    "no body": CutAnswer(make_head(status=b"HTTP/1.1 204 No Content")),
    "failure": CutAnswer(make_head(LENGTH, status=b"HTTP/1.1 500 Error"), b"no", b"no"),
    "failure without length": CutAnswer(
        make_head(status=b"HTTP/1.1 500 Error"), b"no", ends_with_connection=True
    ),
    "closing": CutAnswer(make_head(LENGTH, b"Connection: close\r\n"), b"ok", b"ok"),
    "1.0": CutAnswer(make_head(LENGTH, status=OLD_STATUS), b"ok", b"ok"),
    "1.0, no length": CutAnswer(
        make_head(status=OLD_STATUS), b"all of it", ends_with_connection=True
    ),
    "interim, length": attrs.evolve(PLAIN, before=INTERIM),
    "interim, no length": attrs.evolve(UNTIL_END, before=INTERIM),
    "interim, chunked": attrs.evolve(IN_CHUNKS, before=INTERIM),
    "late, length": attrs.evolve(PLAIN, before=LATE),
    "late, no length": attrs.evolve(UNTIL_END, before=LATE),
    "late, chunked": attrs.evolve(IN_CHUNKS, before=LATE),
    "late chunked, no length": attrs.evolve(UNTIL_END, before=LATE_CHUNKED),
    "late twice, interim": attrs.evolve(UNTIL_END, before=LATE + LATE_CHUNKED + INTERIM),
}


def end_connection(transport: MemoryTransport, protocol: asyncio.Protocol, end: End) -> None:
    """End a connection in memory as its other side may."""
    if transport.is_closing():
        return
    if end is End.RESET:
        protocol.connection_lost(ConnectionResetError())
    elif not protocol.eof_received():
        transport.close()


@attrs.define
class CuttingServer:
    """A server that sends ``data`` on each connection after a request, and ends it."""

    data: bytes = b""
    end: End = End.CLOSED
    address: str = ""

    @contextlib.asynccontextmanager
    async def listen(self) -> AsyncIterator[None]:
        """Serve on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        try:
            yield
        finally:
            server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.data)
            await writer.drain()
        if self.end is End.RESET:
            # What was sent arrives first.
            await asyncio.sleep(0)
            reset_connection(writer.transport)
        else:
            writer.close()
