"""Options of TCP sockets."""

from __future__ import annotations

import array
import fcntl
import socket
import struct
import termios
from typing import Any

from loguru import logger

# A dead peer is detected within KEEPALIVE_IDLE_S + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# A connection is closed if data stays unacknowledged for this long, as in a network partition.
USER_TIMEOUT_MS = 3_000


def set_socket_options(sock: socket.socket) -> None:
    """Send small writes at once, and detect a peer that disappears without a reset."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def reset_when_closed(sock: socket.socket) -> None:
    """Have closing the socket send RST in place of FIN, and drop what was not delivered."""
    # l_onoff=1 and l_linger=0 of struct linger
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def keep_send_queue_short(sock: socket.socket, max_bytes: int) -> None:
    """Have the kernel hold at most ``max_bytes`` that were not sent yet, where it can."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, max_bytes)
    except OSError as error:
        logger.debug("event=send_queue_not_limited error={!r}", error)


def bind_socket(host: str, port: int) -> socket.socket:
    """Bind an address without listening.

    Raises
    ------
    OSError
        If the address is in use or not an address of this VM; the message names it.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        # Connections of a former process that are not gone yet are no obstacle.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
    except OSError as error:
        sock.close()
        raise OSError(error.errno, f"cannot listen on {host}:{port}: {error.strerror}") from error
    return sock


def has_unread_bytes(sock: Any) -> bool:
    """Return whether the kernel holds received bytes of a socket, as far as it tells."""
    count = array.array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    except OSError:
        return False
    return count[0] > 0


def count_undelivered(sock: Any) -> int:
    """Return the written bytes that the peer has not acknowledged, 0 if the kernel does not tell.

    The end of the stream counts as one byte.
    """
    count = array.array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, count)
    except OSError:
        return 0
    return count[0]


def limit_reads(transport: Any, max_bytes: int) -> None:
    """Have a transport receive at most ``max_bytes`` in one turn of the event loop.

    What is received is parsed at once, so this bounds how long other connections wait.
    """
    # asyncio has no public name for it; a transport that is not a socket's has none at all.
    if hasattr(transport, "max_size"):
        transport.max_size = min(max_bytes, transport.max_size)
