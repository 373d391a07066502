"""State of a gate, which it sends to other daemons with each heartbeat and each answer."""

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
        Current incarnation of the backend server, or None while none runs.
    slots
        Requests that the backend server may currently run concurrently.
    running, waiting
        Requests at the backend server and in the gate's queue.
    accepts_work
        Whether the gate accepts new requests.
    service_s
        Recent mean service time of a request in seconds; 0 before the first answer. Longer where a
        limit that the backend server names allows less than its slots.
    granted_offset
        Offset after the record of the current assignment if all of this gate's ranges are granted,
        else -1.
    capacity_per_s
        Requests per second that the backend server can currently answer; 0 if unknown.
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
        """Return the fields in order, as data for msgpack."""
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
    """Return the status of packed data."""
    service, incarnation, *rest = data
    return GateStatus(
        service, None if incarnation is None else BackendIncarnation(*incarnation), *rest
    )
