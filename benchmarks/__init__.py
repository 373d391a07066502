"""Benchmarks and load scenarios; the benchmark classes follow the conventions of asv."""

from __future__ import annotations
