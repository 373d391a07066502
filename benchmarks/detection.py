"""Simulation of methods of detecting lost members, in virtual time.

``python -m benchmarks.detection [MEMBERS ...]`` prints the table of docs/design/spreading.md. There
are two cases: a whole failure domain is lost at once; or one member in a hundred is silent for up
to ``MAX_PAUSE_S`` every ``PAUSE_INTERVAL_S``, and none is lost.

The lease method runs the production code, ``WitnessState`` and ``choose_witnesses``. The ring
methods follow Rosso and Francesquini, section 3: each member, the emitter, sends heartbeats to the
next one on the ring, its observer. An observer that declares its emitter lost goes on to observe
the emitter's predecessor.
"""

from __future__ import annotations

import heapq
import random
import sys
from collections import defaultdict

import attrs
import numpy as np

from benchmarks.lease_traffic import compute_mean_frame_bytes
from persimmondock._domain.leases import LeaseTiming, WitnessState, is_majority
from persimmondock._domain.records import MemberRef
from persimmondock._domain.witnesses import WITNESSES, choose_witnesses
from persimmondock.tests.builders import make_member

SEED = 7
MEMBERS = (15, 150, 1_500, 15_000)
LEASE_TIMING = LeaseTiming()
DURATION_S = 12.0
LOST_AT_S = 3.0
STEP_S = 0.1
STRAGGLER_SHARE = 0.01
PAUSE_INTERVAL_S = 4.0
MAX_PAUSE_S = 3.0
MAX_EXACT_MEMBERS = 1_500


@attrs.define
class Site:
    """A site and its faults.

    Parameters
    ----------
    count, domains
        Number of members and of failure domains.
    lost
        Members that are lost at ``LOST_AT_S``.
    pauses
        Start and end of the intervals in which a member sends nothing, in seconds.
    """

    count: int
    domains: int
    lost: set[int]
    pauses: dict[int, list[tuple[float, float]]]

    def is_silent(self, member: int, now: float) -> bool:
        """Return whether a member sends nothing at ``now``."""
        if member in self.lost and now >= LOST_AT_S:
            return True
        return any(start <= now < end for start, end in self.pauses.get(member, ()))

    def find_domain(self, member: int) -> int:
        """Return a member's failure domain; each consists of consecutive numbers."""
        return member * self.domains // self.count


def make_site(count: int, lose_domain: bool, stragglers: bool, rng: random.Random) -> Site:
    """Return a site with the faults of one case."""
    site = Site(count, 3 if count < 1_000 else 27, set(), {})
    if lose_domain:
        site.lost = {m for m in range(count) if site.find_domain(m) == 1}
    if stragglers:
        for member in rng.sample(range(count), max(1, int(count * STRAGGLER_SHARE))):
            starts = np.arange(rng.uniform(0, PAUSE_INTERVAL_S), DURATION_S, PAUSE_INTERVAL_S)
            site.pauses[member] = [(s, s + rng.uniform(0, MAX_PAUSE_S)) for s in starts]
    return site


@attrs.define
class Outcome:
    """Result of a detection method.

    Parameters
    ----------
    detected
        Seconds from the loss of a member until it was declared lost, by member.
    false_alarms
        Declarations of members that were not lost.
    readmitted
        Re-admissions of members that had been declared lost.
    messages
        Messages sent by all members.
    """

    detected: dict[int, float] = attrs.field(factory=dict)
    false_alarms: int = 0
    readmitted: int = 0
    messages: int = 0


def run_ring(site: Site, shuffled: bool, readmit: bool, rng: random.Random) -> Outcome:
    """Simulate a heartbeat ring with the period and the timeout of the leases.

    Unless ``shuffled``, adjacent members of the ring are mostly in the same failure domain. With
    ``readmit``, a member that was declared lost observes again as soon as it sends.
    """
    ring = list(range(site.count))
    if shuffled:
        rng.shuffle(ring)
    timeout = LEASE_TIMING.term_s + LEASE_TIMING.grace_s
    # The emitter that each member observes.
    previous = {member: ring[i - 1] for i, member in enumerate(ring)}
    last_heard_at = dict.fromkeys(ring, 0.0)
    out = Outcome()
    declared: set[int] = set()
    for step in range(int(DURATION_S / STEP_S)):
        now = step * STEP_S
        _deliver_heartbeats(site, previous, last_heard_at, now, out)
        for observer in ring:
            if observer in declared or site.is_silent(observer, now):
                continue
            emitter = previous[observer]
            if emitter == observer or now - last_heard_at[observer] < timeout:
                continue
            _declare_lost(site, emitter, now, out, declared)
            previous[observer] = previous[emitter]
            last_heard_at[observer] = now
        if readmit:
            _readmit(site, declared, now, out)
    return out


def _deliver_heartbeats(
    site: Site, previous: dict[int, int], last_heard_at: dict[int, float], now: float, out: Outcome
) -> None:
    period_steps = round(LEASE_TIMING.renew_interval_s / STEP_S)
    if round(now / STEP_S) % period_steps:
        return
    for observer, emitter in previous.items():
        if not site.is_silent(emitter, now):
            last_heard_at[observer] = now
            out.messages += 1


def _declare_lost(site: Site, member: int, now: float, out: Outcome, declared: set[int]) -> None:
    declared.add(member)
    if member in site.lost and now >= LOST_AT_S:
        out.detected[member] = now - LOST_AT_S
    else:
        out.false_alarms += 1


