"""Tests of the broadcast of records."""

from __future__ import annotations

from collections import Counter

import pytest

from persimmondock._domain.leases import LeaseTiming
from persimmondock._domain.membership import Membership
from persimmondock._domain.messages import AppendAsked, RecordsAsked, RecordsGiven, Renew
from persimmondock._domain.records import MemberLeaving, MemberLost, encode_record, make_record_id
from persimmondock._domain.spreading import BroadcastTrees, plan_broadcast
from persimmondock._ports.log import Entry
from persimmondock._tasks import record_relay
from persimmondock._tasks.log_follower import SHARED_APPEND_INTERVAL_S
from persimmondock._tasks.record_relay import (
    DELEGATION_TIMEOUT_S,
    MISSING_RECORDS_TIMEOUT_S,
    RecordRelay,
)
from persimmondock.tests.builders import make_identity, make_view


def list_reached(trees: BroadcastTrees, count: int, dead: int | None) -> set[int]:
    reached = {position for position in range(min(trees.readers, count)) if position != dead}
    fresh = list(reached)
    while fresh:
        targets = set(trees.list_targets(fresh.pop(), count)) - reached - {dead}
        reached |= targets
        fresh += targets
    return reached


@pytest.mark.parametrize("count", [1, 2, 4, 15, 56, 555])
@pytest.mark.parametrize("fan_out", [2, 4, 8])
def test_two_trees_reach_all_and_cost_two_messages_a_member(count, fan_out) -> None:
    trees = BroadcastTrees(fan_out=fan_out)
    assert list_reached(trees, count, None) == set(range(count))
    received = Counter(t for position in range(count) for t in trees.list_targets(position, count))
    assert all(1 <= received[position] <= 2 for position in range(trees.readers, count))
    assert all(len(trees.list_targets(position, count)) <= 2 * fan_out for position in range(count))


@pytest.mark.parametrize("count", [56, 555])
def test_one_dead_member_cuts_off_few_in_two_trees(count) -> None:
    worst = max(
        count - 1 - len(list_reached(BroadcastTrees(), count, dead)) for dead in range(count)
    )
    worst_of_one = max(
        count - 1 - len(list_reached(BroadcastTrees(tree_count=1), count, dead))
        for dead in range(count)
    )
    assert worst <= 1 < worst_of_one


def test_small_sites_and_daemons_that_are_not_members_read_the_log() -> None:
    members = make_view(12).members
    assert plan_broadcast(members.values(), "vm-1", max_direct_readers=12).reads_log
    assert plan_broadcast(members.values(), "stranger", max_direct_readers=11).reads_log


def test_large_sites_have_a_few_readers_in_each_failure_domain() -> None:
    members = make_view(18).members
    trees = BroadcastTrees(readers=2)
    plans = {name: plan_broadcast(members.values(), name, trees, 10) for name in members}
    readers = [members[name].failure_domain for name, plan in plans.items() if plan.reads_log]
    assert Counter(readers) == {"recife": 2, "fortaleza": 2, "salvador": 2}
    domain_of = {member.peer_address: member.failure_domain for member in members.values()}
    for name, plan in plans.items():
        assert {domain_of[target] for target in plan.targets} <= {members[name].failure_domain}


def make_relay(monkeypatch, reads_log: bool = True) -> tuple[RecordRelay, list[tuple[str, object]]]:
    monkeypatch.setattr(
        record_relay,
        "plan_broadcast",
        lambda members, daemon: plan_broadcast(members, daemon, BroadcastTrees(readers=1), 10),
    )
    view = make_view(30)
    members = view.members.values()
    reader = next(
        number
        for number in range(30)
        if plan_broadcast(members, f"vm-{number}", BroadcastTrees(readers=1), 10).reads_log
        is reads_log
    )
    membership = Membership(make_identity(reader), LeaseTiming(), lambda _: False, lambda _: ())
    membership.view = view
    sent: list[tuple[str, object]] = []
    return RecordRelay(membership, lambda address, message: sent.append((address, message))), sent


def test_new_records_are_sent_on(monkeypatch) -> None:
    relay, sent = make_relay(monkeypatch)
    assert relay.reads_for_others()
    relay.forward((Entry(61, b"a"), Entry(62, b"b")))
    assert sent
    assert {message for _, message in sent} == {RecordsGiven(61, (b"a", b"b"))}


def test_losses_are_delegated_once_and_other_records_never(monkeypatch) -> None:
    relay, sent = make_relay(monkeypatch, reads_log=False)
    member = make_view(1).members["vm-0"]
    lost = MemberLost(make_record_id(), member.ref, 1, ())
    leaving = MemberLeaving(make_record_id(), member.ref)
    assert relay.delegate_appends((lost, leaving), 10.0) == (leaving,)
    ((_, message),) = sent
    assert message == AppendAsked((encode_record(lost),))
    assert relay.delegate_appends((lost,), 11.0) == (lost,)
    assert relay.delegate_appends((lost,), 11.0 + DELEGATION_TIMEOUT_S) == ()


def test_the_member_that_appends_for_others_delegates_nothing(monkeypatch) -> None:
    relay, sent = make_relay(monkeypatch)
    lost = MemberLost(make_record_id(), make_view(1).members["vm-0"].ref, 1, ())
    assert relay.delegate_appends((lost,), 10.0) == (lost,)
    assert relay.find_append_interval_s() == SHARED_APPEND_INTERVAL_S
    assert sent == []


def test_missing_records_are_requested_and_then_read_from_the_log(monkeypatch) -> None:
    relay, sent = make_relay(monkeypatch)
    assert not relay.needs_log(10.0)
    relay.observe(RecordsGiven(70, (b"a",)), "peer")
    assert sent == [("peer", RecordsAsked(61))]
    assert not relay.needs_log(10.0)
    assert relay.needs_log(10.1 + MISSING_RECORDS_TIMEOUT_S)


def test_offsets_in_renewals_reveal_missing_records(monkeypatch) -> None:
    relay, _ = make_relay(monkeypatch)
    relay.observe(Renew(next(iter(make_view(1).members.values())).ref, 1, 62), "peer")
    relay.needs_log(10.0)
    assert relay.needs_log(10.1 + MISSING_RECORDS_TIMEOUT_S)
