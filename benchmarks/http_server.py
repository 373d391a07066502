"""Processor time of the HTTP server for small requests on one connection.

``python -m benchmarks.http_server`` sends one request after the other, then several at once, to a
handler that answers at once. The client's time is included.
"""

from __future__ import annotations

import asyncio
import time

from persimmondock._adapters.http_server import HttpServer
from persimmondock._adapters.server_messages import ServerRequest, ServerResponse

ADDRESS = "127.0.42.201:8104"
GET = (
    b"GET /painel/suite-1/show HTTP/1.1\r\nHost: painel.example\r\n"
    b"X-Attempt-Id: 9c41d07be2a35f68\r\nX-Timeout-Ms: 800\r\nAccept: */*\r\n\r\n"
)
REQUESTS = 20_000
RUNS = 5
DEPTHS = (1, 8)
HEADERS = (("Content-Type", "application/json"), ("X-Attempt-Id", "9c41d07be2a35f68"))


class _Client(asyncio.Protocol):
    """Keeps a number of requests in flight until all are answered."""

    def __init__(self, depth: int) -> None:
        self._unsent, self._unanswered = REQUESTS - depth, REQUESTS
        self._depth = depth
        self.done = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.write(GET * self._depth)

    def data_received(self, data: bytes) -> None:
        answers = data.count(b"HTTP/1.1 200")
        self._unanswered -= answers
        sent = min(answers, self._unsent)
        self._unsent -= sent
        self._transport.write(GET * sent)
        if self._unanswered == 0:
            self.done.set_result(None)


async def _handle(_: ServerRequest) -> ServerResponse:
    return ServerResponse(200, HEADERS, b"x" * 200)


async def measure() -> None:
    """Print the least processor time a request over several runs."""
    server = HttpServer(_handle)
    await server.listen(ADDRESS)
    host, _, port = ADDRESS.rpartition(":")
    loop = asyncio.get_running_loop()
    for depth in DEPTHS:
        costs = []
        for _ in range(RUNS):
            started = time.process_time()
            transport, client = await loop.create_connection(
                lambda depth=depth: _Client(depth), host, int(port)
            )
            await client.done
            costs.append((time.process_time() - started) / REQUESTS * 1e6)
            transport.close()
        print(f"{depth} at once: {min(costs):.1f} us a request, least of {RUNS} runs")
    await server.close(0.0)


if __name__ == "__main__":
    asyncio.run(measure())
