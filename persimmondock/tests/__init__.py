"""Tests, one module for each module of the package, and their shared helpers."""

from __future__ import annotations
