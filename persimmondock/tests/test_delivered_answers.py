"""Answers that clients have not received yet when their connections end."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import Any, cast

import attrs
import pytest

from persimmondock._adapters import http_server
from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.http_server import HttpServer
from persimmondock._adapters.peer_stream import PeerClient, PeerRequestError, PeerServer
from persimmondock._adapters.server_messages import ServerLimits, ServerRequest, ServerResponse
from persimmondock._domain.descriptor_budget import ConnectionShare
from persimmondock._tasks.sidecar import Sidecar
from persimmondock.tests.builders import NETWORK

HOST, PORT, PEER_PORT = f"{NETWORK}172", 18210, 18211
LIMITS = ServerLimits(header_bytes=1000, body_bytes=1000, header_timeout_s=2.0, idle_timeout_s=2.0)
SIZE = 400_000
RECEIVE_BUFFER = 32 * 1024
READ_BYTES = 8 * 1024
READ_EACH_S = 0.03  # the answer takes longer than LINGER_S
FURTHER = b"GET /further HTTP/1.1\r\nHost: x\r\n\r\n"


@attrs.define
class PiecedBody:
    """A body of equal bytes that is read in pieces."""

    length: int = SIZE
    _left: int = SIZE

    async def read(self) -> bytes:
        size = min(self._left, 16_384)
        self._left -= size
        return b"." * size

    def close(self) -> None:
        pass


async def handle(request: ServerRequest) -> ServerResponse:
    """Return a large answer, or a short one to any further request."""
    if request.path == "/streamed":
        return ServerResponse(200, stream=PiecedBody())
    if request.path == "/further":
        return ServerResponse(200, (), b"further")
    return ServerResponse(200, (), b"." * SIZE, close=request.path == "/close")


@attrs.define
class SlowClient:
    """A client that reads slowly."""

    sock: socket.socket

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def read_answer(self) -> int:
        """Return how many bytes of the body of one answer arrive before the connection ends."""
        loop, data, length = asyncio.get_running_loop(), b"", SIZE
        async with asyncio.timeout(10.0):
            while True:
                try:
                    part = await loop.sock_recv(self.sock, READ_BYTES)
                except ConnectionError:
                    part = b""
                data += part
                head, _, body = data.partition(b"\r\n\r\n")
                if head.startswith(b"HTTP/1.1 4"):
                    length = 0
                if not part or (b"\r\n\r\n" in data and len(body) >= length):
                    return min(len(body), length) if data else -1
                await asyncio.sleep(READ_EACH_S)


@pytest.fixture
async def server(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[HttpServer]:
    monkeypatch.setattr(http_server, "CHECK_INTERVAL_S", 0.05)
    server = HttpServer(handle, LIMITS, lambda _: True)
    await server.listen(f"{HOST}:{PORT}")
    yield server
    await server.close(0.0)


@pytest.fixture
async def client(server: HttpServer) -> AsyncIterator[SlowClient]:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    sock.setblocking(False)
    with contextlib.closing(sock):
        await asyncio.get_running_loop().sock_connect(sock, (HOST, PORT))
        yield SlowClient(sock)


def render(path: str, *fields: str, version: str = "1.1") -> bytes:
    return "\r\n".join([f"GET {path} HTTP/{version}", "Host: x", *fields, "", ""]).encode()


@pytest.mark.parametrize(
    "request_bytes",
    [
        render("/large"),
        render("/streamed"),
        render("/large", "Connection: close"),
        render("/large", version="1.0"),
        render("/close"),
    ],
    ids=["draining", "streamed", "close asked", "1.0", "close answered"],
)
async def test_an_answer_that_ends_its_connection_reaches_a_slow_client_that_sends_more(
    server: HttpServer, client: SlowClient, request_bytes: bytes
) -> None:
    """Guards against an answer that is cut by the reset which a further request brings about."""
    server.draining = request_bytes in (render("/large"), render("/streamed"))
    await client.send(request_bytes)
    await asyncio.sleep(0.2)
    with contextlib.suppress(ConnectionError):
        await client.send(FURTHER)
    assert await client.read_answer() == SIZE


async def test_a_client_that_sends_much_behind_its_last_request_gets_the_answer(
    server: HttpServer, client: SlowClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an answer that is cut for what the client sends meanwhile."""
    monkeypatch.setattr(http_server, "DISCARDED_BYTES", 100_000, raising=False)
    await client.send(render("/close"))
    await asyncio.sleep(0.1)
    sending = asyncio.create_task(client.send(FURTHER * 30_000))
    assert await client.read_answer() == SIZE
    sending.cancel()
    with contextlib.suppress(asyncio.CancelledError, ConnectionError):
        await sending


