"""Replica of a partition in which each record replaces the previous one of its key."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen
class KeyedEntry:
    """A record of a key.

    Parameters
    ----------
    value
        Empty if the key was deleted.
    """

    offset: int
    key: str
    value: bytes


@attrs.define
class Replica:
    """The newest record of each key among the records read.

    Parameters
    ----------
    end
        Offset before which all records are known.
    confirmed_by_store
        Whether the store itself, not only peers, has confirmed ``end`` since this process started.
    """

    entries: dict[str, KeyedEntry] = attrs.field(factory=dict)
    end: int = 0
    confirmed_by_store: bool = False

    def apply(self, entries: Iterable[KeyedEntry], end: int) -> list[KeyedEntry]:
        """Apply records; return those that are newer than the known record of their key."""
        changed = []
        for entry in entries:
            known = self.entries.get(entry.key)
            if known is None or entry.offset > known.offset:
                self.entries[entry.key] = entry
                changed.append(entry)
        self.end = max(self.end, end)
        return changed

    def apply_snapshot(self, entries: Iterable[KeyedEntry], end: int) -> list[KeyedEntry]:
        """Apply the newest record of every key; keys that are not listed were deleted."""
        listed = list(entries)
        dropped = self._list_unlisted({entry.key for entry in listed}, end)
        return self.apply([*listed, *dropped], end)

    def drop_unlisted(self, keys: Iterable[str], end: int) -> list[KeyedEntry]:
        """Drop the keys that another replica, which ends at ``end``, does not have."""
        return self.apply(self._list_unlisted(set(keys), end), self.end)

    def _list_unlisted(self, keys: set[str], end: int) -> list[KeyedEntry]:
        return [
            KeyedEntry(end - 1, known.key, b"")
            for known in self.entries.values()
            if known.value and known.key not in keys and known.offset < end
        ]

    def list_keys(self) -> list[str]:
        """Return the keys that have a value."""
        return [entry.key for entry in self.entries.values() if entry.value]

    def list_since(self, offset: int) -> list[KeyedEntry]:
        """Return the entries that a replica that ends at ``offset`` lacks, by offset."""
        newer = [entry for entry in self.entries.values() if entry.offset >= offset]
        return sorted(newer, key=lambda entry: entry.offset)

    def get(self, key: str) -> bytes | None:
        """Return the value of a key, or None if it has none."""
        entry = self.entries.get(key)
        return entry.value if entry is not None and entry.value else None
