"""The lease under which a gate grants keys to the backend server beside it.

A gate may grant the ranges of an assignment for one term after either of two confirmations that no
newer assignment is in force. Both count from the instant at which the read or heartbeat was *sent*:

* the store answered a read, by this daemon or by one that relays it, and the log partition of the
  assignment ended where this gate's copy ends;
* a majority of the assignment's witnesses answered a heartbeat, each with a copy that ends at the
  same offset. A witness that has a newer assignment never confirms an older one again. Without an
  answer of the store, witnesses extend the lease by at most ``MAX_WITNESS_ONLY_S``.

While an assignment names the witnesses before the last change, a majority of these is needed as
well: the log may lose the record of the change, and then a new owner asks only the former ones.

A new owner of keys waits until the lease has expired at every gate that does not have the new
assignment. This is one term after both of these have happened: it received the assignment, and a
majority of the witnesses confirmed to it that they have the assignment. If no majority answers, it
waits for ``MAX_WITNESS_ONLY_S`` plus one term. The grants of the former owner end with its lease,
but the clock of its backend server may run slow, so the new owner adds ``CLOCK_TOLERANCE`` of the
term.

Instants are in seconds of a clock that includes time in suspend.
"""

from __future__ import annotations

import math

import attrs

LEASE_TERM_S = 3.0  # longer terms delay takeovers; shorter ones expire while the store is slow
MAX_WITNESS_ONLY_S = 20.0  # exceeds the longest store outage that sites specify, 12 s
CLOCK_TOLERANCE = 0.02  # the clock of a backend server may run 2% slow
TAKEOVER_MARGIN_S = 0.15  # local delivery of a grant plus one iteration of a busy event loop


@attrs.define
class RangeLease:
    """Confirmations that an assignment is the newest.

    Parameters
    ----------
    offset
        End of this gate's copy of the partition.
    witness_sets
        Daemons that have to confirm the assignment: a majority of each set.
    """

    offset: int = -1
    witness_sets: tuple[frozenset[str], ...] = ()
    _store_confirmed_at: float = -math.inf
    _witness_confirmed_at: dict[str, float] = attrs.field(factory=dict)

    def adopt_assignment(self, offset: int, *witness_sets: frozenset[str]) -> None:
        """Adopt a newer assignment and discard the confirmations of the older one."""
        if offset == self.offset:
            return
        self.offset = offset
        self.witness_sets = witness_sets
        self._store_confirmed_at = -math.inf
        self._witness_confirmed_at.clear()

    def confirm_by_store(self, offset: int, sent_at: float) -> None:
        """Record that the partition ended at ``offset`` by a read sent at ``sent_at``."""
        if offset == self.offset:
            self._store_confirmed_at = max(self._store_confirmed_at, sent_at)

    def confirm_by_witness(self, witness: str, offset: int, sent_at: float) -> None:
        """Record that a witness confirmed ``offset`` to a heartbeat sent at ``sent_at``."""
        if offset == self.offset and any(witness in names for names in self.witness_sets):
            previous = self._witness_confirmed_at.get(witness, -math.inf)
            self._witness_confirmed_at[witness] = max(previous, sent_at)

    def compute_end(self) -> float:
        """Return the instant until which keys may be granted."""
        by_witnesses = min(
            self._find_witness_majority(), self._store_confirmed_at + MAX_WITNESS_ONLY_S
        )
        return max(self._store_confirmed_at, by_witnesses) + LEASE_TERM_S

    def _find_witness_majority(self) -> float:
        return min(
            (
                find_majority_instant(names, self._witness_confirmed_at, newest_first=True)
                for names in self.witness_sets
            ),
            default=-math.inf,
        )


@attrs.define
class Takeover:
    """Determines when no gate can grant keys under an older assignment any more.

    Parameters
    ----------
    offset
        Offset after the record of the assignment that gives the keys to this gate.
    witness_sets
        Witnesses under which other gates may hold leases; a majority of each set must have the
        assignment.
    known_at
        Instant at which this gate received the assignment, which is not before the append.
    """

    offset: int
    witness_sets: tuple[frozenset[str], ...]
    known_at: float
    _informed_at: dict[str, float] = attrs.field(factory=dict)

    def record_witness(self, witness: str, offset: int, answered_at: float) -> None:
        """Record that a witness has this assignment, if its copy ends at ``offset`` or later."""
        if offset >= self.offset:
            self._informed_at.setdefault(witness, answered_at)

    def compute_ready(self) -> float:
        """Return the instant from which the keys may be granted."""
        informed = max(
            (find_majority_instant(names, self._informed_at) for names in self.witness_sets),
            default=-math.inf,
        )
        start = min(max(self.known_at, informed), self.known_at + MAX_WITNESS_ONLY_S)
        return start + LEASE_TERM_S * (1 + CLOCK_TOLERANCE) + TAKEOVER_MARGIN_S


def compute_hold_end(sent_at: float, hold_s: float) -> float:
    """Return the instant until which a grant may be in force.

    Parameters
    ----------
    sent_at
        Instant for which its duration was computed. It counts from its arrival, which is no later
        than ``TAKEOVER_MARGIN_S`` seconds after that.
    hold_s
        Duration of the grant in seconds.
    """
    return sent_at + TAKEOVER_MARGIN_S + hold_s * (1 + CLOCK_TOLERANCE)


def find_majority_instant(
    names: frozenset[str], instants: dict[str, float], newest_first: bool = False
) -> float:
    """Return the instant of the name that completes a majority.

    Names are counted from the earliest instant, or from the latest with ``newest_first``. Without a
    majority the result is infinity, or minus infinity with ``newest_first``.
    """
    needed = len(names) // 2 + 1
    reached = sorted((instants[name] for name in names if name in instants), reverse=newest_first)
    if len(reached) < needed:
        return -math.inf if newest_first else math.inf
    return reached[needed - 1]
