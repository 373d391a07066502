"""Bytes and processor time of lease renewals.

``python -m benchmarks.lease_traffic`` prints, for one renewal and its promise: the encoded bytes of
the frames; the bytes on the wire, with the headers of nng, TCP and IPv4 and one acknowledgement for
each frame; and the processor time of encoding, sealing, opening and decoding in one process. From
the renewal interval and the number of witnesses it computes the bytes that a daemon sends per
second.
"""

from __future__ import annotations

import time

from persimmondock._domain.codec import decode_messages, encode_message, join_messages
from persimmondock._domain.frame_authentication import (
    Frame,
    FrameAuthenticator,
    FrameKind,
    generate_nonce,
)
from persimmondock._domain.leases import LeaseTiming
from persimmondock._domain.messages import Granted, Message, Renew
from persimmondock._domain.records import MemberRef
from persimmondock._domain.witnesses import WITNESSES

NNG_HEADER_BYTES = 8
# IPv4 header of 20 bytes, TCP header of 32 bytes with the timestamp option.
TCP_IP_HEADER_BYTES = 52
ROUNDS = 5_000
HOLDER = MemberRef("gulf-south-c-vm-00123", 1_234_567)
WITNESS = MemberRef("gulf-south-a-vm-00045", 1_234_000)
RENEW = Renew(HOLDER, 1_000_000, 2_345_678)
GRANTED = Granted(WITNESS, HOLDER, 1_000_000, 2_345_678)


def make_frame(message: Message) -> Frame:
    """Return a frame that contains only this message."""
    return Frame(
        kind=FrameKind.MESSAGES,
        sender="10.123.45.67:8102",
        sender_nonce=generate_nonce(),
        receiver_nonce=generate_nonce(),
        token=generate_nonce(),
        number=1_000_000,
        payload=join_messages([encode_message(message)]),
    )


def compute_mean_frame_bytes() -> float:
    """Return the mean size of a frame with one renewal or one promise, in bytes."""
    sealer = FrameAuthenticator("key")
    return sum(len(sealer.encode(make_frame(message))) for message in (RENEW, GRANTED)) / 2


def measure_exchange_us(sealer: FrameAuthenticator) -> float:
    """Return the processor time of one renewal and its promise, in microseconds."""
    started = time.process_time()
    for _ in range(ROUNDS):
        for message in (RENEW, GRANTED):
            decode_messages(sealer.decode(sealer.encode(make_frame(message))).payload)
    return (time.process_time() - started) / ROUNDS * 1e6


def main() -> None:
    """Print the figures."""
    sealer = FrameAuthenticator("key")
    sizes = [len(sealer.encode(make_frame(message))) for message in (RENEW, GRANTED)]
    wire = [size + NNG_HEADER_BYTES + 2 * TCP_IP_HEADER_BYTES for size in sizes]
    exchanges = WITNESSES / LeaseTiming().renew_interval_s
    print(f"frame bytes: renewal {sizes[0]}, promise {sizes[1]}")
    print(f"wire bytes: renewal {wire[0]}, promise {wire[1]}")
    print(f"processor time of one exchange without sockets: {measure_exchange_us(sealer):.0f} us")
    print(f"exchanges a daemon asks for and answers in a second: {exchanges:.1f} each")
    print(f"wire bytes a daemon sends in a second: {exchanges * sum(wire):.0f}")


if __name__ == "__main__":
    main()
