"""HTTP listeners for callers, readiness checks, metrics and the backend server's announcements."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web
from loguru import logger
from multidict import CIMultiDict

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.prometheus import CONTENT_TYPE, PrometheusMetrics
from persimmondock._adapters.sockets import set_socket_options
from persimmondock._domain.backend_report import AnnouncementError
from persimmondock._domain.forwarding import ForwardedRequest
from persimmondock._domain.verdict import Answer, Answered, NotRun, Reason, Verdict
from persimmondock.platform import _discovery, _headers

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from persimmondock._domain.routing_table import RoutePolicy, RoutingTable
    from persimmondock._tasks.sidecar import Sidecar
    from persimmondock.platform._settings import MetricsEndpoint

READY_PATH = "/-/readiness"
# Callers reuse a connection for four fifths of the configured idle timeout, by default 15 s.
KEEPALIVE_TIMEOUT_S = 15.0
LISTEN_BACKLOG = 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
NO_CONFIGURATION_RETRY_S = 0.5
DEFAULT_TIMEOUT_S = 30.0
MIN_SHUTDOWN_TIMEOUT_S = 0.1
ACCEPT_SETTLE_S = 0.05  # asyncio sets up accepted connections in a few loop iterations
DEADLINE_MARGIN_S = 0.02  # verdicts this close to the deadline count as timeouts


class Ingress:
    """All HTTP listeners of one daemon."""

    def __init__(
        self,
        sidecar: Sidecar,
        metrics_endpoint: MetricsEndpoint | None = None,
        metrics: PrometheusMetrics | None = None,
    ) -> None:
        self._sidecar = sidecar
        self._metrics_endpoint = metrics_endpoint
        self._metrics = metrics
        self._listeners: list[asyncio.Server] = []
        self._http_servers: list[web.Server] = []
        self._closed = False

    async def start(self) -> None:
        """Listen on all addresses.

        Raises
        ------
        OSError
            If listening for callers, readiness checks or announcements fails.
        """
        settings = self._sidecar.settings
        await self._listen(settings.announce_address, self._handle_announcement)
        await self._listen(settings.ready_address, self._handle_readiness)
        await self._listen(settings.caller_address, self._handle_request)
        await self._listen_for_metrics()

    async def _listen_for_metrics(self) -> None:
        """Serve metrics; a failure is only logged, since callers can be served without metrics."""
        if self._metrics_endpoint is None:
            return
        host = self._sidecar.settings.caller_address.rpartition(":")[0]
        address = f"{host}:{self._metrics_endpoint.port}"
        try:
            await self._listen(address, self._handle_metrics)
        except OSError as error:
            logger.error("event=metrics_unavailable address={} error={!r}", address, error)

    async def close(self, within_s: float = MIN_SHUTDOWN_TIMEOUT_S) -> None:
        """Stop listening, and close connections once the requests on them are answered.

        Parameters
        ----------
        within_s
            Seconds after which the remaining connections are closed.
        """
        if self._closed:
            return
        self._closed = True
        # Stop accepting, and let accepted connections be set up: one that is not set up when
        # its listener closes would stay open and never be read.
        loop = asyncio.get_running_loop()
        for listener in self._listeners:
            for sock in listener.sockets:
                loop.remove_reader(sock.fileno())
        await asyncio.sleep(ACCEPT_SETTLE_S)
        for listener in self._listeners:
            listener.close()
        for server in self._http_servers:
            server.pre_shutdown()
        # aiohttp treats a timeout of 0 as no timeout.
        timeout_s = max(MIN_SHUTDOWN_TIMEOUT_S, within_s)
        await asyncio.gather(*(server.shutdown(timeout_s) for server in self._http_servers))

    async def _listen(
        self, address: str, handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
    ) -> None:
        host, _, port = address.rpartition(":")
        server = web.Server(
            handler,
            request_factory=_make_request,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            access_log=None,
            auto_decompress=False,
            tcp_keepalive=False,
        )
        loop = asyncio.get_running_loop()

        def make_protocol() -> asyncio.BaseProtocol:
            return server()

        listener = await loop.create_server(
            make_protocol, host, int(port), backlog=LISTEN_BACKLOG, reuse_address=True
        )
        for sock in listener.sockets:
            set_socket_options(sock)
        self._listeners.append(listener)
        self._http_servers.append(server)

    # Readiness, metrics and announcements.

    async def _handle_readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        ready = request.path == READY_PATH and self._sidecar.is_ready
        return web.Response(status=200 if ready else 503)

    async def _handle_metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        endpoint = self._metrics_endpoint
        if self._metrics is None or endpoint is None or request.path != endpoint.path:
            return web.Response(status=404)
        self._sidecar.update_gauges()
        return web.Response(body=self._metrics.render(), headers={"Content-Type": CONTENT_TYPE})

    async def _handle_announcement(self, request: web.BaseRequest) -> web.StreamResponse:
        """Apply an announcement or a leave notice of the backend server.

        The status is 409 for an announcement of another service or address, and 400 for an
        invalid one.
        """
        body = await request.read()
        try:
            if request.method == "PUT":
                announcement = _discovery.decode_announcement(request.path, body)
                if not self._sidecar.handle_announcement(announcement):
                    return web.Response(status=409)
                granted = await self._sidecar.grant_holdings(announcement)
                return web.Response(
                    body=_discovery.encode_reply(granted), content_type="application/json"
                )
            if request.method == "DELETE":
                self._sidecar.handle_leave(_discovery.parse_instance(request.path))
                return web.json_response({})
        except AnnouncementError as error:
            logger.warning("event=report_refused path={} detail={!r}", request.path, str(error))
            return web.Response(status=400, text=str(error))
        return web.Response(status=405)

    # Callers.

    async def _handle_request(self, request: web.BaseRequest) -> web.StreamResponse:
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
        fields = _headers.read_caller_fields(
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in request.raw_headers
        )
        forwarded = self._build_request(request, fields, route, table, body, received_at)
        verdict = await self._sidecar.dispatcher.dispatch(forwarded, route)
        deadline_passed = read_clock() + DEADLINE_MARGIN_S >= forwarded.deadline
        return self._render_verdict(verdict, forwarded.attempt, deadline_passed)

    def _build_request(
        self,
        request: web.BaseRequest,
        fields: _headers.CallerFields,
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
            headers=fields.forwarded,
            body=body,
            key=fields.key if keyed else -1,
            idempotent=route.idempotent,
            priority=route.priority,
            caller_service=self._sidecar.settings.service,
            deadline=received_at + min(timeout_s, route.timeout_s),
            objective_at=received_at + route.objective_s,
        )

    def _refuse(self, reason: Reason, retry_after_s: float) -> web.Response:
        return self._render_verdict(NotRun(reason, int(1000 * retry_after_s)), "", False)

    def _render_verdict(
        self, verdict: Verdict, attempt: str, deadline_passed: bool
    ) -> web.Response:
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
        return web.Response(
            status=_headers.choose_status(verdict, deadline_passed), headers=headers
        )


def _render_answer(answer: Answer, headers: CIMultiDict[str]) -> web.Response:
    for header in answer.headers:
        headers.add(header.name, header.value)
    return web.Response(status=answer.status, headers=headers, body=answer.body)


def _make_request(
    message: object, payload: object, protocol: object, writer: object, task: object
) -> web.BaseRequest:
    """Create a request as aiohttp does by default, but with this module's body size limit."""
    return web.BaseRequest(
        message,  # type: ignore[arg-type]
        payload,  # type: ignore[arg-type]
        protocol,  # type: ignore[arg-type]
        writer,  # type: ignore[arg-type]
        task,  # type: ignore[arg-type]
        asyncio.get_running_loop(),
        client_max_size=MAX_BODY_BYTES,
    )
