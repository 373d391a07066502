"""Answers in pieces at a gate: slots, ends, and what waits for slow links and callers."""

from __future__ import annotations

import asyncio
from collections import Counter

import attrs
import pytest

from persimmondock._adapters.buffered_body import BufferedBody
from persimmondock._adapters.clock import read_clock
from persimmondock._domain.verdict import Answer, Answered, MayHaveRun, NotRun, Reason, Verdict
from persimmondock._ports.answer_body import AnswerBody, AnswerCutError
from persimmondock._ports.metrics import NoMetrics
from persimmondock._tasks import backend_gate
from persimmondock._tasks.answer_streams import AnswerStreams, collect_answer, find_stream
from persimmondock._tasks.link_admission import LinkAdmission
from persimmondock.tests.sites import make_forwarded
from persimmondock.tests.test_backend_gate import GateHarness
from persimmondock.tests.virtual_time import run_in_virtual_time

SIZE = 100_000


@attrs.define
class CountingMetrics(NoMetrics):
    counts: Counter[str] = attrs.field(factory=Counter)

    def count(self, name: str, value: int = 1) -> None:
        self.counts[name] += value


def make_body(received: int = SIZE) -> BufferedBody:
    body = BufferedBody(SIZE)
    body.feed(bytes(received))
    return body


async def ask(harness: GateHarness, body: BufferedBody) -> AnswerBody:
    harness.server.outcomes = [Answered(Answer(200, (), b"", body))]
    stream = find_stream(await harness.ask())
    assert stream is not None
    return stream


async def test_the_slot_is_held_until_the_backend_server_has_sent_its_last_byte() -> None:
    harness = GateHarness()
    body = make_body(received=SIZE - 1)
    stream = await ask(harness, body)
    assert len(harness.gate.pool.running) == 1
    body.feed(b"x")
    assert not harness.gate.pool.running
    # The answer is still to be sent: the daemon must not stop before.
    assert harness.gate.count_in_flight() == 1
    stream.close()
    assert harness.gate.count_in_flight() == 0


async def test_the_slot_is_held_until_a_body_is_cut_or_closed() -> None:
    harness = GateHarness()
    cut, closed = make_body(1), make_body(1)
    streams = [await ask(harness, body) for body in (cut, closed)]
    assert len(harness.gate.pool.running) == 2
    cut.cut("reset")
    with pytest.raises(AnswerCutError):
        await streams[0].read()
    streams[1].close()
    assert harness.gate.count_in_flight() == 0


async def test_answers_that_wait_for_slow_readers_keep_their_slots(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Names the load of callers that read slowly: answers must not pile up behind free slots."""
    monkeypatch.setattr(backend_gate, "MAX_HELD_BYTES", 2 * SIZE)
    harness = GateHarness()
    streams = [await ask(harness, make_body()) for _ in range(3)]
    assert len(harness.gate.pool.running) == 2
    now = read_clock()
    assert isinstance(await harness.ask(objective_at=now + 0.1, deadline=now + 0.2), NotRun)
    for stream in streams:
        stream.close()
    assert not harness.gate.pool.running


def test_a_stream_that_nobody_reads_ends_by_its_deadline() -> None:
    async def play() -> None:
        metrics = CountingMetrics()
        streams = AnswerStreams("gate", metrics)
        body = make_body()
        stream = streams.open(body, "a1", read_clock() + 2.0)
        assert streams.waiting_bytes == SIZE
        await asyncio.sleep(1.9)
        assert len(streams) == 1
        await asyncio.sleep(0.2)
        assert len(streams) == 0 and body.waiting_bytes == 0
        with pytest.raises(AnswerCutError):
            await stream.read()
        assert metrics.counts == {"streams.gate.expired": 1}

    run_in_virtual_time(play())


async def test_a_receiver_that_takes_no_pieces_gets_the_whole_answer_or_none() -> None:
    """A daemon of the former version must not get an answer that is cut short."""
    whole = await collect_answer(Answer(200, (), b"", make_body()))
    assert whole == Answered(Answer(200, (), bytes(SIZE)))
    body = make_body(1)
    task = asyncio.create_task(collect_answer(Answer(200, (), b"", body)))
    await asyncio.sleep(0)
    body.cut("reset")
    assert await task == MayHaveRun(Reason.ANSWER_TRUNCATED)


async def test_the_link_is_released_however_a_request_ends() -> None:
    admission = LinkAdmission(NoMetrics())
    admission.budget.bytes_per_s = SIZE
    harness = GateHarness()
    request = make_forwarded(read_clock())

    async def fail(_: object) -> Verdict:
        raise ValueError("fault")

    async def refuse(_: object) -> Verdict:
        return NotRun(Reason.OVERLOADED, 100)

    for _ in range(2):
        harness.server.outcomes = [Answered(Answer(200, (), b"", make_body()))]
        stream = find_stream(await admission.run(request, harness.gate.run))
        assert stream is not None and admission.budget.wait_s == 1.0
        await stream.read()
        assert admission.budget.wait_s == 0.0
        stream.close()
        with pytest.raises(ValueError):
            await admission.run(request, fail)
        await admission.run(request, refuse)
        assert not admission.budget._expected


async def test_a_full_link_refuses_large_answers_and_runs_small_ones() -> None:
    metrics = CountingMetrics()
    admission = LinkAdmission(metrics)
    admission.budget.bytes_per_s = SIZE / 10
    harness = GateHarness()
    now = read_clock()
    harness.server.outcomes = [Answered(Answer(200, (), b"", make_body()))]
    await admission.run(make_forwarded(now), harness.gate.run)
    refused = await admission.run(make_forwarded(now), harness.gate.run)
    assert isinstance(refused, NotRun) and refused.retry_after_ms > 1_000
    assert len(harness.server.runs) == 1
    small = await admission.run(make_forwarded(now, route="charge"), harness.gate.run)
    assert isinstance(small, Answered)
    assert metrics.counts["refusals.link_full"] == 1
