"""Checks a soak by what callers and backend servers observed.

Imports nothing of the product, so that the checks do not share its faults. All instants are in
seconds of the monotonic clock.

Rules
-----
OWNER
    No two processes of backend servers own a key at the same time, and none takes a key under a
    fencing token that is not above all under which other processes had it.
TWICE
    A request that is not safe runs at most once.
REFUSED
    A request that is not safe and is answered with one of ``NOT_RUN_STATUSES`` has not run.
TENANT
    A backend server is told the tenant of each request, and never a tenant's key.
QUOTA
    Little more requests of a tenant run in any window than its limit allows, at all VMs together.
MIXED
    An answer has a status that exists; with status 200 it is the complete answer to its own
    request, which has run.
HELD
    A request ends by its time limit.
LOST
    A daemon that is up does not close the connection of a request without an answer.
DRAIN, EVAC
    Drained backend servers and evacuated failure domains soon get no new requests.
LIMIT
    A backend server that names a limit soon gets little more from VMs that passed that on.
BUDGET
    Arrivals at a service beyond the first of each request, and calls made by repeated runs, stay
    within its retry budget in any window.
STOP
    A daemon exits within its grace period after SIGTERM.
FAULT
    A daemon's process ends by plan only, takes no more memory than it has, and serves in time after
    its start.
CONFIG
    A new configuration is in force in time.
RECOVER
    All keys are served in time after the start and after the last fault.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict

import attrs

NOT_RUN_STATUSES = (408, 421, 429, 503)
NO_ROUTE_STATUS = 404
FINAL_STATUSES = range(200, 600)
OWNERSHIP_TOLERANCE_S = 0.05  # difference of two clocks on one machine, plus the time of one call
DRAIN_BOUND_S = 2.0
EVACUATION_BOUND_S = 5.0
LOSS_TOLERANCE_S = 0.2  # a request may be sent while its connection is closing
CONFIGURATION_BOUND_S = 2.0
RECONNECT_S = 3.0  # time in which a VM reconnects after a fault
DEADLINE_TOLERANCE_S = 1.0  # beyond a caller's time limit, on a machine under other load
RETRY_BUDGET_RATIO = 0.2  # repeats per call
RETRY_BUDGET_ALLOWANCE = 60  # repeats per window in addition to the ratio
RETRY_WINDOW_S = 10.0
QUOTA_WINDOW_S = 5.0
QUOTA_RATIO = 1.1  # of what the tenant's limit allows
QUOTA_ALLOWANCE = 20  # requests per window in addition to the ratio
LIMIT_BINDS_AFTER_S = 3.0
NOTICE_KNOWN_AFTER_S = 0.5  # after a VM has passed an answer with it on
LIMIT_WINDOW_S = 4.0
LIMIT_RATIO = 1.5  # of what the limit allows
LIMIT_ALLOWANCE = 5  # requests per window in addition to the ratio

# Rules with bounds in real time, which a busy host alone can break.
TIMED_RULES = frozenset({"HELD", "LOST", "STOP", "DRAIN", "EVAC", "CONFIG", "RECOVER", "LIMIT"})


@attrs.frozen
class Breach:
    """One violation of a rule.

    Parameters
    ----------
    at
        Instant at which it was observed.
    subject
        Request, key, VM or site that it concerns.
    """

    rule: str
    at: float
    subject: str
    detail: str


@attrs.frozen
class Notice:
    """What an answer said about a backend server.

    Parameters
    ----------
    instance
        Instance of the backend server; empty without an answer of one.
    limited
        Whether the answer named a limit.
    leaving
        Whether it said that the backend server leaves.
    """

    instance: str = ""
    limited: bool = False
    leaving: bool = False


@attrs.frozen
class Call:
    """One request, as its caller observed it.

    Parameters
    ----------
    attempt
        Identifier of the request, which all its runs share.
    vm
        Number of the VM that the request was sent to.
    safe
        Whether the request may run more than once.
    status
        Status code; 0 if there was no complete answer.
    whole
        Whether the body is the complete answer to this request.
    timeout_s
        Time limit that the caller gave.
    tenant
        Tenant whose key the caller sent.
    service
        Service that its route leads to.
    error
        ``refused``, ``cut`` or ``silent`` if ``status`` is 0: the connection was not accepted or
        was closed early, or no answer came in time.
    """

    attempt: str
    vm: int
    safe: bool
    sent_at: float
    ended_at: float
    status: int
    whole: bool
    timeout_s: float
    error: str = ""
    notice: Notice = attrs.field(factory=Notice)
    tenant: str = ""
    service: str = ""


@attrs.frozen
class ObservedRun:
    """One run of a request on an instance of a backend server.

    Parameters
    ----------
    tenant
        Tenant that the backend server was told.
    key_seen
        Whether it was told a tenant's key.
    """

    attempt: str
    backend: str
    vm: int
    failure_domain: str
    service: str
    at: float
    tenant: str = ""
    key_seen: bool = False


@attrs.frozen
class Arrival:
    """A request that reached a backend server of a service, whether it ran or not."""

    service: str
    attempt: str
    at: float


@attrs.frozen
class ObservedCall:
    """A call of a service, made by a run of a request.

    Parameters
    ----------
    parent
        Identifier of the request that was run.
    parent_at
        Instant at which that had arrived for this run.
    """

    service: str
    attempt: str
    parent: str
    parent_at: float
    at: float


@attrs.frozen
class OwnershipSpan:
    """A period in which a process of a backend server owned keys.

    Parameters
    ----------
    first, last
        Range of the keys, both included.
    fence
        Fencing token under which it had them.
    """

    backend: str
    first: int
    last: int
    fence: int
    start: float
    end: float


@attrs.frozen
class Span:
    """A period in which a condition held for a subject; see ``Observations``."""

    subject: str
    start: float
    end: float


@attrs.frozen
class LimitSpan:
    """A period in which an instance of a backend server named one limit."""

    backend: str
    start: float
    end: float
    per_s: float


@attrs.frozen
class Fault:
    """A daemon's process that ended without a plan, was killed for memory, or does not serve."""

    vm: str
    at: float
    detail: str


