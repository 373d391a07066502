"""Admission at a front while the backend servers of a service are short of room.

A request is refused without being sent if no gate is expected to serve it in time, but never so
often that gates get less than ``SENT_PER_TAKEN`` times what they take. The bound holds for each
priority by itself and rests on outcomes seen here only, so late, lost or false reports of gates
cannot empty their queues, and what gates take shows when the shortage ends.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, TypeAlias

import attrs

from persimmondock._domain.gate_choice import GateCandidate
from persimmondock._domain.gate_queue import (
    MAX_RETRY_AFTER_MS,
    MIN_RETRY_AFTER_MS,
    ServiceTimes,
    is_worth_queueing,
)

if TYPE_CHECKING:
    import random

    from persimmondock._domain.forwarding import ForwardedRequest

SENT_PER_TAKEN = 1.3
MIN_EXCESS = 2.0  # requests; fewer refusals say nothing about a service
MEMORY_S = 1.5  # decay time of what was asked and taken
MAX_REPORT_AGE_S = 1.0  # gates get heartbeats twice a second while requests are there
MAX_TALLIES = 2_000  # owners and priorities; above, those without requests are dropped
FORGOTTEN_S = 10.0
REFUSAL_HOLD_S = 0.2  # gates judge by their queue, which lasts for a few service times


@attrs.frozen
class Send:
    """The request is to be sent to one of the candidates.

    Parameters
    ----------
    final
        Whether the refusal of that gate is the last word.
    at_random
        Whether each one is as good as the others.
    """

    candidates: list[GateCandidate]
    final: bool = False
    at_random: bool = False


@attrs.frozen
class Refuse:
    """The request is to be refused without being sent."""

    retry_after_ms: int


Decision: TypeAlias = Send | Refuse


@attrs.define
class _Tally:
    """Decaying numbers of requests of one priority.

    Parameters
    ----------
    asked, taken, refused_here
        Requests of callers, those that no gate refused for lack of room, and those not sent.
    """

    asked: float = 0.0
    taken: float = 0.0
    refused_here: float = 0.0
    updated_at: float = -math.inf

    def decay(self, now: float) -> None:
        """Let the numbers decay until an instant."""
        if now > self.updated_at:
            kept = math.exp((self.updated_at - now) / MEMORY_S)
            self.asked *= kept
            self.taken *= kept
            self.refused_here *= kept
            self.updated_at = now

    def compute_refused_share(self) -> float:
        """Return the share of requests that may be refused without being sent."""
        excess = self.asked - SENT_PER_TAKEN * self.taken - MIN_EXCESS
        return max(0.0, excess / (self.asked + 1.0))

    def compute_stands_for(self) -> float:
        """Return the number of requests that callers made for each one that is sent."""
        return (self.asked + 1.0) / (self.asked - self.refused_here + 1.0)


@attrs.define
class ServiceRoom:
    """What one front knows of the room at the gates of one service.

    Requests for keys are counted by the gate that owns the key, others together.

    Parameters
    ----------
    service_times
        Times until answers of gates with a free slot.
    """

    service_times: ServiceTimes = attrs.field(factory=ServiceTimes)
    _tallies: dict[tuple[str, int], _Tally] = attrs.field(factory=dict)
    _refused_until: dict[str, tuple[float, int]] = attrs.field(factory=dict)

    def decide(
        self,
        candidates: list[GateCandidate],
        request: ForwardedRequest,
        now: float,
        rng: random.Random,
        owner: str = "",
    ) -> Decision:
        """Return to which gates a request may be sent, or that it is refused.

        Parameters
        ----------
        candidates
            The gates that accept work; at least one.
        owner
            The only gate that can serve the request, or empty if each one can.
        """
        tally = self._find_tally(owner, request.priority, now)
        refused_share = tally.compute_refused_share()
        if refused_share == 0.0:
            return Send(candidates)
        usable = [gate for gate in candidates if self._may_have_room(gate, request, now)]
        if any(is_known(gate, now) for gate in usable):
            return Send(usable)
        if rng.random() < refused_share:
            wait_s = min(estimate_wait(gate, now) for gate in candidates)
            returns = (tally.asked + 1.0) / (tally.taken + 1.0)
            return Refuse(_spread_retry_after_ms(wait_s * returns, rng))
        # Reports of full gates may be false, so those with the shortest queues have no preference.
        return Send(usable or candidates, final=True, at_random=not usable)

    def record_sent(self, priority: int, now: float, owner: str = "") -> None:
        """Count a request that is sent; it counts as taken until gates refuse it."""
        tally = self._find_tally(owner, priority, now)
        tally.asked += 1.0
        tally.taken += 1.0

    def record_refused_here(self, priority: int, now: float, owner: str = "") -> None:
        """Count a request that is refused without being sent."""
        tally = self._find_tally(owner, priority, now)
        tally.asked += 1.0
        tally.refused_here += 1.0

    def record_not_taken(self, priority: int, now: float, owner: str = "") -> None:
        """Count a request that was sent as one that no gate had room for."""
        tally = self._find_tally(owner, priority, now)
        tally.taken = max(0.0, tally.taken - 1.0)

    def record_refusal(self, node: str, priority: int, now: float) -> None:
        """Remember that a gate had no room, whatever it reports."""
        expired = [known for known, (until, _) in self._refused_until.items() if until <= now]
        for known in expired:
            del self._refused_until[known]
        self._refused_until[node] = (now + REFUSAL_HOLD_S, priority)

    def compute_stands_for(self, priority: int, now: float, owner: str = "") -> float:
        """Return the number of requests that callers made for each one that is sent."""
        return self._find_tally(owner, priority, now).compute_stands_for()

    def compute_sent_share(self, priority: int, now: float, owner: str = "") -> float:
        """Return the share of requests that is sent even if no gate is expected to take them."""
        return 1.0 - self._find_tally(owner, priority, now).compute_refused_share()

    def compute_lowest_sent_share(self, now: float) -> float:
        """Return the smallest of these shares of all priorities and owners."""
        shares = [self.compute_sent_share(p, now, owner) for owner, p in list(self._tallies)]
        return min(shares, default=1.0)

    def _find_tally(self, owner: str, priority: int, now: float) -> _Tally:
        if len(self._tallies) > MAX_TALLIES:
            forgotten = now - FORGOTTEN_S
            self._tallies = {k: t for k, t in self._tallies.items() if t.updated_at > forgotten}
        tally = self._tallies.setdefault((owner, priority), _Tally())
        tally.decay(now)
        return tally

    def _may_have_room(self, gate: GateCandidate, request: ForwardedRequest, now: float) -> bool:
        """Return whether neither a recent report nor a recent refusal says that a gate is full."""
        until, refused_priority = self._refused_until.get(gate.node, (-math.inf, 0))
        if now < until and request.priority >= refused_priority:
            return False
        return not is_known(gate, now) or self._is_in_time(gate, request, now)

    def _is_in_time(self, gate: GateCandidate, request: ForwardedRequest, now: float) -> bool:
        wait_s = estimate_wait(gate, now)
        return wait_s == 0.0 or is_worth_queueing(
            wait_s,
            self.service_times.estimate_service_s(request.route),
            now,
            request.objective_at - self.service_times.estimate_excess_s(request.route),
            request.deadline,
            request.key >= 0,
        )


def is_known(candidate: GateCandidate, now: float) -> bool:
    """Return whether the report of a gate is recent enough to judge its queue."""
    return now - candidate.reported_at <= MAX_REPORT_AGE_S


def estimate_wait(candidate: GateCandidate, now: float) -> float:
    """Return the expected time in the queue of a gate, which drains after its report, in s."""
    slots = max(1, candidate.slots)
    queued = max(0, candidate.load - candidate.behind + 1 - slots)
    age_s = max(0.0, now - candidate.reported_at)
    return max(0.0, queued * candidate.service_s / slots - age_s)


def _spread_retry_after_ms(wait_s: float, rng: random.Random) -> int:
    """Return a delay of one to two times the wait, so that callers do not return together."""
    delay_ms = max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS / 2, 1000 * wait_s))
    return int(delay_ms * (1.0 + rng.random()))
