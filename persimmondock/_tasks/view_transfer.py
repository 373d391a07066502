"""Views given to peers and taken from them."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from loguru import logger

from persimmondock._domain.messages import Message, RecordsAsked, ViewAsked, ViewGiven
from persimmondock._domain.snapshot import EncodedView, SnapshotError, decode_view, encode_view
from persimmondock._domain.view_request import (
    ASK_INTERVAL_S,
    MAX_ASKED_PEERS,
    PeerQuestion,
    ViewRequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from persimmondock._domain.membership import Membership
    from persimmondock._domain.view import View


class ViewTransfer:
    """Gives this daemon's view to peers, and takes theirs while the log cannot help.

    Parameters
    ----------
    peers
        Addresses of peers from the settings.
    send
        Sends a message to an address.
    """

    def __init__(
        self,
        membership: Membership,
        peers: Sequence[str],
        send: Callable[[str, Message], None],
    ) -> None:
        self._membership = membership
        self._peers = tuple(peers)
        self._send = send
        self._request: ViewRequest | None = None
        self._encoded: EncodedView | None = None
        self._encoding = asyncio.Lock()
        self._serving: set[asyncio.Task[None]] = set()
        self._records_at = 0.0

    def start(self) -> None:
        """Begin to ask peers, if that is not under way."""
        if self._request is None:
            addresses = self._list_addresses()
            self._request = ViewRequest(addresses, self._membership.view.offset)

    def stop(self) -> None:
        """Stop asking: the log has answered."""
        self._request = None

    def advance(self, now: float) -> None:
        """Ask again for a view that is still missing."""
        if self._request is not None:
            for question in self._request.advance(now):
                self._send(question.address, question.message)

    def follow_peers(self, now: float) -> None:
        """Ask a peer for newer records; a daemon that is no member is told of none."""
        addresses = self._list_addresses()
        if self._membership.ref is not None or now < self._records_at or not addresses:
            return
        self._records_at = now + ASK_INTERVAL_S
        self._send(random.choice(addresses), RecordsAsked(self._membership.view.offset))

    def give(self, message: ViewAsked, address: str) -> None:
        """Answer a peer that asks for the view."""
        if self._membership.view.offset == 0:
            return
        task = asyncio.create_task(self._give(message, address))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    def take(self, message: ViewGiven, address: str) -> View | None:
        """Take a peer's answer; return the view that enough peers agree on."""
        if self._request is None:
            return None
        match self._request.receive(message, address):
            case PeerQuestion(address=asked, message=question):
                self._send(asked, question)
            case EncodedView() as encoded:
                return self._decode(encoded)
        return None

    def _decode(self, encoded: EncodedView) -> View | None:
        try:
            view = decode_view(encoded)
        except SnapshotError as error:
            logger.error("event=peer_view_unreadable detail={!r}", error)
            return None
        self._request = None
        return view

    async def _give(self, message: ViewAsked, address: str) -> None:
        async with self._encoding:
            view = self._membership.view
            if self._encoded is None or self._encoded.covers != view.offset:
                self._encoded = await asyncio.to_thread(encode_view, view)
            encoded = self._encoded
        body = encoded.body if message.whole else b""
        domain = self._membership.identity.failure_domain
        self._send(address, ViewGiven(domain, encoded.covers, encoded.digest, body))

    def _list_addresses(self) -> tuple[str, ...]:
        """Return some peers from the settings and from the view, without this daemon."""
        own = self._membership.identity.peer_address
        known = [member.peer_address for member in self._membership.view.members.values()]
        addresses = sorted({*self._peers, *known} - {own})
        return tuple(random.sample(addresses, min(MAX_ASKED_PEERS, len(addresses))))
