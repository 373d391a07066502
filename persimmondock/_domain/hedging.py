"""When a second attempt is started beside a first one that takes unusually long."""

from __future__ import annotations

import attrs

from persimmondock._domain.retries import RetryBudget

HEDGE_QUANTILE = 0.95
HEDGE_SHARE = 0.05
MIN_HEDGES_PER_S = 1.0
FIRST_DELAY_S = 0.05
STEP = 0.05
MIN_DELAY_S = 0.002


def make_hedge_budget() -> RetryBudget:
    """Return the budget of hedges of one service."""
    return RetryBudget(share=HEDGE_SHARE, min_per_s=MIN_HEDGES_PER_S)


@attrs.define
class QuantileTracker:
    """Follows one quantile of a stream of latencies without keeping them.

    Each latency above the estimate raises it by a fraction, each one below lowers it by a smaller
    fraction, so that the two balance at the quantile.
    """

    quantile: float = HEDGE_QUANTILE
    estimate_s: float = FIRST_DELAY_S

    def count(self, took_s: float) -> None:
        """Take in one latency."""
        if took_s > self.estimate_s:
            self.estimate_s *= 1.0 + STEP * self.quantile
        else:
            self.estimate_s *= 1.0 - STEP * (1.0 - self.quantile)
        self.estimate_s = max(self.estimate_s, MIN_DELAY_S)
