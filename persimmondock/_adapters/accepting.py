"""Accepts TCP connections only while there is room for them.

asyncio's servers accept whatever waits, as many at once as the backlog is long, before a protocol
hears of any; without a descriptor left they stop for a second and answer nobody.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import errno
import os
from typing import TYPE_CHECKING

from loguru import logger

from persimmondock._adapters.clock import read_clock

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

ACCEPTS_PER_TURN = 64  # of the event loop, so that other connections are read meanwhile
RETRY_S = 0.1
SOON_S = 0.005
DISCARDED_BYTES = 64 * 1024
REPORT_INTERVAL_S = 1.0
SHORTAGES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class Room(enum.Enum):
    """Whether there is room for a connection that waits."""

    NOW = enum.auto()  # it may be accepted, if only to be refused
    NEXT_TURN = enum.auto()  # of the event loop, when another one is closed
    SOON = enum.auto()


class Acceptor:
    """Accepts the connections of one listening socket.

    Parameters
    ----------
    sock
        Bound socket, which does not block.
    backlog
        Connections that the kernel keeps until they are accepted.
    has_room
        Returns whether a connection may be accepted without making room.
    make_room
        Called once a connection waits.
    choose_protocol
        Returns the protocol of a connection that was accepted.
    shed
        Closes a connection that can be spared, and returns whether there was one.
    refusal
        Sent on a connection for which no descriptor is left.
    """

    def __init__(
        self,
        sock: socket.socket,
        backlog: int,
        has_room: Callable[[], bool],
        make_room: Callable[[], Room],
        choose_protocol: Callable[[], asyncio.Protocol],
        shed: Callable[[], bool],
        refusal: bytes = b"",
    ) -> None:
        self._socket = sock
        self._has_room = has_room
        self._make_room = make_room
        self._choose_protocol = choose_protocol
        self._shed = shed
        self._refusal = refusal
        self._backlog = backlog
        self._spare = _open_spare()
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopped = False
        self._report_at = -float("inf")
        sock.listen(backlog)
        self._resume()

    def stop(self) -> None:
        """Accept no more connections, while those accepted already are set up."""
        if not self._stopped:
            self._stopped = True
            asyncio.get_running_loop().remove_reader(self._socket)

    def close(self) -> None:
        """Refuse the connections that wait, which would be reset otherwise, and stop listening."""
        self.stop()
        for _ in range(self._backlog if self._refusal else 0):
            try:
                connection, _ = self._socket.accept()
            except (InterruptedError, ConnectionAbortedError):
                continue
            except OSError:
                break
            self._refuse(connection)
        self._socket.close()
        if self._spare is not None:
            os.close(self._spare)
            self._spare = None

    def _resume(self) -> None:
        if not self._stopped:
            asyncio.get_running_loop().add_reader(self._socket, self._accept_waiting)

    def _accept_waiting(self) -> None:
        room = self._make_room()
        if room is Room.SOON:
            self._pause(SOON_S)
        if room is not Room.NOW:
            return
        for _ in range(ACCEPTS_PER_TURN):
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self._handle_failure(error)
                return
            self._set_up(connection)
            # Whether another one waits is known in the next turn: none is closed for it before.
            if not self._has_room():
                return

    def _set_up(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        task = asyncio.get_running_loop().create_task(_connect(connection, self._choose_protocol()))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _refuse(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            connection.setblocking(False)
            if self._refusal:
                connection.send(self._refusal)
            # Closing with unread bytes would send a reset, which may overtake the refusal.
            connection.recv(DISCARDED_BYTES)

    def _handle_failure(self, error: OSError) -> None:
        """Answer the connections that wait although none of them can be kept."""
        now = read_clock()
        if now >= self._report_at:
            self._report_at = now + REPORT_INTERVAL_S
            logger.error("event=accept_failed error={!r}", error)
        if error.errno in SHORTAGES and (self._shed() or self._refuse_with_spare()):
            return
        self._pause(RETRY_S)

    def _pause(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        loop.call_later(seconds, self._resume)

    def _refuse_with_spare(self) -> bool:
        """Refuse one connection with the spare descriptor; return whether it could be accepted."""
        if self._spare is None:
            self._spare = _open_spare()
        if self._spare is None:
            return False
        os.close(self._spare)
        try:
            connection, _ = self._socket.accept()
        except OSError:
            return False
        else:
            self._refuse(connection)
            return True
        finally:
            self._spare = _open_spare()


def _open_spare() -> int | None:
    """Open a descriptor whose only use is to be closed."""
    try:
        return os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return None


async def _connect(connection: socket.socket, protocol: asyncio.Protocol) -> None:
    loop = asyncio.get_running_loop()
    try:
        await loop.connect_accepted_socket(lambda: protocol, connection)
    except OSError as error:
        logger.info("event=connection_not_set_up error={!r}", error)
        connection.close()
        protocol.connection_lost(error)
