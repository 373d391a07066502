"""Waiting for addresses that another process still has, or that the machine does not have yet."""

from __future__ import annotations

import asyncio
import errno
from typing import TYPE_CHECKING

from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.sockets import bind_socket

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterable

RETRY_S = 0.05
LINES = {
    errno.EADDRINUSE: "event=address_in_use address={} left_s={:.1f}",
    errno.EADDRNOTAVAIL: "event=address_missing address={} left_s={:.1f}",
}


async def wait_until_free(addresses: Iterable[str], deadline: float) -> None:
    """Wait until all addresses can be listened on at the same time.

    None of them is listened on meanwhile: a new process that takes requests at one address while
    the former process has another would be one of two with the same name.

    Parameters
    ----------
    addresses
        Each is a ``host:port``.
    deadline
        Instant, by `read_clock`, at which waiting ends.

    Raises
    ------
    OSError
        If an address is still in use or missing then, or cannot be used for another reason; the
        message names it.
    """
    bound: list[socket.socket] = []
    try:
        for address in addresses:
            bound.append(await _bind_when_free(address, deadline))
    finally:
        for sock in bound:
            sock.close()


async def _bind_when_free(address: str, deadline: float) -> socket.socket:
    host, _, port = address.rpartition(":")
    reported: set[str] = set()
    while True:
        try:
            sock = bind_socket(host, int(port))
        except OSError as error:
            line = LINES.get(error.errno or 0)
            if line is None or read_clock() >= deadline:
                raise
            if line not in reported:
                reported.add(line)
                logger.warning(line, address, deadline - read_clock())
            await asyncio.sleep(RETRY_S)
            continue
        if reported:
            logger.info("event=address_free address={}", address)
        return sock
