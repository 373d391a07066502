"""HTTP interface for operators and for announcements of the local backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from aiohttp import web
from cattrs import Converter
from cattrs.errors import BaseValidationError
from cattrs.v import transform_error

from persimmondock._domain.explaining import UnknownServiceError, explain_key
from persimmondock._domain.records import Backend
from persimmondock._tasks.control import AnnouncementReceived
from persimmondock._tasks.dumping import build_status, dump_state

if TYPE_CHECKING:
    from reactivex.subject import Subject

    from persimmondock._domain.membership import Membership
    from persimmondock._tasks.control import Event
    from persimmondock._tasks.gate import Gate

MAX_BODY_BYTES = 64 * 1024
MAX_INSTANCE_CHARACTERS = 255
_converter = Converter()


class OperatorApi:
    """Serves status requests of operators and receives announcements."""

    def __init__(self, membership: Membership, gate: Gate, inbox: Subject[Event]) -> None:
        self._membership = membership
        self._gate = gate
        self._inbox = inbox

    def build_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_post("/v1/backends", self._announce)
        application.router.add_get("/v1/dump", self._dump)
        application.router.add_get("/v1/status", self._status)
        application.router.add_get("/v1/explain", self._explain)
        return application

    async def _announce(self, request: web.Request) -> web.Response:
        try:
            body = await request.json()
            backend = _converter.structure(body, Backend)
        except BaseValidationError as error:
            return web.Response(status=400, text=describe_error(error) + "\n")
        except ValueError as error:
            return web.Response(status=400, text=f"{error}\n")
        if self._membership.leaving:
            return web.Response(status=503, text="this daemon is leaving\n")
        instance = str(body.get("instance", ""))[:MAX_INSTANCE_CHARACTERS]
        self._inbox.on_next(AnnouncementReceived(backend, instance))
        return web.Response(text="ok\n")

    async def _dump(self, _: web.Request) -> web.Response:
        return web.json_response(dump_state(self._membership, self._gate))

    async def _status(self, _: web.Request) -> web.Response:
        return web.json_response(attrs.asdict(build_status(self._membership, self._gate)))

    async def _explain(self, request: web.Request) -> web.Response:
        service, key = request.query.get("service", ""), request.query.get("key", "")
        if not service or not key:
            return web.Response(status=400, text="the query needs service and key\n")
        try:
            explanation = explain_key(self._membership.view, service, key)
        except UnknownServiceError as error:
            return web.Response(status=404, text=f"{error}\n")
        return web.json_response(attrs.asdict(explanation))


def describe_error(error: BaseValidationError) -> str:
    """Return all invalid values of an announcement in one line."""
    lines = transform_error(error, format_exception=lambda cause, _: str(cause))
    return "; ".join(" ".join(line.split()) for line in lines)
