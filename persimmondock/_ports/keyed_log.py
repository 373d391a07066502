"""The platform's log, as far as partitions are used that keep the newest record of each key."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeAlias

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from persimmondock._domain.replica import KeyedEntry


@attrs.frozen
class Partition:
    """One partition of a topic."""

    topic: str
    number: int = 0


@attrs.frozen
class Records:
    """Records of a partition.

    Parameters
    ----------
    end
        Offset before which all newest records are known to the reader now.
    whole
        Whether ``end`` is the end of the partition.
    """

    entries: tuple[KeyedEntry, ...]
    end: int
    whole: bool = True


@attrs.frozen
class RecordsCompacted:
    """The wanted records are no longer kept; the newest of each key are."""


@attrs.frozen
class StoreFailed:
    """The store did not answer, or refused."""

    detail: str


@attrs.frozen
class Written:
    """The records stand in the log from ``offset`` on."""

    offset: int


@attrs.frozen
class Conflict:
    """The partition does not end at the expected offset; nothing was written."""


ReadOutcome: TypeAlias = Records | RecordsCompacted | StoreFailed
WriteOutcome: TypeAlias = Written | Conflict | StoreFailed


class KeyedLog(Protocol):
    """Client of the store."""

    async def read_newest(self, partition: Partition) -> Records | StoreFailed:
        """Read the newest record of each key."""
        ...

    async def read_from(self, partition: Partition, offset: int, wait_s: float) -> ReadOutcome:
        """Read records from an offset, waiting for the first one."""
        ...

    async def write(
        self, partition: Partition, entries: Sequence[tuple[str, bytes]], expected_end: int | None
    ) -> WriteOutcome:
        """Append records; with ``expected_end`` only if the partition ends there.

        After ``StoreFailed`` the records may be written, also later.
        """
        ...
