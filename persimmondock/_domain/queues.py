"""Queue of requests that wait for a slot of one backend server.

Requests that may wait are deferrable, all others are urgent. Urgent requests start first, but while
both kinds are queued, one of every ``DEFERRABLE_START_INTERVAL`` starts is a deferrable request. A
request is admitted only if it is expected to be answered within ``ADMISSION_DEADLINE_SHARE`` of its
remaining time, so that few requests wait in vain; it is shed later if it can no longer meet its
deadline. Times are monotonic seconds.
"""

from __future__ import annotations

from collections import deque

import attrs

from persimmondock._domain.verdict import NotRun, Reason

MAX_WAITING = 256
DEFERRABLE_START_INTERVAL = 8
ADMISSION_DEADLINE_SHARE = 0.75
SHARE_EWMA_WEIGHT = 0.05
MIN_RETRY_MS = 50
MAX_RETRY_MS = 10_000


@attrs.frozen
class QueuedRequest:
    """One request in the queue.

    Parameters
    ----------
    number
        Identifies the request at its gate.
    alone
        Whether no other request may run at the same time.
    """

    number: int
    may_wait: bool
    deadline: float
    alone: bool = False


@attrs.frozen
class ServiceRate:
    """Current service rate of a backend server.

    Parameters
    ----------
    slots
        Requests that it may run at the same time.
    service_s
        Service time of a request in seconds, or None before the first one has ended.
    """

    slots: int
    service_s: float | None

    def estimate_wait_s(self, ahead: int) -> float:
        """Return the expected seconds until a request starts with ``ahead`` others before it."""
        if self.service_s is None:
            return 0.0
        return (ahead + 1) * self.service_s / self.slots

    def estimate_completion_s(self, ahead: int) -> float:
        """Return the expected seconds until such a request has been answered."""
        return self.estimate_wait_s(ahead) + (self.service_s or 0.0)


@attrs.frozen
class ShedRequest:
    """A request that was removed from the queue without being started."""

    number: int
    refusal: NotRun


@attrs.define
class WorkQueue:
    """Requests that wait for a slot.

    Parameters
    ----------
    enabled
        Whether urgent requests go first and requests that would miss their deadlines are refused
        early; otherwise it is a FIFO queue that sheds requests only at their deadlines.
    max_waiting
        Limit on the waiting requests of each kind, urgent or deferrable; applies only if enabled.
    """

    enabled: bool = True
    max_waiting: int = MAX_WAITING
    _urgent: deque[QueuedRequest] = attrs.field(factory=deque)
    _deferrable: deque[QueuedRequest] = attrs.field(factory=deque)
    _urgent_starts: int = 0
    _deferrable_share: float = 1.0

    def __len__(self) -> int:
        return len(self._urgent) + len(self._deferrable)

    def offer(self, item: QueuedRequest, service_rate: ServiceRate, now: float) -> NotRun | None:
        """Queue a request, or return its refusal."""
        queue = self._choose_queue(item)
        if self.enabled:
            refusal = self._check_deadline(
                item, len(queue), service_rate, now, ADMISSION_DEADLINE_SHARE
            )
            if refusal is None and len(queue) >= self.max_waiting:
                refusal = NotRun(
                    Reason.OVERLOADED,
                    _clamp_retry_after_ms(service_rate.estimate_wait_s(len(self))),
                )
            if refusal is not None:
                return refusal
        queue.append(item)
        return None

    def take(self) -> QueuedRequest | None:
        """Remove and return the request to start next, or None.

        Its deadline may have passed; call `shed` first, or check the deadline.
        """
        queue = self._choose_next_queue()
        if self._deferrable:
            self._update_deferrable_share(queue is self._deferrable)
        return queue.popleft() if queue else None

    def _update_deferrable_share(self, deferrable: bool) -> None:
        """Update the share of starts that deferrable requests get while one of them waits."""
        share = self._deferrable_share
        share += SHARE_EWMA_WEIGHT * (deferrable - share)
        self._deferrable_share = max(1 / DEFERRABLE_START_INTERVAL, share)

    def peek(self) -> QueuedRequest | None:
        """Return the request that `take` would return."""
        starts = self._urgent_starts
        queue = self._choose_next_queue()
        self._urgent_starts = starts
        return queue[0] if queue else None

    def remove(self, number: int) -> None:
        """Remove a request, if it is queued."""
        for queue in (self._urgent, self._deferrable):
            for item in queue:
                if item.number == number:
                    queue.remove(item)
                    return

    def shed(self, service_rate: ServiceRate, now: float) -> list[ShedRequest]:
        """Remove and return all requests that can no longer meet their deadlines."""
        dropped: list[ShedRequest] = []
        for queue in (self._urgent, self._deferrable):
            kept: list[QueuedRequest] = []
            for item in queue:
                refusal = self._check_deadline(item, len(kept), service_rate, now, 1.0)
                if refusal is None:
                    kept.append(item)
                else:
                    dropped.append(ShedRequest(item.number, refusal))
            if len(kept) < len(queue):
                queue.clear()
                queue.extend(kept)
        return dropped

    def _check_deadline(
        self,
        item: QueuedRequest,
        position: int,
        service_rate: ServiceRate,
        now: float,
        share: float,
    ) -> NotRun | None:
        """Return a refusal if a request is expected to exceed a share of its remaining time."""
        remaining = item.deadline - now
        if remaining <= 0:
            return NotRun(Reason.DEADLINE_PASSED)
        if not self.enabled:
            return None
        ahead = self._count_ahead(item, position)
        late_by = service_rate.estimate_completion_s(ahead) - share * remaining
        if late_by <= 0:
            return None
        return NotRun(
            Reason.OVERLOADED, _clamp_retry_after_ms(late_by + service_rate.estimate_wait_s(0))
        )

    def _count_ahead(self, item: QueuedRequest, position: int) -> int:
        """Return how many requests start before the one at a position of its queue."""
        if not item.may_wait:
            return position + min(len(self._deferrable), position // DEFERRABLE_START_INTERVAL)
        return int((position + 1) / self._deferrable_share) - 1

    def _choose_queue(self, item: QueuedRequest) -> deque[QueuedRequest]:
        return self._deferrable if item.may_wait and self.enabled else self._urgent

    def _choose_next_queue(self) -> deque[QueuedRequest]:
        """Return the queue whose first request starts next."""
        if not self._deferrable:
            return self._urgent
        if not self._urgent or self._urgent_starts >= DEFERRABLE_START_INTERVAL - 1:
            self._urgent_starts = 0
            return self._deferrable
        self._urgent_starts += 1
        return self._urgent


def _clamp_retry_after_ms(seconds: float) -> int:
    """Return a retry delay in milliseconds, between ``MIN_RETRY_MS`` and ``MAX_RETRY_MS``."""
    return max(MIN_RETRY_MS, min(MAX_RETRY_MS, int(seconds * 1000) + 1))
