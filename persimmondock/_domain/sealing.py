"""Authentication of frames between daemons, and refusal of replayed ones.

Each frame carries a keyed hash over all of it. Each link draws a random nonce when its process
starts, and a frame names the nonces of both sides and a number that its sender never uses twice.
A receiver takes a frame only if it names the receiver's present nonce and its number is above all
that came under the sender's nonce. So, without a clock and without storage:

* nobody without the key can make a frame, change one, or redirect one to another receiver;
* a receiver takes a frame at most once, and no frame that overtakes a later one;
* a frame that was recorded before a receiver's restart is refused after it, since the nonce that
  it names is gone;
* a frame of a sender's earlier process is refused as long as the receiver runs, if it has seen a
  later number under that nonce; otherwise it is taken once, like any late frame.

A sender learns a receiver's nonce from a greeting and its reply. A reply counts only if it echoes
the random token of the greeting, so a recorded one is useless. A replayed greeting costs its
receiver one reply. Frames are not encrypted.
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
SEAL_BYTES = 16
MAX_SENDERS = 65_536
NO_NONCE = bytes(NONCE_BYTES)
_HEADER = struct.Struct("<B8s8s8sQB")


class FrameKind(enum.IntEnum):
    """What a frame is for."""

    GREETING = 1
    GREETING_REPLY = 2
    MESSAGES = 3


@attrs.frozen
class SealedFrame:
    """A frame as it travels.

    Parameters
    ----------
    sender
        ``host:port`` where answers go.
    sender_nonce, receiver_nonce
        Nonces of both sides; the receiver's is empty in greetings and their replies.
    token
        Random value of the sender's connection; a reply echoes it.
    number
        Number of the frame under the sender's nonce.
    """

    kind: FrameKind
    sender: str
    sender_nonce: bytes
    receiver_nonce: bytes
    token: bytes
    number: int
    payload: bytes


class Sealer:
    """Seals and opens frames with a key that all daemons share."""

    def __init__(self, key: str) -> None:
        self._key = hashlib.blake2b(key.encode(), person=b"persimmondock").digest()

    def seal(self, frame: SealedFrame) -> bytes:
        """Return the bytes of a frame."""
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
        return self._compute_seal(body) + body

    def open(self, data: bytes) -> SealedFrame:
        """Check and read the bytes of a frame.

        Raises
        ------
        FrameError
            If they were not sealed with the key.
        """
        if len(data) < SEAL_BYTES + _HEADER.size:
            raise FrameError("too short")
        body = memoryview(data)[SEAL_BYTES:]
        if not hmac.compare_digest(self._compute_seal(body), data[:SEAL_BYTES]):
            raise FrameError("wrong seal")
        kind, sender_nonce, receiver_nonce, token, number, length = _HEADER.unpack_from(body)
        start = _HEADER.size + length
        try:
            sender = bytes(body[_HEADER.size : start]).decode()
            return SealedFrame(
                FrameKind(kind),
                sender,
                sender_nonce,
                receiver_nonce,
                token,
                number,
                bytes(body[start:]),
            )
        except ValueError as error:
            raise FrameError("malformed header") from error

    def _compute_seal(self, body: bytes | memoryview) -> bytes:
        return hashlib.blake2b(body, key=self._key, digest_size=SEAL_BYTES).digest()


def generate_nonce() -> bytes:
    """Return a new random nonce."""
    return os.urandom(NONCE_BYTES)


@attrs.define
class ReplayGuard:
    """A receiver's memory of the frames that it has taken.

    When it is full, it draws a new nonce of its own and forgets everything: all that was sealed
    for the old one is refused from then on, and senders greet again.
    """

    nonce: bytes = attrs.field(factory=generate_nonce)
    max_senders: int = MAX_SENDERS
    _highest_numbers: dict[bytes, int] = attrs.field(factory=dict)

    def admit(self, frame: SealedFrame) -> None:
        """Take a frame.

        Raises
        ------
        FrameError
            If it is meant for another receiver or was taken before.
        """
        if frame.receiver_nonce != self.nonce:
            raise StaleNonceError("sealed for another process")
        if frame.number <= self._highest_numbers.get(frame.sender_nonce, -1):
            raise FrameError("replayed or overtaken")
        if (
            frame.sender_nonce not in self._highest_numbers
            and len(self._highest_numbers) >= self.max_senders
        ):
            self._highest_numbers.clear()
            self.nonce = generate_nonce()
            raise StaleNonceError("the receiver has drawn a new nonce")
        self._highest_numbers[frame.sender_nonce] = frame.number


class StaleNonceError(FrameError):
    """A frame whose sender does not know the receiver's present nonce."""