@attrs.define
class Observations:
    """All observations of a soak.

    Parameters
    ----------
    drained
        Instances of backend servers, from the acknowledgement of their drain to their end.
    evacuated
        Failure domains, from their evacuation to its end.
    daemon_outages
        VMs whose daemon was killed or frozen.
    daemon_restarts
        VMs whose daemon was stopped by SIGTERM and started again.
    store_outages
        VMs, or the whole ``site``, whose access to the store was disturbed.
    late_stops
        VMs whose daemon outlasted its grace period, from SIGTERM until it was killed.
    endless_attempts
        Requests that a backend server answered without end, and which have no whole answer.
    faults
        Faults of the daemons' processes.
    configuration_delays
        VMs whose daemon did not know the newest configuration, from its writing to the request
        that showed this.
    limits
        Limits that backend servers named.
    quotas
        Limits of tenants: requests per second, and the burst.
    arrivals
        All requests that reached backend servers.
    backend_calls
        Calls that runs made.
    unserved_keys
        Keys that were not served within the time allowed after the start or the last fault.
    """

    calls: list[Call] = attrs.field(factory=list)
    runs: list[ObservedRun] = attrs.field(factory=list)
    ownership_spans: list[OwnershipSpan] = attrs.field(factory=list)
    drained: list[Span] = attrs.field(factory=list)
    evacuated: list[Span] = attrs.field(factory=list)
    daemon_outages: list[Span] = attrs.field(factory=list)
    daemon_restarts: list[Span] = attrs.field(factory=list)
    store_outages: list[Span] = attrs.field(factory=list)
    late_stops: list[Span] = attrs.field(factory=list)
    endless_attempts: set[str] = attrs.field(factory=set)
    faults: list[Fault] = attrs.field(factory=list)
    configuration_delays: list[Span] = attrs.field(factory=list)
    limits: list[LimitSpan] = attrs.field(factory=list)
    unserved_keys: list[Span] = attrs.field(factory=list)
    quotas: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    arrivals: list[Arrival] = attrs.field(factory=list)
    backend_calls: list[ObservedCall] = attrs.field(factory=list)

    def had_daemon_outage(self, vm: int, start: float, end: float) -> bool:
        """Return whether a VM's daemon was down in a period or within ``RECONNECT_S`` before it."""
        return _overlaps(self.daemon_outages, {f"vm-{vm}"}, start, end)

    def had_new_process(self, vm: int, start: float, end: float) -> bool:
        """Return whether a VM's daemon was down or restarted, as for ``had_daemon_outage``."""
        restarted = _overlaps(self.daemon_restarts, {f"vm-{vm}"}, start, end)
        return restarted or self.had_daemon_outage(vm, start, end)

    def had_store_outage(self, vm: int, start: float, end: float) -> bool:
        """Return whether a VM's daemon was down or its access to the store was disturbed.

        As for ``had_daemon_outage``, the period begins ``RECONNECT_S`` early.
        """
        disconnected = _overlaps(self.store_outages, {f"vm-{vm}", "site"}, start, end)
        return disconnected or self.had_daemon_outage(vm, start, end)


