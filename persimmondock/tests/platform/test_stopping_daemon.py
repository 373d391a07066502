"""Requests on open connections to a daemon that stops, with whole daemons and sockets."""

from __future__ import annotations

import asyncio
import re

import attrs
import pytest

from persimmondock._adapters.clock import read_clock
from persimmondock.tests.live_site import HOST, LiveNode, LiveSite, make_config, run_site

STOP_S = 6.0
LONG_S = 1.5
STATUS = re.compile(rb"HTTP/1\.1 (\d+) ")


def render_head(path: str, attempt: str, body_bytes: int = 0, timeout_ms: int = 10_000) -> bytes:
    """Return the head of a request."""
    method = "POST" if path.startswith("/assign/") else "GET"
    fields = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Timeout-Ms": str(timeout_ms),
        "X-Shard-Key": "7",
        "Content-Length": str(body_bytes),
    }
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode()


@attrs.define
class Caller:
    """A caller's connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def connect(cls, node: LiveNode) -> Caller:
        """Connect to a daemon."""
        host, _, port = node.settings.caller_address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def read_statuses(self) -> list[int]:
        """Return the statuses of all answers until the connection is closed."""
        async with asyncio.timeout(2 * STOP_S):
            data = await self.reader.read()
        self.writer.close()
        return [int(status) for status in STATUS.findall(data)]


def list_attempts(site: LiveSite) -> list[str]:
    """Return the attempts that backend servers ran, in the order of their start."""
    runs = [run for node in site.nodes for run in node.backend.runs]
    return [run.attempt for run in sorted(runs, key=lambda run: run.at)]


@pytest.mark.parametrize("path", ["/assign/1", "/view/1"], ids=["unsafe", "safe"])
async def test_a_request_that_arrives_slowly_is_not_begun_too_late(path: str) -> None:
    """Guards against a late request on an open connection that is cut while it runs (issue 37)."""
    config = make_config(timeout_s=12.0)
    config["virtual_hosts"][0]["paths"][0]["timeout_s"] = 12.0
    async with run_site(config) as site:
        leaving = site.nodes[2]
        for node in site.nodes:
            node.backend.work_s = LONG_S
        for _ in range(2):
            assert (await site.ask(leaving, path, key=7, timeout_ms=8_000))[0] == 200
        caller = await Caller.connect(leaving)
        caller.writer.write(render_head(path, "late", body_bytes=4) + b"bo")
        await asyncio.sleep(0.1)
        leaving.daemon.sidecar.stopping.set()
        started_at = read_clock()
        stopped = asyncio.create_task(leaving.daemon.stop())
        await asyncio.sleep(4.2)
        caller.writer.write(b"dy")
        statuses = await caller.read_statuses()
        answered_s = read_clock() - started_at
        await stopped
        assert statuses == [503]
        assert "late" not in list_attempts(site)
        assert answered_s < STOP_S - LONG_S + 0.3


async def test_what_waits_behind_a_running_request_is_answered_in_a_stop() -> None:
    """Guards against requests that a stopping daemon has read and closes without an answer."""
    async with run_site(make_config(timeout_s=12.0)) as site:
        leaving = site.nodes[0]
        for node in site.nodes:
            node.backend.work_s = 0.5
        caller = await Caller.connect(leaving)
        attempts = ["first", "second", "third"]
        caller.writer.write(b"".join(render_head("/assign/1", attempt) for attempt in attempts))
        await asyncio.sleep(0.2)
        leaving.daemon.sidecar.stopping.set()
        stopped = asyncio.create_task(leaving.daemon.stop())
        assert await caller.read_statuses() == [200, 200, 200]
        assert [a for a in list_attempts(site) if a in attempts] == attempts
        await stopped


async def test_a_kept_connection_closes_with_its_next_answer_in_a_stop() -> None:
    async with run_site(make_config(timeout_s=12.0)) as site:
        leaving = site.nodes[0]
        caller = await Caller.connect(leaving)
        leaving.daemon.sidecar.stopping.set()
        stopped = asyncio.create_task(leaving.daemon.stop())
        await asyncio.sleep(0.5)
        caller.writer.write(render_head("/assign/1", "next"))
        started_at = read_clock()
        assert await caller.read_statuses() == [200]
        assert read_clock() - started_at < 1.0
        await stopped
