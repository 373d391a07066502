"""Which backend server owns which range of keys of a service.

An assignment is one record: whoever writes it names the offset that it is based on, so two writers
cannot both succeed. The offset of the record is the fencing token of what it newly gives.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import attrs
import msgpack

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

KEYS = 65_536
SLICE_KEYS = 1_024  # busy keys lie close together: 64 interleaved slices spread them
MAX_WITNESSES = 7  # a majority of four survives a failure domain with three of them


@attrs.frozen(order=True)
class BackendLife:
    """One start of a backend server beside a daemon.

    Parameters
    ----------
    node
        Name of the daemon.
    instance
        Name that the backend server gives itself.
    born_ms
        Unix milliseconds of its start, or 0 if it does not say; tells lives of one name apart.
    """

    node: str
    instance: str
    born_ms: int


@attrs.frozen
class KeyRange:
    """Consecutive keys with one owner.

    Parameters
    ----------
    first, last
        Both inclusive.
    fence
        Fencing token, above that of every earlier owner of these keys.
    former
        Owners before, of which it is not known that their grants have ended.
    """

    first: int
    last: int
    owner: BackendLife
    fence: int
    former: tuple[BackendLife, ...] = ()


@attrs.frozen
class Assignment:
    """All ranges of one service.

    Parameters
    ----------
    offset
        Offset after the record; 0 before the first one.
    witnesses, former_witnesses
        Daemons that confirm leases, and those before the last change of them.
    """

    service: str
    ranges: tuple[KeyRange, ...] = ()
    witnesses: frozenset[str] = frozenset()
    former_witnesses: frozenset[str] = frozenset()
    offset: int = 0

    def find_range(self, key: int) -> KeyRange | None:
        """Return the range of a key."""
        low, high = 0, len(self.ranges)
        while low < high:
            middle = (low + high) // 2
            if self.ranges[middle].last < key:
                low = middle + 1
            else:
                high = middle
        return self.ranges[low] if low < len(self.ranges) else None

    def list_owned(self, life: BackendLife) -> tuple[KeyRange, ...]:
        """Return the ranges of one owner."""
        return tuple(item for item in self.ranges if item.owner == life)


def encode_assignment(assignment: Assignment) -> bytes:
    """Return an assignment as bytes of a record; the offset is the record's own."""
    lives = sorted({r.owner for r in assignment.ranges} | _list_former(assignment.ranges))
    index = {life: number for number, life in enumerate(lives)}
    data: bytes = msgpack.packb(
        [
            [[life.node, life.instance, life.born_ms] for life in lives],
            [
                [r.first, r.last, index[r.owner], r.fence, [index[life] for life in r.former]]
                for r in assignment.ranges
            ],
            sorted(assignment.witnesses),
            sorted(assignment.former_witnesses),
        ]
    )
    return data


def _list_former(ranges: Iterable[KeyRange]) -> set[BackendLife]:
    return {life for item in ranges for life in item.former}


def decode_assignment(service: str, offset: int, data: bytes) -> Assignment:
    """Read an assignment from the bytes of the record before ``offset``.

    Raises
    ------
    ValueError
        If the bytes are no assignment; the message names the service and the offset.
    """
    try:
        lives_data, ranges, witnesses, former = msgpack.unpackb(data)
        lives = [BackendLife(*item) for item in lives_data]
        return Assignment(
            service,
            tuple(
                KeyRange(first, last, lives[owner], fence, tuple(lives[n] for n in earlier))
                for first, last, owner, fence, earlier in ranges
            ),
            frozenset(witnesses),
            frozenset(former),
            offset,
        )
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as error:
        raise ValueError(f"assignment of {service!r} at offset {offset}: {error!r}") from error


@attrs.frozen
class Owner:
    """A backend server that may own keys.

    Parameters
    ----------
    weight
        Share of the keys that it should have, relative to the others.
    """

    life: BackendLife
    weight: float = 1.0


@attrs.frozen
class Load:
    """Measured load of one range, in requests a second."""

    first: int
    last: int
    per_s: float


def plan_assignment(
    present: Assignment,
    owners: Iterable[Owner],
    gone: frozenset[BackendLife],
    balance: bool,
    loads: Mapping[int, float] | None = None,
) -> tuple[KeyRange, ...] | None:
    """Return better ranges, or None if the present ones will do.

    Parameters
    ----------
    owners
        Backend servers that may own keys now.
    gone
        Lives that have certainly ended; nothing has to be waited for.
    balance
        Whether keys may move between owners that are both fit.
    loads
        Requests a second for the first key of each present range.
    """
    fit = {owner.life: owner for owner in owners}
    if not fit:
        return None
    if not present.ranges:
        return _deal_slices(present.service, sorted(fit.values(), key=lambda o: o.life))
    by_node = {life.node: life for life in fit}
    held: dict[BackendLife, float] = defaultdict(float)
    weights = _weigh_ranges(present, loads)
    for item, weight in zip(present.ranges, weights, strict=True):
        if item.owner in fit:
            held[item.owner] += weight
    moved: dict[int, BackendLife] = {}
    for number, item in enumerate(present.ranges):
        if item.owner in fit:
            continue
        reborn = by_node.get(item.owner.node)
        target = reborn or min(fit, key=lambda life: _fill(life, held, fit, weights[number]))
        moved[number] = target
        held[target] += weights[number]
    if balance and not moved:
        moved = _balance(present, fit, held, weights)
    if not moved:
        return None
    return tuple(
        _move(item, moved[number], gone) if number in moved else item
        for number, item in enumerate(present.ranges)
    )


