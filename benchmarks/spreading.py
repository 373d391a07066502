"""Simulation of methods of broadcasting one log record to all members, in virtual time.

``python -m benchmarks.spreading [MEMBERS ...]`` prints the table of docs/design/spreading.md. The
members are in 27 failure domains, or in 3 if there are fewer than 1,000 members. A dead member does
not forward records, but the others still send to it, because the view does not show its loss yet. A
member that missed the record learns of it when it next renews its lease with a witness that has it.
"""

from __future__ import annotations

import heapq
import random
import sys

import attrs
import numpy as np

from persimmondock._domain.spreading import READERS_PER_DOMAIN, BroadcastTrees

SEED = 5
MEMBERS = (15, 150, 1_500, 15_000)
DEAD_SHARES = (0.0, 0.01, 0.1)
RECORD_BYTES = 350
ASK_BYTES = 120
LOG_READ_LATENCY_S = 0.005
HOP_LATENCY_S = 0.001
# A member sends its messages one after another.
SEND_TIME_S = 0.0002
RENEW_INTERVAL_S = 0.3
WITNESSES = 3


@attrs.frozen
class EveryoneReads:
    """Every member reads the log.

    Parameters
    ----------
    readers
        Upper limit on the number of members that read the log, here unlimited.
    """

    readers: int = 1 << 30

    def list_targets(self, position: int, count: int) -> list[int]:
        """Return no positions, because records are not forwarded."""
        return []


@attrs.frozen
class PowersOfTwo:
    """Forward-only broadcast to positions at distances of powers of two.

    The method is that of Rosso and Francesquini, section 3.
    """

    readers: int = READERS_PER_DOMAIN

    def list_targets(self, position: int, count: int) -> list[int]:
        """Return the positions one, two, four ... steps ahead on the ring."""
        steps = range((count - 1).bit_length())
        return [(position + (1 << step)) % count for step in steps]


METHODS = {
    "everyone reads": EveryoneReads(),
    "one tree of 4": BroadcastTrees(tree_count=1),
    "one tree of 8": BroadcastTrees(tree_count=1, fan_out=8),
    "two trees of 2": BroadcastTrees(fan_out=2),
    "two trees of 4": BroadcastTrees(fan_out=4),
    "two trees of 8": BroadcastTrees(fan_out=8),
    "powers of two": PowersOfTwo(),
}


@attrs.define
class Outcome:
    """Result of broadcasting one record.

    Parameters
    ----------
    arrived_at, hops, sent
        Arrival time in seconds, hops from a reader of the log and messages sent, for each living
        member.
    repair_requests
        Number of members that asked a witness for the record.
    log_reads
        Number of members that read the log.
    """

    arrived_at: list[float]
    hops: list[int]
    sent: list[int]
    repair_requests: int
    log_reads: int


