"""The listener for operators and for the backend server beside this daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import numpy as np
from aiohttp import web
from cattrs import Converter
from cattrs.errors import BaseValidationError
from cattrs.v import transform_error

from persimmondock._domain.records import Backend
from persimmondock._tasks.control import BackendSeen

if TYPE_CHECKING:
    from reactivex.subject import Subject

    from persimmondock._domain.membership import Membership
    from persimmondock._tasks.control import Event
    from persimmondock._tasks.gate import Gate

MAX_BODY_BYTES = 64 * 1024
_converter = Converter()


class Operator:
    """Serves operators and takes announcements."""

    def __init__(self, membership: Membership, gate: Gate, inbox: Subject[Event]) -> None:
        self._membership = membership
        self._gate = gate
        self._inbox = inbox

    def build_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_post("/v1/backends", self._announce)
        application.router.add_get("/v1/dump", self._dump)
        return application

    async def _announce(self, request: web.Request) -> web.Response:
        try:
            backend = _converter.structure(await request.json(), Backend)
        except BaseValidationError as error:
            return web.Response(status=400, text="; ".join(transform_error(error)) + "\n")
        except ValueError as error:
            return web.Response(status=400, text=f"{error}\n")
        if self._membership.leaving:
            return web.Response(status=503, text="this daemon is leaving\n")
        self._inbox.on_next(BackendSeen(backend))
        return web.Response(text="ok\n")

    async def _dump(self, _: web.Request) -> web.Response:
        return web.json_response(dump_state(self._membership, self._gate))


def dump_state(membership: Membership, gate: Gate) -> dict[str, Any]:
    """Return a daemon's whole state as plain data."""
    view = membership.view
    return {
        "daemon": membership.identity.daemon,
        "failure_domain": membership.identity.failure_domain,
        "incarnation": None if membership.ref is None else membership.ref.incarnation,
        "leaving": membership.leaving,
        "lease_deadline": membership.lease.compute_deadline() if membership.lease else None,
        "view_offset": view.offset,
        "members": {name: attrs.asdict(member) for name, member in view.members.items()},
        "fleet": attrs.asdict(view.fleet),
        "subjects": {name: version.offset for name, version in view.subjects.items()},
        "services": {
            name: {
                "backends": {
                    placed.backend.name: {
                        "member": placed.member.daemon,
                        "slices": int((state.owners == code).sum()),
                        "owned": np.flatnonzero(state.owners == code).tolist(),
                    }
                    for code, placed in state.backends.items()
                },
                "handovers": len(state.handovers),
            }
            for name, state in view.services.items()
        },
        "unreleased": len(membership.unreleased),
        "request_table": len(gate.table),
    }
