"""Tests of the modes of the proxy."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from persimmondock.soak.proxy import DELAY_S, MODE_POLL_S, Proxy
from persimmondock.tests.builders import NETWORK

LISTEN, TARGET = f"{NETWORK}150:8301", f"{NETWORK}150:8401"


@contextlib.asynccontextmanager
async def open_proxied_connection(
    proxy: Proxy,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter, bytearray]]:
    """Yield a connection to an echo server through the proxy, and the data the server received."""
    received = bytearray()

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(100):
                received.extend(data)
                writer.write(data)
                await writer.drain()
        writer.close()

    host, _, port = TARGET.rpartition(":")
    server = await asyncio.start_server(echo, host, int(port))
    await proxy.start()
    host, _, port = LISTEN.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield reader, writer, received
    finally:
        writer.close()
        proxy.close()
        server.close()


async def is_answered(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    writer.write(b"x")
    try:
        async with asyncio.timeout(DELAY_S / 2):
            return await reader.read(1) == b"x"
    except TimeoutError:
        return False


@pytest.mark.parametrize(("mode", "reaches_server"), [("silent", False), ("one_way", True)])
async def test_blocked_data_arrives_after_the_mode_ends(mode: str, reaches_server: bool) -> None:
    proxy = Proxy(LISTEN, TARGET)
    async with open_proxied_connection(proxy) as (reader, writer, received):
        assert await is_answered(reader, writer)
        proxy.set_mode(mode)
        assert not await is_answered(reader, writer)
        assert (len(received) == 2) is reaches_server
        proxy.set_mode("")
        async with asyncio.timeout(2.0):
            assert await reader.read(1) == b"x"


async def test_delay_mode_delays_data() -> None:
    proxy = Proxy(LISTEN, TARGET)
    async with open_proxied_connection(proxy) as (reader, writer, _):
        proxy.set_mode("delay")
        assert not await is_answered(reader, writer)
        async with asyncio.timeout(5.0):
            assert await reader.read(1) == b"x"


async def test_reset_mode_resets_open_connections() -> None:
    proxy = Proxy(LISTEN, TARGET)
    async with open_proxied_connection(proxy) as (reader, writer, _):
        assert await is_answered(reader, writer)
        proxy.set_mode("reset")
        with pytest.raises(ConnectionResetError):
            await reader.read(1)


async def test_a_closed_proxy_ends_connections_and_serves_again_once_started() -> None:
    """A backend server that crashes takes the daemon's connections with it."""
    proxy = Proxy(LISTEN, TARGET)
    async with open_proxied_connection(proxy) as (reader, writer, received):
        proxy.set_mode("silent")
        assert not await is_answered(reader, writer)
        proxy.close()
        with pytest.raises(ConnectionResetError):
            await reader.read(1)
        host, _, port = LISTEN.rpartition(":")
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(host, int(port))
        proxy.set_mode("")
        await proxy.start()
        reader, writer = await asyncio.open_connection(host, int(port))
        assert await is_answered(reader, writer)
        await asyncio.sleep(2 * MODE_POLL_S)
        assert bytes(received) == b"x"
        writer.close()
