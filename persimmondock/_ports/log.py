"""Interface to the platform's append-only log, as the daemons use it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeAlias

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence


@attrs.frozen
class Entry:
    """One record of the log with its offset."""

    offset: int
    payload: bytes


@attrs.frozen
class Appended:
    """The records were appended; the first one at ``offset``."""

    offset: int


@attrs.frozen
class AppendRefused:
    """The records were not appended and will not be."""

    detail: str


@attrs.frozen
class AppendUnknown:
    """It is unknown whether the records were appended."""

    detail: str


AppendOutcome: TypeAlias = Appended | AppendRefused | AppendUnknown


@attrs.frozen
class Batch:
    """Consecutive records.

    Parameters
    ----------
    following
        Offset of the next record to read.
    earliest
        Offset of the oldest record that the log retains.
    end
        Offset after the newest record of the log.
    """

    entries: tuple[Entry, ...]
    following: int
    earliest: int
    end: int


@attrs.frozen
class Expired:
    """The requested records are no longer retained.

    Parameters
    ----------
    earliest
        Offset of the oldest record that the log retains.
    """

    earliest: int


@attrs.frozen
class ReadFailed:
    """The log did not respond, or refused the call."""

    detail: str


ReadOutcome: TypeAlias = Batch | Expired | ReadFailed


class LogService(Protocol):
    """Client of the log service."""

    async def append(self, payloads: Sequence[bytes]) -> AppendOutcome:
        """Append records atomically and in order."""
        ...

    async def read(self, start: int, limit: int, wait: float) -> ReadOutcome:
        """Read up to ``limit`` records from ``start``; wait up to ``wait`` seconds for one."""
        ...
