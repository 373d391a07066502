"""A stand-in for the platform's append-only log, kept in memory.

The control route ``POST /control`` takes a JSON object with the fields of ``LogFaults`` to change.
"""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
import msgpack
from aiohttp import web

MAX_WAIT_MS = 30_000
MAX_APPEND_BYTES = 64 * 1024 * 1024


@attrs.define
class LogFaults:
    """Faults that are switched on.

    Parameters
    ----------
    outage
        Answer nothing but status 503.
    delay_ms
        Time by which every answer is late.
    lose_answers
        Number of appends that take effect and whose answer is then lost.
    retention
        Number of newest records that are kept; 0 keeps all.
    """

    outage: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    retention: int = 0


class LogStandin:
    """An append-only log with fault switches."""

    def __init__(self) -> None:
        self.faults = LogFaults()
        self.appends = 0
        self._records: list[bytes] = []
        self._earliest = 0
        self._grown = asyncio.Condition()

    def build_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=MAX_APPEND_BYTES)
        application.router.add_post("/v1/records", self._append)
        application.router.add_get("/v1/records", self._read)
        application.router.add_post("/control", self._control)
        application.router.add_get("/control", self._report)
        return application

    @property
    def end(self) -> int:
        """Offset after the newest record."""
        return self._earliest + len(self._records)

    async def _append(self, request: web.Request) -> web.Response:
        payloads = msgpack.unpackb(await request.read())
        await self._pass_faults()
        offset = self.end
        self.appends += 1
        self._records.extend(payloads)
        self._drop_expired()
        async with self._grown:
            self._grown.notify_all()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            assert request.transport is not None
            request.transport.abort()
        return _answer({"offset": offset})

    async def _read(self, request: web.Request) -> web.Response:
        start = int(request.query["from"])
        limit = int(request.query["limit"])
        wait = min(int(request.query.get("wait_ms", "0")), MAX_WAIT_MS) / 1000
        await self._pass_faults()
        if start < self._earliest:
            return _answer({"earliest": self._earliest}, status=410)
        if start >= self.end and wait > 0:
            await self._wait_for_growth(start, wait)
            await self._pass_faults()
        first = max(start, self._earliest)
        payloads = self._records[first - self._earliest :][:limit]
        entries = [[first + index, payload] for index, payload in enumerate(payloads)]
        return _answer(
            {
                "entries": entries,
                "following": first + len(entries),
                "earliest": self._earliest,
                "end": self.end,
            }
        )

    async def _wait_for_growth(self, start: int, wait: float) -> None:
        async with self._grown:
            try:
                await asyncio.wait_for(
                    self._grown.wait_for(lambda: self.end > start or self.faults.outage), wait
                )
            except TimeoutError:
                return

    async def _pass_faults(self) -> None:
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.outage:
            raise web.HTTPServiceUnavailable(text="outage")

    def _drop_expired(self) -> None:
        excess = len(self._records) - self.faults.retention
        if self.faults.retention and excess > 0:
            del self._records[:excess]
            self._earliest += excess

    async def _control(self, request: web.Request) -> web.Response:
        changes: dict[str, Any] = await request.json()
        self.faults = attrs.evolve(self.faults, **changes)
        self._drop_expired()
        async with self._grown:
            self._grown.notify_all()
        return await self._report(request)

    async def _report(self, _: web.Request) -> web.Response:
        status = {"appends": self.appends, "earliest": self._earliest, "end": self.end}
        return web.json_response({**attrs.asdict(self.faults), **status})


def _answer(data: dict[str, Any], status: int = 200) -> web.Response:
    return web.Response(body=msgpack.packb(data), status=status)
