"""A limit on a rate that all daemons keep together, without a coordinator.

A few daemons, the holders, each keep an equal part of the limit in a token bucket. Daemons at which
requests arrive borrow tokens for a short term. A token that is not used within the term is lost,
and what is lent counts against the bucket's capacity meanwhile, so no window sees more than the
limit allows, whoever is cut off, stands still or loses an answer.

Clocks are not compared: a borrower counts the term from before it asked.
"""

from __future__ import annotations

import math
import random
from collections import deque

import attrs

LOAN_TERM_S = 0.5
MAX_PROMISE_S = 10.0  # callers do not come back later than this
DEMAND_TIME_S = 1.0  # time constant of the estimate of demand
ASK_PAUSE_S = 0.1  # between questions to a holder that has no tokens
FREE_UNMET_PER_S = 10.0  # questions without tokens at a holder; beyond, pauses get longer
MAX_PAUSE_S = 1.0
ASK_TIMEOUT_S = 0.15  # a holder that takes longer is passed over
UNREACHABLE_PAUSE_S = 0.5  # between questions to a holder that did not answer
RETURN_TERM_S = 0.25  # a token of a request that was not run may be used for so long
REFILL_SHARE = 0.2  # of the tokens for one term; below it, more are asked for ahead of need
MIN_REFILL_TOKENS = 2.0  # for lower demand, asking ahead loses more tokens than it saves time


@attrs.frozen
class RateLimit:
    """A rate in tokens per second, and how many more may be used at a time."""

    rate_per_s: float
    burst: float = 0.0

    def divide(self, parts: int) -> RateLimit:
        """Return one of equal parts."""
        return RateLimit(self.rate_per_s / parts, self.burst / parts)

    @property
    def capacity(self) -> float:
        """Tokens in a full bucket; at least what is lent at the full rate, and a whole one."""
        return max(self.burst, self.rate_per_s * LOAN_TERM_S) + 1.0


@attrs.frozen
class Loan:
    """Answer of a holder.

    Parameters
    ----------
    count
        Tokens that are lent.
    wait_s
        Seconds until there is room for the requests that got none; 0 if all got one.
    pause_s
        Seconds for which the borrower is not to ask again then.
    """

    count: int
    wait_s: float = 0.0
    pause_s: float = 0.0


@attrs.define
class RateAccount:
    """A holder's part of one limit.

    Parameters
    ----------
    limit
        The part.
    since
        Instant from which this holder is responsible. The bucket is empty then, since the tokens of
        a former holder, or of a former process, may have been used.
    """

    limit: RateLimit
    since: float
    _level: float = 0.0
    _settled_at: float = attrs.field(init=False)
    _lent: deque[tuple[float, int]] = attrs.field(factory=deque)
    _lent_count: int = 0
    _promised_until: float = -math.inf
    _unmet_per_s: float = 0.0
    _unmet_at: float = -math.inf

    def __attrs_post_init__(self) -> None:
        self._settled_at = self.since

    def change_limit(self, limit: RateLimit, now: float) -> None:
        """Apply another limit from now on."""
        self._settle(now)
        self.limit = limit
        self._settle(now)
        self._promised_until = min(self._promised_until, now)

    def lend(self, needed: int, wanted: int, promised: int, now: float) -> Loan:
        """Lend tokens.

        Parameters
        ----------
        needed
            Tokens for requests that wait.
        wanted
            Tokens for these and for those that are expected within the term.
        promised
            Requests that the borrower has promised room to since it asked before.
        """
        self._settle(now)
        rate = self.limit.rate_per_s
        # Tokens for expected requests may be lost, so they come only from the fuller half.
        spare = math.floor(max(0.0, self._level - self.limit.capacity / 2))
        count = max(min(needed, math.floor(self._level)), min(wanted, spare))
        if count:
            self._level -= count
            self._lent.append((now + LOAN_TERM_S, count))
            self._lent_count += count
        if promised:
            self._promise(promised, now)
        if count >= needed:
            return Loan(count)
        wait_s = max(self._promised_until - now, 0.0) + (1.0 - self._level % 1.0) / rate
        return Loan(count, min(wait_s, MAX_PROMISE_S), self._choose_pause_s(now))

    def _choose_pause_s(self, now: float) -> float:
        """Count a question that was not met, and return the pause before the next one.

        Many borrowers that have no tokens would else ask more than the holder can answer.
        """
        kept = math.exp(-max(0.0, now - self._unmet_at) / DEMAND_TIME_S)
        self._unmet_per_s = self._unmet_per_s * kept + 1.0 / DEMAND_TIME_S
        self._unmet_at = now
        factor = max(1.0, self._unmet_per_s / FREE_UNMET_PER_S)
        return min(MAX_PAUSE_S, ASK_PAUSE_S * factor)

    def _promise(self, count: int, now: float) -> None:
        until = max(self._promised_until, now) + count / self.limit.rate_per_s
        self._promised_until = min(until, now + MAX_PROMISE_S)

    def _settle(self, now: float) -> None:
        while self._lent and self._lent[0][0] <= now:
            self._lent_count -= self._lent.popleft()[1]
        gained = self.limit.rate_per_s * max(0.0, now - self._settled_at)
        room = max(0.0, self.limit.capacity - self._lent_count)
        self._level = min(self._level + gained, room)
        self._settled_at = max(self._settled_at, now)


