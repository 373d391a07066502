"""Bytes of a server in trouble that look like a response, with a status that does not exist."""

from __future__ import annotations

import asyncio
import time

import pytest

from persimmondock._adapters.backend_client import open_backend_session, run_request
from persimmondock._adapters.clock import read_clock
from persimmondock._domain.verdict import Answered, MayHaveRun, Reason
from persimmondock._ports.backend import GrantUnknown, ReleaseFailed
from persimmondock._ports.keyed_log import Partition, Records, StoreFailed
from persimmondock.platform._backend import PlatformBackend
from persimmondock.platform._store import PlatformStore
from persimmondock.tests.builders import make_call
from persimmondock.tests.live_site import run_site
from persimmondock.tests.scripted_server import ScriptedServer
from persimmondock.tests.sites import make_forwarded

STATUS_LINES = [
    *(f"HTTP/1.1 {status} X" for status in ("000", "001", "042", "099", "600", "700", "999")),
    "HTTP/1.0 000 X",
    "HTTP/2.0 200 OK",
    "HTTP/0.9 200 OK",
]
FIELDS = "X-Attempt-Id: a\r\nX-Server-Signature: s\r\nX-Instance-Id: i-1\r\n"
SOON_S = 0.3
LARGE = 3_000_000


def render(line: str, framing: str = "length", size: int = 5) -> bytes:
    head, body = f"{line}\r\n{FIELDS}".encode(), b"." * size
    match framing:
        case "length":
            return head + b"Content-Length: %d\r\n\r\n" % size + body
        case "chunks":
            return head + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (size, body)
        case _:
            return head + b"\r\n" + body


async def ask(response: bytes, close: bool = False, idempotent: bool = False) -> object:
    """Return the verdict on a request that gets certain bytes, if it comes soon."""
    async with ScriptedServer([response], close_after_response=close).listen() as address:
        backend = PlatformBackend(address)
        request = make_forwarded(
            read_clock(), attempt="a", deadline=read_clock() + 3.0, idempotent=idempotent
        )
        try:
            async with asyncio.timeout(SOON_S):
                return await backend.run(request, "i-1", lambda: None, lambda _: None)
        finally:
            backend.close()


@pytest.mark.parametrize("size", [5, LARGE], ids=["short", "large"])
@pytest.mark.parametrize("framing", ["length", "chunks", "close"])
@pytest.mark.parametrize("line", STATUS_LINES)
async def test_a_status_that_does_not_exist_is_no_answer(
    line: str, framing: str, size: int
) -> None:
    """MIXED: a caller got it as an answer, or waited for another one until its time was over."""
    verdict = await ask(render(line, framing, size), close=framing == "close")
    assert verdict == MayHaveRun(Reason.ANSWER_INVALID)


@pytest.mark.parametrize("times", [1, 3])
async def test_an_answer_behind_bytes_that_are_none_is_not_used(times: int) -> None:
    """Guards against an answer on a connection whose state is not known."""
    response = render("HTTP/1.1 000 X") * times + render("HTTP/1.1 200 OK")
    assert await ask(response) == MayHaveRun(Reason.ANSWER_INVALID)


@pytest.mark.parametrize("status", [100, 102, 103, 150, 199])
async def test_the_answer_behind_an_interim_response_is_used(status: int) -> None:
    verdict = await ask(f"HTTP/1.1 {status} X\r\n\r\n".encode() + render("HTTP/1.1 200 OK"))
    assert isinstance(verdict, Answered) and verdict.answer.status == 200


@pytest.mark.parametrize("status", [200, 299, 404, 599])
async def test_statuses_of_all_classes_are_answers(status: int) -> None:
    verdict = await ask(render(f"HTTP/1.1 {status} X"))
    assert isinstance(verdict, Answered) and verdict.answer.status == status


@pytest.mark.parametrize("line", STATUS_LINES)
async def test_a_status_that_does_not_exist_answers_no_order(line: str) -> None:
    """Guards against an order that waits, while its keys are held by nobody."""
    async with ScriptedServer([render(line)]).listen() as address:
        backend = PlatformBackend(address)
        async with asyncio.timeout(SOON_S):
            granted = await backend.grant("i-1", 0, 9, 3, lambda: 2.0, "")
            released = await backend.release("i-1", 0, 9, 3)
            healthy = await backend.check_health("/health", "i-1")
        backend.close()
    assert isinstance(granted, GrantUnknown) and isinstance(released, ReleaseFailed)
    assert healthy is None


@pytest.mark.parametrize("line", STATUS_LINES)
async def test_a_status_that_does_not_exist_is_no_answer_of_the_store(line: str) -> None:
    async with ScriptedServer([render(line)]).listen() as address:
        store = PlatformStore(address, "node-1")
        async with asyncio.timeout(SOON_S):
            assert isinstance(await store.read_newest(Partition("t")), StoreFailed)
            assert not isinstance(await store.read_from(Partition("t"), 0, 0.0), Records)
            written = await store.write(Partition("t"), [("k", b"v")], None)
        store.close()
    assert isinstance(written, StoreFailed)


@pytest.mark.parametrize("line", STATUS_LINES)
async def test_a_status_that_does_not_exist_is_no_answer_of_the_earlier_interface(
    line: str,
) -> None:
    """MIXED: the status was passed on to the caller."""
    async with ScriptedServer([render(line)]).listen() as address:
        session = open_backend_session(4)
        deadline_ms = int(1000 * (time.time() + 1.0))
        async with asyncio.timeout(SOON_S):
            verdict = await run_request(session, address, make_call(), 7, deadline_ms, 1.0)
        await session.close()
    assert verdict == MayHaveRun(Reason.ANSWER_INVALID)


@pytest.mark.parametrize("status", [0, 42, 600])
async def test_a_caller_gets_502_at_once_for_a_status_that_does_not_exist(status: int) -> None:
    """MIXED: the same with complete daemons, at the backend server's VM and elsewhere."""
    async with run_site() as site:
        for node in site.nodes:
            node.backend.status_line = b"HTTP/1.1 %03d X" % status
        for index in (0, 2):
            started_at = time.monotonic()
            found, headers, body = await site.ask(site.nodes[index], "/assign/1", attempt="m1")
            assert (found, body) == (502, b"") and "X-Server-Signature" not in headers
            assert time.monotonic() - started_at < 1.0