def _overlaps(spans: list[Span], subjects: set[str], start: float, end: float) -> bool:
    return any(
        s.subject in subjects and s.start <= end and start <= s.end + RECONNECT_S for s in spans
    )


def find_breaches(observations: Observations) -> list[Breach]:
    """Return all breaches of the rules, in order of time."""
    breaches = [
        *find_double_owners(observations.ownership_spans),
        *find_stale_owners(observations.ownership_spans),
        *check_calls(observations),
        *check_drains_and_evacuations(observations),
        *check_retry_budget(observations),
        *check_notices(observations),
        *check_tenants(observations),
    ]
    breaches += [
        Breach("STOP", s.end, s.subject, f"still running {s.end - s.start:.2f} s after SIGTERM")
        for s in observations.late_stops
    ]
    breaches += [Breach("FAULT", f.at, f.vm, f.detail) for f in observations.faults]
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
    """Return a breach for each period in which two instances owned the same key."""
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


def find_stale_owners(ownership_spans: list[OwnershipSpan]) -> list[Breach]:
    """Return a breach for each range that was taken under a token that is not above all others.

    A process may renew its own ownership. One that ended and its successor at the same address are
    different processes.
    """
    found: dict[tuple[str, int, int, int], Breach] = {}
    seen: dict[tuple[str, int, int], int] = {}  # highest fencing token, by process and range
    for span in sorted(ownership_spans, key=lambda span: span.start):
        others = [
            (fence, max(first, span.first), backend)
            for (backend, first, last), fence in seen.items()
            if backend != span.backend and first <= span.last and span.first <= last
        ]
        if others and max(others)[0] >= span.fence:
            fence, key, backend = max(others)
            detail = f"{span.backend} under token {span.fence}, {backend} had it under {fence}"
            found.setdefault(
                (span.backend, span.first, span.last, span.fence),
                Breach("OWNER", span.start, f"key {key}", detail),
            )
        taken = (span.backend, span.first, span.last)
        seen[taken] = max(span.fence, seen.get(taken, span.fence))
    return list(found.values())


