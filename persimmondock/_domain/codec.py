"""Encoding of messages between daemons.

Each message is a msgpack array whose first item is its `MessageFormat`. For speed, the messages of
forwarded requests (calls, replies and cancellations) and of lease renewals (most of the traffic of
an idle daemon) are encoded as arrays of their fields. All other messages are converted by cattrs.
Text that is not UTF-8, which HTTP header fields may hold, keeps its bytes.
"""

from __future__ import annotations

import enum
import operator
from collections.abc import Sequence
from typing import Any, get_type_hints

import attrs
import msgpack
from cattrs.preconf.msgpack import make_converter
from cattrs.strategies import configure_tagged_union

from persimmondock._domain.messages import (
    Call,
    Cancel,
    FrameError,
    Granted,
    Message,
    Renew,
    Reply,
)
from persimmondock._domain.records import MemberRef
from persimmondock._domain.verdict import (
    Answer,
    Answered,
    Header,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
)

UNICODE_ERRORS = "surrogateescape"
MAX_HEADERS = 512


class MessageFormat(enum.IntEnum):
    """Format of the remaining items of an encoded message."""

    CONVERTED = 0
    CALL = 1
    CANCEL = 2
    ANSWERED = 3
    NOT_RUN = 4
    MAY_HAVE_RUN = 5
    RENEW = 6
    GRANTED = 7


_CALL_FIELDS = [field.name for field in attrs.fields(Call)]
_HEADERS_INDEX = _CALL_FIELDS.index("headers")
_get_call_fields = operator.attrgetter(*_CALL_FIELDS)
_call_type_hints = get_type_hints(Call)
_CALL_TYPES = [list if name == "headers" else _call_type_hints[name] for name in _CALL_FIELDS]

_converter = make_converter()
configure_tagged_union(Answered | NotRun | MayHaveRun, _converter, tag_name="verdict")
configure_tagged_union(Message, _converter, tag_name="kind")


def encode_message(message: Message) -> bytes:
    """Encode one message."""
    match message:
        case Call():
            fields = list(_get_call_fields(message))
            fields[_HEADERS_INDEX] = _flatten_headers(message.headers)
            values = [MessageFormat.CALL, *fields]
        case Reply(number=number, verdict=verdict):
            values = _encode_reply(number, verdict)
        case Cancel(number=number):
            values = [MessageFormat.CANCEL, number]
        case Renew(holder=holder):
            values = [
                MessageFormat.RENEW,
                *_flatten_member_ref(holder),
                message.sequence,
                message.applied,
            ]
        case Granted(witness=witness, holder=holder):
            refs = [*_flatten_member_ref(witness), *_flatten_member_ref(holder)]
            values = [MessageFormat.GRANTED, *refs, message.sequence, message.applied]
        case _:
            values = [
                MessageFormat.CONVERTED,
                _converter.unstructure(message, unstructure_as=Message),
            ]
    return msgpack.packb(values, unicode_errors=UNICODE_ERRORS)


def join_messages(encoded: Sequence[bytes]) -> bytes:
    """Return the payload of a frame that holds encoded messages."""
    return msgpack.Packer().pack_array_header(len(encoded)) + b"".join(encoded)


def decode_messages(payload: bytes) -> tuple[Message, ...]:
    """Decode the payload of a frame.

    Raises
    ------
    FrameError
        If the bytes are not encoded messages of known types.
    """
    try:
        items = msgpack.unpackb(payload, unicode_errors=UNICODE_ERRORS)
        _check_types([items], [list])
        return tuple(_decode_message(item) for item in items)
    except Exception as error:
        raise FrameError(
            f"payload is not an array of known messages: {type(error).__name__}"
        ) from error


def _encode_reply(number: int, verdict: Verdict) -> list[Any]:
    match verdict:
        case Answered(answer=answer):
            headers = _flatten_headers(answer.headers)
            return [MessageFormat.ANSWERED, number, answer.status, headers, answer.body]
        case NotRun(reason=reason, retry_after_ms=retry_after_ms):
            return [MessageFormat.NOT_RUN, number, reason.value, retry_after_ms]
        case MayHaveRun(reason=reason):
            return [MessageFormat.MAY_HAVE_RUN, number, reason.value]


def _decode_message(item: Any) -> Message:
    _check_types([item], [list])
    message_format, values = MessageFormat(item[0]), item[1:]
    match message_format:
        case MessageFormat.CALL:
            return _decode_call(values)
        case MessageFormat.ANSWERED:
            _check_types(values, [int, int, list, bytes])
            number, status, headers, body = values
            return Reply(number, Answered(Answer(status, _unflatten_headers(headers), body)))
        case MessageFormat.NOT_RUN:
            _check_types(values, [int, str, int])
            return Reply(values[0], NotRun(Reason(values[1]), values[2]))
        case MessageFormat.MAY_HAVE_RUN:
            _check_types(values, [int, str])
            return Reply(values[0], MayHaveRun(Reason(values[1])))
        case MessageFormat.CANCEL:
            _check_types(values, [int])
            return Cancel(values[0])
        case MessageFormat.RENEW:
            _check_types(values, [str, int, int, int])
            return Renew(MemberRef(*values[:2]), *values[2:])
        case MessageFormat.GRANTED:
            _check_types(values, [str, int, str, int, int, int])
            return Granted(MemberRef(*values[:2]), MemberRef(*values[2:4]), *values[4:])
        case MessageFormat.CONVERTED:
            converted: Message = _converter.structure(values[0], Message)  # type: ignore[arg-type]
            return converted


def _flatten_member_ref(ref: MemberRef) -> tuple[str, int]:
    return (ref.daemon, ref.incarnation)


def _decode_call(values: list[Any]) -> Call:
    _check_types(values, _CALL_TYPES)
    values[_HEADERS_INDEX] = _unflatten_headers(values[_HEADERS_INDEX])
    return Call(*values)


def _check_types(values: Sequence[Any], types: Sequence[type]) -> None:
    """Raise FrameError unless the values have exactly the given types."""
    if list(map(type, values)) != types:
        raise FrameError("field types do not match")


def _flatten_headers(headers: Sequence[Header]) -> list[str]:
    """Return the names and values of headers, alternating."""
    flat: list[str] = []
    for header in headers:
        flat.append(header.name)
        flat.append(header.value)
    return flat


def _unflatten_headers(flat: list[Any]) -> tuple[Header, ...]:
    """Return the headers of a list of alternating names and values."""
    if len(flat) % 2 or len(flat) > 2 * MAX_HEADERS or not set(map(type, flat)) <= {str}:
        raise FrameError("header list must alternate names and values within the size limit")
    return tuple(map(Header, flat[::2], flat[1::2]))
