"""Requests that may crash the backend servers that run them.

All requests that a backend server ran when it crashed are suspects. A suspect that is answered once
is cleared at all daemons, since a request that crashes backend servers is never answered. A suspect
in ``CRASHES_TO_REFUSE`` crashes without an answer in between is refused.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Iterable

import attrs

from persimmondock._domain.assignment import BackendIncarnation

CRASHES_TO_REFUSE = 2  # below the three crashes that one request may cause at most
SUSPECT_TTL_S = 120.0  # callers send such requests again within minutes
MAX_SUSPECTS = 1_024
CRASH_WINDOW_S = 6.0  # only a restart proves a crash, and it is announced seconds later


def compute_fingerprint(caller_service: str, method: str, target: str, body: bytes) -> int:
    """Return a hash that is the same for all attempts of a request."""
    digest = hashlib.blake2b(digest_size=8)
    for part in (caller_service, method, target):
        digest.update(part.encode() + b"\0")
    digest.update(body)
    return int.from_bytes(digest.digest(), "big")


@attrs.frozen
class _Suspect:
    crashes: int
    expires_at: float


@attrs.define
class CrashSuspects:
    """Suspects known to one daemon."""

    _suspects: dict[int, _Suspect] = attrs.field(factory=dict)

    def __bool__(self) -> bool:
        return bool(self._suspects)

    def record_crash(self, fingerprints: Iterable[int], now: float) -> dict[int, int]:
        """Suspect the requests that ran; return the crashes of each, to send to other daemons."""
        return {fingerprint: self._add_crash(fingerprint, now) for fingerprint in set(fingerprints)}

    def record_answered(self, fingerprint: int) -> bool:
        """Clear a request that was answered; return whether it was a suspect."""
        return self._suspects.pop(fingerprint, None) is not None

    def merge(self, crashes: dict[int, int], now: float) -> None:
        """Merge the numbers of crashes that another daemon reports; 0 clears a suspect."""
        for fingerprint, count in crashes.items():
            if count == 0:
                self._suspects.pop(fingerprint, None)
                continue
            previous = self._suspects.get(fingerprint)
            self._store(fingerprint, max(count, previous.crashes if previous else 0), now)

    def is_refused(self, fingerprint: int, now: float) -> bool:
        """Return whether a request must not be sent to a backend server."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        if now >= suspect.expires_at:
            del self._suspects[fingerprint]
            return False
        return suspect.crashes >= CRASHES_TO_REFUSE

    def _add_crash(self, fingerprint: int, now: float) -> int:
        previous = self._suspects.get(fingerprint)
        crashes = 1 + (
            previous.crashes if previous is not None and now < previous.expires_at else 0
        )
        self._store(fingerprint, crashes, now)
        return crashes

    def _store(self, fingerprint: int, crashes: int, now: float) -> None:
        self._suspects[fingerprint] = _Suspect(crashes, now + SUSPECT_TTL_S)
        if len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[min(self._suspects, key=lambda key: self._suspects[key].expires_at)]


@attrs.define
class LostRequests:
    """Requests of one incarnation whose connection ended without a response.

    Parameters
    ----------
    fingerprints
        Instant of the loss and fingerprint of each request.
    """

    incarnation: BackendIncarnation | None = None
    fingerprints: deque[tuple[float, int]] = attrs.field(factory=deque)

    def add(self, incarnation: BackendIncarnation, fingerprint: int, now: float) -> None:
        """Add a request of an incarnation; forget those of former ones and those lost long ago."""
        if self.incarnation != incarnation:
            self.incarnation = incarnation
            self.fingerprints.clear()
        self.fingerprints.append((now, fingerprint))
        while now - self.fingerprints[0][0] >= CRASH_WINDOW_S:
            self.fingerprints.popleft()

    def take_recent(self, now: float) -> list[int]:
        """Remove all requests and return the fingerprints of those lost shortly before."""
        lost, self.fingerprints = self.fingerprints, deque()
        return [fingerprint for at, fingerprint in lost if now - at < CRASH_WINDOW_S]
