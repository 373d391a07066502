"""Judges a soak by what callers and backend servers saw; shares no code with the product."""

from __future__ import annotations

from collections import Counter, defaultdict

import attrs

NOT_RUN_STATUS = 503
OWNERSHIP_TOLERANCE_S = 0.05  # two clocks of one machine, and the time that one call takes
DRAIN_BOUND_S = 2.0
EVACUATION_BOUND_S = 5.0
LOSS_TOLERANCE_S = 0.2  # a request may cross the end of its connection
CONFIGURATION_BOUND_S = 2.0
RECONNECT_S = 3.0  # a VM is in touch again so long after a fault
DEADLINE_TOLERANCE_S = 1.0  # beyond a caller's time limit, on a machine with other work
RETRY_BUDGET_RATIO = 0.2
RETRY_BUDGET_ALLOWANCE = 60
RETRY_WINDOW_S = 10.0


# Rules with bounds in real time: a busy host alone can break them.
TIMED_RULES = frozenset({"HELD", "LOST", "STOP", "DRAIN", "EVAC", "CONFIG", "RECOVER"})


@attrs.frozen
class Breach:
    """One broken promise."""

    rule: str
    at: float
    subject: str
    detail: str


@attrs.frozen
class Call:
    """What a caller saw of one request; ``status`` is 0 where the connection failed."""

    attempt: str
    vm: int
    safe: bool
    sent_at: float
    ended_at: float
    status: int
    whole: bool
    timeout_s: float
    error: str = ""


@attrs.frozen
class ObservedRun:
    """One run at a backend server."""

    attempt: str
    backend: str
    vm: int
    failure_domain: str
    service: str
    at: float


@attrs.frozen
class OwnershipSpan:
    """Keys that one life of a backend server held."""

    backend: str
    first: int
    last: int
    start: float
    end: float


@attrs.frozen
class Span:
    """A time in which something was so, at a VM or in a failure domain."""

    subject: str
    start: float
    end: float


@attrs.define
class Observations:
    """All that was seen."""

    calls: list[Call] = attrs.field(factory=list)
    runs: list[ObservedRun] = attrs.field(factory=list)
    ownership_spans: list[OwnershipSpan] = attrs.field(factory=list)
    drained: list[Span] = attrs.field(factory=list)
    evacuated: list[Span] = attrs.field(factory=list)
    daemon_outages: list[Span] = attrs.field(factory=list)
    store_outages: list[Span] = attrs.field(factory=list)
    late_stops: list[Span] = attrs.field(factory=list)
    configuration_delays: list[Span] = attrs.field(factory=list)
    unserved_keys: list[Span] = attrs.field(factory=list)

    def had_daemon_outage(self, vm: int, start: float, end: float) -> bool:
        """Return whether a VM's daemon did not run in a time, or shortly before."""
        return _overlaps(self.daemon_outages, {f"vm-{vm}"}, start, end)

    def had_store_outage(self, vm: int, start: float, end: float) -> bool:
        """Return whether a VM was hurt, or had no sound way to the store."""
        disconnected = _overlaps(self.store_outages, {f"vm-{vm}", "site"}, start, end)
        return disconnected or self.had_daemon_outage(vm, start, end)


def _overlaps(spans: list[Span], subjects: set[str], start: float, end: float) -> bool:
    return any(
        s.subject in subjects and s.start <= end and start <= s.end + RECONNECT_S for s in spans
    )


def find_breaches(observations: Observations) -> list[Breach]:
    """Return all broken promises, in order of time."""
    breaches = [
        *find_double_owners(observations.ownership_spans),
        *check_calls(observations),
        *check_departures(observations),
        *check_retry_budget(observations.runs, observations.calls),
    ]
    breaches += [
        Breach("STOP", s.end, s.subject, f"still there {s.end - s.start:.2f} s after SIGTERM")
        for s in observations.late_stops
    ]
    breaches += [
        Breach(
            "CONFIG", s.end, s.subject, f"not in force {s.end - s.start:.2f} s after it was written"
        )
        for s in observations.configuration_delays
        if s.end - s.start > CONFIGURATION_BOUND_S
        and not observations.had_store_outage(_parse_vm_number(s.subject), s.start, s.end)
    ]
    breaches += [
        Breach(
            "RECOVER", s.end, s.subject, f"not served {s.end - s.start:.2f} s after the last fault"
        )
        for s in observations.unserved_keys
    ]
    return sorted(breaches, key=lambda breach: breach.at)


