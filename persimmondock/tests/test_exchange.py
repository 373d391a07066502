"""Tests of calls between daemons over a fake transport."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import attrs
import pytest

from persimmondock._domain.messages import (
    Call,
    Cancel,
    Message,
    Reply,
    replace_call_backend,
    replace_call_number,
)
from persimmondock._domain.verdict import Answer, Answered, MayHaveRun, NotRun, Reason, Verdict
from persimmondock._domain.view import Member
from persimmondock._tasks.exchange import Exchange
from persimmondock.tests.builders import fold_all, make_call, make_joined, make_view

if TYPE_CHECKING:
    from collections.abc import Callable

ANSWERED = Answered(Answer(200, (), b"done"))
OTHER_ADDRESS = "10.9.9.9:8103"


@attrs.define
class FakeLink:
    """A transport that records sent messages and accepts or refuses them."""

    accepts: bool = True
    sent: list[tuple[str, Message]] = attrs.field(factory=list)
    on_undelivered: Callable[[tuple[Message, ...]], None] = lambda _: None
    on_disconnected: Callable[[str], None] = lambda _: None

    def send(self, address: str, message: Message) -> bool:
        self.sent.append((address, message))
        return self.accepts


@attrs.define
class FakeGate:
    """A gate that answers once ``proceed`` is set."""

    running: int = 0
    cancelled: int = 0
    proceed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def submit(self, _: Call) -> Verdict:
        self.running += 1
        try:
            await self.proceed.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return ANSWERED


def make_exchange(gate: FakeGate | None = None) -> tuple[Exchange, FakeLink, Member]:
    exchange, link = Exchange(gate or FakeGate()), FakeLink()  # type: ignore[arg-type]
    exchange.attach(link)  # type: ignore[arg-type]
    return exchange, link, make_view(1).members["vm-0"]


def start_call(
    exchange: Exchange, member: Member, idempotent: bool = True, within_s: float = 5.0
) -> asyncio.Task[Verdict]:
    deadline_ms = int((time.time() + within_s) * 1000)
    call = make_call(idempotent=idempotent, deadline_ms=deadline_ms)
    return asyncio.create_task(exchange.call(member, call))


async def wait_for_call_number(link: FakeLink) -> int:
    while not link.sent:
        await asyncio.sleep(0)
    message = link.sent[0][1]
    assert isinstance(message, Call)
    return message.number


async def test_only_the_reply_of_the_called_peer_ends_a_call() -> None:
    exchange, link, member = make_exchange()
    task = start_call(exchange, member)
    number = await wait_for_call_number(link)
    exchange.receive(Reply(number + 1, NotRun(Reason.OVERLOADED)), member.data_address)
    exchange.receive(Reply(number, NotRun(Reason.OVERLOADED)), OTHER_ADDRESS)
    exchange.receive(Reply(number, ANSWERED), member.data_address)
    exchange.receive(Reply(number, NotRun(Reason.OVERLOADED)), member.data_address)
    assert await task == ANSWERED
    exchange.receive(Reply(number, NotRun(Reason.OVERLOADED)), member.data_address)
    assert exchange.stray_replies == 4


CALL_ENDINGS = [
    # event, idempotent, verdict; None if the call keeps waiting
    ("undelivered", True, NotRun(Reason.PEER_UNREACHABLE, 200)),
    ("undelivered", False, NotRun(Reason.PEER_UNREACHABLE, 200)),
    ("disconnected", True, MayHaveRun(Reason.PEER_SILENT)),
    ("disconnected", False, None),
    ("member_lost", True, MayHaveRun(Reason.PEER_SILENT)),
    ("member_lost", False, MayHaveRun(Reason.PEER_SILENT)),
    ("member_back", False, MayHaveRun(Reason.PEER_SILENT)),
]


@pytest.mark.parametrize(("event", "idempotent", "verdict"), CALL_ENDINGS)
async def test_calls_end_with_their_peer(
    event: str, idempotent: bool, verdict: Verdict | None
) -> None:
    exchange, link, member = make_exchange()
    task = start_call(exchange, member, idempotent)
    await wait_for_call_number(link)
    match event:
        case "undelivered":
            link.on_undelivered((link.sent[0][1],))
        case "disconnected":
            link.on_disconnected(member.data_address)
        case "member_lost":
            exchange.handle_view_change(fold_all([]))
        case "member_back":
            exchange.handle_view_change(fold_all([make_joined(1), make_joined(2), make_joined(0)]))
    if verdict is None:
        await asyncio.sleep(0.01)
        assert not task.done()
        task.cancel()
    else:
        assert await task == verdict


async def test_a_call_that_the_link_refuses_has_not_run() -> None:
    exchange, link, member = make_exchange()
    link.accepts = False
    assert await start_call(exchange, member) == NotRun(Reason.PEER_UNREACHABLE, 200)


async def test_a_call_past_its_deadline_is_not_sent() -> None:
    exchange, link, member = make_exchange()
    assert await start_call(exchange, member, within_s=-1) == NotRun(Reason.DEADLINE_PASSED)
    assert link.sent == []


async def test_a_sent_call_without_a_reply_may_have_run() -> None:
    exchange, _, member = make_exchange()
    verdict = await start_call(exchange, member, within_s=0.02)
    assert verdict == MayHaveRun(Reason.DEADLINE_PASSED)


async def test_cancellation_passes_to_the_gate() -> None:
    exchange, link, member = make_exchange()
    task = start_call(exchange, member)
    number = await wait_for_call_number(link)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert link.sent[-1] == (member.data_address, Cancel(number))


@pytest.mark.parametrize("started", [True, False])
async def test_a_cancelled_call_is_no_longer_served(started: bool) -> None:
    gate = FakeGate()
    exchange, link, _ = make_exchange(gate)
    exchange.receive(make_call(number=7), OTHER_ADDRESS)
    if started:
        await asyncio.sleep(0)
    exchange.receive(Cancel(7), OTHER_ADDRESS)
    await asyncio.sleep(0.01)
    assert (gate.running, gate.cancelled) == (int(started), int(started))
    assert exchange._serving_tasks == {}
    assert link.sent == []


async def test_a_call_that_comes_twice_is_served_once() -> None:
    gate = FakeGate()
    exchange, link, _ = make_exchange(gate)
    for _ in range(2):
        exchange.receive(make_call(number=7), OTHER_ADDRESS)
    gate.proceed.set()
    await asyncio.sleep(0.01)
    assert gate.running == 1
    assert link.sent == [(OTHER_ADDRESS, Reply(7, ANSWERED))]


def test_calls_are_numbered_and_addressed_without_other_changes() -> None:
    call = make_call(body=b"x", request_id="one")
    assert replace_call_number(call, 5) == attrs.evolve(call, number=5)
    assert replace_call_backend(call, "backend-9") == attrs.evolve(call, backend="backend-9")
