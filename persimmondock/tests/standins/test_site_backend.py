"""Tests of the stand-in for a backend server of a site."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest

from persimmondock.standins.site_backend import SHUTDOWN_TIMEOUT_S, SiteBackend
from persimmondock.tests.builders import NETWORK

ADDRESS, DAEMON_ADDRESS = f"{NETWORK}160:8301", f"{NETWORK}160:8306"


@contextlib.asynccontextmanager
async def run_backend(**options: Any) -> AsyncIterator[SiteBackend]:
    """Yield a backend server that has started."""
    backend = SiteBackend("painel", ADDRESS, DAEMON_ADDRESS, "recife", **options)
    await backend.start()
    try:
        yield backend
    finally:
        await backend.stop()


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