def check_calls(observations: Observations) -> list[Breach]:
    """Check that calls run at most once unless safe, and are answered correctly and in time."""
    runs: dict[str, list[ObservedRun]] = defaultdict(list)
    for run in observations.runs:
        runs[run.attempt].append(run)
    found = []
    for call in observations.calls:
        matching_runs = runs.get(call.attempt, [])
        at, name = call.ended_at, f"request {call.attempt}"
        if not call.safe and len(matching_runs) > 1:
            found.append(Breach("TWICE", at, name, f"ran {len(matching_runs)} times"))
        if not call.safe and call.status in NOT_RUN_STATUSES and matching_runs:
            found.append(Breach("REFUSED", at, name, f"ran on {matching_runs[0].backend}"))
        endless = call.attempt in observations.endless_attempts
        if call.status == 200 and not (call.whole and matching_runs) and not endless:
            found.append(
                Breach("MIXED", at, name, f"wrong or incomplete answer, {len(matching_runs)} runs")
            )
        if not (call.status in FINAL_STATUSES or call.error):
            found.append(Breach("MIXED", at, name, f"status {call.status:03d}"))
        daemon_up = not observations.had_daemon_outage(call.vm, call.sent_at, call.ended_at)
        took_s = call.ended_at - call.sent_at
        if daemon_up and took_s > call.timeout_s + DEADLINE_TOLERANCE_S:
            found.append(
                Breach(
                    "HELD", at, name, f"by vm-{call.vm} for {call.ended_at - call.sent_at:.2f} s"
                )
            )
        closed_before_run = not matching_runs and call.ended_at - call.sent_at <= LOSS_TOLERANCE_S
        cut = call.status == 0 and call.error == "cut" and not endless
        if daemon_up and cut and not closed_before_run:
            found.append(
                Breach("LOST", at, name, f"cut by vm-{call.vm}, {len(matching_runs)} runs")
            )
    return found


def _show_end(call: Call) -> str:
    return f"status {call.status}" if call.status else f"connection {call.error}"


