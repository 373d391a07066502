"""Decodes announcements, the heartbeats in which the local backend server sends its state."""

from __future__ import annotations

import json
from typing import Any

from persimmondock._domain.assignment import KEY_COUNT
from persimmondock._domain.backend_report import AnnouncementError, BackendAnnouncement
from persimmondock._domain.holdings import (
    GrantedHoldings,
    ReleasedRange,
    ReportedHoldings,
    ReportedRow,
)

INSTANCE_PATH_PREFIX = "/-/instances/"
DRAINING_BY_STATE = {"ready": False, "draining": True}


def decode_announcement(path: str, body: bytes) -> BackendAnnouncement:
    """Decode an announcement.

    Raises
    ------
    AnnouncementError
        If the body is not a JSON object, a field is missing or invalid, or the path names no
        instance; the message names the fault.
    """
    try:
        data = json.loads(body)
    except ValueError as error:
        raise AnnouncementError(f"not JSON: {error}") from error
    if not isinstance(data, dict):
        raise AnnouncementError(f"expected an object, not {type(data).__name__}")
    state = _read_text(data, "state")
    if state not in DRAINING_BY_STATE:
        raise AnnouncementError(
            f"state must be one of {', '.join(DRAINING_BY_STATE)}, not {state!r}"
        )
    return BackendAnnouncement(
        instance=parse_instance(path),
        service=_read_text(data, "service"),
        address=_read_text(data, "address"),
        failure_domain=_read_text(data, "zone"),
        slots=_read_whole_number(data, "capacity", minimum=1),
        draining=DRAINING_BY_STATE[state],
        # Remaining time of the cold start, not its whole length.
        cold_s=_read_number(data, "cold_s"),
        sequence=_read_whole_number(data, "sequence"),
        born_ms=_read_whole_number(data, "born", default=0),
        holdings=ReportedHoldings(
            tuple(
                ReportedRow(first, last, _read_item(fence, "holds", int))
                for first, last, fence in _read_rows(data, "holds")
            ),
            tuple(
                ReleasedRange(first, last, _read_item(handover, "freed", str))
                for first, last, handover in _read_rows(data, "freed")
            ),
        ),
    )


def encode_reply(granted: GrantedHoldings | None) -> bytes:
    """Return the body of the reply to an announcement."""
    if granted is None:
        return b"{}"
    rows = [[row.first, row.last, row.fence, row.handover] for row in granted.rows]
    reply = {"holds": rows, "hold_s": round(granted.hold_s, 3)}
    return json.dumps(reply, separators=(",", ":")).encode()


def find_start(body: bytes) -> int | None:
    """Return the start that a leave notice names in Unix milliseconds, or None if it names none."""
    try:
        data = json.loads(body)
        return _read_whole_number(data, "born") if isinstance(data, dict) else None
    except (ValueError, AnnouncementError):
        return None


def parse_instance(path: str) -> str:
    """Return the name of the instance in a request path.

    Raises
    ------
    AnnouncementError
        If the path names none.
    """
    name = path.partition("?")[0][len(INSTANCE_PATH_PREFIX) :]
    if not name or "/" in name:
        raise AnnouncementError(f"no instance in path {path!r}")
    return name


def _read_rows(data: dict[str, Any], field: str) -> list[tuple[int, int, Any]]:
    """Return rows of first key, last key and a third item."""
    rows = data.get(field, [])
    if not isinstance(rows, list):
        raise AnnouncementError(f"{field} must be a list of rows, not {rows!r}")
    result = []
    for row in rows:
        if not isinstance(row, list) or len(row) != 3:
            raise AnnouncementError(f"{field} must have rows of three items, not {row!r}")
        first, last = (_read_item(key, field, int) for key in row[:2])
        if not 0 <= first <= last < KEY_COUNT:
            raise AnnouncementError(
                f"{field} must have keys from 0 to {KEY_COUNT - 1}, not {row!r}"
            )
        result.append((first, last, row[2]))
    return result


def _read_item(value: Any, field: str, expected: type) -> Any:
    if isinstance(value, bool) or not isinstance(value, expected):
        raise AnnouncementError(f"{field} must have items of {expected.__name__}, not {value!r}")
    return value


def _read_text(data: dict[str, Any], field: str) -> str:
    value = data.get(field)
    if not isinstance(value, str) or not value:
        raise AnnouncementError(f"{field} must be non-empty text, not {value!r}")
    return value


def _read_number(data: dict[str, Any], field: str) -> float:
    value = data.get(field, 0)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
        raise AnnouncementError(f"{field} must be a number of 0 or more, not {value!r}")
    return float(value)


def _read_whole_number(
    data: dict[str, Any], field: str, minimum: int = 0, default: int | None = None
) -> int:
    value = data.get(field, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < minimum:
        raise AnnouncementError(
            f"{field} must be a whole number of {minimum} or more, not {value!r}"
        )
    return value
