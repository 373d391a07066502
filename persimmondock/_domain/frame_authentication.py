"""Authentication of frames between daemons, with replay protection.

Each frame starts with a message authentication code (MAC): a keyed BLAKE2b hash of the rest. Frames
are not encrypted. Each transport draws two random nonces when its process starts: one for frames
that it sends and one for frames that it receives. A frame holds its sender's nonce for sending, its
receiver's nonce for receiving, and a number that its sender never reuses. A receiver accepts a
frame only if it holds the receiver's current nonce and a number above those of all frames accepted
with the sender's nonce. This needs neither a clock nor storage and guarantees:

* nobody without the key can forge a frame, change one, or redirect one to another receiver;
* a receiver accepts a frame at most once, and none that arrives after one that was sent later;
* a frame recorded before a receiver's restart is refused after it, because its receiver nonce is
  no longer valid;
* a frame of a sender's earlier process is refused while the receiver runs, if the receiver has
  accepted a higher number with that nonce; otherwise it is accepted once, like any late frame.

A sender learns a receiver's nonce by a handshake of a greeting and its reply. A reply is valid only
if it echoes the greeting's random token, so a recorded reply is useless. A replayed greeting costs
its receiver one reply.
"""

from __future__ import annotations

import enum
import hashlib
import hmac
import os
import struct

import attrs

from persimmondock._domain.messages import FrameError

NONCE_BYTES = 8
MAC_BYTES = 16
MAX_SENDERS = 65_536
NO_NONCE = bytes(NONCE_BYTES)
_HEADER = struct.Struct("<B8s8s8sQB")


class FrameKind(enum.IntEnum):
    """Purpose of a frame."""

    GREETING = 1
    GREETING_REPLY = 2
    MESSAGES = 3


@attrs.frozen
class Frame:
    """The contents of a frame.

    Parameters
    ----------
    sender
        ``host:port`` to which replies are sent.
    sender_nonce, receiver_nonce
        Nonces of both sides; the receiver's is ``NO_NONCE`` in greetings and their replies.
    token
        Random value of the sender's connection; a reply echoes that of its greeting.
    number
        Increasing number of the frame, unique for the sender's nonce.
    """

    kind: FrameKind
    sender: str
    sender_nonce: bytes
    receiver_nonce: bytes
    token: bytes
    number: int
    payload: bytes


class FrameAuthenticator:
    """Encodes and verifies frames with a key that all daemons share."""

    def __init__(self, key: str) -> None:
        self._key = hashlib.blake2b(key.encode(), person=b"persimmondock").digest()

    def encode(self, frame: Frame) -> bytes:
        """Return the encoded frame, preceded by its MAC."""
        sender = frame.sender.encode()
        header = _HEADER.pack(
            frame.kind,
            frame.sender_nonce,
            frame.receiver_nonce,
            frame.token,
            frame.number,
            len(sender),
        )
        body = b"".join((header, sender, frame.payload))
        return self._compute_mac(body) + body

    def decode(self, data: bytes) -> Frame:
        """Verify and decode a frame.

        Raises
        ------
        FrameError
            If the MAC was not computed with the key, or the bytes are no valid frame.
        """
        if len(data) < MAC_BYTES + _HEADER.size:
            raise FrameError("frame is shorter than its MAC and header")
        body = memoryview(data)[MAC_BYTES:]
        if not hmac.compare_digest(self._compute_mac(body), data[:MAC_BYTES]):
            raise FrameError("frame MAC does not match the peer key")
        kind, sender_nonce, receiver_nonce, token, number, length = _HEADER.unpack_from(body)
        start = _HEADER.size + length
        try:
            sender = bytes(body[_HEADER.size : start]).decode()
            return Frame(
                FrameKind(kind),
                sender,
                sender_nonce,
                receiver_nonce,
                token,
                number,
                bytes(body[start:]),
            )
        except ValueError as error:
            raise FrameError(
                "frame header has an unknown kind or a sender that is not UTF-8"
            ) from error

    def _compute_mac(self, body: bytes | memoryview) -> bytes:
        return hashlib.blake2b(body, key=self._key, digest_size=MAC_BYTES).digest()


def generate_nonce() -> bytes:
    """Return a new random nonce."""
    return os.urandom(NONCE_BYTES)


@attrs.define
class ReplayGuard:
    """The highest frame number that a receiver has accepted with each sender's nonce.

    When the table is full, it is cleared and the receiver draws a new nonce: frames with the old
    one are refused from then on, and senders repeat the handshake.
    """

    nonce: bytes = attrs.field(factory=generate_nonce)
    max_senders: int = MAX_SENDERS
    _highest_numbers: dict[bytes, int] = attrs.field(factory=dict)

    def admit(self, frame: Frame) -> None:
        """Accept a frame.

        Raises
        ------
        StaleNonceError
            If the frame does not hold the receiver's current nonce.
        FrameError
            If it, or a later one of the same sender, was accepted before.
        """
        if frame.receiver_nonce != self.nonce:
            raise StaleNonceError("receiver nonce is not the current one")
        if frame.number <= self._highest_numbers.get(frame.sender_nonce, -1):
            raise FrameError("frame number is not above those already accepted")
        if (
            frame.sender_nonce not in self._highest_numbers
            and len(self._highest_numbers) >= self.max_senders
        ):
            self._highest_numbers.clear()
            self.nonce = generate_nonce()
            raise StaleNonceError("the receiver has drawn a new nonce")
        self._highest_numbers[frame.sender_nonce] = frame.number


class StaleNonceError(FrameError):
    """A frame that does not hold the receiver's current nonce."""
