"""Key ranges that a backend server holds, as gates grant them and as heartbeats report them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from persimmondock._domain.assignment import KeyRange

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.define
class HeldRange:
    """A key range that the backend server holds.

    Parameters
    ----------
    guaranteed_until
        Instant until which the backend server is certain to hold the keys.
    possible_until
        Instant after which it cannot hold them unless another grant is sent.
    """

    key_range: KeyRange
    guaranteed_until: float
    possible_until: float


@attrs.frozen
class ReleasedRange:
    """Keys that the backend server has released, with the handover for the next owner."""

    first: int
    last: int
    handover: str

    def covers(self, first: int, last: int) -> bool:
        """Return whether all keys of a range were released."""
        return self.first <= first and last <= self.last


@attrs.frozen
class ReportedRow:
    """Keys that a backend server holds or still works on, from its heartbeat."""

    first: int
    last: int
    fence: int

    def overlaps(self, first: int, last: int) -> bool:
        """Return whether a range has keys of this row."""
        return self.first <= last and first <= self.last


@attrs.frozen
class ReportedHoldings:
    """What one heartbeat says about the keys of its backend server.

    Parameters
    ----------
    rows
        All keys that it holds or still works on.
    freed
        Keys that it has released since its last acknowledged heartbeat.
    """

    rows: tuple[ReportedRow, ...] = ()
    freed: tuple[ReleasedRange, ...] = ()

    def overlaps(self, first: int, last: int) -> bool:
        """Return whether any key of a range is held or still worked on."""
        return any(row.overlaps(first, last) for row in self.rows)

    def holds(self, key_range: KeyRange) -> bool:
        """Return whether all keys of a range are held under its fencing token."""
        position = key_range.first
        for row in sorted(self.rows, key=lambda row: row.first):
            if row.fence == key_range.fence and row.first <= position <= row.last:
                position = row.last + 1
        return position > key_range.last


@attrs.frozen
class GrantedRow:
    """Keys that the reply to a heartbeat grants, with the former owner's handover or none."""

    first: int
    last: int
    fence: int
    handover: str = ""


@attrs.frozen
class GrantedHoldings:
    """Everything that a backend server is to hold; it releases all other keys.

    Parameters
    ----------
    hold_s
        Duration in seconds, counted from when the heartbeat was sent.
    """

    rows: tuple[GrantedRow, ...]
    hold_s: float


def merge_rows(rows: Iterable[GrantedRow]) -> tuple[GrantedRow, ...]:
    """Return rows in ascending order, with adjacent ones of one grant merged."""
    result: list[GrantedRow] = []
    for row in sorted(rows, key=lambda row: row.first):
        if (
            result
            and result[-1].last + 1 == row.first
            and result[-1].fence == row.fence
            and result[-1].handover == row.handover
        ):
            result[-1] = attrs.evolve(result[-1], last=row.last)
        else:
            result.append(row)
    return tuple(result)
