"""Fields of messages that daemons of earlier versions do not know.

They travel by name in a map behind the other fields. Fields with their default value are left out,
and a receiver ignores names that it does not know.
"""

from __future__ import annotations

from typing import Any

import attrs


def pack_optional(item: Any, names: tuple[str, ...]) -> dict[str, Any]:
    """Return the named fields of an attrs instance that differ from their defaults."""
    fields = attrs.fields_dict(type(item))
    values = {name: getattr(item, name) for name in names}
    return {name: value for name, value in values.items() if value != fields[name].default}


def read_optional(data: Any, names: tuple[str, ...]) -> dict[str, Any]:
    """Return the named fields of a packed map; lists become tuples.

    Raises
    ------
    TypeError
        If the data are not a map.
    """
    if not isinstance(data, dict):
        raise TypeError(f"optional fields must be a map, not {data!r}")
    return {
        name: tuple(value) if isinstance(value, list) else value
        for name, value in data.items()
        if name in names
    }
