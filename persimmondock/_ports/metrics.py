"""Where metrics go."""

from __future__ import annotations

from typing import Protocol


class MetricSink(Protocol):
    """Takes metrics; never waits and never fails."""

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        ...

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        ...

    def time(self, name: str, milliseconds: float) -> None:
        """Note one duration."""
        ...

    def flush(self) -> None:
        """Send what was gathered since the last call."""
        ...


class NoMetrics:
    """Drops all metrics."""

    def count(self, name: str, value: int = 1) -> None:
        """Drop a count."""

    def set_gauge(self, name: str, value: float) -> None:
        """Drop a gauge."""

    def time(self, name: str, milliseconds: float) -> None:
        """Drop a duration."""

    def flush(self) -> None:
        """Do nothing."""
