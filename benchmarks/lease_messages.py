"""Cost of one lease renewal and its promise on the wire.

``python -m benchmarks.lease_messages`` prints size and time; each message travels in a frame of its
own.
"""

from __future__ import annotations

import time

import numpy as np

from persimmondock._domain.codec import decode_messages, encode_message, join_messages
from persimmondock._domain.messages import Granted, Message, Renew
from persimmondock._domain.records import MemberRef
from persimmondock._domain.sealing import Kind, SealedFrame, Sealer, draw_nonce

RUNS = 3_000


class LeaseMessages:
    """One renewal and its promise."""

    def setup(self) -> None:
        """Build and encode both."""
        holder, witness = MemberRef("recife-1234", 1234567), MemberRef("salvador-1234", 1234567)
        self.messages: list[Message] = [
            Renew(holder, 123456, 1234567),
            Granted(witness, holder, 123456, 1234567),
        ]
        self.sealer = Sealer("key")
        self.nonce = draw_nonce()
        self.frames = [self.encode(message) for message in self.messages]

    def encode(self, message: Message) -> bytes:
        """Return the frame of one message."""
        payload = join_messages([encode_message(message)])
        sealed = SealedFrame(
            Kind.MESSAGES, "10.1.2.3:8102", self.nonce, self.nonce, self.nonce, 7, payload
        )
        return self.sealer.seal(sealed)

    def time_encode(self) -> None:
        """Encode both."""
        for message in self.messages:
            self.encode(message)

    def time_decode(self) -> None:
        """Decode both."""
        for frame in self.frames:
            decode_messages(self.sealer.open(frame).payload)

    def track_bytes(self) -> int:
        """Return the size of both."""
        return sum(map(len, self.frames))


def measure_message() -> float:
    """Return the mean size of a frame with one renewal or one promise."""
    lease = LeaseMessages()
    lease.setup()
    return lease.track_bytes() / len(lease.frames)


def main() -> None:
    """Print size and time."""
    lease = LeaseMessages()
    lease.setup()
    medians = []
    for work in (lease.time_encode, lease.time_decode):
        times = []
        for _ in range(RUNS):
            start = time.perf_counter()
            work()
            times.append(time.perf_counter() - start)
        medians.append(float(np.median(times)) * 1e6)
    print(
        f"renewal and promise: {lease.track_bytes()} bytes, encode {medians[0]:.0f} us, "
        f"decode {medians[1]:.0f} us"
    )


if __name__ == "__main__":
    main()
