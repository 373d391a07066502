"""The front: takes callers' HTTP requests, finds the gate, and answers with a verdict."""

from __future__ import annotations

import asyncio
import random
import re
import time
import uuid
from typing import TYPE_CHECKING

import attrs
from aiohttp import web

from persimmondock._adapters.backend_client import HOP_HEADERS
from persimmondock._domain.configuration import ServiceConfiguration, Urgency
from persimmondock._domain.messages import Call
from persimmondock._domain.placement import NO_OWNER
from persimmondock._domain.request_table import UNKNOWN_ISSUE
from persimmondock._domain.slices import find_slice
from persimmondock._domain.verdict import (
    Answered,
    Header,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
    name_verdict,
)
from persimmondock._domain.view import PlacedBackend, is_eligible
from persimmondock._tasks.gate import ANY_SLICE

if TYPE_CHECKING:
    from persimmondock._domain.membership import Membership
    from persimmondock._tasks.exchange import Exchange
    from persimmondock._tasks.gate import Gate

VERDICT_HEADER = "Persimmondock-Verdict"
REASON_HEADER = "Persimmondock-Reason"
KEY_HEADER = "Persimmondock-Key"
DEADLINE_HEADER = "Persimmondock-Deadline"
REQUEST_ID_HEADER = "Idempotency-Key"
FIRST_ATTEMPT_HEADER = "Persimmondock-First-Attempt"
REQUEST_ID_PATH = "/_persimmondock/request-id"
ISSUED_ID = re.compile(r"o(\d{1,18})-[0-9a-f]{32}")
MAX_BODY_BYTES = 4 * 1024 * 1024
RETRY_GAP_S = 0.05
NO_OWNER_RETRY_MS = 500
RETRIED_REASONS = frozenset(
    {
        Reason.NO_OWNER,
        Reason.NOT_OWNER,
        Reason.LEASE_LAPSED,
        Reason.PEER_UNREACHABLE,
        Reason.PEER_SILENT,
        Reason.BACKEND_REFUSED,
        Reason.DRAINING,
        Reason.BACKEND_UNREACHABLE,
        Reason.BACKEND_LOST,
    }
)


