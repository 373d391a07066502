"""HTTP client of a backend server.

A request carries the fencing token, the deadline and the request identifier as headers. A backend
server that refuses a request before running it responds with status 503 and the header
``Persimmondock-Not-Run``.
"""

from __future__ import annotations

import time
from types import SimpleNamespace

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from persimmondock._domain.fields import filter_answer_fields, is_final_status
from persimmondock._domain.messages import Call
from persimmondock._domain.verdict import (
    Answer,
    Answered,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
)

TOKEN_HEADER = "Persimmondock-Token"
DEADLINE_HEADER = "Persimmondock-Deadline"
REQUEST_ID_HEADER = "Idempotency-Key"
NOT_RUN_HEADER = "Persimmondock-Not-Run"
SLICE_HEADER = "Persimmondock-Slice"
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
RETRY_AFTER_MS = 100
CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_S = 60.0
NO_BODY_STATUSES = frozenset({204, 304})
AUTOMATIC_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
RESERVED_HEADERS = frozenset(
    name.lower() for name in (TOKEN_HEADER, DEADLINE_HEADER, SLICE_HEADER, REQUEST_ID_HEADER)
)


async def run_request(
    session: aiohttp.ClientSession,
    address: str,
    call: Call,
    token: int,
    deadline_ms: int,
    timeout: float,
) -> Verdict:
    """Send a request to a backend server and return its verdict.

    Parameters
    ----------
    token
        Fencing token of the slice, or -1 if the request needs no owned slice.
    deadline_ms
        Unix time in milliseconds after which the backend server must not work on the request.
    timeout
        Seconds after which the request is no longer sent and its response no longer awaited.
    """
    headers = _build_headers(call, token, deadline_ms)
    if headers is None:
        return NotRun(Reason.BAD_REQUEST)
    try:
        async with session.request(
            call.method,
            URL(f"http://{address}{call.path}", encoded=True),
            data=call.body or None,
            headers=headers,
            skip_auto_headers=AUTOMATIC_HEADERS,
            timeout=aiohttp.ClientTimeout(total=timeout, sock_connect=CONNECT_TIMEOUT_S),
            allow_redirects=False,
            middlewares=(_send_without_retry,),
            trace_request_ctx=time.monotonic() + timeout,
        ) as response:
            return await _read_response(response)
    except _SendDeadlineError:
        return NotRun(Reason.LEASE_LAPSED, RETRY_AFTER_MS)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        return NotRun(Reason.BACKEND_UNREACHABLE, RETRY_AFTER_MS)
    except aiohttp.ClientPayloadError:
        return MayHaveRun(Reason.ANSWER_TRUNCATED)
    except (_ConnectionLostError, aiohttp.ClientConnectionError):
        return MayHaveRun(Reason.BACKEND_LOST)
    except aiohttp.ClientError:
        return MayHaveRun(Reason.ANSWER_INVALID)
    except TimeoutError:
        return MayHaveRun(Reason.DEADLINE_PASSED)


class _ConnectionLostError(aiohttp.ClientError):
    """The connection ended before the response began."""


class _SendDeadlineError(Exception):
    """A connection became available only after the time limit for sending the request."""


async def _check_send_deadline(
    _: aiohttp.ClientSession, context: SimpleNamespace, __: object
) -> None:
    """Abort a request if connecting, or a pause of the process, took too long."""
    if time.monotonic() >= context.trace_request_ctx:
        raise _SendDeadlineError


def _build_trace_config() -> aiohttp.TraceConfig:
    """Return hooks that run after a connection is obtained and before the request is sent."""
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_check_send_deadline)
    trace.on_connection_reuseconn.append(_check_send_deadline)
    return trace


async def _send_without_retry(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request without aiohttp's automatic retry.

    After a reused connection has ended, aiohttp would send methods such as PUT again. It does not
    retry on the error that this function raises instead.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _ConnectionLostError(str(error)) from error


def open_backend_session(connections: int) -> aiohttp.ClientSession:
    """Return a session that keeps connections open between requests, but no other state."""
    connector = aiohttp.TCPConnector(limit=connections, keepalive_timeout=KEEPALIVE_S)
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        trace_configs=[_build_trace_config()],
    )


def _build_headers(call: Call, token: int, deadline_ms: int) -> CIMultiDict[str] | None:
    """Return the headers to send, or None if a caller's header cannot be encoded.

    Callers cannot set ``RESERVED_HEADERS``, since the gate is responsible for their values.
    """
    headers: CIMultiDict[str] = CIMultiDict()
    for header in call.headers:
        if header.name.lower() not in RESERVED_HEADERS:
            headers.add(header.name, header.value)
    headers[DEADLINE_HEADER] = str(deadline_ms)
    if token >= 0:
        headers[TOKEN_HEADER] = str(token)
        headers[SLICE_HEADER] = str(call.slice)
    if call.request_id:
        headers[REQUEST_ID_HEADER] = call.request_id
    try:
        "".join(headers.values()).encode()
    except UnicodeEncodeError:
        return None
    return headers


async def _read_response(response: aiohttp.ClientResponse) -> Verdict:
    is_http_1 = response.version is not None and response.version.major == 1
    if not (is_http_1 and is_final_status(response.status)):
        # The rest of it cannot be told from the next response.
        response.close()
        return MayHaveRun(Reason.ANSWER_INVALID)
    if response.status == 503 and NOT_RUN_HEADER in response.headers:
        return NotRun(Reason.BACKEND_REFUSED, RETRY_AFTER_MS, arrived=True)
    if not _has_known_length(response):
        return MayHaveRun(Reason.ANSWER_TRUNCATED)
    body = await response.content.read(MAX_RESPONSE_BYTES + 1)
    while len(body) <= MAX_RESPONSE_BYTES and not response.content.at_eof():
        body += await response.content.read(MAX_RESPONSE_BYTES + 1 - len(body))
    if len(body) > MAX_RESPONSE_BYTES:
        return MayHaveRun(Reason.ANSWER_TOO_LARGE)
    is_head = response.method == "HEAD"
    headers = filter_answer_fields(response.headers.items(), keep_content_length=is_head)
    return Answered(Answer(response.status, headers, body))


def _has_known_length(response: aiohttp.ClientResponse) -> bool:
    """Return whether a truncated body would be detected."""
    if response.method == "HEAD" or response.status in NO_BODY_STATUSES:
        return True
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    return chunked or "Content-Length" in response.headers
