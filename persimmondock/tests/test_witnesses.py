"""Tests of the choice of witnesses."""

from __future__ import annotations

from collections import Counter

from persimmondock._domain.records import MemberRef
from persimmondock._domain.witnesses import WITNESSES, choose_witnesses
from persimmondock.tests.builders import make_member


def test_witnesses_spread_over_all_failure_domains() -> None:
    members = [
        make_member(MemberRef(f"vm-{number}", number), f"domain-{number % 9}")
        for number in range(180)
    ]
    domain_of = {member.ref: member.failure_domain for member in members}
    holder_counts: Counter[MemberRef] = Counter()
    for member in members:
        others = [other for other in members if other is not member]
        chosen = choose_witnesses(member.ref.daemon, member.failure_domain, others)
        domains = {domain_of[witness] for witness in chosen}
        assert len(domains) == WITNESSES
        assert member.failure_domain not in domains
        holder_counts.update(chosen)
    assert {domain_of[witness] for witness in holder_counts} == set(domain_of.values())
    assert max(holder_counts.values()) <= 4 * WITNESSES
