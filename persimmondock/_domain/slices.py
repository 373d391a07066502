"""Mapping of keys to slices."""

from __future__ import annotations

import xxhash


def find_slice(key: str, slices: int) -> int:
    """Return the slice of a key among ``slices`` slices."""
    return xxhash.xxh3_64_intdigest(key.encode()) % slices
