"""Contract of the HTTP interface for callers: forwarded and refused requests, responses."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator

import attrs
import pytest
from aiohttp.test_utils import TestClient, TestServer
from yarl import URL

from persimmondock._domain.configuration import Route
from persimmondock._domain.messages import Call
from persimmondock._domain.records import MemberRef
from persimmondock._domain.slices import find_slice
from persimmondock._domain.verdict import (
    Answer,
    Answered,
    Header,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
)
from persimmondock._domain.view import View
from persimmondock._tasks.front import MAX_BODY_BYTES, Front
from persimmondock.tests.builders import fold_all, make_published, make_view

ASSIGN = (Route(suffix="/assign", idempotent=False),)
ANSWER = Answered(Answer(200, (Header("Content-Type", "text/plain"),), b"done"))


@attrs.define
class FakeMembership:
    """A membership with nothing but a view."""

    view: View
    ref: MemberRef | None = None


class FakeGate:
    """A gate without suspects."""

    def pin_suspect(self, call: Call) -> Call:
        return call


@attrs.define
class FakeExchange:
    """Stands in for the gates of all members: records calls and returns prepared verdicts.

    The last verdict is repeated. With ``hangs``, a call waits until it is cancelled.
    """

    verdicts: list[Verdict] = attrs.field(factory=list)
    calls: list[Call] = attrs.field(factory=list)
    cancelled: int = 0
    hangs: bool = False

    async def call(self, _: object, call: Call) -> Verdict:
        self.calls.append(call)
        if self.hangs:
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        return self.verdicts.pop(0) if len(self.verdicts) > 1 else self.verdicts[0]

    async def wait_for_view_change(self, _: float) -> None:
        await asyncio.sleep(0.01)


@attrs.define
class FrontHarness:
    """A front on loopback with a client and fake gates."""

    client: TestClient
    exchange: FakeExchange
    membership: FakeMembership


@pytest.fixture
async def harness() -> AsyncIterator[FrontHarness]:
    view = make_view(3)
    base = view.subjects["service/painel"].offset
    view = fold_all([make_published(base=base, slices=64, routes=ASSIGN, timeout_ms=2_000)], view)
    membership, exchange = FakeMembership(view), FakeExchange([ANSWER])
    front = Front(membership, FakeGate(), exchange)  # type: ignore[arg-type]
    server = TestServer(front.build_application())
    await server.start_server(auto_decompress=False)
    async with TestClient(server) as client:
        yield FrontHarness(client, exchange, membership)


REFUSALS = [
    # method, path, headers, status, reason
    ("GET", "/nothing/suite-1", {}, 404, "no_such_service"),
    ("GET", "/painelx/suite-1", {}, 404, "no_such_service"),
    ("GET", "/painel", {}, 400, "bad_request"),
    ("GET", "/painel/", {}, 400, "bad_request"),
    ("GET", "/painel/suite-1/../suite-2", {}, 400, "bad_request"),
    ("GET", "/painel/suite-1/%2e%2E/suite-2", {}, 400, "bad_request"),
    ("GET", "/painel/suite-1%2F..%2Fsuite-2", {}, 400, "bad_request"),
    ("GET", "/painel/%ff", {}, 400, "bad_request"),
    ("TRACE", "/painel/suite-1", {}, 400, "bad_request"),
    ("POST", "/painel/suite-1/assign", {}, 400, "missing_request_id"),
    ("POST", "/painel/suite-1/assign/", {}, 400, "missing_request_id"),
    ("POST", "/painel/suite-1/%61ssign", {}, 400, "missing_request_id"),
    ("POST", "/painel/suite-1/assign", {"Idempotency-Key": "a b"}, 400, "bad_request"),
    ("POST", "/painel/suite-1/assign", {"Idempotency-Key": "a" * 201}, 400, "bad_request"),
    ("GET", "/painel/suite-1", {"Persimmondock-Deadline": "soon"}, 400, "bad_request"),
    ("GET", "/painel/suite-1", {"Persimmondock-Deadline": "9" * 4400}, 400, "bad_request"),
    ("GET", "/painel/suite-1", {"Persimmondock-Deadline": "1"}, 503, "deadline_passed"),
]


@pytest.mark.parametrize(("method", "path", "headers", "status", "reason"), REFUSALS)
async def test_requests_refused_before_any_gate(
    harness: FrontHarness, method: str, path: str, headers: dict[str, str], status: int, reason: str
) -> None:
    url = URL(str(harness.client.make_url("/"))[:-1] + path, encoded=True)
    async with harness.client.session.request(method, url, headers=headers) as response:
        assert response.status == status
        assert response.headers["Persimmondock-Verdict"] == "not_run"
        assert response.headers["Persimmondock-Reason"] == reason
        assert (await response.text()).startswith(reason)
    assert harness.exchange.calls == []


async def test_a_body_that_is_too_large_is_refused(harness: FrontHarness) -> None:
    response = await harness.client.post("/painel/suite-1", data=b"x" * (MAX_BODY_BYTES + 1))
    assert (response.status, response.headers["Persimmondock-Reason"]) == (400, "bad_request")
    assert harness.exchange.calls == []


LAST_VERDICTS = [
    # verdict of every attempt, idempotent, status, verdict, reason, Retry-After
    (NotRun(Reason.OVERLOADED, 1_200), True, 503, "not_run", "overloaded", "2"),
    (NotRun(Reason.SUSPECTED_POISON), True, 503, "not_run", "suspected_poison", None),
    (NotRun(Reason.REQUEST_ID_REUSED), False, 422, "not_run", "request_id_reused", None),
    (NotRun(Reason.NOT_OWNER, 0), True, 503, "not_run", "not_owner", "1"),
    (MayHaveRun(Reason.BACKEND_LOST), True, 504, "may_have_run", "backend_lost", None),
    (MayHaveRun(Reason.BACKEND_LOST), False, 504, "may_have_run", "backend_lost", None),
    (MayHaveRun(Reason.SENT_TO_LOST_OWNER), False, 504, "may_have_run", "sent_to_lost_owner", None),
    (MayHaveRun(Reason.ANSWER_TRUNCATED), True, 504, "may_have_run", "answer_truncated", None),
]


@pytest.mark.parametrize(
    ("verdict", "idempotent", "status", "name", "reason", "retry_after"), LAST_VERDICTS
)
async def test_refusals_of_gates_reach_the_caller(
    harness: FrontHarness,
    verdict: Verdict,
    idempotent: bool,
    status: int,
    name: str,
    reason: str,
    retry_after: str | None,
) -> None:
    harness.exchange.verdicts = [verdict]
    path = "/painel/suite-1/show" if idempotent else "/painel/suite-1/assign"
    response = await harness.client.post(path, headers={"Idempotency-Key": "one"})
    assert response.status == status
    assert response.headers["Persimmondock-Verdict"] == name
    assert response.headers["Persimmondock-Reason"] == reason
    assert response.headers.get("Retry-After") == retry_after
    assert (await response.text()) == f"{reason}\n"


async def test_a_request_that_may_have_run_is_never_reported_as_not_run(
    harness: FrontHarness,
) -> None:
    lost, gone = MayHaveRun(Reason.PEER_SILENT), NotRun(Reason.SUSPECTED_POISON)
    harness.exchange.verdicts = [lost, gone]
    response = await harness.client.get("/painel/suite-1/show")
    assert len(harness.exchange.calls) == 2
    assert response.headers["Persimmondock-Verdict"] == "may_have_run"


@pytest.mark.parametrize(
    "verdict", [MayHaveRun(Reason.PEER_SILENT), MayHaveRun(Reason.BACKEND_LOST)]
)
async def test_a_non_idempotent_request_with_an_unknown_outcome_is_not_retried(
    harness: FrontHarness, verdict: Verdict
) -> None:
    harness.exchange.verdicts = [verdict]
    await harness.client.post("/painel/suite-1/assign", headers={"Idempotency-Key": "one"})
    assert len(harness.exchange.calls) == 1


async def test_a_request_without_any_backend_server_ends_at_once(harness: FrontHarness) -> None:
    harness.membership.view = fold_all([make_published()])
    response = await harness.client.get("/painel/suite-1/show")
    assert response.headers["Persimmondock-Reason"] == "no_owner"
    assert response.headers["Retry-After"] == "1"


async def test_internal_and_hop_by_hop_headers_are_not_forwarded(
    harness: FrontHarness,
) -> None:
    headers = [
        ("Persimmondock-Token", "999"),
        ("persimmondock-slice", "3"),
        ("Persimmondock-Key", "suite-9"),
        ("Connection", "keep-alive, X-Private"),
        ("X-Private", "1"),
        ("TE", "trailers"),
        ("X-Twice", "a"),
        ("X-Twice", "b"),
    ]
    await harness.client.get("/painel/suite-1/show", headers=headers)
    call = harness.exchange.calls[0]
    passed = {(field.name.lower(), field.value) for field in call.headers}
    assert {("x-twice", "a"), ("x-twice", "b"), ("persimmondock-key", "suite-9")} <= passed
    names = {name for name, _ in passed}
    assert not names & {"persimmondock-token", "persimmondock-slice", "x-private", "te", "host"}
    assert call.slice == find_slice("suite-9", 64)


@pytest.mark.parametrize(
    ("path", "key"),
    [
        ("/painel/a%2Fb/show?x=%20y&z=a+b", "a/b"),
        ("/painel/su%C3%ADte/show", "suíte"),
        ("/painel/a%2525b", "a%25b"),
        ("/painel/a;v=1/show?", "a;v=1"),
        ("/painel/a//show", "a"),
    ],
)
async def test_request_targets_are_forwarded_unchanged(
    harness: FrontHarness, path: str, key: str
) -> None:
    url = URL(str(harness.client.make_url("/"))[:-1] + path, encoded=True)
    async with harness.client.session.get(url) as response:
        assert response.status == 200
    call = harness.exchange.calls[0]
    assert call.path.rstrip("?") == path.rstrip("?")
    assert call.slice == find_slice(key, 64)


async def test_answers_are_forwarded_whole(harness: FrontHarness) -> None:
    fields = (
        Header("Content-Type", "image/png"),
        Header("Set-Cookie", "a=1"),
        Header("Set-Cookie", "b=2"),
        Header("Persimmondock-Verdict", "not_run"),
    )
    harness.exchange.verdicts = [Answered(Answer(201, fields, b"\x00\x01"))]
    response = await harness.client.get("/painel/suite-1")
    assert (response.status, await response.read()) == (201, b"\x00\x01")
    assert response.headers.getall("Content-Type") == ["image/png"]
    assert response.headers.getall("Set-Cookie") == ["a=1", "b=2"]
    assert response.headers.getall("Persimmondock-Verdict") == ["answered"]


async def test_an_answer_to_head_keeps_its_length(harness: FrontHarness) -> None:
    answer = Answer(200, (Header("Content-Length", "1234"),), b"")
    harness.exchange.verdicts = [Answered(answer)]
    response = await harness.client.head("/painel/suite-1")
    assert response.headers["Content-Length"] == "1234"


async def test_compressed_bodies_are_forwarded_unchanged(harness: FrontHarness) -> None:
    headers = {"Content-Encoding": "gzip"}
    await harness.client.post("/painel/suite-1", data=b"not really gzip", headers=headers)
    call = harness.exchange.calls[0]
    assert call.body == b"not really gzip"
    assert Header("Content-Encoding", "gzip") in call.headers


async def test_bodies_of_unknown_length_are_forwarded_whole(harness: FrontHarness) -> None:
    async def produce() -> AsyncIterator[bytes]:
        for part in (b"one", b"two"):
            yield part

    await harness.client.post("/painel/suite-1", data=produce())
    assert harness.exchange.calls[0].body == b"onetwo"


MALFORMED = [
    b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    b"Content-Length: 3\r\nContent-Length: 4\r\n",
    b"Content-Length: -3\r\n",
    b"X-Long: " + b"a" * 9_000 + b"\r\n",
    b"X-Space : x\r\n",
]


@pytest.mark.parametrize("data", MALFORMED)
async def test_malformed_requests_are_refused(harness: FrontHarness, data: bytes) -> None:
    reader, writer = await asyncio.open_connection(harness.client.host, harness.client.port)
    writer.write(b"POST /painel/a HTTP/1.1\r\nHost: x\r\n" + data + b"\r\n")
    line = await asyncio.wait_for(reader.readline(), 5.0)
    writer.close()
    assert line.startswith((b"HTTP/1.1 400", b"HTTP/1.0 400"))
    assert harness.exchange.calls == []


async def test_a_caller_that_leaves_cancels_its_attempt(harness: FrontHarness) -> None:
    harness.exchange.hangs = True
    request = asyncio.create_task(harness.client.get("/painel/suite-1"))
    while not harness.exchange.calls:
        await asyncio.sleep(0.01)
    request.cancel()
    for _ in range(200):
        if harness.exchange.cancelled:
            break
        await asyncio.sleep(0.01)
    assert harness.exchange.cancelled == 1


async def test_owners_are_shown_for_callers_that_route_themselves(harness: FrontHarness) -> None:
    response = await harness.client.get("/_persimmondock/owners?service=painel")
    shown = await response.json()
    owner_of = [position for count, position in shown["runs"] for _ in range(count)]
    assert (len(owner_of), shown["slices"], shown["hash"]) == (64, 64, "xxh3_64")
    await harness.client.get("/painel/suite-1")
    view, call = harness.membership.view, harness.exchange.calls[0]
    placed = next(
        item
        for item in view.services["painel"].backends.values()
        if item.backend.name == call.backend
    )
    address = shown["addresses"][owner_of[call.slice]]
    assert address == view.members[placed.member.daemon].caller_address
    headers = {"If-None-Match": response.headers["ETag"]}
    again = await harness.client.get("/_persimmondock/owners?service=painel", headers=headers)
    assert again.status == 304


@pytest.mark.parametrize("query", ["", "?service=", "?service=nothing"])
async def test_owners_of_no_service(harness: FrontHarness, query: str) -> None:
    response = await harness.client.get(f"/_persimmondock/owners{query}")
    assert response.status == 404


async def test_owners_without_any_backend_server(harness: FrontHarness) -> None:
    harness.membership.view = fold_all([make_published(slices=8)])
    response = await harness.client.get("/_persimmondock/owners?service=painel")
    assert (await response.json())["runs"] == [[8, -1]]


async def test_issued_identifiers_tell_when_they_were_issued(harness: FrontHarness) -> None:
    response = await harness.client.get("/_persimmondock/request-id")
    headers = {"Idempotency-Key": await response.text()}
    await harness.client.post("/painel/suite-1/assign", headers=headers)
    await harness.client.post(
        "/painel/suite-1/assign",
        headers={"Idempotency-Key": "own", "Persimmondock-First-Attempt": "true"},
    )
    await harness.client.post("/painel/suite-1/assign", headers={"Idempotency-Key": "own"})
    offset = harness.membership.view.offset
    assert [call.issued_offset for call in harness.exchange.calls] == [offset, offset, -1]


async def test_a_body_that_does_not_come_in_time_is_refused(harness: FrontHarness) -> None:
    head = b"POST /painel/a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
    deadline = int(time.time() * 1000) + 100
    reader, writer = await asyncio.open_connection(harness.client.host, harness.client.port)
    writer.write(head + f"Persimmondock-Deadline: {deadline}\r\n\r\na".encode())
    text = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
    writer.close()
    assert b"Persimmondock-Reason: deadline_passed" in text
    assert harness.exchange.calls == []
