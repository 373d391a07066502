"""Admission while a service is short of room.

The load is a step to 1.5, 2.5 and 7 times what all backend servers of a service can do, from
callers of three priorities at many daemons. Gates report promptly, late, not to all, or falsely.
"""

from __future__ import annotations

import asyncio
import functools
import random
from collections import Counter, deque
from collections.abc import Callable
from statistics import mean
from typing import Any
from unittest import mock

import attrs
import pytest

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.fair_share import FairShare
from persimmondock._domain.gate_choice import GateCandidate
from persimmondock._domain.gate_status import GateStatus, count_levels
from persimmondock._domain.service_room import (
    MEMORY_S,
    SENT_PER_TAKEN,
    Refuse,
    Send,
    ServiceRoom,
    estimate_wait,
)
from persimmondock._domain.site import SiteBounds
from persimmondock.tests.sites import SERVICE, make_forwarded
from persimmondock.tests.virtual_site import OBJECTIVE_S, VirtualNode, VirtualSite
from persimmondock.tests.virtual_time import run_in_virtual_time

SLOTS = 3
WORK_S = 0.12
WORK_SPREAD = 0.5
SERVERS = 6
CAPACITY_PER_S = SERVERS * SLOTS / WORK_S
STEP_S = 6.0
SETTLE_S = 2.0  # after the step
WINDOW_S = 0.5
SHARES = {0: 0.2, 1: 0.4, 2: 0.4}  # of the requests, by priority

Tamper = Callable[[VirtualSite], None]


def make_gate(node: str = "a", load: int = 0, **changes: Any) -> GateCandidate:
    """Return a gate with 4 slots that answers within 0.1 s and has just reported."""
    return attrs.evolve(GateCandidate(node, 4, load, 0.1, False, 10.0), **changes)


FULL = make_gate(load=100)
REQUEST = make_forwarded(10.0, objective_at=10.4, deadline=12.0)


def overload(room: ServiceRoom, count: int = 100, priority: int = 1, owner: str = "") -> None:
    """Record requests that no gate had room for."""
    for _ in range(count):
        room.record_sent(priority, 10.0, owner)
        room.record_not_taken(priority, 10.0, owner)


def decide(
    room: ServiceRoom, *gates: GateCandidate, count: int = 200, **changes: Any
) -> Counter[str]:
    """Return how often each gate may be chosen, and how often none, under "-"."""
    rng = random.Random(1)
    found: Counter[str] = Counter()
    for _ in range(count):
        match room.decide(list(gates), attrs.evolve(REQUEST, **changes), 10.0, rng):
            case Send(candidates=candidates):
                found.update(gate.node for gate in candidates)
            case Refuse():
                found["-"] += 1
    return found


# Decisions.


def test_nothing_is_refused_before_gates_have_refused() -> None:
    """Reports of full gates alone, which may be false, cost no request its chance."""
    assert decide(ServiceRoom(), FULL) == {"a": 200}


def test_most_requests_are_refused_here_when_gates_take_none() -> None:
    room = ServiceRoom()
    overload(room)
    assert decide(room, FULL)["-"] > 0.9 * 200


def test_a_request_goes_to_the_gate_with_room_and_not_to_a_full_one() -> None:
    room = ServiceRoom()
    overload(room)
    assert decide(room, FULL, make_gate("b")) == {"b": 200}


def test_a_more_urgent_request_is_not_refused_with_less_urgent_ones() -> None:
    room = ServiceRoom()
    overload(room, priority=2)
    assert decide(room, FULL, priority=0) == {"a": 200}


def test_a_gate_that_refused_is_passed_over_though_it_reports_room() -> None:
    """A gate whose report is false draws the requests of all fronts otherwise."""
    room = ServiceRoom()
    overload(room)
    room.record_refusal("a", 1, 9.95)
    assert decide(room, make_gate("a"), make_gate("b")) == {"b": 200}
    assert decide(room, make_gate("a"), make_gate("b"), priority=0) == {"a": 200, "b": 200}


