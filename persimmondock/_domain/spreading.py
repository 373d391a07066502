"""Broadcast of log records between daemons.

In a large site a few members of each failure domain read the log. Each record is then sent along
two trees that span the failure domain. An inner node of one tree is a leaf of the other as far as
possible, so the loss of one member cuts off few others. A member that still misses a record
detects this from the offsets in lease renewals and requests the record.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from persimmondock._domain.view import Member

MAX_DIRECT_READERS = 100
READERS_PER_DOMAIN = 3
FAN_OUT = 4


@attrs.frozen
class BroadcastTrees:
    """Two trees over the positions ``0 .. count - 1``; the first positions read the log.

    Parameters
    ----------
    tree_count
        Number of trees that are used, 1 or 2.
    """

    readers: int = READERS_PER_DOMAIN
    fan_out: int = FAN_OUT
    tree_count: int = 2

    def list_targets(self, position: int, count: int) -> list[int]:
        """Return the positions that a member sends new records to."""
        targets = self._list_children(position, count)
        if self.tree_count > 1:
            node = self._mirror(position, count)
            children = self._list_children(node, count)
            targets += [self._mirror(child, count) for child in children]
        return [target for target in dict.fromkeys(targets) if target != position]

    def _list_children(self, node: int, count: int) -> list[int]:
        first = self.readers + node * self.fan_out
        return list(range(first, min(first + self.fan_out, count)))

    def _mirror(self, position: int, count: int) -> int:
        """Return the node of a position in the second tree; the mapping is its own inverse."""
        if position < self.readers:
            return self.readers - 1 - position
        return self.readers + count - 1 - position


@attrs.frozen
class BroadcastPlan:
    """A member's role in the broadcast of records.

    Parameters
    ----------
    reads_log
        Whether it reads the log continuously.
    targets
        Peer addresses that it sends new records to.
    appender
        Peer address of the one member that appends for the others of the failure domain; None in a
        small site, and for that member itself.
    appends_for_others
        Whether it appends for the others of its failure domain.
    """

    reads_log: bool
    targets: tuple[str, ...] = ()
    appender: str | None = None
    appends_for_others: bool = False


def plan_broadcast(
    members: Iterable[Member],
    daemon: str,
    trees: BroadcastTrees | None = None,
    max_direct_readers: int = MAX_DIRECT_READERS,
) -> BroadcastPlan:
    """Return a member's role; with ``max_direct_readers`` members or fewer, all read the log."""
    members = list(members)
    if len(members) <= max_direct_readers:
        return BroadcastPlan(reads_log=True)
    own = next((member for member in members if member.ref.daemon == daemon), None)
    if own is None:
        return BroadcastPlan(reads_log=True)
    trees = trees or BroadcastTrees()
    domain_members = [m for m in members if m.failure_domain == own.failure_domain]
    domain_members.sort(key=lambda member: _rank(member.ref.daemon))
    position = domain_members.index(own)
    targets = trees.list_targets(position, len(domain_members))
    return BroadcastPlan(
        reads_log=position < trees.readers,
        targets=tuple(domain_members[target].peer_address for target in targets),
        appender=None if position == 0 else domain_members[0].peer_address,
        appends_for_others=position == 0,
    )


def _rank(daemon: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(daemon.encode()), daemon