def _deal_slices(service: str, owners: list[Owner]) -> tuple[KeyRange, ...]:
    """Deal slices in turn, so that neighbours have different owners."""
    credit = {owner.life: 0.0 for owner in owners}
    total = sum(owner.weight for owner in owners)
    ranges = []
    for first in range(0, KEYS, SLICE_KEYS):
        for owner in owners:
            credit[owner.life] += owner.weight
        best = max(owners, key=lambda owner: credit[owner.life])
        credit[best.life] -= total
        ranges.append(KeyRange(first, first + SLICE_KEYS - 1, best.life, 0))
    return tuple(ranges)


def _weigh_ranges(present: Assignment, loads: Mapping[int, float] | None) -> list[float]:
    """Return the load of each range: half measured, half by its number of keys."""
    total = sum(loads.values()) if loads else 0.0
    weights = []
    for item in present.ranges:
        share = (item.last - item.first + 1) / KEYS
        if total > 0 and loads is not None:
            share = 0.25 * share + 0.75 * loads.get(item.first, 0.0) / total
        weights.append(share)
    return weights


def _fill(
    life: BackendLife,
    held: Mapping[BackendLife, float],
    fit: Mapping[BackendLife, Owner],
    added: float = 0.0,
) -> float:
    """Return how full an owner is, relative to its weight."""
    return (held.get(life, 0.0) + added) / max(fit[life].weight, 1e-6)


MAX_IMBALANCE = 1.25  # each move makes keys unready for a moment; smaller differences do not pay


def _balance(
    present: Assignment,
    fit: Mapping[BackendLife, Owner],
    held: dict[BackendLife, float],
    weights: list[float],
) -> dict[int, BackendLife]:
    """Return which ranges move from the fullest owners to the emptiest."""
    moved: dict[int, BackendLife] = {}
    mean = sum(held.values()) / max(sum(owner.weight for owner in fit.values()), 1e-6)
    for _ in present.ranges:
        fullest = max(fit, key=lambda life: _fill(life, held, fit))
        emptiest = min(fit, key=lambda life: _fill(life, held, fit))
        gap = _fill(fullest, held, fit) - _fill(emptiest, held, fit)
        if gap <= (MAX_IMBALANCE - 1) * mean or fullest == emptiest:
            break
        best, best_gap = None, gap
        for number, item in enumerate(present.ranges):
            if item.owner != fullest or number in moved or weights[number] <= 0:
                continue
            after = abs(
                (held[fullest] - weights[number]) / fit[fullest].weight
                - (held[emptiest] + weights[number]) / fit[emptiest].weight
            )
            if after < best_gap:
                best, best_gap = number, after
        if best is None:
            break
        moved[best] = emptiest
        held[fullest] -= weights[best]
        held[emptiest] += weights[best]
    return moved


def _move(item: KeyRange, owner: BackendLife, gone: frozenset[BackendLife]) -> KeyRange:
    """Return a range with a new owner; its fencing token is set when it is written."""
    former = [life for life in (*item.former, item.owner) if life not in gone and life != owner]
    if owner.node in {life.node for life in former}:
        # A new life beside the same daemon: the earlier one has ended.
        former = [life for life in former if life.node != owner.node]
    return attrs.evolve(item, owner=owner, fence=0, former=tuple(dict.fromkeys(former)))


def number_assignment(
    present: Assignment, ranges: Iterable[KeyRange], witnesses: frozenset[str], end: int
) -> Assignment:
    """Return the record to write at offset ``end``; its new ranges get that fencing token."""
    changed = witnesses != present.witnesses
    return Assignment(
        present.service,
        tuple(attrs.evolve(r, fence=end + 1) if r.fence == 0 else r for r in ranges),
        witnesses,
        present.witnesses if changed and present.witnesses else present.former_witnesses,
        end + 1,
    )


def choose_witnesses(zones: Mapping[str, str]) -> frozenset[str]:
    """Return daemons that confirm leases, spread over failure domains.

    Parameters
    ----------
    zones
        Failure domain of each live daemon.
    """
    by_zone: dict[str, list[str]] = defaultdict(list)
    for node in sorted(zones):
        by_zone[zones[node]].append(node)
    chosen: list[str] = []
    for turn in range(max((len(names) for names in by_zone.values()), default=0)):
        for zone in sorted(by_zone):
            if turn < len(by_zone[zone]):
                chosen.append(by_zone[zone][turn])
    count = min(MAX_WITNESSES, len(chosen))
    return frozenset(chosen[: count - (count + 1) % 2] if count else ())