def test_gates_without_a_recent_report_are_tried() -> None:
    room = ServiceRoom()
    overload(room)
    found = decide(room, FULL, make_gate("b", 100, reported_at=5.0))
    assert found["b"] > 0
    assert found["a"] == 0


def test_without_a_shortage_all_gates_are_candidates() -> None:
    """On a quiet day the choice is that by cost alone."""
    assert decide(ServiceRoom(), FULL, make_gate("b")) == {"a": 200, "b": 200}


def test_what_was_refused_is_forgotten() -> None:
    room = ServiceRoom()
    overload(room)
    assert room.compute_sent_share(1, 10.0) < 0.1
    assert room.compute_sent_share(1, 10.0 + 4 * MEMORY_S) > 0.9


def test_gates_get_more_than_they_take() -> None:
    """Guards against a front that sends so little that gates run out of work."""
    room, rng, taken = ServiceRoom(), random.Random(1), 0
    sent = 0
    for step in range(4000):
        now = 10.0 + 0.01 * step
        if isinstance(room.decide([FULL], REQUEST, now, rng), Refuse):
            room.record_refused_here(1, now)
            continue
        room.record_sent(1, now)
        if step >= 1000:
            sent += 1
        if step % 5 == 0:
            taken += step >= 1000
        else:
            room.record_not_taken(1, now)
    assert taken > 0
    assert sent > SENT_PER_TAKEN * taken


def test_the_owner_of_one_busy_key_does_not_close_the_service() -> None:
    room, rng = ServiceRoom(), random.Random(1)
    overload(room, owner="a")
    keyed = attrs.evolve(REQUEST, key=5)
    others = [room.decide([FULL], keyed, 10.0, rng, "b") for _ in range(50)]
    assert all(isinstance(decision, Send) for decision in others)
    assert isinstance(room.decide([FULL], keyed, 10.0, rng, "a"), Refuse)


def test_refused_callers_do_not_return_together() -> None:
    room, rng = ServiceRoom(), random.Random(1)
    overload(room)
    decisions = [room.decide([FULL], REQUEST, 10.0, rng) for _ in range(200)]
    delays_ms = [d.retry_after_ms for d in decisions if isinstance(d, Refuse)]
    assert max(delays_ms) > 1.8 * min(delays_ms)
    assert min(delays_ms) >= 100
    assert max(delays_ms) <= 1_500


def test_a_queue_drains_after_its_report() -> None:
    gate = make_gate(load=19)
    assert estimate_wait(gate, 10.0) == pytest.approx(0.4)
    assert estimate_wait(gate, 10.3) == pytest.approx(0.1)
    assert estimate_wait(gate, 11.0) == 0.0


# What gates report.


def test_less_urgent_requests_do_not_count_as_ahead() -> None:
    status = GateStatus(SERVICE, slots=4, running=4, waiting=9, waiting_by_priority=(2, 0, 7))
    assert [status.count_behind(priority) for priority in (-1, 0, 1, 2, 99)] == [7, 7, 7, 0, 0]
    gate = make_gate(load=status.running + status.waiting, behind=status.count_behind(1))
    assert estimate_wait(gate, 10.0) == pytest.approx(0.075)
    assert status.tells_order
    assert not GateStatus(SERVICE, waiting=9).tells_order


def test_priorities_out_of_range_count_as_the_last_level() -> None:
    assert count_levels([0, -5, 2, 1_000]) == (2, 0, 1, 0, 0, 0, 0, 1)
    assert count_levels([]) == ()


# The lower bound for less urgent requests.


def test_a_starved_priority_goes_first_until_it_has_a_quarter_of_the_rest() -> None:
    """Urgent requests take every slot."""
    share, served = FairShare(), Counter[int]()
    for step in range(4000):
        now = 0.01 * step
        share.record_asked(0, 1.0, now)
        share.record_asked(2, 1.0, now)
        if step % 2:
            continue
        chosen = 2 if share.choose_rank(2, now) < 0 else 0
        share.record_served(chosen, now)
        served[chosen] += 1
    of_all = sum(served.values()) / 8000
    assert 0.25 * of_all <= served[2] / 4000 <= 0.4 * of_all


