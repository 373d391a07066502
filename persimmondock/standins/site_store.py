"""A stand-in for the store of a site, kept in memory.

It implements the platform's protocol as its client uses it: conditional appends, fencing of
producers, long-polling reads, and reads of the newest record of each key. A record with an empty
value deletes its key. It can come back from an older copy of itself, and gives out the offsets of
the records that it lost again.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import struct
from collections import defaultdict
from typing import TypeAlias

import attrs
from aiohttp import web

PAGE_SIZE = 500
MAX_BODY_BYTES = 2 * 1024 * 1024
OPERATOR_PARTITION = ("keyed.op", 0)


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
        self.release_waiting_reads()
        return offset

    def release_waiting_reads(self) -> None:
        """Have waiting reads look again."""
        self.record_appended.set()
        self.record_appended = asyncio.Event()

    def copy(self) -> _Partition:
        """Return a copy, which nobody waits for."""
        return _Partition(list(self.records), self.first, dict(self.epochs))


StoreCopy: TypeAlias = dict[tuple[str, int], _Partition]


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
    """The store of one site.

    Attributes
    ----------
    era
        Number of times that it came back from an older copy; all answers name it.
    """

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.calls = 0
        self.era = 0
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
            partition.release_waiting_reads()

    def take_copy(self) -> StoreCopy:
        """Return a copy of all partitions."""
        return {name: partition.copy() for name, partition in self._partitions.items()}

    def restore(
        self, copy: StoreCopy, keeps_order: bool = False, writes_again: bool = True
    ) -> None:
        """Come back from a copy.

        Parameters
        ----------
        keeps_order
            Whether operators write all of their lost records in the old order, or else only the
            newest of each key.
        writes_again
            Whether they do so at once.
        """
        lost = self._partitions[OPERATOR_PARTITION].records
        former = list(self._partitions.values())
        self._partitions.clear()
        self._partitions.update({name: partition.copy() for name, partition in copy.items()})
        self.era += 1
        operator = self._partitions[OPERATOR_PARTITION]
        again = lost[len(operator.records) :]
        if not keeps_order:
            again = list({_split_payload(payload)[0]: payload for payload in again}.values())
        if again and writes_again:
            operator.append(again)
        for partition in former:
            partition.release_waiting_reads()

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler) -> web.StreamResponse:  # type: ignore[no-untyped-def]
        self.calls += 1
        if self.faults.down or request.remote in self.faults.refused:
            return web.Response(status=503, headers={"Store-Era": str(self.era)})
        era = self.era
        response: web.StreamResponse = await handler(request)
        # An answer that was composed before the store came back names the former era.
        response.headers.setdefault("Store-Era", str(era))
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
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        if start == partition.end and wait_s:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await partition.record_appended.wait()
        partition, era = self._get_partition(request), {"Store-Era": str(self.era)}
        if not partition.first <= start <= partition.end:
            return web.json_response({"first": partition.first}, status=410, headers=era)
        body = struct.pack(">QQ", partition.end, partition.first)
        for payload in partition.records[start - partition.first :]:
            body += struct.pack(">I", len(payload)) + payload
        return web.Response(body=body, headers=era)

    async def _newest(self, request: web.Request) -> web.Response:
        partition = self._get_partition(request)
        newest: dict[str, tuple[int, bytes]] = {}
        for number, payload in enumerate(partition.records):
            key, value = _split_payload(payload)
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


def _split_payload(payload: bytes) -> tuple[str, bytes]:
    length = payload[0]
    return payload[1 : 1 + length].decode(), payload[1 + length :]


def _split_payloads(body: bytes) -> list[bytes]:
    payloads, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        payloads.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return payloads
