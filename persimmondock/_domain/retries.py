"""Retries of a request within the fleet, and the budget that limits them.

An attempt that a gate or a backend server has refused or lost costs the fleet work, so each retry
takes a token from the service's retry budget. While a slice has no owner that is reachable and
serves it, the request may wait for one for a bounded time; that costs no backend server any work.
"""

from __future__ import annotations

import enum
import math

import attrs

from persimmondock._domain.verdict import Answered, MayHaveRun, NotRun, Reason, Verdict

RETRY_SHARE = 0.2
RETRY_WINDOW_S = 1.0
MIN_RETRIES_PER_S = 10.0
GIVEN_UP_RETRY_MS = 500
MAX_BACKEND_LOSSES = 1
MAX_RETRIES = 5

OWNER_UNAVAILABLE_REASONS = frozenset(
    {Reason.NO_OWNER, Reason.PEER_UNREACHABLE, Reason.LEASE_LAPSED}
)
RETRYABLE_REFUSAL_REASONS = frozenset(
    {
        Reason.NOT_OWNER,
        Reason.HANDOVER_PENDING,
        Reason.BACKEND_REFUSED,
        Reason.BACKEND_UNREACHABLE,
        Reason.DRAINING,
    }
)
OVERLOAD_REASONS = frozenset({Reason.OVERLOADED})
LOST_ATTEMPT_REASONS = frozenset({Reason.PEER_SILENT, Reason.BACKEND_LOST})


@attrs.define
class RetryBudget:
    """A token bucket filled by first attempts and emptied by retries.

    Tokens decay with the time constant ``window_s``, so the bucket never holds more than what first
    attempts and the minimum add in about one window.

    Parameters
    ----------
    share
        Tokens added by each first attempt.
    window_s
        Time constant of the decay, in seconds.
    min_per_s
        Tokens added per second without any first attempt.
    """

    share: float = RETRY_SHARE
    window_s: float = RETRY_WINDOW_S
    min_per_s: float = MIN_RETRIES_PER_S
    refused: int = 0
    _tokens: float = attrs.field(init=False)
    _updated_at: float | None = None

    def __attrs_post_init__(self) -> None:
        self._tokens = self.min_per_s * self.window_s

    def record_first(self, now: float) -> None:
        """Add the tokens of a first attempt; ``now`` is in monotonic seconds."""
        self._decay(now)
        self._tokens += self.share

    def spend(self, now: float) -> bool:
        """Take one token for a retry; return False when none is left."""
        self._decay(now)
        if self._tokens < 1.0:
            self.refused += 1
            return False
        self._tokens -= 1.0
        return True

    def _decay(self, now: float) -> None:
        if self._updated_at is not None and now > self._updated_at:
            kept = math.exp((self._updated_at - now) / self.window_s)
            base = self.min_per_s * self.window_s
            self._tokens = base + (self._tokens - base) * kept
        self._updated_at = now


class Step(enum.Enum):
    """Next step after an attempt."""

    FINISH = enum.auto()
    RETRY = enum.auto()
    WAIT_FOR_OWNER = enum.auto()


@attrs.define
class AttemptHistory:
    """The attempts of one request so far.

    Parameters
    ----------
    unknown_outcome
        First verdict that leaves open whether the request ran. Once there is one, the verdict on
        the request as a whole can no longer be ``NotRun``.
    tried
        Names of the backend servers whose attempts failed.
    """

    idempotent: bool
    has_slice: bool
    unknown_outcome: MayHaveRun | None = None
    backend_losses: int = 0
    retries: int = 0
    tried: set[str] = attrs.field(factory=set)

    def record(self, verdict: Verdict, backend: str) -> None:
        """Record the verdict of an attempt."""
        match verdict:
            case MayHaveRun(reason=reason):
                self.unknown_outcome = self.unknown_outcome or verdict
                self.backend_losses += reason is Reason.BACKEND_LOST
        if not isinstance(verdict, Answered):
            self.tried.add(backend)

    def plan(self, verdict: Verdict) -> Step:
        """Return the next step after an attempt that ended with a verdict."""
        step = self._plan_unlimited(verdict)
        return Step.FINISH if step is Step.RETRY and self.retries >= MAX_RETRIES else step

    def _plan_unlimited(self, verdict: Verdict) -> Step:
        """Return the next step without regard to ``MAX_RETRIES``."""
        match verdict:
            case NotRun(reason=reason):
                return self._plan_refused(reason)
            case MayHaveRun(reason=reason):
                may_retry = self.idempotent and reason in LOST_ATTEMPT_REASONS
                return Step.RETRY if may_retry and not self._is_suspect() else Step.FINISH
            case Answered():
                return Step.FINISH

    def conclude(self, verdict: Verdict) -> Verdict:
        """Return the verdict on the request as a whole, given that of its last attempt."""
        match verdict:
            case NotRun() if self.unknown_outcome is not None:
                return self.unknown_outcome
            case NotRun(reason=reason, retry_after_ms=0) if self._is_temporary(reason):
                return NotRun(reason, GIVEN_UP_RETRY_MS)
            case _:
                return verdict

    def _plan_refused(self, reason: Reason) -> Step:
        if reason in OWNER_UNAVAILABLE_REASONS:
            return Step.WAIT_FOR_OWNER if self.has_slice else Step.RETRY
        if reason in RETRYABLE_REFUSAL_REASONS:
            return Step.RETRY
        if reason in OVERLOAD_REASONS and not self.has_slice:
            return Step.RETRY
        return Step.FINISH

    def _is_suspect(self) -> bool:
        """Return whether the request may be what crashes backend servers."""
        return self.backend_losses > MAX_BACKEND_LOSSES

    def _is_temporary(self, reason: Reason) -> bool:
        return reason in OWNER_UNAVAILABLE_REASONS | RETRYABLE_REFUSAL_REASONS | OVERLOAD_REASONS
