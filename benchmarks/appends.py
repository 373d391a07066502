"""Simulation of the log appends that follow the loss of a failure domain, in virtual time.

``python -m benchmarks.appends [MEMBERS ...]`` prints the table of docs/design/spreading.md. It
compares daemons that append their own records with one collector per failure domain that appends
the records of all its daemons, as `BroadcastPlan.appender` does in large sites.

The production code chooses the witnesses. The first living witness of each lost member appends the
loss. Each member that has lost a witness appends a change of witnesses once it has folded that
loss. The log accepts a fixed number of appends per second, in the order of arrival.
"""

from __future__ import annotations

import heapq
import random
import sys

import attrs
import numpy as np

from benchmarks.detection import LEASE_TIMING, SEED, Site, choose_all_witnesses, make_site
from persimmondock._domain.records import MemberRef
from persimmondock._domain.witnesses import WITNESSES
from persimmondock._tasks.log_follower import APPEND_INTERVAL_S, SHARED_APPEND_INTERVAL_S

MEMBERS = (15, 150, 1_500, 15_000)
LOG_APPENDS_PER_S = 300
# Time until an appended record has reached the members.
BROADCAST_DELAY_S = 0.02
# Time until a member has promises from its new witnesses.
PROMISE_DELAY_S = 0.4


@attrs.define
class AppendQueue:
    """Append queue of one daemon or collector.

    Parameters
    ----------
    min_interval_s
        Shortest time from the end of one append to the start of the next.
    free_at
        Earliest time of the next append.
    waiting
        Records that the next append contains.
    """

    min_interval_s: float
    free_at: float = 0.0
    waiting: list[int] = attrs.field(factory=list)


@attrs.define
class Log:
    """The log as a queue with a fixed service time."""

    free_at: float = 0.0
    appends: int = 0

    def append(self, now: float) -> float:
        """Return when an append that arrives at ``now`` is in the log."""
        self.free_at = max(now, self.free_at) + 1 / LOG_APPENDS_PER_S
        self.appends += 1
        return self.free_at


@attrs.define
class DomainLossSimulation:
    """Discrete-event simulation of the loss of one failure domain at time 0.

    The record of a loss is represented by the number of the lost member, that of a change of
    witnesses by -1 minus the number of the member that changes them. The append queue of a daemon
    has the daemon's number, that of a collector -1 minus the number of its failure domain.

    Parameters
    ----------
    collected
        Whether one collector per failure domain appends the records of all its daemons.
    events
        Heap of time, kind, number and record. With ``write`` the daemon of that number queues a
        record, with ``flush`` the append queue of that number appends its records, and with
        ``stands`` a record has been appended.
    loss_appended_at, change_appended_at
        When the loss or the change of witnesses of a member was in the log.
    holders
        Members for which a member is a witness.
    """

    site: Site
    witnesses: dict[int, tuple[int, ...]]
    collected: bool
    log: Log = attrs.field(factory=Log)
    append_queues: dict[int, AppendQueue] = attrs.field(factory=dict)
    events: list[tuple[float, str, int, int]] = attrs.field(factory=list)
    loss_appended_at: dict[int, float] = attrs.field(factory=dict)
    change_appended_at: dict[int, float] = attrs.field(factory=dict)
    holders: dict[int, list[int]] = attrs.field(factory=dict)

    def run(self) -> None:
        """Run until all records have been appended."""
        rng = random.Random(SEED)
        for holder, chosen in self.witnesses.items():
            for witness in chosen:
                self.holders.setdefault(witness, []).append(holder)
        for member in self.site.lost:
            renewal_age_s = rng.uniform(0, LEASE_TIMING.renew_interval_s)
            at = LEASE_TIMING.term_s + LEASE_TIMING.grace_s - renewal_age_s
            living_witness = next(
                (w for w in self.witnesses[member] if w not in self.site.lost), None
            )
            if living_witness is not None:
                heapq.heappush(self.events, (at, "write", living_witness, member))
        while self.events:
            self._handle_event(*heapq.heappop(self.events))

    def _handle_event(self, now: float, kind: str, number: int, record: int) -> None:
        match kind:
            case "write":
                self._queue_record(now, number, record)
            case "flush":
                self._flush(now, number)
            case "stands":
                self._handle_appended(now, record)

    def _queue_record(self, now: float, daemon: int, record: int) -> None:
        queue_number = self._find_queue_number(daemon)
        min_interval_s = SHARED_APPEND_INTERVAL_S if self.collected else APPEND_INTERVAL_S
        queue = self.append_queues.setdefault(queue_number, AppendQueue(min_interval_s))
        if not queue.waiting:
            heapq.heappush(self.events, (max(now, queue.free_at), "flush", queue_number, 0))
        queue.waiting.append(record)

    def _find_queue_number(self, daemon: int) -> int:
        return -1 - self.site.find_domain(daemon) if self.collected else daemon

    def _flush(self, now: float, queue_number: int) -> None:
        queue = self.append_queues[queue_number]
        at = self.log.append(now)
        queue.free_at = at + queue.min_interval_s
        for record in queue.waiting:
            heapq.heappush(self.events, (at, "stands", queue_number, record))
        queue.waiting = []

    def _handle_appended(self, now: float, record: int) -> None:
        """Note that a record is in the log; a loss lets its holders change their witnesses."""
        if record < 0:
            self.change_appended_at[-1 - record] = now
            return
        self.loss_appended_at[record] = now
        for holder in self.holders.get(record, ()):
            if holder not in self.site.lost:
                at = now + BROADCAST_DELAY_S + PROMISE_DELAY_S
                heapq.heappush(self.events, (at, "write", holder, -1 - holder))


def simulate_domain_loss(members: int, collected: bool) -> DomainLossSimulation:
    """Return the finished simulation of one case."""
    site = make_site(members, True, False, random.Random(SEED))
    refs = [MemberRef(f"vm-{number}", number) for number in range(members)]
    run = DomainLossSimulation(site, choose_all_witnesses(site, refs), collected)
    run.run()
    assert len(run.loss_appended_at) == len(site.lost)
    return run


class Appends:
    """Number of appends after the loss of a failure domain."""

    params = (MEMBERS, (False, True))
    param_names = ("members", "collected")

    def track_appends(self, members: int, collected: bool) -> int:
        """Return the number of appends."""
        return simulate_domain_loss(members, collected).log.appends


def main() -> None:
    """Print the table."""
    print(
        f"log takes {LOG_APPENDS_PER_S} appends a second; {WITNESSES} witnesses\n"
        "members | appended by | losses | last loss stands s | changes of witnesses | "
        "last change stands s | appends"
    )
    for members in [int(size) for size in sys.argv[1:]] or MEMBERS:
        for collected in (False, True):
            run = simulate_domain_loss(members, collected)
            changed = max(run.change_appended_at.values(), default=float("nan"))
            print(
                f"{members} | {'collector' if collected else 'each writer'} | "
                f"{len(run.loss_appended_at)} | "
                f"{np.max(list(run.loss_appended_at.values())):.2f} | "
                f"{len(run.change_appended_at)} | "
                f"{changed:.2f} | {run.log.appends}"
            )


if __name__ == "__main__":
    main()
