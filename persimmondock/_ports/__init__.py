"""Interfaces between the decisions and the outside."""

from __future__ import annotations
