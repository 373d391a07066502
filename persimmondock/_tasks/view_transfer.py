"""Transfer of views between peers while the log is unavailable."""

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
    """Sends this daemon's view to peers, and requests theirs when the log cannot supply it.

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
        self._encoded_view: EncodedView | None = None
        self._encode_lock = asyncio.Lock()
        self._answer_tasks: set[asyncio.Task[None]] = set()
        self._next_records_request_at = 0.0

    def start(self) -> None:
        """Start requesting a view from peers unless a request is in progress."""
        if self._request is None:
            addresses = self._sample_peers()
            self._request = ViewRequest(addresses, self._membership.view.offset)

    def stop(self) -> None:
        """Cancel the request, since the log has answered."""
        self._request = None

    def advance(self, now: float) -> None:
        """Send the questions that are due while a request is in progress."""
        if self._request is not None:
            for question in self._request.advance(now):
                self._send(question.address, question.message)

    def request_records(self, now: float) -> None:
        """Request newer records from a peer; peers send them unasked to members only."""
        addresses = self._sample_peers()
        if self._membership.ref is not None or now < self._next_records_request_at or not addresses:
            return
        self._next_records_request_at = now + ASK_INTERVAL_S
        self._send(random.choice(addresses), RecordsAsked(self._membership.view.offset))

    def answer_request(self, message: ViewAsked, address: str) -> None:
        """Answer a request for the view; without a view there is no answer."""
        if self._membership.view.offset == 0:
            return
        task = asyncio.create_task(self._send_view(message, address))
        self._answer_tasks.add(task)
        task.add_done_callback(self._answer_tasks.discard)

    def receive_answer(self, message: ViewGiven, address: str) -> View | None:
        """Process a peer's answer; return the view once enough peers agree on it."""
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

    async def _send_view(self, message: ViewAsked, address: str) -> None:
        async with self._encode_lock:
            view = self._membership.view
            if self._encoded_view is None or self._encoded_view.covers != view.offset:
                self._encoded_view = await asyncio.to_thread(encode_view, view)
            encoded = self._encoded_view
        body = encoded.body if message.whole else b""
        domain = self._membership.identity.failure_domain
        self._send(address, ViewGiven(domain, encoded.covers, encoded.digest, body))

    def _sample_peers(self) -> tuple[str, ...]:
        """Return up to ``MAX_ASKED_PEERS`` random peers from the settings and the view."""
        own = self._membership.identity.peer_address
        known = [member.peer_address for member in self._membership.view.members.values()]
        addresses = sorted({*self._peers, *known} - {own})
        return tuple(random.sample(addresses, min(MAX_ASKED_PEERS, len(addresses))))
