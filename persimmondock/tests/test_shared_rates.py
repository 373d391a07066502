"""A limit that all daemons keep together, under load and under single failures.

Loads: a tenant that asks for a little less than its limit at few or at all daemons, one that sends
7.5 times its usual, a burst at one daemon. Failures: a holder that ends, stands still or is cut
off; a daemon that knows no others.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.shared_rate import BorrowedTokens, RateLimit
from persimmondock._ports.metrics import NoMetrics
from persimmondock._tasks.shared_rates import (
    Admitted,
    LimitUnknown,
    OverLimit,
    SharedRates,
    VersionedLimit,
)
from persimmondock.tests.virtual_rates import (
    LIMIT_NAME,
    PATIENCE_S,
    SETTLE_S,
    RateSite,
    count_most_in_window,
)
from persimmondock.tests.virtual_time import run_in_virtual_time

LIMIT = RateLimit(150.0, 150.0)
WINDOW_S = 5.0


def compute_bound(limit: RateLimit = LIMIT) -> float:
    """Return what operators allow in a window."""
    return 1.1 * (limit.rate_per_s * WINDOW_S + limit.burst) + 20


def play(scenario: Callable[[RateSite], Coroutine[Any, Any, None]], count: int = 14) -> RateSite:
    """Play a scenario after the buckets have filled."""

    async def run() -> RateSite:
        site = RateSite(count, LIMIT)
        await asyncio.sleep(SETTLE_S)
        await scenario(site)
        site.close()
        return site

    return run_in_virtual_time(run())


def list_holders(site: RateSite) -> tuple[str, ...]:
    return next(iter(site.nodes.values())).rates.find_holders(LIMIT_NAME)


def test_a_request_beside_an_answer_does_not_wait_for_it_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a daemon that stands still for ever, waiting for a question that is answered.

    A request may come after the answer and before the callbacks of the answer.
    """
    shield = asyncio.shield

    def shield_unfinished(pending: asyncio.Future[None]) -> asyncio.Future[None]:
        assert not pending.done()
        return shield(pending)

    monkeypatch.setattr(asyncio, "shield", shield_unfinished)

    async def scenario(site: RateSite) -> None:
        rates = next(iter(site.nodes.values())).rates
        limit = VersionedLimit(LIMIT_NAME, LIMIT, 1)
        await rates.admit(limit, PATIENCE_S)
        share = rates._shares[LIMIT_NAME]
        share.tokens = BorrowedTokens()
        share.pending = asyncio.get_running_loop().create_future()
        share.pending.set_result(None)
        assert isinstance(await rates.admit(limit, PATIENCE_S), Admitted)

    play(scenario)


@pytest.mark.parametrize("fronts", [1, 2, 14])
def test_what_is_below_the_limit_is_not_refused(fronts: int) -> None:
    async def scenario(site: RateSite) -> None:
        await site.load(0.95 * LIMIT.rate_per_s, 15.0, list(site.nodes)[:fronts])

    site = play(scenario)
    assert site.count_refused(0.0) == 0
    assert site.count_refused(0.0, LimitUnknown) == 0
    assert len(site.asks) > 1500


@pytest.mark.parametrize(("fronts", "count"), [(1, 14), (14, 14), (78, 78)])
def test_a_hot_tenant_uses_its_limit_and_no_more(fronts: int, count: int) -> None:
    """7.5 times the usual, which is a limit divided by 1.6."""

    async def scenario(site: RateSite) -> None:
        await site.load(4.7 * LIMIT.rate_per_s, 15.0, list(site.nodes)[:fronts])

    site = play(scenario, count)
    admitted = site.list_admitted()
    assert count_most_in_window(admitted, WINDOW_S) <= LIMIT.rate_per_s * WINDOW_S + LIMIT.burst + 3
    rate = len([at for at in admitted if at >= admitted[0] + 5]) / (admitted[-1] - admitted[0] - 5)
    assert 0.97 * LIMIT.rate_per_s <= rate <= 1.03 * LIMIT.rate_per_s


def test_a_burst_is_taken_at_one_daemon() -> None:
    async def scenario(site: RateSite) -> None:
        await site.load(2000.0, 0.05, ["node-1"])

    site = play(scenario)
    assert 60 <= len(site.asks) <= 140
    assert site.count_refused(0.0) == 0


def test_refused_callers_return_one_after_the_other_when_there_is_room() -> None:
    """In a play all were told the longest time, 10 s, of a limit that had room each 0.04 s.

    Places were kept for callers that wait for a second at most, and for each of them twice.
    """

    async def scenario(site: RateSite) -> None:
        await site.load(4.0 * LIMIT.rate_per_s, 3.0)

    site = play(scenario)
    over = [ask for ask in site.asks if isinstance(ask.outcome, OverLimit)]
    promised = [ask for ask in over if ask.outcome.retry_after_s <= PATIENCE_S]
    returns = sorted(ask.at + ask.outcome.retry_after_s for ask in promised)
    assert len(over) > 500
    assert count_most_in_window(returns, 1.0) <= 2 * LIMIT.rate_per_s
    assert all(0 < ask.outcome.retry_after_s < 3.0 for ask in over)
    # Those that are told a longer time do not return at one instant.
    others = sorted(a.at + a.outcome.retry_after_s for a in over if a not in promised)
    assert count_most_in_window(others, 0.05) <= 0.05 * 8 * LIMIT.rate_per_s


