"""Requests for the view from peers while the log is unavailable.

The view is the state folded from the log. A view is accepted only if peers in two failure
domains, or all peers that were asked, report the same digest at the same offset.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from persimmondock._domain.messages import ViewAsked, ViewGiven
from persimmondock._domain.snapshot import EncodedView, compute_digest

if TYPE_CHECKING:
    from collections.abc import Sequence

ASK_INTERVAL_S = 0.5
MAX_ASKED_PEERS = 6


@attrs.frozen
class PeerQuestion:
    """A message to send to the peer at an address."""

    address: str
    message: ViewAsked


@attrs.frozen
class _OfferedView:
    """Offset and digest of a peer's view."""

    failure_domain: str
    offset: int
    digest: str


@attrs.define
class ViewRequest:
    """Asks peers for their views until enough of them agree.

    Parameters
    ----------
    addresses
        Addresses of the peers to ask.
    newer_than
        Views up to this offset are ignored.
    """

    addresses: Sequence[str]
    newer_than: int
    _offers: dict[str, _OfferedView] = attrs.field(factory=dict)
    _next_ask_at: float = 0.0

    def advance(self, now: float) -> list[PeerQuestion]:
        """Return the questions that are due: one for each peer per interval."""
        if now < self._next_ask_at:
            return []
        self._next_ask_at = now + ASK_INTERVAL_S
        return [PeerQuestion(address, ViewAsked(False)) for address in self.addresses]

    def receive(self, message: ViewGiven, address: str) -> PeerQuestion | EncodedView | None:
        """Process an answer; return the agreed view, a request for its body, or None."""
        if address not in self.addresses or message.offset <= self.newer_than:
            return None
        offer = _OfferedView(message.failure_domain, message.offset, message.digest)
        self._offers[address] = offer
        if not self._is_confirmed(offer):
            return None
        if not message.body:
            return PeerQuestion(address, ViewAsked(True))
        if compute_digest(message.body) != message.digest:
            return None
        return EncodedView(message.offset, message.digest, message.body)

    def _is_confirmed(self, offer: _OfferedView) -> bool:
        agreeing = [
            other
            for other in self._offers.values()
            if (other.offset, other.digest) == (offer.offset, offer.digest)
        ]
        failure_domains = {other.failure_domain for other in agreeing}
        return len(failure_domains) > 1 or len(agreeing) == len(self.addresses)
