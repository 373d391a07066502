"""Decodes announcements, the heartbeats in which the local backend server sends its state."""

from __future__ import annotations

import json
import time
from typing import Any

from persimmondock._domain.assignment import KEY_COUNT
from persimmondock._domain.backend_report import AnnouncementError, BackendAnnouncement
from persimmondock._domain.foreign_data import (
    MAX_WHOLE_NUMBER,
    check_number,
    check_text,
    check_whole_number,
    load_json,
    show_value,
)
from persimmondock._domain.holdings import (
    GrantedHoldings,
    ReleasedRange,
    ReportedHoldings,
    ReportedRow,
)

INSTANCE_PATH_PREFIX = "/-/instances/"
DRAINING_BY_STATE = {"ready": False, "draining": True}
MAX_SLOTS = 1_000_000
MAX_COLD_S = 86_400.0
MAX_TEXT = 1_024
MAX_CLOCK_LEAD_MS = 86_400_000  # a clock that is set back between two starts


def decode_announcement(path: str, body: bytes) -> BackendAnnouncement:
    """Decode an announcement.

    Raises
    ------
    AnnouncementError
        If the body is not a JSON object, a field is missing or invalid, or the path names no
        instance; the message names the fault.
    """
    data = _load_object(body)
    state = _read_text(data, "state")
    if state not in DRAINING_BY_STATE:
        raise AnnouncementError(
            f"state must be one of {', '.join(DRAINING_BY_STATE)}, not {show_value(state)}"
        )
    return BackendAnnouncement(
        instance=parse_instance(path),
        service=_read_text(data, "service"),
        address=_read_text(data, "address"),
        failure_domain=_read_text(data, "zone"),
        slots=_read_whole_number(data, "capacity", minimum=1, maximum=MAX_SLOTS),
        draining=DRAINING_BY_STATE[state],
        # Remaining time of the cold start, not its whole length.
        cold_s=_read_number(data, "cold_s", MAX_COLD_S),
        sequence=_read_whole_number(data, "sequence"),
        born_ms=_read_start(data, default=0),
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
    """Return the start that a leave notice names in Unix milliseconds, or None if it names none.

    Raises
    ------
    AnnouncementError
        If there is a body that cannot be read; the message names the fault.
    """
    data = _load_object(body) if body else {}
    return _read_start(data) if "born" in data else None


def parse_instance(path: str) -> str:
    """Return the name of the instance in a request path.

    Raises
    ------
    AnnouncementError
        If the path names none.
    """
    name = path.partition("?")[0][len(INSTANCE_PATH_PREFIX) :]
    if not name or "/" in name or len(name) > MAX_TEXT:
        raise AnnouncementError(f"no instance in path {show_value(path)}")
    return name


def _load_object(body: bytes) -> dict[str, Any]:
    try:
        data = load_json(body)
    except ValueError as error:
        raise AnnouncementError(f"not JSON: {error}") from error
    if not isinstance(data, dict):
        raise AnnouncementError(f"expected an object, not {type(data).__name__}")
    return data


def _read_rows(data: dict[str, Any], field: str) -> list[tuple[int, int, Any]]:
    """Return rows of first key, last key and a third item."""
    rows = data.get(field, [])
    if not isinstance(rows, list):
        raise AnnouncementError(f"{field} must be a list of rows, not {show_value(rows)}")
    result = []
    for row in rows:
        if not isinstance(row, list) or len(row) != 3:
            raise AnnouncementError(f"{field} must have rows of three items, not {show_value(row)}")
        first, last = (_read_item(key, field, int) for key in row[:2])
        if not 0 <= first <= last < KEY_COUNT:
            raise AnnouncementError(
                f"{field} must have keys from 0 to {KEY_COUNT - 1}, not {show_value(row)}"
            )
        result.append((first, last, row[2]))
    return result


def _read_item(value: Any, field: str, expected: type[int | str]) -> Any:
    if isinstance(value, bool) or not isinstance(value, expected):
        raise AnnouncementError(
            f"{field} must have items of {expected.__name__}, not {show_value(value)}"
        )
    is_large = (
        len(value) > MAX_TEXT if isinstance(value, str) else not 0 <= value <= MAX_WHOLE_NUMBER
    )
    if is_large:
        raise AnnouncementError(f"{field} must have smaller items than {show_value(value)}")
    return value


def _read_text(data: dict[str, Any], field: str) -> str:
    value = data.get(field)
    try:
        return check_text(value, MAX_TEXT)
    except ValueError as error:
        raise AnnouncementError(f"{field}: {error}") from error


def _read_number(data: dict[str, Any], field: str, maximum: float) -> float:
    try:
        return check_number(data.get(field, 0), 0, maximum)
    except ValueError as error:
        raise AnnouncementError(f"{field}: {error}") from error


def _read_whole_number(
    data: dict[str, Any],
    field: str,
    minimum: int = 0,
    default: int | None = None,
    maximum: int = MAX_WHOLE_NUMBER,
) -> int:
    try:
        return check_whole_number(data.get(field, default), minimum, maximum)
    except ValueError as error:
        raise AnnouncementError(f"{field}: {error}") from error


def _read_start(data: dict[str, Any], default: int | None = None) -> int:
    """Return the start of the process; one in the future would count as the newest for ever."""
    latest_ms = int(1000 * time.time()) + MAX_CLOCK_LEAD_MS
    return _read_whole_number(data, "born", default=default, maximum=latest_ms)
