"""Interface to the receivers of metrics."""

from __future__ import annotations

from typing import Protocol


class MetricSink(Protocol):
    """Receives metrics; no method waits or fails."""

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        ...

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        ...

    def time(self, name: str, milliseconds: float) -> None:
        """Record a duration."""
        ...

    def flush(self) -> None:
        """Send the metrics recorded since the last call."""
        ...


class NoMetrics:
    """Discards all metrics."""

    def count(self, name: str, value: int = 1) -> None:
        """Discard a count."""

    def set_gauge(self, name: str, value: float) -> None:
        """Discard a gauge."""

    def time(self, name: str, milliseconds: float) -> None:
        """Discard a duration."""

    def flush(self) -> None:
        """Do nothing."""
