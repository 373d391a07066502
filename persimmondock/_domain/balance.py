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
MIN_UTILIZATION_GAP = (
    0.2  # difference of utilization that pays for a move, above the noise of both figures
)
HOT_GROUP_SHARE = (
    0.03  # of an owner's room: a group with more moves by itself, others with their range
)
HOT_GROUP_MIN_UTILIZATION = (
    0.85  # utilization by one group above which its requests have to be refused
)
HOT_GROUP_MAX_RATIO = (
    0.55  # a full backend server answers 1.5 times slower than an idle one promises
)
MAX_MOVED_SUBRANGES = 12  # ranges that move at a time; each asks its former owner
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
class _Subrange:
    first: int
    last: int
    rate: float


def balance_ranges(
    ranges: tuple[KeyRange, ...],
    capacities: Mapping[BackendIncarnation, OwnerCapacity],
    rates: Mapping[int, float],
) -> tuple[KeyRange, ...] | None:
    """Return ranges with busy keys moved, or None if nothing has to move.

    Parameters
    ----------
    rates
        Requests a second of each group of keys.
    """
    if len(capacities) < 2:
        return None
    loads = dict.fromkeys(capacities, 0.0)
    for item in ranges:
        if item.owner in loads:
            loads[item.owner] += sum_rates(rates, item.first, item.last)
    result = _move_hot_groups(ranges, capacities, loads, rates)
    for _ in range(len(capacities)):
        moved_ranges = _move_from_fullest(result, capacities, loads, rates)
        if moved_ranges is None:
            break
        result = moved_ranges
    return result if result is not ranges else None


def _move_hot_groups(
    ranges: tuple[KeyRange, ...],
    capacities: Mapping[BackendIncarnation, OwnerCapacity],
    loads: dict[BackendIncarnation, float],
    rates: Mapping[int, float],
) -> tuple[KeyRange, ...]:
    """Give a group that fills an owner by itself to the one that serves most of it.

    Nothing else can relieve such an owner, since a key has only one.
    """
    result = ranges
    for group, rate in sorted(rates.items(), key=lambda entry: -entry[1])[:MAX_MOVED_SUBRANGES]:
        first = group * KEYS_PER_GROUP
        item = _find_range(result, first)
        if (
            item is None
            or item.owner not in capacities
            or rate < HOT_GROUP_MIN_UTILIZATION * capacities[item.owner].per_s
        ):
            continue
        owner = item.owner

        def compute_utilization_with(incarnation: BackendIncarnation, extra: float) -> float:
            return (loads[incarnation] + extra) / max(capacities[incarnation].per_s, 1e-6)

        target = min(
            (incarnation for incarnation in sorted(capacities) if incarnation != owner),
            key=lambda x: compute_utilization_with(x, rate),
        )
        if compute_utilization_with(target, rate) >= HOT_GROUP_MAX_RATIO * compute_utilization_with(
            owner, 0.0
        ):
            continue
        subrange = _Subrange(first, min(item.last, first + KEYS_PER_GROUP - 1), rate)
        loads[owner] -= rate
        loads[target] += rate
        result = _reassign_subranges(result, [subrange], target)
    return result


def _move_from_fullest(
    ranges: tuple[KeyRange, ...],
    capacities: Mapping[BackendIncarnation, OwnerCapacity],
    loads: dict[BackendIncarnation, float],
    rates: Mapping[int, float],
) -> tuple[KeyRange, ...] | None:
    """Move keys from the fullest owner to the emptiest."""

    def compute_utilization(incarnation: BackendIncarnation) -> float:
        return loads[incarnation] / max(capacities[incarnation].per_s, 1e-6)

    fullest = max(sorted(capacities), key=compute_utilization)
    emptiest = min(sorted(capacities), key=compute_utilization)
    is_unused = not any(item.owner == emptiest for item in ranges)
    if fullest == emptiest or (
        not is_unused
        and (
            compute_utilization(fullest) < BUSY_UTILIZATION
            or compute_utilization(fullest) - compute_utilization(emptiest) < MIN_UTILIZATION_GAP
        )
    ):
        return None
    fullest_per_s, emptiest_per_s = capacities[fullest].per_s, capacities[emptiest].per_s
    wanted_rate = (loads[fullest] * emptiest_per_s - loads[emptiest] * fullest_per_s) / (
        fullest_per_s + emptiest_per_s
    )
    subranges = _choose_subranges(
        ranges, fullest, wanted_rate, rates, HOT_GROUP_SHARE * fullest_per_s
    )
    if not subranges and is_unused:
        item = next(item for item in ranges if item.owner == fullest)
        subranges = [_Subrange(item.first, item.last, 0.0)]
    if not subranges or len(ranges) + 2 * len(subranges) > MAX_RANGES:
        return None
    moved_rate = sum(subrange.rate for subrange in subranges)
    loads[fullest] -= moved_rate
    loads[emptiest] += moved_rate
    return _reassign_subranges(ranges, subranges, emptiest)


def _choose_subranges(
    ranges: tuple[KeyRange, ...],
    owner: BackendIncarnation,
    wanted_rate: float,
    rates: Mapping[int, float],
    min_hot_rate: float,
) -> list[_Subrange]:
    """Return hot groups and whole ranges of an owner that together have the wanted rate."""
    candidates = [
        _Subrange(item.first, item.last, sum_rates(rates, item.first, item.last))
        for item in ranges
        if item.owner == owner
    ]
    for group, rate in rates.items():
        first = group * KEYS_PER_GROUP
        item = _find_range(ranges, first)
        if rate >= min_hot_rate and item is not None and item.owner == owner:
            candidates.append(_Subrange(first, min(item.last, first + KEYS_PER_GROUP - 1), rate))
    chosen: list[_Subrange] = []
    chosen_rate = 0.0
    for subrange in sorted(
        candidates, key=lambda subrange: (-subrange.rate, subrange.last - subrange.first)
    ):
        is_disjoint = all(p.last < subrange.first or subrange.last < p.first for p in chosen)
        if subrange.rate > 0 and is_disjoint and chosen_rate + subrange.rate <= wanted_rate * 1.1:
            chosen.append(subrange)
            chosen_rate += subrange.rate
        if len(chosen) >= MAX_MOVED_SUBRANGES or chosen_rate >= 0.9 * wanted_rate:
            break
    return sorted(chosen, key=lambda subrange: subrange.first)


def _find_range(ranges: tuple[KeyRange, ...], key: int) -> KeyRange | None:
    low, high = 0, len(ranges)
    while low < high:
        middle = (low + high) // 2
        if ranges[middle].last < key:
            low = middle + 1
        else:
            high = middle
    return ranges[low] if low < len(ranges) else None


def _reassign_subranges(
    ranges: tuple[KeyRange, ...], subranges: list[_Subrange], owner: BackendIncarnation
) -> tuple[KeyRange, ...]:
    """Cut pieces out of ranges and give them to another owner."""
    result: list[KeyRange] = []
    for item in ranges:
        inside = [p for p in subranges if item.first <= p.first and p.last <= item.last]
        position = item.first
        for subrange in inside:
            if position < subrange.first:
                result.append(attrs.evolve(item, first=position, last=subrange.first - 1))
            former = tuple(
                incarnation
                for incarnation in (*item.former_owners, item.owner)
                if incarnation != owner
            )
            result.append(KeyRange(subrange.first, subrange.last, owner, 0, former))
            position = subrange.last + 1
        if position <= item.last:
            result.append(attrs.evolve(item, first=position))
    return tuple(result)
