"""Map from slices to owners, which callers can read to send directly to an owner's daemon."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs
import numpy as np
import xxhash

from persimmondock._domain.placement import NO_OWNER

if TYPE_CHECKING:
    from numpy.typing import NDArray

    from persimmondock._domain.view import View

SLICE_HASH = "xxh3_64"


@attrs.frozen
class OwnerMap:
    """Owners of all slices of one service.

    Parameters
    ----------
    offset
        Offset of the view from which it was built.
    addresses
        Addresses at which callers reach the owners' daemons.
    runs
        Run-length encoding of the slices: pairs of a number of consecutive slices and the index of
        their owner's address, or -1 without an owner.
    """

    service: str
    offset: int
    slices: int
    addresses: tuple[str, ...]
    runs: tuple[tuple[int, int], ...]

    def compute_etag(self) -> str:
        """Return an HTTP entity tag that changes with the owners, but not with the offset alone."""
        content = json.dumps([self.service, self.slices, self.addresses, self.runs])
        return f'"{xxhash.xxh3_64_hexdigest(content.encode())}"'

    def to_plain(self) -> dict[str, Any]:
        """Return the map as data for JSON."""
        return {**attrs.asdict(self), "hash": SLICE_HASH}


def build_owner_map(view: View, service: str) -> OwnerMap | None:
    """Return the owners of a service's slices, or None if there is no such keyed service."""
    configuration, state = view.configurations.get(service), view.services.get(service)
    if configuration is None or state is None or not configuration.keyed:
        return None
    addresses: list[str] = []
    positions = np.full(len(state.owners), -1, dtype=np.int64)
    for code in np.unique(state.owners).tolist():
        placed = state.backends.get(code) if code != NO_OWNER else None
        member = view.find_member(placed.member) if placed is not None else None
        if member is None:
            continue
        if member.caller_address not in addresses:
            addresses.append(member.caller_address)
        positions[state.owners == code] = addresses.index(member.caller_address)
    return OwnerMap(service, view.offset, state.slices, tuple(addresses), _encode_runs(positions))


def _encode_runs(positions: NDArray[np.int64]) -> tuple[tuple[int, int], ...]:
    """Return the run-length encoding: pairs of a count and a value."""
    if not len(positions):
        return ()
    starts = np.concatenate([[0], np.flatnonzero(np.diff(positions)) + 1, [len(positions)]])
    counts = np.diff(starts)
    return tuple(zip(counts.tolist(), positions[starts[:-1]].tolist(), strict=True))
