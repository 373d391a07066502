"""The right of a gate to grant keys to the backend server beside it.

A gate may grant what the newest assignment gives it, as long as it can show that no newer one is in
force. Two things show it, each counted from the instant at which the question was *sent*:

* the store answered a read, of this daemon or of one that passes it on, and the partition ended
  where this gate's copy ends;
* a majority of the witnesses that the assignment names, each with a copy that ends at the same
  offset, answered a heartbeat. A witness that has a newer assignment never again confirms an
  older one. Without an answer of the store this counts for ``MAX_WITNESS_ONLY_S`` only.

The taker of keys waits until both have run out for everyone who does not know its assignment: one
term after it learnt of the assignment, and one term after a majority of the witnesses have
confirmed to it that they have the assignment; or, where no majority answers, ``MAX_WITNESS_ONLY_S``
and a term. A backend server's clock may run slow, so the holder's grants end with the lease and the
taker adds ``CLOCK_TOLERANCE`` of the term.

Instants are seconds of a clock that counts suspended time.
"""

from __future__ import annotations

import math

import attrs

LEASE_TERM_S = 3.0  # longer terms delay takeover; shorter ones lapse while the store is slow
MAX_WITNESS_ONLY_S = 20.0  # bridges the outages of the store that the sites name, 12 s at most
CLOCK_TOLERANCE = 0.02  # a backend server's clock may run 2% slow
TAKEOVER_MARGIN_S = 0.15  # local delivery of a grant plus one turn of a busy event loop


@attrs.define
class RangeLease:
    """Evidence that one assignment is the newest.

    Parameters
    ----------
    offset
        Offset after the newest record of the partition, as this gate knows it.
    """

    offset: int = -1
    witnesses: frozenset[str] = frozenset()
    _store_confirmed_at: float = -math.inf
    _witness_confirmed_at: dict[str, float] = attrs.field(factory=dict)

    def adopt_assignment(self, offset: int, witnesses: frozenset[str]) -> None:
        """Go over to a newer assignment; what confirmed an older one proves nothing for it."""
        if offset == self.offset:
            return
        self.offset = offset
        self.witnesses = witnesses
        self._store_confirmed_at = -math.inf
        self._witness_confirmed_at.clear()

    def confirm_by_store(self, offset: int, asked_at: float) -> None:
        """Note that the store showed the partition to end at ``offset``."""
        if offset == self.offset:
            self._store_confirmed_at = max(self._store_confirmed_at, asked_at)

    def confirm_by_witness(self, witness: str, offset: int, asked_at: float) -> None:
        """Note that a witness has the same assignment and no newer one."""
        if offset == self.offset and witness in self.witnesses:
            previous = self._witness_confirmed_at.get(witness, -math.inf)
            self._witness_confirmed_at[witness] = max(previous, asked_at)

    def compute_end(self) -> float:
        """Return the instant until which keys may be granted."""
        by_witnesses = min(
            self._find_witness_majority(), self._store_confirmed_at + MAX_WITNESS_ONLY_S
        )
        return max(self._store_confirmed_at, by_witnesses) + LEASE_TERM_S

    def _find_witness_majority(self) -> float:
        return find_majority_instant(self.witnesses, self._witness_confirmed_at, newest_first=True)


@attrs.define
class Takeover:
    """Waits until nobody can grant keys by an older assignment.

    Parameters
    ----------
    offset
        Offset after the record of the assignment that gives the keys to this gate.
    witness_sets
        Witnesses of the assignments before; a majority of each set has to be informed.
    known_at
        Instant at which this gate learnt of the assignment; the append was not later.
    """

    offset: int
    witness_sets: tuple[frozenset[str], ...]
    known_at: float
    _informed_at: dict[str, float] = attrs.field(factory=dict)

    def note_witness(self, witness: str, offset: int, answered_at: float) -> None:
        """Note that a witness has this assignment or a newer one."""
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


def find_majority_instant(
    names: frozenset[str], instants: dict[str, float], newest_first: bool = False
) -> float:
    """Return the instant at which a majority of names is reached.

    Without a majority this is minus infinity when counted from the newest, else infinity.
    """
    needed = len(names) // 2 + 1
    reached = sorted((instants[name] for name in names if name in instants), reverse=newest_first)
    if len(reached) < needed:
        return -math.inf if newest_first else math.inf
    return reached[needed - 1]
