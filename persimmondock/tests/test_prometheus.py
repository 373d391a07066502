"""Metrics in the Prometheus text format."""

from __future__ import annotations

from pathlib import Path

import pytest
from prometheus_client.parser import text_string_to_metric_families

from persimmondock._adapters.prometheus import METRICS, PREFIX, PrometheusMetrics

PAGE = Path(__file__).parents[2] / "docs" / "metrics.md"


def read_values(metrics: PrometheusMetrics) -> dict[tuple[str, ...], float]:
    """Return parsed samples by name and label values, which are sorted by label name."""
    text = metrics.render().decode()
    return {
        (sample.name.removeprefix(PREFIX), *_sort_labels(sample.labels)): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def _sort_labels(labels: dict[str, str]) -> list[str]:
    return [value for _, value in sorted(labels.items())]


def test_counts_gauges_and_durations_are_read_back_with_their_labels():
    metrics = PrometheusMetrics()
    metrics.count("requests.not_run.overloaded", 2)
    metrics.count("requests.answered")
    metrics.set_gauge("copy_end.2", 17)
    metrics.time("request_ms.answered", 130.0)
    values = read_values(metrics)
    assert values["requests_total", "overloaded", "not_run"] == 2
    assert values["requests_total", "", "answered"] == 1
    assert values["copy_end", "2"] == 17
    assert values["request_seconds_bucket", "0.1", "answered"] == 0
    assert values["request_seconds_bucket", "0.2", "answered"] == 1
    assert values["request_seconds_sum", "answered"] == 0.13


def test_unknown_metric_is_refused():
    with pytest.raises(KeyError, match="unheard_of"):
        PrometheusMetrics().count("unheard_of")


@pytest.mark.parametrize("name", METRICS)
def test_each_metric_is_on_the_metrics_page(name):
    assert f"| `{name}` |" in PAGE.read_text()
