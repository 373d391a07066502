"""HTTP header fields between callers, daemons and backend servers."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from persimmondock._domain.backend_notice import BackendNotice
from persimmondock._domain.fields import HOP_BY_HOP_HEADERS
from persimmondock._domain.forwarding import NO_KEY, ForwardedRequest
from persimmondock._domain.verdict import Answer, Answered, MayHaveRun, NotRun, Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from persimmondock._adapters.http_exchange import HttpResponse

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
LIMIT = "server-limit"
LEAVING = "server-leaving"
TENANT = "X-Tenant-Id"
MAX_KEY = 65_535
MAX_LOGGED = 40  # characters of a value that is refused
MAX_DIGITS = 15  # of a number in a header; more are no time in milliseconds
# By these the caller learns that its request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
DECIMAL_NUMBER = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")

# Host is forwarded: it is part of the request.
HOP_BY_HOP_FIELDS = HOP_BY_HOP_HEADERS - {"host"}
OVERWRITTEN_FIELDS = frozenset(
    {TIMEOUT_MS.lower(), CALLER_SERVICE.lower(), EXPECTED_INSTANCE.lower()}
)
# Where tenants exist, keys do not leave the daemon, and only daemons name the tenant.
TENANT_FIELDS = frozenset({TENANT.lower(), "authorization"})


@attrs.frozen
class CallerFields:
    """Header fields of a caller's request.

    Parameters
    ----------
    attempt
        Identifier of the caller's attempt; empty if there is none.
    key
        Number of the key, or ``NO_KEY``.
    timeout_s
        Seconds that the caller will wait, or None if it does not say.
    forwarded
        Names and values of the fields that the backend server gets.
    """

    attempt: str
    key: int
    timeout_s: float | None
    forwarded: tuple[tuple[str, str], ...]


def read_caller_fields(
    fields: Iterable[tuple[str, str]], tenant: str | None = None
) -> CallerFields:
    """Read the header fields of a request; malformed numbers count as absent.

    Parameters
    ----------
    tenant
        Name that takes the place of the fields with the key and with a tenant's name; empty to drop
        both, or None to forward them.
    """
    pairs = list(fields)
    by_name = {name.lower(): value for name, value in pairs}
    dropped = HOP_BY_HOP_FIELDS | OVERWRITTEN_FIELDS
    if tenant is not None:
        dropped |= TENANT_FIELDS
    if "connection" in by_name:
        dropped |= {part.strip().lower() for part in by_name["connection"].split(",")}
    timeout = by_name.get(TIMEOUT_MS.lower(), "")
    key = by_name.get(KEY.lower(), "")
    return CallerFields(
        attempt=by_name.get(ATTEMPT.lower(), ""),
        key=int(key) if _is_short_number(key) and int(key) <= MAX_KEY else NO_KEY,
        timeout_s=int(timeout) / 1000 if _is_short_number(timeout) else None,
        forwarded=(
            *((name, value) for name, value in pairs if name.lower() not in dropped),
            # Gates of any version pass the field on, also before they have told their version.
            *([(TENANT, tenant)] if tenant else []),
        ),
    )


def _is_short_number(text: str) -> bool:
    return text.isdecimal() and len(text) <= MAX_DIGITS


def build_backend_fields(
    request: ForwardedRequest, instance: str, remaining_s: float
) -> list[tuple[str, str]]:
    """Return the header fields of a request to a backend server.

    Parameters
    ----------
    remaining_s
        Seconds until the deadline of the request.
    """
    return [
        *request.headers,
        (TIMEOUT_MS, str(max(1, int(remaining_s * 1000)))),
        (EXPECTED_INSTANCE, instance),
        (CALLER_SERVICE, request.caller_service),
    ]


def select_response_fields(response: HttpResponse) -> tuple[tuple[str, str], ...]:
    """Return the fields of a response that the caller gets: all but hop-by-hop ones."""
    return tuple(item for item in response.headers if item[0].lower() not in HOP_BY_HOP_FIELDS)


def read_notice(fields: Iterable[tuple[str, str]]) -> BackendNotice | None:
    """Return what an answer says about its backend server, or None if that cannot be read.

    Of several limits in one answer the lowest counts. Values that are not decimal numbers are
    logged; an answer with no other limit then says nothing, so that a limit in force stays so.
    """
    limits: list[float] = []
    leaving = signed = unreadable = False
    for name, value in fields:
        lower, text = name.lower(), value.strip()
        if lower == LIMIT:
            limit = float(text) if DECIMAL_NUMBER.fullmatch(text) else math.inf
            if math.isfinite(limit):
                limits.append(limit)
                continue
        elif lower == LEAVING:
            leaving = leaving or text == "1"
            if text in ("0", "1"):
                continue
        else:
            signed = signed or lower == SIGNATURE
            continue
        unreadable = True
        logger.warning("event=notice_refused field={} value={!r}", lower, value[:MAX_LOGGED])
    if unreadable and not limits and not leaving:
        return None
    return BackendNotice(min(limits, default=None), leaving, conclusive=signed)


def read_answer_notice(answer: Answer) -> BackendNotice | None:
    """Return what an answer that is passed on says about its backend server; see `read_notice`."""
    return read_notice((header.name, header.value) for header in answer.headers)


def may_belong_to(response: HttpResponse, attempt: str) -> bool:
    """Return whether a response may belong to an attempt; refusals may lack the identifier."""
    return response.find_header(ATTEMPT.lower()) in (None, attempt)


def withhold_misleading_answer(verdict: Verdict, idempotent: bool) -> Verdict:
    """Return the verdict on a request that its caller may be told.

    An answer whose status says "not run" comes from a backend server that ran the request. A caller
    would send the request again, which is only safe if the request is idempotent.
    """
    match verdict:
        case Answered(answer=answer) if answer.status in NOT_RUN_STATUSES and not idempotent:
            return MayHaveRun(Reason.ANSWER_MISLEADING)
    return verdict


def choose_status(verdict: Verdict, deadline_passed: bool) -> int:
    """Return the HTTP status for a verdict that the caller may be told.

    The statuses are, for the result of `withhold_misleading_answer`:

    =============  =================================================================
    not run        503, or 429 beyond a tenant's limit; it never runs
    may have run   502, or 504 once the deadline has passed
    answered       the backend server's; none of `NOT_RUN_STATUSES` unless idempotent
    =============  =================================================================
    """
    match verdict:
        case NotRun(reason=Reason.TENANT_LIMIT):
            return 429
        case NotRun():
            return 503
        case MayHaveRun():
            return 504 if deadline_passed else 502
        case Answered(answer=answer):
            return answer.status
