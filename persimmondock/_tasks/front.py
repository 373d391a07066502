"""Front: the HTTP interface for callers; answers each request with a verdict."""

from __future__ import annotations

import asyncio
import re
import time
import uuid
from typing import TYPE_CHECKING

import attrs
from aiohttp import web

from persimmondock._adapters.verdict_responses import render_verdict
from persimmondock._domain.configuration import Route, ServiceConfiguration, Urgency
from persimmondock._domain.fields import (
    DEADLINE_HEADER,
    FIRST_ATTEMPT_HEADER,
    KEY_HEADER,
    REQUEST_ID_HEADER,
    filter_request_fields,
)
from persimmondock._domain.messages import Call
from persimmondock._domain.owner_map import OwnerMap, build_owner_map
from persimmondock._domain.request_table import UNKNOWN_ISSUE_OFFSET
from persimmondock._domain.slices import find_slice
from persimmondock._domain.targets import Target, TargetError, parse_target
from persimmondock._domain.verdict import NotRun, Reason
from persimmondock._tasks.gate import NO_SLICE
from persimmondock._tasks.router import Router

if TYPE_CHECKING:
    from persimmondock._domain.membership import Membership
    from persimmondock._domain.view import View
    from persimmondock._tasks.exchange import Exchange
    from persimmondock._tasks.gate import Gate

REQUEST_ID_PATH = "/_persimmondock/request-id"
OWNERS_PATH = "/_persimmondock/owners"
ISSUED_ID_PATTERN = re.compile(r"o(\d{1,18})-[0-9a-f]{32}")
REQUEST_ID_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")
DEADLINE_PATTERN = re.compile(r"\d{1,15}")
MAX_BODY_BYTES = 4 * 1024 * 1024
SINGLETON_HEADERS = (KEY_HEADER, REQUEST_ID_HEADER, DEADLINE_HEADER, FIRST_ATTEMPT_HEADER)
UNFORWARDED_METHODS = frozenset({"CONNECT", "TRACE"})


@attrs.frozen
class _RefusalError(Exception):
    """A request that is refused before it is routed."""

    reason: Reason
    detail: str = ""


