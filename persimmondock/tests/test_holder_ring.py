"""Which daemons hold the account of a name.

Failures: a daemon is lost, or a new one comes; a failure domain is lost.
"""

from __future__ import annotations

from collections import Counter

import pytest

from persimmondock._domain.holder_ring import HOLDERS, HolderRing

DOMAINS = ("recife", "fortaleza", "salvador")
NAMES = [f"tenant/{number}" for number in range(600)]


def make_domains(count: int, domains: tuple[str, ...] = DOMAINS) -> dict[str, str]:
    return {f"node-{number}": domains[number % len(domains)] for number in range(count)}


def test_holders_are_in_different_failure_domains() -> None:
    nodes = make_domains(78)
    ring = HolderRing(nodes)
    for name in NAMES:
        holders = ring.find_holders(name)
        assert len(holders) == HOLDERS
        assert {nodes[holder] for holder in holders} == set(DOMAINS)


@pytest.mark.parametrize(
    ("count", "domains"),
    [(1, DOMAINS), (2, DOMAINS), (3, ("recife",)), (9, ("recife", "salvador"))],
)
def test_fewer_nodes_or_domains_hold_as_well(count: int, domains: tuple[str, ...]) -> None:
    nodes = make_domains(count, domains)
    holders = HolderRing(nodes).find_holders("tenant/1")
    assert len(holders) == len(set(holders)) == min(count, HOLDERS)
    assert len({nodes[h] for h in holders}) == min(count, len(domains), HOLDERS)


def test_the_order_in_which_nodes_are_known_does_not_matter() -> None:
    nodes = make_domains(14)
    other = HolderRing(dict(reversed(nodes.items())))
    assert [HolderRing(nodes).find_holders(n) for n in NAMES] == [
        other.find_holders(n) for n in NAMES
    ]


def test_the_loss_of_a_node_changes_the_holders_of_few_names() -> None:
    nodes = make_domains(78)
    before, after = HolderRing(nodes), HolderRing({k: v for k, v in nodes.items() if k != "node-5"})
    changed = [n for n in NAMES if before.find_holders(n) != after.find_holders(n)]
    assert len(changed) <= 0.15 * len(NAMES)
    for name in changed:
        kept = set(before.find_holders(name)) - {"node-5"}
        assert len(kept & set(after.find_holders(name))) >= 1


def test_no_node_holds_many_times_its_part() -> None:
    ring = HolderRing(make_domains(78))
    counts = Counter(holder for name in NAMES for holder in ring.find_holders(name))
    assert max(counts.values()) <= 4 * HOLDERS * len(NAMES) / 78
