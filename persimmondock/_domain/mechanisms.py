"""Mechanisms of the gate that can be switched off, to measure what each one is worth."""

from __future__ import annotations

import enum


class Mechanism(enum.StrEnum):
    """One mechanism of the gate."""

    QUEUE = "queue"
    LIMIT = "limit"
    RAMP = "ramp"
    POISON = "poison"