class Front:
    """Reads requests of callers and routes them to gates."""

    def __init__(self, membership: Membership, gate: Gate, exchange: Exchange) -> None:
        self._membership = membership
        self.router = Router(membership, gate, exchange)
        self._owner_maps_view: View | None = None
        self._owner_maps: dict[str, OwnerMap | None] = {}

    def build_application(self) -> web.Application:
        """Return the HTTP application for callers."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_get(REQUEST_ID_PATH, self._issue_request_id)
        application.router.add_get(OWNERS_PATH, self._show_owners)
        application.router.add_route("*", "/{path:.*}", self._serve)
        return application

    async def _issue_request_id(self, _: web.Request) -> web.Response:
        """Return a new identifier with the log offset before which it cannot have been used."""
        return web.Response(text=f"o{self._membership.view.offset}-{uuid.uuid4().hex}")

    async def _show_owners(self, request: web.Request) -> web.Response:
        """Return the owner of each slice, or 304 if the caller has the current map."""
        owners = self._find_owner_map(request.query.get("service", ""))
        if owners is None:
            return web.Response(status=404, text="no service with keys has this name\n")
        tag = owners.compute_etag()
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=304, headers={"ETag": tag})
        return web.json_response(owners.to_plain(), headers={"ETag": tag})

    def _find_owner_map(self, service: str) -> OwnerMap | None:
        """Return the owner map of a service; maps are cached until the view changes."""
        view = self._membership.view
        if self._owner_maps_view is not view:
            self._owner_maps_view = view
            self._owner_maps.clear()
        if service not in self._owner_maps and service in view.configurations:
            self._owner_maps[service] = build_owner_map(view, service)
        return self._owner_maps.get(service)

    async def _serve(self, request: web.Request) -> web.Response:
        try:
            call = await self._read_call(request)
        except _RefusalError as refused:
            return render_verdict(NotRun(refused.reason), refused.detail)
        return render_verdict(await self.router.route(call))

    async def _read_call(self, request: web.Request) -> Call:
        """Read a whole request; nothing is forwarded before the body is complete."""
        target = _read_target(request)
        service = self._find_service(target)
        deadline_ms = _read_deadline(request, service)
        body = await _read_body(request, deadline_ms)
        return self._build_call(request, target, service, body, deadline_ms)

    def _find_service(self, target: Target) -> ServiceConfiguration:
        """Return the service whose path is the longest matching prefix.

        Raises
        ------
        _RefusalError
            If no service matches.
        """
        services = self._membership.view.configurations.values()
        matching = [service for service in services if target.starts_with(service.path)]
        if not matching:
            raise _RefusalError(Reason.NO_SUCH_SERVICE)
        return max(matching, key=lambda service: len(service.path))

    def _build_call(
        self,
        request: web.Request,
        target: Target,
        service: ServiceConfiguration,
        body: bytes,
        deadline_ms: int,
    ) -> Call:
        route = service.find_route(target.build_path())
        request_id = "" if route.idempotent else _read_request_id(request)
        return Call(
            number=0,
            service=service.name,
            backend="",
            slice=_choose_slice(request, target, service, route, request_id),
            method=request.method,
            path=target.raw,
            headers=filter_request_fields(
                request.headers.items(), keep_request_id=route.idempotent
            ),
            body=body,
            request_id=request_id,
            issued_offset=self._find_issue_offset(request, request_id),
            idempotent=route.idempotent,
            may_wait=route.urgency is Urgency.MAY_WAIT,
            deadline_ms=deadline_ms,
        )

    def _find_issue_offset(self, request: web.Request, request_id: str) -> int:
        """Return the log offset before which the identifier cannot have been sent.

        For a declared first attempt, this is the current offset. An identifier issued by a front
        contains its offset; that of any other identifier is ``UNKNOWN_ISSUE_OFFSET``.
        """
        if request.headers.get(FIRST_ATTEMPT_HEADER, "").lower() == "true":
            return self._membership.view.offset
        issued = ISSUED_ID_PATTERN.fullmatch(request_id)
        return int(issued.group(1)) if issued else UNKNOWN_ISSUE_OFFSET


def _read_target(request: web.Request) -> Target:
    if request.method in UNFORWARDED_METHODS:
        raise _RefusalError(Reason.BAD_REQUEST, f"the method {request.method} is not forwarded")
    for name in SINGLETON_HEADERS:
        if len(request.headers.getall(name, ())) > 1:
            raise _RefusalError(Reason.BAD_REQUEST, f"{name} is given more than once")
    try:
        return parse_target(request.raw_path)
    except TargetError as error:
        raise _RefusalError(Reason.BAD_REQUEST, str(error)) from error


def _read_deadline(request: web.Request, service: ServiceConfiguration) -> int:
    """Return the deadline in Unix milliseconds: the earlier of the caller's and the service's."""
    latest = int(time.time() * 1000) + service.timeout_ms
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return latest
    if not DEADLINE_PATTERN.fullmatch(text):
        raise _RefusalError(Reason.BAD_REQUEST, f"{DEADLINE_HEADER} is not in Unix milliseconds")
    return min(latest, int(text))


async def _read_body(request: web.Request, deadline_ms: int) -> bytes:
    remaining = deadline_ms / 1000 - time.time()
    if remaining <= 0:
        raise _RefusalError(Reason.DEADLINE_PASSED)
    if not request.can_read_body:
        return b""
    try:
        async with asyncio.timeout(remaining):
            return await request.read()
    except TimeoutError:
        raise _RefusalError(Reason.DEADLINE_PASSED, "the body has not come in time") from None
    except web.HTTPRequestEntityTooLarge:
        detail = f"the body is larger than {MAX_BODY_BYTES} bytes"
        raise _RefusalError(Reason.BAD_REQUEST, detail) from None


def _read_request_id(request: web.Request) -> str:
    request_id = request.headers.get(REQUEST_ID_HEADER, "")
    if not request_id:
        raise _RefusalError(Reason.MISSING_REQUEST_ID)
    if not REQUEST_ID_PATTERN.fullmatch(request_id):
        raise _RefusalError(
            Reason.BAD_REQUEST, f"{REQUEST_ID_HEADER} is not 1 to 200 ASCII characters"
        )
    return request_id


def _choose_slice(
    request: web.Request,
    target: Target,
    service: ServiceConfiguration,
    route: Route,
    request_id: str,
) -> int:
    """Return the slice of a request.

    A keyed service hashes the key. Otherwise non-idempotent requests hash their identifier, so that
    all attempts reach the same gate, and idempotent requests have no slice.
    """
    if not service.keyed:
        return NO_SLICE if route.idempotent else find_slice(request_id, service.slices)
    key = request.headers.get(KEY_HEADER, "") or target.find_segment_after(service.path)
    if not key:
        raise _RefusalError(Reason.BAD_REQUEST, "the request names no key")
    try:
        return find_slice(key, service.slices)
    except UnicodeEncodeError:
        raise _RefusalError(Reason.BAD_REQUEST, "the key is not UTF-8") from None
