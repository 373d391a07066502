"""Client of backend servers, against a server that sends scripted bytes."""

from __future__ import annotations

import asyncio
import itertools
import time
from types import SimpleNamespace

import pytest

from persimmondock._adapters import backend_client
from persimmondock._adapters.backend_client import open_backend_session, run_request
from persimmondock._domain.verdict import Answered, Header, MayHaveRun, NotRun, Reason
from persimmondock.tests.builders import make_call
from persimmondock.tests.scripted_server import COMPLETE_RESPONSE, ScriptedServer

MAX_BYTES = 1_000


async def run(address, call=None, session=None, timeout=1.0):
    own = session or open_backend_session(4)
    try:
        deadline_ms = int((time.time() + timeout) * 1000)
        return await run_request(own, address, call or make_call(), 7, deadline_ms, timeout)
    finally:
        if session is None:
            await own.close()


@pytest.mark.parametrize(
    ("script", "verdict"),
    [
        (ScriptedServer([None]), MayHaveRun(Reason.BACKEND_LOST)),
        (ScriptedServer([None], resets=True), MayHaveRun(Reason.BACKEND_LOST)),
        (
            ScriptedServer([b"HTTP/1.1 200 OK\r\nContent-Le"], close_after_response=True),
            MayHaveRun(Reason.BACKEND_LOST),
        ),
        (
            ScriptedServer(
                [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"], close_after_response=True
            ),
            MayHaveRun(Reason.ANSWER_TRUNCATED),
        ),
        (
            ScriptedServer(
                [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"],
                close_after_response=True,
            ),
            MayHaveRun(Reason.ANSWER_TRUNCATED),
        ),
        (
            ScriptedServer([b"HTTP/1.0 200 OK\r\n\r\nok"], close_after_response=True),
            MayHaveRun(Reason.ANSWER_TRUNCATED),
        ),
        (
            ScriptedServer([b"HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + bytes(1001)]),
            MayHaveRun(Reason.ANSWER_TOO_LARGE),
        ),
        (ScriptedServer([b"nonsense\r\n\r\n"]), MayHaveRun(Reason.ANSWER_INVALID)),
        (ScriptedServer([COMPLETE_RESPONSE], delay_s=2.0), MayHaveRun(Reason.DEADLINE_PASSED)),
        (
            ScriptedServer(
                [b"HTTP/1.1 503 x\r\nPersimmondock-Not-Run: y\r\nContent-Length: 0\r\n\r\n"]
            ),
            NotRun(Reason.BACKEND_REFUSED, backend_client.RETRY_AFTER_MS, arrived=True),
        ),
    ],
)
async def test_each_fault_has_its_verdict(script, verdict, monkeypatch) -> None:
    monkeypatch.setattr(backend_client, "MAX_RESPONSE_BYTES", MAX_BYTES)
    async with script.listen() as address:
        assert await run(address, timeout=0.3) == verdict
    assert len(script.requests) == 1


@pytest.mark.parametrize("status", [200, 404, 500, 503])
async def test_complete_response_is_answered_whatever_its_status(status) -> None:
    script = ScriptedServer([f"HTTP/1.1 {status} x\r\nContent-Length: 2\r\n\r\nok".encode()])
    async with script.listen() as address:
        verdict = await run(address)
    assert isinstance(verdict, Answered)
    assert (verdict.answer.status, verdict.answer.body) == (status, b"ok")


async def test_a_refused_connection_is_not_run() -> None:
    async with ScriptedServer([]).listen() as address:
        pass
    assert await run(address) == NotRun(Reason.BACKEND_UNREACHABLE, backend_client.RETRY_AFTER_MS)


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
async def test_no_request_is_sent_twice_when_a_reused_connection_ends(method) -> None:
    script = ScriptedServer([COMPLETE_RESPONSE, None, COMPLETE_RESPONSE])
    async with script.listen() as address, open_backend_session(4) as session:
        assert isinstance(await run(address, make_call(method=method), session), Answered)
        second = await run(address, make_call(method=method), session)
    assert second == MayHaveRun(Reason.BACKEND_LOST)
    assert len(script.requests) == 2


@pytest.mark.parametrize("reused", [False, True])
async def test_nothing_is_sent_after_the_send_deadline(reused, monkeypatch) -> None:
    """The process is paused between the last check of the lease and the connection."""
    script = ScriptedServer([COMPLETE_RESPONSE])
    async with script.listen() as address, open_backend_session(4) as session:
        if reused:
            await run(address, session=session)
        clock_readings = itertools.chain([0.0], itertools.repeat(60.0))
        clock = SimpleNamespace(monotonic=lambda: next(clock_readings))
        monkeypatch.setattr(backend_client, "time", clock)
        verdict = await run(address, session=session)
    assert verdict == NotRun(Reason.LEASE_LAPSED, backend_client.RETRY_AFTER_MS)
    assert len(script.requests) == reused


async def test_cancelling_closes_the_connection() -> None:
    script = ScriptedServer([COMPLETE_RESPONSE], delay_s=5.0)
    async with script.listen() as address:
        task = asyncio.create_task(run(address))
        while not script.requests:
            await asyncio.sleep(0.005)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        await asyncio.wait_for(script.closed.wait(), 1.0)


async def test_callers_cannot_set_reserved_headers() -> None:
    forged = tuple(
        Header(name, "99")
        for name in ("persimmondock-token", "PERSIMMONDOCK-SLICE", "idempotency-key", "X-Kept")
    )
    script = ScriptedServer([COMPLETE_RESPONSE])
    async with script.listen() as address:
        await run(address, make_call(headers=forged, request_id="own"))
    fields = script.requests[0].lower()
    assert fields.count(b": 99") == 1
    assert all(part in fields for part in (b"x-kept: 99", b"persimmondock-token: 7", b": own"))
    assert b"accept-encoding" not in fields


async def test_unencodable_header_is_a_bad_request() -> None:
    call = make_call(headers=(Header("X-Odd", "\udce9"),))
    assert await run("127.0.0.1:1", call) == NotRun(Reason.BAD_REQUEST)


async def test_cookies_of_one_caller_do_not_reach_another() -> None:
    script = ScriptedServer([b"HTTP/1.1 200 OK\r\nSet-Cookie: a=1\r\nContent-Length: 0\r\n\r\n"])
    async with script.listen() as address, open_backend_session(4) as session:
        for _ in range(2):
            await run(address, session=session)
    assert b"cookie" not in script.requests[1].lower()
