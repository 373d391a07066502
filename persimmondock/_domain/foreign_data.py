"""What decoders of data that others wrote have in common.

Such data may be anything: no JSON, nested too deeply, with numbers that are too large or of other
types than expected. A decoder raises ValueError for all of it, with the place and the value in its
message, and passes on only what the rest of the program can use: finite numbers, and whole ones
that fit into messages between daemons.
"""

from __future__ import annotations

import json
import reprlib
from typing import Any

import msgpack

MAX_WHOLE_NUMBER = 2**63 - 1

# What reading data of an unexpected shape raises.
UNREADABLE = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    OverflowError,
    RecursionError,
    msgpack.UnpackException,
)

_short = reprlib.Repr()
_short.maxstring = _short.maxlong = 60
_short.maxother = 240


def show_value(value: Any) -> str:
    """Return a short text for a value, however large or deep it is."""
    try:
        return _short.repr(value)
    except (ValueError, RecursionError):
        return f"a value of type {type(value).__name__}"


def load_json(data: bytes | str) -> Any:
    """Parse JSON.

    Raises
    ------
    ValueError
        If the data cannot be read.
    """
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


def check_number(value: Any, minimum: float, maximum: float) -> float:
    """Return a number within bounds as a float.

    Raises
    ------
    ValueError
        If it is none; the message shows it.
    """
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    # Compared before the conversion, which fails for large whole numbers; NaN compares as false.
    if not is_number or not minimum <= value <= maximum:
        raise ValueError(f"not a number from {minimum:g} to {maximum:g}: {show_value(value)}")
    return float(value)


def check_whole_number(value: Any, minimum: int = 0, maximum: int = MAX_WHOLE_NUMBER) -> int:
    """Return a whole number within bounds.

    Raises
    ------
    ValueError
        If it is none; the message shows it.
    """
    if type(value) is not int or not minimum <= value <= maximum:
        raise ValueError(f"not a whole number from {minimum} to {maximum}: {show_value(value)}")
    return value


def check_text(value: Any, maximum: int = 1_024) -> str:
    """Return a text that is not empty and not too long.

    Raises
    ------
    ValueError
        If it is none; the message shows it.
    """
    if not isinstance(value, str) or not 0 < len(value) <= maximum:
        raise ValueError(f"not a text of 1 to {maximum} characters: {show_value(value)}")
    return value


def check_address(value: Any) -> str:
    """Return the address of a host and a port.

    Raises
    ------
    ValueError
        If it is none; the message shows it.
    """
    host, _, port = check_text(value).rpartition(":")
    is_port = port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) <= 65_535
    if not host or not is_port:
        raise ValueError(f"not an address with a port from 1 to 65535: {show_value(value)}")
    return str(value)
