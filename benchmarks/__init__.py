"""Benchmarks in the style of asv."""

from __future__ import annotations
