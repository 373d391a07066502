"""The queue of requests that wait for a slot of one backend server.

Requests that must answer fast go before those that may wait, which get one start in
``DEFERRABLE_EVERY`` while both wait. A request is admitted if it will probably be answered within
``ADMITTED_SHARE`` of the time that it has, so that few requests wait in vain; it is shed later if
it becomes clear that its deadline will pass. Instants are monotonic seconds.
"""

from __future__ import annotations

from collections import deque

import attrs

from persimmondock._domain.verdict import NotRun, Reason

MAX_WAITING = 256
DEFERRABLE_EVERY = 8
ADMITTED_SHARE = 0.75
SHARE_WEIGHT = 0.05
MIN_RETRY_MS = 50
MAX_RETRY_MS = 10_000


@attrs.frozen
class Waiting:
    """One request in the queue.

    Parameters
    ----------
    number
        Identifies the request at its gate.
    alone
        Whether it must run while nothing else does.
    """

    number: int
    may_wait: bool
    deadline: float
    alone: bool = False


@attrs.frozen
class Pace:
    """How fast a backend server works at present.

    Parameters
    ----------
    slots
        Requests that it may run at the same time.
    service_s
        Seconds that a request takes, or None before the first one has ended.
    """

    slots: int
    service_s: float | None

    def compute_wait(self, ahead: int) -> float:
        """Return the seconds until a request starts that has so many others before it."""
        if self.service_s is None:
            return 0.0
        return (ahead + 1) * self.service_s / self.slots

    def compute_end(self, ahead: int) -> float:
        """Return the seconds until such a request has been answered."""
        return self.compute_wait(ahead) + (self.service_s or 0.0)


@attrs.frozen
class Shed:
    """A request that leaves the queue without a start."""

    number: int
    refusal: NotRun


@attrs.define
class WorkQueue:
    """Requests that wait for a slot.

    Parameters
    ----------
    enabled
        Whether classes are told apart and hopeless requests shed early; otherwise it is a plain
        queue in order of arrival that sheds at the deadline.
    """

    enabled: bool = True
    max_waiting: int = MAX_WAITING
    _fast: deque[Waiting] = attrs.field(factory=deque)
    _deferrable: deque[Waiting] = attrs.field(factory=deque)
    _fast_starts: int = 0
    _deferrable_share: float = 1.0

    def __len__(self) -> int:
        return len(self._fast) + len(self._deferrable)

    def offer(self, item: Waiting, pace: Pace, now: float) -> NotRun | None:
        """Queue a request, or return why it is refused."""
        queue = self._choose_queue(item)
        if self.enabled:
            refusal = self._judge(item, len(queue), pace, now, ADMITTED_SHARE)
            if refusal is None and len(queue) >= self.max_waiting:
                refusal = NotRun(Reason.OVERLOADED, _round_retry(pace.compute_wait(len(self))))
            if refusal is not None:
                return refusal
        queue.append(item)
        return None

    def take(self) -> Waiting | None:
        """Return the request to start next, or None; `shed` comes first."""
        queue = self._choose_next()
        if self._deferrable:
            self._note_turn(queue is self._deferrable)
        return queue.popleft() if queue else None

    def _note_turn(self, deferrable: bool) -> None:
        """Count whether a start went to a deferrable request while one waited."""
        share = self._deferrable_share
        share += SHARE_WEIGHT * (deferrable - share)
        self._deferrable_share = max(1 / DEFERRABLE_EVERY, share)

    def peek(self) -> Waiting | None:
        """Return the request that `take` would return."""
        starts = self._fast_starts
        queue = self._choose_next()
        self._fast_starts = starts
        return queue[0] if queue else None

    def remove(self, number: int) -> None:
        """Drop a request whose caller has gone."""
        for queue in (self._fast, self._deferrable):
            for item in queue:
                if item.number == number:
                    queue.remove(item)
                    return

    def shed(self, pace: Pace, now: float) -> list[Shed]:
        """Drop all requests that cannot be answered before their deadlines any more."""
        dropped: list[Shed] = []
        for queue in (self._fast, self._deferrable):
            kept: list[Waiting] = []
            for item in queue:
                refusal = self._judge(item, len(kept), pace, now, 1.0)
                if refusal is None:
                    kept.append(item)
                else:
                    dropped.append(Shed(item.number, refusal))
            if len(kept) < len(queue):
                queue.clear()
                queue.extend(kept)
        return dropped

    def _judge(
        self, item: Waiting, position: int, pace: Pace, now: float, share: float
    ) -> NotRun | None:
        """Return a refusal if a request needs more than a share of its time."""
        remaining = item.deadline - now
        if remaining <= 0:
            return NotRun(Reason.DEADLINE_PASSED)
        if not self.enabled:
            return None
        ahead = self._count_ahead(item, position)
        late_by = pace.compute_end(ahead) - share * remaining
        if late_by <= 0:
            return None
        return NotRun(Reason.OVERLOADED, _round_retry(late_by + pace.compute_wait(0)))

    def _count_ahead(self, item: Waiting, position: int) -> int:
        """Return how many requests start before one at a position of its queue."""
        if not item.may_wait:
            return position + min(len(self._deferrable), position // DEFERRABLE_EVERY)
        return int((position + 1) / self._deferrable_share) - 1

    def _choose_queue(self, item: Waiting) -> deque[Waiting]:
        return self._deferrable if item.may_wait and self.enabled else self._fast

    def _choose_next(self) -> deque[Waiting]:
        """Return the queue whose turn it is."""
        if not self._deferrable:
            return self._fast
        if not self._fast or self._fast_starts >= DEFERRABLE_EVERY - 1:
            self._fast_starts = 0
            return self._deferrable
        self._fast_starts += 1
        return self._fast


def _round_retry(seconds: float) -> int:
    """Return a time to come back, in milliseconds, within sensible bounds."""
    return max(MIN_RETRY_MS, min(MAX_RETRY_MS, int(seconds * 1000) + 1))
