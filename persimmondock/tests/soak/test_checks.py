"""Tests of the soak's rules on small constructed observations."""

from __future__ import annotations

import attrs
import pytest

from persimmondock.soak.checks import (
    Arrival,
    Call,
    Fault,
    LimitSpan,
    Notice,
    Observations,
    ObservedCall,
    ObservedRun,
    OwnershipSpan,
    Span,
    find_breaches,
)

CALL = Call("a1", 1, False, 10.0, 10.2, 200, True, 1.5)
RUN = ObservedRun("a1", "vm-1/i", 1, "recife", "recepcao", 10.1)


def find_rules(observations: Observations) -> list[str]:
    return [breach.rule for breach in find_breaches(observations)]


def make_call(**changes: object) -> Call:
    return attrs.evolve(CALL, **changes)


def make_run(**changes: object) -> ObservedRun:
    return attrs.evolve(RUN, **changes)


def test_correct_request_has_no_breach() -> None:
    assert find_rules(Observations([CALL], [RUN])) == []


@pytest.mark.parametrize(
    ("rule", "call", "runs"),
    [
        ("TWICE", CALL, [RUN, make_run(at=10.15)]),
        ("REFUSED", make_call(status=503, whole=False), [RUN]),
        ("REFUSED", make_call(status=429, whole=False), [RUN]),
        ("TENANT", CALL, [make_run(tenant="other")]),
        ("TENANT", make_call(tenant="orla"), [RUN]),
        ("TENANT", CALL, [make_run(key_seen=True)]),
        ("MIXED", make_call(whole=False), [RUN]),
        ("MIXED", CALL, []),
        ("HELD", make_call(status=504, ended_at=12.6), [RUN]),
        ("MIXED", make_call(status=0, whole=False), [RUN]),
        ("MIXED", make_call(status=600), [RUN]),
        ("LOST", make_call(status=0, whole=False, error="cut"), [RUN]),
        ("LOST", make_call(status=0, whole=False, error="cut", ended_at=10.5), []),
    ],
)
def test_each_breach_of_a_call_is_found(rule, call, runs) -> None:
    assert find_rules(Observations([call], runs)) == [rule]


def test_request_sent_while_connection_closes_is_not_lost() -> None:
    call = make_call(status=0, whole=False, error="cut", ended_at=10.1)
    assert find_rules(Observations([call], [])) == []


def test_late_answer_during_daemon_outage_is_no_breach() -> None:
    call = make_call(status=504, ended_at=14.0)
    observations = Observations([call], [RUN], daemon_outages=[Span("vm-1", 10.1, 13.5)])
    assert find_rules(observations) == []
    observations = Observations([call], [RUN], daemon_outages=[Span("vm-2", 10.1, 13.5)])
    assert find_rules(observations) == ["HELD"]


def test_double_owner_is_found_in_overlapping_ranges() -> None:
    ownership_spans = [
        OwnershipSpan("vm-1/i", 0, 99, 1, 1.0, 4.0),
        OwnershipSpan("vm-2/i", 50, 150, 2, 3.0, 6.0),
    ]
    breaches = find_breaches(Observations(ownership_spans=ownership_spans))
    assert [(breach.rule, breach.subject) for breach in breaches] == [("OWNER", "key 50")]


@pytest.mark.parametrize(
    "second",
    [
        OwnershipSpan("vm-1/i", 50, 150, 1, 3.0, 6.0),
        OwnershipSpan("vm-2/i", 100, 150, 1, 3.0, 6.0),
        OwnershipSpan("vm-2/i", 50, 150, 2, 4.0, 6.0),
    ],
    ids=["renewed", "other keys", "afterwards"],
)
def test_ownership_without_conflict_has_no_breach(second: OwnershipSpan) -> None:
    assert (
        find_rules(
            Observations(ownership_spans=[OwnershipSpan("vm-1/i", 0, 99, 1, 1.0, 4.0), second])
        )
        == []
    )


