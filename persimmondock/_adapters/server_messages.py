"""Requests and responses of the HTTP server, and the limits on them."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.pipeline import PipelineLimits

if TYPE_CHECKING:
    from persimmondock._ports.answer_body import AnswerBody

NO_BODY_STATUSES = frozenset({204, 304})
REASONS = {status.value: status.phrase for status in HTTPStatus}


@attrs.frozen
class ServerLimits:
    """Limits on what a client may send and how long it may take.

    Parameters
    ----------
    header_bytes, body_bytes
        Size of the header and of the body of a request. Trailers may be as long as a header.
    header_timeout_s
        Seconds from the first byte of a request to the end of its header.
    idle_timeout_s
        Seconds without any byte from the client, or without the client reading, after which the
        connection is closed unless a request is running.
    body_timeout_s
        Seconds from the end of the header of a request to the end of its body.
    provisional
        Whether larger requests may be allowed soon, so that they are refused with 503.
    pipeline
        Bounds on requests that a client sends before earlier ones are answered.
    """

    header_bytes: int = 64 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0
    body_timeout_s: float = 30.0
    provisional: bool = False
    pipeline: PipelineLimits = attrs.field(factory=PipelineLimits)


@attrs.frozen
class ServerRequest:
    """A complete request.

    Parameters
    ----------
    received_at
        Time at which the first byte of the request arrived, by `read_clock`.
    follows_response
        Whether a response that was not streamed was sent on the connection before that.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    received_at: float = attrs.field(factory=read_clock)
    follows_response: bool = False

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    def find_header(self, name: str) -> str | None:
        """Return the first value of a header, given by its lower-case name, or None."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


@attrs.frozen
class ServerResponse:
    """A response; the server adds the fields that concern the connection.

    Parameters
    ----------
    close
        Whether the connection ends after this response and those to requests that have begun.
    stream
        The body, if it is sent in pieces; `body` is not used then. The server closes it, and cuts
        the connection if the pieces do not add up to its length.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    close: bool = False
    stream: AnswerBody | None = None


NO_REQUEST = ServerRequest("GET", "", (), b"", 0.0)  # in place of one that cannot be read
NO_ROOM = ServerResponse(503, (("Retry-After", "0.500"),), close=True)


def render_response(method: str, response: ServerResponse, keep_alive: bool) -> bytes:
    """Return the header of a response, with its body unless that is sent in pieces."""
    lines = [f"HTTP/1.1 {response.status} {REASONS.get(response.status, '')}"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    if response.status not in NO_BODY_STATUSES:
        length = len(response.body) if response.stream is None else response.stream.length
        lines.append(f"Content-Length: {length}")
    if not keep_alive:
        lines.append("Connection: close")
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    is_whole = response.stream is None and has_body(method, response.status)
    return head + response.body if is_whole else head


def has_body(method: str, status: int) -> bool:
    """Return whether a response with this status to this method has a body."""
    return method != "HEAD" and status not in NO_BODY_STATUSES
