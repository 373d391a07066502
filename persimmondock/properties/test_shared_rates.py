"""A limit that all daemons keep is neither passed nor starved, whatever happens in any order.

Load: a tenant that sends twice its limit, or nine tenths of it, at all daemons. Failures:
daemons end and come back without memory, stand still, are cut off, are removed and replaced, and
the limit changes.
"""

from __future__ import annotations

import asyncio

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.shared_rate import RateAccount, RateLimit
from persimmondock._tasks import shared_rates
from persimmondock.tests.virtual_rates import SETTLE_S, RateSite, count_most_in_window
from persimmondock.tests.virtual_time import run_in_virtual_time

NODES = 6
LIMITS = (RateLimit(40.0, 40.0), RateLimit(24.0, 60.0))
WINDOW_S = 5.0
RECOVERY_S = 16.0  # a lost holder is replaced after 12 s
EXAMPLES = 200


@attrs.frozen
class Restart:
    node: int


@attrs.frozen
class Freeze:
    node: int
    for_s: float


@attrs.frozen
class Cut:
    nodes: frozenset[int]


@attrs.frozen
class Replace:
    node: int


@attrs.frozen
class Change:
    limit: RateLimit


Event = Restart | Freeze | Cut | Replace | Change
NODE = st.integers(0, NODES - 1)
EVENTS = st.one_of(
    NODE.map(Restart),
    st.builds(Freeze, NODE, st.sampled_from((0.3, 2.0, 15.0))),
    st.frozensets(NODE, max_size=3).map(Cut),
    NODE.map(Replace),
    st.sampled_from(LIMITS).map(Change),
)
STEPS = st.lists(st.tuples(EVENTS, st.sampled_from((0.1, 0.7, 2.5))), max_size=6)


def apply(event: Event, site: RateSite, generation: int) -> None:
    """Bring an event about."""
    names = list(site.nodes)
    match event:
        case Restart(node):
            name = names[node % len(names)]
            site.kill(name)
            site.add(name)
        case Freeze(node, for_s):
            site.nodes[names[node % len(names)]].frozen_until = read_clock() + for_s
        case Cut(nodes):
            site.cut = {names[node % len(names)] for node in nodes}
        case Replace(node):
            site.forget(names[node % len(names)])
            site.add(f"node-{NODES + generation}")
        case Change(limit):
            if limit != site.limit:
                site.limit = limit
                site.config_version += 1


async def play(
    steps: list[tuple[Event, float]],
    load: float,
    recover: bool = False,
) -> tuple[RateSite, float]:
    """Play events under load, and then a calm time if ``recover``.

    Returns
    -------
    tuple[RateSite, float]
        The site, and the instant from which all is well.
    """
    site = RateSite(NODES, LIMITS[0])
    await asyncio.sleep(SETTLE_S)
    for generation, (event, then_s) in enumerate([*steps, (Cut(frozenset()), 0.1)]):
        apply(event, site, generation)
        await site.load(load * site.limit.rate_per_s, then_s, list(site.nodes))
    if recover:
        await asyncio.sleep(RECOVERY_S)
    well_at = read_clock()
    await site.load(load * site.limit.rate_per_s, 2.0, list(site.nodes))
    site.close()
    return site, well_at


def find_excess(site: RateSite) -> float:
    """Return by how much the most requests in a window pass what operators allow."""
    used = [limit for limit in LIMITS if any(ask.limit == limit for ask in site.asks)]
    allowed = max(1.1 * (limit.rate_per_s * WINDOW_S + limit.burst) + 20 for limit in used)
    return count_most_in_window(site.list_admitted(), WINDOW_S) - allowed


@settings(max_examples=EXAMPLES)
@given(STEPS)
def test_a_limit_is_never_passed(steps: list[tuple[Event, float]]) -> None:
    site, _ = run_in_virtual_time(play(steps, 2.0))
    assert find_excess(site) <= 0


@settings(max_examples=EXAMPLES)
@given(STEPS)
def test_what_is_below_the_limit_is_served_again_after_every_failure(
    steps: list[tuple[Event, float]],
) -> None:
    site, well_at = run_in_virtual_time(play(steps, 0.9, recover=True))
    asked = [ask for ask in site.asks if ask.at >= well_at]
    assert len(site.list_admitted(well_at)) == len(asked)


class FullAccount(RateAccount):
    """An account that begins with a full bucket, as if nothing had been lent before."""

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self._level = self.limit.capacity


def test_a_daemon_that_forgets_its_share_at_a_restart_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(shared_rates, "RateAccount", FullAccount)
    steps: list[tuple[Event, float]] = [(Restart(0), 0.15) for _ in range(7 * NODES)]
    site, _ = run_in_virtual_time(play(steps, 6.0))
    assert find_excess(site) > 0


def test_restarts_one_after_the_other_do_not_pass_the_limit() -> None:
    steps: list[tuple[Event, float]] = [(Restart(0), 0.15) for _ in range(7 * NODES)]
    site, _ = run_in_virtual_time(play(steps, 6.0))
    assert find_excess(site) <= 0
