"""Large answers from backend servers to callers, through one daemon or two."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import attrs
import pytest

from persimmondock._adapters import http_exchange, peer_stream
from persimmondock._adapters.http_exchange import RECEIVE_BYTES
from persimmondock._domain.link_budget import LinkRate
from persimmondock.tests.live_site import HOST, LiveNode, LiveSite, make_config, run_site

SIZE = 540_000
REMOTE, LOCAL = 0, 2  # indices of VMs: without and with a backend server of the service


@attrs.define
class Download:
    """A caller's connection with one request for a large answer."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def begin(cls, node: LiveNode, timeout_ms: int = 2_000) -> Download:
        host, _, port = node.settings.caller_address.rpartition(":")
        sock = socket.socket()
        # A small receive buffer, so that a caller that stops reading is noticed soon.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=sock, limit=1_024)
        writer.write(
            f"GET /assign/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: d1\r\n"
            f"X-Timeout-Ms: {timeout_ms}\r\n\r\n".encode()
        )
        return cls(reader, writer)

    async def read_head(self) -> bytes:
        async with asyncio.timeout(3.0):
            return await self.reader.readuntil(b"\r\n\r\n")

    async def read_rest(self) -> bytes:
        received = bytearray()
        async with asyncio.timeout(5.0):
            with contextlib.suppress(ConnectionError):
                while data := await self.reader.read(65_536):
                    received += data
        return bytes(received)


@pytest.fixture
async def site() -> AsyncIterator[LiveSite]:
    config = make_config(route_type="download", timeout_s=3.0, target_latency_s=2.0)
    async with run_site(config) as site:
        for node in site.nodes[LOCAL:]:
            node.backend.answer_bytes = SIZE
        yield site


def count_streams(site: LiveSite) -> int:
    """Return the number of answers that are being sent, and of slots that are held."""
    sidecars = [node.daemon.sidecar for node in site.nodes]
    return sum(
        len(sidecar.gate.streams) + len(sidecar.dispatcher.streams) + len(sidecar.gate.pool.running)
        for sidecar in sidecars
    )


async def wait_until_ended(site: LiveSite, within_s: float) -> None:
    async with asyncio.timeout(within_s):
        while count_streams(site):
            await asyncio.sleep(0.005)


@pytest.mark.parametrize("index", [REMOTE, LOCAL])
async def test_a_large_answer_arrives_whole(site: LiveSite, index: int) -> None:
    for _ in range(4):
        status, headers, body = await site.ask(site.nodes[index], "/assign/1", attempt="d1")
        assert (status, len(body)) == (200, SIZE)
        assert body.startswith(b"answer to d1") and headers["X-Attempt-Id"] == "d1"
    await wait_until_ended(site, 1.0)
    text = await site.read_metrics(site.nodes[LOCAL])
    text += await site.read_metrics(site.nodes[LOCAL + 1])
    assert 'persimmondock_streams_total{end="complete",place="gate"}' in text


async def test_a_peer_of_the_former_version_gets_the_answer_whole(
    site: LiveSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an upgrade under load that cuts downloads."""
    monkeypatch.setattr(peer_stream, "PROTOCOL_VERSION", 0)
    for node in site.nodes:
        for peer in node.daemon.sidecar.mesh.peers.values():
            peer.client.reconnect("test")
    await site.wait_until_served(site.nodes[REMOTE])
    status, _, body = await site.ask(site.nodes[REMOTE], "/assign/1", attempt="d1")
    assert (status, len(body)) == (200, SIZE)
    text = await site.read_metrics(site.nodes[REMOTE])
    assert 'persimmondock_streams_total{end="complete",place="front"} ' not in text


@pytest.mark.parametrize("index", [REMOTE, LOCAL])
async def test_a_caller_that_leaves_ends_the_stream_and_the_slot(
    site: LiveSite, index: int
) -> None:
    for node in site.nodes[LOCAL:]:
        node.backend.answer_bytes = 50 * SIZE
    download = await Download.begin(site.nodes[index])
    await download.read_head()
    await asyncio.sleep(0.1)
    assert count_streams(site)
    download.writer.transport.abort()
    await wait_until_ended(site, 0.3)


@pytest.mark.parametrize("index", [REMOTE, LOCAL])
async def test_a_caller_that_reads_nothing_costs_bounded_memory_and_ends_by_its_deadline(
    site: LiveSite, index: int
) -> None:
    for node in site.nodes[LOCAL:]:
        node.backend.answer_bytes = 50 * SIZE
    download = await Download.begin(site.nodes[index], timeout_ms=1_500)
    await download.read_head()
    sidecars = [node.daemon.sidecar for node in site.nodes]
    await asyncio.sleep(0.7)
    waiting = sum(
        s.gate.streams.waiting_bytes + s.dispatcher.streams.waiting_bytes for s in sidecars
    )
    windows = http_exchange.STREAM_WINDOW_BYTES + RECEIVE_BYTES + peer_stream.STREAM_WINDOW_BYTES
    assert 0 < waiting <= windows
    assert (await site.ask(site.nodes[index], "/view/1", key=1))[0] == 200
    await wait_until_ended(site, 2.0)
    assert len(await download.read_rest()) < 50 * SIZE


@pytest.mark.parametrize("resets", [False, True], ids=["closes", "resets"])
@pytest.mark.parametrize("index", [REMOTE, LOCAL])
async def test_a_backend_server_that_dies_midway_cuts_the_callers_connection(
    site: LiveSite, index: int, resets: bool
) -> None:
    """Guards against answers that are cut short, look complete, or are followed by another one."""
    for node in site.nodes[LOCAL:]:
        node.backend.answer_bytes = 50 * SIZE
    download = await Download.begin(site.nodes[index], timeout_ms=3_000)
    head = await download.read_head()
    assert f"Content-Length: {50 * SIZE}".encode() in head
    for node in site.nodes[LOCAL:]:
        await node.backend.crash(resets)
    rest = await download.read_rest()
    assert len(rest) < 50 * SIZE and b"HTTP/1.1" not in rest
    await wait_until_ended(site, 1.0)
    # The death ends the answer, and not the caller's deadline.
    text = "".join([await site.read_metrics(node) for node in site.nodes])
    assert 'persimmondock_streams_total{end="cut",place="gate"} 1.0' in text
    assert 'end="expired"' not in text


async def test_small_requests_are_quick_beside_downloads_on_a_slow_link(site: LiveSite) -> None:
    """Names the load of a gate with 5 Mbit/s whose callers download all the time."""
    for node in site.nodes[LOCAL:]:
        node.daemon.sidecar.mesh.server.link.rate = LinkRate(5e6 / 8)
    downloads = [await Download.begin(site.nodes[REMOTE]) for _ in range(4)]
    await asyncio.gather(*(download.read_head() for download in downloads))
    node, peers = site.nodes[REMOTE], site.nodes[REMOTE].daemon.sidecar.mesh.peers
    loop = asyncio.get_running_loop()
    delays = []
    for _ in range(40):
        sent_at = loop.time()
        for other in site.nodes[LOCAL:]:
            client = peers[other.settings.node].client
            await client.request("ping", [node.settings.node, [0, 0, 0]])
        delays.append(loop.time() - sent_at)
    assert sorted(delays)[36] < 0.1
    for download in downloads:
        download.writer.transport.abort()
    await wait_until_ended(site, 0.5)
