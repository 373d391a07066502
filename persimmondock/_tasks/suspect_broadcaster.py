"""Broadcast of requests that are suspected of crashing backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmondock._domain.messages import Message, SuspectSeen

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._domain.membership import Membership
    from persimmondock._domain.records import MemberRef
    from persimmondock._tasks.gate import Gate


class SuspectBroadcaster:
    """Sends the suspects that this daemon's gate has found to other members.

    A new suspect is sent to every member at once. A member that joins later receives all known
    suspects from its witnesses.

    Parameters
    ----------
    send
        Sends a message to an address.
    """

    def __init__(
        self, membership: Membership, gate: Gate, send: Callable[[str, Message], None]
    ) -> None:
        self._membership = membership
        self._gate = gate
        self._send = send
        self._informed: set[MemberRef] = set()
        gate.suspects.set_broadcast(self.broadcast)

    def broadcast(self, seen: SuspectSeen) -> None:
        """Send a suspect to every other member."""
        for member in self._membership.view.members.values():
            if member.ref != self._membership.ref:
                self._send(member.peer_address, seen)

    def advance(self) -> None:
        """Send all suspects to members that have joined and have this daemon as a witness."""
        members = {member.ref: member for member in self._membership.view.members.values()}
        for ref in members.keys() - self._informed:
            if self._membership.ref in members[ref].witnesses:
                for seen in self._gate.suspects.registry.export_suspects():
                    self._send(members[ref].peer_address, seen)
        self._informed = set(members)
