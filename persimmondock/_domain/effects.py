"""Effects that ``Membership`` returns for its caller to perform, and references to slices."""

from __future__ import annotations

from typing import TypeAlias

import attrs

from persimmondock._domain.messages import Message
from persimmondock._domain.records import Record


@attrs.frozen
class Send:
    """Send a message to the daemon at an address."""

    address: str
    message: Message


@attrs.frozen
class Append:
    """Append records to the log as one unit."""

    records: tuple[Record, ...]


Effect: TypeAlias = Send | Append


@attrs.frozen
class SliceRef:
    """One slice of one service."""

    service: str
    index: int
