"""The backend server beside this daemon, as the platform lets it be spoken to."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.http_exchange import (
    ConnectFailedError,
    ConnectionLostError,
    ExchangeError,
    HttpAnswer,
    HttpConnection,
    HttpPool,
    render_request,
)
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
    GrantFenced,
    GrantNotSent,
    GrantOutcome,
    GrantTaken,
    GrantUnknown,
    ReleaseDone,
    ReleaseFailed,
)
from persimmondock.platform import _headers

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._domain.forwarding import ForwardedRequest

GRANT_PATH = "/-/grant"
RELEASE_PATH = "/-/release"
MAX_CONNECTIONS = 60  # the smallest site allows 62 for each backend server
NON_IDEMPOTENT_MAX_IDLE_S = (
    2.0  # a request that cannot be sent again goes on a connection used just now
)
IDEMPOTENT_MAX_IDLE_S = 8.0
MAX_CONCURRENT_GRANTS = 2  # each takes about a millisecond, and new connections are priced
MAX_CONCURRENT_RELEASES = 6
GRANT_TIMEOUT_S = 0.5  # a grant is answered within milliseconds, or seconds late
RELEASE_TIMEOUT_S = 2.5  # longest usual work on a key
ANSWER_GRACE_S = 0.1  # the backend server answers by itself at the time limit
RETRY_AFTER_MS = 200
NOT_SENT = NotRun(Reason.BACKEND_UNREACHABLE, RETRY_AFTER_MS)


class PlatformBackend:
    """Client of one backend server."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = HttpPool(address, MAX_CONNECTIONS)
        # Releases wait for running work and must not hold up renewals.
        self._grant_client = _ControlClient(address, MAX_CONCURRENT_GRANTS)
        self._release_client = _ControlClient(address, MAX_CONCURRENT_RELEASES)

    async def run(
        self,
        request: ForwardedRequest,
        instance: str,
        check: Callable[[], NotRun | None],
    ) -> Verdict:
        """Let it run a request; a kept connection that has just ended is replaced once."""
        verdict: Verdict = NotRun(Reason.BACKEND_UNREACHABLE, RETRY_AFTER_MS)
        for max_idle_s in (
            IDEMPOTENT_MAX_IDLE_S if request.idempotent else NON_IDEMPOTENT_MAX_IDLE_S,
            0.0,
        ):
            try:
                connection = await self._pool.take(max_idle_s)
            except ConnectFailedError as error:
                reason = Reason.BACKEND_DOWN if error.refused else Reason.BACKEND_UNREACHABLE
                return NotRun(reason, RETRY_AFTER_MS)
            try:
                verdict = await self._exchange(connection, request, instance, check)
            finally:
                self._pool.give_back(connection)
            if verdict != NOT_SENT:
                return verdict
        return verdict

    async def _exchange(
        self,
        connection: HttpConnection,
        request: ForwardedRequest,
        instance: str,
        check: Callable[[], NotRun | None],
    ) -> Verdict:
        refusal = check()
        if refusal is not None:
            return refusal
        remaining_s = request.deadline - read_clock()
        fields = _headers.build_backend_fields(request, instance, remaining_s)
        data = render_request(request.method, request.target, fields, request.body)
        try:
            async with asyncio.timeout(remaining_s + ANSWER_GRACE_S):
                answer = await connection.exchange(
                    data, lambda answer: _headers.may_answer(answer, request.attempt)
                )
        except TimeoutError:
            return MayHaveRun(Reason.DEADLINE_PASSED)
        except ConnectionLostError as error:
            if not error.sent:
                return NOT_SENT
            return MayHaveRun(Reason.BACKEND_LOST)
        except ExchangeError:
            return MayHaveRun(Reason.ANSWER_INVALID)
        # Nothing late can come on a connection that had no request before.
        is_first = connection.exchanges == 1
        return _classify_answer(answer, request.attempt, instance, is_first)

    async def grant(
        self, first: int, last: int, fence: int, find_hold_s: Callable[[], float], handover: str
    ) -> GrantOutcome:
        """Grant keys for a time that counts from the arrival of the call."""
        body: dict[str, object] = {"from": first, "target": last, "fence": fence}
        if handover:
            body["handover"] = handover

        def render() -> bytes | None:
            hold_s = find_hold_s()
            if hold_s <= 0:
                return None
            return _render_control_request(
                self._address, GRANT_PATH, body | {"hold_s": round(hold_s, 3)}
            )

        try:
            answer = await self._grant_client.call(render, GRANT_TIMEOUT_S)
        except ExchangeError as error:
            return GrantUnknown(str(error)) if error.sent else GrantNotSent(str(error))
        except TimeoutError:
            return GrantUnknown("no answer in time")
        if answer is None:
            return GrantNotSent("no longer allowed")
        if answer.status == 200:
            return GrantTaken()
        if answer.status == 409:
            return GrantFenced()
        return GrantUnknown(f"status {answer.status}")

    async def release(self, first: int, last: int, fence: int) -> ReleaseDone | ReleaseFailed:
        """Take keys back; ends when no work on them runs any more."""
        data = _render_control_request(
            self._address, RELEASE_PATH, {"from": first, "target": last, "fence": fence}
        )
        try:
            answer = await self._release_client.call(lambda: data, RELEASE_TIMEOUT_S)
        except (ExchangeError, TimeoutError) as error:
            refused = isinstance(error, ConnectFailedError) and error.refused
            return ReleaseFailed(repr(error), refused)
        if answer is None:
            return ReleaseFailed("not sent")
        if answer.status != 200:
            return ReleaseFailed(f"status {answer.status}")
        return ReleaseDone(answer.find_header(_headers.HANDOVER) or "")

    def close(self) -> None:
        """End all connections."""
        self._pool.close()
        self._grant_client.pool.close()
        self._release_client.pool.close()


