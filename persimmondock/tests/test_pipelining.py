"""Requests that a client sends before earlier ones are answered, at the HTTP server."""

from __future__ import annotations

import asyncio

import pytest

from persimmondock._adapters.http_server import PARSE_BYTES
from persimmondock.tests.pipelining_client import LIMITS, Client, Piecewise, make_get, settle


async def test_requests_run_side_by_side_and_are_answered_in_order() -> None:
    """A slow first request keeps those behind it from no slot, only from their place."""
    client = Client()
    await client.send("/a", "/b", "/c")
    assert set(client.running) == {"/a", "/b", "/c"}
    for path in ("/c", "/b", "/a"):
        assert client.bodies == []
        await client.answer(path)
    assert client.bodies == ["/a", "/b", "/c"]


async def test_each_request_is_timed_from_its_own_first_byte() -> None:
    client = Client()
    await client.send("/once-1", "/once-2")
    await asyncio.sleep(0.02)
    await client.answer("/once-1")
    first, second = client.requests
    assert first.received_at == second.received_at


async def test_nothing_is_passed_on_behind_a_closing_answer() -> None:
    """A daemon stops: the client sends again what has not begun, and gets all other answers."""
    client = Client()
    await client.send("/a", "/b", "/once")
    await client.answer("/b", close=True)
    assert client.bodies == []
    await client.answer("/a")
    assert client.bodies == ["/a", "/b"]
    assert client.transport.written.count(b"Connection: close") == 1
    assert client.transport.is_closing()
    assert [request.path for request in client.requests] == ["/a", "/b"]


async def test_what_has_begun_behind_a_closing_answer_is_answered() -> None:
    client = Client()
    await client.send("/a", "/b")
    await client.answer("/a", close=True)
    assert not client.transport.is_closing()
    assert b"close" not in client.transport.written
    await client.answer("/b")
    assert client.bodies == ["/a", "/b"]
    assert client.transport.is_closing()


async def test_nothing_is_passed_on_behind_a_request_that_closes_the_connection() -> None:
    client = Client()
    last = b"GET /last HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    client.transport.send(make_get("/a") + last + make_get("/behind"))
    await settle()
    await client.answer("/last")
    await client.answer("/a")
    assert client.bodies == ["/a", "/last"]
    assert client.transport.is_closing()
    assert [request.path for request in client.requests] == ["/a", "/last"]


async def test_a_request_that_cannot_be_read_is_refused_in_its_place() -> None:
    """Nothing behind it is passed on, since its end is not known."""
    client = Client()
    client.transport.send(make_get("/a") + b"no request\r\n\r\n" + make_get("/behind"))
    await settle()
    assert client.bodies == []
    await client.answer("/a")
    assert client.bodies == ["/a", "400"]
    assert client.transport.is_closing()
    assert len(client.requests) == 1


async def test_a_body_that_is_too_large_is_refused_in_its_place() -> None:
    """The body ends in the packet in which the next request begins."""
    client = Client()
    body = b"POST /large HTTP/1.1\r\nHost: x\r\nContent-Length: 1200\r\n\r\n" + b"x" * 1200
    client.transport.send(make_get("/a") + body + make_get("/behind"))
    await settle()
    await client.answer("/a")
    assert client.bodies == ["/a", "413"]
    assert client.transport.is_closing()


async def test_a_pipeline_without_end_is_bounded_and_then_goes_on() -> None:
    """A client sends 5,000 requests and reads all answers."""
    client = Client()
    paths = [f"/{number}" for number in range(5_000)]
    await client.send(*paths)
    assert not client.transport.reading
    assert len(client.running) == 4
    bound = LIMITS.pipeline.waiting + PARSE_BYTES // len(make_get("/0"))
    assert client.server.count_pipelined() <= bound + LIMITS.pipeline.side_by_side
    for path in paths:
        await client.answer(path)
    assert client.transport.reading
    assert client.bodies == paths


async def test_a_header_behind_many_requests_is_measured_by_itself() -> None:
    """A packet of small requests is larger than a header may be, and ends within a header."""
    client = Client()
    requests = b"".join(make_get(f"/{number}") for number in range(60))
    assert len(requests) > LIMITS.header_bytes
    client.transport.send(requests[:-4])
    await settle()
    for number in range(59):
        await client.answer(f"/{number}")
    client.transport.send(requests[-4:])
    await settle()
    await client.answer("/59")
    assert client.bodies == [f"/{number}" for number in range(60)]


