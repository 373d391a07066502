"""Moves busy keys from backend servers that are too full to others.

Only what is busy moves: a few neighbouring keys can carry most of a range's requests, and each key
that changes hands costs a moment without service.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from persimmondock._domain.assignment import KeyRange
from persimmondock._domain.key_loads import KEYS_PER_GROUP, sum_rates

if TYPE_CHECKING:
    from collections.abc import Mapping

    from persimmondock._domain.assignment import BackendIncarnation

BUSY_UTILIZATION = (
    0.6  # utilization below which hardly anybody waits, so that nothing needs to move
)
MIN_GAP = 0.2  # difference of utilization that pays for a move, above the noise of both figures
HOT_SHARE = 0.03  # of an owner's room: a group with more moves by itself, others with their range
HOT_FILL = 0.85  # utilization by one group above which its requests have to be refused
HOT_GAIN = 0.55  # a full backend server answers 1.5 times slower than an idle one promises
MAX_PIECES = 12  # ranges that move at a time; each asks its former owner
MAX_RANGES = 640  # each is a grant to be renewed every second


@attrs.frozen
class OwnerCapacity:
    """What one owner can serve.

    Parameters
    ----------
    per_s
        Requests a second that its backend server can answer.
    """

    per_s: float


@attrs.frozen
class _Piece:
    first: int
    last: int
    rate: float


def balance_ranges(
    ranges: tuple[KeyRange, ...],
    rooms: Mapping[BackendIncarnation, OwnerCapacity],
    rates: Mapping[int, float],
) -> tuple[KeyRange, ...] | None:
    """Return ranges with busy keys moved, or None if nothing has to move.

    Parameters
    ----------
    rates
        Requests a second of each group of keys.
    """
    if len(rooms) < 2:
        return None
    loads = dict.fromkeys(rooms, 0.0)
    for item in ranges:
        if item.owner in loads:
            loads[item.owner] += sum_rates(rates, item.first, item.last)
    result = _place_hot(ranges, rooms, loads, rates)
    for _ in range(len(rooms)):
        step = _move_once(result, rooms, loads, rates)
        if step is None:
            break
        result = step
    return result if result is not ranges else None


def _place_hot(
    ranges: tuple[KeyRange, ...],
    rooms: Mapping[BackendIncarnation, OwnerCapacity],
    loads: dict[BackendIncarnation, float],
    rates: Mapping[int, float],
) -> tuple[KeyRange, ...]:
    """Give a group that fills an owner by itself to the one that serves most of it.

    Nothing else can relieve such an owner, since a key has only one.
    """
    result = ranges
    for group, rate in sorted(rates.items(), key=lambda entry: -entry[1])[:MAX_PIECES]:
        first = group * KEYS_PER_GROUP
        item = _find(result, first)
        if item is None or item.owner not in rooms or rate < HOT_FILL * rooms[item.owner].per_s:
            continue
        owner = item.owner

        def fill_with(incarnation: BackendIncarnation, extra: float) -> float:
            return (loads[incarnation] + extra) / max(rooms[incarnation].per_s, 1e-6)

        best = min(
            (incarnation for incarnation in sorted(rooms) if incarnation != owner),
            key=lambda x: fill_with(x, rate),
        )
        if fill_with(best, rate) >= HOT_GAIN * fill_with(owner, 0.0):
            continue
        piece = _Piece(first, min(item.last, first + KEYS_PER_GROUP - 1), rate)
        loads[owner] -= rate
        loads[best] += rate
        result = _cut(result, [piece], best)
    return result


def _move_once(
    ranges: tuple[KeyRange, ...],
    rooms: Mapping[BackendIncarnation, OwnerCapacity],
    loads: dict[BackendIncarnation, float],
    rates: Mapping[int, float],
) -> tuple[KeyRange, ...] | None:
    """Move keys from the fullest owner to the emptiest."""

    def fill(incarnation: BackendIncarnation) -> float:
        return loads[incarnation] / max(rooms[incarnation].per_s, 1e-6)

    full = max(sorted(rooms), key=fill)
    empty = min(sorted(rooms), key=fill)
    unused = not any(item.owner == empty for item in ranges)
    if full == empty or (
        not unused and (fill(full) < BUSY_UTILIZATION or fill(full) - fill(empty) < MIN_GAP)
    ):
        return None
    room_full, room_empty = rooms[full].per_s, rooms[empty].per_s
    wanted = (loads[full] * room_empty - loads[empty] * room_full) / (room_full + room_empty)
    pieces = _choose_pieces(ranges, full, wanted, rates, HOT_SHARE * room_full)
    if not pieces and unused:
        item = next(item for item in ranges if item.owner == full)
        pieces = [_Piece(item.first, item.last, 0.0)]
    if not pieces or len(ranges) + 2 * len(pieces) > MAX_RANGES:
        return None
    moved = sum(piece.rate for piece in pieces)
    loads[full] -= moved
    loads[empty] += moved
    return _cut(ranges, pieces, empty)


def _choose_pieces(
    ranges: tuple[KeyRange, ...],
    owner: BackendIncarnation,
    wanted: float,
    rates: Mapping[int, float],
    hot_per_s: float,
) -> list[_Piece]:
    """Return hot groups and whole ranges of an owner that together have the wanted rate."""
    offered = [
        _Piece(item.first, item.last, sum_rates(rates, item.first, item.last))
        for item in ranges
        if item.owner == owner
    ]
    for group, rate in rates.items():
        first = group * KEYS_PER_GROUP
        item = _find(ranges, first)
        if rate >= hot_per_s and item is not None and item.owner == owner:
            offered.append(_Piece(first, min(item.last, first + KEYS_PER_GROUP - 1), rate))
    chosen: list[_Piece] = []
    taken = 0.0
    for piece in sorted(offered, key=lambda piece: (-piece.rate, piece.last - piece.first)):
        apart = all(p.last < piece.first or piece.last < p.first for p in chosen)
        if piece.rate > 0 and apart and taken + piece.rate <= wanted * 1.1:
            chosen.append(piece)
            taken += piece.rate
        if len(chosen) >= MAX_PIECES or taken >= 0.9 * wanted:
            break
    return sorted(chosen, key=lambda piece: piece.first)


def _find(ranges: tuple[KeyRange, ...], key: int) -> KeyRange | None:
    low, high = 0, len(ranges)
    while low < high:
        middle = (low + high) // 2
        if ranges[middle].last < key:
            low = middle + 1
        else:
            high = middle
    return ranges[low] if low < len(ranges) else None


def _cut(
    ranges: tuple[KeyRange, ...], pieces: list[_Piece], owner: BackendIncarnation
) -> tuple[KeyRange, ...]:
    """Cut pieces out of ranges and give them to another owner."""
    result: list[KeyRange] = []
    for item in ranges:
        inside = [p for p in pieces if item.first <= p.first and p.last <= item.last]
        position = item.first
        for piece in inside:
            if position < piece.first:
                result.append(attrs.evolve(item, first=position, last=piece.first - 1))
            former = tuple(
                incarnation
                for incarnation in (*item.former_owners, item.owner)
                if incarnation != owner
            )
            result.append(KeyRange(piece.first, piece.last, owner, 0, former))
            position = piece.last + 1
        if position <= item.last:
            result.append(attrs.evolve(item, first=position))
    return tuple(result)
