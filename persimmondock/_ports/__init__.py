"""Interfaces of the tasks to external systems."""

from __future__ import annotations
