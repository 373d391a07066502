"""HTTP client of the platform's store."""

from __future__ import annotations

import asyncio
import base64
import struct
import time
from typing import TYPE_CHECKING
from urllib.parse import urlencode

from persimmondock._adapters.http_exchange import (
    ExchangeError,
    HttpPool,
    HttpResponse,
    render_request,
)
from persimmondock._domain.foreign_data import UNREADABLE, check_text, load_json, show_value
from persimmondock._domain.log_position import MAX_ERA, find_era, find_offset, make_position
from persimmondock._domain.memory_budget import (
    PIECE_BYTES,
    MemoryAccount,
    MemoryBudget,
    compute_spared,
)
from persimmondock._domain.replica import KeyedEntry
from persimmondock._ports.keyed_log import (
    Conflict,
    LogRestored,
    Partition,
    ReadOutcome,
    Records,
    RecordsCompacted,
    StoreFailed,
    WriteOutcome,
    Written,
)

if TYPE_CHECKING:
    from collections.abc import Sequence


CALL_TIMEOUT_S = 1.5  # slow responses take about 0.25 s; only a timeout reveals a dead connection
MAX_READ_KB = 1024
MAX_RESPONSE_BYTES = 8 * 1024 * 1024  # one record may exceed what was asked, and text is longer
MAX_CONNECTIONS = 8
MAX_IDLE_S = 4.0  # the store does not announce when it closes idle connections
EPOCH_JUMP_MS = 10_000  # after a fenced append: passes epochs from before the clock was set back

OPERATOR_PARTITION = Partition("keyed.op")
ERA = "store-era"  # header; rises when the store comes back from an older copy
MEMBERS_PARTITION = Partition("keyed.fleet", 0)
ASSIGNMENTS_PARTITION = Partition("keyed.fleet", 1)


class PlatformStore:
    """Client of the store; one for each daemon.

    Parameters
    ----------
    producer
        Name under which records are appended unconditionally. An append fences earlier ones of the
        same name, so that one whose response was lost cannot take effect after it.
    memory
        Budget for what the store sends.
    """

    def __init__(self, address: str, producer: str, memory: MemoryBudget | None = None) -> None:
        self._address = address
        self._producer = producer
        self._memory = memory if memory is not None else MemoryBudget()
        self._pool = HttpPool(
            address, MAX_CONNECTIONS, memory=self._memory, max_response_bytes=MAX_RESPONSE_BYTES
        )
        self._epoch = int(time.time() * 1000)
        self._era = 0
        self.calls = 0

    async def read_newest(self, partition: Partition) -> Records | StoreFailed:
        """Read the newest record of each key, page by page, as far as memory allows."""
        account = MemoryAccount(self._memory)
        try:
            return await self._read_pages(partition, account)
        finally:
            account.clear()

    async def _read_pages(
        self, partition: Partition, account: MemoryAccount
    ) -> Records | StoreFailed:
        spared = compute_spared(self._memory.limit_bytes, MAX_RESPONSE_BYTES)
        entries: list[KeyedEntry] = []
        after, end, era = "", -1, None
        while True:
            query = {"topic": partition.topic, "part": str(partition.number)}
            if after:
                query["after"] = after
            response = await self._call("GET", "/-/log-newest", query)
            if isinstance(response, StoreFailed):
                return response
            era = self._era if era is None else era
            if era != self._era:
                return StoreFailed(f"pages of eras {era} and {self._era}")
            if response.status == 404:
                return Records((), make_position(era, 0))
            if response.status != 200:
                return _make_failure(response)
            try:
                data = load_json(response.body)
                page = [
                    KeyedEntry(
                        make_position(era, int(item["offset"])),
                        check_text(item["key"]),
                        base64.b64decode(item["value"]),
                    )
                    for item in data["items"]
                ]
                # Records may be written while pages are read. The end of the first page is
                # returned, so that reading from there returns them again.
                end = make_position(era, int(data["end"])) if end < 0 else end
                more = bool(data["has_more"])
            except UNREADABLE as error:
                return StoreFailed(f"unreadable page: {show_value(error)}")
            entries += page
            held_bytes = len(response.body) + PIECE_BYTES * len(page)
            if not account.add(held_bytes, spared):
                return StoreFailed(f"no memory for more than {len(entries)} records")
            if not more or not page:
                return Records(tuple(entries), end)
            after = page[-1].key

    async def read_from(self, partition: Partition, offset: int, wait_s: float) -> ReadOutcome:
        """Read records from an offset on, waiting up to ``wait_s`` seconds for the first one."""
        query = {
            "topic": partition.topic,
            "part": str(partition.number),
            "from": str(find_offset(offset)),
            "max_kb": str(MAX_READ_KB),
        }
        if wait_s:
            query["wait_ms"] = str(int(wait_s * 1000))
        response = await self._call("GET", "/-/log-read", query, wait_s)
        if isinstance(response, StoreFailed):
            return response
        if self._era > find_era(offset):
            # What the partition has at this offset is another record, if it has one at all.
            return LogRestored(self._era)
        if self._era < find_era(offset):
            return StoreFailed(f"era {self._era} is older than {find_era(offset)}")
        if response.status == 410:
            return RecordsCompacted()
        if response.status == 404:
            return Records((), make_position(self._era, 0))
        if response.status != 200:
            return _make_failure(response)
        return decode_records(response.body, offset)

    async def write(
        self, partition: Partition, entries: Sequence[tuple[str, bytes]], expected_end: int | None
    ) -> WriteOutcome:
        """Append records; with ``expected_end`` only if the partition ends there."""
        query = {"topic": partition.topic, "part": str(partition.number)}
        if expected_end is not None:
            if find_era(expected_end) != self._era:
                return Conflict()
            query["at"] = str(find_offset(expected_end))
        else:
            self._epoch = max(self._epoch + 1, int(time.time() * 1000))
            query |= {"producer": self._producer, "epoch": str(self._epoch), "sequence": "0"}
        response = await self._call("POST", "/-/log-append", query, body=encode_records(entries))
        if isinstance(response, StoreFailed):
            return response
        if response.status == 412:
            return Conflict()
        if response.status == 409:
            self._epoch += EPOCH_JUMP_MS
            return StoreFailed(f"fenced: {response.body[:80]!r}")
        if response.status != 200:
            return _make_failure(response)
        try:
            offset = int(load_json(response.body)["offset"])
            return Written(make_position(self._era, offset))
        except UNREADABLE as error:
            return StoreFailed(f"unreadable response to an append: {show_value(error)}")

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        wait_s: float = 0.0,
        body: bytes = b"",
    ) -> HttpResponse | StoreFailed:
        """Make one request; a connection without a complete response is not reused."""
        self.calls += 1
        headers = [("Host", self._address)]
        if body:
            headers.append(("Content-Type", "application/octet-stream"))
        data = render_request(method, f"{path}?{urlencode(query)}", headers, body)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S + wait_s):
                connection = await self._pool.acquire(MAX_IDLE_S)
                try:
                    response = await connection.exchange(data)
                finally:
                    self._pool.release(connection)
        except TimeoutError:
            return StoreFailed("no response within the timeout")
        except ExchangeError as error:
            return StoreFailed(str(error))
        try:
            era = _read_era(response)
        except ValueError as error:
            return StoreFailed(str(error))
        if era < self._era:
            # It was given before the store came back from an older copy.
            return StoreFailed(f"answer of era {era} after one of era {self._era}")
        self._era = era
        return response


