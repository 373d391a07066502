"""Tests of the stand-in for a backend server of a site."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import re
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp
import attrs
import pytest
from aiohttp import web

from persimmondock.standins.site_backend import (
    SHUTDOWN_TIMEOUT_S,
    FaultyAnswers,
    LateGrants,
    SiteBackend,
)
from persimmondock.tests.builders import NETWORK

ADDRESS, DAEMON_ADDRESS = f"{NETWORK}160:8301", f"{NETWORK}160:8306"
ANSWER_TIMEOUT_S = 0.1
LATE_BY_S = 0.3


@attrs.define
class ScriptedDaemon:
    """A daemon that records announcements and answers all of them with ``reply``."""

    reply: dict[str, Any] = attrs.field(factory=dict)
    arrivals: list[float] = attrs.field(factory=list)

    async def handle(self, _: web.Request) -> web.Response:
        self.arrivals.append(time.monotonic())
        return web.json_response(self.reply)


@contextlib.asynccontextmanager
async def run_daemon() -> AsyncIterator[ScriptedDaemon]:
    """Yield a scripted daemon that listens for announcements."""
    daemon = ScriptedDaemon()
    application = web.Application()
    application.router.add_put("/-/instances/{instance}", daemon.handle)
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    host, _, port = DAEMON_ADDRESS.rpartition(":")
    await web.TCPSite(runner, host, int(port), reuse_address=True).start()
    try:
        yield daemon
    finally:
        await runner.cleanup()


@contextlib.asynccontextmanager
async def run_backend(**options: Any) -> AsyncIterator[SiteBackend]:
    """Yield a backend server that has started."""
    backend = SiteBackend("painel", ADDRESS, DAEMON_ADDRESS, "recife", **options)
    await backend.start()
    try:
        yield backend
    finally:
        await backend.stop()


def make_late_grants() -> LateGrants:
    """Return what makes all grants late by ``LATE_BY_S``."""
    return LateGrants(1.0, random.Random(1), LATE_BY_S, LATE_BY_S)


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(2.0):
        while not condition():
            await asyncio.sleep(0.005)


async def test_requests_that_end_with_the_shutdown_timeout_raise_no_error(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against InvalidStateError in aiohttp's server when a backend server stops."""
    work_s, requests = 0.05, 40

    async def ask(session: aiohttp.ClientSession, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        with contextlib.suppress(aiohttp.ClientError):
            async with session.post(f"http://{ADDRESS}/x") as response:
                await response.read()

    async with aiohttp.ClientSession() as session:
        for _ in range(10):
            async with run_backend(work_s=work_s):
                tasks = [
                    asyncio.create_task(ask(session, 2 * SHUTDOWN_TIMEOUT_S * n / requests))
                    for n in range(requests)
                ]
                await asyncio.sleep(work_s)
            await asyncio.gather(*tasks)
    assert [r.getMessage() for r in caplog.records if r.levelno >= logging.ERROR] == []


# Crashes.


async def test_a_crash_resets_all_connections_at_once() -> None:
    async with run_backend() as backend:
        host, _, port = ADDRESS.rpartition(":")
        connections = [await asyncio.open_connection(host, int(port)) for _ in range(3)]
        for _, writer in connections:
            writer.write(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
        for reader, _ in connections:
            await reader.readuntil(b"\r\n\r\n")
        await backend.crash()
        for reader, writer in connections:
            with pytest.raises(ConnectionResetError):
                await reader.read()
            writer.close()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(host, int(port))


@pytest.mark.parametrize("resets", [False, True], ids=["closes", "resets"])
async def test_a_crash_cuts_an_answer_that_is_being_sent(resets: bool) -> None:
    """Guards against a stand-in that completes answers after its end, which tests take as cut."""
    size = 50_000_000
    async with run_backend(answer_bytes=size) as backend:
        host, _, port = ADDRESS.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=1_024)
        writer.write(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        await backend.crash(resets)
        received = 0
        with pytest.raises(ConnectionResetError) if resets else contextlib.nullcontext():
            while piece := await reader.read(65_536):
                received += len(piece)
        assert received < size
        writer.close()


async def test_a_crash_ends_a_running_request() -> None:
    async with run_backend(work_s=5.0) as backend, aiohttp.ClientSession() as session:
        task = asyncio.create_task(session.post(f"http://{ADDRESS}/x"))
        await wait_until(lambda: bool(backend.runs))
        await backend.crash()
        with pytest.raises(aiohttp.ClientError):
            await task
        assert backend.cancelled == 1


async def test_a_server_announces_itself_later_than_it_listens() -> None:
    async with run_daemon() as daemon, run_backend(announce_after_s=0.3) as backend:
        started_at = time.monotonic()
        assert (await ask_health(backend.instance))[0] == 200
        assert daemon.arrivals == []
        await wait_until(lambda: bool(daemon.arrivals))
        assert daemon.arrivals[0] >= started_at + 0.25


# Grants.


async def grant(first: int, last: int, fence: int, hold_s: float = 5.0) -> int:
    """Grant keys and return the status; 0 if there is no answer."""
    body = {"from": first, "target": last, "fence": fence, "hold_s": hold_s}
    timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(f"http://{ADDRESS}/-/grant", json=body) as response,
        ):
            return response.status
    except (TimeoutError, aiohttp.ClientError):
        return 0


@pytest.mark.parametrize(
    ("first", "last", "fence", "status"),
    [(0, 99, 4, 409), (99, 150, 4, 409), (0, 99, 5, 200), (50, 60, 6, 200), (100, 150, 1, 200)],
)
async def test_fencing_tokens_of_expired_grants_are_remembered(
    first: int, last: int, fence: int, status: int
) -> None:
    async with run_backend(keyed=True) as backend:
        assert await grant(0, 99, 5, hold_s=0.01) == 200
        await asyncio.sleep(0.02)
        assert await grant(first, last, fence) == status
        assert len(backend.held_ranges) == (2 if status == 200 else 1)


async def test_a_late_grant_holds_keys_for_a_time_counted_from_its_arrival() -> None:
    async with run_backend(late_grants=make_late_grants()) as backend:
        sent_at = time.monotonic()
        assert await grant(0, 99, 5, hold_s=1.0) == 0
        assert backend.held_ranges == []
        await wait_until(lambda: bool(backend.held_ranges))
        (held,) = backend.held_ranges
        assert held.start >= sent_at + LATE_BY_S
        assert held.end - held.start <= 1.0 - LATE_BY_S


@pytest.mark.parametrize(("fence", "hold_s"), [(4, 1.0), (5, 0.9 * LATE_BY_S)])
async def test_a_late_grant_that_is_fenced_or_expired_holds_nothing(
    fence: int, hold_s: float
) -> None:
    async with run_backend(late_grants=make_late_grants()) as backend:
        assert await grant(0, 99, fence, hold_s) == 0
        backend.late_grants = None
        assert await grant(0, 0, 5) == 200
        await asyncio.sleep(2 * LATE_BY_S)
        assert len(backend.held_ranges) == 1


async def test_a_late_grant_ends_with_the_process() -> None:
    async with run_backend(late_grants=make_late_grants()) as backend:
        assert await grant(0, 99, 5) == 0
        await backend.crash()
        await asyncio.sleep(2 * LATE_BY_S)
        assert backend.held_ranges == []


async def test_a_reply_to_a_heartbeat_with_a_lower_token_grants_nothing() -> None:
    async with run_daemon() as daemon, run_backend(grants_in_heartbeats=True) as backend:
        daemon.reply = {"holds": [[0, 99, 5, ""]], "hold_s": 5.0}
        await wait_until(lambda: bool(backend.held_ranges))
        daemon.reply = {"holds": [[50, 150, 4, ""], [200, 299, 4, ""]], "hold_s": 5.0}
        await wait_until(lambda: any(held.first == 200 for held in backend.held_ranges))
        assert not any(held.first == 50 for held in backend.held_ranges)


@pytest.mark.parametrize("call", ["grant", "release"])
async def test_a_call_for_another_instance_is_refused(call: str) -> None:
    async with run_backend(keyed=True) as backend, aiohttp.ClientSession() as session:
        assert await grant(0, 99, 5) == 200
        body = {"from": 0, "target": 99, "fence": 6, "hold_s": 5.0}
        for instance, status in (("i-other", 421), (backend.instance, 200)):
            held_ranges = list(backend.held_ranges)
            headers = {"X-Expected-Instance": instance}
            async with session.post(
                f"http://{ADDRESS}/-/{call}", json=body, headers=headers
            ) as response:
                assert response.status == status
            assert (backend.held_ranges == held_ranges) is (status == 421)


# Health.


async def ask_health(instance: str) -> tuple[int, str | None]:
    """Return the status and the instance that a health check was answered with."""
    timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
    headers = {"X-Expected-Instance": instance}
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.get(f"http://{ADDRESS}/health", headers=headers) as response,
    ):
        return response.status, response.headers.get("X-Instance-Id")


