"""What a gate tells others of itself with each heartbeat and each answer."""

from __future__ import annotations

from typing import Any

import attrs

from persimmondock._domain.assignment import BackendIncarnation


@attrs.frozen
class GateStatus:
    """State of one gate.

    Parameters
    ----------
    service
        Service of its backend server.
    incarnation
        The backend server's present incarnation, or None while none runs.
    slots
        Requests that it may run at the same time now.
    running, waiting
        Requests at the backend server, and in the gate's queue.
    accepts_work
        Whether it takes new work.
    service_s
        Recent mean time of a request at the backend server, in seconds; 0 before the first.
    granted_offset
        Offset after the assignment of which all of its ranges are granted; -1 for none.
    capacity_per_s
        Requests a second that the backend server can answer now; 0 if it is not known.
    """

    service: str = ""
    incarnation: BackendIncarnation | None = None
    slots: int = 0
    running: int = 0
    waiting: int = 0
    accepts_work: bool = False
    service_s: float = 0.0
    granted_offset: int = -1
    capacity_per_s: float = 0.0

    def pack(self) -> list[Any]:
        """Return plain data."""
        incarnation = None if self.incarnation is None else [*attrs.astuple(self.incarnation)]
        return [
            self.service,
            incarnation,
            self.slots,
            self.running,
            self.waiting,
            self.accepts_work,
            round(self.service_s, 4),
            self.granted_offset,
            round(self.capacity_per_s, 1),
        ]


def unpack_status(data: list[Any]) -> GateStatus:
    """Read a status from plain data."""
    service, incarnation, *rest = data
    return GateStatus(
        service, None if incarnation is None else BackendIncarnation(*incarnation), *rest
    )
