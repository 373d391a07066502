"""Metrics over UDP to a statsd server.

Metrics are aggregated and sent at each flush, so that their volume does not grow with the load:
one line for each counter and gauge, and a sample of limited size for each timer.
"""

from __future__ import annotations

import random
import re
from collections import Counter

import statsd

MAX_SAMPLES = 50
MAX_PACKET_BYTES = 1_400
UNSAFE_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]+")


class StatsdMetrics:
    """Sends metrics to one statsd server.

    Parameters
    ----------
    address
        ``host:port`` of the server.
    daemon
        Name of the daemon; part of each metric's name.

    Raises
    ------
    OSError
        If the host cannot be resolved.
    """

    def __init__(self, address: str, daemon: str) -> None:
        host, _, port = address.rpartition(":")
        prefix = f"persimmondock.{UNSAFE_CHARACTERS.sub('_', daemon)}"
        self._client = statsd.StatsClient(
            host, int(port), prefix=prefix, maxudpsize=MAX_PACKET_BYTES
        )
        self._client._sock.setblocking(False)
        self._random = random.Random(0)
        self._counts: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._samples: dict[str, list[float]] = {}
        self._duration_counts: Counter[str] = Counter()

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] += value

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def time(self, name: str, milliseconds: float) -> None:
        """Record a duration; a uniform sample of at most ``MAX_SAMPLES`` is kept."""
        self._duration_counts[name] += 1
        samples = self._samples.setdefault(name, [])
        if len(samples) < MAX_SAMPLES:
            samples.append(milliseconds)
            return
        position = self._random.randrange(self._duration_counts[name])
        if position < MAX_SAMPLES:
            samples[position] = milliseconds

    def flush(self) -> None:
        """Send the aggregated metrics; packets that cannot be sent at once are dropped."""
        with self._client.pipeline() as pipeline:
            for name, value in self._counts.items():
                pipeline.incr(name, value)
            for name, gauge in self._gauges.items():
                pipeline.gauge(name, gauge)
            for name, samples in self._samples.items():
                for sample in samples:
                    pipeline.timing(name, sample)
        self._counts.clear()
        self._gauges.clear()
        self._samples.clear()
        self._duration_counts.clear()
