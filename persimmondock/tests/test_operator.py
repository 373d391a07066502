"""Tests of the HTTP interface for operators and for announcements of backend servers."""

from __future__ import annotations

import attrs
import msgpack
import pytest
from aiohttp.test_utils import TestClient, TestServer
from reactivex.subject import Subject

from persimmondock._domain.leases import LeaseTiming
from persimmondock._domain.membership import Identity, Membership
from persimmondock._domain.records import (
    BackendAnnounced,
    MemberRef,
    RecordError,
    decode_record,
    encode_record,
)
from persimmondock._tasks.gate import Gate
from persimmondock._tasks.operator import OperatorApi
from persimmondock.tests.builders import make_backend, make_view


@pytest.fixture
async def client():
    """Return a client of the interface; its ``seen`` lists the announcements passed on."""
    identity = Identity("vm-0", "recife", "a:1", "a:2", "a:3", "a:4")
    membership = Membership(identity, LeaseTiming(), lambda ref: False, lambda ref: ())
    membership.view = make_view(3, slices=12)
    inbox = Subject()
    seen = []
    inbox.subscribe(seen.append)
    application = OperatorApi(membership, Gate(membership), inbox).build_application()
    async with TestClient(TestServer(application)) as opened:
        opened.seen = seen
        yield opened


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"slots": 0}, "slots must be from 1 to 100000, not 0"),
        ({"slots": -3}, "slots must be from 1 to 100000, not -3"),
        ({"connections": 10**9}, "connections must be from 1 to 100000"),
        ({"name": ""}, "name must be 1 to 255 printable characters, not ''"),
        ({"service": "a\nb"}, "service must be 1 to 255 printable characters"),
        ({"slots": "many"}, "slots"),
    ],
)
async def test_wrong_announcements_are_refused(client, change, message):
    """An invalid value is reported and the announcement is not passed on."""
    body = {**attrs.asdict(make_backend(7)), **change}
    async with client.post("/v1/backends", json=body) as response:
        assert response.status == 400
        assert message in await response.text()
    assert client.seen == []


@pytest.mark.parametrize("data", [b"", b"[]", b"7", b"{", b'{"name": 1}'])
async def test_garbage_is_refused(client, data):
    """A body that is not an announcement is refused."""
    async with client.post("/v1/backends", data=data) as response:
        assert response.status == 400
    assert client.seen == []


async def test_an_announcement_is_passed_on(client):
    """A valid announcement is passed on."""
    body = {**attrs.asdict(make_backend(7)), "instance": "x" * 1_000}
    async with client.post("/v1/backends", json=body) as response:
        assert response.status == 200
    (seen,) = client.seen
    assert seen.backend == make_backend(7)


async def test_status_dump_and_explanation(client):
    """Status, dump and explanation are answered in JSON; an unknown service gives 404."""
    for path in ("/v1/status", "/v1/dump", "/v1/explain?service=painel&key=a"):
        async with client.get(path) as response:
            assert response.status == 200
            assert (await response.json())["view_offset"] == client_view_offset()
    async with client.get("/v1/explain?service=b&key=a") as response:
        assert (response.status, await response.text()) == (404, "no service 'b'; known: painel\n")


def client_view_offset() -> int:
    """Return the offset of the view that the interface serves."""
    return make_view(3, slices=12).offset


def test_a_wrong_backend_in_the_log_is_unreadable():
    """A record from another program cannot add a backend server without slots."""
    record = BackendAnnounced("id", MemberRef("vm-1", 0), make_backend(1))
    data = msgpack.unpackb(encode_record(record))
    data["backend"]["slots"] = 0
    with pytest.raises(RecordError):
        decode_record(msgpack.packb(data))
