"""Answers keep their order and their requests, whatever ends, fails, waits or leaves when."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmondock.tests.pipelining_client import Client, Piecewise, settle

MAX_REQUESTS = 30


@attrs.frozen
class Step:
    """One event at a connection.

    Parameters
    ----------
    kind
        What happens.
    choice
        Which of the running requests it concerns, counted round.
    """

    kind: str
    choice: int


STEPS = st.lists(
    st.builds(
        Step,
        kind=st.sampled_from(
            (
                *("send", "send", "send once", "answer", "answer", "large", "pieces"),
                *("fail", "close", "block", "unblock", "invalid", "cut", "cancel", "stop", "leave"),
            )
        ),
        choice=st.integers(0, 9),
    ),
    min_size=20,
    max_size=60,
)


@attrs.define
class History:
    """What a client has sent and may expect.

    Parameters
    ----------
    sent
        Paths of the requests, in order.
    expected
        Bodies of the answers, by path.
    begun_at_once
        Requests that ran at the same time, after each event.
    has_left, may_be_cut
        Whether the client has left, or a fault may have cut the connection.
    """

    sent: list[str] = attrs.field(factory=list)
    expected: dict[str, str] = attrs.field(factory=dict)
    begun_at_once: list[set[str]] = attrs.field(factory=list)
    has_left: bool = False
    may_be_cut: bool = False


async def apply(step: Step, client: Client, history: History) -> None:
    """Bring an event about."""
    running = sorted(client.running)
    path = running[step.choice % len(running)] if running else None
    transport = client.transport
    match step.kind:
        case "send" | "send once" if transport.reading and len(history.sent) < MAX_REQUESTS:
            prefix = "/once" if step.kind == "send once" else "/any"
            first = len(history.sent)
            paths = [
                f"{prefix}-{number:02}" for number in range(first, first + step.choice // 2 + 1)
            ]
            history.sent += paths
            await client.send(*paths)
        case "invalid" if transport.reading and step.choice == 0:
            transport.send(b"no request\r\n\r\n")
        case "block" | "unblock":
            (client.pause if step.kind == "block" else client.resume)()
        case "stop" if step.choice == 0:
            client.server.closing = True
        case "leave" if step.choice == 0:
            history.has_left = True
            transport.leave()
        case "cancel" if step.choice == 0 and path is not None:
            history.may_be_cut = True
            client.running[path].cancel()
        case "fail" if path is not None:
            history.expected[path] = "500"
            client.running[path].set_exception(ValueError("fault"))
        case "cut" if path is not None and step.choice == 0:
            history.may_be_cut = True
            history.expected[path] = "502"
            await client.answer(path, stream=Piecewise(cut=True))
        case "pieces" if path is not None:
            history.expected[path] = "p" * 300
            await client.answer(path, stream=Piecewise())
        case "large" if path is not None:
            history.expected[path] = "x" * 3000
            await client.answer(path, body=b"x" * 3000)
        case "answer" | "close" if path is not None:
            history.expected[path] = path
            await client.answer(path, close=step.kind == "close")
    await settle()
    history.begun_at_once.append(set(client.running))


async def play(steps: Iterable[Step]) -> tuple[Client, History]:
    """Play events, then let the client read and all running requests end."""
    client, history = Client(), History()
    for step in steps:
        await apply(step, client, history)
    client.resume()
    await settle()
    while client.running:
        path = min(client.running)
        history.expected[path] = path
        await client.answer(path)
    return client, history


@settings(max_examples=300, deadline=None)
@given(steps=STEPS)
def test_answers_keep_their_order_and_their_requests(steps: list[Step]) -> None:
    """Any order of ends, failures, cut bodies, closing answers, stops, slow readers, leaving."""
    client, history = asyncio.run(play(steps))
    begun = [request.path for request in client.requests]
    answers = client.bodies
    own = [body for body in answers if body != "400"]
    assert begun == history.sent[: len(begun)]
    assert own == [history.expected[path] for path in history.sent[: len(own)]]
    assert "400" not in answers[:-1]
    if not (history.has_left or client.transport.cut):
        assert len(own) == len(begun), "a request that had begun was not answered"
    if not client.transport.is_closing():
        assert begun == history.sent
    assert history.may_be_cut or not client.transport.cut


@settings(max_examples=200, deadline=None)
@given(steps=STEPS)
def test_what_must_not_be_repeated_runs_alone_and_never_behind_a_close(steps: list[Step]) -> None:
    """A client sends such a request again if it was behind an answer that closes."""
    client, history = asyncio.run(play(steps))
    for running in history.begun_at_once:
        assert len(running) == 1 or not any(path.startswith("/once") for path in running)
        assert len(running) <= client.server.limits.pipeline.side_by_side
    for request in client.requests:
        if request.path.startswith("/once"):
            index = history.sent.index(request.path)
            assert client.answered_before[request.path] == index
