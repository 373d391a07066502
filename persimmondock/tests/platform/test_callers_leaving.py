"""Callers that leave: their requests end at the backend server, over two daemons, within ms."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from persimmondock._adapters.clock import read_clock
from persimmondock.tests.live_site import HOST, LiveNode, LiveSite, make_config, run_site

WORK_S = 3.0
FREE_WITHIN_S = 0.05
IDEMPOTENT = {"route_type": "safe"}


def make_request(attempt: str) -> bytes:
    """Return a request to the plain service."""
    return (
        f"GET /assign/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
        "X-Timeout-Ms: 2000\r\n\r\n"
    ).encode()


async def open_connection(node: LiveNode) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to a daemon as a caller."""
    host, _, port = node.settings.caller_address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def wait_until(condition: Callable[[], bool], within_s: float) -> float:
    """Wait for a condition; return the seconds it took."""
    started = read_clock()
    while not condition():
        assert read_clock() < started + within_s, "not within the time"
        await asyncio.sleep(0.002)
    return read_clock() - started


def list_servers(site: LiveSite) -> list[LiveNode]:
    """Return the VMs of the plain service."""
    return [node for node in site.nodes if node.settings.service == "recepcao"]


def count_running(site: LiveSite) -> int:
    """Return the number of requests that hold a slot of the plain service."""
    return sum(len(node.daemon.sidecar.gate.pool.running) for node in list_servers(site))


def count_waiting(site: LiveSite) -> int:
    """Return the number of requests that wait for a slot of the plain service."""
    return sum(node.daemon.sidecar.gate.pool.waiting for node in list_servers(site))


def slow_down(site: LiveSite) -> None:
    """Let all work at the plain service take long."""
    for node in list_servers(site):
        node.backend.work_s = WORK_S


@pytest.mark.parametrize("route_type", ["safe", "unsafe"])
async def test_a_caller_that_leaves_frees_its_slot_at_another_daemon(route_type: str) -> None:
    async with run_site(make_config(route_type=route_type)) as site:
        slow_down(site)
        _, writer = await open_connection(site.nodes[0])
        writer.write(make_request("left"))
        await wait_until(lambda: count_running(site) == 1, 1.0)
        writer.transport.abort()
        await wait_until(lambda: count_running(site) == 0, FREE_WITHIN_S)
        servers = list_servers(site)
        await wait_until(lambda: sum(node.backend.cancelled for node in servers) == 1, 0.3)


async def test_a_caller_that_leaves_a_queue_is_never_run() -> None:
    async with run_site(make_config(**IDEMPOTENT)) as site:
        slow_down(site)
        slots = sum(node.backend.slots for node in list_servers(site))
        writers: list[asyncio.StreamWriter] = []
        while count_running(site) < slots:
            # A front may choose a gate that is full while the other one has a free slot.
            assert len(writers) < 4 * slots
            _, writer = await open_connection(site.nodes[0])
            writer.write(make_request(f"runs-{len(writers)}"))
            writers.append(writer)
            await asyncio.sleep(0.01)
        for node in list_servers(site):
            node.daemon.sidecar.gate.pool.service_times.record("r-assign", 0.01)
        waiting = count_waiting(site)
        _, leaving = await open_connection(site.nodes[1])
        leaving.write(make_request("left"))
        await wait_until(lambda: count_waiting(site) == waiting + 1, 1.0)
        leaving.transport.abort()
        await wait_until(lambda: count_waiting(site) == waiting, FREE_WITHIN_S)
        for writer in writers:
            writer.transport.abort()
        await wait_until(lambda: count_running(site) == 0, FREE_WITHIN_S)
        await asyncio.sleep(0.1)
        runs = [run.attempt for node in list_servers(site) for run in node.backend.runs]
        assert "left" not in runs


async def test_a_caller_that_leaves_ends_all_requests_of_its_connection() -> None:
    """Several requests of one connection run, and others wait for their turn."""
    async with run_site(make_config(**IDEMPOTENT)) as site:
        slow_down(site)
        _, writer = await open_connection(site.nodes[0])
        writer.write(b"".join(make_request(f"p-{number}") for number in range(10)))
        await wait_until(lambda: count_running(site) == 8, 1.0)
        writer.transport.abort()
        await wait_until(lambda: count_running(site) + count_waiting(site) == 0, FREE_WITHIN_S)
        await asyncio.sleep(0.1)
        runs = [run for node in list_servers(site) for run in node.backend.runs]
        assert sum(run.attempt.startswith("p-") for run in runs) == 8


async def test_pipelined_requests_run_side_by_side_over_two_daemons() -> None:
    """Eight lookups of 0.2 s take about as long as one."""
    async with run_site(make_config(**IDEMPOTENT)) as site:
        for node in list_servers(site):
            node.backend.work_s = 0.2
        reader, writer = await open_connection(site.nodes[0])
        started = read_clock()
        writer.write(b"".join(make_request(f"p-{number}") for number in range(8)))
        for number in range(8):
            async with asyncio.timeout(3.0):
                head = await reader.readuntil(b"\r\n\r\n")
                body = f"answer to p-{number}".encode()
                assert head.startswith(b"HTTP/1.1 200")
                assert await reader.readexactly(len(body)) == body
        assert read_clock() - started < 4 * 0.2
        writer.close()
