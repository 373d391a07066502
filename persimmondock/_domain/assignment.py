"""Which backend server owns which range of keys of a service.

An assignment is one record of a log. Its write is conditional on the offset that it is based on, so
only one of two concurrent writers succeeds. The offset after the record is the fencing token of
every range that the record gives to a new owner.

The log may come back from an older copy and lose the newest assignments; see
`persimmondock._domain.log_position`. Nothing tells what was lost, who holds keys by it, and whether
a conditional write from before takes effect after it. So an assignment is in force only in the era
of its fencing tokens. The first one that is written in an era gives all ranges new tokens, and each
of them has an unknown former owner, who may hold them until its lease has expired.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

import attrs
import msgpack

from persimmondock._domain.foreign_data import (
    UNREADABLE,
    check_text,
    check_whole_number,
    show_value,
)
from persimmondock._domain.log_position import find_era, find_offset, make_position

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

KEY_COUNT = 65_536
MAX_SLICE_KEYS = 1_024  # at least 64 interleaved slices, since busy keys are often adjacent
SLICES_PER_OWNER = 8  # keeps the difference between two shares below an eighth
MIN_SLICE_KEYS = 128
MAX_WITNESSES = 7  # a majority of four remains when a failure domain with three is lost


@attrs.frozen(order=True)
class BackendIncarnation:
    """One process lifetime of the backend server beside a daemon.

    Parameters
    ----------
    node
        Name of the daemon.
    instance
        Name that the backend server announces.
    born_ms
        Start of the process in Unix milliseconds, or 0 if it is not announced; distinguishes
        incarnations with the same instance name.
    """

    node: str
    instance: str
    born_ms: int


# Stands for those who may hold keys by an assignment that the log has lost.
UNKNOWN_OWNER = BackendIncarnation("", "", 0)
# Stands for those who may confirm the leases of such an assignment; none of them ever answers.
UNKNOWN_WITNESSES = frozenset({"(unknown)"})


@attrs.frozen
class KeyRange:
    """Consecutive keys with one owner.

    Parameters
    ----------
    first, last
        First and last key, both inclusive.
    fence
        Fencing token, greater than that of every earlier owner of these keys; 0 until the range
        is written with its new owner.
    former_owners
        Earlier owners whose grants may still be in force.
    """

    first: int
    last: int
    owner: BackendIncarnation
    fence: int
    former_owners: tuple[BackendIncarnation, ...] = ()

    @property
    def grant_id(self) -> tuple[int, int, int]:
        """Identity of the grant of this range, which former owners are not part of."""
        return self.first, self.last, self.fence


@attrs.frozen
class Assignment:
    """Owners of all keys of one service.

    Parameters
    ----------
    ranges
        Disjoint ranges in ascending order.
    witnesses, former_witnesses
        Daemons that confirm leases, and those that did before the last change of witnesses if that
        is recent.
    offset
        Log offset after the record; 0 before the first one.
    """

    service: str
    ranges: tuple[KeyRange, ...] = ()
    witnesses: frozenset[str] = frozenset()
    former_witnesses: frozenset[str] = frozenset()
    offset: int = 0
    _by_owner: dict[BackendIncarnation, tuple[KeyRange, ...]] = attrs.field(
        init=False, factory=dict, eq=False, repr=False
    )

    @property
    def era(self) -> int:
        """Era of the log in which it was written: that of its earliest fencing token."""
        return find_era(min((item.fence for item in self.ranges), default=0))

    @property
    def origin(self) -> int:
        """Position after its record at its writing, or at that which it was on its way for.

        A log that comes back from a copy lists its records at the offsets that they had.
        """
        return make_position(self.era, find_offset(self.offset))

    @property
    def witness_sets(self) -> tuple[frozenset[str], ...]:
        """Sets of daemons of which a majority each confirms leases."""
        return tuple(names for names in (self.witnesses, self.former_witnesses) if names)

    def is_in_force(self, position: int) -> bool:
        """Return whether it counts while the partition ends at a position."""
        return bool(self.ranges) and self.era == find_era(position)

    def find_range(self, key: int) -> KeyRange | None:
        """Return the range that contains a key, or None."""
        low, high = 0, len(self.ranges)
        while low < high:
            middle = (low + high) // 2
            if self.ranges[middle].last < key:
                low = middle + 1
            else:
                high = middle
        return self.ranges[low] if low < len(self.ranges) else None

    def list_owned(self, incarnation: BackendIncarnation) -> tuple[KeyRange, ...]:
        """Return the ranges that an incarnation owns."""
        return self._index_by_owner().get(incarnation, ())

    def list_owners(self) -> Collection[BackendIncarnation]:
        """Return each owner once."""
        return self._index_by_owner().keys()

    def _index_by_owner(self) -> dict[BackendIncarnation, tuple[KeyRange, ...]]:
        # Each heartbeat and each forwarded request asks for the owned ranges.
        if not self._by_owner and self.ranges:
            groups: dict[BackendIncarnation, list[KeyRange]] = {}
            for item in self.ranges:
                groups.setdefault(item.owner, []).append(item)
            self._by_owner.update((owner, tuple(items)) for owner, items in groups.items())
        return self._by_owner


def encode_assignment(assignment: Assignment) -> bytes:
    """Return the record of an assignment; service and offset are not part of the data."""
    incarnations = sorted(
        {r.owner for r in assignment.ranges} | _list_former_owners(assignment.ranges)
    )
    index = {incarnation: number for number, incarnation in enumerate(incarnations)}
    data: bytes = msgpack.packb(
        [
            [
                [incarnation.node, incarnation.instance, incarnation.born_ms]
                for incarnation in incarnations
            ],
            [
                [
                    r.first,
                    r.last,
                    index[r.owner],
                    r.fence,
                    [index[incarnation] for incarnation in r.former_owners],
                ]
                for r in assignment.ranges
            ],
            sorted(assignment.witnesses),
            sorted(assignment.former_witnesses),
        ]
    )
    return data


def _list_former_owners(ranges: Iterable[KeyRange]) -> set[BackendIncarnation]:
    return {incarnation for item in ranges for incarnation in item.former_owners}


def decode_assignment(service: str, offset: int, data: bytes) -> Assignment:
    """Decode the assignment of the record that ends at ``offset``.

    Raises
    ------
    ValueError
        If the data is not an assignment; the message names the service and the offset.
    """
    try:
        incarnations_data, rows, witnesses, former_witnesses = msgpack.unpackb(data)
        incarnations = [_read_incarnation(item) for item in incarnations_data]
        ranges: list[KeyRange] = []
        for first, last, owner, fence, former in rows:
            position = ranges[-1].last + 1 if ranges else 0
            ranges.append(
                KeyRange(
                    check_whole_number(first, position, KEY_COUNT - 1),
                    check_whole_number(last, first, KEY_COUNT - 1),
                    incarnations[owner],
                    check_whole_number(fence),
                    tuple(incarnations[number] for number in former),
                )
            )
        return Assignment(
            service,
            tuple(ranges),
            frozenset(check_text(name) for name in witnesses),
            frozenset(check_text(name) for name in former_witnesses),
            offset,
        )
    except UNREADABLE as error:
        raise ValueError(
            f"assignment of {service!r} at offset {offset}: {show_value(error)}"
        ) from error


def _read_incarnation(item: Any) -> BackendIncarnation:
    node, instance, born_ms = item
    if not isinstance(node, str) or not isinstance(instance, str):
        raise TypeError(f"expected two names, not {show_value(item)}")
    return BackendIncarnation(node, instance, check_whole_number(born_ms))


@attrs.frozen
class EligibleOwner:
    """A backend server that may own keys.

    Parameters
    ----------
    weight
        Share of the keys relative to other owners.
    """

    incarnation: BackendIncarnation
    weight: float = 1.0


def plan_assignment(
    current: Assignment, owners: Iterable[EligibleOwner]
) -> tuple[KeyRange, ...] | None:
    """Return the ranges with an eligible owner for each.

    The result is None if no range changes or no owner is eligible. A range that loses its owner
    goes to the new incarnation beside the same daemon if there is one, else to the owner with the
    fewest keys for its weight.

    Parameters
    ----------
    owners
        Backend servers that may own keys now.
    """
    eligible = {owner.incarnation: owner for owner in owners}
    if not eligible:
        return None
    if not current.ranges:
        return _distribute_slices(sorted(eligible.values(), key=lambda owner: owner.incarnation))
    by_node = {incarnation.node: incarnation for incarnation in eligible}
    owned_keys: dict[BackendIncarnation, float] = defaultdict(float)
    for item in current.ranges:
        if item.owner in eligible:
            owned_keys[item.owner] += item.last - item.first + 1
    result = []
    for item in current.ranges:
        if item.owner in eligible:
            result.append(item)
            continue
        size = item.last - item.first + 1
        target = by_node.get(item.owner.node) or min(
            sorted(eligible),
            key=lambda incarnation: (owned_keys[incarnation] + size) / eligible[incarnation].weight,
        )
        owned_keys[target] += size
        result.append(_reassign_range(item, target))
    return None if result == list(current.ranges) else tuple(result)


def _distribute_slices(owners: list[EligibleOwner]) -> tuple[KeyRange, ...]:
    """Distribute slices by weighted round robin, so that adjacent ones have different owners."""
    credit = {owner.incarnation: 0.0 for owner in owners}
    total_weight = sum(owner.weight for owner in owners)
    ranges = []
    size = MAX_SLICE_KEYS
    while size > MIN_SLICE_KEYS and size * SLICES_PER_OWNER * len(owners) > KEY_COUNT:
        size //= 2
    for first in range(0, KEY_COUNT, size):
        for owner in owners:
            credit[owner.incarnation] += owner.weight
        chosen = max(owners, key=lambda owner: credit[owner.incarnation])
        credit[chosen.incarnation] -= total_weight
        ranges.append(KeyRange(first, first + size - 1, chosen.incarnation, 0))
    return tuple(ranges)


def _reassign_range(item: KeyRange, owner: BackendIncarnation) -> KeyRange:
    """Return a range with a new owner; `build_next_assignment` sets its fencing token."""
    former = [
        incarnation
        for incarnation in (*item.former_owners, item.owner)
        if incarnation != owner and not _is_predecessor(incarnation, owner)
    ]
    return attrs.evolve(item, owner=owner, fence=0, former_owners=tuple(dict.fromkeys(former)))


def _is_predecessor(incarnation: BackendIncarnation, other: BackendIncarnation) -> bool:
    """Return whether an incarnation is an earlier one beside the same daemon.

    Both have one address, so the later one gets nothing there while the earlier one has it.
    """
    return incarnation.node == other.node and incarnation.born_ms < other.born_ms


def find_newest_starts(assignment: Assignment) -> dict[str, int]:
    """Return the latest start in Unix milliseconds of the owners beside each daemon."""
    starts: dict[str, int] = {}
    for owner in assignment.list_owners():
        starts[owner.node] = max(starts.get(owner.node, 0), owner.born_ms)
    return starts


def count_moved_ranges(current: Assignment, ranges: tuple[KeyRange, ...]) -> int:
    """Return the number of ranges whose first key currently has another owner."""
    before = (current.find_range(item.first) for item in ranges)
    return sum(
        old is not None and old.owner != item.owner
        for old, item in zip(before, ranges, strict=True)
    )


def count_rows(ranges: Iterable[KeyRange]) -> Counter[BackendIncarnation]:
    """Return the grants of each owner, where adjacent ranges with one fencing token share one."""
    counts: Counter[BackendIncarnation] = Counter()
    previous: KeyRange | None = None
    for item in ranges:
        if previous is None or (item.owner, item.fence) != (previous.owner, previous.fence):
            counts[item.owner] += 1
        previous = item
    return counts


def merge_ranges(ranges: tuple[KeyRange, ...], max_rows: int) -> tuple[KeyRange, ...] | None:
    """Return the ranges with adjacent ones merged for each owner with too many grants, or None.

    A merged range gets a new fencing token, with which its owner replaces the grants that it has.
    Ranges that may have former owners stay as they are.
    """
    counts = count_rows(ranges)
    result: list[KeyRange] = []
    for item in ranges:
        if (
            result
            and counts[item.owner] > max_rows
            and result[-1].owner == item.owner
            and not result[-1].former_owners
            and not item.former_owners
        ):
            fence = item.fence if result[-1].fence == item.fence else 0
            result[-1] = attrs.evolve(result[-1], last=item.last, fence=fence)
        else:
            result.append(item)
    return tuple(result) if count_rows(result) != counts else None


def renew_tokens(ranges: Iterable[KeyRange]) -> tuple[KeyRange, ...]:
    """Return ranges that get new fencing tokens, and that unknown former owners may hold."""
    return tuple(
        attrs.evolve(
            item,
            fence=0,
            former_owners=tuple(dict.fromkeys((*item.former_owners, UNKNOWN_OWNER))),
        )
        for item in ranges
    )


def build_next_assignment(
    current: Assignment,
    ranges: Iterable[KeyRange],
    witnesses: frozenset[str],
    end: int,
    keeps_former_witnesses: bool = True,
) -> Assignment:
    """Return the assignment to write at offset ``end``.

    Ranges without a fencing token get the offset after the record as their token.

    Parameters
    ----------
    keeps_former_witnesses
        Whether leases that only the former witnesses confirm may last.
    """
    former_witnesses = current.former_witnesses if keeps_former_witnesses else frozenset()
    if current.witnesses and witnesses != current.witnesses:
        former_witnesses = current.witnesses
    return Assignment(
        current.service,
        tuple(attrs.evolve(r, fence=end + 1) if r.fence == 0 else r for r in ranges),
        witnesses,
        former_witnesses,
        end + 1,
    )


def choose_witnesses(failure_domains: Mapping[str, str]) -> frozenset[str]:
    """Return an odd number of daemons, spread over failure domains, to confirm leases.

    Parameters
    ----------
    failure_domains
        Failure domain of each live daemon.
    """
    by_domain: dict[str, list[str]] = defaultdict(list)
    for node in sorted(failure_domains):
        by_domain[failure_domains[node]].append(node)
    chosen: list[str] = []
    for rank in range(max((len(names) for names in by_domain.values()), default=0)):
        for domain in sorted(by_domain):
            if rank < len(by_domain[domain]):
                chosen.append(by_domain[domain][rank])
    count = min(MAX_WITNESSES, len(chosen))
    return frozenset(chosen[: count - (count + 1) % 2] if count else ())
