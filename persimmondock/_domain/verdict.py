"""Outcomes of a request.

Every request ends with one of three verdicts. ``NotRun`` guarantees that no backend server has
started the request or ever will; code that cannot prove this must use ``MayHaveRun``.
"""

from __future__ import annotations

import enum
from typing import TypeAlias

import attrs

# Codecs resolve the types of fields at run time.
from persimmondock._ports.answer_body import AnswerBody


class Reason(enum.StrEnum):
    """Why a request was refused, or why its outcome is unknown."""

    NO_SUCH_SERVICE = "no_such_service"
    NO_OWNER = "no_owner"
    NOT_OWNER = "not_owner"
    LEASE_LAPSED = "lease_lapsed"
    HANDOVER_PENDING = "handover_pending"
    DEADLINE_PASSED = "deadline_passed"
    OVERLOADED = "overloaded"
    DRAINING = "draining"
    STOPPING = "stopping"
    SUSPECTED_POISON = "suspected_poison"
    BAD_REQUEST = "bad_request"
    MISSING_REQUEST_ID = "missing_request_id"
    REQUEST_ID_REUSED = "request_id_reused"
    SENT_TO_LOST_OWNER = "sent_to_lost_owner"
    ANSWER_NOT_KEPT = "answer_not_kept"
    BACKEND_REFUSED = "backend_refused"
    BACKEND_UNREACHABLE = "backend_unreachable"
    BACKEND_DOWN = "backend_down"
    BACKEND_COLD = "backend_cold"
    BACKEND_LIMITED = "backend_limited"
    RETRY_BUDGET = "retry_budget"
    FAILURE_DOMAIN_OUT = "failure_domain_out"
    NO_CONFIGURATION = "no_configuration"
    TENANT_LIMIT = "tenant_limit"
    TENANT_LIMIT_UNKNOWN = "tenant_limit_unknown"
    BACKEND_LOST = "backend_lost"
    ANSWER_TRUNCATED = "answer_truncated"
    ANSWER_INVALID = "answer_invalid"
    ANSWER_TOO_LARGE = "answer_too_large"
    ANSWER_MISLEADING = "answer_misleading"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_SILENT = "peer_silent"
    CANCELLED = "cancelled"
    INTERNAL_ERROR = "internal_error"


@attrs.frozen
class Header:
    """One HTTP header field."""

    name: str
    value: str


@attrs.frozen
class Answer:
    """The answer of a backend server.

    Parameters
    ----------
    body
        The whole body; empty if it is read from ``stream``.
    stream
        The body, if it is large. Whoever holds the answer closes it.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    stream: AnswerBody | None = None


@attrs.frozen
class Answered:
    """The request ran; holds its answer."""

    answer: Answer


@attrs.frozen
class NotRun:
    """The request has not run and will not run.

    Parameters
    ----------
    reason
        Why it was refused.
    retry_after_ms
        Milliseconds after which the caller may retry; 0 if a retry cannot succeed.
    arrived
        Whether a backend server received the request and refused it, and not a daemon before it.
    """

    reason: Reason
    retry_after_ms: int = 0
    arrived: bool = False


@attrs.frozen
class MayHaveRun:
    """It is unknown whether the request ran."""

    reason: Reason


Verdict: TypeAlias = Answered | NotRun | MayHaveRun


def name_verdict(verdict: Verdict) -> str:
    """Return the name of a verdict in headers, logs and metrics."""
    match verdict:
        case Answered():
            return "answered"
        case NotRun():
            return "not_run"
        case MayHaveRun():
            return "may_have_run"
