"""Messages of HTTP/1.1 that do not end, as faulty servers and clients send them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

POLL_INTERVAL_S = 0.001
MAX_BUFFERED_BYTES = 524_288
ZEROS = b"0" * 262_144
FIELDS = b"X-A: b\r\n" * 32_768
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"

# What follows the first fields of a message, and what is repeated after it. In a request, "eof" is
# no body; interim answers precede a message.
ENDLESS_FORMS = {
    "eof": (b"\r\n", ZEROS),
    "length": (b"Content-Length: 900000000000\r\n\r\n", ZEROS),
    "chunks": (CHUNKED, b"1\r\n0\r\n" * 43_690),
    "headers": (b"", FIELDS),
    "trailers": (CHUNKED + b"0\r\n", FIELDS),
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 9_000),
}
ORDERS = ("/-/grant", "/-/release")
ENDLESS_PLACES = ("request", "order", "health")


@attrs.frozen
class EndlessAnswers:
    """Which answers do not end, and how.

    Parameters
    ----------
    form
        One of ``ENDLESS_FORMS``.
    place
        One of ``ENDLESS_PLACES``: answers to requests, to grants and releases, or to health checks.
    """

    form: str
    place: str

    def concerns(self, path: str) -> bool:
        """Return whether the answer to a request of a path does not end."""
        is_order, is_health = path in ORDERS, path == "/health"
        match self.place:
            case "order":
                return is_order
            case "health":
                return is_health
        return not is_order and not is_health


async def pour_message(
    transport: asyncio.WriteTransport, form: str, start: bytes, is_due: Callable[[], bool]
) -> None:
    """Write a message as fast as it is read, until it is not due or the connection closes.

    Parameters
    ----------
    form
        One of ``ENDLESS_FORMS``.
    start
        First line and first fields.
    """
    rest, repeated = ENDLESS_FORMS[form]
    transport.write(repeated if form == "interim" else start + rest)
    while is_due() and not transport.is_closing():
        has_room = transport.get_write_buffer_size() < MAX_BUFFERED_BYTES
        if has_room:
            transport.write(repeated)
        await asyncio.sleep(0 if has_room else POLL_INTERVAL_S)
