"""The offered load: all requests and their send times, generated from a seed before the run."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import numpy as np
import xxhash

from persimmondock._domain.slices import find_slice
from persimmondock.bench.mixes import IDEMPOTENT_SUFFIX, NON_IDEMPOTENT_SUFFIX, SLICES

if TYPE_CHECKING:
    from persimmondock.bench.mixes import Mix

HOT_KEY_STRIDE = 37  # keys by which the hot keys move at each drift interval
DUPLICATED_SHARE = 0.1


@attrs.frozen
class Offer:
    """One offered request.

    Parameters
    ----------
    at_s
        Intended send time, in seconds after the start of the load.
    slice
        Slice of its key, or -1 for a service without keys.
    request_id
        Identifier of a non-idempotent request, or empty.
    front
        Number that selects a VM, modulo the number of VMs in use; each attempt goes to the next.
    duplicated
        Whether the caller sends it through two VMs at the same time, like an impatient client that
        retries before the first answer.
    """

    at_s: float
    service: str
    path: str
    slice: int
    request_id: str
    front: int
    duplicated: bool


def generate_requests(mix: Mix, duration_s: float, seed: int) -> list[Offer]:
    """Return the requests of one run as Poisson arrivals; equal arguments give equal requests."""
    generator = np.random.default_rng(seed)
    count = round(mix.rate * duration_s)
    gaps = generator.exponential(1.0 / mix.rate, count)
    due_times_s = np.cumsum(gaps)
    shares = np.array([service.share for service in mix.services])
    services = generator.choice(len(mix.services), size=count, p=shares / shares.sum())
    keys = _choose_keys(mix, due_times_s, generator)
    protected = generator.random(count)
    fronts = generator.integers(0, 1 << 30, count)
    duplicated = generator.random(count) < DUPLICATED_SHARE
    identifiers = generator.bytes(16 * count).hex()
    offers = []
    for index in range(count):
        service = mix.services[int(services[index])]
        key = f"key-{keys[index]}"
        is_protected = protected[index] < service.protected
        suffix = NON_IDEMPOTENT_SUFFIX if is_protected else IDEMPOTENT_SUFFIX
        offers.append(
            Offer(
                at_s=float(due_times_s[index]),
                service=service.name,
                path=f"/{service.name}/{key}{suffix}",
                slice=find_slice(key, SLICES) if service.keyed else -1,
                request_id=identifiers[32 * index : 32 * index + 32] if is_protected else "",
                front=int(fronts[index]),
                duplicated=bool(is_protected and duplicated[index]),
            )
        )
    return offers


def _choose_keys(
    mix: Mix,
    due_times_s: np.ndarray[tuple[int], np.dtype[np.float64]],
    generator: np.random.Generator,
) -> list[int]:
    """Choose a key for each request; the hot keys change with each drift interval."""
    count = len(due_times_s)
    plain = generator.integers(0, mix.keys, count)
    is_hot = generator.random(count) < mix.hot_share
    rank = generator.integers(0, mix.hot_keys, count)
    interval = (due_times_s // mix.drift_s).astype(np.int64)
    hot_keys = (interval * HOT_KEY_STRIDE + rank) % mix.keys
    chosen: list[int] = np.where(is_hot, hot_keys, plain).tolist()
    return chosen


def compute_digest(offers: list[Offer]) -> str:
    """Return a digest to compare the offered requests of two runs.

    It includes the names of ``Offer`` and its fields: renaming them changes the digest.
    """
    digest = xxhash.xxh3_64()
    for offer in offers:
        digest.update(repr(offer).encode())
    return digest.hexdigest()