FORMER = OwnershipSpan("vm-1/i", 0, 99, 5, 1.0, 2.0)


@pytest.mark.parametrize(
    ("later", "subjects"),
    [
        ([OwnershipSpan("vm-1/j", 50, 150, 5, 3.0, 4.0)], ["key 50"]),
        ([OwnershipSpan("vm-2/i", 0, 20, 4, 3.0, 4.0)], ["key 0"]),
        ([OwnershipSpan("vm-1/j", 0, 99, 5, t, t + 0.5) for t in (3.0, 3.5)], ["key 0"]),
        (
            [OwnershipSpan("vm-2/i", 0, 9, 6, 3.0, 4.0), attrs.evolve(FORMER, start=5.0, end=6.0)],
            ["key 0"],
        ),
        ([OwnershipSpan("vm-1/j", 50, 150, 6, 3.0, 4.0)], []),
        ([OwnershipSpan("vm-2/i", 100, 150, 4, 3.0, 4.0)], []),
        ([attrs.evolve(FORMER, start=1.5, end=2.5)], []),
        ([OwnershipSpan("vm-1/i", 0, 9, 4, 3.0, 4.0)], []),
    ],
    ids=[
        "successor",
        "lower token",
        "renewed by a successor",
        "taken back",
        "higher token",
        "other keys",
        "renewed",
        "same process",
    ],
)
def test_a_key_taken_under_a_token_that_is_not_above_all_others_is_found(
    later: list[OwnershipSpan], subjects: list[str]
) -> None:
    """Guards the soak against missing a grant for one process that reaches its successor."""
    breaches = find_breaches(Observations(ownership_spans=[FORMER, *later]))
    assert [breach.subject for breach in breaches] == subjects
    assert {breach.rule for breach in breaches} <= {"OWNER"}


def test_run_after_drain_or_evacuation_bound_is_found() -> None:
    drained = [Span("vm-1/i", 7.0, 12.0)]
    assert find_rules(Observations([CALL], [RUN], drained=drained)) == ["DRAIN"]
    assert find_rules(Observations([CALL], [make_run(at=8.9)], drained=drained)) == []
    evacuated = [Span("recife", 4.0, 12.0)]
    assert find_rules(Observations([CALL], [RUN], evacuated=evacuated)) == ["EVAC"]


def test_store_outage_excuses_late_evacuation_but_not_late_drain() -> None:
    store_outages = [Span("vm-1", 5.0, 9.0)]
    observations = Observations(
        [CALL], [RUN], evacuated=[Span("recife", 4.0, 12.0)], store_outages=store_outages
    )
    assert find_rules(observations) == []
    observations = Observations(
        [CALL], [RUN], drained=[Span("vm-1/i", 7.0, 12.0)], store_outages=store_outages
    )
    assert find_rules(observations) == ["DRAIN"]


def test_late_configuration_is_found() -> None:
    assert find_rules(Observations(configuration_delays=[Span("vm-1", 4.0, 6.5)])) == ["CONFIG"]
    assert find_rules(Observations(configuration_delays=[Span("vm-1", 4.0, 5.5)])) == []


def test_fault_of_a_process_is_found() -> None:
    assert find_rules(Observations(faults=[Fault("vm-1", 4.0, "ended with 1")])) == ["FAULT"]


def make_shed_load(repeats: int, at: float = 10.0) -> Observations:
    """Return 100 requests for a service, the first of which arrive once more."""
    calls = [make_call(attempt=f"a{n}", safe=True, sent_at=at, service="s") for n in range(100)]
    arrivals = [Arrival("s", f"a{n}", at) for n in range(100)]
    again = [Arrival("s", f"a{n}", at + 0.1) for n in range(repeats)]
    runs = [make_run(attempt=f"a{n}") for n in range(100)]
    return Observations(calls, runs, arrivals=arrivals + again)


def test_exceeded_retry_budget_is_found() -> None:
    assert find_rules(make_shed_load(80)) == []
    assert find_rules(make_shed_load(81)) == ["BUDGET"]


