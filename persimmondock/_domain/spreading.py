"""Spreading of log records between daemons.

In a large site a few members of each failure domain read the log. Each record then travels down
two trees that span the failure domain; a member that is an inner node of one tree is a leaf of the
other as far as possible, so the loss of one member cuts hardly anyone off. Whoever misses a record
all the same learns so from the offsets in lease renewals and asks for it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from persimmondock._domain.view import Member

DIRECT_MEMBERS = 100
READERS = 3
FAN_OUT = 4


@attrs.frozen
class Trees:
    """Two trees over the positions ``0 .. count - 1``; the first positions read the log.

    Parameters
    ----------
    copies
        Number of trees that are used, 1 or 2.
    """

    readers: int = READERS
    fan_out: int = FAN_OUT
    copies: int = 2

    def list_targets(self, position: int, count: int) -> list[int]:
        """Return the positions that a member sends new records to."""
        targets = self._list_children(position, count)
        if self.copies > 1:
            slot = self._mirror(position, count)
            children = self._list_children(slot, count)
            targets += [self._mirror(child, count) for child in children]
        return [target for target in dict.fromkeys(targets) if target != position]

    def _list_children(self, slot: int, count: int) -> list[int]:
        first = self.readers + slot * self.fan_out
        return list(range(first, min(first + self.fan_out, count)))

    def _mirror(self, position: int, count: int) -> int:
        """Return the slot of a position in the second tree, and the other way round."""
        if position < self.readers:
            return self.readers - 1 - position
        return self.readers + count - 1 - position


@attrs.frozen
class SpreadPlan:
    """What one member does for the spreading of records.

    Parameters
    ----------
    reads_log
        Whether it reads the log all the time.
    targets
        Peer addresses that it sends new records to.
    appender
        Peer address of the member that appends for others of its failure domain; None in a small
        site, and for that member itself.
    appends_for_others
        Whether it is that member.
    """

    reads_log: bool
    targets: tuple[str, ...] = ()
    appender: str | None = None
    appends_for_others: bool = False


def plan_spreading(
    members: Iterable[Member],
    daemon: str,
    trees: Trees | None = None,
    direct_members: int = DIRECT_MEMBERS,
) -> SpreadPlan:
    """Return a member's part; in a small site everyone reads the log."""
    members = list(members)
    if len(members) <= direct_members:
        return SpreadPlan(reads_log=True)
    own = next((member for member in members if member.ref.daemon == daemon), None)
    if own is None:
        return SpreadPlan(reads_log=True)
    trees = trees or Trees()
    neighbours = [m for m in members if m.failure_domain == own.failure_domain]
    neighbours.sort(key=lambda member: _rank(member.ref.daemon))
    position = neighbours.index(own)
    targets = trees.list_targets(position, len(neighbours))
    return SpreadPlan(
        reads_log=position < trees.readers,
        targets=tuple(neighbours[target].peer_address for target in targets),
        appender=None if position == 0 else neighbours[0].peer_address,
        appends_for_others=position == 0,
    )


def _rank(daemon: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(daemon.encode()), daemon