class _ControlClient:
    """Orders to the backend server, a few at a time on kept connections."""

    def __init__(self, address: str, max_concurrent: int) -> None:
        self.pool = HttpPool(address, max_concurrent)
        self._semaphore = asyncio.Semaphore(max_concurrent)

    async def call(self, render: Callable[[], bytes | None], timeout_s: float) -> HttpAnswer | None:
        """Send what is rendered right before the send; None if nothing is to be sent then."""
        async with self._semaphore:
            connection = await self.pool.take()
            try:
                data = render()
                if data is None:
                    return None
                async with asyncio.timeout(timeout_s):
                    return await connection.exchange(data)
            finally:
                self.pool.give_back(connection)


def _render_control_request(address: str, path: str, body: dict[str, object]) -> bytes:
    fields = [("Host", address), ("Content-Type", "application/json")]
    return render_request("POST", path, fields, json.dumps(body).encode())


def _classify_answer(answer: HttpAnswer, attempt: str, instance: str, is_first: bool) -> Verdict:
    """Tell a backend server's answer from its refusal to run the request.

    Parameters
    ----------
    is_first
        Whether the connection had no request before this one. On others a refusal without
        identifier may be a late one of an earlier request, and proves nothing.
    """
    answer_attempt = answer.find_header(_headers.ATTEMPT.lower())
    is_ours = answer_attempt == attempt or (answer_attempt is None and is_first)
    if answer.status == 421 and is_ours:
        if answer.find_header(_headers.INSTANCE) in (None, instance):
            return NotRun(Reason.NOT_OWNER, RETRY_AFTER_MS)
        return NotRun(Reason.BACKEND_DOWN, RETRY_AFTER_MS)
    if answer.find_header(_headers.NOT_EXECUTED) is not None and is_ours:
        return NotRun(Reason.BACKEND_REFUSED, RETRY_AFTER_MS)
    if answer_attempt != attempt:
        return MayHaveRun(Reason.ANSWER_INVALID)
    if answer.status < 300 and answer.find_header(_headers.SIGNATURE) is None:
        return MayHaveRun(Reason.ANSWER_INVALID)
    headers = tuple(Header(name, value) for name, value in _headers.select_answer_fields(answer))
    return Answered(Answer(answer.status, headers, answer.body))
