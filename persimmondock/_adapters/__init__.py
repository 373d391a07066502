"""Implementations of the ports on top of libraries."""

from __future__ import annotations
