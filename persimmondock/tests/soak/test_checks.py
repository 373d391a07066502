"""The soak's judgements, on small made-up observations."""

from __future__ import annotations

import attrs
import pytest

from persimmondock.soak.checks import Call, Observations, SeenHold, SeenRun, Span, judge

CALL = Call("a1", 1, False, 10.0, 10.2, 200, True, 1.5)
RUN = SeenRun("a1", "vm-1/i", 1, "recife", "recepcao", 10.1)


def find_rules(seen: Observations) -> list[str]:
    return [breach.rule for breach in judge(seen)]


def make_call(**changes: object) -> Call:
    return attrs.evolve(CALL, **changes)


def make_run(**changes: object) -> SeenRun:
    return attrs.evolve(RUN, **changes)


def test_a_sound_request_breaks_nothing() -> None:
    assert find_rules(Observations([CALL], [RUN])) == []


@pytest.mark.parametrize(
    ("rule", "call", "runs"),
    [
        ("TWICE", CALL, [RUN, make_run(at=10.15)]),
        ("REFUSED", make_call(status=503, whole=False), [RUN]),
        ("MIXED", make_call(whole=False), [RUN]),
        ("MIXED", CALL, []),
        ("HELD", make_call(status=504, ended_at=12.6), [RUN]),
        ("LOST", make_call(status=0, whole=False, error="cut"), [RUN]),
        ("LOST", make_call(status=0, whole=False, error="cut", ended_at=10.5), []),
    ],
)
def test_each_broken_promise_to_a_caller_is_found(rule, call, runs) -> None:
    assert find_rules(Observations([call], runs)) == [rule]


def test_a_request_that_crosses_the_end_of_its_connection_is_not_lost() -> None:
    call = make_call(status=0, whole=False, error="cut", ended_at=10.1)
    assert find_rules(Observations([call], [])) == []


def test_a_daemon_that_does_not_run_holds_nobody() -> None:
    call = make_call(status=504, ended_at=14.0)
    seen = Observations([call], [RUN], hurt=[Span("vm-1", 10.1, 13.5)])
    assert find_rules(seen) == []
    seen = Observations([call], [RUN], hurt=[Span("vm-2", 10.1, 13.5)])
    assert find_rules(seen) == ["HELD"]


def test_two_holders_of_a_key_are_found_whatever_their_ranges() -> None:
    holds = [SeenHold("vm-1/i", 0, 99, 1.0, 4.0), SeenHold("vm-2/i", 50, 150, 3.0, 6.0)]
    breaches = judge(Observations(holds=holds))
    assert [(breach.rule, breach.subject) for breach in breaches] == [("OWNER", "key 50")]


@pytest.mark.parametrize(
    "second",
    [
        SeenHold("vm-1/i", 50, 150, 3.0, 6.0),
        SeenHold("vm-2/i", 100, 150, 3.0, 6.0),
        SeenHold("vm-2/i", 50, 150, 4.0, 6.0),
    ],
    ids=["renewed", "other keys", "afterwards"],
)
def test_holds_that_do_not_clash_break_nothing(second: SeenHold) -> None:
    assert find_rules(Observations(holds=[SeenHold("vm-1/i", 0, 99, 1.0, 4.0), second])) == []


def test_work_after_a_leave_is_found_once_its_bound_has_passed() -> None:
    drained = [Span("vm-1/i", 7.0, 12.0)]
    assert find_rules(Observations([CALL], [RUN], drained=drained)) == ["DRAIN"]
    assert find_rules(Observations([CALL], [make_run(at=8.9)], drained=drained)) == []
    evacuated = [Span("recife", 4.0, 12.0)]
    assert find_rules(Observations([CALL], [RUN], evacuated=evacuated)) == ["EVAC"]


def test_a_daemon_that_is_cut_from_the_store_cannot_know_of_an_evacuation_but_of_a_leave() -> None:
    cut = [Span("vm-1", 5.0, 9.0)]
    seen = Observations([CALL], [RUN], evacuated=[Span("recife", 4.0, 12.0)], cut=cut)
    assert find_rules(seen) == []
    seen = Observations([CALL], [RUN], drained=[Span("vm-1/i", 7.0, 12.0)], cut=cut)
    assert find_rules(seen) == ["DRAIN"]


def test_a_configuration_that_is_not_in_force_in_time_is_found() -> None:
    assert find_rules(Observations(unknown=[Span("vm-1", 4.0, 6.5)])) == ["CONFIG"]
    assert find_rules(Observations(unknown=[Span("vm-1", 4.0, 5.5)])) == []


def test_a_storm_of_repeats_is_found() -> None:
    calls = [make_call(attempt=f"a{n}", safe=True, sent_at=10.0) for n in range(100)]
    runs = [make_run(attempt=f"a{n}") for n in range(100)]
    assert find_rules(Observations(calls, runs + runs[:80])) == []
    assert find_rules(Observations(calls, runs + runs[:81])) == ["BUDGET"]
