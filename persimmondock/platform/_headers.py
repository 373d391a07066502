"""Header fields between clients, daemons and backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from persimmondock._domain.fields import HOP_BY_HOP_HEADERS
from persimmondock._domain.forwarding import NO_KEY, ForwardedRequest
from persimmondock._domain.verdict import Answered, MayHaveRun, NotRun, Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from persimmondock._adapters.http_exchange import HttpAnswer

ATTEMPT = "X-Attempt-Id"
TIMEOUT_MS = "X-Timeout-Ms"
KEY = "X-Shard-Key"
CALLER_SERVICE = "X-Caller-Service"
EXPECTED_INSTANCE = "X-Expected-Instance"
NOT_EXECUTED = "x-not-executed"
LOAD = "x-server-load"
SIGNATURE = "x-server-signature"
HANDOVER = "x-handover"
INSTANCE = "x-instance-id"
MAX_KEY = 65_535

HOP_BY_HOP_FIELDS = HOP_BY_HOP_HEADERS - {
    "host"
}  # the route's host passes: it is part of the request
OVERWRITTEN_FIELDS = frozenset(
    {TIMEOUT_MS.lower(), CALLER_SERVICE.lower(), EXPECTED_INSTANCE.lower()}
)


@attrs.frozen
class CallerFields:
    """What a client says in the header of a request.

    Parameters
    ----------
    timeout_s
        Seconds that the client will wait, or None if it does not say.
    """

    attempt: str
    key: int
    timeout_s: float | None
    forwarded: tuple[tuple[str, str], ...]


def read_caller_fields(fields: Iterable[tuple[str, str]]) -> CallerFields:
    """Read a request's header; malformed numbers count as absent."""
    pairs = list(fields)
    by_name = {name.lower(): value for name, value in pairs}
    dropped = HOP_BY_HOP_FIELDS | OVERWRITTEN_FIELDS
    if "connection" in by_name:
        dropped |= {part.strip().lower() for part in by_name["connection"].split(",")}
    timeout = by_name.get(TIMEOUT_MS.lower(), "")
    key = by_name.get(KEY.lower(), "")
    return CallerFields(
        attempt=by_name.get(ATTEMPT.lower(), ""),
        key=int(key) if key.isdecimal() and int(key) <= MAX_KEY else NO_KEY,
        timeout_s=int(timeout) / 1000 if timeout.isdecimal() else None,
        forwarded=tuple((name, value) for name, value in pairs if name.lower() not in dropped),
    )


def build_backend_fields(
    request: ForwardedRequest, instance: str, remaining_s: float
) -> list[tuple[str, str]]:
    """Return the header of a request for a backend server."""
    return [
        *request.headers,
        (TIMEOUT_MS, str(max(1, int(remaining_s * 1000)))),
        (EXPECTED_INSTANCE, instance),
        (CALLER_SERVICE, request.caller_service),
    ]


def select_answer_fields(answer: HttpAnswer) -> tuple[tuple[str, str], ...]:
    """Return the fields of an answer that the client gets."""
    return tuple(item for item in answer.headers if item[0].lower() not in HOP_BY_HOP_FIELDS)


def may_answer(answer: HttpAnswer, attempt: str) -> bool:
    """Return whether an answer may be that to an attempt; refusals bear no identifier."""
    return answer.find_header(ATTEMPT.lower()) in (None, attempt)


def choose_status(verdict: Verdict, deadline_passed: bool) -> int:
    """Return the status for a request that ended without a backend server's answer.

    Only 503 promises that the request has not run and never will.
    """
    match verdict:
        case NotRun():
            return 503
        case MayHaveRun():
            return 504 if deadline_passed else 502
        case Answered(answer=answer):
            return answer.status