def _read_era(response: HttpResponse) -> int:
    """Return the era that a response names; 0 if it names none.

    Raises
    ------
    ValueError
        If it is not a whole number, or too large; the message names the header.
    """
    text = response.find_header(ERA) or "0"
    if not text.isascii() or not text.isdigit() or len(text) > len(str(MAX_ERA)):
        raise ValueError(f"{ERA} must be a whole number up to {MAX_ERA}, not {text[:40]!r}")
    return find_era(make_position(int(text), 0))


def _make_failure(response: HttpResponse) -> StoreFailed:
    return StoreFailed(f"status {response.status}: {response.body[:80]!r}")


def encode_records(entries: Sequence[tuple[str, bytes]]) -> bytes:
    """Return the body of a request that appends records.

    Each record is preceded by its length in 4 bytes. It consists of the length of its key in 1
    byte, the key and the value.

    Raises
    ------
    ValueError
        If a key is longer than 255 bytes.
    """
    parts = []
    for key, value in entries:
        key_bytes = key.encode()
        record = bytes([len(key_bytes)]) + key_bytes + value
        parts.append(struct.pack(">I", len(record)) + record)
    return b"".join(parts)


def decode_records(body: bytes, offset: int) -> ReadOutcome:
    """Decode the response to a read that started at the position ``offset``.

    The body is the end of the partition and its first retained offset, in 8 bytes each, and the
    records in the format of `encode_records`.
    """
    try:
        end_offset, _ = struct.unpack_from(">QQ", body)
        end = make_position(find_era(offset), end_offset)
        entries: list[KeyedEntry] = []
        position = 16
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            record = body[position + 4 : position + 4 + length]
            if len(record) < length or not record:
                return StoreFailed(f"a record of {length} bytes is truncated")
            key_end = 1 + record[0]
            key = record[1:key_end].decode("utf-8", "replace")
            entries.append(KeyedEntry(offset + len(entries), key, record[key_end:]))
            position += 4 + length
    except (struct.error, ValueError) as error:
        return StoreFailed(f"unreadable records: {error}")
    next_offset = offset + len(entries)
    if next_offset > end:
        # An answer to an earlier read: its records would get wrong offsets, and its end is not the
        # newest one.
        return StoreFailed(f"records up to offset {next_offset} of a partition that ends at {end}")
    return Records(tuple(entries), next_offset, next_offset >= end)
