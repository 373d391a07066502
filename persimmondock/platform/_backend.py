"""Client of the local backend server in the platform's protocol."""

from __future__ import annotations

import asyncio
import functools
import json
import math
import secrets
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.http_exchange import (
    ConnectFailedError,
    ConnectionLostError,
    ExchangeError,
    HttpConnection,
    HttpPool,
    HttpResponse,
    InvalidResponseError,
    Unexpected,
    render_request,
)
from persimmondock._domain.link_budget import LARGE_ANSWER_BYTES
from persimmondock._domain.memory_budget import MemoryBudget
from persimmondock._domain.verdict import (
    Answer,
    Answered,
    Header,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
)
from persimmondock._ports.backend import (
    GrantAccepted,
    GrantFenced,
    GrantMisdirected,
    GrantNotSent,
    GrantOutcome,
    GrantUnknown,
    OrderTrace,
    ReleaseDone,
    ReleaseFailed,
)
from persimmondock._ports.metrics import MetricSink, NoMetrics
from persimmondock.platform import _headers

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from persimmondock._adapters.buffered_body import BufferedBody
    from persimmondock._domain.backend_notice import BackendNotice
    from persimmondock._domain.forwarding import ForwardedRequest

GRANT_PATH = "/-/grant"
RELEASE_PATH = "/-/release"
MAX_CONNECTIONS = 60  # the smallest site allows 62 to each backend server
# A request that is not idempotent cannot be sent again, and the server may be about to close a
# connection that was idle for longer.
NON_IDEMPOTENT_MAX_IDLE_S = 2.0
IDEMPOTENT_MAX_IDLE_S = 8.0
MAX_MARKS = 256  # of the answers to orders on a connection
MAX_REFUSALS = 256  # and failures on a connection, whose requests are remembered
MAX_CONCURRENT_GRANTS = 2  # a grant takes about a millisecond, and new connections have a cost
MAX_CONCURRENT_RELEASES = 6
GRANT_TIMEOUT_S = 0.5  # grants are answered within milliseconds or take seconds
RELEASE_TIMEOUT_S = 2.5  # a release waits for work on its keys, which usually ends by then
SETTLE_TIMEOUT_S = 0.5  # keys that are released again have no work to wait for
BUSY_CONNECTION_RETRY_S = 0.005
HEALTH_TIMEOUT_S = 0.5
# Before the next order to a server whose answers are none, doubled for each of them in a row.
MIN_ORDER_PAUSE_S = 0.01
MAX_ORDER_PAUSE_S = 0.25  # so that a server that is sound again gets its keys soon
MAX_ORDER_ANSWER_BYTES = 64 * 1024  # answers to grants, releases and health checks are short
RESPONSE_GRACE_S = 0.1  # time for the backend server's own timeout response to arrive
RETRY_AFTER_MS = 200
MISDIRECTED = 421  # another instance answers than the one that was named, and did nothing
NOT_SENT = NotRun(Reason.BACKEND_UNREACHABLE, RETRY_AFTER_MS)


