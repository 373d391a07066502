"""A stand-in for the store of a site, kept in memory.

It implements the platform's protocol as its client uses it: conditional appends, fencing of
producers, long-polling reads, and reads of the newest record of each key. A record with an empty
value deletes its key.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import struct
from collections import defaultdict

import attrs
from aiohttp import web

PAGE_SIZE = 500
MAX_BODY_BYTES = 2 * 1024 * 1024


@attrs.define
class _Partition:
    records: list[bytes] = attrs.field(factory=list)
    first: int = 0
    epochs: dict[str, int] = attrs.field(factory=dict)
    record_appended: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def append(self, payloads: list[bytes]) -> int:
        offset = self.end
        self.records += payloads
        self.record_appended.set()
        self.record_appended = asyncio.Event()
        return offset


@attrs.define
class StoreFaults:
    """Faults to inject.

    Parameters
    ----------
    refused
        IP addresses of clients whose requests get status 503.
    down
        Whether all requests get status 503.
    lose_appends
        Number of coming appends that take effect but are answered only after 60 seconds.
    """

    refused: set[str] = attrs.field(factory=set)
    down: bool = False
    lose_appends: int = 0


class SiteStore:
    """The store of one site."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.calls = 0
        self._partitions: dict[tuple[str, int], _Partition] = defaultdict(_Partition)

    def build_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._apply_faults]
        )
        application.router.add_post("/-/log-append", self._append)
        application.router.add_get("/-/log-read", self._read)
        application.router.add_get("/-/log-newest", self._newest)
        return application

    def write(self, topic: str, key: str, value: bytes, part: int = 0) -> int:
        """Append a record as operators do, without conditions; return its offset."""
        return self._partitions[(topic, part)].append([_encode_payload(key, value)])

    def release_waiting_reads(self) -> None:
        """Answer all waiting reads at once, so that new faults reach their clients."""
        for partition in self._partitions.values():
            partition.record_appended.set()
            partition.record_appended = asyncio.Event()

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler) -> web.StreamResponse:  # type: ignore[no-untyped-def]
        self.calls += 1
        if self.faults.down or request.remote in self.faults.refused:
            return web.Response(status=503)
        response: web.StreamResponse = await handler(request)
        return response

    def _get_partition(self, request: web.Request) -> _Partition:
        return self._partitions[(request.query["topic"], int(request.query["part"]))]

    async def _append(self, request: web.Request) -> web.Response:
        partition = self._get_partition(request)
        payloads = _split_payloads(await request.read())
        query = request.query
        if "at" in query and int(query["at"]) != partition.end:
            return web.json_response({"end": partition.end}, status=412)
        if "producer" in query:
            epoch = int(query["epoch"])
            if epoch < partition.epochs.get(query["producer"], 0):
                return web.json_response({"why": "fenced"}, status=409)
            partition.epochs[query["producer"]] = epoch
        offset = partition.append(payloads)
        if self.faults.lose_appends > 0:
            self.faults.lose_appends -= 1
            await asyncio.sleep(60.0)
        return web.json_response({"offset": offset, "end": partition.end})

    async def _read(self, request: web.Request) -> web.Response:
        partition = self._get_partition(request)
        start = int(request.query["from"])
        if start < partition.first:
            return web.json_response({"first": partition.first}, status=410)
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        if start >= partition.end and wait_s:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await partition.record_appended.wait()
        body = struct.pack(">QQ", partition.end, partition.first)
        for payload in partition.records[start - partition.first :]:
            body += struct.pack(">I", len(payload)) + payload
        return web.Response(body=body)

    async def _newest(self, request: web.Request) -> web.Response:
        partition = self._get_partition(request)
        newest: dict[str, tuple[int, bytes]] = {}
        for number, payload in enumerate(partition.records):
            length = payload[0]
            key, value = payload[1 : 1 + length].decode(), payload[1 + length :]
            newest[key] = (partition.first + number, value)
        after = request.query.get("after", "")
        keys = sorted(key for key, (_, value) in newest.items() if value and key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:PAGE_SIZE]
        ]
        more = len(keys) > PAGE_SIZE
        return web.json_response({"items": items, "has_more": more, "end": partition.end})


def _encode_payload(key: str, value: bytes) -> bytes:
    name = key.encode()
    return bytes([len(name)]) + name + value


def _split_payloads(body: bytes) -> list[bytes]:
    payloads, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        payloads.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return payloads