def test_repeats_count_in_windows_that_begin_at_any_instant() -> None:
    """Half of the repeats come 9.9 s after the others."""
    observations = make_shed_load(41, at=17.0)
    late = [Arrival("s", f"a{n}", 26.95) for n in range(40)]
    observations.arrivals += late
    assert find_rules(observations) == ["BUDGET"]
    observations.arrivals = observations.arrivals[:-40]
    observations.arrivals += [attrs.evolve(arrival, at=27.2) for arrival in late]
    assert find_rules(observations) == []


def test_requests_for_one_service_do_not_allow_repeats_at_another() -> None:
    observations = make_shed_load(80)
    observations.calls = [attrs.evolve(call, service="t") for call in observations.calls]
    assert find_rules(observations) == ["BUDGET"]


def test_calls_of_repeated_runs_count_as_repeats() -> None:
    """Each of the 40 requests that run again makes two calls, one of which arrives twice."""
    observations = make_shed_load(40)
    for number in range(40):
        for call in range(2):
            attempt = f"c{number}.{call}"
            made = ObservedCall("called", attempt, f"a{number}", 10.1, 10.2)
            observations.backend_calls.append(made)
            observations.arrivals.append(Arrival("called", attempt, 10.3))
    assert find_rules(observations) == ["BUDGET"]
    first_runs = [attrs.evolve(call, parent_at=10.0) for call in observations.backend_calls]
    observations.backend_calls = first_runs
    assert find_rules(observations) == []


LIMITED, LEAVING = Notice("i", limited=True), Notice("i", leaving=True)


def make_load(notice: Notice, first_at: float, count: int) -> tuple[list[Call], list[ObservedRun]]:
    """Return one call that passed a notice on at 10 s, and later ones 0.1 s apart."""
    times = [first_at + 0.1 * n for n in range(count)]
    calls = [attrs.evolve(CALL, notice=notice, sent_at=9.8, ended_at=10.0)]
    calls += [make_call(attempt=f"b{n}", sent_at=at) for n, at in enumerate(times)]
    runs = [RUN, *(make_run(attempt=f"b{n}", at=at) for n, at in enumerate(times))]
    return [attrs.evolve(c, safe=True, ended_at=c.sent_at + 0.2) for c in calls], runs


@pytest.mark.parametrize(("count", "rules"), [(11, []), (12, ["LIMIT"])])
def test_more_requests_than_a_limit_allows_are_found(count: int, rules: list[str]) -> None:
    calls, runs = make_load(LIMITED, 13.0, count)
    limits = [LimitSpan("vm-1/i", 9.9, 30.0, 1.0)]
    assert find_rules(Observations(calls, runs, limits=limits)) == rules
    restarts = [Span("vm-1", 12.0, 12.1)]
    assert find_rules(Observations(calls, runs, limits=limits, daemon_restarts=restarts)) == []


@pytest.mark.parametrize(("first_at", "rules"), [(11.9, []), (12.1, ["DRAIN"])])
def test_a_request_after_a_passed_on_leaving_is_found(first_at: float, rules: list[str]) -> None:
    calls, runs = make_load(LEAVING, first_at, 1)
    assert find_rules(Observations(calls, runs)) == rules
    outages = [Span("vm-1", 10.5, 11.0)]
    assert find_rules(Observations(calls, runs, daemon_outages=outages)) == []


def test_more_requests_than_a_tenants_limit_allows_are_found() -> None:
    calls = [
        make_call(attempt=f"a{n}", tenant="orla", safe=True, sent_at=0.1 * n) for n in range(60)
    ]
    runs = [make_run(attempt=f"a{n}", tenant="orla", at=0.1 * n + 0.05) for n in range(60)]
    for per_s, rules in ((2.0, ["QUOTA"]), (6.0, [])):
        found = find_rules(Observations(calls, runs, quotas={"orla": (per_s, 1.0)}))
        assert [rule for rule in found if rule == "QUOTA"] == rules
