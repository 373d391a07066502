"""Protection mechanisms of the gate, which can be disabled to measure the effect of each."""

from __future__ import annotations

import enum


class Mechanism(enum.StrEnum):
    """A protection mechanism of the gate."""

    QUEUE = "queue"
    LIMIT = "limit"
    RAMP = "ramp"
    POISON = "poison"
