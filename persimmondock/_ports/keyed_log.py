"""Interface to the store: the compacted partitions of the platform's log.

A compacted partition keeps the newest record of each key. Ends and offsets are positions, which
order records also after the log has come back from an older copy; see
`persimmondock._domain.log_position`.
"""

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
        Offset before which the reader now knows the newest record of each key.
    whole
        Whether ``end`` is the end of the partition.
    """

    entries: tuple[KeyedEntry, ...]
    end: int
    whole: bool = True


@attrs.frozen
class RecordsCompacted:
    """The requested records are no longer retained, but the newest of each key are."""


@attrs.frozen
class LogRestored:
    """The log has come back from an older copy; the position that was named is of a former era."""

    era: int


@attrs.frozen
class StoreFailed:
    """The store did not respond, or refused the call."""

    detail: str


@attrs.frozen
class Written:
    """The records were appended; the first one at ``offset``."""

    offset: int


@attrs.frozen
class Conflict:
    """The partition does not end at the expected offset; nothing was written."""


ReadOutcome: TypeAlias = Records | RecordsCompacted | LogRestored | StoreFailed
WriteOutcome: TypeAlias = Written | Conflict | StoreFailed


class KeyedLog(Protocol):
    """Client of the store.

    It passes on no answer of an earlier era than one that it has had.
    """

    async def read_newest(self, partition: Partition) -> Records | StoreFailed:
        """Read the newest record of each key."""
        ...

    async def read_from(self, partition: Partition, offset: int, wait_s: float) -> ReadOutcome:
        """Read records from an offset; wait up to ``wait_s`` seconds for one."""
        ...

    async def write(
        self, partition: Partition, entries: Sequence[tuple[str, bytes]], expected_end: int | None
    ) -> WriteOutcome:
        """Append records; with ``expected_end`` only if the partition ends there.

        After ``StoreFailed`` the records may have been written, or may still be written later. The
        condition holds within one era only: if the log comes back from an older copy while records
        are on their way, they may be written to a partition that ends at the same offset.
        """
        ...