class PlatformBackend:
    """Client of the local backend server.

    Parameters
    ----------
    memory
        Budget for what the backend server sends.
    """

    def __init__(
        self,
        address: str,
        metrics: MetricSink | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._address = address
        self._memory = memory if memory is not None else MemoryBudget()
        self._metrics: MetricSink = metrics or NoMetrics()
        self._on_lost: Callable[[], None] = lambda: None
        self._pool = self._make_pool("request", MAX_CONNECTIONS)
        # Separate clients: releases wait for running work and must not delay renewals of grants.
        self._grant_client = self._make_control_client(
            "grant", MAX_CONCURRENT_GRANTS, keeps_uncertain=True
        )
        self._release_client = self._make_control_client("release", MAX_CONCURRENT_RELEASES)
        self._health_client = self._make_control_client("health", 1)

    def _make_control_client(
        self, purpose: str, max_concurrent: int, keeps_uncertain: bool = False
    ) -> _ControlClient:
        # An order that was given up must not be delivered later: a grant's time counts from then.
        pool = self._make_pool(
            purpose, max_concurrent, resets_unanswered=True, max_bytes=MAX_ORDER_ANSWER_BYTES
        )
        return _ControlClient(purpose, pool, max_concurrent, keeps_uncertain)

    def _make_pool(
        self,
        purpose: str,
        limit: int,
        resets_unanswered: bool = False,
        max_bytes: int | None = None,
    ) -> HttpPool:
        pool = HttpPool(self._address, limit, resets_unanswered, self._memory, max_bytes)
        pool.on_unexpected = functools.partial(self._record_dropped, purpose)
        pool.on_lost = lambda: self._on_lost()
        return pool

    def _record_dropped(
        self, purpose: str, connection: HttpConnection, unexpected: Unexpected
    ) -> None:
        """Record an answer, or bytes, that were counted for no request."""
        self._metrics.count(f"answers_dropped.{purpose}.{unexpected.value}")
        logger.info(
            "event=answer_dropped purpose={} kind={} connection={} requests={}",
            purpose,
            unexpected.value,
            connection.number,
            connection.exchange_count,
        )

    async def run(
        self,
        request: ForwardedRequest,
        instance: str,
        check: Callable[[], NotRun | None],
        record_notice: Callable[[BackendNotice], None],
    ) -> Verdict:
        """Have the backend server run a request.

        If a pooled connection turns out to be closed before anything is sent, the request is sent
        on a new one; this is tried once.
        """
        verdict: Verdict = NotRun(Reason.BACKEND_UNREACHABLE, RETRY_AFTER_MS)
        for max_idle_s in (
            IDEMPOTENT_MAX_IDLE_S if request.idempotent else NON_IDEMPOTENT_MAX_IDLE_S,
            0.0,
        ):
            try:
                connection = await self._pool.acquire(max_idle_s, request.attempt)
            except ConnectFailedError as error:
                is_down = self._suggests_end(error)
                reason = Reason.BACKEND_DOWN if is_down else Reason.BACKEND_UNREACHABLE
                return NotRun(reason, RETRY_AFTER_MS)
            stream = None
            try:
                verdict, stream = await self._exchange(
                    connection, request, instance, check, record_notice
                )
            finally:
                if stream is None:
                    self._pool.release(connection)
            if stream is not None:
                stream.call_when_received(functools.partial(self._pool.release, connection))
            if verdict != NOT_SENT:
                return verdict
        return verdict

    async def _exchange(
        self,
        connection: HttpConnection,
        request: ForwardedRequest,
        instance: str,
        check: Callable[[], NotRun | None],
        record_notice: Callable[[BackendNotice], None],
    ) -> tuple[Verdict, BufferedBody | None]:
        """Return the verdict, and the body of its answer if that is still being received."""
        refusal = check()
        if refusal is not None:
            return refusal, None
        remaining_s = request.deadline - read_clock()
        fields = _headers.build_backend_fields(request, instance, remaining_s)
        data = render_request(request.method, request.target, fields, request.body)
        try:
            async with asyncio.timeout(remaining_s + RESPONSE_GRACE_S):
                response = await connection.exchange(
                    data,
                    lambda response: _headers.may_belong_to(response, request.attempt),
                    LARGE_ANSWER_BYTES,
                )
        except TimeoutError:
            return MayHaveRun(Reason.DEADLINE_PASSED), None
        except ConnectionLostError as error:
            return MayHaveRun(Reason.BACKEND_LOST) if error.sent else NOT_SENT, None
        except ExchangeError:
            return MayHaveRun(Reason.ANSWER_INVALID), None
        # On the first request of a connection there is no earlier one whose response may be late.
        is_first_request = connection.exchange_count == 1
        verdict = _classify_response(response, request.attempt, instance, is_first_request)
        if isinstance(verdict, MayHaveRun):
            # The answer may still come, when another request waits for its own.
            connection.abort()
        if isinstance(verdict, NotRun) or response.status >= 500:
            connection.refused.add(request.attempt)
            if len(connection.refused) >= MAX_REFUSALS:
                connection.abort()
        if _speaks_for_instance(verdict):
            notice = _headers.read_notice(response.headers)
            if notice is not None:
                record_notice(notice)
        if response.stream is not None and not isinstance(verdict, Answered):
            response.stream.close()
            return verdict, None
        return verdict, response.stream

    async def grant(
        self,
        instance: str,
        first: int,
        last: int,
        fence: int,
        find_hold_s: Callable[[], float],
        handover: str,
    ) -> GrantOutcome:
        """Grant keys for a time that starts when the request reaches the backend server."""
        body: dict[str, object] = {"from": first, "target": last, "fence": fence}
        if handover:
            body["handover"] = handover

        def render(attempt: str) -> bytes | None:
            hold_s = find_hold_s()
            if hold_s <= 0:
                return None
            return _render_control_request(
                self._address, GRANT_PATH, attempt, instance, body | {"hold_s": round(hold_s, 3)}
            )

        try:
            answer = await self._grant_client.call(render, GRANT_TIMEOUT_S)
        except ExchangeError as error:
            if error.sent:
                return GrantUnknown(str(error))
            return GrantNotSent(str(error), self._suggests_end(error))
        except TimeoutError:
            return GrantUnknown("no response within the timeout")
        if answer is None:
            return GrantNotSent("the grant is no longer allowed")
        response, trace = answer.response, answer.trace
        if response.status == 200:
            return GrantAccepted(trace)
        if response.status == 409:
            return GrantFenced(trace)
        if response.status == MISDIRECTED:
            return GrantMisdirected(response.find_header(_headers.INSTANCE) or "", trace)
        return GrantUnknown(f"status {response.status}")

    async def release(
        self, instance: str, first: int, last: int, fence: int
    ) -> ReleaseDone | ReleaseFailed:
        """Release a range of keys; returns once no work on them is running."""
        render = self._prepare_release(instance, first, last, fence)
        try:
            answer = await self._release_client.call(render, RELEASE_TIMEOUT_S)
        except (ExchangeError, TimeoutError) as error:
            return ReleaseFailed(repr(error), self._suggests_end(error))
        if answer is None:
            return ReleaseFailed("not sent")
        response = answer.response
        if response.status != 200:
            answered_by = response.find_header(_headers.INSTANCE)
            is_misdirected = response.status == MISDIRECTED and answered_by != instance
            return ReleaseFailed(f"status {response.status}", misdirected=is_misdirected)
        return ReleaseDone(response.find_header(_headers.HANDOVER) or "", answer.trace)

    def _prepare_release(
        self, instance: str, first: int, last: int, fence: int
    ) -> Callable[[str], bytes]:
        body: dict[str, object] = {"from": first, "target": last, "fence": fence}
        return lambda attempt: _render_control_request(
            self._address, RELEASE_PATH, attempt, instance, body
        )

    async def settle_grants(
        self, connections: Collection[int], instance: str, first: int, last: int, fence: int
    ) -> frozenset[int]:
        """Release keys once more behind the grants of connections; return those that answered.

        A backend server serves one request at a time on a connection.
        """
        render = self._prepare_release(instance, first, last, fence)
        settled = []
        for number in connections:
            try:
                answer = await self._grant_client.call_behind(number, render, SETTLE_TIMEOUT_S)
            except (ExchangeError, TimeoutError) as error:
                logger.info("event=grants_unsettled connection={} error={!r}", number, error)
                continue
            if answer is not None and answer.response.status == 200:
                settled.append(number)
        return frozenset(settled)

    async def check_health(self, path: str, instance: str) -> BackendNotice | None:
        """Return what the answer to a health check says about the backend server."""

        def render(attempt: str) -> bytes:
            fields = [
                ("Host", self._address),
                (_headers.ATTEMPT, attempt),
                (_headers.EXPECTED_INSTANCE, instance),
            ]
            return render_request("GET", path, fields, b"")

        try:
            answer = await self._health_client.call(render, HEALTH_TIMEOUT_S)
        except (ExchangeError, TimeoutError) as error:
            logger.info("event=health_unknown instance={} error={!r}", instance, error)
            return None
        response = answer.response if answer is not None else None
        answered_by = response.find_header(_headers.INSTANCE) if response is not None else None
        if response is None or answered_by != instance:
            logger.info("event=health_unknown instance={} answered_by={}", instance, answered_by)
            return None
        return _headers.read_notice(response.headers)

    def _suggests_end(self, error: Exception) -> bool:
        """Return whether an error suggests that the process at the address has ended.

        A process may refuse new connections and live: the end of a process ends its open ones too.
        Those may also have been reset, so this is no proof that it holds no keys.
        """
        if not isinstance(error, ConnectFailedError) or not error.refused:
            return False
        return not self.is_connected_since(math.inf)

    def watch_connections(self, on_lost: Callable[[], None]) -> None:
        """Call a function whenever the backend server ends a connection that it was to keep."""
        self._on_lost = on_lost

    def is_connected_since(self, instant: float) -> bool:
        """Return whether a connection is open that was opened before an instant."""
        clients = (self._grant_client, self._release_client, self._health_client)
        pools = (self._pool, *(client.pool for client in clients))
        return any(pool.has_open_connection(instant) for pool in pools)

    async def is_absent(self) -> bool:
        """Return whether no connection is open and a new one, which is then opened, is refused."""
        if self.is_connected_since(math.inf):
            return False
        pool = self._grant_client.pool
        try:
            connection = await pool.acquire()
        except ConnectFailedError as error:
            return self._suggests_end(error)
        pool.release(connection)
        return False

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()
        self._grant_client.pool.close()
        self._release_client.pool.close()
        self._health_client.pool.close()


@attrs.frozen
class _ControlAnswer:
    """The response to a grant, release or health check, and how it came."""

    response: HttpResponse
    trace: OrderTrace


class _ControlClient:
    """Sends grants, releases or health checks on pooled connections, with bounded concurrency.

    Each request has an identifier, which servers may repeat in their answers. Without it an answer
    is certain if its connection has carried no other request, or no other answer that is equal in
    status and handover.

    Parameters
    ----------
    keeps_uncertain
        Whether an answer that may be that to an earlier request is returned, and its connection
        used again.
    """

    def __init__(
        self, purpose: str, pool: HttpPool, max_concurrent: int, keeps_uncertain: bool = False
    ) -> None:
        self._purpose = purpose
        self.pool = pool
        self._semaphore = asyncio.Semaphore(max_concurrent)
        self._keeps_uncertain = keeps_uncertain
        self._prefix = secrets.token_hex(4)
        self._requests_sent = 0
        self._pause_s = 0.0
        self._paused_until = -math.inf

    async def call(
        self, render: Callable[[str], bytes | None], timeout_s: float
    ) -> _ControlAnswer | None:
        """Send a request that is rendered immediately before it is sent.

        Parameters
        ----------
        render
            Returns the bytes of the request with an identifier, or None if it may not be sent.

        Returns
        -------
        _ControlAnswer | None
            The answer, or None if ``render`` returned None and nothing was sent.

        Raises
        ------
        ExchangeError
            If there is no complete answer, or an uncertain one that is not kept.
        TimeoutError
            If there is none within ``timeout_s`` seconds.
        """
        async with self._semaphore:
            await self._wait_for_pause()
            connection = await self.pool.acquire()
            if connection.exchange_count == 0:
                logger.info("event=control_connected purpose={}", self._purpose)
            return await self._exchange(connection, render, timeout_s, self._keeps_uncertain)

    async def _wait_for_pause(self) -> None:
        while (left_s := self._paused_until - read_clock()) > 0:
            await asyncio.sleep(left_s)

    def _lengthen_pause(self) -> None:
        self._pause_s = min(MAX_ORDER_PAUSE_S, max(MIN_ORDER_PAUSE_S, 2 * self._pause_s))
        self._paused_until = read_clock() + self._pause_s

    async def call_behind(
        self, number: int, render: Callable[[str], bytes], timeout_s: float
    ) -> _ControlAnswer | None:
        """Send a request on the connection with a number, behind all that it carries.

        Parameters and errors are those of `call`; an uncertain answer is not kept.

        Returns
        -------
        _ControlAnswer | None
            The answer, or None if the connection is closed or stays busy.
        """
        give_up_at = read_clock() + timeout_s
        while True:
            async with self._semaphore:
                connection = self.pool.take(number)
                if connection is not None:
                    return await self._exchange(connection, render, timeout_s)
            if not self.pool.is_busy(number) or read_clock() >= give_up_at:
                return None
            await asyncio.sleep(BUSY_CONNECTION_RETRY_S)

    async def _exchange(
        self,
        connection: HttpConnection,
        render: Callable[[str], bytes | None],
        timeout_s: float,
        keeps_uncertain: bool = False,
    ) -> _ControlAnswer | None:
        try:
            self._requests_sent += 1
            attempt = f"{self._prefix}{self._requests_sent:08x}"
            data, sent_at = render(attempt), read_clock()
            if data is None:
                return None
            earlier_orders = connection.exchange_count
            try:
                async with asyncio.timeout(timeout_s):
                    response = await connection.exchange(
                        data, lambda response: _headers.may_belong_to(response, attempt)
                    )
            except InvalidResponseError:
                self._lengthen_pause()
                raise
            self._pause_s = 0.0
            answered_at = read_clock()
            is_named = response.find_header(_headers.ATTEMPT.lower()) is not None
            handover = response.find_header(_headers.HANDOVER.lower()) or ""
            mark = f"{response.status} {handover}"
            is_certain = is_named or earlier_orders == 0 or mark not in connection.marks
            connection.marks.add(mark)
            keeps_apart = is_named or bool(is_certain and handover)
            if not (keeps_uncertain or keeps_apart) or len(connection.marks) >= MAX_MARKS:
                # The next answer might be equal, or there are too many to compare it with.
                connection.abort()
            if not (keeps_uncertain or is_certain):
                raise InvalidResponseError("the answer may be an earlier one", sent=True)
            trace = OrderTrace(connection.number, earlier_orders, sent_at, answered_at, is_certain)
            return _ControlAnswer(response, trace)
        finally:
            self.pool.release(connection)


def _render_control_request(
    address: str, path: str, attempt: str, instance: str, body: dict[str, object]
) -> bytes:
    fields = [
        ("Host", address),
        ("Content-Type", "application/json"),
        (_headers.ATTEMPT, attempt),
    ]
    if instance:
        fields.append((_headers.EXPECTED_INSTANCE, instance))
    return render_request("POST", path, fields, json.dumps(body).encode())


def _classify_response(
    response: HttpResponse, attempt: str, instance: str, is_first_request: bool
) -> Verdict:
    """Return the verdict on a request from the backend server's response.

    Parameters
    ----------
    is_first_request
        Whether this was the first request on the connection. On others, a refusal without an
        attempt identifier may be a late response to an earlier request, and proves nothing.
    """
    response_attempt = response.find_header(_headers.ATTEMPT.lower())
    is_for_attempt = response_attempt == attempt or (response_attempt is None and is_first_request)
    if response.status == MISDIRECTED and is_for_attempt:
        if response.find_header(_headers.INSTANCE) in (None, instance):
            return NotRun(Reason.NOT_OWNER, RETRY_AFTER_MS, arrived=True)
        # Another instance runs at the address now.
        return NotRun(Reason.BACKEND_DOWN, RETRY_AFTER_MS, arrived=True)
    if response.find_header(_headers.NOT_EXECUTED) is not None and is_for_attempt:
        return NotRun(Reason.BACKEND_REFUSED, RETRY_AFTER_MS, arrived=True)
    if response_attempt != attempt:
        return MayHaveRun(Reason.ANSWER_INVALID)
    if response.status < 300 and response.find_header(_headers.SIGNATURE) is None:
        return MayHaveRun(Reason.ANSWER_INVALID)
    headers = tuple(
        Header(name, value) for name, value in _headers.select_response_fields(response)
    )
    return Answered(Answer(response.status, headers, response.body, response.stream))


def _speaks_for_instance(verdict: Verdict) -> bool:
    """Return whether the response is of the instance and the attempt that were asked for."""
    match verdict:
        case Answered() | NotRun(reason=Reason.BACKEND_REFUSED | Reason.NOT_OWNER):
            return True
        case _:
            return False
