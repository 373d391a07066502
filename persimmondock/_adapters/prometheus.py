"""Metrics in the Prometheus text format.

Tasks join the name of a metric and the values of its labels with dots, as in
``requests.not_run.overloaded``. The same names are sent to statsd. Durations are recorded in
milliseconds under names that end in ``_ms``, and rendered in seconds under ``_seconds``.

The client library is imported when metrics are first rendered: its import takes a tenth of the
processor time that a daemon needs to start.
"""

from __future__ import annotations

import bisect
import enum
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

PREFIX = "persimmondock_"
CONTENT_TYPE = "text/plain; version=1.0.0; charset=utf-8"
# Latency objectives of the sites are between 0.1 s and 0.9 s, timeouts below 6 s.
BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.8, 1.0, 1.5, 2.5, 5.0)


class Kind(enum.Enum):
    """Type of a metric."""

    COUNTER = enum.auto()
    GAUGE = enum.auto()
    HISTOGRAM = enum.auto()


@attrs.frozen
class MetricSpec:
    """Type, description and label names of a metric."""

    kind: Kind
    description: str
    labels: tuple[str, ...] = ()


@attrs.define
class _Durations:
    """Recorded durations in seconds; ``counts`` has one item for each bucket and one above."""

    counts: list[int] = attrs.field(factory=lambda: [0] * (len(BUCKETS_S) + 1))
    sum_s: float = 0.0

    def list_buckets(self) -> list[tuple[str, float]]:
        """Return the cumulative count of each bucket with its upper bound."""
        total, buckets = 0, []
        for bound, count in zip((*BUCKETS_S, float("inf")), self.counts, strict=True):
            total += count
            buckets.append(("+Inf" if bound == float("inf") else str(bound), float(total)))
        return buckets


METRICS = {
    "requests": MetricSpec(
        Kind.COUNTER, "Callers' requests that ended at this daemon", ("verdict", "reason")
    ),
    "request_ms": MetricSpec(
        Kind.HISTOGRAM, "Seconds from a caller's whole request to its end", ("verdict",)
    ),
    "forwards": MetricSpec(Kind.COUNTER, "Requests sent to gates of other daemons"),
    "refusals": MetricSpec(Kind.COUNTER, "Requests that the gate here refused", ("reason",)),
    "front_refusals": MetricSpec(
        Kind.COUNTER,
        "Requests refused here without being sent, for lack of room at every gate",
        ("service", "priority"),
    ),
    "room_sent_share": MetricSpec(
        Kind.GAUGE,
        "Smallest share of a priority's requests that is sent on while gates are full",
        ("service",),
    ),
    "retries": MetricSpec(
        Kind.COUNTER,
        "Retries of callers' requests that the budget allowed or refused here",
        ("service", "outcome"),
    ),
    "retry_allowed": MetricSpec(
        Kind.GAUGE, "Retries that this daemon's part of the budget allows", ("service",)
    ),
    "retry_used": MetricSpec(
        Kind.GAUGE,
        "What this daemon has used of it, by retries and by calls of retried requests",
        ("service", "cause"),
    ),
    "backend_arrivals": MetricSpec(
        Kind.COUNTER,
        "Requests that reached the backend server here",
        ("service", "order", "outcome"),
    ),
    "backend_ms": MetricSpec(
        Kind.HISTOGRAM, "Seconds that requests took at the backend server here", ("verdict",)
    ),
    "loop_late_ms": MetricSpec(
        Kind.HISTOGRAM,
        "Seconds by which runs of a periodic task were late, over 0.25 s",
        ("cause",),
    ),
    "answers_dropped": MetricSpec(
        Kind.COUNTER,
        "Answers, or bytes, of the backend server here that were counted for no request",
        ("purpose", "kind"),
    ),
    "streams": MetricSpec(
        Kind.COUNTER,
        "Large answers that were sent in pieces, by what sent them here",
        ("place", "end"),
    ),
    "link_wait_s": MetricSpec(
        Kind.GAUGE, "Seconds that the link takes for large answers that are expected or under way"
    ),
    "answer_streams": MetricSpec(Kind.GAUGE, "Large answers that are being sent in pieces"),
    "answer_stream_bytes": MetricSpec(Kind.GAUGE, "Bytes of them that wait here for their readers"),
    "tenant_requests": MetricSpec(
        Kind.COUNTER, "Requests of a tenant that ended at this daemon", ("tenant", "outcome")
    ),
    "limit_questions": MetricSpec(
        Kind.COUNTER, "Questions to other daemons for room within limits"
    ),
    "ready": MetricSpec(Kind.GAUGE, "1 while callers may be sent here"),
    "configuration_version": MetricSpec(Kind.GAUGE, "Version of the routes in force, or -1"),
    "tenants_worst_share": MetricSpec(
        Kind.GAUGE, "Share of requests lately served of the worst tenth of the tenants here"
    ),
    "configuration_delay_s": MetricSpec(
        Kind.GAUGE,
        "Seconds by which the newest operators' records came late here, or are late so far",
    ),
    "configuration_delay_worst_s": MetricSpec(
        Kind.GAUGE, "The same for the worst of this daemon and its live peers"
    ),
    "in_flight": MetricSpec(Kind.GAUGE, "Requests that the backend server here works on"),
    "queued": MetricSpec(Kind.GAUGE, "Requests that wait for a slot here"),
    "slots": MetricSpec(Kind.GAUGE, "Requests that may run here at the same time now"),
    "gate_open": MetricSpec(Kind.GAUGE, "1 while the gate takes new work"),
    "pipelined": MetricSpec(
        Kind.GAUGE, "Callers' requests that were sent behind unanswered ones of their connections"
    ),
    "pipelined_bytes": MetricSpec(
        Kind.GAUGE,
        "Bytes of such requests that have not begun, and of answers that wait for their turn",
    ),
    "backend_limit_per_s": MetricSpec(
        Kind.GAUGE, "Requests per second that the backend server here asked for, or -1"
    ),
    "backend_leaving": MetricSpec(
        Kind.GAUGE, "1 while the backend server here says that it leaves"
    ),
    "peers_known": MetricSpec(Kind.GAUGE, "Other daemons on record"),
    "peers_alive": MetricSpec(Kind.GAUGE, "Other daemons that answered heartbeats lately"),
    "copy_end": MetricSpec(
        Kind.GAUGE, "Offset at which the copy of a partition ends", ("partition",)
    ),
    "store_answers": MetricSpec(Kind.GAUGE, "1 while the store answers", ("partition",)),
    "store_calls": MetricSpec(Kind.COUNTER, "Calls to the store", ("cause", "partition")),
    "ranges_held": MetricSpec(Kind.GAUGE, "Ranges of keys granted to the backend server here"),
    "lease_left_s": MetricSpec(Kind.GAUGE, "Seconds until the lease on them ends"),
    "resident_bytes": MetricSpec(Kind.GAUGE, "Resident memory of the daemon, or -1"),
    "memory_limit_bytes": MetricSpec(Kind.GAUGE, "Memory above which it is killed, or 0"),
    "foreign_bytes": MetricSpec(Kind.GAUGE, "Bytes held of what others sent"),
    "foreign_limit_bytes": MetricSpec(Kind.GAUGE, "Bytes that may be held of what others send"),
    "foreign_refusals": MetricSpec(Kind.GAUGE, "Data refused since its start for lack of memory"),
    "descriptors": MetricSpec(Kind.GAUGE, "Open descriptors, or -1"),
    "descriptors_limit": MetricSpec(Kind.GAUGE, "Descriptors that the kernel allows, or -1"),
    "connections": MetricSpec(Kind.GAUGE, "Open connections to a listener", ("listener",)),
    "connections_limit": MetricSpec(Kind.GAUGE, "Connections it may have open", ("listener",)),
    "connections_refused": MetricSpec(
        Kind.GAUGE, "Connections refused since the start for lack of room", ("listener",)
    ),
    "connections_idle_closed": MetricSpec(
        Kind.GAUGE, "Idle connections closed since the start to make room", ("listener",)
    ),
}


