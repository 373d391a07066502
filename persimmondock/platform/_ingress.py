"""HTTP listeners for callers, readiness checks, metrics and the backend server's announcements."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

import attrs
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.http_server import HttpServer
from persimmondock._adapters.prometheus import CONTENT_TYPE, PrometheusMetrics
from persimmondock._adapters.server_messages import (
    NO_ROOM,
    ServerLimits,
    ServerRequest,
    ServerResponse,
)
from persimmondock._domain.backend_report import AnnouncementError
from persimmondock._domain.descriptor_budget import (
    REFUSED_SHARE,
    SMALL_SHARE,
    ConnectionShare,
)
from persimmondock._domain.forwarding import ForwardedRequest
from persimmondock._domain.routing_table import ClientLimits
from persimmondock._domain.verdict import Answered, NotRun, Reason, Verdict
from persimmondock.platform import _authentication, _discovery, _headers

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from persimmondock._domain.memory_budget import MemoryBudget
    from persimmondock._domain.routing_table import RoutePolicy, RoutingTable
    from persimmondock._domain.tenants import Tenant
    from persimmondock._ports.metrics import MetricSink
    from persimmondock._tasks.sidecar import Sidecar
    from persimmondock.platform._settings import MetricsEndpoint

UNAUTHORIZED_FIELDS = (("WWW-Authenticate", "Bearer"),)
JSON_FIELDS = (("Content-Type", "application/json"),)
READY_PATH = "/-/readiness"
NO_CONFIGURATION_RETRY_S = 0.5
METRICS_RETRY_S = 1.0
DEFAULT_TIMEOUT_S = 30.0
MIN_SHUTDOWN_TIMEOUT_S = 0.1
ACCEPT_SETTLE_S = 0.05  # asyncio sets up accepted connections in a few loop iterations
IDLE_MARGIN_S = 1.0  # a request that a client has begun to send in time arrives before the close
MIN_BODY_TIMEOUT_S = 30.0
HEADER_BYTES = 16 * 1024
ROW_BYTES = 64  # of a holding in an announcement
MAX_ROWS = 4_096  # far above what one owner is granted
ANNOUNCEMENT_LIMITS = ServerLimits(HEADER_BYTES, MAX_ROWS * ROW_BYTES)
EMPTY_BODY_LIMITS = ServerLimits(HEADER_BYTES, 1024)  # of requests that need no body
DEADLINE_MARGIN_S = 0.02  # verdicts this close to the deadline count as timeouts


class Ingress:
    """All HTTP listeners of one daemon.

    Parameters
    ----------
    update_process_gauges
        Updates the gauges of the process before metrics are rendered.
    memory
        Memory of the process for what others send.
    """

    def __init__(
        self,
        sidecar: Sidecar,
        metrics_endpoint: MetricsEndpoint | None = None,
        metrics: PrometheusMetrics | None = None,
        update_process_gauges: Callable[[MetricSink], None] = lambda _: None,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._sidecar = sidecar
        self._memory = memory
        self._limited_table: RoutingTable | None = None
        self._caller_limits = _make_limits(None)
        self._update_process_gauges = update_process_gauges
        self._metrics_endpoint = metrics_endpoint
        self._metrics = metrics
        self._http_servers: list[HttpServer] = []
        self._caller_server: HttpServer | None = None
        self._closed = False
        self._shares: dict[str, ConnectionShare[Any]] = {
            "callers": ConnectionShare(),
            "announcements": ConnectionShare(SMALL_SHARE),
            "readiness": ConnectionShare(SMALL_SHARE),
            "metrics": ConnectionShare(SMALL_SHARE),
        }
        self._refusals: ConnectionShare[Any] = ConnectionShare(REFUSED_SHARE)

    async def start(self) -> None:
        """Listen on all addresses.

        Raises
        ------
        OSError
            If listening for callers, readiness checks or announcements fails.
        """
        settings = self._sidecar.settings
        await self._listen(
            settings.announce_address,
            self._make_server("announcements", self._handle_announcement, ANNOUNCEMENT_LIMITS),
        )
        await self._listen(
            settings.ready_address,
            self._make_server("readiness", self._handle_readiness, EMPTY_BODY_LIMITS),
        )
        self._caller_server = self._make_server(
            "callers",
            self._handle_request,
            None,
            self._may_overlap,
            self._find_caller_limits,
        )
        await self._listen(settings.caller_address, self._caller_server)
        if self._metrics_endpoint is not None:
            await self._listen_for_metrics(self._metrics_endpoint)

    def limit_callers(self, connections: int) -> None:
        """Set how many connections callers may hold."""
        self._shares["callers"].limit = connections

    async def _listen_for_metrics(self, endpoint: MetricsEndpoint) -> None:
        """Serve metrics, or try it again later: callers can be served without metrics."""
        host = self._sidecar.settings.caller_address.rpartition(":")[0]
        address = f"{host}:{endpoint.port}"
        try:
            await self._listen(address, self._make_metrics_server())
        except OSError as error:
            logger.error("event=metrics_unavailable address={} error={!r}", address, error)
            self._sidecar.tasks.start_auxiliary("metrics", lambda: self._retry_metrics(address))

    def _make_metrics_server(self) -> HttpServer:
        return self._make_server("metrics", self._handle_metrics, EMPTY_BODY_LIMITS)

    async def _retry_metrics(self, address: str) -> None:
        """Serve metrics as soon as the address is free, until cancelled."""
        while True:
            await asyncio.sleep(METRICS_RETRY_S)
            with contextlib.suppress(OSError):
                await self._listen(address, self._make_metrics_server())
                break
        logger.info("event=metrics_available address={}", address)
        await asyncio.Event().wait()

    def drain(self) -> None:
        """Let callers connect to another daemon after their next answers."""
        if self._caller_server is not None:
            self._caller_server.draining = True

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
        # Accepted connections have to be set up: one that is not set up when its listener closes
        # would stay open and never be read.
        for server in self._http_servers:
            server.stop_accepting()
        await asyncio.sleep(ACCEPT_SETTLE_S)
        await asyncio.gather(*(server.close(within_s) for server in self._http_servers))

    def _make_server(
        self,
        listener: str,
        handler: Callable[[ServerRequest], Awaitable[ServerResponse]],
        limits: ServerLimits | None,
        may_overlap: Callable[[ServerRequest], bool] | None = None,
        find_limits: Callable[[], ServerLimits] | None = None,
    ) -> HttpServer:
        return HttpServer(
            handler,
            limits,
            may_overlap,
            memory=self._memory,
            find_limits=find_limits,
            share=self._shares[listener],
            refusals=self._refusals,
            refuse=self._refuse_connection,
        )

    async def _listen(self, address: str, server: HttpServer) -> None:
        await server.listen(address)
        self._http_servers.append(server)

    def _find_caller_limits(self) -> ServerLimits:
        """Return the limits of the configuration in force."""
        table = self._sidecar.site.table
        if table is not self._limited_table:
            self._limited_table = table
            limits = _make_limits(table)
            if limits != self._caller_limits:
                self._caller_limits = limits
        return self._caller_limits

    # Readiness, metrics and announcements.

    async def _handle_readiness(self, request: ServerRequest) -> ServerResponse:
        ready = request.path == READY_PATH and self._sidecar.is_ready
        return ServerResponse(200 if ready else 503)

    async def _handle_metrics(self, request: ServerRequest) -> ServerResponse:
        endpoint = self._metrics_endpoint
        if self._metrics is None or endpoint is None or request.path != endpoint.path:
            return ServerResponse(404)
        self._sidecar.update_gauges()
        self._update_process_gauges(self._metrics)
        servers = self._http_servers
        self._metrics.set_gauge("pipelined", sum(server.count_pipelined() for server in servers))
        self._metrics.set_gauge(
            "pipelined_bytes", sum(server.count_held_bytes() for server in servers)
        )
        for name, share in self._shares.items():
            self._metrics.set_gauge(f"connections.{name}", len(share))
            self._metrics.set_gauge(f"connections_limit.{name}", share.limit)
            self._metrics.set_gauge(f"connections_refused.{name}", share.refused)
            self._metrics.set_gauge(f"connections_idle_closed.{name}", share.idle_closed)
        return ServerResponse(200, (("Content-Type", CONTENT_TYPE),), self._metrics.render())

    async def _handle_announcement(self, request: ServerRequest) -> ServerResponse:
        """Apply an announcement or a leave notice of the backend server.

        The status is 409 for an announcement of another service or address, and 400 for an
        invalid one. It is 503 if a departure cannot be recorded: it is obeyed, but a new process
        of this daemon would not know of it; and if it is not known whether a former process
        acknowledged that the backend server leaves.
        """
        try:
            if request.method == "PUT":
                announcement = _discovery.decode_announcement(request.path, request.body)
                # A backend server sends the next one after the answer, unless it has left.
                is_recent = request.follows_response
                if not self._sidecar.handle_announcement(announcement, is_recent):
                    return ServerResponse(409)
                is_certain = is_recent or announcement.draining
                if not (is_certain or await self._sidecar.departures.may_confirm()):
                    return ServerResponse(503)
                if announcement.draining and not await self._sidecar.record_departures():
                    return ServerResponse(503)
                granted = await self._sidecar.grant_holdings(announcement)
                return ServerResponse(200, JSON_FIELDS, _discovery.encode_reply(granted))
            if request.method == "DELETE":
                instance = _discovery.parse_instance(request.path)
                self._sidecar.handle_leave(instance, _discovery.find_start(request.body))
                if not await self._sidecar.record_departures():
                    return ServerResponse(503)
                return ServerResponse(200, JSON_FIELDS, b"{}")
        except AnnouncementError as error:
            logger.warning("event=report_refused path={} detail={!r}", request.path, str(error))
            return ServerResponse(400, body=str(error).encode())
        return ServerResponse(405)

    # Callers.

    def _may_overlap(self, request: ServerRequest) -> bool:
        """Return whether a request may run beside others of its connection."""
        route = self._find_route(request)
        return route is not None and route.idempotent

    def _find_route(self, request: ServerRequest) -> RoutePolicy | None:
        table = self._sidecar.site.table
        host = (request.find_header("host") or "").partition(":")[0]
        return table.find_route(host.lower(), request.path) if table is not None else None

    async def _handle_request(self, request: ServerRequest) -> ServerResponse:
        table = self._sidecar.site.table
        if table is None:
            return self._refuse(Reason.NO_CONFIGURATION, NO_CONFIGURATION_RETRY_S)
        route = self._find_route(request)
        if route is None:
            host = request.find_header("host")
            logger.info("event=no_route host={} path={}", host, request.target)
            return ServerResponse(404)
        tenants, tenant = table.tenants, None
        if tenants is not None:
            match _authentication.identify(tenants, request.headers, route.public):
                case _authentication.Unauthorized(reason=reason):
                    logger.info("event=unauthorized route={} reason={}", route.name, reason)
                    return ServerResponse(401, UNAUTHORIZED_FIELDS)
                case _authentication.Undecidable():
                    logger.info("event=tenant_unreadable route={}", route.name)
                    return self._refuse(Reason.NO_CONFIGURATION, NO_CONFIGURATION_RETRY_S)
                case identity:
                    tenant = identity
        if not route.shares:
            host = request.find_header("host")
            logger.info("event=route_unreadable host={} path={}", host, request.target)
            return self._refuse(Reason.NO_CONFIGURATION, NO_CONFIGURATION_RETRY_S)
        name = tenant.name if tenant is not None else "" if tenants is not None else None
        fields = _headers.read_caller_fields(request.headers, name)
        forwarded = self._build_request(request, fields, route, tenant)
        verdict = await self._run(forwarded, route, tenant, table.version)
        sayable = _headers.withhold_misleading_answer(verdict, forwarded.idempotent)
        if isinstance(verdict, Answered) and sayable is not verdict:
            answer = verdict.answer
            logger.info(
                "event=answer_withheld attempt={} route={} status={}",
                forwarded.attempt,
                route.name,
                answer.status,
            )
            if answer.stream is not None:
                answer.stream.close()
        deadline_passed = read_clock() + DEADLINE_MARGIN_S >= forwarded.deadline
        return self._render_verdict(sayable, forwarded.attempt, deadline_passed)

    def _build_request(
        self,
        request: ServerRequest,
        fields: _headers.CallerFields,
        route: RoutePolicy,
        tenant: Tenant | None,
    ) -> ForwardedRequest:
        site = self._sidecar.site
        service = site.choose_service(route)
        timeout_s = fields.timeout_s if fields.timeout_s is not None else DEFAULT_TIMEOUT_S
        keyed = site.is_keyed(service)
        priority = tenant.priority if tenant is not None else None
        return ForwardedRequest(
            attempt=fields.attempt,
            service=service,
            route=route.name,
            method=request.method,
            target=request.target,
            headers=fields.forwarded,
            body=request.body,
            key=fields.key if keyed else -1,
            idempotent=route.idempotent,
            priority=route.priority if priority is None else priority,
            caller_service=self._sidecar.settings.service,
            deadline=request.received_at + min(timeout_s, route.timeout_s),
            objective_at=request.received_at + route.objective_s,
            tenant="" if tenant is None else tenant.name,
        )

    async def _run(
        self, request: ForwardedRequest, route: RoutePolicy, tenant: Tenant | None, version: int
    ) -> Verdict:
        """Have a request run if its tenant's limit allows."""
        if tenant is None:
            return await self._sidecar.dispatcher.dispatch(request, route)
        admission = self._sidecar.tenant_admission
        refusal = await admission.admit(tenant, version, request)
        if refusal is not None:
            return refusal
        ranked = admission.rank(tenant, request)
        verdict = await self._sidecar.dispatcher.dispatch(ranked, route)
        admission.record_verdict(tenant, verdict)
        return verdict

    def _refuse_connection(self, request: ServerRequest) -> ServerResponse:
        """Return the response to a request on a connection for which there is no room."""
        attempt = request.find_header(_headers.ATTEMPT.lower())
        echoed = ((_headers.ATTEMPT, attempt),) if attempt else ()
        return attrs.evolve(NO_ROOM, headers=(*NO_ROOM.headers, *echoed))

    def _refuse(self, reason: Reason, retry_after_s: float) -> ServerResponse:
        return self._render_verdict(NotRun(reason, int(1000 * retry_after_s)), "", False)

    def _render_verdict(
        self, verdict: Verdict, attempt: str, deadline_passed: bool
    ) -> ServerResponse:
        headers: list[tuple[str, str]] = []
        match verdict:
            case Answered(answer=answer):
                fields = tuple((header.name, header.value) for header in answer.headers)
                return ServerResponse(answer.status, fields, answer.body, stream=answer.stream)
            case NotRun(retry_after_ms=retry_after_ms) if retry_after_ms:
                headers.append(("Retry-After", f"{retry_after_ms / 1000:.3f}"))
        if attempt:
            headers.append((_headers.ATTEMPT, attempt))
        status = _headers.choose_status(verdict, deadline_passed)
        return ServerResponse(status, tuple(headers))


def _make_limits(table: RoutingTable | None) -> ServerLimits:
    """Return the limits of a configuration, or those before one is known."""
    limits = table.limits if table is not None else ClientLimits()
    return ServerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_s,
        idle_timeout_s=limits.idle_timeout_s + IDLE_MARGIN_S,
        body_timeout_s=max(limits.idle_timeout_s, MIN_BODY_TIMEOUT_S),
        provisional=table is None,
    )
