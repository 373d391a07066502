"""Small messages of a daemon whose link is full of large answers.

``python -m benchmarks.large_answers`` starts a daemon's peer server in a process of its own behind
a proxy of 5 Mbit/s, asks it for answers of 90 kB on average at 0.8 of that rate, and measures
heartbeats on the same connection: with each answer in one frame, as daemons of the former version
send it, and in pieces.
"""

from __future__ import annotations

import asyncio
import math
import random
import sys
import time
from typing import Any

import attrs

from persimmondock._adapters.buffered_body import BufferedBody
from persimmondock._adapters.peer_stream import (
    Delivery,
    PeerClient,
    PeerServer,
    StreamedReply,
)
from persimmondock._domain.link_budget import LinkRate, convert_bandwidth
from persimmondock.soak.proxy import Proxy

SERVER_ADDRESS, PROXY_ADDRESS = "127.0.41.211:7620", "127.0.41.212:7620"
BANDWIDTH_MBPS = 5.0
LOAD = 0.8  # of the link
MEAN_BYTES, MAX_BYTES = 90_000, 540_000
SPREAD = 0.6
SECONDS = 20.0
PING_INTERVAL_S = 0.02


async def serve() -> None:
    """Answer requests for so many bytes, whole or in pieces, until cancelled."""
    server = PeerServer(lambda _: None, "server")
    server.link.rate = LinkRate(convert_bandwidth(BANDWIDTH_MBPS))

    async def send_whole(size: int, _: Delivery) -> bytes:
        return bytes(size)

    async def send_pieces(size: int, _: Delivery) -> StreamedReply:
        body = BufferedBody(size)
        body.feed(bytes(size))
        return StreamedReply(None, body)

    server.handlers |= {"whole": send_whole, "pieces": send_pieces}
    server.instant_handlers["ping"] = lambda payload, _: payload
    await server.start(SERVER_ADDRESS)
    await asyncio.Event().wait()


@attrs.define
class Measures:
    """Durations in seconds."""

    pings: list[float] = attrs.field(factory=list)
    downloads: list[float] = attrs.field(factory=list)


def find_quantile(values: list[float], share: float) -> float:
    """Return a quantile of durations, in milliseconds."""
    return 1000 * sorted(values)[min(len(values) - 1, int(share * len(values)))]


async def _download(client: PeerClient, kind: str, size: int, measures: Measures) -> None:
    started = time.perf_counter()
    reply: Any = await client.request(kind, size)
    if isinstance(reply, StreamedReply):
        while await reply.body.read():
            pass
    measures.downloads.append(time.perf_counter() - started)


async def measure(kind: str) -> Measures:
    """Ask for answers at random instants, the same for each kind, and send heartbeats."""
    generator = random.Random(7)
    client = PeerClient(["client", "", "", ""], "server", PROXY_ADDRESS)
    while not client.version:
        await asyncio.sleep(0.01)
    measures = Measures()
    per_s = LOAD * BANDWIDTH_MBPS * 1e6 / 8 / MEAN_BYTES

    async def download() -> None:
        async with asyncio.TaskGroup() as group:
            until = time.perf_counter() + SECONDS
            while time.perf_counter() < until:
                await asyncio.sleep(generator.expovariate(per_s))
                size = generator.lognormvariate(math.log(MEAN_BYTES) - SPREAD**2 / 2, SPREAD)
                group.create_task(_download(client, kind, int(min(MAX_BYTES, size)), measures))

    downloads = asyncio.create_task(download())
    while not downloads.done():
        started = time.perf_counter()
        await client.request("ping", 0)
        measures.pings.append(time.perf_counter() - started)
        await asyncio.sleep(PING_INTERVAL_S)
    await downloads
    client.close()
    return measures


async def run() -> None:
    """Print the quantiles of both kinds."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "benchmarks.large_answers", "serve"
    )
    proxy = Proxy(PROXY_ADDRESS, SERVER_ADDRESS, BANDWIDTH_MBPS * 1e6 / 8)
    try:
        await proxy.start()
        await asyncio.sleep(1.0)
        for kind in ("whole", "pieces"):
            measures = await measure(kind)
            print(
                f"{kind}: heartbeats p50 {find_quantile(measures.pings, 0.5):.0f} ms, "
                f"p99 {find_quantile(measures.pings, 0.99):.0f} ms; "
                f"downloads p50 {find_quantile(measures.downloads, 0.5):.0f} ms, "
                f"p99 {find_quantile(measures.downloads, 0.99):.0f} ms"
            )
    finally:
        proxy.close()
        process.kill()
        await process.wait()


if __name__ == "__main__":
    asyncio.run(serve() if sys.argv[1:] == ["serve"] else run())
