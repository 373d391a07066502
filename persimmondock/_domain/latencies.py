"""What a backend server's latency usually is, by kind of request."""

from __future__ import annotations

import attrs

WEIGHT = 0.05
MIN_EXCESS_S = 0.01
STEP_FACTOR = 3.0
STEP_DEVIATIONS = 4.0


@attrs.frozen
class WorkKind:
    """Requests that are expected to take about the same time."""

    may_wait: bool
    idempotent: bool


@attrs.define
class _Usual:
    mean: float
    deviation: float


@attrs.define
class Latencies:
    """Usual latencies, in seconds."""

    _usual: dict[WorkKind, _Usual] = attrs.field(factory=dict)

    def is_step(self, kind: WorkKind, latency: float) -> bool:
        """Return whether a latency is far above the usual one of its kind."""
        usual = self._usual.get(kind)
        return usual is not None and latency > _compute_step(usual)

    def learn(self, kind: WorkKind, latency: float) -> None:
        """Count one latency into the usual one."""
        usual = self._usual.get(kind)
        if usual is None:
            self._usual[kind] = _Usual(latency, 0.0)
            return
        difference = latency - usual.mean
        usual.mean += WEIGHT * difference
        usual.deviation += WEIGHT * (abs(difference) - usual.deviation)

    def forget(self) -> None:
        """Start over, because the backend server is now slower or faster by itself."""
        self._usual.clear()


def _compute_step(usual: _Usual) -> float:
    """Return the latency from which on it is not the usual one any more."""
    return max(
        STEP_FACTOR * usual.mean,
        usual.mean + STEP_DEVIATIONS * usual.deviation,
        usual.mean + MIN_EXCESS_S,
    )
