"""HTTP header fields of this router, and filters for the fields that it forwards."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmondock._domain.verdict import Header

if TYPE_CHECKING:
    from collections.abc import Iterable

VERDICT_HEADER = "Persimmondock-Verdict"
REASON_HEADER = "Persimmondock-Reason"
RETRY_AFTER_MS_HEADER = "Persimmondock-Retry-After-Ms"
KEY_HEADER = "Persimmondock-Key"
DEADLINE_HEADER = "Persimmondock-Deadline"
FIRST_ATTEMPT_HEADER = "Persimmondock-First-Attempt"
REQUEST_ID_HEADER = "Idempotency-Key"
OWN_PREFIX = "persimmondock-"
CONTENT_LENGTH = "content-length"
CONNECTION = "connection"
# Also Content-Length, Expect and Host: not hop-by-hop, but the filters below drop them too.
HOP_BY_HOP_HEADERS = frozenset(
    {
        CONNECTION,
        CONTENT_LENGTH,
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def is_final_status(status: int) -> bool:
    """Return whether a status may be that of an answer: not of an interim one, and defined.

    Clients need not know each status, but they go by its class, and there are five (RFC 9110,
    section 15).
    """
    return 200 <= status <= 599


def filter_request_fields(
    fields: Iterable[tuple[str, str]], keep_request_id: bool
) -> tuple[Header, ...]:
    """Return the fields of a caller's request that are forwarded to the backend server.

    The router's own fields except the key are dropped, so that no caller can forge a fencing token.
    """
    passed = _drop_hop_by_hop_fields(fields)
    return tuple(
        field
        for field in passed
        if not _is_own(field.name)
        and (keep_request_id or field.name.lower() != REQUEST_ID_HEADER.lower())
    )


def filter_answer_fields(
    fields: Iterable[tuple[str, str]], keep_content_length: bool
) -> tuple[Header, ...]:
    """Return the fields of a backend server's answer that are forwarded to the caller.

    Parameters
    ----------
    keep_content_length
        Whether to forward ``Content-Length``: in an answer to HEAD it is the length of a body that
        is not sent.
    """
    listed = list(fields)
    passed = [field for field in _drop_hop_by_hop_fields(listed) if not _is_own(field.name)]
    if keep_content_length:
        passed += [Header(name, text) for name, text in listed if name.lower() == CONTENT_LENGTH]
    return tuple(passed)


def _drop_hop_by_hop_fields(fields: Iterable[tuple[str, str]]) -> list[Header]:
    """Drop the hop-by-hop fields, including those that ``Connection`` names."""
    listed = list(fields)
    named = {
        name.strip().lower()
        for field, text in listed
        if field.lower() == CONNECTION
        for name in text.split(",")
    }
    dropped = HOP_BY_HOP_HEADERS | named
    return [Header(name, text) for name, text in listed if name.lower() not in dropped]


def _is_own(name: str) -> bool:
    lowered = name.lower()
    return lowered.startswith(OWN_PREFIX) and lowered != KEY_HEADER.lower()