class Front:
    """Serves callers."""

    def __init__(self, membership: Membership, gate: Gate, exchange: Exchange) -> None:
        self._membership = membership
        self._gate = gate
        self._exchange = exchange

    def build_application(self) -> web.Application:
        """Return the HTTP application for callers."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_get(REQUEST_ID_PATH, self._issue_request_id)
        application.router.add_route("*", "/{path:.*}", self._serve)
        return application

    async def _issue_request_id(self, _: web.Request) -> web.Response:
        """Issue an identifier that proves what the request cannot have been sent before."""
        return web.Response(text=f"o{self._membership.view.offset}-{uuid.uuid4().hex}")

    async def _serve(self, request: web.Request) -> web.Response:
        service = self._find_service(request.path)
        if service is None:
            return _render(NotRun(Reason.NO_SUCH_SERVICE))
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            return _render(NotRun(Reason.BAD_REQUEST), "body too large")
        call = self._build_call(request, service, body)
        if isinstance(call, NotRun):
            return _render(call)
        return _render(await self._route(call))

    def _find_service(self, path: str) -> ServiceConfiguration | None:
        """Return the service with the longest prefix of the path."""
        found: ServiceConfiguration | None = None
        for service in self._membership.view.configurations.values():
            if path == service.path or path.startswith(service.path + "/"):
                if found is None or len(service.path) > len(found.path):
                    found = service
        return found

    def _build_call(
        self, request: web.Request, service: ServiceConfiguration, body: bytes
    ) -> Call | NotRun:
        route = service.find_route(request.path)
        key = request.headers.get(KEY_HEADER, "")
        if not key:
            key = request.path.removeprefix(service.path).strip("/").partition("/")[0]
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        if service.keyed and not key:
            return NotRun(Reason.BAD_REQUEST)
        if not route.idempotent and not request_id:
            return NotRun(Reason.MISSING_REQUEST_ID)
        deadline_ms = _read_deadline(request, service)
        if deadline_ms is None:
            return NotRun(Reason.BAD_REQUEST)
        return Call(
            number=0,
            service=service.name,
            backend="",
            slice=_choose_slice(service, key, request_id, route.idempotent),
            method=request.method,
            path=request.path_qs,
            headers=_copy_headers(request),
            body=body,
            request_id="" if route.idempotent else request_id,
            issued_at=self._find_issue(request, request_id),
            idempotent=route.idempotent,
            may_wait=route.urgency is Urgency.MAY_WAIT,
            deadline_ms=deadline_ms,
        )

    def _find_issue(self, request: web.Request, request_id: str) -> int:
        """Return the view offset before which the identifier cannot have been sent."""
        if request.headers.get(FIRST_ATTEMPT_HEADER, "").lower() == "true":
            return self._membership.view.offset
        issued = ISSUED_ID.fullmatch(request_id)
        return int(issued.group(1)) if issued else UNKNOWN_ISSUE

    async def _route(self, call: Call) -> Verdict:
        """Try the gates that the view names until the request ends or its deadline passes."""
        unknown: MayHaveRun | None = None
        while True:
            verdict = await self._try_once(call)
            late = time.time() + RETRY_GAP_S >= call.deadline_ms / 1000
            if late or not _may_retry(call, verdict):
                return unknown if unknown and isinstance(verdict, NotRun) else verdict
            if isinstance(verdict, MayHaveRun):
                unknown = verdict
            await asyncio.sleep(RETRY_GAP_S)

    async def _try_once(self, call: Call) -> Verdict:
        call = self._gate.pin_suspect(call)
        placed = self._choose_backend(call)
        if placed is None:
            return NotRun(Reason.NO_OWNER, NO_OWNER_RETRY_MS)
        call = attrs.evolve(call, backend=placed.backend.name)
        if placed.member == self._membership.ref:
            return await self._gate.submit(call)
        member = self._membership.view.find_member(placed.member)
        if member is None:
            return NotRun(Reason.NO_OWNER, NO_OWNER_RETRY_MS)
        return await self._exchange.call(member, call)

    def _choose_backend(self, call: Call) -> PlacedBackend | None:
        """Return the owner of the slice, or any eligible backend server."""
        view = self._membership.view
        state = view.services.get(call.service)
        if state is None:
            return None
        if call.slice != ANY_SLICE:
            owner = int(state.owners[call.slice])
            return state.backends.get(owner) if owner != NO_OWNER else None
        eligible = [placed for placed in state.backends.values() if is_eligible(view, placed)]
        return random.choice(eligible) if eligible else None


def _choose_slice(
    service: ServiceConfiguration, key: str, request_id: str, idempotent: bool
) -> int:
    if service.keyed:
        return find_slice(key, service.slices)
    return ANY_SLICE if idempotent else find_slice(request_id, service.slices)


def _read_deadline(request: web.Request, service: ServiceConfiguration) -> int | None:
    """Return the deadline in Unix milliseconds, or None when the caller's is not a number."""
    latest = int(time.time() * 1000) + service.timeout_ms
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return latest
    return min(latest, int(text)) if text.isascii() and text.isdigit() else None


def _copy_headers(request: web.Request) -> tuple[Header, ...]:
    return tuple(
        Header(name, value)
        for name, value in request.headers.items()
        if name.lower() not in HOP_HEADERS
    )


def _may_retry(call: Call, verdict: Verdict) -> bool:
    match verdict:
        case NotRun(reason=reason):
            return reason in RETRIED_REASONS
        case MayHaveRun(reason=reason):
            return call.idempotent and reason in RETRIED_REASONS
        case Answered():
            return False


STATUSES = {
    Reason.NO_SUCH_SERVICE: 404,
    Reason.BAD_REQUEST: 400,
    Reason.MISSING_REQUEST_ID: 400,
    Reason.REQUEST_ID_REUSED: 422,
}
NOT_RUN_STATUS = 503
MAY_HAVE_RUN_STATUS = 504


def _render(verdict: Verdict, detail: str = "") -> web.Response:
    """Write a verdict as an HTTP response."""
    headers = {VERDICT_HEADER: name_verdict(verdict)}
    match verdict:
        case Answered(answer=answer):
            copied = [(header.name, header.value) for header in answer.headers]
            response = web.Response(status=answer.status, body=answer.body)
            for name, value in copied:
                response.headers.add(name, value)
            response.headers.update(headers)
            return response
        case NotRun(reason=reason, retry_after_ms=retry_after_ms):
            headers[REASON_HEADER] = reason
            if retry_after_ms:
                headers["Retry-After"] = str(-(-retry_after_ms // 1000))
                headers["Persimmondock-Retry-After-Ms"] = str(retry_after_ms)
            status = STATUSES.get(reason, NOT_RUN_STATUS)
            return web.Response(status=status, headers=headers, text=f"{reason} {detail}\n")
        case MayHaveRun(reason=reason):
            headers[REASON_HEADER] = reason
            return web.Response(status=MAY_HAVE_RUN_STATUS, headers=headers, text=f"{reason}\n")
