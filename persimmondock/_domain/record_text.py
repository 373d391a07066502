"""Log records as single lines of human-readable text."""

from __future__ import annotations

from typing import Any

import attrs

from persimmondock._domain.records import Backend, MemberRef, Record, SubjectChange

HIDDEN_FIELDS = frozenset({"record_id"})


def describe_record(record: Record) -> str:
    """Return the kind of a record and its fields as ``key=value``."""
    fields = attrs.asdict(record, recurse=False).items()
    parts = [
        f"{name}={_format_value(value)}" for name, value in fields if name not in HIDDEN_FIELDS
    ]
    return " ".join([type(record).__name__, *parts])


def _format_value(value: Any) -> str:
    match value:
        case MemberRef(daemon=daemon, incarnation=incarnation):
            return f"{daemon}@{incarnation}"
        case Backend(name=name, service=service, address=address, slots=slots):
            return f"{name}({service},{address},slots={slots})"
        case SubjectChange(subject=subject, base=base, body=body):
            return f"{subject}{' removed' if body is None else ''}(base={base})"
        case bytes():
            return f"<{len(value)} bytes>"
        case None:
            return "-"
        case tuple() | list():
            return "[" + ",".join(_format_value(item) for item in value) + "]"
        case str():
            return value if value and value.isprintable() and " " not in value else repr(value)
        case _:
            return str(value)
