"""HTTP client of the log service.

``POST /v1/records`` takes a msgpack list of byte strings and returns ``{"offset": n}``.
``GET /v1/records?from=N&limit=N&wait_ms=N`` returns a msgpack map with ``entries``, ``following``,
``earliest`` and ``end``, or status 410 with ``earliest`` if the records are no longer retained.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import aiohttp
import msgpack

from persimmondock._domain.foreign_data import UNREADABLE, show_value
from persimmondock._ports.log import (
    Appended,
    AppendOutcome,
    AppendRefused,
    AppendUnknown,
    Batch,
    Entry,
    Expired,
    ReadFailed,
    ReadOutcome,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

REQUEST_TIMEOUT_S = 2.0
MAX_BATCH_BYTES = 64 * 1024 * 1024
MAX_REPLY_BYTES = 64 * 1024  # to an append


class _TooLargeError(Exception):
    """A response that is larger than allowed."""


class HttpLog:
    """Client of one log service."""

    def __init__(self, address: str, session: aiohttp.ClientSession) -> None:
        self._url = f"http://{address}/v1/records"
        self._session = session

    async def append(self, payloads: Sequence[bytes]) -> AppendOutcome:
        """Append records atomically and in order."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        body = msgpack.packb(list(payloads))
        try:
            async with self._session.post(self._url, data=body, timeout=timeout) as response:
                data = await _read_body(response, MAX_REPLY_BYTES)
        except aiohttp.ClientConnectorError as error:
            return AppendRefused(str(error))
        except (TimeoutError, aiohttp.ClientError, _TooLargeError) as error:
            return AppendUnknown(repr(error))
        if response.status != 200:
            return AppendRefused(f"status {response.status}")
        try:
            return Appended(int(msgpack.unpackb(data)["offset"]))
        except UNREADABLE as error:
            return AppendUnknown(f"unreadable response: {show_value(error)}")

    async def read(self, start: int, limit: int, wait: float) -> ReadOutcome:
        """Read up to ``limit`` records from ``start``; wait up to ``wait`` seconds for one.

        Fewer are read if so many are larger than `MAX_BATCH_BYTES`.
        """
        while True:
            try:
                return await self._read(start, limit, wait)
            except _TooLargeError as error:
                if limit <= 1:
                    return ReadFailed(repr(error))
                limit //= 2

    async def _read(self, start: int, limit: int, wait: float) -> ReadOutcome:
        query = {"from": str(start), "limit": str(limit), "wait_ms": str(int(wait * 1000))}
        timeout = aiohttp.ClientTimeout(total=wait + REQUEST_TIMEOUT_S)
        try:
            async with self._session.get(self._url, params=query, timeout=timeout) as response:
                data = await _read_body(response, MAX_BATCH_BYTES)
        except (TimeoutError, aiohttp.ClientError) as error:
            return ReadFailed(repr(error))
        try:
            if response.status == 410:
                return Expired(int(msgpack.unpackb(data)["earliest"]))
            if response.status != 200:
                return ReadFailed(f"status {response.status}")
            return _build_batch(msgpack.unpackb(data))
        except UNREADABLE as error:
            return ReadFailed(f"unreadable response: {show_value(error)}")


async def _read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the body of a response; one that is too large is not read to its end.

    Raises
    ------
    _TooLargeError
        If it is larger than ``max_bytes``.
    """
    body = bytearray()
    if (response.content_length or 0) <= max_bytes:
        async for data in response.content.iter_any():
            body += data
            if len(body) > max_bytes:
                break
        else:
            return bytes(body)
    response.close()
    raise _TooLargeError(f"a response of more than {max_bytes} bytes")


def _build_batch(data: dict[str, Any]) -> Batch:
    return Batch(
        entries=tuple(Entry(int(offset), payload) for offset, payload in data["entries"]),
        following=int(data["following"]),
        earliest=int(data["earliest"]),
        end=int(data["end"]),
    )
