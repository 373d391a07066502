"""The task that carries calls between fronts and gates of different daemons."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import attrs

from persimmondock._domain.messages import Call, Cancel, Message, Reply
from persimmondock._domain.verdict import MayHaveRun, NotRun, Reason, Verdict

if TYPE_CHECKING:
    from persimmondock._adapters.peer_link import PeerLink
    from persimmondock._domain.records import MemberRef
    from persimmondock._domain.view import Member, View
    from persimmondock._tasks.gate import Gate

UNREACHABLE_RETRY_MS = 200
LEFT_GRACE_S = 0.4


@attrs.define
class _Waiting:
    """A call whose reply has not come.

    Parameters
    ----------
    leaving
        Whether the member was seen to leave; it answers for a while after its last record.
    """

    member: MemberRef
    future: asyncio.Future[Verdict]
    leaving: bool = False


def _end_silent(waiting: _Waiting) -> None:
    if not waiting.future.done():
        waiting.future.set_result(MayHaveRun(Reason.PEER_SILENT))


class Exchange:
    """Sends calls to gates of other daemons and serves theirs.

    Call numbers start at a random value, so that a reply to an earlier process at this address
    is not taken for a reply to this one.
    """

    def __init__(self, gate: Gate) -> None:
        self._gate = gate
        self._link: PeerLink | None = None
        self.calls = 0
        self._number = random.getrandbits(62)
        self._waiting: dict[int, _Waiting] = {}
        self._serving: dict[tuple[str, int], asyncio.Task[None]] = {}

    def attach(self, link: PeerLink) -> None:
        """Use a link for all calls."""
        self._link = link

    async def call(self, member: Member, call: Call) -> Verdict:
        """Send a call to a member's gate and wait for the verdict."""
        assert self._link is not None
        self._number += 1
        number = self._number
        future: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()
        if not self._link.send(member.data_address, attrs.evolve(call, number=number)):
            return NotRun(Reason.PEER_UNREACHABLE, UNREACHABLE_RETRY_MS)
        self.calls += 1
        self._waiting[number] = _Waiting(member.ref, future, member.leaving)
        remaining = max(0.0, call.deadline_ms / 1000 - time.time())
        try:
            return await asyncio.wait_for(future, remaining)
        except TimeoutError:
            return MayHaveRun(Reason.DEADLINE_PASSED)
        except asyncio.CancelledError:
            self._link.send(member.data_address, Cancel(number))
            raise
        finally:
            del self._waiting[number]

    def follow_view(self, view: View) -> None:
        """End the waiting for members that are gone."""
        for waiting in self._waiting.values():
            member = view.find_member(waiting.member)
            if member is not None:
                waiting.leaving = waiting.leaving or member.leaving
            elif waiting.leaving:
                asyncio.get_running_loop().call_later(LEFT_GRACE_S, _end_silent, waiting)
            else:
                _end_silent(waiting)

    def receive(self, message: Message, reply_address: str) -> None:
        """Take a message of another daemon's exchange."""
        match message:
            case Call():
                key = (reply_address, message.number)
                if key not in self._serving:
                    task = asyncio.create_task(self._serve(message, reply_address))
                    self._serving[key] = task
            case Reply(number=number, verdict=verdict):
                waiting = self._waiting.get(number)
                if waiting is not None and not waiting.future.done():
                    waiting.future.set_result(verdict)
            case Cancel(number=number):
                task_or_none = self._serving.get((reply_address, number))
                if task_or_none is not None:
                    task_or_none.cancel()
            case _:
                return

    async def _serve(self, call: Call, reply_address: str) -> None:
        assert self._link is not None
        try:
            verdict = await self._gate.submit(call)
            self._link.send(reply_address, Reply(call.number, verdict))
        finally:
            del self._serving[(reply_address, call.number)]