def _parse_vm_number(subject: str) -> int:
    return int(subject.removeprefix("vm-"))


def find_double_owners(ownership_spans: list[OwnershipSpan]) -> list[Breach]:
    """Return the times in which two backend servers held the same key."""
    found = []
    ordered = sorted(ownership_spans, key=lambda span: span.start)
    current_spans: list[OwnershipSpan] = []
    for span in ordered:
        current_spans = [other for other in current_spans if other.end > span.start]
        for other in current_spans:
            overlap_s = min(other.end, span.end) - span.start
            same_keys = other.first <= span.last and span.first <= other.last
            if other.backend != span.backend and same_keys and overlap_s > OWNERSHIP_TOLERANCE_S:
                key = max(other.first, span.first)
                detail = f"{other.backend} and {span.backend} for {overlap_s:.2f} s"
                found.append(Breach("OWNER", span.start, f"key {key}", detail))
        current_spans.append(span)
    return found


def check_calls(observations: Observations) -> list[Breach]:
    """Check each request: at most once, true refusals, whole own answers, in time."""
    runs: dict[str, list[ObservedRun]] = defaultdict(list)
    for run in observations.runs:
        runs[run.attempt].append(run)
    found = []
    for call in observations.calls:
        matching_runs = runs.get(call.attempt, [])
        at, name = call.ended_at, f"request {call.attempt}"
        if not call.safe and len(matching_runs) > 1:
            found.append(Breach("TWICE", at, name, f"ran {len(matching_runs)} times"))
        if not call.safe and call.status == NOT_RUN_STATUS and matching_runs:
            found.append(Breach("REFUSED", at, name, f"ran on {matching_runs[0].backend}"))
        if call.status == 200 and not (call.whole and matching_runs):
            found.append(
                Breach("MIXED", at, name, f"answer is not its own, {len(matching_runs)} runs")
            )
        daemon_up = not observations.had_daemon_outage(call.vm, call.sent_at, call.ended_at)
        took_s = call.ended_at - call.sent_at
        if daemon_up and took_s > call.timeout_s + DEADLINE_TOLERANCE_S:
            found.append(
                Breach(
                    "HELD", at, name, f"by vm-{call.vm} for {call.ended_at - call.sent_at:.2f} s"
                )
            )
        closed_before_run = not matching_runs and call.ended_at - call.sent_at <= LOSS_TOLERANCE_S
        if daemon_up and call.status == 0 and call.error == "cut" and not closed_before_run:
            found.append(
                Breach("LOST", at, name, f"cut by vm-{call.vm}, {len(matching_runs)} runs")
            )
    return found


def _show_end(call: Call) -> str:
    return f"status {call.status}" if call.status else f"connection {call.error}"


def check_departures(observations: Observations) -> list[Breach]:
    """Check that nothing reaches what has left."""
    found = []
    for run in observations.runs:
        # Who acknowledged a leave itself is bound by it whatever becomes of the store.
        for rule, spans, name, bound_s, had_outage in (
            (
                "DRAIN",
                observations.drained,
                run.backend,
                DRAIN_BOUND_S,
                observations.had_daemon_outage,
            ),
            (
                "EVAC",
                observations.evacuated,
                run.failure_domain,
                EVACUATION_BOUND_S,
                observations.had_store_outage,
            ),
        ):
            for span in spans:
                late = span.subject == name and span.start + bound_s < run.at < span.end
                if late and not had_outage(run.vm, span.start, run.at):
                    after = f"{run.at - span.start:.2f} s after {span.subject} left"
                    found.append(Breach(rule, run.at, f"request {run.attempt}", after))
    return found


def check_retry_budget(runs: list[ObservedRun], calls: list[Call]) -> list[Breach]:
    """Check that repeats stay within their budget, in steps of half a window."""
    known_attempts: set[str] = set()
    request_counts: Counter[int] = Counter(int(call.sent_at / RETRY_WINDOW_S) for call in calls)
    repeat_counts: Counter[int] = Counter()
    for run in sorted(runs, key=lambda run: run.at):
        if run.attempt in known_attempts:
            repeat_counts[int(run.at / RETRY_WINDOW_S)] += 1
        known_attempts.add(run.attempt)
    return [
        Breach("BUDGET", window * RETRY_WINDOW_S, "site", f"{count} repeats")
        for window, count in repeat_counts.items()
        if count
        > RETRY_BUDGET_RATIO * max(request_counts[window], request_counts[window - 1])
        + RETRY_BUDGET_ALLOWANCE
    ]
