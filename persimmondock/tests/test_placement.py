"""Tests of the placement of slices."""

from __future__ import annotations

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmondock._domain.placement import NO_OWNER, Share, compute_quotas, place_slices


@pytest.mark.parametrize("slices", [1, 7, 64, 1000])
@pytest.mark.parametrize("weights", [(1,), (1, 1, 1), (6, 12, 12), (1, 100)])
def test_each_backend_server_gets_its_quota(slices, weights) -> None:
    shares = [Share(code, weight) for code, weight in enumerate(weights)]
    owners = place_slices(np.full(slices, NO_OWNER, dtype=np.int32), shares)
    counts = np.bincount(owners, minlength=len(shares))
    assert counts.tolist() == compute_quotas(shares, slices).tolist()


@given(
    slices=st.integers(1, 200),
    before=st.sets(st.integers(0, 12), min_size=1),
    after=st.sets(st.integers(0, 12), min_size=1),
)
def test_a_change_moves_the_fewest_slices(slices, before, after) -> None:
    empty = np.full(slices, NO_OWNER, dtype=np.int32)
    first = place_slices(empty, [Share(code, 1) for code in sorted(before)])
    shares = [Share(code, 1) for code in sorted(after)]
    second = place_slices(first, shares)
    quotas = dict(zip(sorted(after), compute_quotas(shares, slices).tolist(), strict=True))
    counts = np.bincount(second, minlength=13)
    assert {code: int(counts[code]) for code in after} == quotas
    kept = sum(min(int((first == code).sum()), quotas[code]) for code in after)
    assert int((first == second).sum()) == kept


def test_a_budget_limits_moves_for_balance_only() -> None:
    owners = np.array([0] * 10 + [1] * 10, dtype=np.int32)
    placed = place_slices(owners, [Share(0, 1), Share(2, 1)], budget=0)
    assert (placed == 0).sum() == 10
    assert (placed == 2).sum() == 10


def test_no_share_means_no_owner() -> None:
    assert place_slices(np.zeros(4, dtype=np.int32), []).tolist() == [NO_OWNER] * 4
