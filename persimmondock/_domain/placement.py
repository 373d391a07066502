"""Placement of slices on backend servers.

The placement is folded state: a change of membership moves the fewest slices that give each
backend server its share. It is a pure function of the previous placement and the shares, so every
daemon that folds the same records has the same placement.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import numpy as np

if TYPE_CHECKING:
    from collections.abc import Sequence

    from numpy.typing import NDArray

NO_OWNER = -1


@attrs.frozen
class Share:
    """A backend server's claim to slices.

    Parameters
    ----------
    code
        Number of the backend server in its service.
    weight
        Slices that it gets, relative to the others; its slots.
    """

    code: int
    weight: int


def compute_quotas(shares: Sequence[Share], slices: int) -> NDArray[np.int64]:
    """Divide slices among shares by largest remainder; ties go to the lower code."""
    weights = np.array([share.weight for share in shares], dtype=np.int64)
    total = int(weights.sum())
    quotas = weights * slices // total
    remainders = weights * slices % total
    missing = slices - int(quotas.sum())
    order = np.lexsort((np.array([share.code for share in shares]), -remainders))
    quotas[order[:missing]] += 1
    return quotas


def place_slices(
    owners: NDArray[np.int32], shares: Sequence[Share], budget: int | None = None
) -> NDArray[np.int32]:
    """Return the owners of all slices after a change of shares.

    Parameters
    ----------
    owners
        Code of the present owner of each slice, or ``NO_OWNER``.
    shares
        Backend servers that may own slices, ordered by code.
    budget
        Largest number of slices that are moved only for balance; None for no limit. Slices whose
        owner has no share always move.
    """
    if not shares:
        return np.full_like(owners, NO_OWNER)
    codes = np.array([share.code for share in shares], dtype=np.int32)
    quotas = compute_quotas(shares, len(owners))
    positions = _index_codes(codes, owners)
    counts = np.bincount(positions[positions >= 0], minlength=len(codes))
    homeless = np.flatnonzero(positions < 0)
    room = np.maximum(quotas - counts, 0)
    excess = _select_excess(positions, counts, quotas, int(room.sum()) - len(homeless), budget)
    moving = np.concatenate([homeless, excess])
    targets = np.repeat(codes, room)[: len(moving)]
    placed = owners.copy()
    placed[moving] = targets
    return placed


def _index_codes(codes: NDArray[np.int32], owners: NDArray[np.int32]) -> NDArray[np.int64]:
    """Return the position of each owner in ``codes``, or -1 where it has no share."""
    positions = np.searchsorted(codes, owners)
    positions[positions == len(codes)] = 0
    return np.where(codes[positions] == owners, positions, -1)


def _select_excess(
    positions: NDArray[np.int64],
    counts: NDArray[np.int64],
    quotas: NDArray[np.int64],
    wanted: int,
    budget: int | None,
) -> NDArray[np.int64]:
    """Return slices that owners above their quota give up, lowest slices first."""
    if budget is not None:
        wanted = min(wanted, budget)
    over = np.flatnonzero(counts > quotas)
    if wanted <= 0 or not len(over):
        return np.empty(0, dtype=np.int64)
    candidates = np.flatnonzero(np.isin(positions, over))
    by_owner = candidates[np.argsort(positions[candidates], kind="stable")]
    owner_of = positions[by_owner]
    starts = np.searchsorted(owner_of, owner_of, side="left")
    rank = np.arange(len(by_owner)) - starts
    given_up = by_owner[rank < (counts - quotas)[owner_of]]
    return given_up[:wanted]