def test_requests_that_fronts_refused_count_as_starved() -> None:
    share = FairShare()
    for _ in range(100):
        share.record_asked(0, 1.0, 0.0)
        share.record_served(0, 0.0)
    for _ in range(10):
        share.record_asked(2, 10.0, 0.0)
        share.record_served(2, 0.0)
    assert share.choose_rank(2, 0.0) == -1
    assert share.choose_rank(0, 0.0) == 0


# Steps of load over several daemons, in virtual time.


@attrs.define
class Load:
    """What became of the requests from ``SETTLE_S`` after the step to its end.

    Parameters
    ----------
    in_time, used
        Answers within the latency objective, and all, by window, as shares of the capacity.
    served_shares
        Share of the requests of each priority that were answered.
    visits
        Gates that were asked for each request.
    refused_late
        Refusals that came later than an eighth of the latency objective, as a share of all.
    """

    in_time: list[float]
    used: list[float]
    served_shares: dict[int, float]
    visits: float
    refused_late: float


def count_visits(site: VirtualSite) -> Counter[str]:
    """Count requests at the gates from now on."""
    visits: Counter[str] = Counter()
    for node in site.servers:
        assert node.process is not None
        gate, name = node.process.gate, node.name

        async def run(request: Any, run: Any = gate.run, name: str = name) -> Any:
            visits[name] += 1
            return await run(request)

        gate.run = run
    return visits


def play_step(factor: float, tamper: Tamper = lambda _: None, quiet: float = 0.3) -> Load:
    """Offer a multiple of the capacity after a quiet time."""

    async def run() -> tuple[VirtualSite, float, Counter[str]]:
        site = VirtualSite(SERVERS, 8, SLOTS, WORK_S, bounds=SiteBounds(service_room=True))
        for node in site.servers:
            node.server.spread = WORK_SPREAD
        await site.start()
        tamper(site)
        await site.offer(quiet * CAPACITY_PER_S, 2.0)
        visits = count_visits(site)
        started, site.outcomes[:] = read_clock(), []
        offers = [
            site.offer(factor * CAPACITY_PER_S * share, STEP_S, priority=priority)
            for priority, share in SHARES.items()
        ]
        await asyncio.gather(*offers)
        await site.close()
        return site, started, visits

    site, started, visits = run_in_virtual_time(run())
    start, end = started + SETTLE_S, started + STEP_S
    counted = [o for o in site.outcomes if start <= o.sent_at < end]
    answers = [o for o in site.outcomes if o.verdict == "answered" and start <= o.ended_at < end]
    used = Counter(int((o.ended_at - start) / WINDOW_S) for o in answers)
    in_time = Counter(
        int((o.ended_at - start) / WINDOW_S)
        for o in answers
        if o.ended_at - o.sent_at <= OBJECTIVE_S
    )
    windows, usual = range(int((STEP_S - SETTLE_S) / WINDOW_S)), CAPACITY_PER_S * WINDOW_S
    asked = Counter(o.priority for o in counted)
    served = Counter(o.priority for o in counted if o.verdict == "answered")
    late = [o.ended_at - o.sent_at > OBJECTIVE_S / 8 for o in counted if o.verdict == "not_run"]
    return Load(
        [in_time[n] / usual for n in windows],
        [used[n] / usual for n in windows],
        {priority: served[priority] / asked[priority] for priority in sorted(asked)},
        sum(visits.values()) / len(site.outcomes),
        sum(late) / max(1, len(late)),
    )


def report_late(site: VirtualSite) -> None:
    """Have all gates report what held a second ago."""
    for node in site.servers:
        gate = _get_gate(node)
        gate.describe = _delay(gate.describe)


