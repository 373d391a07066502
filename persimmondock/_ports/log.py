"""The platform's append-only log, as the daemons use it."""

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
    """The records stand in the log; the first one at ``offset``."""

    offset: int


@attrs.frozen
class AppendRefused:
    """The records do not stand in the log and will not."""

    detail: str


@attrs.frozen
class AppendUnknown:
    """Whether the records stand in the log is not known."""

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
        Offset of the oldest record that the log still has.
    end
        Offset after the newest record of the log.
    """

    entries: tuple[Entry, ...]
    following: int
    earliest: int
    end: int


@attrs.frozen
class Expired:
    """The wanted records are no longer kept."""

    earliest: int


@attrs.frozen
class ReadFailed:
    """The log did not answer."""

    detail: str


ReadOutcome: TypeAlias = Batch | Expired | ReadFailed


class LogService(Protocol):
    """Client of the log service."""

    async def append(self, payloads: Sequence[bytes]) -> AppendOutcome:
        """Append records as one unit, in order."""
        ...

    async def read(self, start: int, limit: int, wait: float) -> ReadOutcome:
        """Read up to ``limit`` records from ``start``; wait ``wait`` seconds for the first."""
        ...