@pytest.mark.parametrize("count", [14, 78])
def test_a_hot_tenant_does_not_flood_its_holders_with_questions(count: int) -> None:
    """In a play of 74 daemons each asked each holder ten times a second."""

    async def scenario(site: RateSite) -> None:
        await site.load(4.7 * LIMIT.rate_per_s, 10.0)

    assert play(scenario, count).messages / 10 <= 4 * LIMIT.rate_per_s


def test_a_peer_whose_connection_is_replaced_is_not_lost_yet() -> None:
    """In a play each such peer was replaced as a holder at once, and began with no tokens."""

    async def scenario(site: RateSite) -> None:
        node = site.nodes["node-1"]
        before = node.rates.find_holders(LIMIT_NAME)
        for peer in node.mesh.peers.values():
            peer.heard_at = -math.inf
        site.cut = {"node-1"}
        await asyncio.sleep(8.0)
        assert node.rates.find_holders(LIMIT_NAME) == before
        site.cut = set()
        await site.load(0.6 * LIMIT.rate_per_s, 2.0, ["node-1"])

    assert play(scenario).count_refused(0.0) == 0


def test_the_loss_of_a_holder_leaves_two_thirds_and_then_all() -> None:
    started = []

    async def scenario(site: RateSite) -> None:
        site.kill(list_holders(site)[0])
        started.append(read_clock())
        await site.load(0.6 * LIMIT.rate_per_s, 20.0)
        started.append(read_clock())
        await site.load(0.95 * LIMIT.rate_per_s, 10.0)

    site = play(scenario)
    assert site.count_refused(started[0]) <= 0.01 * len(site.asks)
    assert site.count_refused(started[1]) == 0
    assert site.count_refused(0.0, LimitUnknown) == 0


def test_a_holder_that_stands_still_is_passed_over() -> None:
    async def scenario(site: RateSite) -> None:
        site.nodes[list_holders(site)[0]].frozen_until = read_clock() + 4.0
        await site.load(0.6 * LIMIT.rate_per_s, 8.0)

    site = play(scenario)
    assert site.count_refused(0.0) <= 0.01 * len(site.asks)


@pytest.mark.parametrize("cut_s", [5.5, 30.0])
def test_a_cut_does_not_double_the_limit(cut_s: float) -> None:
    """Both sides get all that the tenant can send; a holder is on the smaller one."""

    async def scenario(site: RateSite) -> None:
        site.cut = {list_holders(site)[0], "node-3", "node-4", "node-6"}
        await site.load(4 * LIMIT.rate_per_s, cut_s)
        site.cut = set()
        await site.load(4 * LIMIT.rate_per_s, 6.0)

    site = play(scenario)
    assert count_most_in_window(site.list_admitted(), WINDOW_S) <= compute_bound()


def test_a_cut_through_the_middle_does_not_double_the_limit() -> None:
    async def scenario(site: RateSite) -> None:
        site.cut = {f"node-{number}" for number in range(7)}
        await site.load(4 * LIMIT.rate_per_s, 30.0)

    site = play(scenario)
    assert count_most_in_window(site.list_admitted(), WINDOW_S) <= compute_bound()


def test_a_daemon_that_knows_no_others_admits_nothing() -> None:
    """Each of many daemons cut off at their start would else admit the whole rate."""

    async def run() -> Any:
        site = RateSite(1, LIMIT)
        (node,) = site.nodes.values()
        rates = SharedRates(node.mesh, NoMetrics())
        rates.knows_members = lambda: False
        outcome = await rates.admit(VersionedLimit(LIMIT_NAME, LIMIT, 1), 1.0)
        site.close()
        return outcome

    assert isinstance(run_in_virtual_time(run()), LimitUnknown)


def test_a_lower_limit_is_in_force_at_once_where_one_daemon_knows_it() -> None:
    lower = RateLimit(30.0, 30.0)

    async def scenario(site: RateSite) -> None:
        await site.load(4 * LIMIT.rate_per_s, 3.0)
        site.limit, site.config_version = lower, 2
        await site.load(4 * LIMIT.rate_per_s, 10.0)

    site = play(scenario)
    after = [ask.at for ask in site.asks if ask.limit == lower]
    admitted = site.list_admitted(min(after))
    assert count_most_in_window(admitted, WINDOW_S) <= lower.rate_per_s * WINDOW_S + lower.burst + 3


def test_a_token_of_a_request_that_was_not_run_is_used_by_another() -> None:
    async def scenario(site: RateSite) -> None:
        await site.ask("node-1")
        rates = site.nodes["node-1"].rates
        share = rates._shares[LIMIT_NAME]
        left = share.tokens.count_left(read_clock())
        rates.give_back(LIMIT_NAME)
        assert share.tokens.count_left(read_clock()) == left + 1

    play(scenario)