def check_drains_and_evacuations(observations: Observations) -> list[Breach]:
    """Check that no request reaches a drained backend server or an evacuated failure domain."""
    found = []
    for run in observations.runs:
        # A daemon learns of an evacuation from the store, so a store outage excuses a late one. It
        # acknowledges a drain itself, and has to obey it even without the store, and after a
        # restart, as soon as it has reconnected.
        for rule, spans, name, bound_s, had_outage in (
            (
                "DRAIN",
                observations.drained,
                run.backend,
                DRAIN_BOUND_S,
                lambda vm, _, at: observations.had_daemon_outage(vm, at, at),
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
                    after = f"{run.at - span.start:.2f} s after {span.subject} was taken out"
                    found.append(Breach(rule, run.at, f"request {run.attempt}", after))
    return found


def check_notices(observations: Observations) -> list[Breach]:
    """Check that VMs heed what answers that they passed on said about backend servers.

    A new process of a VM's daemon has nothing to heed yet.
    """
    calls_by_attempt = {call.attempt: call for call in observations.calls}
    limited_since: dict[tuple[int, str], float] = {}
    leaving_since: dict[tuple[int, str], float] = {}
    for call in sorted(observations.calls, key=lambda call: call.ended_at):
        subject = (call.vm, call.notice.instance)
        if call.notice.limited:
            limited_since.setdefault(subject, call.ended_at)
        if call.notice.leaving:
            leaving_since.setdefault(subject, call.ended_at)
    found = []
    bound_runs: dict[str, list[float]] = defaultdict(list)
    for run in observations.runs:
        if run.attempt not in calls_by_attempt:
            continue
        call = calls_by_attempt[run.attempt]
        subject = (call.vm, run.backend.rpartition("/")[2])
        since = leaving_since.get(subject)
        if (
            since is not None
            and call.sent_at > since + DRAIN_BOUND_S
            and not observations.had_new_process(call.vm, since, run.at)
        ):
            after = f"sent {call.sent_at - since:.2f} s after vm-{call.vm} passed on that it leaves"
            found.append(Breach("DRAIN", run.at, f"request {run.attempt}", after))
        since = limited_since.get(subject)
        if (
            since is not None
            and run.at >= since + NOTICE_KNOWN_AFTER_S
            and not observations.had_new_process(call.vm, since, run.at)
        ):
            bound_runs[run.backend].append(run.at)
    for limit in observations.limits:
        start = limit.start + LIMIT_BINDS_AFTER_S
        times = sorted(at for at in bound_runs[limit.backend] if start <= at < limit.end)
        allowed = LIMIT_RATIO * LIMIT_WINDOW_S * limit.per_s + LIMIT_ALLOWANCE
        counts = [sum(at <= other < at + LIMIT_WINDOW_S for other in times) for at in times]
        if counts and max(counts) > allowed:
            detail = f"{max(counts)} requests in {LIMIT_WINDOW_S:g} s, allowed {allowed:g}"
            found.append(Breach("LIMIT", start, limit.backend, detail))
    return found


def check_tenants(observations: Observations) -> list[Breach]:
    """Check what backend servers are told of tenants, and the limits of tenants.

    Counted are the requests that were both sent and run in a window.
    """
    calls_by_attempt = {call.attempt: call for call in observations.calls}
    sent_and_run: dict[str, list[tuple[float, float]]] = defaultdict(list)
    found = []
    for run in observations.runs:
        call = calls_by_attempt.get(run.attempt)
        if call is None:
            continue
        if run.key_seen or run.tenant != call.tenant:
            detail = f"of {call.tenant!r} as {run.tenant!r}, key shown: {run.key_seen}"
            found.append(Breach("TENANT", run.at, f"request {run.attempt}", detail))
        sent_and_run[call.tenant].append((call.sent_at, run.at))
    for tenant, (per_s, burst) in observations.quotas.items():
        allowed = QUOTA_RATIO * (per_s * QUOTA_WINDOW_S + burst) + QUOTA_ALLOWANCE
        for start, _ in sent_and_run[tenant]:
            end = start + QUOTA_WINDOW_S
            count = sum(start <= sent and ran < end for sent, ran in sent_and_run[tenant])
            if count > allowed:
                detail = f"{count} requests in {QUOTA_WINDOW_S:g} s, allowed {allowed:g}"
                found.append(Breach("QUOTA", start, f"tenant {tenant}", detail))
                break
    return found


def check_retry_budget(observations: Observations) -> list[Breach]:
    """Check that repeats at each service stay within its retry budget in any window.

    Requests are counted in the window, the one before it or the one half a window before it,
    whichever has most.
    """
    repeats = _find_repeats(observations)
    requests: dict[str, list[float]] = defaultdict(list)
    for call in observations.calls:
        if call.status != NO_ROUTE_STATUS:
            requests[call.service].append(call.sent_at)
    for backend_call in observations.backend_calls:
        requests[backend_call.service].append(backend_call.at)
    found = []
    for service, times in repeats.items():
        sent = sorted(requests[service])
        for number, start in enumerate(times):
            count = _count_in_window(times, start)
            most = max(_count_in_window(sent, start - s * RETRY_WINDOW_S) for s in (0.0, 0.5, 1.0))
            allowed = RETRY_BUDGET_RATIO * most + RETRY_BUDGET_ALLOWANCE
            if count > allowed:
                detail = f"{count} repeats for {most} requests, allowed {allowed:.0f}"
                found.append(Breach("BUDGET", times[number], f"service {service}", detail))
                break
    return found


def _find_repeats(observations: Observations) -> dict[str, list[float]]:
    """Return the instants of arrivals that count as repeats, in order, by service."""
    arrivals = sorted(observations.arrivals, key=lambda arrival: arrival.at)
    first_at: dict[str, float] = {}
    for arrival in arrivals:
        first_at.setdefault(arrival.attempt, arrival.at)
    inherited = {
        call.attempt
        for call in observations.backend_calls
        if first_at.get(call.parent, call.parent_at) < call.parent_at
    }
    repeats: dict[str, list[float]] = defaultdict(list)
    arrived: set[str] = set()
    for arrival in arrivals:
        if arrival.attempt in inherited or arrival.attempt in arrived:
            repeats[arrival.service].append(arrival.at)
        arrived.add(arrival.attempt)
    return repeats


def _count_in_window(times: list[float], start: float) -> int:
    return bisect_left(times, start + RETRY_WINDOW_S) - bisect_left(times, start)
