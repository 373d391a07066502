"""A loopback TCP proxy that delays, resets or blocks connections."""

from __future__ import annotations

import asyncio
import contextlib
import math

from persimmondock.standins.connections import reset_connection

CHUNK_BYTES = 65_536
DELAY_S = 0.25  # above the latency target of short requests, below the timeouts of store calls
MODE_POLL_S = 0.02
LIMITED_CHUNK_S = 0.005  # of a connection with a limited rate; timers may be so late


class Proxy:
    """Forwards connections from one address to another, and injects faults.

    Parameters
    ----------
    bytes_per_s
        Rate of each direction of a connection; infinity for no limit.

    Attributes
    ----------
    mode
        ``delay`` adds ``DELAY_S`` to each chunk, ``reset`` resets all connections,
        ``silent`` blocks both directions and ``one_way`` the direction from the target; empty for
        no fault. May change at any time.
    """

    def __init__(self, listen: str, target: str, bytes_per_s: float = math.inf) -> None:
        self.mode = ""
        self._bytes_per_s = bytes_per_s
        self._chunk_bytes = int(min(CHUNK_BYTES, max(1, LIMITED_CHUNK_S * bytes_per_s)))
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self._listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def set_mode(self, mode: str) -> None:
        """Change the mode of all connections; ``reset`` also resets those that are open."""
        self.mode = mode
        if mode == "reset":
            self.reset_all()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            reset_connection(writer.transport)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        host, _, port = self._target.rpartition(":")
        try:
            if self.mode == "reset":
                self.reset_all()
                return
            try:
                target_reader, target_writer = await asyncio.open_connection(host, int(port))
            except OSError:
                # The target does not listen. So that the client notices, its connection is closed.
                return
            self._writers.add(target_writer)
            try:
                await asyncio.gather(
                    self._forward(reader, target_writer, to_target=True),
                    self._forward(target_reader, writer, to_target=False),
                )
            finally:
                self._writers.discard(target_writer)
                target_writer.close()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to_target: bool
    ) -> None:
        """Forward data as the current mode says; blocked data is kept until the mode changes."""
        loop = asyncio.get_running_loop()
        sent_at = -math.inf
        # If one connection fails, the other one is closed below; there is nothing else to report.
        with contextlib.suppress(OSError):
            while data := await reader.read(self._chunk_bytes):
                sent_at = (
                    max(sent_at, loop.time() - LIMITED_CHUNK_S) + len(data) / self._bytes_per_s
                )
                if sent_at > loop.time():
                    await asyncio.sleep(sent_at - loop.time())
                while self.mode == "silent" or (self.mode == "one_way" and not to_target):
                    await asyncio.sleep(MODE_POLL_S)
                if reader.exception() is not None:
                    # The sender's connection failed meanwhile: its undelivered data is lost, as it
                    # would be in the sender's kernel.
                    break
                if self.mode == "delay":
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
        writer.close()
