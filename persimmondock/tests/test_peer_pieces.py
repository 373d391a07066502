"""Replies in pieces between daemons: windows, turns on the link, cuts, callers that leave."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import attrs
import msgpack
import pytest

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.peer_stream import (
    FAILED,
    HEAD,
    LENGTH_PREFIX,
    PIECE,
    REQUEST,
    STREAM_WINDOW_BYTES,
    WINDOW,
    Delivery,
    PeerClient,
    PeerRequestError,
    PeerServer,
    StreamedReply,
)
from persimmondock._domain.link_budget import LinkRate
from persimmondock._ports.answer_body import AnswerCutError
from persimmondock.tests.builders import NETWORK

HOST, PORT = f"{NETWORK}172", 18310
ADDRESS = f"{HOST}:{PORT}"
GREETING = ["node-1", "10.0.0.1:1", "recife", "painel"]
CHUNK = bytes(range(256)) * 64


@attrs.define
class Source:
    """A body of equal chunks; after ``chunks`` of them it ends, or raises ``error``."""

    length: int
    chunks: int
    error: Exception | None = None
    read_chunks: int = 0
    closed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def read(self) -> bytes:
        await asyncio.sleep(0)
        if self.read_chunks == self.chunks:
            if self.error is not None:
                raise self.error
            return b""
        self.read_chunks += 1
        return CHUNK

    def close(self) -> None:
        self.closed.set()


def make_source(chunks: int, **changes: Any) -> Source:
    return attrs.evolve(Source(chunks * len(CHUNK), chunks), **changes)


class Daemons:
    """A server that answers ``get`` with the given source, and a client that is connected."""

    def __init__(self) -> None:
        self.server = PeerServer(lambda _: None, "node-2")
        self.server.handlers["get"] = self._handle_get
        self.server.instant_handlers["ping"] = lambda payload, _: payload
        self.make_source: Callable[[], Source] = lambda: make_source(1)
        self.sources: list[Source] = []
        self.end_at = math.inf

    async def start(self) -> None:
        await self.server.start(ADDRESS)
        self.client = PeerClient(GREETING, "node-2", ADDRESS)
        async with asyncio.timeout(3.0):
            while not self.client.version:
                await asyncio.sleep(0.005)

    async def _handle_get(self, _: Any, __: Delivery) -> Any:
        self.sources.append(self.make_source())
        return StreamedReply(["head"], self.sources[-1], self.end_at)

    async def get(self, **options: Any) -> StreamedReply:
        reply = await self.client.request("get", None, **options)
        assert isinstance(reply, StreamedReply) and reply.payload == ["head"]
        return reply


@pytest.fixture
async def daemons() -> AsyncIterator[Daemons]:
    daemons = Daemons()
    await daemons.start()
    yield daemons
    daemons.client.close()
    daemons.server.close()


async def _read_all(reply: StreamedReply) -> bytes:
    pieces = []
    while piece := await reply.body.read():
        pieces.append(piece)
    return b"".join(pieces)


async def test_a_body_of_many_windows_arrives_whole(daemons: Daemons) -> None:
    """Names the load of a 540 kB download."""
    daemons.make_source = lambda: make_source(33)
    reply = await daemons.get()
    assert reply.body.length == 33 * len(CHUNK)
    assert await _read_all(reply) == 33 * CHUNK
    await asyncio.wait_for(daemons.sources[0].closed.wait(), 1.0)


async def test_a_reader_that_stops_holds_no_more_than_its_window(daemons: Daemons) -> None:
    daemons.make_source = lambda: make_source(10_000)
    reply = await daemons.get()
    await asyncio.sleep(0.3)
    assert reply.body.waiting_bytes <= STREAM_WINDOW_BYTES  # type: ignore[attr-defined]
    # Besides the window: one chunk that was read from the source and waits to be sent.
    assert daemons.sources[0].read_chunks * len(CHUNK) <= STREAM_WINDOW_BYTES + len(CHUNK)
    assert await daemons.client.request("ping", 1) == 1
    reply.body.close()
    await asyncio.wait_for(daemons.sources[0].closed.wait(), 1.0)


async def test_a_window_that_never_opens_ends_by_the_deadline(daemons: Daemons) -> None:
    daemons.make_source = lambda: make_source(100)
    daemons.end_at = read_clock() + 0.3
    reply = await daemons.get()
    await asyncio.wait_for(daemons.sources[0].closed.wait(), 1.0)
    assert read_clock() >= daemons.end_at
    await asyncio.sleep(0.05)
    with pytest.raises(AnswerCutError):
        await _read_all(reply)


async def test_a_reader_that_leaves_stops_the_source_within_ms(daemons: Daemons) -> None:
    daemons.make_source = lambda: make_source(10_000)
    reply = await daemons.get()
    await reply.body.read()
    reply.body.close()
    await asyncio.wait_for(daemons.sources[0].closed.wait(), 0.2)
    assert await daemons.client.request("ping", 1) == 1


@pytest.mark.parametrize(
    "source",
    [
        pytest.param(Source(10 * len(CHUNK), 3, AnswerCutError("reset")), id="cut"),
        pytest.param(Source(10 * len(CHUNK), 3), id="shorter than it said"),
        pytest.param(Source(2 * len(CHUNK) + 1, 3), id="longer than it said"),
        pytest.param(Source(10 * len(CHUNK), 3, ValueError("fault")), id="fault"),
    ],
)
async def test_a_wrong_body_is_cut_at_its_reader(daemons: Daemons, source: Source) -> None:
    daemons.make_source = lambda: source
    reply = await daemons.get()
    with pytest.raises(AnswerCutError):
        await _read_all(reply)
    assert source.closed.is_set()
    assert await daemons.client.request("ping", 1) == 1


async def test_a_lost_connection_cuts_the_body(daemons: Daemons) -> None:
    daemons.make_source = lambda: make_source(10_000)
    reply = await daemons.get()
    daemons.server.close()
    with pytest.raises(AnswerCutError):
        await asyncio.wait_for(_read_all(reply), 1.0)
    await asyncio.wait_for(daemons.sources[0].closed.wait(), 1.0)


async def test_a_body_that_has_begun_outlives_a_silent_spell(daemons: Daemons) -> None:
    """What has begun cannot be had elsewhere, so its connection stays until it is complete."""
    daemons.make_source = lambda: make_source(33)
    reply = await daemons.get()
    daemons.client.reconnect("no answer to heartbeats")
    assert await asyncio.wait_for(_read_all(reply), 2.0) == 33 * CHUNK
    async with asyncio.timeout(3.0):
        while not daemons.client.connected or len(daemons.server.connections) != 1:
            await asyncio.sleep(0.01)


async def test_small_messages_do_not_wait_behind_large_answers(daemons: Daemons) -> None:
    """Names the load of calm days: downloads of 90 to 540 kB from a VM with 5 Mbit/s.

    A heartbeat waited for up to 0.9 s behind one of them, and longer behind several.
    """
    daemons.server.link.rate = LinkRate(5e6 / 8)
    daemons.make_source = lambda: make_source(12)
    started = time.perf_counter()
    downloads = [asyncio.create_task(_read_all(await daemons.get())) for _ in range(3)]
    delays = []
    while not all(download.done() for download in downloads):
        sent_at = time.perf_counter()
        await daemons.client.request("ping", 1)
        delays.append(time.perf_counter() - sent_at)
        await asyncio.sleep(0.005)
    elapsed_s = time.perf_counter() - started
    assert [await download for download in downloads] == 3 * [12 * CHUNK]
    # Three times 196 kB at 5 Mbit/s.
    assert elapsed_s >= 0.9 * 3 * 12 * len(CHUNK) / (5e6 / 8)
    assert sorted(delays)[int(0.9 * len(delays))] < 0.05


async def test_answers_share_the_link_evenly(daemons: Daemons) -> None:
    """A small download is not sent after the large ones that began before it."""
    daemons.server.link.rate = LinkRate(5e6 / 8)
    daemons.make_source = lambda: make_source(20)
    large = [asyncio.create_task(_read_all(await daemons.get())) for _ in range(3)]
    daemons.make_source = lambda: make_source(2)
    small = asyncio.create_task(_read_all(await daemons.get()))
    assert await small == 2 * CHUNK
    assert not any(task.done() for task in large)
    for task in large:
        task.cancel()


# Bad input.


class RawPeer:
    """A peer that writes and reads single frames."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, *frame: Any) -> None:
        data = msgpack.packb(frame)
        self.writer.write(LENGTH_PREFIX.pack(len(data)) + data)

    async def receive(self) -> Any:
        (length,) = LENGTH_PREFIX.unpack(await self.reader.readexactly(LENGTH_PREFIX.size))
        return msgpack.unpackb(await self.reader.readexactly(length))


