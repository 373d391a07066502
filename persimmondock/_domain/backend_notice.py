"""What a backend server says about itself in its answers."""

from __future__ import annotations

import enum
import math
from typing import Any

import attrs

from persimmondock._domain.assignment import BackendIncarnation


@attrs.frozen
class BackendNotice:
    """What one answer says about its backend server.

    Parameters
    ----------
    max_per_s
        Requests per second that it takes from all daemons together, or None if it names no limit.
    leaving
        Whether it is about to stop and is to get no new requests.
    conclusive
        Whether the answer also proves what it does not say. Only an answer that the backend server
        signed does: a limit that is missing from it has ended.
    """

    max_per_s: float | None = None
    leaving: bool = False
    conclusive: bool = False


@attrs.frozen
class ToldNotice:
    """What another daemon has heard of an incarnation of a backend server."""

    incarnation: BackendIncarnation
    max_per_s: float | None
    leaving: bool

    def pack(self) -> list[Any]:
        """Return the fields in order, as data for msgpack."""
        return [[*attrs.astuple(self.incarnation)], self.max_per_s, self.leaving]


def unpack_told(data: list[Any]) -> ToldNotice:
    """Return the notice of packed data."""
    incarnation, max_per_s, leaving = data
    return ToldNotice(BackendIncarnation(*incarnation), max_per_s, leaving)


# A limit that a backend server does not name any more when it is asked, while it gets too few
# requests to say so in answers, is raised step by step: to this rate first, then to twice as much.
FIRST_RAISED_PER_S = 0.5
LAST_RAISED_PER_S = 1_000.0


class LimitChange(enum.Enum):
    """Effect of a notice on the limit that is in force."""

    NONE = "none"
    NAMED = "named"
    CHANGED = "changed"
    ENDED = "ended"


@attrs.define
class KnownNotice:
    """What the answers of one incarnation of a backend server have said so far.

    Parameters
    ----------
    max_per_s
        Limit in force, or None.
    leaving
        Whether any answer said that the backend server leaves.
    heard_at
        Instant of the last answer that was heard here and told of a limit or of its end; minus
        infinity if there was none, but only what another daemon told.
    named_at
        Instant at which an answer last named a limit.
    """

    max_per_s: float | None = None
    leaving: bool = False
    heard_at: float = -math.inf
    named_at: float = -math.inf

    def hear(self, notice: BackendNotice, sent_at: float, now: float) -> LimitChange:
        """Apply the notice of an answer to a request that was sent at an instant.

        A limit ends by an answer to a request that was sent after the limit was last named; earlier
        requests may have been answered before it was.
        """
        self.leaving = self.leaving or notice.leaving
        if notice.max_per_s is not None:
            previous, self.max_per_s = self.max_per_s, notice.max_per_s
            self.heard_at = self.named_at = now
            if previous is None:
                return LimitChange.NAMED
            return LimitChange.NONE if previous == notice.max_per_s else LimitChange.CHANGED
        if not notice.conclusive or sent_at <= self.named_at:
            return LimitChange.NONE
        self.heard_at = now
        previous, self.max_per_s = self.max_per_s, None
        return LimitChange.NONE if previous is None else LimitChange.ENDED

    def tell(self, max_per_s: float | None) -> bool:
        """Apply a limit that another daemon has heard; return whether it is in force from now on.

        All answers pass this daemon, so what it has heard itself is newer. Of several daemons the
        one with the lowest limit is believed.
        """
        if self.heard_at > -math.inf or max_per_s is None:
            return False
        if self.max_per_s is not None and self.max_per_s <= max_per_s:
            return False
        self.max_per_s = max_per_s
        return True

    def raise_limit(self) -> LimitChange:
        """Raise the limit because the backend server does not name it when it is asked.

        Only an answer to a request proves that a limit has ended.
        """
        if self.max_per_s is None:
            return LimitChange.NONE
        raised_per_s = max(FIRST_RAISED_PER_S, 2 * self.max_per_s)
        self.max_per_s = raised_per_s if raised_per_s <= LAST_RAISED_PER_S else None
        return LimitChange.ENDED if self.max_per_s is None else LimitChange.CHANGED
