"""Tests that indexes, folding in place and planned moves do not change the result of a fold."""

from __future__ import annotations

import random

import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmondock._domain.placement import NO_OWNER, Share, compute_quotas, place_slices
from persimmondock._domain.records import Record
from persimmondock._domain.snapshot import decode_view, encode_view
from persimmondock._domain.view import View, begin_batch, build_index, end_batch, fold
from persimmondock.tests.random_records import make_random_record


def check_indexes(view: View) -> None:
    """Compare each index with one that is rebuilt from the rest of the view."""
    for state in view.services.values():
        kept = state.index
        if kept is None:
            continue
        built = build_index(view, state)
        assert kept.codes.tolist() == built.codes.tolist()
        assert kept.weights.tolist() == built.weights.tolist()
        assert np.trim_zeros(kept.counts, "b").tolist() == np.trim_zeros(built.counts, "b").tolist()
        assert (kept.code_of, kept.codes_of) == (built.code_of, built.codes_of)


@settings(max_examples=25)
@given(seed=st.integers(0, 2**32), batch=st.integers(1, 30))
def test_folding_in_batches_equals_folding_one_by_one(seed, batch) -> None:
    source = random.Random(seed)
    plain = batched = View()
    pending: list[tuple[int, Record]] = []
    for _ in range(90):
        record = make_random_record(source, plain)
        pending.append((plain.offset, record))
        plain = fold(plain, plain.offset, record)
        check_indexes(plain)
        if len(pending) < batch:
            continue
        before, bytes_before = batched, encode_view(batched)
        edited = begin_batch(batched)
        for offset, waiting in pending:
            edited = fold(edited, offset, waiting)
        batched, pending = end_batch(edited), []
        check_indexes(batched)
        assert encode_view(batched) == encode_view(plain)
        assert encode_view(before) == bytes_before
        if source.random() < 0.3:
            batched = decode_view(encode_view(batched))


def place_one_by_one(owners: list[int], shares: list[Share]) -> list[int]:
    """Place slices one at a time, by the same rules."""
    quotas = dict(
        zip((s.code for s in shares), compute_quotas(shares, len(owners)).tolist(), strict=True)
    )
    counts = {code: owners.count(code) for code in quotas}
    free = [i for i, owner in enumerate(owners) if owner not in quotas]
    wanted = sum(max(0, quotas[code] - counts[code]) for code in quotas) - len(free)
    for code in quotas:
        owned = [i for i, owner in enumerate(owners) if owner == code]
        given_up = owned[: max(0, min(counts[code] - quotas[code], wanted))]
        free += given_up
        wanted -= len(given_up)
    placed = list(owners)
    room = [code for code in quotas for _ in range(quotas[code] - counts[code])]
    for index, code in zip(free, room, strict=False):
        placed[index] = code
    return placed


@given(
    owners=st.lists(st.integers(NO_OWNER, 9), min_size=1, max_size=60),
    weights=st.dictionaries(st.integers(0, 9), st.integers(1, 12), min_size=1),
)
def test_the_plan_of_moves_equals_plain_placement(owners, weights) -> None:
    shares = [Share(code, weights[code]) for code in sorted(weights)]
    placed = place_slices(np.array(owners, dtype=np.int32), shares)
    assert placed.tolist() == place_one_by_one(owners, shares)
