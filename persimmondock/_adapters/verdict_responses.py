"""Conversion of verdicts to HTTP responses."""

from __future__ import annotations

from aiohttp import web
from multidict import CIMultiDict

from persimmondock._domain.fields import REASON_HEADER, RETRY_AFTER_MS_HEADER, VERDICT_HEADER
from persimmondock._domain.verdict import (
    Answer,
    Answered,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
    name_verdict,
)

NOT_RUN_STATUS = 503
MAY_HAVE_RUN_STATUS = 504
REASON_STATUSES = {
    Reason.NO_SUCH_SERVICE: 404,
    Reason.BAD_REQUEST: 400,
    Reason.MISSING_REQUEST_ID: 400,
    Reason.REQUEST_ID_REUSED: 422,
}


def render_verdict(verdict: Verdict, detail: str = "") -> web.Response:
    """Return the HTTP response for a verdict."""
    match verdict:
        case Answered(answer=answer):
            return _render_answer(answer)
        case NotRun(reason=reason, retry_after_ms=retry_after_ms):
            response = _render_failure(
                REASON_STATUSES.get(reason, NOT_RUN_STATUS), verdict, reason, detail
            )
            if retry_after_ms:
                response.headers["Retry-After"] = str(-(-retry_after_ms // 1000))
                response.headers[RETRY_AFTER_MS_HEADER] = str(retry_after_ms)
            return response
        case MayHaveRun(reason=reason):
            return _render_failure(MAY_HAVE_RUN_STATUS, verdict, reason, detail)


def _render_answer(answer: Answer) -> web.Response:
    fields = CIMultiDict((header.name, header.value) for header in answer.headers)
    fields[VERDICT_HEADER] = name_verdict(Answered(answer))
    return web.Response(status=answer.status, headers=fields, body=answer.body)


def _render_failure(status: int, verdict: Verdict, reason: Reason, detail: str) -> web.Response:
    headers = {VERDICT_HEADER: name_verdict(verdict), REASON_HEADER: reason.value}
    text = f"{reason.value}: {detail}\n" if detail else f"{reason.value}\n"
    return web.Response(status=status, headers=headers, text=text)
