"""Request/reply calls from the front of one daemon to the gate of another."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from persimmondock._domain.messages import Call, Cancel, Message, Reply, replace_call_number
from persimmondock._domain.verdict import MayHaveRun, NotRun, Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from persimmondock._adapters.peer_link import PeerTransport
    from persimmondock._domain.records import MemberRef
    from persimmondock._domain.view import Member, View
    from persimmondock._tasks.gate import Gate

UNREACHABLE_RETRY_MS = 200
REPLY_GRACE_S = 0.05
LEAVING_REPLY_GRACE_S = 0.4


@attrs.define
class _PendingCall:
    """A call that waits for its reply.

    Parameters
    ----------
    leaving
        Whether the member has announced that it is leaving; it may still reply for a short time
        after its last record.
    """

    member: MemberRef
    address: str
    idempotent: bool
    future: asyncio.Future[Verdict]
    leaving: bool = False

    def resolve(self, verdict: Verdict) -> None:
        """Set the verdict unless one has been set."""
        if not self.future.done():
            self.future.set_result(verdict)


class Exchange:
    """Client and server of calls between daemons.

    Call numbers start at a random value, so that a reply meant for an earlier process at this
    address does not match a call of this one.

    Attributes
    ----------
    calls
        Number of calls made to other daemons.
    stray_replies
        Number of replies dropped because they were late or matched no call.
    """

    def __init__(self, gate: Gate) -> None:
        self._gate = gate
        self._transport: PeerTransport | None = None
        self.calls = 0
        self._last_number = random.getrandbits(62)
        self._pending: dict[int, _PendingCall] = {}
        self._serving_tasks: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._view_changed = asyncio.Event()
        self.stray_replies = 0

    def attach(self, transport: PeerTransport) -> None:
        """Send all calls and replies through a transport, and handle its events."""
        self._transport = transport
        transport.on_undelivered = self.handle_undelivered
        transport.on_disconnected = self.handle_disconnect

    # Client side, used by the front.

    async def call(self, member: Member, call: Call) -> Verdict:
        """Send a call to a member's gate and wait for the verdict.

        ``NotRun`` was returned by the gate, or means that the call never left this daemon.
        """
        assert self._transport is not None
        remaining = call.deadline_ms / 1000 - time.time()
        if remaining <= 0:
            return NotRun(Reason.DEADLINE_PASSED)
        self._last_number += 1
        number = self._last_number
        address = member.data_address
        future: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()
        self._pending[number] = _PendingCall(
            member.ref, address, call.idempotent, future, member.leaving
        )
        self.calls += 1
        try:
            if not self._transport.send(address, replace_call_number(call, number)):
                return NotRun(Reason.PEER_UNREACHABLE, UNREACHABLE_RETRY_MS)
            async with asyncio.timeout(remaining + REPLY_GRACE_S):
                return await future
        except TimeoutError:
            return MayHaveRun(Reason.DEADLINE_PASSED)
        except asyncio.CancelledError:
            self._transport.send(address, Cancel(number))
            raise
        finally:
            del self._pending[number]

    async def wait_for_view_change(self, until: float) -> None:
        """Wait for the next change of the view, at most until a Unix time in seconds."""
        try:
            async with asyncio.timeout(max(0.0, until - time.time())):
                await self._view_changed.wait()
        except TimeoutError:
            return

    def handle_view_change(self, view: View) -> None:
        """Resolve calls to members that are gone, and wake tasks that wait for a change."""
        for pending in self._pending.values():
            member = view.find_member(pending.member)
            silent = MayHaveRun(Reason.PEER_SILENT)
            if member is not None:
                pending.leaving = pending.leaving or member.leaving
            elif pending.leaving:
                asyncio.get_running_loop().call_later(
                    LEAVING_REPLY_GRACE_S, pending.resolve, silent
                )
            else:
                pending.resolve(silent)
        self._view_changed.set()
        self._view_changed = asyncio.Event()

    def handle_undelivered(self, messages: Iterable[Message]) -> None:
        """Refuse calls that the transport has not sent and will not send."""
        for message in messages:
            if isinstance(message, Call) and message.number in self._pending:
                refusal = NotRun(Reason.PEER_UNREACHABLE, UNREACHABLE_RETRY_MS)
                self._pending[message.number].resolve(refusal)

    def handle_disconnect(self, address: str) -> None:
        """Resolve idempotent calls to a peer whose connection was lost.

        Non-idempotent calls keep waiting: the peer may still be running and reply, and no other
        member may run them until the view records its loss.
        """
        for number, pending in self._pending.items():
            if pending.address == address and pending.idempotent and not pending.future.done():
                pending.resolve(MayHaveRun(Reason.PEER_SILENT))
                assert self._transport is not None
                self._transport.send(address, Cancel(number))

    # Client and server side.

    def receive(self, message: Message, reply_address: str) -> None:
        """Handle a message from another daemon's exchange."""
        match message:
            case Call():
                self._start_serving(message, reply_address)
            case Reply(number=number, verdict=verdict):
                self._handle_reply(number, verdict, reply_address)
            case Cancel(number=number):
                task = self._serving_tasks.get((reply_address, number))
                if task is not None:
                    task.cancel()
            case _:
                return

    def _handle_reply(self, number: int, verdict: Verdict, address: str) -> None:
        """Resolve the call that a reply belongs to; late or mismatched replies are dropped."""
        pending = self._pending.get(number)
        if pending is None or pending.address != address or pending.future.done():
            self.stray_replies += 1
            return
        pending.resolve(verdict)

    # Server side, in front of the gate.

    def _start_serving(self, call: Call, reply_address: str) -> None:
        key = (reply_address, call.number)
        if key in self._serving_tasks:
            return
        task = asyncio.create_task(self._serve(call, reply_address))
        self._serving_tasks[key] = task
        task.add_done_callback(lambda _: self._serving_tasks.pop(key, None))

    async def _serve(self, call: Call, reply_address: str) -> None:
        assert self._transport is not None
        try:
            verdict = await self._gate.submit(call)
        except Exception:
            logger.exception("event=call_failed service={}", call.service)
            verdict = MayHaveRun(Reason.INTERNAL_ERROR)
        self._transport.send(reply_address, Reply(call.number, verdict))
