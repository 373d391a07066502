"""Announcements of the backend server beside a daemon."""

from __future__ import annotations

import enum

import attrs


class ReportError(ValueError):
    """An announcement that cannot be used; the message names the field."""


@attrs.frozen
class BackendReport:
    """One announcement.

    Parameters
    ----------
    slots
        Requests that the backend server runs at the same time.
    draining
        Whether it is about to leave and wants no new work.
    cold_s
        Seconds that it will still be cold, by its own word.
    sequence
        Grows with each announcement of one incarnation.
    born_ms
        Unix milliseconds of its start, or 0 if it does not say.
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


class Change(enum.Enum):
    """What an announcement changed."""

    NONE = "none"
    STALE = "stale"
    NEW_INCARNATION = "new_life"
    DRAINING = "draining"
    GONE = "gone"


@attrs.define
class LocalBackend:
    """What is known of the backend server beside this daemon.

    Parameters
    ----------
    report
        The newest announcement, or None while none is running.
    departed
        Incarnations that said that they leave; a late announcement does not bring them back.
    """

    report: BackendReport | None = None
    departed: set[tuple[str, int]] = attrs.field(factory=set)

    def apply_report(self, report: BackendReport) -> Change:
        """Take an announcement."""
        incarnation = (report.instance, report.born_ms)
        current = self.report
        if incarnation in self.departed and not report.draining:
            return Change.STALE
        if current is None:
            self.report = report
            if report.draining:
                self.departed.add(incarnation)
            return Change.NEW_INCARNATION
        if incarnation != (current.instance, current.born_ms):
            if report.born_ms < current.born_ms:
                return Change.STALE
            self.report = report
            return Change.NEW_INCARNATION
        if report.sequence < current.sequence:
            return Change.STALE
        self.report = report
        if report.draining and incarnation not in self.departed:
            self.departed.add(incarnation)
            return Change.DRAINING
        return Change.NONE

    def mark_departed(self, instance: str) -> Change:
        """Note that an instance said goodbye."""
        current = self.report
        if current is None or current.instance != instance:
            return Change.STALE
        self.departed.add((current.instance, current.born_ms))
        return Change.GONE

    @property
    def leaving(self) -> bool:
        """Whether the present backend server wants no new work."""
        current = self.report
        return current is None or (current.instance, current.born_ms) in self.departed
