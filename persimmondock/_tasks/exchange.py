"""The task that carries calls between fronts and gates of different daemons."""

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

    from persimmondock._adapters.peer_link import PeerLink
    from persimmondock._domain.records import MemberRef
    from persimmondock._domain.view import Member, View
    from persimmondock._tasks.gate import Gate

UNREACHABLE_RETRY_MS = 200
REPLY_GRACE_S = 0.05
LEAVING_REPLY_GRACE_S = 0.4


@attrs.define
class _PendingCall:
    """A call whose reply has not come.

    Parameters
    ----------
    leaving
        Whether the member was seen to leave; it answers for a while after its last record.
    """

    member: MemberRef
    address: str
    idempotent: bool
    future: asyncio.Future[Verdict]
    leaving: bool = False

    def resolve(self, verdict: Verdict) -> None:
        """Give the caller a verdict unless it has one."""
        if not self.future.done():
            self.future.set_result(verdict)


class Exchange:
    """Sends calls to gates of other daemons and serves theirs.

    Call numbers start at a random value, so that a reply to an earlier process at this address
    is not taken for a reply to this one.
    """

    def __init__(self, gate: Gate) -> None:
        self._gate = gate
        self._link: PeerLink | None = None
        self.calls = 0
        self._last_number = random.getrandbits(62)
        self._pending: dict[int, _PendingCall] = {}
        self._serving_tasks: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._view_changed = asyncio.Event()
        self.stray_replies = 0

    def attach(self, link: PeerLink) -> None:
        """Use a link for all calls."""
        self._link = link
        link.undelivered = self.handle_undelivered
        link.disconnected = self.handle_disconnect

    # The front's side.

    async def call(self, member: Member, call: Call) -> Verdict:
        """Send a call to a member's gate and wait for the verdict.

        ``NotRun`` is the gate's own word, or means that the call never left this daemon.
        """
        assert self._link is not None
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
            if not self._link.send(address, replace_call_number(call, number)):
                return NotRun(Reason.PEER_UNREACHABLE, UNREACHABLE_RETRY_MS)
            async with asyncio.timeout(remaining + REPLY_GRACE_S):
                return await future
        except TimeoutError:
            return MayHaveRun(Reason.DEADLINE_PASSED)
        except asyncio.CancelledError:
            self._link.send(address, Cancel(number))
            raise
        finally:
            del self._pending[number]

    async def wait_for_view_change(self, until: float) -> None:
        """Return when the view changes, at the latest at a Unix time in seconds."""
        try:
            async with asyncio.timeout(max(0.0, until - time.time())):
                await self._view_changed.wait()
        except TimeoutError:
            return

    def handle_view_change(self, view: View) -> None:
        """End the waiting for members that are gone, and wake what waits for a change."""
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
        """Take back messages that the link has not sent and never will."""
        for message in messages:
            if isinstance(message, Call) and message.number in self._pending:
                refusal = NotRun(Reason.PEER_UNREACHABLE, UNREACHABLE_RETRY_MS)
                self._pending[message.number].resolve(refusal)

    def handle_disconnect(self, address: str) -> None:
        """End the waiting for idempotent calls to a peer whose connection was lost.

        Calls that are not idempotent keep waiting: the peer may be well and answer, and nobody
        else may run them before the view says that it is lost.
        """
        for number, pending in self._pending.items():
            if pending.address == address and pending.idempotent and not pending.future.done():
                pending.resolve(MayHaveRun(Reason.PEER_SILENT))
                assert self._link is not None
                self._link.send(address, Cancel(number))

    # Both sides.

    def receive(self, message: Message, reply_address: str) -> None:
        """Take a message of another daemon's exchange."""
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
        """Hand a reply to the call that waits for it; late and crossed ones are dropped."""
        pending = self._pending.get(number)
        if pending is None or pending.address != address or pending.future.done():
            self.stray_replies += 1
            return
        pending.resolve(verdict)

    # The gate's side.

    def _start_serving(self, call: Call, reply_address: str) -> None:
        key = (reply_address, call.number)
        if key in self._serving_tasks:
            return
        task = asyncio.create_task(self._serve(call, reply_address))
        self._serving_tasks[key] = task
        task.add_done_callback(lambda _: self._serving_tasks.pop(key, None))

    async def _serve(self, call: Call, reply_address: str) -> None:
        assert self._link is not None
        try:
            verdict = await self._gate.submit(call)
        except Exception:
            logger.exception("event=call_failed service={}", call.service)
            verdict = MayHaveRun(Reason.INTERNAL_ERROR)
        self._link.send(reply_address, Reply(call.number, verdict))