async def test_answers_behind_a_slow_request_are_bounded_in_bytes() -> None:
    """A client asks for large answers behind a slow one; nothing more is begun meanwhile."""
    client = Client()
    await client.send("/slow", "/b", "/c")
    for path in ("/b", "/c"):
        await client.answer(path, body=b"x" * 2000)
    assert client.server.count_held_bytes() == 4000
    assert not client.transport.reading
    await client.answer("/slow")
    assert client.server.count_held_bytes() == 0
    assert client.transport.reading


async def test_a_client_that_reads_nothing_gets_nothing_more_begun() -> None:
    client = Client()
    await client.send("/a")
    client.pause()
    await client.answer("/a")
    await client.send(*(f"/{number}" for number in range(20)))
    assert client.bodies == [] and client.running == {}
    assert not client.transport.reading
    client.resume()
    await settle()
    assert client.bodies == ["/a"] and len(client.running) == 4


async def test_a_client_that_leaves_ends_all_its_requests() -> None:
    client = Client()
    await client.send("/a", "/b", "/c", "/once")
    await client.answer("/b")
    client.transport.leave()
    await settle()
    assert sorted(client.cancelled) == ["/a", "/c"]
    assert client.server.connections == set()


async def test_a_request_that_is_cancelled_elsewhere_cuts_the_connection() -> None:
    """No other answer takes its place."""
    client = Client()
    await client.send("/a", "/b")
    await client.answer("/b")
    client.running["/a"].cancel()
    await settle()
    assert client.bodies == []
    assert client.transport.cut


async def test_a_handler_that_fails_is_answered_in_its_place() -> None:
    client = Client()
    await client.send("/a", "/b")
    client.running["/b"].set_exception(ValueError("fault"))
    await settle()
    await client.answer("/a")
    assert client.bodies == ["/a", "500"]


async def test_a_body_in_pieces_is_read_ahead_and_sent_in_its_place() -> None:
    """Its source is done, and holds no slot, while a slow request is before it."""
    client, body = Client(), Piecewise()
    await client.send("/slow", "/pieces", "/c")
    await client.answer("/c")
    await client.answer("/pieces", stream=body)
    assert (body.read_pieces, client.bodies) == (3, [])
    await client.answer("/slow")
    assert client.bodies == ["/slow", "p" * 300, "/c"]
    assert body.closed


async def test_a_body_that_is_cut_before_its_turn_fails_without_shifting_answers() -> None:
    client, body = Client(), Piecewise(cut=True)
    await client.send("/slow", "/pieces", "/c")
    await client.answer("/pieces", stream=body)
    await client.answer("/c")
    await client.answer("/slow")
    assert client.bodies == ["/slow", "502", "/c"]
    assert body.closed


async def test_a_body_that_is_cut_in_its_turn_cuts_the_connection() -> None:
    client, body = Client(), Piecewise(cut=True)
    await client.send("/pieces", "/b")
    await client.answer("/b")
    await client.answer("/pieces", stream=body)
    assert client.transport.cut and body.closed
    assert client.transport.written.endswith(b"p" * 100)


async def test_a_client_that_leaves_frees_a_body_that_waits_for_its_turn() -> None:
    client, body = Client(), Piecewise()
    await client.send("/slow", "/pieces")
    await client.answer("/pieces", stream=body)
    assert not body.closed
    client.transport.leave()
    await settle()
    assert body.closed


async def test_all_that_was_read_is_answered_during_a_stop() -> None:
    client = Client()
    await client.send("/a", "/b", "/once")
    client.server.closing = True
    await client.answer("/b")
    await client.answer("/a")
    assert not client.transport.is_closing()
    await client.answer("/once")
    assert client.bodies == ["/a", "/b", "/once"]
    assert client.transport.written.count(b"Connection: close") == 1
    assert client.transport.is_closing()


@pytest.mark.parametrize("answered", [False, True])
async def test_a_client_that_waits_for_it_is_told_to_continue_in_its_turn(answered: bool) -> None:
    client = Client()
    await client.send("/a")
    if answered:
        await client.answer("/a")
    head = b"POST /p HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
    client.transport.send(head)
    if not answered:
        assert b"100 Continue" not in client.transport.written
        await client.answer("/a")
    assert client.transport.written.endswith(b"100 Continue\r\n\r\n")
    client.transport.send(b"ok")
    await settle()
    assert client.requests[-1].body == b"ok"
