"""A backend server over HTTP.

The request carries the fencing token, the deadline and the request identifier as headers. A
backend server that refuses a request before it starts answers 503 with ``Persimmondock-Not-Run``.
"""

from __future__ import annotations

import aiohttp

from persimmondock._domain.messages import Call
from persimmondock._domain.verdict import (
    Answer,
    Answered,
    Header,
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
MAX_ANSWER_BYTES = 8 * 1024 * 1024
REFUSED_RETRY_MS = 100
HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "host", "te", "upgrade"}
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
    headers = {header.name: header.value for header in call.headers}
    headers[DEADLINE_HEADER] = str(deadline_ms)
    if token >= 0:
        headers[TOKEN_HEADER] = str(token)
    if call.request_id:
        headers[REQUEST_ID_HEADER] = call.request_id
    try:
        async with session.request(
            call.method,
            f"http://{address}{call.path}",
            data=call.body or None,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=timeout),
            allow_redirects=False,
        ) as response:
            return await _read_answer(response)
    except aiohttp.ClientConnectorError:
        return NotRun(Reason.BACKEND_UNREACHABLE, REFUSED_RETRY_MS)
    except aiohttp.ClientPayloadError:
        return MayHaveRun(Reason.ANSWER_TRUNCATED)
    except aiohttp.ClientError:
        return MayHaveRun(Reason.BACKEND_LOST)
    except TimeoutError:
        return MayHaveRun(Reason.DEADLINE_PASSED)


async def _read_answer(response: aiohttp.ClientResponse) -> Verdict:
    if response.status == 503 and NOT_RUN_HEADER in response.headers:
        return NotRun(Reason.BACKEND_REFUSED, REFUSED_RETRY_MS)
    body = await response.content.read(MAX_ANSWER_BYTES + 1)
    while len(body) <= MAX_ANSWER_BYTES and not response.content.at_eof():
        body += await response.content.read(MAX_ANSWER_BYTES + 1 - len(body))
    if len(body) > MAX_ANSWER_BYTES:
        return MayHaveRun(Reason.ANSWER_TOO_LARGE)
    headers = tuple(
        Header(name, value)
        for name, value in response.headers.items()
        if name.lower() not in HOP_HEADERS
    )
    return Answered(Answer(response.status, headers, body))
