"""A stand-in for the store of a site, kept in memory.

It speaks the platform's words, as the adapter does: conditional appends, fenced writers, waiting
reads, and the newest record of each key.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import struct
from collections import defaultdict

import attrs
from aiohttp import web

PAGE = 500
MAX_BODY_BYTES = 2 * 1024 * 1024


@attrs.define
class _Partition:
    records: list[bytes] = attrs.field(factory=list)
    first: int = 0
    epochs: dict[str, int] = attrs.field(factory=dict)
    grown: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def append(self, contents: list[bytes]) -> int:
        offset = self.end
        self.records += contents
        self.grown.set()
        self.grown = asyncio.Event()
        return offset


@attrs.define
class StoreFaults:
    """Faults that are switched on.

    Parameters
    ----------
    refused
        Addresses of callers that get nothing but status 503.
    down
        Whether nobody is answered.
    lose_appends
        Number of appends to come that take effect and get no answer.
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
        application = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[self._refuse])
        application.router.add_post("/-/log-append", self._append)
        application.router.add_get("/-/log-read", self._read)
        application.router.add_get("/-/log-newest", self._newest)
        return application

    def write(self, topic: str, key: str, value: bytes, part: int = 0) -> int:
        """Write a record as the operators do."""
        return self._partitions[(topic, part)].append([_encode(key, value)])

    def cut_waiting(self) -> None:
        """Answer all waiting reads with what there is, so that new faults reach their callers."""
        for partition in self._partitions.values():
            partition.grown.set()
            partition.grown = asyncio.Event()

    @web.middleware
    async def _refuse(self, request: web.Request, handler) -> web.StreamResponse:  # type: ignore[no-untyped-def]
        self.calls += 1
        if self.faults.down or request.remote in self.faults.refused:
            return web.Response(status=503)
        response: web.StreamResponse = await handler(request)
        return response

    def _find(self, request: web.Request) -> _Partition:
        return self._partitions[(request.query["topic"], int(request.query["part"]))]

    async def _append(self, request: web.Request) -> web.Response:
        partition = self._find(request)
        contents = _split(await request.read())
        query = request.query
        if "at" in query and int(query["at"]) != partition.end:
            return web.json_response({"end": partition.end}, status=412)
        if "producer" in query:
            epoch = int(query["epoch"])
            if epoch < partition.epochs.get(query["producer"], 0):
                return web.json_response({"why": "fenced"}, status=409)
            partition.epochs[query["producer"]] = epoch
        offset = partition.append(contents)
        if self.faults.lose_appends > 0:
            self.faults.lose_appends -= 1
            await asyncio.sleep(60.0)
        return web.json_response({"offset": offset, "end": partition.end})

    async def _read(self, request: web.Request) -> web.Response:
        partition = self._find(request)
        start = int(request.query["from"])
        if start < partition.first:
            return web.json_response({"first": partition.first}, status=410)
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        if start >= partition.end and wait_s:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await partition.grown.wait()
        body = struct.pack(">QQ", partition.end, partition.first)
        for content in partition.records[start - partition.first :]:
            body += struct.pack(">I", len(content)) + content
        return web.Response(body=body)

    async def _newest(self, request: web.Request) -> web.Response:
        partition = self._find(request)
        newest: dict[str, tuple[int, bytes]] = {}
        for number, content in enumerate(partition.records):
            length = content[0]
            key, value = content[1 : 1 + length].decode(), content[1 + length :]
            newest[key] = (partition.first + number, value)
        after = request.query.get("after", "")
        keys = sorted(key for key, (_, value) in newest.items() if value and key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:PAGE]
        ]
        more = len(keys) > PAGE
        return web.json_response({"items": items, "has_more": more, "end": partition.end})


def _encode(key: str, value: bytes) -> bytes:
    name = key.encode()
    return bytes([len(name)]) + name + value


def _split(body: bytes) -> list[bytes]:
    contents, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        contents.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return contents
