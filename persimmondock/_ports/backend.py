"""Interface to the backend server beside a daemon, as its gate uses it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeAlias

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from persimmondock._domain.backend_notice import BackendNotice
    from persimmondock._domain.forwarding import ForwardedRequest
    from persimmondock._domain.verdict import NotRun, Verdict


@attrs.frozen
class OrderTrace:
    """How an order reached the backend server and was answered.

    Parameters
    ----------
    connection
        Number of the connection among those for such orders.
    earlier_orders
        Number of orders that this connection carried before.
    sent_at, answered_at
        Instants of the sending and of the answer, in seconds.
    is_certain
        Whether the answer cannot be that to an earlier order of the connection.
    """

    connection: int
    earlier_orders: int
    sent_at: float
    answered_at: float
    is_certain: bool = True

    def __str__(self) -> str:
        return (
            f"connection={self.connection} earlier_orders={self.earlier_orders} "
            f"sent_at={self.sent_at:.3f} answered_at={self.answered_at:.3f} "
            f"certain={self.is_certain}"
        )


@attrs.frozen
class GrantAccepted:
    """The backend server accepted the grant and holds the keys."""

    trace: OrderTrace | None = attrs.field(default=None, eq=False)


@attrs.frozen
class GrantFenced:
    """The backend server refused the grant, since it has seen a higher fencing token."""

    trace: OrderTrace | None = attrs.field(default=None, eq=False)


@attrs.frozen
class GrantUnknown:
    """It is unknown whether the backend server holds the keys or will hold them."""

    detail: str


@attrs.frozen
class GrantNotSent:
    """The grant did not reach the backend server.

    Parameters
    ----------
    refused
        Whether the backend server took no connection and none was open. It may have ended, be full
        or be out of reach.
    """

    detail: str
    refused: bool = False


@attrs.frozen
class GrantMisdirected:
    """Another instance listens at the backend server's address; it did not take the grant.

    Parameters
    ----------
    answered_by
        Name of that instance, or empty if it did not tell.
    """

    answered_by: str
    trace: OrderTrace | None = attrs.field(default=None, eq=False)


GrantOutcome: TypeAlias = (
    GrantAccepted | GrantFenced | GrantUnknown | GrantNotSent | GrantMisdirected
)


@attrs.frozen
class ReleaseDone:
    """Work on the keys has ended.

    Parameters
    ----------
    handover
        Data with which the next owner skips the warm-up.
    """

    handover: str
    trace: OrderTrace | None = attrs.field(default=None, eq=False)


@attrs.frozen
class ReleaseFailed:
    """It is unknown whether the keys are released.

    Parameters
    ----------
    refused
        Whether the backend server took no connection and none was open. It may have ended, be full
        or be out of reach.
    misdirected
        Whether another instance listens there, so that the process that was meant has ended.
    """

    detail: str
    refused: bool = False
    misdirected: bool = False


class BackendServer(Protocol):
    """Client of the backend server."""

    async def run(
        self,
        request: ForwardedRequest,
        instance: str,
        check: Callable[[], NotRun | None],
        record_notice: Callable[[BackendNotice], None],
    ) -> Verdict:
        """Run a request on the backend server.

        Parameters
        ----------
        instance
            Instance of the backend server that may run the request; other instances refuse it.
        check
            Called before the send with no await in between; a returned refusal stops the request.
        record_notice
            Called with what the answer, or a refusal by the backend server, says about it.
        """
        ...

    async def grant(
        self,
        instance: str,
        first: int,
        last: int,
        fence: int,
        find_hold_s: Callable[[], float],
        handover: str,
    ) -> GrantOutcome:
        """Grant keys for a time that starts when the call reaches the backend server.

        Parameters
        ----------
        instance
            Instance of the backend server that may take the keys; other instances refuse them.
        first, last
            First and last key, both inclusive.
        fence
            Fencing token of the grant.
        find_hold_s
            Called before the send with no await in between; returns the time in seconds, or 0 if
            the keys may no longer be granted.
        handover
            Data that the former owner returned at its release, or empty.
        """
        ...

    async def release(
        self, instance: str, first: int, last: int, fence: int
    ) -> ReleaseDone | ReleaseFailed:
        """Revoke keys, and wait until no work on them is running.

        Parameters
        ----------
        instance
            Instance of the backend server that is meant, or empty for any.
        """
        ...

    async def settle_grants(
        self, connections: Collection[int], instance: str, first: int, last: int, fence: int
    ) -> frozenset[int]:
        """Release keys, that have been released, once more behind the grants of connections.

        Parameters
        ----------
        connections
            Numbers of connections that have carried grants.
        instance
            Instance of the backend server that is meant.

        Returns
        -------
        frozenset[int]
            Connections whose earlier grants are carried out, so that none is under way.
        """
        ...

    def watch_connections(self, on_lost: Callable[[], None]) -> None:
        """Call a function whenever the backend server ends a connection that it was to keep.

        The process may have ended, or it may have closed or reset this connection alone.
        """
        ...

    def is_connected_since(self, instant: float) -> bool:
        """Return whether a connection is open that was opened before an instant.

        The same process has listened at the backend server's address since.
        """
        ...

    async def is_absent(self) -> bool:
        """Return whether no connection is open and a new one, which is then opened, is refused."""
        ...

    async def check_health(self, path: str, instance: str) -> BackendNotice | None:
        """Return what the answer to a health check says about the backend server.

        Returns
        -------
        BackendNotice | None
            None if no answer of ``instance`` came, or none that can be read.
        """
        ...
