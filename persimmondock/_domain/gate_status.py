"""State of a gate, which it sends to other daemons with each heartbeat and each answer."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs

from persimmondock._domain.assignment import BackendIncarnation
from persimmondock._domain.optional_fields import pack_optional, read_optional

if TYPE_CHECKING:
    from collections.abc import Iterable

OPTIONAL_FIELDS = ("link_wait_s", "waiting_by_priority")
MAX_LEVELS = 8  # higher priority numbers count as the last level


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
    link_wait_s
        Seconds that the VM's link takes for the large answers that are expected or under way.
    waiting_by_priority
        Requests in the gate's queue by priority number, without levels at the end that are empty.
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
    link_wait_s: float = 0.0
    waiting_by_priority: tuple[int, ...] = ()

    def count_behind(self, priority: int) -> int:
        """Return the requests in the queue that are less urgent than a priority."""
        return sum(self.waiting_by_priority[clamp_level(priority) + 1 :])

    @property
    def tells_order(self) -> bool:
        """Whether it is known what waits at which priority."""
        return self.waiting == 0 or bool(self.waiting_by_priority)

    def pack(self, version: int = 0) -> list[Any]:
        """Return the fields in order, as data for msgpack.

        Parameters
        ----------
        version
            Version of the protocol that the receiver speaks.
        """
        incarnation = None if self.incarnation is None else [*attrs.astuple(self.incarnation)]
        data = [
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
        return [*data, pack_optional(self, OPTIONAL_FIELDS)] if version else data


def clamp_level(priority: int) -> int:
    """Return the level of ``waiting_by_priority`` in which a priority number counts."""
    return min(MAX_LEVELS - 1, max(0, priority))


def count_levels(priorities: Iterable[int]) -> tuple[int, ...]:
    """Return the numbers of requests by level, without levels at the end that are empty."""
    counts = Counter(clamp_level(priority) for priority in priorities)
    return tuple(counts[level] for level in range(max(counts, default=-1) + 1))


PACKED_COUNT = len(attrs.fields(GateStatus)) - len(OPTIONAL_FIELDS)


def unpack_status(data: list[Any]) -> GateStatus:
    """Return the status of packed data."""
    service, incarnation, *rest = data[:PACKED_COUNT]
    optional: dict[str, Any] = {}
    for packed in data[PACKED_COUNT : PACKED_COUNT + 1]:
        optional = read_optional(packed, OPTIONAL_FIELDS)
    return GateStatus(
        service,
        None if incarnation is None else BackendIncarnation(*incarnation),
        *rest,
        **optional,
    )
