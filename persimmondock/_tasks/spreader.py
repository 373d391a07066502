"""Sending new log records on to peers, and noticing that some are missing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmondock._domain.messages import Granted, Message, RecordsAsked, RecordsGiven, Renew
from persimmondock._domain.spreading import SpreadPlan, plan_spreading

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from persimmondock._domain.membership import Membership
    from persimmondock._domain.view import Member
    from persimmondock._ports.log import Entry

MISSING_FOR_S = 0.5


class Spreader:
    """One daemon's part in the spreading of records.

    Parameters
    ----------
    send
        Sends a message to an address.
    """

    def __init__(self, membership: Membership, send: Callable[[str, Message], None]) -> None:
        self._membership = membership
        self._send = send
        self._planned_for: Mapping[str, Member] | None = None
        self._plan = SpreadPlan(reads_log=True)
        self._known_end = 0
        self._missing_since: float | None = None

    def reads_log(self) -> bool:
        """Return whether this daemon reads the log all the time."""
        return self._find_plan().reads_log

    def forward(self, entries: tuple[Entry, ...]) -> None:
        """Send records that are new to this daemon to its targets."""
        targets = self._find_plan().targets
        if targets:
            given = RecordsGiven(entries[0].offset, tuple(entry.payload for entry in entries))
            for target in targets:
                self._send(target, given)

    def note(self, message: Message, address: str) -> None:
        """Learn from a message which records exist; ask for those before a gap."""
        match message:
            case Renew(applied=applied) | Granted(applied=applied):
                self._known_end = max(self._known_end, applied)
            case RecordsGiven(start=start, payloads=payloads):
                self._known_end = max(self._known_end, start + len(payloads))
                if start > self._membership.view.offset:
                    self._send(address, RecordsAsked(self._membership.view.offset))

    def needs_log(self, now: float) -> bool:
        """Return whether records have been missing for longer than peers need to give them."""
        if self._membership.view.offset >= self._known_end:
            self._missing_since = None
            return False
        if self._missing_since is None:
            self._missing_since = now
        return now - self._missing_since > MISSING_FOR_S

    def _find_plan(self) -> SpreadPlan:
        members = self._membership.view.members
        if members is not self._planned_for:
            daemon = self._membership.identity.daemon
            self._plan = plan_spreading(members.values(), daemon)
            self._planned_for = members
        return self._plan
