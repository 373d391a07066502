"""A stand-in for the platform's append-only log, kept in memory.

``POST /control`` takes a JSON object with the fields of ``LogFaults`` to change.
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
    """Faults to inject.

    Parameters
    ----------
    outage
        Answer all requests for records with status 503.
    delay_ms
        Delay of each request for records, in milliseconds.
    lose_answers
        Number of coming appends that take effect but get no answer: the connection is aborted.
    retention
        Number of newest records that are kept; 0 keeps all.
    """

    outage: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    retention: int = 0


class LogStandin:
    """An append-only log with injectable faults."""

    def __init__(self) -> None:
        self.faults = LogFaults()
        self.appends = 0
        self._records: list[bytes] = []
        self._earliest = 0
        self._record_appended = asyncio.Condition()

    def build_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=MAX_APPEND_BYTES)
        application.router.add_post("/v1/records", self._append)
        application.router.add_get("/v1/records", self._read)
        application.router.add_post("/control", self._control)
        application.router.add_get("/control", self._show_status)
        return application

    @property
    def end(self) -> int:
        """Offset after the newest record."""
        return self._earliest + len(self._records)

    async def _append(self, request: web.Request) -> web.Response:
        payloads = msgpack.unpackb(await request.read())
        await self._apply_faults()
        offset = self.end
        self.appends += 1
        self._records.extend(payloads)
        self._drop_expired()
        async with self._record_appended:
            self._record_appended.notify_all()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            assert request.transport is not None
            request.transport.abort()
        return _build_response({"offset": offset})

    async def _read(self, request: web.Request) -> web.Response:
        start = int(request.query["from"])
        limit = int(request.query["limit"])
        wait_s = min(int(request.query.get("wait_ms", "0")), MAX_WAIT_MS) / 1000
        await self._apply_faults()
        if start < self._earliest:
            return _build_response({"earliest": self._earliest}, status=410)
        if start >= self.end and wait_s > 0:
            await self._wait_for_growth(start, wait_s)
            await self._apply_faults()
        first = max(start, self._earliest)
        payloads = self._records[first - self._earliest :][:limit]
        entries = [[first + index, payload] for index, payload in enumerate(payloads)]
        return _build_response(
            {
                "entries": entries,
                "following": first + len(entries),
                "earliest": self._earliest,
                "end": self.end,
            }
        )

    async def _wait_for_growth(self, start: int, wait_s: float) -> None:
        async with self._record_appended:
            try:
                await asyncio.wait_for(
                    self._record_appended.wait_for(lambda: self.end > start or self.faults.outage),
                    wait_s,
                )
            except TimeoutError:
                return

    async def _apply_faults(self) -> None:
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
        async with self._record_appended:
            self._record_appended.notify_all()
        return await self._show_status(request)

    async def _show_status(self, _: web.Request) -> web.Response:
        status = {"appends": self.appends, "earliest": self._earliest, "end": self.end}
        return web.json_response({**attrs.asdict(self.faults), **status})


def _build_response(data: dict[str, Any], status: int = 200) -> web.Response:
    return web.Response(body=msgpack.packb(data), status=status)
