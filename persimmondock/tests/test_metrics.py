"""Metrics sent to a statsd server."""

from __future__ import annotations

import socket

import pytest

from persimmondock._adapters.metrics import MAX_SAMPLES, StatsdMetrics
from persimmondock.tests.builders import NETWORK


@pytest.fixture
def server():
    """Return a UDP socket that stands in for a statsd server."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as bound:
        bound.bind((f"{NETWORK}94", 0))
        bound.settimeout(2.0)
        yield bound


def open_metrics(server: socket.socket) -> StatsdMetrics:
    """Return a sink that sends to the server."""
    return StatsdMetrics(f"{NETWORK}94:{server.getsockname()[1]}", "vm.1")


def test_counts_are_summed_until_the_flush(server):
    """Each name is sent in one line, and the daemon's name becomes one part of it."""
    metrics = open_metrics(server)
    for _ in range(1_000):
        metrics.count("forwards")
    metrics.set_gauge("view_offset", 7)
    metrics.set_gauge("view_offset", 9)
    metrics.flush()
    lines = server.recv(4096).decode().splitlines()
    prefix = "persimmondock.vm_1"
    assert lines == [f"{prefix}.forwards:1000|c", f"{prefix}.view_offset:9|g"]


def test_timer_samples_are_bounded(server):
    """Many durations are reduced to a sample of fixed size."""
    metrics = open_metrics(server)
    for number in range(10_000):
        metrics.time("request_ms.answered", number)
    metrics.flush()
    lines = []
    while len(lines) < MAX_SAMPLES:
        lines += server.recv(4096).decode().splitlines()
    values = [float(line.partition(":")[2].partition("|")[0]) for line in lines]
    assert len(values) == MAX_SAMPLES
    assert max(values) > 5_000


def test_unreachable_server_is_ignored(server):
    """Packets to a closed port are dropped without an error."""
    metrics = open_metrics(server)
    server.close()
    for _ in range(3):
        metrics.count("forwards")
        metrics.flush()
    assert not metrics._counts
