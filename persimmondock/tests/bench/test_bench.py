"""Tests of the load and measurement tool."""

from __future__ import annotations

import pytest

from persimmondock.bench.callers import Outcome
from persimmondock.bench.faults import (
    SCENARIO_DIRECTORY,
    DomainOut,
    FaultMark,
    ScenarioError,
    load_scenario,
)
from persimmondock.bench.measures import RunData, compute_unavailable, find_breaches
from persimmondock.bench.mixes import MIXES, QUADRO_VIVO
from persimmondock.bench.offered import Offer, compute_digest, generate_requests
from persimmondock.standins.fleet import JournalRun


def make_outcome(
    at_s: float, verdict: str = "answered", took_s: float = 0.01, **options
) -> Outcome:
    offer = Offer(at_s, "painel", "/painel/key-1/assign", 7, "id-1", 0, False)
    return Outcome(offer, verdict, "", 1, at_s + took_s, **options)


def make_run(backend: int, started_at: float, ended_at: float, request_id: str = "") -> JournalRun:
    return JournalRun(
        f"backend-{backend}", request_id, "/painel/key-1/assign", 7, 0, started_at, ended_at, True
    )


def make_data(**options) -> RunData:
    plain = {
        "mix": QUADRO_VIVO,
        "outcomes": [],
        "runs": [],
        "marks": [],
        "started_at": 100.0,
        "digest": "",
        "slices_moved": 0,
        "appends": 0,
        "cold_overloads": 0,
        "config_breaches": [],
    }
    return RunData(**{**plain, **options})


@pytest.mark.parametrize("mix", MIXES.values(), ids=lambda mix: mix.name)
def test_the_same_seed_offers_the_same_requests(mix) -> None:
    first, second, other = (compute_digest(generate_requests(mix, 2.0, seed)) for seed in (3, 3, 4))
    assert first == second != other


def test_a_span_without_service_ends_with_the_next_answer() -> None:
    outcomes = [
        make_outcome(1.0),
        make_outcome(2.0, "not_run", 0.1),
        make_outcome(3.0, took_s=2.0),
        make_outcome(5.0, took_s=0.5),
    ]
    assert compute_unavailable(outcomes) == [3.5]


@pytest.mark.parametrize(
    ("invariant", "data"),
    [
        ("one owner", {"runs": [make_run(1, 101.0, 102.0), make_run(2, 101.5, 101.6)]}),
        ("at most once", {"runs": [make_run(1, 101, 102, "a"), make_run(1, 103, 104, "a")]}),
        ("own answer", {"outcomes": [make_outcome(1.0, wrong=True)]}),
        (
            "true refusal",
            {
                "outcomes": [make_outcome(1.0, "not_run", surely_not_run=True)],
                "runs": [make_run(1, 101.0, 101.1, "id-1")],
            },
        ),
        (
            "failure domain out",
            {
                "marks": [FaultMark(DomainOut(2.0, 0), 2.0)],
                "runs": [make_run(1, 107.0, 107.1)],
            },
        ),
    ],
)
def test_each_broken_invariant_is_found(invariant, data) -> None:
    assert [breach.invariant for breach in find_breaches(make_data(**data))] == [invariant]


def test_a_refusal_without_an_identifier_is_not_matched_with_runs_without_one() -> None:
    """Guards against false breaches: idempotent requests have no identifier to tell them apart."""
    offer = Offer(1.0, "painel", "/painel/key-1/show", 7, "", 0, False)
    refused = Outcome(offer, "not_run", "", 1, 1.1, surely_not_run=True)
    assert find_breaches(make_data(outcomes=[refused], runs=[make_run(1, 101.0, 102.0)])) == []


def test_runs_one_after_the_other_break_nothing() -> None:
    runs = [make_run(1, 101.0, 102.0, "a"), make_run(2, 102.0, 103.0, "b")]
    assert find_breaches(make_data(runs=runs)) == []


@pytest.mark.parametrize(
    "path", sorted(SCENARIO_DIRECTORY.glob("*.yaml")), ids=lambda path: path.stem
)
def test_each_scenario_can_be_read(path) -> None:
    assert load_scenario(path.stem).duration_s > 0


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("duration_s: x", "expected a number, not 'x'"),
        ("duration_s: 1\nfaults: [{fault: Nonsense, at_s: 1}]", "Nonsense"),
        ("duration_s: 1\nfaults: [{fault: VmLost, at_s: 1}]", "vm"),
        ("a: [", "not YAML"),
    ],
)
def test_a_wrong_scenario_is_refused(tmp_path, text, message) -> None:
    path = tmp_path / "scenario.yaml"
    path.write_text(text)
    with pytest.raises(ScenarioError, match=message):
        load_scenario(str(path))
