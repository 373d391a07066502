"""Poison requests: requests that crash the backend servers that run them.

Every request that ran on a backend server when it crashed is a suspect. While a suspect runs again,
its backend server runs no other request, so that the outcome either clears the suspect or shows
that it is the cause. After ``CRASHES_TO_REFUSE`` crashes a request is refused, for a period that
doubles with each further crash. Suspects are announced to all daemons. A suspect that any backend
server may run is run by one gate only: that of the owner of the slice of its fingerprint.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from persimmondock._domain.messages import SuspectSeen

if TYPE_CHECKING:
    from collections.abc import Iterable

SUSPICION_MS = 120_000
REFUSAL_MS = 600_000
CRASHES_TO_REFUSE = 2
MAX_DOUBLINGS = 6
MAX_SUSPECTS = 1_024


@attrs.frozen
class RequestIdentity:
    """Identifies a request by its content, independent of its request identifier.

    Parameters
    ----------
    fingerprint
        Hash of method, path and body.
    """

    service: str
    fingerprint: int


class Handling(enum.Enum):
    """How a request is to be run."""

    FREE = "free"
    ALONE = "alone"
    REFUSED = "refused"


@attrs.frozen
class _Suspect:
    kills: int
    until_ms: int


@attrs.define
class SuspectRegistry:
    """The suspects that one daemon knows of."""

    _suspects: dict[RequestIdentity, _Suspect] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._suspects)

    def choose_handling(self, request: RequestIdentity, now_ms: int) -> Handling:
        """Return how a request is to be run now."""
        suspect = self._suspects.get(request)
        if suspect is None:
            return Handling.FREE
        if suspect.kills >= CRASHES_TO_REFUSE and now_ms < suspect.until_ms:
            return Handling.REFUSED
        return Handling.ALONE

    def find_refusal_end_ms(self, request: RequestIdentity) -> int:
        """Return when a refused request may be tried again, in Unix milliseconds."""
        return self._suspects[request].until_ms

    def record_crash(self, running: Iterable[RequestIdentity], now_ms: int) -> list[SuspectSeen]:
        """Suspect all requests that ran on a backend server when it crashed.

        Return the messages to all daemons. The number of crashes of a request grows beyond 1 only
        if it ran alone, because only then it is certainly the cause.
        """
        requests = list(dict.fromkeys(running))
        alone = len(requests) == 1
        return [self._count_crash(request, alone, now_ms) for request in requests]

    def record_answered(self, request: RequestIdentity, now_ms: int) -> list[SuspectSeen]:
        """Clear a suspect that was answered while it ran alone.

        Return the messages to all daemons.
        """
        suspect = self._suspects.pop(request, None)
        if suspect is None:
            return []
        return [SuspectSeen(request.service, request.fingerprint, 0, now_ms)]

    def learn(self, seen: SuspectSeen, now_ms: int) -> None:
        """Apply a message of another daemon; clearing a suspect does not lift a refusal."""
        request = RequestIdentity(seen.service, seen.fingerprint)
        known = self._suspects.get(request)
        if seen.kills == 0:
            if known is not None and known.kills < CRASHES_TO_REFUSE:
                del self._suspects[request]
        elif seen.until_ms > now_ms:
            kills = max(seen.kills, known.kills if known else 0)
            until_ms = max(seen.until_ms, known.until_ms if known else 0)
            self._put(request, _Suspect(kills, until_ms))

    def expire(self, now_ms: int) -> None:
        """Remove expired suspects.

        Refused ones are kept for another ``REFUSAL_MS``, so that a further crash doubles their
        period.
        """
        for request, suspect in list(self._suspects.items()):
            kept_ms = REFUSAL_MS if suspect.kills >= CRASHES_TO_REFUSE else 0
            if suspect.until_ms + kept_ms <= now_ms:
                del self._suspects[request]

    def export_suspects(self) -> list[SuspectSeen]:
        """Return the messages that tell a newly joined daemon of all suspects."""
        return [
            SuspectSeen(request.service, request.fingerprint, suspect.kills, suspect.until_ms)
            for request, suspect in self._suspects.items()
        ]

    def _count_crash(self, request: RequestIdentity, alone: bool, now_ms: int) -> SuspectSeen:
        known = self._suspects.get(request)
        kills = known.kills if known else 0
        kills = kills + 1 if alone else max(1, kills)
        suspect = _Suspect(kills, now_ms + _compute_duration_ms(kills))
        self._put(request, suspect)
        return SuspectSeen(request.service, request.fingerprint, kills, suspect.until_ms)

    def _put(self, request: RequestIdentity, suspect: _Suspect) -> None:
        """Store a suspect; if there are too many, remove the one that expires first."""
        self._suspects[request] = suspect
        if len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[min(self._suspects, key=lambda r: self._suspects[r].until_ms)]


def _compute_duration_ms(kills: int) -> int:
    if kills < CRASHES_TO_REFUSE:
        return SUSPICION_MS
    return REFUSAL_MS * 2 ** min(kills - CRASHES_TO_REFUSE, MAX_DOUBLINGS)