class PrometheusMetrics:
    """Keeps all metrics of one daemon."""

    def __init__(self) -> None:
        self._values: dict[str, float] = {
            name: 0.0
            for name, spec in METRICS.items()
            if not spec.labels and spec.kind is not Kind.HISTOGRAM
        }
        self._durations: dict[str, _Durations] = {}

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        known = self._values.get(name)
        if known is None:
            _find_spec(name)
            known = 0.0
        self._values[name] = known + value

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if name not in self._values:
            _find_spec(name)
        self._values[name] = value

    def time(self, name: str, milliseconds: float) -> None:
        """Record a duration."""
        durations = self._durations.get(name)
        if durations is None:
            _find_spec(name)
            durations = self._durations[name] = _Durations()
        seconds = milliseconds / 1000
        durations.counts[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        durations.sum_s += seconds

    def flush(self) -> None:
        """Do nothing: the collector reads the current values."""

    def render(self) -> bytes:
        """Return all metrics as text."""
        from prometheus_client import generate_latest

        return generate_latest(self)  # type: ignore[arg-type]

    def collect(self) -> Iterator[Any]:
        """Return all metrics, as the client library asks its registries for them."""
        from prometheus_client import core

        families: dict[str, Any] = {}
        for name, spec in METRICS.items():
            match spec.kind:
                case Kind.COUNTER:
                    family: Any = core.CounterMetricFamily
                case Kind.GAUGE:
                    family = core.GaugeMetricFamily
                case Kind.HISTOGRAM:
                    family = core.HistogramMetricFamily
            full_name = PREFIX + name
            if spec.kind is Kind.HISTOGRAM:
                full_name = PREFIX + name.removesuffix("_ms") + "_seconds"
            families[name] = family(full_name, spec.description, labels=spec.labels)
        for name, value in self._values.items():
            families[name.partition(".")[0]].add_metric(_list_labels(name), value)
        for name, durations in self._durations.items():
            families[name.partition(".")[0]].add_metric(
                _list_labels(name), durations.list_buckets(), durations.sum_s
            )
        yield from families.values()


def _find_spec(name: str) -> MetricSpec:
    """Return the metric of a dotted name; raises KeyError for unknown ones."""
    return METRICS[name.partition(".")[0]]


def _list_labels(name: str) -> list[str]:
    """Return the label values of a dotted name; missing ones are empty."""
    _, *values = name.split(".")
    return [*values, *[""] * (len(_find_spec(name).labels) - len(values))]