@pytest.mark.parametrize("size", [0, -1, STREAM_WINDOW_BYTES + 1, "1", True, None])
async def test_a_window_out_of_range_ends_the_connection(daemons: Daemons, size: Any) -> None:
    daemons.make_source = lambda: make_source(100)
    peer = RawPeer(*await asyncio.open_connection(HOST, PORT))
    peer.send(REQUEST, 0, "hello", GREETING, read_clock())
    peer.send(REQUEST, 7, "get", None, read_clock())
    while (await peer.receive())[0] != PIECE:
        pass
    peer.send(WINDOW, 7, None, size, read_clock())
    await asyncio.wait_for(daemons.sources[-1].closed.wait(), 1.0)
    peer.writer.close()


async def _answer_with(*frames: list[Any]) -> tuple[asyncio.Server, PeerClient]:
    """Return a server that answers request 1 with the given frames, and a client of it."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = RawPeer(reader, writer)
        try:
            while (await peer.receive())[1] != 1:
                pass
            for frame in frames:
                peer.send(*frame)
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    server = await asyncio.start_server(serve, HOST, PORT + 1)
    client = PeerClient(GREETING, "node-2", f"{HOST}:{PORT + 1}")
    async with asyncio.timeout(3.0):
        while not client.connected:
            await asyncio.sleep(0.005)
    return server, client


@pytest.mark.parametrize(
    "pieces",
    [
        pytest.param([[PIECE, 1, b"x" * 90_000]], id="beyond the window"),
        pytest.param([[PIECE, 1, b"x" * 60_000], [PIECE, 1, b"x" * 5_537]], id="window used up"),
        pytest.param([[PIECE, 1, "text"]], id="no bytes"),
        pytest.param([[FAILED, 1, "cut"]], id="cut at once"),
        pytest.param([[PIECE, 1, b"x"], [HEAD, 1, [[], 5]]], id="second head"),
    ],
)
async def test_wrong_pieces_cut_the_body(pieces: list[list[Any]]) -> None:
    server, client = await _answer_with([HEAD, 1, [["head"], 100_000]], *pieces)
    try:
        reply = await client.request("get", None)
        await asyncio.sleep(0.05)
        with pytest.raises(AnswerCutError):
            await asyncio.wait_for(_read_all(reply), 1.0)
    finally:
        client.close()
        server.close()


async def test_a_body_that_is_longer_than_it_said_is_cut() -> None:
    server, client = await _answer_with([HEAD, 1, [["head"], 10]], [PIECE, 1, b"x" * 11])
    try:
        reply = await client.request("get", None)
        with pytest.raises(AnswerCutError, match="longer"):
            await asyncio.wait_for(_read_all(reply), 1.0)
    finally:
        client.close()
        server.close()


@pytest.mark.parametrize("head", [[["head"], 0], [["head"], -1], [["head"], "9"], [["head"]], 5])
async def test_a_head_that_cannot_be_read_ends_the_connection(head: Any) -> None:
    server, client = await _answer_with([HEAD, 1, head])
    try:
        with pytest.raises(PeerRequestError):
            await asyncio.wait_for(client.request("get", None), 1.0)
    finally:
        client.close()
        server.close()
