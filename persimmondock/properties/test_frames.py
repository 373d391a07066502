"""Property tests: no bytes from the network end a daemon; the decoders raise only FrameError."""

from __future__ import annotations

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmondock._domain.codec import decode_messages, encode_message, join_messages
from persimmondock._domain.frame_authentication import Frame, FrameAuthenticator, FrameKind
from persimmondock._domain.messages import (
    Call,
    Cancel,
    FrameError,
    Granted,
    Message,
    Released,
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
)

SCALARS = st.one_of(
    st.none(), st.booleans(), st.integers(-(2**63), 2**64 - 1), st.floats(), st.text(), st.binary()
)
TREES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=6)
    | st.dictionaries(st.sampled_from(["kind", "number", "verdict", "x"]) | SCALARS, inner),
    max_leaves=20,
)
NUMBERS = st.integers(0, 2**62)
HEADERS = st.lists(st.builds(Header, st.text(), st.text() | st.just("caf\udce9")), max_size=3).map(
    tuple
)
REFS = st.builds(MemberRef, st.text(), st.integers(-1, 2**62))
VERDICTS = st.one_of(
    st.builds(NotRun, st.sampled_from(Reason), NUMBERS),
    st.builds(MayHaveRun, st.sampled_from(Reason)),
    st.builds(Answered, st.builds(Answer, st.integers(100, 599), HEADERS, st.binary())),
)
MESSAGES: st.SearchStrategy[Message] = st.one_of(
    st.builds(Cancel, NUMBERS),
    st.builds(Renew, REFS, NUMBERS, NUMBERS),
    st.builds(Granted, REFS, REFS, NUMBERS, NUMBERS),
    st.builds(Reply, NUMBERS, VERDICTS),
    st.builds(
        Call,
        number=NUMBERS,
        slice=st.integers(-1, 2**20),
        headers=HEADERS,
        issued_offset=st.integers(-1, 2**60),
        deadline_ms=NUMBERS,
    ),
    st.builds(
        Released,
        REFS,
        st.text(),
        st.lists(NUMBERS, max_size=2).map(tuple),
        NUMBERS,
        st.just(()),
    ),
)


@given(st.lists(MESSAGES, max_size=4))
def test_messages_come_back_as_they_were(messages: list[Message]) -> None:
    payload = join_messages([encode_message(message) for message in messages])
    assert decode_messages(payload) == tuple(messages)


@given(st.binary())
def test_any_bytes_are_messages_or_an_error(data: bytes) -> None:
    try:
        decode_messages(data)
    except FrameError:
        return


@given(TREES)
def test_any_structure_is_messages_or_an_error(tree: object) -> None:
    try:
        decoded = decode_messages(msgpack.packb(tree, strict_types=False))
    except FrameError:
        return
    assert isinstance(decoded, tuple)


@given(MESSAGES, st.data())
def test_a_damaged_message_is_messages_or_an_error(message: Message, data: st.DataObject) -> None:
    payload = bytearray(join_messages([encode_message(message)]))
    position = data.draw(st.integers(0, len(payload) - 1))
    payload[position] = data.draw(st.integers(0, 255))
    try:
        decode_messages(bytes(payload))
    except FrameError:
        return


@given(st.binary(max_size=200))
def test_any_bytes_without_the_key_are_refused(data: bytes) -> None:
    with pytest.raises(FrameError):
        FrameAuthenticator("key").decode(data)


@given(st.text(max_size=60), st.binary(max_size=60), st.integers(0, 2**64 - 1))
def test_sealed_frames_come_back_as_they_were(sender: str, payload: bytes, number: int) -> None:
    frame = Frame(FrameKind.MESSAGES, sender, b"a" * 8, b"b" * 8, b"c" * 8, number, payload)
    assert FrameAuthenticator("key").decode(FrameAuthenticator("key").encode(frame)) == frame
