"""Domain logic, without input, output or clocks."""

from __future__ import annotations
