"""What the backend server beside this daemon says of itself."""

from __future__ import annotations

import json
from typing import Any

from persimmondock._domain.backend_report import BackendReport, ReportError

PATH_PREFIX = "/-/instances/"
STATES = {"ready": False, "draining": True}


def decode_report(path: str, body: bytes) -> BackendReport:
    """Read a heartbeat.

    Raises
    ------
    ReportError
        Naming the field that is missing or of another type.
    """
    try:
        data = json.loads(body)
    except ValueError as error:
        raise ReportError(f"not JSON: {error}") from error
    if not isinstance(data, dict):
        raise ReportError(f"expected a table, not {type(data).__name__}")
    state = _text(data, "state")
    if state not in STATES:
        raise ReportError(f"state must be one of {', '.join(STATES)}, not {state!r}")
    return BackendReport(
        instance=read_instance(path),
        service=_text(data, "service"),
        address=_text(data, "address"),
        failure_domain=_text(data, "zone"),
        slots=_whole(data, "capacity", least=1),
        draining=STATES[state],
        # Remaining time of the cold start, not its whole length.
        cold_s=_number(data, "cold_s"),
        sequence=_whole(data, "sequence"),
        born_ms=_whole(data, "born", default=0),
    )


def read_instance(path: str) -> str:
    """Return the instance that a path names."""
    name = path.partition("?")[0][len(PATH_PREFIX) :]
    if not name or "/" in name:
        raise ReportError(f"no instance in path {path!r}")
    return name


def _text(data: dict[str, Any], name: str) -> str:
    value = data.get(name)
    if not isinstance(value, str) or not value:
        raise ReportError(f"{name} must be a text, not {value!r}")
    return value


def _number(data: dict[str, Any], name: str) -> float:
    value = data.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
        raise ReportError(f"{name} must be a number of 0 or more, not {value!r}")
    return float(value)


def _whole(data: dict[str, Any], name: str, least: int = 0, default: int | None = None) -> int:
    value = data.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < least:
        raise ReportError(f"{name} must be a whole number of {least} or more, not {value!r}")
    return value
