"""Messages between daemons, on loopback and against forged frames."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import attrs
import pytest

from persimmondock._adapters import peer_link
from persimmondock._adapters.peer_link import PeerTransport
from persimmondock._domain.codec import encode_message, join_messages
from persimmondock._domain.frame_authentication import (
    NO_NONCE,
    Frame,
    FrameAuthenticator,
    FrameKind,
    ReplayGuard,
    StaleNonceError,
    generate_nonce,
)
from persimmondock._domain.messages import Cancel, FrameError, RecordsAsked

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._domain.messages import Message

KEY = "a key of the fleet"


def find_free_address() -> str:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{free.getsockname()[1]}"


@attrs.define
class TransportRecorder:
    """Records what a transport reports."""

    received: list[tuple[Message, str]] = attrs.field(factory=list)
    undelivered: list[Message] = attrs.field(factory=list)
    disconnected: list[str] = attrs.field(factory=list)
    reports: list[str] = attrs.field(factory=list)

    def make_transport(self, address: str, key: str = KEY) -> PeerTransport:
        transport = PeerTransport(
            "vm-1",
            address,
            lambda message, sender: self.received.append((message, sender)),
            self.reports.append,
            peer_key=key,
        )
        transport.on_undelivered = self.undelivered.extend
        transport.on_disconnected = self.disconnected.append
        return transport


async def wait_for(condition: Callable[[], object]) -> None:
    for _ in range(600):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("condition not met within 6 s")


async def test_messages_reach_a_restarted_peer() -> None:
    here, there = find_free_address(), find_free_address()
    local, remote = TransportRecorder(), TransportRecorder()
    transport, peer = local.make_transport(here), remote.make_transport(there)
    await transport.start()
    await peer.start()
    try:
        for number in range(3):
            assert transport.send(there, Cancel(number))
        await wait_for(lambda: len(remote.received) == 3)
        assert remote.received == [(Cancel(number), here) for number in range(3)]
        await peer.close()
        await wait_for(lambda: local.disconnected == [there])
        peer = remote.make_transport(there)
        await peer.start()
        await wait_for(lambda: transport.send(there, Cancel(3)) and len(remote.received) > 3)
        assert remote.received[-1] == (Cancel(3), here)
    finally:
        await transport.close()
        await peer.close()


async def test_messages_to_unreachable_peer_are_reported_undelivered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(peer_link, "SEND_TIMEOUT_MS", 50)
    recorder, unused_address = TransportRecorder(), find_free_address()
    transport = recorder.make_transport(find_free_address())
    try:
        assert transport.send(unused_address, Cancel(1))
        await wait_for(lambda: recorder.undelivered == [Cancel(1)])
        assert not transport.send(unused_address, Cancel(2))
    finally:
        await transport.close()


async def test_peer_with_another_key_receives_no_messages(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_link, "GREETING_TIMEOUT_S", 0.1)
    there = find_free_address()
    local, remote = TransportRecorder(), TransportRecorder()
    transport, peer = local.make_transport(find_free_address()), remote.make_transport(
        there, key="another"
    )
    await peer.start()
    try:
        transport.send(there, Cancel(1))
        await wait_for(lambda: local.undelivered == [Cancel(1)])
        assert remote.received == []
        assert peer.refused["frame MAC does not match the peer key"] >= 1
        assert len(remote.reports) == 1
    finally:
        await transport.close()
        await peer.close()


@pytest.mark.parametrize(
    ("limit", "value", "accepted"),
    [
        ("MAX_QUEUED_MESSAGES", 2, [2, 2]),
        ("MAX_QUEUED_BYTES", 80, [2, 2]),
        ("MAX_TOTAL_QUEUED_BYTES", 80, [2, 0]),
    ],
)
async def test_queued_messages_are_bounded(
    monkeypatch: pytest.MonkeyPatch, limit: str, value: int, accepted: list[int]
) -> None:
    monkeypatch.setattr(peer_link, limit, value)
    transport = TransportRecorder().make_transport(find_free_address())
    addresses = [find_free_address() for _ in accepted]
    message = RecordsAsked(2**40)
    assert 2 * len(encode_message(message)) <= 80 < 3 * len(encode_message(message))
    counts = [sum(transport.send(address, message) for _ in range(9)) for address in addresses]
    assert counts == accepted
    assert transport.refused["queue full"] == 18 - sum(accepted)
    await transport.close()


async def test_the_number_of_peers_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_link, "MAX_PEERS", 1)
    transport = TransportRecorder().make_transport(find_free_address())
    assert transport.send(find_free_address(), Cancel(0))
    assert not transport.send(find_free_address(), Cancel(0))
    await transport.close()


# Frame authentication.


def make_frame(guard: ReplayGuard, number: int = 1, sender_nonce: bytes = b"s" * 8) -> Frame:
    payload = join_messages([encode_message(Cancel(number))])
    return Frame(
        FrameKind.MESSAGES, "10.0.0.1:8103", sender_nonce, guard.nonce, NO_NONCE, number, payload
    )


def test_frame_is_accepted_with_the_same_key_only() -> None:
    frame = make_frame(ReplayGuard())
    data = FrameAuthenticator(KEY).encode(frame)
    assert FrameAuthenticator(KEY).decode(data) == frame
    with pytest.raises(FrameError):
        FrameAuthenticator("another").decode(data)


@pytest.mark.parametrize("position", [0, 15, 16, 17, 30, 50, -1])
def test_a_changed_frame_is_refused(position: int) -> None:
    data = bytearray(FrameAuthenticator(KEY).encode(make_frame(ReplayGuard())))
    data[position] ^= 1
    with pytest.raises(FrameError):
        FrameAuthenticator(KEY).decode(bytes(data))


def test_frame_is_accepted_once_and_in_order() -> None:
    guard = ReplayGuard()
    for number in (1, 2, 5):
        guard.admit(make_frame(guard, number))
    for number in (1, 3, 5):
        with pytest.raises(FrameError):
            guard.admit(make_frame(guard, number))


def test_frames_for_an_earlier_process_are_refused() -> None:
    earlier, later = ReplayGuard(), ReplayGuard()
    with pytest.raises(StaleNonceError):
        later.admit(make_frame(earlier))


def test_full_replay_guard_draws_a_new_nonce() -> None:
    guard = ReplayGuard(max_senders=2)
    old = [make_frame(guard, 1, generate_nonce()) for _ in range(3)]
    for frame in old[:2]:
        guard.admit(frame)
    for frame in (old[2], *old):
        with pytest.raises(StaleNonceError):
            guard.admit(frame)
    guard.admit(make_frame(guard, 1, old[0].sender_nonce))


async def test_replayed_frames_and_forged_greeting_replies_are_dropped() -> None:
    recorder = TransportRecorder()
    transport = recorder.make_transport(find_free_address())
    guard, authenticator = transport._replay_guard, FrameAuthenticator(KEY)
    data = authenticator.encode(make_frame(guard))
    forged = Frame(
        FrameKind.GREETING_REPLY, "10.0.0.1:8103", b"s" * 8, NO_NONCE, b"t" * 8, 9, b"n" * 8
    )
    for item in (data, data, b"", b"garbage" * 40, authenticator.encode(forged)):
        transport._handle_frame(item)
    assert recorder.received == [(Cancel(1), "10.0.0.1:8103")]
    assert transport.refused == {
        "frame number is not above those already accepted": 1,
        "frame is shorter than its MAC and header": 1,
        "frame MAC does not match the peer key": 1,
        "greeting reply does not match the greeting sent": 1,
    }
    await transport.close()
