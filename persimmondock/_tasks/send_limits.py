"""Limits on what one backend server is sent: while it is cold, and as it names them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from persimmondock._domain.arrival_limit import (
    COLD_WINDOW_S,
    ArrivalBound,
    ArrivalLimit,
    bound_named_limit,
    bound_rate,
)
from persimmondock._domain.backend_notice import KnownNotice
from persimmondock._domain.gate_queue import INITIAL_SERVICE_S, ReturnTimes
from persimmondock._domain.verdict import NotRun, Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._domain.routing_table import ServicePolicy
    from persimmondock._domain.site import SiteBounds

COLD_RATE_SHARE = 0.8  # of the limit while cold; overlapping bursts at the full limit cause a crash
MIN_REPORTED_PER_S = 0.1  # 0 stands for an unknown rate
# After the end of a limit, twice as much is sent in each of these steps: a server that was in need
# is not met by everyone at once, and one answer without the limit costs little.
RECOVERY_STEP_S = 0.5
MIN_RECOVERY_PER_S = 1.0
COLD_RETRY_MS = 300
MAX_SLOWDOWN_REPORTED = 10.0  # enough for other gates to be chosen first


class SendLimits:
    """Bounds on the requests that one backend server is sent.

    Parameters
    ----------
    bounds
        Limits that operators set.
    estimate_slots_per_s
        Returns the requests per second that the slots allow.
    on_recovery
        Called after each step in which more is allowed after the end of a named limit.

    Attributes
    ----------
    policy
        Policy of the backend server's service, or None while no configuration is known.
    notice
        What the answers of the current incarnation say about it.
    arrivals
        Requests that were sent.
    """

    def __init__(
        self,
        bounds: SiteBounds,
        estimate_slots_per_s: Callable[[], float],
        on_recovery: Callable[[], None],
    ) -> None:
        self.bounds = bounds
        self.policy: ServicePolicy | None = None
        self.notice = KnownNotice()
        self.arrivals = ArrivalLimit()
        self.named_bounds: tuple[ArrivalBound, ...] = ()
        self._estimate_slots_per_s = estimate_slots_per_s
        self._on_recovery = on_recovery
        self._recovery_per_s: float | None = None
        self._recovery_timer: asyncio.TimerHandle | None = None
        self._return_times = ReturnTimes()

    def reset(self) -> None:
        """Forget the limit that a former incarnation named."""
        self.notice, self.named_bounds = KnownNotice(), ()
        self.end_recovery()

    @property
    def limit_per_s(self) -> float | None:
        """Requests per second that may be sent, by the limit or after its end; None for all."""
        return self.notice.max_per_s if self.notice.max_per_s is not None else self._recovery_per_s

    @property
    def cold_limit_per_s(self) -> float:
        """Requests per second that a cold backend server may get; 0 sets no limit."""
        if self.policy is None:
            # No configuration is known yet; the limit of every service allows the slack.
            return COLD_RATE_SHARE * self.bounds.cold_slack
        if self.policy.cold_per_s <= 0:
            return 0.0
        bound = self.policy.cold_per_s * self.bounds.cold_factor + self.bounds.cold_slack
        return COLD_RATE_SHARE * bound

    def list_bounds(self, now: float) -> tuple[ArrivalBound, ...]:
        """Return the bounds on the requests that may be sent now."""
        if self.is_cold(now):
            return (bound_rate(self.cold_limit_per_s, COLD_WINDOW_S), *self.named_bounds)
        return self.named_bounds

    def is_cold(self, now: float) -> bool:
        """Return whether the limit of a cold backend server is in force."""
        return self.cold_limit_per_s > 0 and self.arrivals.is_cold(now)

    def has_room(self, now: float) -> bool:
        """Return whether another request may be sent now."""
        return self.arrivals.has_room(self.list_bounds(now), now)

    def apply_named_limit(self, assume_used: bool, now: float) -> None:
        """Apply the limit that is in force from now on to what comes.

        Parameters
        ----------
        assume_used
            Whether a former process of this daemon may have used the limit up to now.
        """
        limit_per_s = self.limit_per_s
        self.named_bounds = () if limit_per_s is None else bound_named_limit(limit_per_s)
        if not self.named_bounds:
            return
        total = self.named_bounds[0]
        room_at = self.arrivals.find_next_send_at(self.named_bounds, now)
        if assume_used or room_at > now + total.interval_s:
            # What was sent before the limit was named does not count against it.
            self.arrivals.assume_used(total, now)

    def record_send(self, now: float) -> NotRun | None:
        """Record that a request is sent now, or return why there is no room any more."""
        bounds = self.list_bounds(now)
        if not self.arrivals.has_room(bounds, now):
            if self.named_bounds:
                return self.refuse(0.0, now)
            return NotRun(Reason.BACKEND_COLD, COLD_RETRY_MS)
        self.arrivals.record(bounds, now)
        return None

    def refuse(self, wait_s: float, now: float) -> NotRun:
        """Return the refusal of a request that would wait because of the named limit."""
        interval_s = self.named_bounds[0].interval_s
        room_at = max(now + wait_s, self.arrivals.find_next_send_at(self.named_bounds, now))
        retry_after_ms = self._return_times.choose_retry_after_ms(room_at, interval_s, now)
        return NotRun(Reason.BACKEND_LIMITED, retry_after_ms)

    # Recovery after the end of a limit.

    def start_recovery(self, previous_per_s: float) -> None:
        """Allow twice the former limit, and then more step by step, until the slots allow less."""
        self._recovery_per_s = max(previous_per_s, MIN_RECOVERY_PER_S)
        self._advance_recovery()

    def _advance_recovery(self) -> None:
        assert self._recovery_per_s is not None
        self._recovery_per_s *= 2
        if self._recovery_per_s >= self._estimate_slots_per_s():
            self.end_recovery()
        else:
            self._recovery_timer = asyncio.get_running_loop().call_later(
                RECOVERY_STEP_S, self._on_recovery_timer
            )

    def _on_recovery_timer(self) -> None:
        self._advance_recovery()
        self._on_recovery()

    def end_recovery(self) -> None:
        """Stop limiting by the former limit."""
        self._recovery_per_s = None
        if self._recovery_timer is not None:
            self._recovery_timer.cancel()
            self._recovery_timer = None

    # What other daemons are told.

    def count_usable_slots(self, slots: int, mean_s: float, now: float) -> int:
        """Return the slots to report; fewer while the backend server is cold or limited."""
        usable = slots
        if self.is_cold(now):
            # As many requests as the limit allows in 0.1 s.
            usable = min(usable, int(self.cold_limit_per_s * 0.1))
        limit_per_s = self.limit_per_s
        if limit_per_s is not None:
            # As many as run at a time when requests come at the limit.
            usable = min(usable, int(limit_per_s * (mean_s or INITIAL_SERVICE_S)))
        return max(min(1, slots), usable)

    def compute_reported_service_s(self, slots: int, mean_s: float) -> float:
        """Return the mean service time to report, longer where a limit allows less than the slots.

        Other daemons compare gates by the slots and by this time.
        """
        limit_per_s = self.limit_per_s
        if limit_per_s is None:
            return mean_s
        longest_s = MAX_SLOWDOWN_REPORTED * (mean_s or INITIAL_SERVICE_S)
        return min(longest_s, max(mean_s, slots / limit_per_s)) if limit_per_s else longest_s

    def estimate_rate(self, slots: int, slow_mean_s: float, now: float) -> float:
        """Return the requests per second that the backend server can answer, or 0 if unknown."""
        limit_per_s = self.limit_per_s
        if slow_mean_s == 0.0:
            return 0.0 if limit_per_s is None else max(MIN_REPORTED_PER_S, limit_per_s)
        per_s = slots / slow_mean_s
        if limit_per_s is not None:
            per_s = min(per_s, max(MIN_REPORTED_PER_S, limit_per_s))
        return min(per_s, self.cold_limit_per_s) if self.is_cold(now) else per_s
