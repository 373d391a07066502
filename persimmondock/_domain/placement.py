"""Placement of slices on backend servers.

The placement is part of the folded view. A change of membership moves the fewest slices that give
each backend server its share. The new placement is a pure function of the previous one and the
shares, so every daemon that folds the same records has the same placement.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import numpy as np

if TYPE_CHECKING:
    from collections.abc import Sequence

    from numpy.typing import NDArray

NO_OWNER = -1
MAX_MASKED_CODES = 4  # more codes are found through a lookup table


@attrs.frozen
class Share:
    """A backend server's share of the slices.

    Parameters
    ----------
    code
        Number of the backend server in its service.
    weight
        Number of its slots, to which its number of slices is proportional.
    """

    code: int
    weight: int


@attrs.frozen(eq=False)
class Moves:
    """Slices that move, and the code of the new owner of each."""

    slices: NDArray[np.int64]
    targets: NDArray[np.int32]


def compute_quotas(shares: Sequence[Share], slices: int) -> NDArray[np.int64]:
    """Divide slices among shares by largest remainder; ties go to the earlier share."""
    return _apportion(np.array([share.weight for share in shares], dtype=np.int64), slices)


def _apportion(weights: NDArray[np.int64], slices: int) -> NDArray[np.int64]:
    total = int(weights.sum())
    quotas = weights * slices // total
    remainders = weights * slices % total
    missing = slices - int(quotas.sum())
    if remainders.min() == remainders.max():
        quotas[:missing] += 1
        return quotas
    order = np.argsort(-remainders, kind="stable")
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
    codes = np.array([share.code for share in shares], dtype=np.int32)
    weights = np.array([share.weight for share in shares], dtype=np.int64)
    counts = count_slices(owners, 1 + max((share.code for share in shares), default=0))
    moves = plan_moves(owners, codes, weights, counts, budget)
    placed = owners.copy()
    placed[moves.slices] = moves.targets
    return placed


def count_slices(owners: NDArray[np.int32], min_length: int) -> NDArray[np.int64]:
    """Return the number of slices of each code, padded with zeros to ``min_length`` codes."""
    return np.bincount(owners[owners >= 0], minlength=min_length).astype(np.int64)


def plan_moves(
    owners: NDArray[np.int32],
    codes: NDArray[np.int32],
    weights: NDArray[np.int64],
    counts: NDArray[np.int64],
    budget: int | None = None,
) -> Moves:
    """Return the slices that move after a change of shares.

    Parameters
    ----------
    owners, budget
        As for `place_slices`.
    codes, weights
        The shares, ordered by code.
    counts
        Number of slices that each code owns.
    """
    if not len(codes):
        owned = np.flatnonzero(owners != NO_OWNER)
        return Moves(owned, np.full(len(owned), NO_OWNER, dtype=np.int32))
    quotas = _apportion(weights, len(owners))
    current = counts[codes]
    orphaned = _find_orphaned(owners, codes, counts)
    deficits = np.maximum(quotas - current, 0)
    move_count = int(deficits.sum()) - len(orphaned)
    if budget is not None:
        move_count = min(move_count, budget)
    excess = _select_excess(owners, codes, current - quotas, move_count)
    moving = np.concatenate([orphaned, excess])
    return Moves(moving, np.repeat(codes, deficits)[: len(moving)])


def find_slices(owners: NDArray[np.int32], codes: Sequence[int]) -> NDArray[np.int64]:
    """Return the slices that some codes own, in order."""
    if len(codes) == 1:
        return np.flatnonzero(owners == codes[0])
    if len(codes) <= MAX_MASKED_CODES:
        mask = np.zeros(len(owners), dtype=bool)
        for code in codes:
            mask |= owners == code
        return np.flatnonzero(mask)
    # The last element stays free for NO_OWNER, which indexes it as -1.
    selected = np.zeros(max(int(owners.max()), *codes) + 2, dtype=bool)
    selected[list(codes)] = True
    return np.flatnonzero(selected[owners])


def _find_orphaned(
    owners: NDArray[np.int32], codes: NDArray[np.int32], counts: NDArray[np.int64]
) -> NDArray[np.int64]:
    """Return the slices whose owner has no share."""
    without_share = counts > 0
    without_share[codes] = False
    orphaned: list[int] = np.flatnonzero(without_share).tolist()
    if int(counts.sum()) < len(owners):
        orphaned.append(NO_OWNER)
    if not orphaned:
        return np.empty(0, dtype=np.int64)
    return find_slices(owners, orphaned)


def _select_excess(
    owners: NDArray[np.int32],
    codes: NDArray[np.int32],
    surplus: NDArray[np.int64],
    move_count: int,
) -> NDArray[np.int64]:
    """Return slices that owners above their quota give up, lowest codes and slices first.

    Parameters
    ----------
    surplus
        For each of ``codes``, the number of slices above its quota.
    move_count
        Number of slices to return, if there are as many.
    """
    over_quota = np.flatnonzero(surplus > 0)
    if move_count <= 0 or not len(over_quota):
        return np.empty(0, dtype=np.int64)
    owner_count = int(np.searchsorted(np.cumsum(surplus[over_quota]), move_count)) + 1
    over_quota = over_quota[:owner_count]
    candidates = find_slices(owners, codes[over_quota].tolist())
    by_owner = candidates[np.argsort(owners[candidates], kind="stable")]
    slice_owners = owners[by_owner]
    rank = np.arange(len(by_owner)) - np.searchsorted(slice_owners, slice_owners, side="left")
    allowed = surplus[over_quota][np.searchsorted(codes[over_quota], slice_owners)]
    return by_owner[rank < allowed][:move_count]
