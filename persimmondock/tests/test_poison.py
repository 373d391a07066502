"""Tests of the registry of requests that may crash backend servers."""

from __future__ import annotations

import pytest

from persimmondock._domain.poison import (
    MAX_SUSPECTS,
    REFUSAL_MS,
    SUSPICION_MS,
    Handling,
    RequestIdentity,
    SuspectRegistry,
)

POISON = RequestIdentity("painel", 1)
HARMLESS = RequestIdentity("painel", 2)


def broadcast(seen, *registries, now_ms=0):
    for registry in registries:
        for item in seen:
            registry.learn(item, now_ms)


def test_a_request_that_crashed_two_backend_servers_alone_is_refused_everywhere() -> None:
    registry, other = SuspectRegistry(), SuspectRegistry()
    assert registry.choose_handling(POISON, 0) is Handling.FREE
    broadcast(registry.record_crash([POISON], 0), other)
    assert other.choose_handling(POISON, 0) is Handling.ALONE
    broadcast(other.record_crash([POISON], 10), registry)
    assert (registry.choose_handling(POISON, 10), other.choose_handling(POISON, 10)) == (
        Handling.REFUSED,
    ) * 2
    assert registry.find_refusal_end_ms(POISON) == 10 + REFUSAL_MS


def test_requests_that_ran_beside_a_poison_request_are_cleared() -> None:
    registry, other = SuspectRegistry(), SuspectRegistry()
    for now_ms in range(5):
        broadcast(registry.record_crash([POISON, HARMLESS], now_ms), other)
    assert registry.choose_handling(HARMLESS, 9) is Handling.ALONE
    broadcast(registry.record_answered(HARMLESS, 9), other)
    assert (registry.choose_handling(HARMLESS, 9), other.choose_handling(HARMLESS, 9)) == (
        Handling.FREE,
    ) * 2
    assert other.choose_handling(POISON, 9) is Handling.ALONE


def test_clearing_does_not_lift_a_refusal() -> None:
    registry, other = SuspectRegistry(), SuspectRegistry()
    broadcast(other.record_crash([POISON], 0), registry)
    registry.record_crash([POISON], 0)
    broadcast(other.record_answered(POISON, 0), registry)
    assert registry.choose_handling(POISON, 1) is Handling.REFUSED


def test_a_refused_request_is_tried_once_per_period_and_periods_double() -> None:
    registry, now_ms, periods_ms = SuspectRegistry(), 0, []
    for _ in range(5):
        assert registry.choose_handling(POISON, now_ms) is not Handling.REFUSED
        registry.record_crash([POISON], now_ms)
        if registry.choose_handling(POISON, now_ms) is Handling.REFUSED:
            periods_ms.append(registry.find_refusal_end_ms(POISON) - now_ms)
            now_ms = registry.find_refusal_end_ms(POISON)
    assert periods_ms == [REFUSAL_MS * factor for factor in (1, 2, 4, 8)]


@pytest.mark.parametrize(
    ("kills", "after_ms", "left"),
    [(1, SUSPICION_MS - 1, 1), (1, SUSPICION_MS, 0), (2, REFUSAL_MS, 1), (2, 2 * REFUSAL_MS, 0)],
)
def test_suspicion_ends(kills, after_ms, left) -> None:
    registry = SuspectRegistry()
    for _ in range(kills):
        registry.record_crash([POISON], 0)
    registry.expire(after_ms)
    assert len(registry) == left


def test_the_registry_is_bounded() -> None:
    registry = SuspectRegistry()
    for number in range(MAX_SUSPECTS + 10):
        registry.record_crash([RequestIdentity("painel", number)], number)
    assert len(registry) == MAX_SUSPECTS
    assert (
        registry.choose_handling(RequestIdentity("painel", MAX_SUSPECTS + 9), 0) is Handling.ALONE
    )
