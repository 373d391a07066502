"""Order of positions in a log that may come back from an older copy."""

from __future__ import annotations

import pytest

from persimmondock._domain.log_position import (
    MAX_ERA,
    MAX_OFFSET,
    find_era,
    find_offset,
    make_position,
)


def test_positions_of_a_later_era_are_greater() -> None:
    assert make_position(2, 0) > make_position(1, MAX_OFFSET)
    assert make_position(1, 6) == make_position(1, 5) + 1


def test_positions_equal_offsets_before_anything_was_lost() -> None:
    assert make_position(0, 7) == 7


@pytest.mark.parametrize(("era", "offset"), [(0, 0), (3, 7), (MAX_ERA, MAX_OFFSET)])
def test_a_position_tells_its_era_and_offset(era: int, offset: int) -> None:
    position = make_position(era, offset)
    assert (find_era(position), find_offset(position)) == (era, offset)
    assert position < 2**63


@pytest.mark.parametrize(
    ("era", "offset", "message"),
    [
        (-1, 0, "era must be from 0 to 2147483647, not -1"),
        (MAX_ERA + 1, 0, "era must be from 0"),
        (0, -1, "offset must be from 0 to 4294967295, not -1"),
        (0, MAX_OFFSET + 1, "offset must be from 0"),
    ],
)
def test_what_fits_no_position_is_named(era: int, offset: int, message: str) -> None:
    with pytest.raises(ValueError, match=message):
        make_position(era, offset)
