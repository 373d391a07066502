"""Metrics in the Prometheus text format.

Tasks join the name of a metric and the values of its labels with dots, as in
``requests.not_run.overloaded``. The same names are sent to statsd. Durations are recorded in
milliseconds under names that end in ``_ms``, and rendered in seconds under ``_seconds``.
"""

from __future__ import annotations

from typing import Any, TypeAlias

import attrs
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

PREFIX = "persimmondock_"
CONTENT_TYPE = CONTENT_TYPE_LATEST
# Latency objectives of the sites are between 0.1 s and 0.9 s, timeouts below 6 s.
BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.8, 1.0, 1.5, 2.5, 5.0)

MetricType: TypeAlias = type[Counter] | type[Gauge] | type[Histogram]


@attrs.frozen
class MetricSpec:
    """Type, description and label names of a metric."""

    kind: MetricType
    description: str
    labels: tuple[str, ...] = ()


METRICS = {
    "requests": MetricSpec(
        Counter, "Callers' requests that ended at this daemon", ("verdict", "reason")
    ),
    "request_ms": MetricSpec(
        Histogram, "Seconds from a caller's whole request to its end", ("verdict",)
    ),
    "forwards": MetricSpec(Counter, "Requests sent to gates of other daemons"),
    "refusals": MetricSpec(Counter, "Requests that the gate here refused", ("reason",)),
    "backend_ms": MetricSpec(
        Histogram, "Seconds that requests took at the backend server here", ("verdict",)
    ),
    "tenant_requests": MetricSpec(
        Counter, "Requests of a tenant that ended at this daemon", ("tenant", "outcome")
    ),
    "limit_questions": MetricSpec(Counter, "Questions to other daemons for room within limits"),
    "tenants_worst_share": MetricSpec(
        Gauge, "Share of requests lately served of the worst tenth of the tenants here"
    ),
    "ready": MetricSpec(Gauge, "1 while callers may be sent here"),
    "configuration_version": MetricSpec(Gauge, "Version of the routes in force, or -1"),
    "configuration_delay_s": MetricSpec(
        Gauge, "Seconds by which the newest operators' records came late here, or are late so far"
    ),
    "configuration_delay_worst_s": MetricSpec(
        Gauge, "The same for the worst of this daemon and its live peers"
    ),
    "in_flight": MetricSpec(Gauge, "Requests that the backend server here works on"),
    "queued": MetricSpec(Gauge, "Requests that wait for a slot here"),
    "pipelined": MetricSpec(
        Gauge, "Callers' requests that were sent behind unanswered ones of their connections"
    ),
    "pipelined_bytes": MetricSpec(
        Gauge, "Bytes of such requests that have not begun, and of answers that wait for their turn"
    ),
    "slots": MetricSpec(Gauge, "Requests that may run here at the same time now"),
    "gate_open": MetricSpec(Gauge, "1 while the gate takes new work"),
    "backend_limit_per_s": MetricSpec(
        Gauge, "Requests per second that the backend server here asked for, or -1"
    ),
    "backend_leaving": MetricSpec(Gauge, "1 while the backend server here says that it leaves"),
    "peers_known": MetricSpec(Gauge, "Other daemons on record"),
    "peers_alive": MetricSpec(Gauge, "Other daemons that answered heartbeats lately"),
    "copy_end": MetricSpec(Gauge, "Offset at which the copy of a partition ends", ("partition",)),
    "store_answers": MetricSpec(Gauge, "1 while the store answers", ("partition",)),
    "ranges_held": MetricSpec(Gauge, "Ranges of keys granted to the backend server here"),
    "lease_left_s": MetricSpec(Gauge, "Seconds until the lease on them ends"),
}


class PrometheusMetrics:
    """Keeps all metrics of one daemon."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._families: dict[str, Any] = {}
        self._series: dict[str, Any] = {}
        for name, spec in METRICS.items():
            self._families[name] = self._create_family(name, spec)

    def _create_family(self, name: str, spec: MetricSpec) -> Any:
        if spec.kind is Histogram:
            full_name = PREFIX + name.removesuffix("_ms") + "_seconds"
            return Histogram(
                full_name, spec.description, spec.labels, registry=self._registry, buckets=BUCKETS_S
            )
        return spec.kind(PREFIX + name, spec.description, spec.labels, registry=self._registry)

    def _get_series(self, name: str) -> Any:
        """Return the series of a dotted name; missing label values are empty."""
        series = self._series.get(name)
        if series is None:
            first, *values = name.split(".")
            labels = METRICS[first].labels
            series = self._families[first]
            if labels:
                series = series.labels(*values, *[""] * (len(labels) - len(values)))
            self._series[name] = series
        return series

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self._get_series(name).inc(value)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._get_series(name).set(value)

    def time(self, name: str, milliseconds: float) -> None:
        """Record a duration."""
        self._get_series(name).observe(milliseconds / 1000)

    def flush(self) -> None:
        """Do nothing: the collector reads the current values."""

    def render(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(self._registry)
