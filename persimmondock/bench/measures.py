"""Measures of a run, and checks of the invariants."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

import attrs
import numpy as np
from hdrh.histogram import HdrHistogram

from persimmondock.bench.callers import ANSWERED
from persimmondock.bench.faults import DomainBack, DomainOut
from persimmondock.standins.checks import find_overlaps, find_repeated_runs

if TYPE_CHECKING:
    from persimmondock.bench.callers import Outcome
    from persimmondock.bench.faults import FaultMark
    from persimmondock.bench.mixes import Mix
    from persimmondock.standins.fleet import JournalRun

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
LATE_AFTER_S = 1.0  # requests answered later count as not served
DOMAIN_OUT_BOUND_S = 4.0  # after which no run may start in a failure domain taken out


@attrs.frozen
class Latency:
    """Quantiles of the time from the intended sending to the answer, in milliseconds."""

    name: str
    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float


@attrs.frozen
class Breach:
    """An invariant that did not hold.

    Parameters
    ----------
    at_s
        Time of the breach, in seconds after the start of the load.
    subject
        Key, slice or identifier that it concerns.
    """

    invariant: str
    at_s: float
    subject: str


@attrs.frozen
class Measures:
    """The measures of one run.

    Parameters
    ----------
    offered
        Number of offered requests.
    digest
        Digest of the offered requests.
    attempts_over_offered
        Mean number of attempts per offered request.
    unavailable_p50_s, unavailable_p99_s, unavailable_max_s, unavailable_total_s
        Quantiles, maximum and sum of the spans without service; see `compute_unavailable`.
    imbalance
        Runs of the busiest backend server divided by the mean, by service.
    appends
        Number of records that were appended to the log.
    cold_overloads
        Number of requests that overloaded a cold backend server.
    domain_move_answered, domain_move_p99_ms
        Share answered and 99th percentile latency of the requests due when a failure domain was
        taken out or brought back.
    """

    offered: int
    digest: str
    verdicts: dict[str, int]
    reasons: dict[str, int]
    attempts_over_offered: float
    latencies: tuple[Latency, ...]
    unavailable_p50_s: float
    unavailable_p99_s: float
    unavailable_max_s: float
    unavailable_total_s: float
    imbalance: dict[str, float]
    slices_moved: int
    appends: int
    cold_overloads: int
    domain_move_answered: float
    domain_move_p99_ms: float
    faults: tuple[str, ...]
    breaches: tuple[Breach, ...]


@attrs.frozen
class RunData:
    """The data of one run from which its measures are computed.

    Parameters
    ----------
    started_at
        Start of the load, in Unix seconds.
    """

    mix: Mix
    outcomes: list[Outcome]
    runs: list[JournalRun]
    marks: list[FaultMark]
    started_at: float
    digest: str
    slices_moved: int
    appends: int
    cold_overloads: int
    config_breaches: list[Breach]


def compute_measures(data: RunData) -> Measures:
    """Compute the measures of one run and check the invariants."""
    outcomes = data.outcomes
    gaps = compute_unavailable(outcomes)
    moved = _select_domain_move_outcomes(data)
    return Measures(
        offered=len(outcomes),
        digest=data.digest,
        verdicts=dict(sorted(Counter(o.verdict for o in outcomes).items())),
        reasons=dict(sorted(Counter(o.reason for o in outcomes if o.reason).items())),
        attempts_over_offered=sum(o.attempts for o in outcomes) / max(1, len(outcomes)),
        latencies=tuple(_measure_latency(service.name, outcomes) for service in data.mix.services),
        unavailable_p50_s=_compute_quantile(gaps, 0.5),
        unavailable_p99_s=_compute_quantile(gaps, 0.99),
        unavailable_max_s=max(gaps, default=0.0),
        unavailable_total_s=sum(gaps),
        imbalance=_measure_imbalance(data),
        slices_moved=data.slices_moved,
        appends=data.appends,
        cold_overloads=data.cold_overloads,
        domain_move_answered=_compute_answered_share(moved),
        domain_move_p99_ms=_measure_latency("", moved).p99_ms,
        faults=tuple(f"{mark.at_s:.2f} s {mark.fault} {mark.note}".strip() for mark in data.marks),
        breaches=tuple(find_breaches(data)),
    )


def _measure_latency(name: str, outcomes: list[Outcome]) -> Latency:
    """Measure the answered requests of a service, or of all services if the name is empty."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for outcome in outcomes:
        if outcome.verdict == ANSWERED and name in ("", outcome.offer.service):
            histogram.record_value(max(1, round(outcome.latency_s * 1e6)))
    quantiles = [histogram.get_value_at_percentile(p) / 1000 for p in (50.0, 99.0, 99.9)]
    return Latency(name, histogram.get_total_count(), *quantiles)


