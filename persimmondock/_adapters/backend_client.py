"""A backend server over HTTP.

The request carries the fencing token, the deadline and the request identifier as headers. A
backend server that refuses a request before it starts answers 503 with ``Persimmondock-Not-Run``.
"""

from __future__ import annotations

import time
from types import SimpleNamespace

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from persimmondock._domain.fields import filter_answer_fields
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
    """Let a backend server run a request and return how it ended.

    Parameters
    ----------
    token
        Fencing token of the slice, or -1 where no slice is owned.
    deadline_ms
        Unix milliseconds after which the backend server must not work on it.
    timeout
        Seconds after which the answer is given up.
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
    """The connection ended before the answer began."""


class _SendDeadlineError(Exception):
    """A connection was there only after the instant until which a request may be sent."""


async def _check_send_deadline(
    _: aiohttp.ClientSession, context: SimpleNamespace, __: object
) -> None:
    """Give a request up if the process was paused, or the connection slow, for too long."""
    if time.monotonic() >= context.trace_request_ctx:
        raise _SendDeadlineError


def _build_trace_config() -> aiohttp.TraceConfig:
    """Return hooks that run between having a connection and sending."""
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_check_send_deadline)
    trace.on_connection_reuseconn.append(_check_send_deadline)
    return trace


async def _send_without_retry(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request without the library's own second try.

    After a reused connection has ended, the library would send methods such as PUT once more.
    It does not know the error that this function raises instead, and so does not.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _ConnectionLostError(str(error)) from error


def open_backend_session(connections: int) -> aiohttp.ClientSession:
    """Return a session that keeps warm connections and nothing else between requests."""
    connector = aiohttp.TCPConnector(limit=connections, keepalive_timeout=KEEPALIVE_S)
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        trace_configs=[_build_trace_config()],
    )


def _build_headers(call: Call, token: int, deadline_ms: int) -> CIMultiDict[str] | None:
    """Return the fields to send, or None if a caller's field cannot be sent.

    Callers cannot set the fields that the gate answers for.
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
    if response.status == 503 and NOT_RUN_HEADER in response.headers:
        return NotRun(Reason.BACKEND_REFUSED, RETRY_AFTER_MS)
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
    """Return whether a missing end of the body would be noticed."""
    if response.method == "HEAD" or response.status in NO_BODY_STATUSES:
        return True
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    return chunked or "Content-Length" in response.headers
