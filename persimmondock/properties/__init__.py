"""Hypothesis properties and state machines."""

from __future__ import annotations