@attrs.define
class DomainSimulation:
    """Discrete-event simulation of broadcasting one record in one failure domain.

    Parameters
    ----------
    alive
        Whether the member at each position is alive.
    queue
        Heap of arrival time, position and hops.
    """

    method: EveryoneReads | BroadcastTrees | PowersOfTwo
    alive: list[bool]
    random: random.Random
    arrived_at: dict[int, float] = attrs.field(factory=dict)
    hops: dict[int, int] = attrs.field(factory=dict)
    sent: dict[int, int] = attrs.field(factory=dict)
    queue: list[tuple[float, int, int]] = attrs.field(factory=list)

    def run(self) -> int:
        """Broadcast the record; return how many members asked a witness for it."""
        for position in range(min(self.method.readers, len(self.alive))):
            wait = self.random.uniform(0.5, 1.5) * LOG_READ_LATENCY_S
            heapq.heappush(self.queue, (wait, position, 0))
        self._deliver()
        repair_requests = 0
        while missing := self._list_missing():
            repair_requests += 1
            self._repair(missing)
            self._deliver()
        return repair_requests

    def _list_missing(self) -> list[int]:
        return [p for p, alive in enumerate(self.alive) if alive and p not in self.arrived_at]

    def _deliver(self) -> None:
        while self.queue:
            now, position, hop = heapq.heappop(self.queue)
            if not self.alive[position] or position in self.arrived_at:
                continue
            self.arrived_at[position], self.hops[position] = now, hop
            targets = self.method.list_targets(position, len(self.alive))
            self.sent[position] = self.sent.get(position, 0) + len(targets)
            for number, target in enumerate(targets, start=1):
                latency_s = self.random.uniform(0.5, 1.5) * HOP_LATENCY_S
                heapq.heappush(
                    self.queue, (now + number * SEND_TIME_S + latency_s, target, hop + 1)
                )

    def _repair(self, missing: list[int]) -> None:
        """Let the member that first learns of the missing record ask a witness for it."""
        holders = list(self.arrived_at)
        first = min((self._draw_repair_time(holders), position) for position in missing)
        now, position = first
        self.sent[position] = self.sent.get(position, 0) + 1
        heapq.heappush(self.queue, (now, position, 1 + max(self.hops.values())))

    def _draw_repair_time(self, holders: list[int]) -> float:
        at = min(self.arrived_at[self.random.choice(holders)] for _ in range(WITNESSES))
        return at + self.random.uniform(0, RENEW_INTERVAL_S) + 2 * HOP_LATENCY_S


def run_method(
    method: EveryoneReads | BroadcastTrees | PowersOfTwo, members: int, dead: float
) -> Outcome:
    """Broadcast one record in each failure domain independently."""
    rng = random.Random(SEED)
    domains = 3 if members < 1_000 else 27
    total = Outcome([], [], [], 0, 0)
    for domain in range(domains):
        count = members // domains + (domain < members % domains)
        alive = [rng.random() >= dead for _ in range(count)]
        # Without a living reader the record would not enter the failure domain.
        if not any(alive[:READERS_PER_DOMAIN]):
            alive[0] = True
        simulation = DomainSimulation(method, alive, rng)
        total.repair_requests += simulation.run()
        total.log_reads += min(method.readers, count)
        for position in simulation.arrived_at:
            total.arrived_at.append(simulation.arrived_at[position])
            total.hops.append(simulation.hops[position])
            total.sent.append(simulation.sent.get(position, 0))
    return total


class Spreading:
    """Delay of one record, by method, number of members and share of dead members."""

    params = (list(METHODS), MEMBERS, DEAD_SHARES)
    param_names = ("method", "members", "dead")

    def track_p99_ms(self, method: str, members: int, dead: float) -> float:
        """Return the 99th percentile of the delay, in milliseconds."""
        return float(np.percentile(run_method(METHODS[method], members, dead).arrived_at, 99)) * 1e3


def main() -> None:
    """Print the table."""
    head = ("members", "dead", "method", "p50 ms", "p99 ms", "max ms", "hops", "asked")
    tail = ("msg/daemon", "max msg", "bytes/daemon", "log reads")
    print(" | ".join((*head, *tail)))
    sizes = [int(size) for size in sys.argv[1:]] or MEMBERS
    for members in sizes:
        for dead in DEAD_SHARES:
            for name, method in METHODS.items():
                outcome = run_method(method, members, dead)
                times = np.percentile(outcome.arrived_at, (50, 99, 100)) * 1e3
                mean = float(np.mean(outcome.sent))
                print(
                    f"{members} | {dead:.0%} | {name} | {times[0]:.1f} | {times[1]:.1f} | "
                    f"{times[2]:.1f} | {max(outcome.hops)} | {outcome.repair_requests} | "
                    f"{mean:.2f} | {max(outcome.sent)} | {mean * RECORD_BYTES:.0f} | "
                    f"{outcome.log_reads}"
                )


if __name__ == "__main__":
    main()