def compute_unavailable(outcomes: list[Outcome]) -> list[float]:
    """Return the spans without service, one for each interruption of a slice, in seconds.

    A span starts when a request is due that is not answered within ``LATE_AFTER_S``. It ends with
    the next answer within that time for the same slice, or with the last outcome of the slice.
    Requests without a slice are grouped by service.
    """
    groups: dict[tuple[str, int], list[Outcome]] = defaultdict(list)
    for outcome in outcomes:
        groups[(outcome.offer.service, outcome.offer.slice)].append(outcome)
    gaps = []
    for group in groups.values():
        group.sort(key=lambda outcome: outcome.offer.at_s)
        gaps += _find_gaps(group)
    return gaps


def _find_gaps(group: list[Outcome]) -> list[float]:
    gaps = []
    gap_started_at_s: float | None = None
    for outcome in group:
        answered = outcome.verdict == ANSWERED
        if answered and outcome.latency_s <= LATE_AFTER_S:
            if gap_started_at_s is not None:
                gaps.append(outcome.ended_at_s - gap_started_at_s)
                gap_started_at_s = None
        elif gap_started_at_s is None:
            gap_started_at_s = outcome.offer.at_s
    if gap_started_at_s is not None:
        gaps.append(max(outcome.ended_at_s for outcome in group) - gap_started_at_s)
    return gaps


def _compute_quantile(values: list[float], q: float) -> float:
    return float(np.quantile(values, q)) if values else 0.0


def _measure_imbalance(data: RunData) -> dict[str, float]:
    """Return the runs of the busiest backend server divided by the mean, for each service."""
    counts: Counter[str] = Counter(run.backend for run in data.runs)
    plans = data.mix.build_plans()
    imbalance = {}
    for service in data.mix.services:
        loads = [counts[f"backend-{p.number}"] for p in plans if p.service == service.name]
        mean = sum(loads) / len(loads)
        imbalance[service.name] = round(max(loads) / mean, 2) if mean else 0.0
    return imbalance


def _select_domain_move_outcomes(data: RunData) -> list[Outcome]:
    """Return the outcomes of requests due when a failure domain was taken out or brought back.

    The period starts 0.5 seconds before and ends ``DOMAIN_OUT_BOUND_S`` after.
    """
    starts = [m.at_s for m in data.marks if isinstance(m.fault, DomainOut | DomainBack)]
    return [
        outcome
        for outcome in data.outcomes
        if any(start - 0.5 <= outcome.offer.at_s <= start + DOMAIN_OUT_BOUND_S for start in starts)
    ]


def _compute_answered_share(outcomes: list[Outcome]) -> float:
    if not outcomes:
        return 1.0
    return sum(outcome.verdict == ANSWERED for outcome in outcomes) / len(outcomes)


def find_breaches(data: RunData) -> list[Breach]:
    """Return all breaches of the invariants."""
    breaches = list(data.config_breaches)
    plans = data.mix.build_plans()
    service_of = {f"backend-{plan.number}": plan.service for plan in plans}
    for overlap in find_overlaps(data.runs, service_of):
        run = overlap.second
        at_s = run.started_at - data.started_at
        subject = f"{service_of[run.backend]} slice {run.slice} {run.path}"
        breaches.append(Breach("one owner", at_s, subject))
    repeated = find_repeated_runs(data.runs)
    for request_id in repeated:
        runs = [run for run in data.runs if run.request_id == request_id]
        at_s = max(run.started_at for run in runs) - data.started_at
        breaches.append(Breach("at most once", at_s, f"{request_id} {runs[0].path}"))
    ran = {run.request_id for run in data.runs if run.request_id}
    for outcome in data.outcomes:
        if outcome.wrong:
            breaches.append(Breach("own answer", outcome.ended_at_s, outcome.offer.path))
        if outcome.surely_not_run and outcome.offer.request_id in ran:
            breaches.append(Breach("true refusal", outcome.ended_at_s, outcome.offer.request_id))
    breaches += _find_runs_in_domains_out(data)
    return breaches


def _find_runs_in_domains_out(data: RunData) -> list[Breach]:
    """Return the runs that started in a failure domain that was out of service.

    Runs that start within ``DOMAIN_OUT_BOUND_S`` after it was taken out are allowed.
    """
    breaches = []
    domains = {f"backend-{p.number}": p.failure_domain for p in data.mix.build_plans()}
    for mark in data.marks:
        if not isinstance(mark.fault, DomainOut):
            continue
        index = mark.fault.domain
        back_at_s = min(
            (
                other.fault.at_s
                for other in data.marks
                if isinstance(other.fault, DomainBack)
                and other.fault.domain == index
                and other.fault.at_s > mark.fault.at_s
            ),
            default=float("inf"),
        )
        for run in data.runs:
            at_s = run.started_at - data.started_at
            out = domains[run.backend] == data.mix.failure_domains[index]
            if out and mark.at_s + DOMAIN_OUT_BOUND_S < at_s < back_at_s:
                breaches.append(Breach("failure domain out", at_s, f"{run.backend} {run.path}"))
    return breaches