async def test_a_health_check_for_another_instance_is_refused() -> None:
    async with run_backend() as backend:
        assert await ask_health(backend.instance) == (200, backend.instance)
        assert await ask_health("i-other") == (421, backend.instance)


async def test_health_checks_fail_while_a_fault_is_set() -> None:
    async with run_backend() as backend:
        for fault, error in (("reset", aiohttp.ClientConnectionError), ("hang", TimeoutError)):
            backend.health_fault = fault
            with pytest.raises(error):
                await ask_health(backend.instance)
        backend.health_fault = "503"
        assert await ask_health(backend.instance) == (503, backend.instance)
        backend.health_fault = ""
        assert await ask_health(backend.instance) == (200, backend.instance)


# Answers.


async def ask_raw(*attempts: str, path: str = "/view/1") -> bytes:
    """Send requests one after another on a connection; return all that came until it was quiet."""
    host, _, port = ADDRESS.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    received = b""
    for attempt in attempts:
        head = f"GET {path} HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: {attempt}\r\n\r\n"
        writer.write(head.encode())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while data := await reader.read(65_536):
                    received += data
    writer.close()
    return received


def make_faulty_answers(kind: str) -> FaultyAnswers:
    """Return what disturbs all answers in one way."""
    return FaultyAnswers(kind, 1.0, random.Random(1))


