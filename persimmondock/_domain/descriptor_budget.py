"""Connections that a daemon may hold out of the descriptors that it may open.

Each listener has a share of its own, so that many connections at one leave room at the others and
for the daemon's connections to the store, to peers and to its backend server. A listener whose
share is used up closes the connection that has been idle for longest, or refuses the new one.
"""

from __future__ import annotations

import sys
from typing import Generic, TypeVar

import attrs

DEFAULT_DESCRIPTORS = 4_096  # if the settings do not tell
SETTINGS_FILES = 200  # of the descriptors in the settings, which connections may not use
OWN_FILES = 16  # of those that the kernel allows: outputs, modules that are imported, /proc
# Listeners, the store, requests and orders to the backend server, readiness checks, metrics,
# announcements, peers that have not said who they are, and connections that are refused.
OWN_CONNECTIONS = 135
CONNECTIONS_PER_PEER = 2  # one in each direction
MIN_CALLERS_SHARE = 0.25  # of all connections, however many peers there are
SMALL_SHARE = 8  # connections to a listener that few clients use
UNKNOWN_PEERS_SHARE = 16  # connections to the peers' port on which nobody has said who it is
REFUSED_SHARE = 8  # connections that stay open until their refusal is sent
FIRST_REQUEST_S = 0.05  # in which a new connection is not closed, since its request is on the way

ConnectionT = TypeVar("ConnectionT")


def compute_connections(settings_limit: int, kernel_limit: int) -> int:
    """Return the number of connections that a process may hold.

    Parameters
    ----------
    settings_limit
        Descriptors that the settings allow; 0 if unknown.
    kernel_limit
        Descriptors that the kernel allows; -1 if it sets no limit.
    """
    allowed = max((settings_limit or DEFAULT_DESCRIPTORS) - SETTINGS_FILES, 0)
    if kernel_limit >= 0:
        allowed = min(allowed, kernel_limit - OWN_FILES)
    return max(1, allowed)


def compute_callers_share(connections: int, peers: int) -> int:
    """Return how many of a daemon's connections its callers may hold.

    Parameters
    ----------
    connections
        All that the daemon may hold.
    peers
        Number of other daemons.
    """
    left = connections - OWN_CONNECTIONS - CONNECTIONS_PER_PEER * peers
    return max(1, left, int(connections * MIN_CALLERS_SHARE))


@attrs.define(eq=False)
class ConnectionShare(Generic[ConnectionT]):
    """Connections to one listener.

    Parameters
    ----------
    limit
        Maximum number of open connections.

    Attributes
    ----------
    idle_closed
        Number of idle connections that were closed to make room.
    refused
        Number of connections that found no room.
    """

    limit: int = sys.maxsize
    idle_closed: int = 0
    refused: int = 0
    _open: dict[ConnectionT, None] = attrs.field(factory=dict)  # in the order of their opening
    # Instants since which connections have been idle, in their order.
    _new: dict[ConnectionT, float] = attrs.field(factory=dict)
    _idle: dict[ConnectionT, float] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._open)

    def __contains__(self, connection: ConnectionT) -> bool:
        return connection in self._open

    @property
    def has_room(self) -> bool:
        """Whether one more connection may be opened."""
        return len(self._open) < self.limit

    @property
    def has_new(self) -> bool:
        """Whether a connection may be closed soon, unless its first request comes."""
        return bool(self._new)

    def add(self, connection: ConnectionT, now: float) -> None:
        """Count a connection; it may be closed if no request comes within `FIRST_REQUEST_S`."""
        self._open[connection] = None
        self._new[connection] = now

    def remove(self, connection: ConnectionT) -> None:
        """Forget a connection that is closed."""
        self._open.pop(connection, None)
        self.mark_busy(connection)

    def mark_busy(self, connection: ConnectionT) -> None:
        """Keep a connection on which a request is received or runs."""
        self._new.pop(connection, None)
        self._idle.pop(connection, None)

    def mark_idle(self, connection: ConnectionT, now: float) -> None:
        """Allow a connection to be closed from now on, after those idle for longer."""
        if connection in self._open:
            self.mark_busy(connection)
            self._idle[connection] = now

    def find_oldest(self) -> ConnectionT | None:
        """Return the connection that was opened first of those that are open."""
        return next(iter(self._open), None)

    def take_idle(self, now: float) -> ConnectionT | None:
        """Return the connection that has been idle for longest, which counts as busy from now."""
        new, idle = next(iter(self._new.items()), None), next(iter(self._idle.items()), None)
        if new is not None and now - new[1] < FIRST_REQUEST_S:
            new = None
        found = min(
            (item for item in (new, idle) if item is not None), key=_get_since, default=None
        )
        if found is None:
            return None
        self.mark_busy(found[0])
        return found[0]


def _get_since(item: tuple[ConnectionT, float]) -> float:
    return item[1]
