"""Index derived from a service's backend servers and the owners of its slices.

It is kept with the service so that folding a record needs no scan of all backend servers or
slices, and it can be rebuilt from the service at any time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import numpy as np

from persimmondock._domain.placement import count_slices

if TYPE_CHECKING:
    from collections.abc import Iterable

    from numpy.typing import NDArray

    from persimmondock._domain.records import Backend, MemberRef


@attrs.define(eq=False)
class BackendIndex:
    """Index of one service.

    Parameters
    ----------
    codes, weights
        Backend servers that may own slices, ordered by code, and their slots.
    counts
        Number of slices that each code owns.
    code_of
        Code of each backend server by name.
    codes_of
        Codes of each member's backend servers.
    """

    codes: NDArray[np.int32]
    weights: NDArray[np.int64]
    counts: NDArray[np.int64]
    code_of: dict[str, int] = attrs.field(factory=dict)
    codes_of: dict[MemberRef, tuple[int, ...]] = attrs.field(factory=dict)

    def copy(self) -> BackendIndex:
        """Return an index that can be changed on its own."""
        return BackendIndex(
            self.codes,
            self.weights,
            self.counts.copy(),
            self.code_of.copy(),
            self.codes_of.copy(),
        )

    def add(self, code: int, member: MemberRef, backend: Backend, eligible: bool) -> None:
        """Add a backend server with a code above all others."""
        self.code_of[backend.name] = code
        self.codes_of[member] = (*self.codes_of.get(member, ()), code)
        if code >= len(self.counts):
            # The length at least doubles, so that most additions copy nothing.
            self.counts = np.concatenate([self.counts, np.zeros(code + 1, dtype=np.int64)])
        if eligible:
            self.codes = np.append(self.codes, np.int32(code))
            self.weights = np.append(self.weights, np.int64(backend.slots))

    def exclude(self, codes: Iterable[int]) -> None:
        """Remove backend servers from those that may own slices."""
        kept = ~np.isin(self.codes, list(codes))
        self.codes, self.weights = self.codes[kept], self.weights[kept]

    def remove(self, code: int, member: MemberRef, backend: Backend) -> None:
        """Remove an excluded backend server from the index."""
        del self.code_of[backend.name]
        remaining = tuple(other for other in self.codes_of[member] if other != code)
        if remaining:
            self.codes_of[member] = remaining
        else:
            del self.codes_of[member]

    def set_shares(self, shares: dict[int, int]) -> None:
        """Replace codes and weights by ``shares``, the slots of each code."""
        self.codes = np.array(sorted(shares), dtype=np.int32)
        self.weights = np.array([shares[code] for code in sorted(shares)], dtype=np.int64)

    def move(self, before: NDArray[np.int32], after: NDArray[np.int32]) -> None:
        """Update the counts for moved slices, given their owners before and after."""
        self.counts -= count_slices(before, len(self.counts))
        self.counts += count_slices(after, len(self.counts))


def make_empty_index(owners: NDArray[np.int32], next_code: int) -> BackendIndex:
    """Return an index without backend servers."""
    return BackendIndex(
        codes=np.empty(0, dtype=np.int32),
        weights=np.empty(0, dtype=np.int64),
        counts=count_slices(owners, max(1, next_code)),
    )
