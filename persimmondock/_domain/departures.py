"""Departures of backend servers, as recorded for the next process of a daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgpack

from persimmondock._domain.foreign_data import (
    UNREADABLE,
    check_text,
    check_whole_number,
    show_value,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_DEPARTURES = 32  # notices of another writer may name instances that were never here


@attrs.frozen(order=True)
class Departure:
    """An incarnation that has left.

    Parameters
    ----------
    born_ms
        Start of its process in Unix milliseconds.
    instance
        Name that it announced.
    and_earlier
        Whether all incarnations of that name that started before have left as well.
    """

    born_ms: int
    instance: str
    and_earlier: bool = False


def select_latest(departures: Iterable[Departure]) -> tuple[Departure, ...]:
    """Return the departures of the latest starts, each once, by their start."""
    return tuple(sorted(set(departures))[-MAX_DEPARTURES:])


def encode_departures(departures: Iterable[Departure]) -> bytes:
    """Return the record of departures; equal ones have equal records."""
    data: bytes = msgpack.packb([[*attrs.astuple(item)] for item in select_latest(departures)])
    return data


def decode_departures(data: bytes) -> tuple[Departure, ...]:
    """Parse the record of departures.

    Raises
    ------
    ValueError
        If the data is no such record; the message names the row.
    """
    place = "record"
    try:
        departures = []
        for number, row in enumerate(msgpack.unpackb(data)):
            place = f"row {number}"
            born_ms, instance, and_earlier = row
            departures.append(
                Departure(check_whole_number(born_ms), check_text(instance), bool(and_earlier))
            )
    except UNREADABLE as error:
        raise ValueError(f"departures, {place}: {show_value(error)}") from error
    return tuple(departures)
