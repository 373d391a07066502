"""Replica of a partition in which each record replaces the previous one of its key."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from persimmondock._domain.log_position import find_era

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen
class KeyedEntry:
    """A record of a key.

    Parameters
    ----------
    offset
        Position in the log.
    value
        Empty if the key was deleted.
    """

    offset: int
    key: str
    value: bytes


@attrs.define
class Replica:
    """The newest record of each key among the records read.

    After the log has come back from an older copy, records of its former era are kept where it has
    none of their key: it had acknowledged them, and their writers write them again.

    Parameters
    ----------
    end
        Position before which all records are known.
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
        """Apply the newest record of every key.

        Keys that are not listed were deleted, unless their records are of a former era.
        """
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
            if known.value
            and known.key not in keys
            and known.offset < end
            and find_era(known.offset) == find_era(end)
        ]

    def list_former(self) -> list[KeyedEntry]:
        """Return the records of former eras, which the log may have lost."""
        era = find_era(self.end)
        return [e for e in self.entries.values() if e.value and find_era(e.offset) < era]

    def drop_former(self) -> list[KeyedEntry]:
        """Drop the records of former eras; return the deletions."""
        former = self.list_former()
        return self.apply([KeyedEntry(self.end - 1, e.key, b"") for e in former], self.end)

    def has(self, key: str, value: bytes) -> bool:
        """Return whether the log has a value, as far as known, in its present era."""
        entry = self.entries.get(key)
        if entry is None or find_era(entry.offset) < find_era(self.end):
            return False
        return entry.value == value

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