def _delay(describe: Callable[[], GateStatus]) -> Callable[[], GateStatus]:
    history: deque[tuple[float, GateStatus]] = deque()

    def describe_late() -> GateStatus:
        now = read_clock()
        history.append((now, describe()))
        while len(history) > 1 and history[1][0] <= now - 1.0:
            history.popleft()
        return history[0][1]

    return describe_late


def lose_reports(site: VirtualSite) -> None:
    """Lose the heartbeats between a third of the pairs of daemons."""
    for number, front in enumerate(site.fronts):
        for other, node in enumerate(site.servers):
            if (number + other) % 3 == 0:
                site.lost_reports.add((front.name, node.name))


def report_falsely(**changes: Any) -> Tamper:
    """Return a way to have two gates report the same all the time."""

    def tamper(site: VirtualSite) -> None:
        for node in site.servers[:2]:
            gate = _get_gate(node)
            gate.describe = lambda d=gate.describe: attrs.evolve(d(), **changes)

    return tamper


def _get_gate(node: VirtualNode) -> Any:
    assert node.process is not None
    return node.process.gate


REPORTS: dict[str, Tamper] = {
    "prompt": lambda _: None,
    "late": report_late,
    "lost": lose_reports,
    "always free": report_falsely(running=0, waiting=0, waiting_by_priority=()),
    "always full": report_falsely(running=SLOTS, waiting=99, waiting_by_priority=(99,)),
}


@functools.cache
def play(factor: float, reports: str) -> Load:
    """Return what `play_step` does; several tests look at the same load."""
    return play_step(factor, REPORTS[reports])


def play_without_room(factor: float, reports: str) -> Load:
    """Play the same with fronts that send everything to up to four gates."""
    with mock.patch.object(ServiceRoom, "decide", lambda _, gates, *__: Send(gates)):
        return play_step(factor, REPORTS[reports])


@pytest.mark.parametrize("reports", ["prompt", "late", "lost", "always free"])
@pytest.mark.parametrize("factor", [1.5, 2.5, 7.0])
def test_a_step_of_load_leaves_no_room_unused_and_does_not_swing(
    factor: float, reports: str
) -> None:
    load = play(factor, reports)
    assert mean(load.used) >= 0.95
    assert min(load.used) >= 0.75


@pytest.mark.parametrize("factor", [1.5, 7.0])
def test_gates_that_always_report_that_they_are_full_are_used(factor: float) -> None:
    assert mean(play(factor, "always full").used) > mean(
        play_without_room(factor, "always full").used
    )


@pytest.mark.parametrize("factor", [1.5, 2.5])
def test_the_most_urgent_are_served(factor: float) -> None:
    """They ask for less than the service has: 0.3 and 0.5 of it."""
    assert play(factor, "prompt").served_shares[0] >= 0.98


@pytest.mark.parametrize("factor", [1.5, 2.5, 7.0])
def test_no_priority_is_starved(factor: float) -> None:
    shares = play(factor, "prompt").served_shares
    total = sum(SHARES[priority] * share for priority, share in shares.items())
    assert min(shares.values()) >= 0.25 * total


@pytest.mark.parametrize("factor", [1.5, 2.5, 7.0])
def test_what_cannot_be_served_is_refused_soon_and_without_visiting_four_gates(
    factor: float,
) -> None:
    load, without = play(factor, "prompt"), play_without_room(factor, "prompt")
    assert load.visits <= 2.0 < without.visits
    assert load.refused_late <= 0.05


def check_in_time(factor: float) -> None:
    """Check that as many requests are answered in time as without the room of the service."""
    without = play_without_room(factor, "prompt")
    assert mean(play(factor, "prompt").in_time) >= mean(without.in_time)


@pytest.mark.parametrize("factor", [1.5, 7.0])
def test_no_fewer_requests_are_answered_in_time(factor: float) -> None:
    check_in_time(factor)


def test_no_fewer_requests_are_answered_in_time_at_a_medium_step() -> None:
    check_in_time(2.5)


def test_a_service_with_room_refuses_nothing() -> None:
    load = play_step(0.6)
    assert load.visits <= 1.05
    assert min(load.served_shares.values()) == 1.0