@pytest.mark.parametrize(
    ("kind", "attempts"), [("repeat_last", "a a b b c"), ("repeat_all", "a a b a b c")]
)
async def test_earlier_answers_of_a_connection_are_repeated(kind: str, attempts: str) -> None:
    async with run_backend(faulty_answers=make_faulty_answers(kind)):
        received = await ask_raw("a", "b", "c")
    assert re.findall(rb"X-Attempt-Id: (\w)", received) == attempts.encode().split()


async def test_a_refusal_is_repeated_before_the_request_runs() -> None:
    faulty_answers = make_faulty_answers("repeat_last")
    async with run_backend(faulty_answers=faulty_answers, refuses_once=True) as backend:
        received = await ask_raw("a", "a")
        assert [run.attempt for run in backend.runs] == ["a"]
    assert re.findall(rb"HTTP/1.1 (\d+)", received) == [b"503", b"503", b"200"]


async def test_an_answer_is_cut_in_its_head() -> None:
    async with run_backend(faulty_answers=make_faulty_answers("cut_head")) as backend:
        received = await ask_raw("a")
        assert len(backend.runs) == 1
    assert b"HTTP/1.1 200 OK".startswith(received[:15])
    assert b"\r\n\r\n" not in received


async def test_an_answer_is_cut_by_a_reset() -> None:
    async with run_backend(faulty_answers=make_faulty_answers("reset_head")):
        with pytest.raises(ConnectionResetError):
            await ask_raw("a")


@pytest.mark.parametrize("names_orders", [True, False])
async def test_answers_to_orders_name_them_if_asked_to(names_orders: bool) -> None:
    async with run_backend(names_orders=names_orders):
        assert (b"X-Attempt-Id: a" in await ask_raw("a", path="/health")) is names_orders
        assert b"X-Attempt-Id: a" in await ask_raw("a")
