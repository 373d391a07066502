"""Relaying of new log records to peers, and detection of missing records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmondock._domain.messages import (
    AppendAsked,
    Granted,
    Message,
    RecordsAsked,
    RecordsGiven,
    Renew,
)
from persimmondock._domain.records import (
    MemberLost,
    MemberRef,
    Record,
    WitnessesChanged,
    encode_record,
)
from persimmondock._domain.spreading import BroadcastPlan, plan_broadcast
from persimmondock._tasks.log_follower import APPEND_INTERVAL_S, SHARED_APPEND_INTERVAL_S

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from persimmondock._domain.membership import Membership
    from persimmondock._domain.view import Member
    from persimmondock._ports.log import Entry

MISSING_RECORDS_TIMEOUT_S = 0.5
DELEGATION_TIMEOUT_S = 10.0


class RecordRelay:
    """Relays log records and delegates appends according to the broadcast plan.

    Parameters
    ----------
    send
        Sends a message to an address.
    """

    def __init__(self, membership: Membership, send: Callable[[str, Message], None]) -> None:
        self._membership = membership
        self._send = send
        self._planned_members: Mapping[str, Member] | None = None
        self._plan = BroadcastPlan(reads_log=True)
        self._known_end = 0
        self._missing_since: float | None = None
        self._delegated: dict[tuple[MemberRef, int], float] = {}

    def reads_log(self) -> bool:
        """Return whether this daemon reads the log continuously."""
        return self._find_plan().reads_log

    def reads_for_others(self) -> bool:
        """Return whether this daemon reads the log and sends the records to peers."""
        plan = self._find_plan()
        return plan.reads_log and bool(plan.targets)

    def forward(self, entries: tuple[Entry, ...]) -> None:
        """Send newly received records to the targets of this daemon."""
        targets = self._find_plan().targets
        if targets:
            given = RecordsGiven(entries[0].offset, tuple(entry.payload for entry in entries))
            for target in targets:
                self._send(target, given)

    def find_append_interval_s(self) -> float:
        """Return the minimum time between two appends of this daemon, in seconds."""
        return (
            SHARED_APPEND_INTERVAL_S if self._find_plan().appends_for_others else APPEND_INTERVAL_S
        )

    def delegate_appends(self, records: tuple[Record, ...], now: float) -> tuple[Record, ...]:
        """Send records that many daemons write at once to the appending peer; return the others.

        Only records that may safely be appended late or repeatedly are delegated, and each only
        once in ``DELEGATION_TIMEOUT_S`` seconds. A record that is written again within that time,
        because it has not appeared in the log, is appended by this daemon itself.
        """
        appender = self._find_plan().appender
        self._delegated = {
            key: at for key, at in self._delegated.items() if now - at < DELEGATION_TIMEOUT_S
        }
        left, payloads = [], []
        for record in records:
            if appender is None or not self._may_delegate(record, now):
                left.append(record)
            else:
                payloads.append(encode_record(record))
        if appender is not None and payloads:
            self._send(appender, AppendAsked(tuple(payloads)))
        return tuple(left)

    def _may_delegate(self, record: Record, now: float) -> bool:
        """Return whether to delegate a record; if so, remember the time."""
        match record:
            case MemberLost(member=ref, version=version) | WitnessesChanged(
                member=ref, version=version
            ):
                key = (ref, version)
            case _:
                return False
        return self._delegated.setdefault(key, now) == now

    def observe(self, message: Message, address: str) -> None:
        """Learn the end of the log from a message, and request records that are missing."""
        match message:
            case Renew(applied=applied) | Granted(applied=applied):
                self._known_end = max(self._known_end, applied)
            case RecordsGiven(start=start, payloads=payloads):
                self._known_end = max(self._known_end, start + len(payloads))
                if start > self._membership.view.offset:
                    self._send(address, RecordsAsked(self._membership.view.offset))

    def needs_log(self, now: float) -> bool:
        """Return whether records have been missing for ``MISSING_RECORDS_TIMEOUT_S`` seconds.

        Peers need less time than that to send them.
        """
        if self._membership.view.offset >= self._known_end:
            self._missing_since = None
            return False
        if self._missing_since is None:
            self._missing_since = now
        return now - self._missing_since > MISSING_RECORDS_TIMEOUT_S

    def _find_plan(self) -> BroadcastPlan:
        members = self._membership.view.members
        if members is not self._planned_members:
            daemon = self._membership.identity.daemon
            self._plan = plan_broadcast(members.values(), daemon)
            self._planned_members = members
        return self._plan
