"""TCP server that sends scripted bytes."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import attrs

COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@attrs.define
class ScriptedServer:
    """A server that reads each request and sends prepared bytes.

    Parameters
    ----------
    responses
        Bytes for each request in turn, the last of them repeated; ``None`` closes the connection.
    close_after_response
        Whether the connection is closed after each response.
    resets
        Whether connections are closed with a reset.
    delay_s
        Delay before each response in seconds, cut short when the client closes the connection.
    closed
        Set when a connection has ended.
    """

    responses: list[bytes | None]
    close_after_response: bool = False
    resets: bool = False
    delay_s: float = 0.0
    requests: list[bytes] = attrs.field(factory=list)
    closed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @contextlib.asynccontextmanager
    async def listen(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        try:
            yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        finally:
            server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
                data = self.responses[min(len(self.requests), len(self.responses)) - 1]
                if self.delay_s and await self._is_closed_by_client(reader):
                    return
                writer.write(data or b"")
                await writer.drain()
                if data is None or self.close_after_response:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self.closed.set()
            if self.resets:
                # struct linger with l_onoff=1 and l_linger=0: closing resets the connection.
                option = (1).to_bytes(4, "little") + bytes(4)
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, option
                )
            writer.close()

    async def _is_closed_by_client(self, reader) -> bool:
        try:
            return await asyncio.wait_for(reader.read(1), self.delay_s) == b""
        except TimeoutError:
            return False
