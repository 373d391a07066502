"""Searches collected log lines for the cause of a request's outcome."""

from __future__ import annotations

import re
from datetime import datetime
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

# Log collectors prefix a line with the daemon's name and possibly a timestamp of their own.
LINE_PATTERN = re.compile(
    r"^(?P<before>.*?)\btime=(?P<time>\S+) level=(?P<level>\w+) (?P<text>event=.*)$"
)
FIELD_PATTERN = re.compile(r"(\w+)=('[^']*'|\"[^\"]*\"|\S*)")
CONTEXT_BEFORE_S = 5.0  # configuration changes, takeovers and drains complete within this time
CONTEXT_AFTER_S = 0.5  # the loss of a backend server is logged after its failed requests
MAX_CONTEXT_LINES = 40  # those nearest to the outcome are the most relevant

_OWNERSHIP_EVENTS = frozenset(
    {
        "assignment_known",
        "assignment_written",
        "range_taken",
        "range_released",
        "takeover",
        "grant_unanswered",
        "grant_fenced",
        "store_lost",
        "store_regained",
        "peer_dropped",
        "leaving",
    }
)
_AVAILABILITY_EVENTS = frozenset(
    {
        "peer_dropped",
        "backend_down",
        "backend_back",
        "backend_crashed",
        "backend_changed",
        "backend_left",
        "leaving",
        "daemon_stopping",
        "daemon_started",
    }
)
_CAPACITY_EVENTS = frozenset(
    {
        "backend_changed",
        "backend_down",
        "backend_left",
        "assignment_written",
        "failure_domains_out",
        "leaving",
    }
)
_LIMIT_EVENTS = frozenset({"limit_changed", "limit_told"})
# Events that may have caused an outcome, by the reason in the ``not_answered`` line.
CAUSE_EVENTS = {
    "overloaded": _CAPACITY_EVENTS,
    "backend_cold": _CAPACITY_EVENTS,
    "backend_limited": _CAPACITY_EVENTS | _LIMIT_EVENTS,
    "backend_refused": _CAPACITY_EVENTS,
    "retry_budget": _CAPACITY_EVENTS,
    "not_owner": _OWNERSHIP_EVENTS,
    "no_owner": _OWNERSHIP_EVENTS | _AVAILABILITY_EVENTS,
    "handover_pending": _OWNERSHIP_EVENTS,
    "lease_lapsed": _OWNERSHIP_EVENTS,
    "failure_domain_out": frozenset({"failure_domains_out"}),
    "suspected_poison": frozenset({"backend_crashed"}),
    "draining": _CAPACITY_EVENTS | {"leaving_answered", "leaving_told"},
    "stopping": frozenset({"leaving", "daemon_stopping"}),
    "no_configuration": frozenset({"configuration", "configuration_refused", "store_lost"}),
}


@attrs.frozen
class LogLine:
    """One log line of one daemon.

    Parameters
    ----------
    time
        Timestamp as written in the line.
    at
        The same timestamp in seconds since the epoch, by the daemon's clock.
    text
        The line from its event on.
    """

    daemon: str
    time: str
    at: float
    event: str
    fields: dict[str, str]
    text: str


@attrs.frozen
class RequestTrace:
    """Log lines about one request.

    Parameters
    ----------
    attempt_lines
        Lines that name the attempt, by time.
    context_lines
        Lines of the involved daemons that may show the cause, by time.
    omitted_count
        Number of the earliest context lines, omitted beyond ``MAX_CONTEXT_LINES``.
    dropped_counts
        Number of log lines that daemons dropped in the same period, by event.
    """

    attempt_lines: list[LogLine]
    context_lines: list[LogLine]
    omitted_count: int
    dropped_counts: dict[str, int]


def parse_line(line: str, daemon: str) -> LogLine | None:
    """Parse a line, or return None; ``daemon`` is its writer unless a prefix names another."""
    match = LINE_PATTERN.match(line.rstrip("\n"))
    if match is None:
        return None
    before = match["before"].split()
    fields = {name: value.strip("'\"") for name, value in FIELD_PATTERN.findall(match["text"])}
    writer = before[-1] if before else daemon
    at = datetime.fromisoformat(match["time"]).timestamp()
    return LogLine(writer, match["time"], at, fields["event"], fields, match["text"])


def trace_request(lines: Iterable[LogLine], attempt: str) -> RequestTrace:
    """Return the lines of an attempt and those that may show the cause of its outcome.

    Lines of different daemons are ordered by their timestamps, although the clocks of VMs may
    differ.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    attempt_lines = [line for line in ordered if line.fields.get("attempt") == attempt]
    if not attempt_lines:
        return RequestTrace([], [], 0, _count_dropped(ordered))
    verdict_line = _find_verdict_line(attempt_lines)
    nearby = [
        line
        for line in ordered
        if verdict_line.at - CONTEXT_BEFORE_S <= line.at <= verdict_line.at + CONTEXT_AFTER_S
    ]
    cause_events = CAUSE_EVENTS.get(verdict_line.fields.get("reason", ""), _AVAILABILITY_EVENTS)
    daemons = {line.daemon for line in attempt_lines} | set(
        verdict_line.fields.get("tried", "").split(",")
    )
    key = verdict_line.fields.get("key", "-1")
    context = [
        line
        for line in nearby
        if line.event in cause_events and line.daemon in daemons and covers_key(line, key)
    ]
    omitted_count = max(0, len(context) - MAX_CONTEXT_LINES)
    return RequestTrace(
        attempt_lines, context[omitted_count:], omitted_count, _count_dropped(nearby)
    )


def _find_verdict_line(attempt_lines: list[LogLine]) -> LogLine:
    """Return the line with the verdict that the caller got, or the last line without one."""
    return next(
        (line for line in reversed(attempt_lines) if line.event == "not_answered"),
        attempt_lines[-1],
    )


def covers_key(line: LogLine, key: str) -> bool:
    """Return whether a line names no range of keys, or one that contains the key."""
    first, last = line.fields.get("first"), line.fields.get("last")
    if first is None or last is None or not key.isdigit():
        return True
    return int(first) <= int(key) <= int(last)


def _count_dropped(lines: Iterable[LogLine]) -> dict[str, int]:
    dropped: dict[str, int] = {}
    for line in lines:
        if line.event == "log_lines_dropped":
            name = line.fields["name"]
            dropped[name] = dropped.get(name, 0) + int(line.fields["count"])
    return dropped
