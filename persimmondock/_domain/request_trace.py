"""Finds in collected log lines why one request ended as it did."""

from __future__ import annotations

import re
from datetime import datetime
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

# Collectors put a name, and perhaps an instant of their own, in front of a daemon's line.
LINE_PATTERN = re.compile(
    r"^(?P<before>.*?)\btime=(?P<time>\S+) level=(?P<level>\w+) (?P<text>event=.*)$"
)
FIELD_PATTERN = re.compile(r"(\w+)=('[^']*'|\"[^\"]*\"|\S*)")
CONTEXT_BEFORE_S = 5.0  # configurations, takeovers and drains have settled after this time
CONTEXT_AFTER_S = 0.5  # the line of a lost backend server follows the requests that it took along
MAX_CONTEXT_LINES = 40  # lines; the nearest ones say most

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
# What may have caused an end, by the reason that the front gave.
CAUSE_EVENTS = {
    "overloaded": _CAPACITY_EVENTS,
    "backend_cold": _CAPACITY_EVENTS,
    "backend_refused": _CAPACITY_EVENTS,
    "not_owner": _OWNERSHIP_EVENTS,
    "no_owner": _OWNERSHIP_EVENTS | _AVAILABILITY_EVENTS,
    "handover_pending": _OWNERSHIP_EVENTS,
    "lease_lapsed": _OWNERSHIP_EVENTS,
    "failure_domain_out": frozenset({"failure_domains_out"}),
    "suspected_poison": frozenset({"backend_crashed"}),
    "draining": _CAPACITY_EVENTS,
    "no_configuration": frozenset({"configuration", "configuration_refused", "store_lost"}),
}


@attrs.frozen
class LogLine:
    """One line of one daemon.

    Parameters
    ----------
    at
        Seconds since the epoch by the daemon's clock, as ``time`` shows them.
    """

    daemon: str
    time: str
    at: float
    event: str
    fields: dict[str, str]
    text: str


@attrs.frozen
class RequestTrace:
    """What the lines say of one request.

    Parameters
    ----------
    attempt_lines
        Lines that name the attempt, in order.
    context_lines
        Lines of the daemons concerned that may tell the cause, in order.
    omitted_count
        Number of such lines that were left out, farthest from the end first.
    dropped_counts
        Lines that daemons did not write, by event, within the same time.
    """

    attempt_lines: list[LogLine]
    context_lines: list[LogLine]
    omitted_count: int
    dropped_counts: dict[str, int]


def parse_line(line: str, daemon: str) -> LogLine | None:
    """Read a line; ``daemon`` is its writer unless a name stands in front of the line."""
    match = LINE_PATTERN.match(line.rstrip("\n"))
    if match is None:
        return None
    before = match["before"].split()
    fields = {name: value.strip("'\"") for name, value in FIELD_PATTERN.findall(match["text"])}
    writer = before[-1] if before else daemon
    at = datetime.fromisoformat(match["time"]).timestamp()
    return LogLine(writer, match["time"], at, fields["event"], fields, match["text"])


def trace_request(lines: Iterable[LogLine], attempt: str) -> RequestTrace:
    """Return the lines of an attempt, and those that may tell why it ended so.

    Clocks of VMs may differ: lines of different daemons are ordered by what their clocks said.
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
        if line.event in cause_events and line.daemon in daemons and _covers_key(line, key)
    ]
    omitted_count = max(0, len(context) - MAX_CONTEXT_LINES)
    return RequestTrace(
        attempt_lines, context[omitted_count:], omitted_count, _count_dropped(nearby)
    )


def _find_verdict_line(attempt_lines: list[LogLine]) -> LogLine:
    """Return the line of the front's verdict, or the last one that there is."""
    return next(
        (line for line in reversed(attempt_lines) if line.event == "not_answered"),
        attempt_lines[-1],
    )


def _covers_key(line: LogLine, key: str) -> bool:
    """Return whether a line about a range of keys is about this one."""
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