async def test_a_refusal_reaches_a_client_that_still_sends(
    server: HttpServer, client: SlowClient
) -> None:
    await client.send(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3000000\r\n\r\n")
    with contextlib.suppress(ConnectionError):
        await client.send(b"." * 3_000_000)
    assert await client.read_answer() == 0


async def test_a_stop_waits_until_answers_are_delivered(
    server: HttpServer, client: SlowClient
) -> None:
    """Guards against an answer that is cut since its connection counts as idle."""
    await client.send(render("/large"))
    await asyncio.sleep(0.2)
    closing = asyncio.create_task(server.close(8.0))
    await asyncio.sleep(0.1)
    with contextlib.suppress(ConnectionError):
        await client.send(FURTHER)
    assert await client.read_answer() == SIZE
    client.sock.close()
    async with asyncio.timeout(1.0):
        await closing


async def test_a_connection_makes_way_only_once_its_answer_is_delivered(
    server: HttpServer, client: SlowClient
) -> None:
    """Guards against an answer that is cut for want of room."""
    await client.send(render("/large"))
    await asyncio.sleep(0.2)
    server.share.limit = 1
    others = []
    with contextlib.ExitStack() as stack:
        for _ in range(2):
            other = stack.enter_context(socket.socket())
            other.setblocking(False)
            await asyncio.get_running_loop().sock_connect(other, (HOST, PORT))
            others.append(other)
        await asyncio.sleep(0.1)
        with contextlib.suppress(ConnectionError):
            await client.send(FURTHER)
        assert await client.read_answer() == SIZE


async def test_a_slow_client_is_not_idle_while_it_receives(
    server: HttpServer, client: SlowClient
) -> None:
    """Guards against the idle timeout, which ends during a long download."""
    server.limits = attrs.evolve(LIMITS, idle_timeout_s=0.5)
    server.idle_timeout_s = 0.5
    await client.send(render("/large"))
    assert await client.read_answer() == SIZE


@pytest.mark.parametrize("reads", [True, False], ids=["reads", "reads nothing"])
async def test_a_client_that_never_closes_holds_a_stop_for_a_bounded_time(
    server: HttpServer, client: SlowClient, reads: bool
) -> None:
    server.draining = True
    await client.send(render("/large"))
    if reads:
        assert await client.read_answer() == SIZE
    within_s = 5.0 if reads else 1.5
    started_at = read_clock()
    await server.close(within_s)
    assert read_clock() - started_at < 2.0
    await asyncio.sleep(0.01)
    assert not server.connections


async def test_a_client_that_sends_on_is_closed_once_it_has_the_answer(
    server: HttpServer, client: SlowClient
) -> None:
    """Guards against endless requests behind the last one, which are read and dropped."""
    await client.send(render("/close"))
    assert await client.read_answer() == SIZE
    async with asyncio.timeout(http_server.LINGER_S + 1.0):
        with contextlib.suppress(ConnectionError):
            while True:
                await client.send(FURTHER)
                await asyncio.sleep(0.01)
    assert not server.connections


async def test_ended_connections_make_way_for_new_ones(server: HttpServer) -> None:
    """Guards against clients that never close and leave no room for others."""
    server.share = ConnectionShare(4)
    server.draining = True
    loop = asyncio.get_running_loop()
    with contextlib.ExitStack() as stack:
        for _ in range(12):
            sock = stack.enter_context(socket.socket())
            sock.setblocking(False)
            await loop.sock_connect(sock, (HOST, PORT))
            await loop.sock_sendall(sock, FURTHER)
            async with asyncio.timeout(1.0):
                assert b" 200 " in await loop.sock_recv(sock, 1000)
            await asyncio.sleep(0.1)


async def test_a_mistaken_peer_is_told_so_though_it_sends_requests_at_once() -> None:
    """Guards against requests that count as sent, since a reset dropped the refusal."""
    server = PeerServer(lambda _: None, "node-1")
    await server.start(f"{HOST}:{PEER_PORT}")
    client = PeerClient(["node-2"], "node-9", f"{HOST}:{PEER_PORT}")
    results: list[object] = []
    until = read_clock() + 1.0
    while not client.is_mistaken and read_clock() < until:
        with contextlib.suppress(PeerRequestError):
            client.send("run", b"." * 200_000, results.append)
        await asyncio.sleep(0)
    assert client.is_mistaken
    assert results
    assert not any(isinstance(found, PeerRequestError) and found.sent for found in results)
    client.close()
    server.close()


@pytest.mark.parametrize("reads", [True, False], ids=["reads", "reads nothing"])
async def test_a_stop_waits_until_peers_have_their_replies(reads: bool) -> None:
    """Guards against a reply to another daemon that is discarded with its connection."""
    server = PeerServer(lambda _: None, "node-1")

    async def reply(_: Any, __: Any) -> bytes:
        return b"." * 8_000_000

    server.handlers["run"] = reply
    await server.start(f"{HOST}:{PEER_PORT}")
    client = PeerClient(["node-2"], "node-1", f"{HOST}:{PEER_PORT}")
    while client._protocol is None:
        await asyncio.sleep(0.01)
    asking = asyncio.create_task(client.request("run", b""))
    await asyncio.sleep(0)
    assert client._protocol is not None and client._protocol.transport is not None
    client._protocol.transport.pause_reading()
    await asyncio.sleep(0.1)
    assert server.has_undelivered
    if reads:
        asyncio.get_running_loop().call_later(0.2, client._protocol.transport.resume_reading)
    sidecar = cast("Sidecar", SimpleNamespace(mesh=SimpleNamespace(server=server)))
    started_at = read_clock()
    await Sidecar.deliver_replies(sidecar, started_at + 0.5)
    assert read_clock() - started_at < 0.8
    server.close()
    if reads:
        assert len(await asking) == 8_000_000
    else:
        asking.cancel()
    client.close()
