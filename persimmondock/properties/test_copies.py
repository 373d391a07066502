"""Copies of a partition that start from pages or peers while records are written and deleted."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any

import attrs
from hypothesis import given
from hypothesis import strategies as st

from persimmondock._adapters.http_exchange import HttpResponse
from persimmondock._adapters.peer_stream import Delivery
from persimmondock._domain.gate_status import GateStatus
from persimmondock._domain.replica import KeyedEntry
from persimmondock._ports.keyed_log import Partition, Records, StoreFailed
from persimmondock._tasks.mesh import Member, Mesh, Peer
from persimmondock._tasks.store_follower import PartitionFollower, Source
from persimmondock.platform._store import PlatformStore

PAGE_ITEMS = 2
KEYS = ("config", "evacuate/natal", "evacuate/recife", "evacuate/salvador")
PARTITION = Partition("t")
Write = tuple[str, bytes]
WRITES = st.lists(st.tuples(st.sampled_from(KEYS), st.sampled_from([b"v", b""])), max_size=4)


@attrs.define
class Log:
    """A partition, and the writes that come between the pages of a reader."""

    records: list[Write] = attrs.field(factory=list)
    writes_between_pages: list[list[Write]] = attrs.field(factory=list)

    def find_newest(self) -> dict[str, tuple[int, bytes]]:
        """Return offset and value of the newest record of each key that is not deleted."""
        newest = {key: (offset, value) for offset, (key, value) in enumerate(self.records)}
        return {key: found for key, found in newest.items() if found[1]}

    def list_entries(self, start: int, end: int) -> list[KeyedEntry]:
        """Return the records of a range of offsets."""
        return [KeyedEntry(o, *self.records[o]) for o in range(start, end)]


class PagedStore(PlatformStore):
    """The product's client of a store that answers with small pages."""

    def __init__(self, log: Log) -> None:
        super().__init__("127.0.0.1:1", "test")
        self._log = log

    async def _call(
        self, method: str, path: str, query: dict[str, str], *_: Any, **__: Any
    ) -> HttpResponse | StoreFailed:
        log = self._log
        items = sorted(i for i in log.find_newest().items() if i[0] > query.get("after", ""))
        page = [
            {"key": key, "offset": offset, "value": base64.b64encode(value).decode()}
            for key, (offset, value) in items[:PAGE_ITEMS]
        ]
        body = {"items": page, "has_more": len(items) > PAGE_ITEMS, "end": len(log.records)}
        if log.writes_between_pages:
            log.records += log.writes_between_pages.pop(0)
        return HttpResponse(200, (), json.dumps(body).encode())


def make_follower(log: Log) -> PartitionFollower:
    return PartitionFollower(PagedStore(log), PARTITION, lambda _: None)


async def start_from_pages(follower: PartitionFollower) -> None:
    """Read pages as a daemon does at its start."""
    await follower._read_once()
    assert follower.replica.confirmed_by_store


def read_rest(follower: PartitionFollower, log: Log) -> None:
    """Read all records from the end of the copy on."""
    replica = follower.replica
    end = len(log.records)
    follower._apply(Records(tuple(log.list_entries(replica.end, end)), end), 0.0, Source.READ)


@attrs.define
class DirectLink:
    """A connection to a peer that answers at once."""

    mesh: Mesh
    log: Log
    connected: bool = True

    async def request(self, kind: str, payload: Any) -> Any:
        """Return the peer's answer; records may be written before it."""
        if self.log.writes_between_pages:
            self.log.records += self.log.writes_between_pages.pop(0)
            read_rest(self.mesh._followers[0], self.log)
        return await self.mesh.server.handlers[kind](payload, Delivery("a", 0.0))


async def synchronise(requester: PartitionFollower, giver: PartitionFollower, log: Log) -> None:
    """Let a copy get from a peer what it lacks."""
    own, other = (
        Mesh(Member(name, "", "recife", "painel"), [follower], GateStatus, lambda *_: None)
        for name, follower in (("a", requester), ("b", giver))
    )
    link = DirectLink(other, log)
    await own._sync(Peer(other.own, link), 0)  # type: ignore[arg-type]


def check(follower: PartitionFollower, log: Log) -> None:
    """Check that a copy that ends where the log ends has the newest record of each key."""
    if follower.replica.end < len(log.records):
        return
    newest = log.find_newest()
    assert {key: follower.replica.get(key) for key in KEYS} == {
        key: newest[key][1] if key in newest else None for key in KEYS
    }


@given(before=WRITES, between=st.lists(WRITES, max_size=3), known=st.integers(0, 4))
def test_a_copy_from_pages_that_are_no_snapshot_becomes_the_newest(
    before: list[Write], between: list[list[Write]], known: int
) -> None:
    """Guards against a record that is lost, or comes back, since pages differ in age."""
    log = Log(list(before), list(between))
    follower = make_follower(log)
    follower.apply_from_peer(log.list_entries(0, min(known, len(before))), min(known, len(before)))
    asyncio.run(start_from_pages(follower))
    read_rest(follower, log)
    assert follower.replica.end == len(log.records)
    check(follower, log)


@given(
    first=WRITES,
    second=WRITES,
    third=WRITES,
    between=st.lists(WRITES, max_size=3),
    requester_starts_late=st.booleans(),
)
def test_a_copy_that_a_restarted_peer_brings_up_to_date_keeps_no_deleted_record(
    first: list[Write],
    second: list[Write],
    third: list[Write],
    between: list[list[Write]],
    requester_starts_late: bool,
) -> None:
    """Guards against a failure domain that stays evacuated for a daemon that lagged behind.

    A peer that has started meanwhile never had the record that was deleted, and cannot name it.
    """
    log = Log(list(first))
    requester, giver, last = make_follower(log), make_follower(log), make_follower(log)

    async def scenario() -> None:
        if not requester_starts_late:
            read_rest(requester, log)
        log.records += second
        await start_from_pages(giver)
        log.records += third
        read_rest(giver, log)
        log.writes_between_pages += between
        await synchronise(requester, giver, log)
        check(requester, log)
        log.writes_between_pages.clear()
        await synchronise(last, requester, log)
        check(last, log)
        read_rest(requester, log)
        check(requester, log)

    asyncio.run(scenario())