@attrs.define
class BorrowedTokens:
    """A borrower's tokens of one limit, and how many it needs.

    Parameters
    ----------
    random
        Spreads the returns of callers that are promised nothing.
    """

    _random: random.Random = attrs.field(factory=random.Random)
    _tokens: deque[list[float]] = attrs.field(factory=deque)
    _demand: float = 0.0
    _counted_at: float = -math.inf
    _room_at: float = -math.inf
    promised: int = 0

    def count_arrival(self, now: float) -> None:
        """Count a request in the estimate of demand."""
        self._demand = self.estimate_demand(now) + 1.0 / DEMAND_TIME_S
        self._counted_at = now

    def estimate_demand(self, now: float) -> float:
        """Return the requests per second of about the last second."""
        if self._counted_at == -math.inf:
            return 0.0
        return self._demand * math.exp(-max(0.0, now - self._counted_at) / DEMAND_TIME_S)

    def count_left(self, now: float) -> int:
        """Return the number of tokens that may be used."""
        while self._tokens and self._tokens[0][0] <= now:
            self._tokens.popleft()
        return int(sum(count for _, count in self._tokens))

    def spend(self, now: float) -> bool:
        """Use one token; return False if there is none."""
        if self.count_left(now) == 0:
            return False
        self._tokens[0][1] -= 1
        if self._tokens[0][1] <= 0:
            self._tokens.popleft()
        return True

    def add(self, count: int, expires_at: float) -> None:
        """Add tokens."""
        if count <= 0:
            return
        self._tokens.append([expires_at, count])
        if len(self._tokens) > 1 and self._tokens[-2][0] > expires_at:
            self._tokens = deque(sorted(self._tokens))

    def give_back(self, now: float) -> None:
        """Add the token of a request that was not run."""
        self.add(1, now + RETURN_TERM_S)

    def compute_wanted(self, waiting: int, now: float) -> int:
        """Return how many tokens to ask for: those needed now and within the term."""
        expected = self.estimate_demand(now) * LOAN_TERM_S
        return max(waiting, math.ceil(expected) - self.count_left(now), 1)

    def should_refill(self, now: float) -> bool:
        """Return whether to ask for tokens before they are needed."""
        expected = self.estimate_demand(now) * LOAN_TERM_S
        return expected >= MIN_REFILL_TOKENS and self.count_left(now) <= REFILL_SHARE * expected

    def record_wait(self, wait_s: float, now: float) -> None:
        """Record when a holder expects to have room."""
        self._room_at = max(self._room_at, now + wait_s) if wait_s else self._room_at

    def refuse(self, rate_per_s: float, patience_s: float, now: float) -> float:
        """Return the seconds until there is room for a request that is refused.

        Each one is promised a later time, so that they do not return together. A caller that will
        not wait so long takes no place among them.

        Parameters
        ----------
        patience_s
            Seconds after which the caller returns at the latest, or not at all.
        """
        room_at = max(self._room_at, now) + 1.0 / rate_per_s
        if room_at - now <= patience_s:
            self.promised += 1
            self._room_at = room_at
        else:
            # Nothing is kept for it; it is only not to return with the others.
            room_at += self._random.uniform(0.0, max(patience_s, 1.0 / rate_per_s))
        return min(room_at - now, MAX_PROMISE_S)

    def take_promised(self) -> int:
        """Return the number of requests that were promised room since the last call."""
        promised, self.promised = self.promised, 0
        return promised
