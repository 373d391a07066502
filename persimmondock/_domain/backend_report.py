"""Announcements by the backend server beside a daemon."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING, TypeVar

import attrs

from persimmondock._domain.departures import Departure, select_latest
from persimmondock._domain.holdings import ReportedHoldings

if TYPE_CHECKING:
    from collections.abc import Iterable

# A backend server announces itself every 0.9 s or so; announcements of one that has ended come late
# by seconds, but not for as long as this while the present one is silent.
SILENT_AFTER_S = 5.0
MIN_ANNOUNCEMENTS = 4  # this daemon may have stood still for most of that time
# It sends the next one when the last is answered, or has not been for this long.
ACK_TIMEOUT_S = 1.0
# Late announcements come within seconds, in which few processes end at one address. Notices of
# another writer may name any number of them.
MAX_FORMER = 256

KeyT = TypeVar("KeyT")
ValueT = TypeVar("ValueT")


class AnnouncementError(ValueError):
    """Raised for an invalid announcement; the message names the field."""


@attrs.frozen
class BackendAnnouncement:
    """State of a backend server as it announces it.

    Parameters
    ----------
    slots
        Requests that the backend server can run concurrently.
    draining
        Whether it is about to stop and accepts no new requests.
    cold_s
        Remaining duration of its cold phase in seconds, as announced.
    sequence
        Number that increases with each announcement of an incarnation.
    born_ms
        Start of the process in Unix milliseconds, or 0 if it is not announced.
    holdings
        Keys that it holds and has released; empty if its keys are granted by calls.
    """

    instance: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    cold_s: float
    sequence: int
    born_ms: int
    holdings: ReportedHoldings = attrs.field(factory=ReportedHoldings)


class Change(enum.Enum):
    """Effect of an announcement."""

    NONE = "none"
    STALE = "stale"
    NEW_INCARNATION = "new_life"  # as logged
    DRAINING = "draining"
    GONE = "gone"


@attrs.define
class _Candidate:
    """An incarnation that started before the known one by its clock, but may be its successor.

    Parameters
    ----------
    heard_at
        Instant of its first announcement.
    sequence
        Number of its newest announcement.
    count
        Number of its announcements.
    """

    incarnation: tuple[str, int]
    heard_at: float
    sequence: int = -1
    count: int = 0


@attrs.define
class LocalBackend:
    """State of the backend server beside this daemon.

    Parameters
    ----------
    announcement
        The newest announcement, or None before the first one.
    departed
        Instance and start of each incarnation that has announced its stop or withdrawn its
        announcement. Announcements of these without ``draining`` that arrive later are ignored.
    unknown_departed
        Instant in Unix milliseconds at which an instance that is not known withdrew its
        announcement. Late announcements of it are ignored if it was started before.
    superseded
        Instance and start of each incarnation that was followed by one with an earlier start. They
        are used again only if they outlast their successor's announcements in turn.
    heard_at
        Instant of the newest announcement.
    alive_at
        Latest instant at which the current incarnation is known to have run. Its announcements
        come late, so that it is mostly that of the one before the newest.
    """

    announcement: BackendAnnouncement | None = None
    departed: dict[tuple[str, int], None] = attrs.field(factory=dict)
    unknown_departed: dict[str, int] = attrs.field(factory=dict)
    superseded: dict[tuple[str, int], None] = attrs.field(factory=dict)
    heard_at: float = -math.inf
    alive_at: float = -math.inf
    _sent_after: float = -math.inf
    _candidate: _Candidate | None = None

    def apply_announcement(self, announcement: BackendAnnouncement, now: float) -> Change:
        """Apply an announcement that arrives at an instant, and return its effect."""
        incarnation = (announcement.instance, announcement.born_ms)
        current = self.announcement
        if incarnation in self.departed and not announcement.draining:
            return Change.STALE
        if announcement.born_ms <= self.unknown_departed.get(announcement.instance, -1):
            return Change.STALE
        if current is None or incarnation != (current.instance, current.born_ms):
            if current is not None:
                is_earlier = announcement.born_ms < current.born_ms
                if (is_earlier or incarnation in self.superseded) and not self._outlasts_known(
                    announcement, now
                ):
                    return Change.STALE
                if is_earlier:
                    _add_newest(self.superseded, (current.instance, current.born_ms), None)
            self.alive_at = self._sent_after = now - SILENT_AFTER_S
            self.announcement, self.heard_at = announcement, now
            if announcement.draining:
                self._add_departed(incarnation)
            return Change.NEW_INCARNATION
        if announcement.sequence < current.sequence and not self._outlasts_known(announcement, now):
            return Change.STALE
        self._record_sending(announcement.sequence > current.sequence, now)
        self.announcement, self.heard_at = announcement, now
        if announcement.draining and incarnation not in self.departed:
            self._add_departed(incarnation)
            return Change.DRAINING
        return Change.NONE

    def _record_sending(self, is_next: bool, now: float) -> None:
        """Record how early an announcement of the current incarnation may have been sent.

        Parameters
        ----------
        is_next
            Whether it was sent after the newest one, so after its answer or for want of one.
        """
        if is_next:
            self._sent_after = min(self.heard_at, self._sent_after + ACK_TIMEOUT_S)
        self._sent_after = max(self._sent_after, now - SILENT_AFTER_S)
        self.record_alive(self._sent_after)

    def record_alive(self, instant: float) -> None:
        """Record an instant at which the current incarnation is known to have run."""
        self.alive_at = max(self.alive_at, instant)

    def _outlasts_known(self, announcement: BackendAnnouncement, now: float) -> bool:
        """Return whether an incarnation goes on announcing itself while the known one is silent.

        The clock by which it started may have been set back since the start of the known one, or
        another writer may have used its name with a later start or a higher sequence number.
        """
        incarnation = (announcement.instance, announcement.born_ms)
        candidate = self._candidate
        if (
            candidate is None
            or candidate.incarnation != incarnation
            or candidate.heard_at <= self.heard_at
        ):
            candidate = self._candidate = _Candidate(incarnation, now)
        if announcement.sequence > candidate.sequence:
            candidate.sequence = announcement.sequence
            candidate.count += 1
        return candidate.count >= MIN_ANNOUNCEMENTS and now - candidate.heard_at >= SILENT_AFTER_S

    def mark_departed(self, instance: str, now_ms: int, born_ms: int | None = None) -> Change:
        """Record that an instance withdrew its announcement.

        Parameters
        ----------
        now_ms
            Current time in Unix milliseconds.
        born_ms
            Start of its process in Unix milliseconds, or None if the notice does not say.
        """
        current = self.announcement
        if born_ms is not None:
            self._add_departed((instance, born_ms))
            is_current = current is not None and (current.instance, current.born_ms) == (
                instance,
                born_ms,
            )
            return Change.GONE if is_current else Change.STALE
        if current is None or current.instance != instance:
            _add_newest(self.unknown_departed, instance, now_ms)
            return Change.STALE
        self._add_departed((current.instance, current.born_ms))
        return Change.GONE

    def _add_departed(self, incarnation: tuple[str, int]) -> None:
        """Record a departure; that of the current incarnation stays the newest one."""
        was_leaving, current = self.leaving, self.announcement
        _add_newest(self.departed, incarnation, None)
        if was_leaving and current is not None:
            _add_newest(self.departed, (current.instance, current.born_ms), None)

    def list_departures(self) -> tuple[Departure, ...]:
        """Return the latest departures, for the next process of this daemon.

        One that announces no start cannot be told from its successor, and is left out.
        """
        known = [Departure(born_ms, instance) for instance, born_ms in self.departed if born_ms]
        unknown = [
            Departure(until_ms, instance, and_earlier=True)
            for instance, until_ms in self.unknown_departed.items()
        ]
        return select_latest([*known, *unknown])

    def add_departures(self, departures: Iterable[Departure]) -> Change:
        """Apply the departures that a former process of this daemon recorded."""
        was_leaving, current = self.leaving, self.announcement
        for item in departures:
            if not item.and_earlier:
                self._add_departed((item.instance, item.born_ms))
                continue
            known_ms = self.unknown_departed.get(item.instance, item.born_ms)
            _add_newest(self.unknown_departed, item.instance, max(known_ms, item.born_ms))
            if (
                current is not None
                and current.instance == item.instance
                and current.born_ms <= item.born_ms
            ):
                self._add_departed((current.instance, current.born_ms))
        return Change.DRAINING if self.leaving and not was_leaving else Change.NONE

    def mark_draining(self) -> Change:
        """Record that the current instance says in its answers that it leaves."""
        if self.leaving or self.announcement is None:
            return Change.NONE
        self._add_departed((self.announcement.instance, self.announcement.born_ms))
        return Change.DRAINING

    @property
    def leaving(self) -> bool:
        """Whether the current backend server is absent or accepts no new requests."""
        current = self.announcement
        return current is None or (current.instance, current.born_ms) in self.departed


def _add_newest(former: dict[KeyT, ValueT], key: KeyT, value: ValueT) -> None:
    """Add an entry as the newest one, and drop the oldest ones above the limit."""
    former.pop(key, None)
    former[key] = value
    while len(former) > MAX_FORMER:
        del former[next(iter(former))]
