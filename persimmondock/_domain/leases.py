"""Leases on membership: the holder's side and the witnesses' side.

A member may serve only while a majority of its witnesses have promised, for a term, not to vote
for its loss. The holder counts the term from the moment it sent the request, a witness from the
moment it received it, so a witness's promise always outlasts the holder's lease. A witness that
has voted for a member's loss never promises anything to that incarnation again. All instants are
monotonic seconds of the local process.
"""

from __future__ import annotations

import attrs

from persimmondock._domain.records import MemberRef


@attrs.frozen
class LeaseTiming:
    """Durations of the lease protocol, in seconds.

    Parameters
    ----------
    term_s
        Length of one promise.
    renew_interval_s
        Interval at which the holder asks for promises.
    grace_s
        Time that a witness waits after its promise has ended before it votes.
    max_staleness_s
        Time after which a witness refuses a holder that has not folded a record the witness has.
    """

    term_s: float = 1.5
    renew_interval_s: float = 0.5
    grace_s: float = 0.2
    max_staleness_s: float = 2.0


def is_majority(count: int, size: int) -> bool:
    """Return whether ``count`` of ``size`` witnesses are more than half."""
    return 2 * count > size


@attrs.define
class WitnessSet:
    """Promises that the holder has from one set of witnesses.

    Parameters
    ----------
    version
        Offset of the record that named the witnesses, or -1 while they are only proposed.
    deadlines
        Instant at which each witness's promise ends.
    unwitnessed_until
        Instant until which a member without witnesses may serve; the member extends it itself.
    """

    version: int
    witnesses: tuple[MemberRef, ...]
    deadlines: dict[MemberRef, float] = attrs.field(factory=dict)
    unwitnessed_until: float = 0.0

    def compute_deadline(self) -> float:
        """Return the instant until which a majority has promised."""
        if not self.witnesses:
            return self.unwitnessed_until
        ends = sorted((self.deadlines.get(w, 0.0) for w in self.witnesses), reverse=True)
        return ends[len(self.witnesses) // 2]


@attrs.define
class HeldLease:
    """The holder's side of a lease.

    While a change of witnesses is under way, the holder needs a majority of each set.

    Parameters
    ----------
    sets
        Sets that must each have a majority of promises.
    prospective
        Set that is collecting promises before the change to it is written.
    """

    member: MemberRef
    timing: LeaseTiming
    sets: list[WitnessSet]
    prospective: WitnessSet | None = None

    def list_witnesses(self) -> list[MemberRef]:
        """Return all witnesses to ask, each once."""
        sets = [*self.sets, *([self.prospective] if self.prospective else [])]
        return list(dict.fromkeys(w for witness_set in sets for w in witness_set.witnesses))

    def record_grant(self, witness: MemberRef, sent_at: float) -> None:
        """Count a promise from the moment that its request was sent."""
        sets = [*self.sets, *([self.prospective] if self.prospective else [])]
        for witness_set in sets:
            if witness in witness_set.witnesses:
                previous = witness_set.deadlines.get(witness, 0.0)
                witness_set.deadlines[witness] = max(previous, sent_at + self.timing.term_s)

    def renew_unwitnessed(self, now: float) -> None:
        """Extend the sets that have no witnesses by a term.

        All requests of this incarnation end within the term, so the next incarnation knows how long
        to wait.
        """
        sets = [*self.sets, *([self.prospective] if self.prospective else [])]
        for witness_set in sets:
            if not witness_set.witnesses:
                witness_set.unwitnessed_until = now + self.timing.term_s

    def compute_deadline(self) -> float:
        """Return the instant until which the member may serve."""
        return min(witness_set.compute_deadline() for witness_set in self.sets)

    def is_held(self, now: float) -> bool:
        """Return whether the member may serve at ``now``."""
        return now < self.compute_deadline()


@attrs.define
class Promise:
    """A witness's promise to one holder.

    Parameters
    ----------
    until
        Instant before which the witness does not vote for the holder's loss.
    voted
        Whether the witness has voted; it then never promises again.
    """

    until: float
    voted: bool = False


@attrs.define
class WitnessState:
    """The witness's side of leases: its promises to all its holders.

    A promise covers votes under any version of the holder's witnesses, so a holder may collect
    promises from a witness before the log names it.
    """

    timing: LeaseTiming
    promises: dict[MemberRef, Promise] = attrs.field(factory=dict)

    def watch(self, holder: MemberRef, now: float) -> None:
        """Start to witness for a holder, with a promise of one term if there is none yet."""
        self.promises.setdefault(holder, Promise(now + self.timing.term_s))

    def forget(self, holder: MemberRef) -> None:
        """Stop witnessing for a holder that is no longer a member."""
        self.promises.pop(holder, None)

    def renew(self, holder: MemberRef, now: float) -> bool:
        """Promise the holder another term; return False after a vote for its loss."""
        promise = self.promises.setdefault(holder, Promise(now))
        if promise.voted:
            return False
        promise.until = max(promise.until, now + self.timing.term_s)
        return True

    def extend(self, now: float) -> None:
        """Extend every promise to at least one term from now."""
        for promise in self.promises.values():
            promise.until = max(promise.until, now + self.timing.term_s)

    def has_lapsed(self, holder: MemberRef, now: float) -> bool:
        """Return whether the promise ended at least ``grace_s`` ago and no vote was given."""
        promise = self.promises.get(holder)
        if promise is None or promise.voted:
            return False
        return now >= promise.until + self.timing.grace_s

    def has_voted(self, holder: MemberRef) -> bool:
        """Return whether a vote was given."""
        promise = self.promises.get(holder)
        return promise is not None and promise.voted

    def vote(self, holder: MemberRef) -> None:
        """Vote irrevocably for a holder's loss."""
        self.promises[holder].voted = True
