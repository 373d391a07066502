"""Moves busy keys from overloaded backend servers to others.

A few adjacent keys may receive most of the requests of a range. Moving a key interrupts its service
briefly, so busy groups of keys move by themselves and other keys only with their whole range.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from persimmondock._domain.assignment import KeyRange, count_rows
from persimmondock._domain.key_loads import KEYS_PER_GROUP, sum_rates

if TYPE_CHECKING:
    from collections.abc import Mapping

    from persimmondock._domain.assignment import BackendIncarnation

# Below this utilization requests rarely queue, so no key has to move.
BUSY_UTILIZATION = 0.6
# Smaller differences are within the noise of both estimates and not worth an interruption.
MIN_UTILIZATION_GAP = 0.2
# Fraction of an owner's capacity; a group with more moves by itself, others with their range.
HOT_GROUP_SHARE = 0.03
# A single group above this utilization of its owner causes refusals.
SATURATING_GROUP_MIN_UTILIZATION = 0.85
# Such a group moves only if the new owner's utilization after the move is below this fraction of
# the former owner's utilization before the move. Capacities of idle backend servers are
# overestimated: at full load a backend server is 1.5 times slower than its idle response time
# suggests.
SATURATING_GROUP_MAX_RATIO = 0.55
MAX_MOVED_SUBRANGES = 12  # each move asks the former owner for a release
MAX_RANGES = 640  # each range is a grant that is renewed every second


@attrs.frozen
class OwnerCapacity:
    """Capacity of one owner.

    Parameters
    ----------
    per_s
        Requests per second that its backend server can answer.
    """

    per_s: float


@attrs.frozen
class _Subrange:
    """Part of a range, with the requests per second for its keys."""

    first: int
    last: int
    rate: float


def balance_ranges(
    ranges: tuple[KeyRange, ...],
    capacities: Mapping[BackendIncarnation, OwnerCapacity],
    rates: Mapping[int, float],
    max_rows: int = MAX_RANGES,
) -> tuple[KeyRange, ...] | None:
    """Return the ranges with busy keys moved, or None if nothing has to move.

    Parameters
    ----------
    capacities
        Backend servers that may own keys; ranges of others stay where they are.
    rates
        Requests per second by group of keys; see `persimmondock._domain.key_loads`.
    max_rows
        Number of grants that no owner gets to by a move; see `count_rows`.
    """
    if len(capacities) < 2:
        return None
    loads = dict.fromkeys(capacities, 0.0)
    for item in ranges:
        if item.owner in loads:
            loads[item.owner] += sum_rates(rates, item.first, item.last)
    result = _move_saturating_groups(ranges, capacities, loads, rates)
    if _has_more_rows(result, ranges, max_rows):
        result = ranges
    for _ in range(len(capacities)):
        moved_ranges = _move_from_fullest(result, capacities, loads, rates)
        if moved_ranges is None or _has_more_rows(moved_ranges, result, max_rows):
            break
        result = moved_ranges
    return result if result is not ranges else None


def _has_more_rows(
    ranges: tuple[KeyRange, ...], before: tuple[KeyRange, ...], max_rows: int
) -> bool:
    """Return whether a move gave an owner more grants than it may have."""
    counts_before = count_rows(before)
    return any(
        count > max(max_rows, counts_before[owner]) for owner, count in count_rows(ranges).items()
    )


def _move_saturating_groups(
    ranges: tuple[KeyRange, ...],
    capacities: Mapping[BackendIncarnation, OwnerCapacity],
    loads: dict[BackendIncarnation, float],
    rates: Mapping[int, float],
) -> tuple[KeyRange, ...]:
    """Move groups that saturate their owner to the one with the lowest resulting utilization.

    Such a load cannot be split, since each key has a single owner.
    """
    result = ranges
    for group, rate in sorted(rates.items(), key=lambda entry: -entry[1])[:MAX_MOVED_SUBRANGES]:
        first = group * KEYS_PER_GROUP
        item = _find_range(result, first)
        if (
            item is None
            or item.owner not in capacities
            or rate < SATURATING_GROUP_MIN_UTILIZATION * capacities[item.owner].per_s
        ):
            continue
        owner = item.owner

        def compute_utilization_with(incarnation: BackendIncarnation, extra: float) -> float:
            return (loads[incarnation] + extra) / max(capacities[incarnation].per_s, 1e-6)

        target = min(
            (incarnation for incarnation in sorted(capacities) if incarnation != owner),
            key=lambda incarnation: compute_utilization_with(incarnation, rate),
        )
        if compute_utilization_with(
            target, rate
        ) >= SATURATING_GROUP_MAX_RATIO * compute_utilization_with(owner, 0.0):
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
    """Move keys from the owner with the highest utilization to that with the lowest.

    An owner without ranges gets some even where utilization is low.
    """

    def compute_utilization(incarnation: BackendIncarnation) -> float:
        return loads[incarnation] / max(capacities[incarnation].per_s, 1e-6)

    fullest = max(sorted(capacities), key=compute_utilization)
    emptiest = min(sorted(capacities), key=compute_utilization)
    emptiest_has_no_ranges = not any(item.owner == emptiest for item in ranges)
    if fullest == emptiest or (
        not emptiest_has_no_ranges
        and (
            compute_utilization(fullest) < BUSY_UTILIZATION
            or compute_utilization(fullest) - compute_utilization(emptiest) < MIN_UTILIZATION_GAP
        )
    ):
        return None
    fullest_per_s, emptiest_per_s = capacities[fullest].per_s, capacities[emptiest].per_s
    # Moving this rate would make both utilizations equal.
    wanted_rate = (loads[fullest] * emptiest_per_s - loads[emptiest] * fullest_per_s) / (
        fullest_per_s + emptiest_per_s
    )
    subranges = _choose_subranges(
        ranges, fullest, wanted_rate, rates, HOT_GROUP_SHARE * fullest_per_s
    )
    if not subranges and emptiest_has_no_ranges:
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
    """Return disjoint hot groups and whole ranges of an owner, about the wanted rate in total."""
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
        is_disjoint = all(
            other.last < subrange.first or subrange.last < other.first for other in chosen
        )
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
    """Split ranges at the bounds of subranges and give the subranges to another owner."""
    result: list[KeyRange] = []
    for item in ranges:
        inside = [
            subrange
            for subrange in subranges
            if item.first <= subrange.first and subrange.last <= item.last
        ]
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
