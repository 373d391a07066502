"""Tells other daemons of requests that may kill backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmondock._domain.messages import Message, SuspectSeen

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._domain.membership import Membership
    from persimmondock._domain.records import MemberRef
    from persimmondock._tasks.gate import Gate


class Warner:
    """Spreads what this daemon's gate saw of suspects.

    A suspect is told to every member at once. A member that joins later is told all suspects by
    its witnesses.
    """

    def __init__(
        self, membership: Membership, gate: Gate, send: Callable[[str, Message], None]
    ) -> None:
        self._membership = membership
        self._gate = gate
        self._send = send
        self._told: set[MemberRef] = set()
        gate.suspects.set_broadcast(self.spread)

    def spread(self, seen: SuspectSeen) -> None:
        """Tell every other member."""
        for member in self._membership.view.members.values():
            if member.ref != self._membership.ref:
                self._send(member.peer_address, seen)

    def advance(self) -> None:
        """Tell members that joined, if this daemon is a witness of theirs."""
        members = {member.ref: member for member in self._membership.view.members.values()}
        for ref in members.keys() - self._told:
            if self._membership.ref in members[ref].witnesses:
                for seen in self._gate.suspects.book.list_seen():
                    self._send(members[ref].peer_address, seen)
        self._told = set(members)
