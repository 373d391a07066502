"""Snapshots of the view: their encoding, their division into log records, and their search.

A snapshot replaces all records before an offset. Its digest shows whether two daemons have the
same view and whether the bytes are complete.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Mapping
from itertools import islice
from typing import Any, get_args, get_origin

import attrs
import msgpack
import numpy as np
import xxhash
from cattrs import Converter
from cattrs.gen import make_dict_unstructure_fn, override
from cattrs.preconf.msgpack import make_converter
from cattrs.strategies import configure_tagged_union

from persimmondock._domain.records import MemberRef, SnapshotTaken, make_record_id
from persimmondock._domain.view import Accepted, Rejection, ServiceState, View, rebuild_indexes

MAX_PART_BYTES = 512 * 1024
SNAPSHOT_INTERVAL_RECORDS = 2_000
MAX_SNAPSHOT_AGE_S = 1_800.0
WRITER_RANK_DELAY_S = 10.0
COMPRESSION_LEVEL = 1
CHUNK_ITEMS = 500


class SnapshotError(ValueError):
    """Bytes that are not a snapshot with the stated digest and offset."""


@attrs.frozen
class EncodedView:
    """An encoded view.

    Parameters
    ----------
    covers
        Offset of the view.
    digest
        Hash of ``body``; equal views have equal digests.
    """

    covers: int
    digest: str
    body: bytes


def _is_mapping(kind: Any) -> bool:
    return get_origin(kind) in (dict, Mapping)


def _make_packer(kind: Any, converter: Converter) -> Callable[[Mapping[Any, Any]], list[bytes]]:
    """Return a function that packs a mapping in chunks, to build no large intermediate tree."""
    unstructure = converter.get_unstructure_hook(get_args(kind)[1])

    def pack(mapping: Mapping[Any, Any]) -> list[bytes]:
        items = iter(mapping.items())
        chunks = []
        while chunk := [[key, unstructure(value)] for key, value in islice(items, CHUNK_ITEMS)]:
            chunks.append(zlib.compress(msgpack.packb(chunk), COMPRESSION_LEVEL))
        return chunks

    return pack


def _make_unpacker(kind: Any, converter: Converter) -> Callable[[list[bytes], Any], dict[Any, Any]]:
    """Return the inverse of the function that ``_make_packer`` returns."""
    value_kind = get_args(kind)[1]
    structure = converter.get_structure_hook(value_kind)

    def unpack(chunks: list[bytes], _: Any) -> dict[Any, Any]:
        return {
            key: structure(value, value_kind)
            for chunk in chunks
            for key, value in msgpack.unpackb(zlib.decompress(chunk))
        }

    return unpack


class _RefCache:
    """Interns equal references while a view is decoded."""

    def __init__(self) -> None:
        self._refs: dict[tuple[str, int], MemberRef] = {}

    def structure(self, data: dict[str, Any], _: Any) -> MemberRef:
        key = (str(data["daemon"]), int(data["incarnation"]))
        ref = self._refs.get(key)
        if ref is None:
            ref = self._refs[key] = MemberRef(*key)
        return ref

    def clear(self) -> None:
        self._refs.clear()


def _is_array(kind: Any) -> bool:
    return get_origin(kind) is np.ndarray or kind is np.ndarray


def _unstructure_array(array: np.ndarray[Any, Any]) -> list[Any]:
    return [array.dtype.str, zlib.compress(array.tobytes(), COMPRESSION_LEVEL)]


def _structure_array(data: list[Any], _: Any) -> np.ndarray[Any, Any]:
    kind, body = data
    return np.frombuffer(zlib.decompress(body), dtype=np.dtype(kind))


_refs = _RefCache()
_converter = make_converter()
_converter.register_unstructure_hook_factory(_is_mapping, _make_packer)
_converter.register_structure_hook_factory(_is_mapping, _make_unpacker)
_converter.register_structure_hook(MemberRef, _refs.structure)
_converter.register_unstructure_hook_func(_is_array, _unstructure_array)
_converter.register_structure_hook_func(_is_array, _structure_array)
configure_tagged_union(Accepted | Rejection, _converter, tag_name="outcome")


_converter.register_unstructure_hook(
    ServiceState,
    make_dict_unstructure_fn(
        ServiceState, _converter, index=override(omit=True), edit=override(omit=True)
    ),
)
_converter.register_unstructure_hook(
    View,
    make_dict_unstructure_fn(
        View, _converter, edit=override(omit=True), members_edit=override(omit=True)
    ),
)


def compute_digest(body: bytes) -> str:
    """Return the digest of an encoded view."""
    return xxhash.xxh3_128_hexdigest(body)


def encode_view(view: View) -> EncodedView:
    """Encode a view; equal views give equal bytes."""
    body = msgpack.packb(_converter.unstructure(view))
    return EncodedView(view.offset, compute_digest(body), body)


def decode_view(encoded: EncodedView) -> View:
    """Decode a view.

    Raises
    ------
    SnapshotError
        If the digest or the offset does not match, or the bytes are not a view.
    """
    digest = compute_digest(encoded.body)
    if digest != encoded.digest:
        raise SnapshotError(f"snapshot digest is {digest}, expected {encoded.digest}")
    try:
        view = _converter.structure(msgpack.unpackb(encoded.body), View)
    except Exception as error:
        raise SnapshotError(
            f"cannot decode a snapshot of {len(encoded.body)} bytes: {error}"
        ) from error
    finally:
        _refs.clear()
    if view.offset != encoded.covers:
        raise SnapshotError(f"snapshot offset is {view.offset}, expected {encoded.covers}")
    return rebuild_indexes(view)


def split_snapshot(
    encoded: EncodedView, part_bytes: int = MAX_PART_BYTES
) -> tuple[SnapshotTaken, ...]:
    """Split an encoded view into records that are each small enough for one append."""
    starts = range(0, len(encoded.body), part_bytes)
    return tuple(
        SnapshotTaken(
            record_id=make_record_id(),
            covers=encoded.covers,
            digest=encoded.digest,
            body=encoded.body[start : start + part_bytes],
            part=part,
            parts=len(starts),
        )
        for part, start in enumerate(starts)
    )


@attrs.define
class SnapshotSearch:
    """Finds the newest complete snapshot among records that are read in order.

    Parameters
    ----------
    earliest
        Offset of the oldest record that the log keeps; a snapshot that covers less is
        ignored, because records after it are missing.
    """

    earliest: int
    newest: EncodedView | None = None
    _parts: dict[str, dict[int, bytes]] = attrs.field(factory=dict)

    def add_part(self, record: SnapshotTaken) -> None:
        """Add a part of a snapshot."""
        known = -1 if self.newest is None else self.newest.covers
        if record.covers < self.earliest or record.covers <= known:
            return
        parts = self._parts.setdefault(record.digest, {})
        parts[record.part] = record.body
        if len(parts) < record.parts:
            return
        del self._parts[record.digest]
        body = b"".join(parts[part] for part in sorted(parts))
        if compute_digest(body) == record.digest:
            self.newest = EncodedView(record.covers, record.digest, body)


@attrs.define
class SnapshotSchedule:
    """Decides when this daemon writes a snapshot.

    A snapshot is due when many records follow the newest one, when the newest one is old, or when
    the log is about to drop it or has dropped it. All daemons agree on a pseudo-random order that
    differs from snapshot to snapshot. The first daemon writes at once, and each next one only if
    the snapshot is still missing after a delay.
    """

    interval_records: int = SNAPSHOT_INTERVAL_RECORDS
    _earliest: int = 0
    _covers: int = -1
    _covers_seen_at: float = 0.0
    _due_at: float | None = None
    _write_at: float | None = None

    def record_earliest(self, earliest: int) -> None:
        """Record the offset of the oldest record that the log keeps."""
        self._earliest = max(self._earliest, earliest)

    def should_write(self, view: View, ref: MemberRef | None, now: float) -> bool:
        """Return whether this daemon should write a snapshot now.

        After True it returns False until all other members have had time to write it.
        """
        if view.snapshot_covers != self._covers:
            self._covers, self._covers_seen_at = view.snapshot_covers, now
            self._due_at = self._write_at = None
        if ref is None or not self._is_due(view, now):
            return False
        if self._due_at is None or self._write_at is None:
            self._due_at = now
            self._write_at = now + WRITER_RANK_DELAY_S * rank_writer(view, ref)
        if now < self._write_at:
            return False
        self._write_at = now + WRITER_RANK_DELAY_S * max(1, len(view.members))
        return True

    def _is_due(self, view: View, now: float) -> bool:
        behind = view.offset - view.snapshot_covers
        if behind >= self.interval_records or now - self._covers_seen_at >= MAX_SNAPSHOT_AGE_S:
            return True
        if self._earliest == 0:
            return False
        # A snapshot in the older half of the retained records is assumed to be dropped soon.
        kept = view.offset - self._earliest
        return view.snapshot_covers - self._earliest < kept / 2


def rank_writer(view: View, ref: MemberRef) -> int:
    """Return how many members precede this one as writers of the next snapshot."""
    own = _hash_writer(ref.daemon, view.snapshot_covers)
    return sum(
        _hash_writer(member.ref.daemon, view.snapshot_covers) < own
        for member in view.members.values()
        if not member.leaving
    )


def _hash_writer(daemon: str, covers: int) -> int:
    return xxhash.xxh3_64_intdigest(f"{covers}|{daemon}".encode())
