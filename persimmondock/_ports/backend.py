"""The backend server beside a daemon, as its gate uses it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeAlias

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._domain.forwarding import ForwardedRequest
    from persimmondock._domain.verdict import NotRun, Verdict


@attrs.frozen
class GrantAccepted:
    """The backend server holds the keys."""


@attrs.frozen
class GrantFenced:
    """The backend server has seen a higher fencing token."""


@attrs.frozen
class GrantUnknown:
    """Whether the backend server holds the keys, or will, is not known."""

    detail: str


@attrs.frozen
class GrantNotSent:
    """The backend server has not got the grant."""

    detail: str


GrantOutcome: TypeAlias = GrantAccepted | GrantFenced | GrantUnknown | GrantNotSent


@attrs.frozen
class ReleaseDone:
    """Work on the keys has ended; the handover spares the next owner the warm-up."""

    handover: str


@attrs.frozen
class ReleaseFailed:
    """Whether the keys are released is not known.

    Parameters
    ----------
    refused
        Whether nothing listens at the backend server's address, so that nothing holds keys.
    """

    detail: str
    refused: bool = False


class BackendServer(Protocol):
    """Client of the backend server."""

    async def run(
        self,
        request: ForwardedRequest,
        instance: str,
        check: Callable[[], NotRun | None],
    ) -> Verdict:
        """Let it run a request.

        Parameters
        ----------
        instance
            Life that may run it; any other one refuses.
        check
            Called with nothing awaited between it and the send; a refusal stops the request.
        """
        ...

    async def grant(
        self, first: int, last: int, fence: int, find_hold_s: Callable[[], float], handover: str
    ) -> GrantOutcome:
        """Grant keys for a time that counts from the arrival of the call.

        Parameters
        ----------
        find_hold_s
            Called with nothing awaited between it and the send; returns the time in seconds, or 0
            if the keys may not be granted any more.
        """
        ...

    async def release(self, first: int, last: int, fence: int) -> ReleaseDone | ReleaseFailed:
        """Take keys back; ends when no work on them runs any more."""
        ...
