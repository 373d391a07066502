"""HTTP listeners for clients, for readiness checks and for the backend server's reports."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web
from loguru import logger
from multidict import CIMultiDict

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.prometheus import CONTENT_TYPE, PrometheusMetrics
from persimmondock._adapters.sockets import set_socket_options
from persimmondock._domain.backend_report import ReportError
from persimmondock._domain.forwarding import ForwardedRequest
from persimmondock._domain.verdict import Answer, Answered, NotRun, Reason, Verdict
from persimmondock.platform import _discovery, _headers

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from persimmondock._domain.routing_table import RoutePolicy, RoutingTable
    from persimmondock._tasks.sidecar import Sidecar
    from persimmondock.platform._settings import MetricsPlace

READY_PATH = "/-/readiness"
IDLE_S = 15.0  # clients reuse connections for four fifths of the configured idle time
BACKLOG = 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
NO_CONFIGURATION_RETRY_S = 0.5
DEFAULT_TIMEOUT_S = 30.0
CLOSE_WITHIN_S = 0.1
SETTLE_S = 0.05  # asyncio sets accepted connections up within a few turns of its loop
LATE_MARGIN_S = 0.02


class Ingress:
    """All HTTP listeners of one daemon."""

    def __init__(
        self,
        sidecar: Sidecar,
        metrics_place: MetricsPlace | None = None,
        metrics: PrometheusMetrics | None = None,
    ) -> None:
        self._sidecar = sidecar
        self._metrics_place = metrics_place
        self._metrics = metrics
        self._servers: list[asyncio.Server] = []
        self._handlers: list[web.Server] = []
        self._closed = False

    async def start(self) -> None:
        """Listen on all addresses.

        Raises
        ------
        OSError
            If one cannot be listened on.
        """
        settings = self._sidecar.settings
        await self._listen(settings.announce_address, self._take_report)
        await self._listen(settings.ready_address, self._tell_readiness)
        await self._listen(settings.caller_address, self._serve)
        await self._listen_for_collectors()

    async def _listen_for_collectors(self) -> None:
        """Serve metrics; a daemon without them is better than none."""
        if self._metrics_place is None:
            return
        host = self._sidecar.settings.caller_address.rpartition(":")[0]
        address = f"{host}:{self._metrics_place.port}"
        try:
            await self._listen(address, self._tell_metrics)
        except OSError as error:
            logger.error("event=metrics_unavailable address={} error={!r}", address, error)

    async def close(self, within_s: float = CLOSE_WITHIN_S) -> None:
        """Stop listening; connections are closed once the requests on them are answered."""
        if self._closed:
            return
        self._closed = True
        # Accept no more, and let accepted connections be set up: those that are not when the
        # listener ends stay open and are never read.
        loop = asyncio.get_running_loop()
        for server in self._servers:
            for sock in server.sockets:
                loop.remove_reader(sock.fileno())
        await asyncio.sleep(SETTLE_S)
        for server in self._servers:
            server.close()
        for handler in self._handlers:
            handler.pre_shutdown()
        # aiohttp takes a timeout of 0 for none.
        timeout_s = max(CLOSE_WITHIN_S, within_s)
        await asyncio.gather(*(handler.shutdown(timeout_s) for handler in self._handlers))

    async def _listen(
        self, address: str, handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
    ) -> None:
        host, _, port = address.rpartition(":")
        server = web.Server(
            handler,
            request_factory=_make_request,
            handler_cancellation=True,
            keepalive_timeout=IDLE_S,
            access_log=None,
            auto_decompress=False,
            tcp_keepalive=False,
        )
        loop = asyncio.get_running_loop()

        def accept() -> asyncio.BaseProtocol:
            return server()

        listening = await loop.create_server(
            accept, host, int(port), backlog=BACKLOG, reuse_address=True
        )
        for sock in listening.sockets:
            set_socket_options(sock)
        self._servers.append(listening)
        self._handlers.append(server)

    # Readiness and reports.

    async def _tell_readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        ready = request.path == READY_PATH and self._sidecar.is_ready
        return web.Response(status=200 if ready else 503)

    async def _tell_metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        place = self._metrics_place
        if self._metrics is None or place is None or request.path != place.path:
            return web.Response(status=404)
        self._sidecar.update_gauges()
        return web.Response(body=self._metrics.render(), headers={"Content-Type": CONTENT_TYPE})

    async def _take_report(self, request: web.BaseRequest) -> web.StreamResponse:
        """Acknowledge what the backend server says of itself, or tell what is wrong with it."""
        body = await request.read()
        try:
            if request.method == "PUT":
                if not self._sidecar.handle_report(_discovery.decode_report(request.path, body)):
                    return web.Response(status=409)
            elif request.method == "DELETE":
                self._sidecar.handle_leave(_discovery.read_instance(request.path))
            else:
                return web.Response(status=405)
        except ReportError as error:
            logger.warning("event=report_refused path={} detail={!r}", request.path, str(error))
            return web.Response(status=400, text=str(error))
        return web.json_response({})

    # Clients.

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        received_at = read_clock()
        table = self._sidecar.site.table
        if table is None:
            return self._refuse(Reason.NO_CONFIGURATION, NO_CONFIGURATION_RETRY_S)
        host = request.headers.get("Host", "").rpartition(":")[0] or request.headers.get("Host", "")
        route = table.find_route(host.lower(), request.raw_path.partition("?")[0])
        if route is None:
            logger.info("event=no_route host={} path={}", host, request.raw_path)
            return web.Response(status=404)
        body = await request.read()
        fields = _headers.read_client_fields(
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in request.raw_headers
        )
        forwarded = self._build(request, fields, route, table, body, received_at)
        verdict = await self._sidecar.dispatcher.dispatch(forwarded, route)
        late = read_clock() + LATE_MARGIN_S >= forwarded.deadline
        return self._render(verdict, forwarded.attempt, late)

    def _build(
        self,
        request: web.BaseRequest,
        fields: _headers.ClientFields,
        route: RoutePolicy,
        table: RoutingTable,
        body: bytes,
        received_at: float,
    ) -> ForwardedRequest:
        site = self._sidecar.site
        service = site.choose_service(route)
        timeout_s = fields.timeout_s if fields.timeout_s is not None else DEFAULT_TIMEOUT_S
        keyed = site.is_keyed(service)
        return ForwardedRequest(
            attempt=fields.attempt,
            service=service,
            route=route.name,
            method=request.method,
            target=request.raw_path,
            headers=fields.passed,
            body=body,
            key=fields.key if keyed else -1,
            idempotent=route.idempotent,
            priority=route.priority,
            caller_service=self._sidecar.settings.service,
            deadline=received_at + min(timeout_s, route.timeout_s),
            objective_at=received_at + route.objective_s,
        )

    def _refuse(self, reason: Reason, retry_after_s: float) -> web.Response:
        return self._render(NotRun(reason, int(1000 * retry_after_s)), "", False)

    def _render(self, verdict: Verdict, attempt: str, late: bool) -> web.Response:
        headers: CIMultiDict[str] = CIMultiDict()
        if self._sidecar.stopping.is_set():
            headers["Connection"] = "close"
        match verdict:
            case Answered(answer=answer):
                return _render_answer(answer, headers)
            case NotRun(retry_after_ms=retry_after_ms) if retry_after_ms:
                headers["Retry-After"] = f"{retry_after_ms / 1000:.3f}"
        if attempt:
            headers[_headers.ATTEMPT] = attempt
        return web.Response(status=_headers.choose_status(verdict, late), headers=headers)


def _render_answer(answer: Answer, headers: CIMultiDict[str]) -> web.Response:
    for header in answer.headers:
        headers.add(header.name, header.value)
    return web.Response(status=answer.status, headers=headers, body=answer.body)


def _make_request(
    message: object, payload: object, protocol: object, writer: object, task: object
) -> web.BaseRequest:
    """Make a request as aiohttp does, but with the body size that clients may send."""
    return web.BaseRequest(
        message,  # type: ignore[arg-type]
        payload,  # type: ignore[arg-type]
        protocol,  # type: ignore[arg-type]
        writer,  # type: ignore[arg-type]
        task,  # type: ignore[arg-type]
        asyncio.get_running_loop(),
        client_max_size=MAX_BODY_BYTES,
    )
