"""Instant by which the requests of a daemon that stops have to be answered."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from persimmondock._domain.forwarding import ForwardedRequest

ANSWER_MARGIN_S = 0.2  # for an answer, or the outcome at a deadline, to reach its caller


@attrs.define
class StopDeadline:
    """Bounds the requests of one daemon from the instant at which it is told to stop.

    Parameters
    ----------
    answer_by
        Instant by which requests have to be answered; infinite while the daemon is not stopping.
    """

    answer_by: float = math.inf

    def set_end(self, stop_by: float) -> None:
        """Set the instant at which the daemon closes its connections."""
        self.answer_by = stop_by - ANSWER_MARGIN_S

    def is_too_late(self, deadline: float, service_s: float, now: float) -> bool:
        """Return whether a request should be refused, so that its caller can go elsewhere.

        One whose own deadline comes first is as well off here as elsewhere.

        Parameters
        ----------
        service_s
            Seconds until the answer, if the request is sent now.
        """
        return deadline >= self.answer_by and now + service_s > self.answer_by

    def limit(self, request: ForwardedRequest) -> ForwardedRequest:
        """Return a request that ends before the daemon does."""
        if request.deadline <= self.answer_by:
            return request
        return attrs.evolve(request, deadline=self.answer_by)
