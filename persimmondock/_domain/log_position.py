"""Positions of records in a log that may come back from an older copy of itself.

Such a log gives out the offsets of the records that it lost again. Its era rises each time, so an
offset orders records only among those that were read in one era. A position is a whole number that
consists of both: positions of a later era are greater than all of an earlier one, and those of one
era are consecutive. While the era is 0, positions equal offsets.
"""

from __future__ import annotations

OFFSET_BITS = 32
MAX_OFFSET = (1 << OFFSET_BITS) - 1
MAX_ERA = 2**31 - 1  # positions are sent as signed numbers of 64 bits


def make_position(era: int, offset: int) -> int:
    """Return the position of an offset in an era.

    Raises
    ------
    ValueError
        If the era or the offset is out of range.
    """
    if not 0 <= era <= MAX_ERA:
        raise ValueError(f"era must be from 0 to {MAX_ERA}, not {era}")
    if not 0 <= offset <= MAX_OFFSET:
        raise ValueError(f"offset must be from 0 to {MAX_OFFSET}, not {offset}")
    return era << OFFSET_BITS | offset


def find_era(position: int) -> int:
    """Return the era of a position."""
    return position >> OFFSET_BITS


def find_offset(position: int) -> int:
    """Return the offset of a position in its era."""
    return position & MAX_OFFSET
