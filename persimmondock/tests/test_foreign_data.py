"""What decoders of data that others wrote have in common."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Any

import msgpack
import pytest

from persimmondock._domain.assignment import decode_assignment
from persimmondock._domain.departures import decode_departures
from persimmondock._domain.foreign_data import (
    check_address,
    check_number,
    check_text,
    check_whole_number,
    load_json,
    show_value,
)
from persimmondock._domain.records import RecordError, decode_record
from persimmondock._tasks.mesh import decode_member


def nest(depth: int) -> list[Any]:
    """Return a list in a list, so many times."""
    value: list[Any] = []
    for _ in range(depth):
        value = [value]
    return value


def list_ids(items: Sequence[Any]) -> list[str]:
    """Return short names for parameters that are too large to be shown."""
    return [str(number) for number in range(len(items))]


ODD_RECORDS = [
    b"",
    b"\xc1",
    b"\x91" * 200_000 + b"\x01",
    b"\x91" * 900 + b"\x01",
    b"\x81" * 900 + b"\x01",
    msgpack.packb(2**64 - 1),
    msgpack.packb([math.nan] * 4),
    msgpack.packb([[[nest(400)] * 3], [nest(400)], [nest(400)], []]),
    msgpack.packb([[["n", "i", 2**64 - 1]], [], [], []]),
    msgpack.packb([[["n", "i", 1]], [[0, 9, 0, 2**64 - 1, []]], [], []]),
    msgpack.packb([[["n", "i", 1]], [[0, 9, 7, 1, []]], [], []]),
    msgpack.packb([[["n", "i", 1]], [[0, 9, 0, 1, []], [5, 12, 0, 1, []]], [], []]),
    msgpack.packb([[["n", "i", 1]], [[0, 9, 0, 1, []]], [7], []]),
]


@pytest.mark.parametrize("data", ODD_RECORDS, ids=list_ids(ODD_RECORDS))
@pytest.mark.parametrize(
    "decode",
    [
        lambda data: decode_assignment("painel", 3, data),
        lambda data: decode_member("node-9", data),
        decode_departures,
    ],
    ids=["assignment", "member", "departures"],
)
def test_odd_records_raise_nothing_but_a_value_error(
    decode: Callable[[bytes], Any], data: bytes
) -> None:
    """Own ends: an error that nobody expects ends the task that follows the records."""
    with pytest.raises(ValueError) as caught:
        decode(data)
    assert len(str(caught.value)) < 500


@pytest.mark.parametrize("data", ODD_RECORDS, ids=list_ids(ODD_RECORDS))
def test_odd_records_of_the_log_service_raise_nothing_but_a_record_error(data: bytes) -> None:
    with pytest.raises(RecordError):
        decode_record(data)


@pytest.mark.parametrize("opening", ["[", '{"a":'])
def test_json_that_is_nested_too_deeply_is_a_value_error(opening: str) -> None:
    with pytest.raises(ValueError):
        load_json(opening * 200_000)
    with pytest.raises(ValueError):
        load_json(opening * 5_000 + "1" + ("]" if opening == "[" else "}") * 5_000)


@pytest.mark.parametrize("value", [10**40, -1, 86_401, math.nan, math.inf, True, None, "1", []])
def test_what_is_no_number_within_bounds_is_refused(value: Any) -> None:
    with pytest.raises(ValueError, match="not a number from 0 to 86400"):
        check_number(value, 0, 86_400)


@pytest.mark.parametrize("value", [2**63, -1, 1.0, True, None, "1"])
def test_what_is_no_whole_number_within_bounds_is_refused(value: Any) -> None:
    with pytest.raises(ValueError, match="not a whole number from 0"):
        check_whole_number(value)


@pytest.mark.parametrize("value", ["", "x" * 1_025, 7, None], ids=["empty", "long", "7", "none"])
def test_what_is_no_short_text_is_refused(value: Any) -> None:
    with pytest.raises(ValueError, match="not a text of 1 to 1024 characters"):
        check_text(value)


@pytest.mark.parametrize(
    "value", ["10.0.0.1", "10.0.0.1:", ":80", "h:0", "h:99999", "h:x", "h:-1", "h:²", "h:080000"]
)
def test_what_is_no_address_is_refused(value: str) -> None:
    with pytest.raises(ValueError, match="not an address with a port from 1 to 65535"):
        check_address(value)


def test_values_within_bounds_are_returned() -> None:
    assert check_number(5, 0, 10) == 5.0
    assert check_whole_number(2**63 - 1) == 2**63 - 1
    assert check_text("x") == "x"
    assert check_address("10.0.0.1:65535") == "10.0.0.1:65535"


def test_values_are_shown_briefly() -> None:
    for value in (nest(900), 10**5_000, "x" * 10_000, {"a": nest(900)}):
        assert len(show_value(value)) < 300