def _readmit(site: Site, declared: set[int], now: float, out: Outcome) -> None:
    """Re-admit members that send again."""
    for member in [m for m in declared if m not in site.lost and not site.is_silent(m, now)]:
        declared.discard(member)
        out.readmitted += 1
        out.messages += 1


def run_leases(site: Site, rng: random.Random) -> Outcome:
    """Simulate the leases with the production code of the witnesses."""
    refs = [MemberRef(f"vm-{number}", number) for number in range(site.count)]
    witnesses = choose_all_witnesses(site, refs)
    witness_states = {number: WitnessState(LEASE_TIMING) for number in range(site.count)}
    watched: dict[int, list[int]] = defaultdict(list)
    for holder, chosen in witnesses.items():
        for witness in chosen:
            witness_states[witness].watch(refs[holder], 0.0)
            watched[witness].append(holder)
    out = Outcome()
    votes: dict[int, int] = defaultdict(int)
    renewals = [
        (rng.uniform(0, LEASE_TIMING.renew_interval_s), holder) for holder in range(site.count)
    ]
    heapq.heapify(renewals)
    for step in range(int(DURATION_S / STEP_S)):
        now = step * STEP_S
        _renew_leases(site, refs, witnesses, witness_states, renewals, now, out)
        for witness, holders in watched.items():
            if site.is_silent(witness, now):
                continue
            for holder in holders:
                if witness_states[witness].has_lapsed(refs[holder], now):
                    witness_states[witness].vote(refs[holder])
                    votes[holder] += 1
                    # The vote is sent to the other witnesses.
                    out.messages += WITNESSES - 1
                    size = len(witnesses[holder])
                    if is_majority(votes[holder], size) and not is_majority(
                        votes[holder] - 1, size
                    ):
                        _declare_lost(site, holder, now, out, set())
    return out


def _renew_leases(
    site: Site,
    refs: list[MemberRef],
    witnesses: dict[int, tuple[int, ...]],
    witness_states: dict[int, WitnessState],
    renewals: list[tuple[float, int]],
    now: float,
    out: Outcome,
) -> None:
    while renewals[0][0] <= now:
        at, holder = heapq.heappop(renewals)
        heapq.heappush(renewals, (at + LEASE_TIMING.renew_interval_s, holder))
        if site.is_silent(holder, at):
            continue
        for witness in witnesses[holder]:
            out.messages += 1
            if not site.is_silent(witness, at) and witness_states[witness].renew(refs[holder], at):
                out.messages += 1


def choose_all_witnesses(site: Site, refs: list[MemberRef]) -> dict[int, tuple[int, ...]]:
    """Return the numbers of each member's witnesses, by the member's number.

    The incarnation of each reference must be the member's number. In sites of more than
    ``MAX_EXACT_MEMBERS``, each member chooses among a sample of 200.
    """
    members = [
        make_member(ref, f"domain-{site.find_domain(number)}") for number, ref in enumerate(refs)
    ]
    rng = random.Random(SEED)
    chosen = {}
    for number, member in enumerate(members):
        others = members if site.count <= MAX_EXACT_MEMBERS else rng.sample(members, 200)
        others = [other for other in others if other is not member]
        picked = choose_witnesses(member.ref.daemon, member.failure_domain, others)
        chosen[number] = tuple(witness.incarnation for witness in picked)
    return chosen


METHODS = {
    "ring": lambda site, rng: run_ring(site, False, False, rng),
    "ring, shuffled": lambda site, rng: run_ring(site, True, False, rng),
    "ring, shuffled, re-admission": lambda site, rng: run_ring(site, True, True, rng),
    "leases, 3 witnesses": run_leases,
}
CASES = {"failure domain lost": (True, False), "stragglers": (False, True)}


def run_method(method: str, members: int, case: str) -> tuple[Site, Outcome]:
    """Return the site and the result of one method in one case."""
    site = make_site(members, *CASES[case], random.Random(SEED))
    return site, METHODS[method](site, random.Random(SEED))


class Detection:
    """Message rate of a detection method, by number of members and case."""

    params = (list(METHODS), MEMBERS, list(CASES))
    param_names = ("way", "members", "case")

    def track_messages(self, method: str, members: int, case: str) -> float:
        """Return the messages that a member sends per second."""
        return run_method(method, members, case)[1].messages / members / DURATION_S


def main() -> None:
    """Print the table."""
    print(
        "members | case | way | found | first s | all s | false alarms | taken back | "
        "msg/daemon/s | bytes/daemon/s"
    )
    message_bytes = compute_mean_frame_bytes()
    sizes = [int(size) for size in sys.argv[1:]] or MEMBERS
    for members in sizes:
        for case in CASES:
            for method in METHODS:
                site, out = run_method(method, members, case)
                times = sorted(out.detected.values()) or [float("nan")]
                rate = out.messages / members / DURATION_S
                print(
                    f"{members} | {case} | {method} | {len(out.detected)} of {len(site.lost)} | "
                    f"{times[0]:.1f} | {times[-1]:.1f} | {out.false_alarms} | {out.readmitted} | "
                    f"{rate:.2f} | {rate * message_bytes:.0f}"
                )


if __name__ == "__main__":
    main()
