"""Processor time of a request's hop from a front to a gate.

``python -m benchmarks.hop links`` measures two links with their exchanges in one process, without
HTTP and without a backend server. ``python -m benchmarks.hop daemons`` measures whole daemons on
loopback and compares requests sent to the owner's daemon with requests that another daemon
forwards. ``python -m benchmarks.hop front`` measures a front and its client in one process, with a
gate that answers at once.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

import aiohttp
import attrs
from aiohttp.test_utils import TestServer

from persimmondock._adapters.log_client import HttpLog
from persimmondock._adapters.peer_link import PeerTransport
from persimmondock._domain.messages import Call
from persimmondock._domain.records import MemberRef
from persimmondock._domain.slices import find_slice
from persimmondock._domain.verdict import Answer, Answered, Header, Verdict
from persimmondock._domain.view import Accepted, Member, View
from persimmondock._tasks.exchange import Exchange
from persimmondock._tasks.front import Front
from persimmondock._tasks.publisher import publish
from persimmondock.configuration import Configuration
from persimmondock.standins.fleet import Fleet, VmPlan
from persimmondock.tests.builders import make_view

NETWORK = 41
ADDRESSES = ("127.0.41.201:8103", "127.0.41.202:8103")
IN_FLIGHT = (1, 4, 16, 64)
LINK_REQUESTS = 6_000
DAEMON_REQUESTS = 4_000
CALLERS = 16
FRONT_REQUESTS = 3_000
FRONT_RUNS = 8
SLICES = 64
ANSWER = Answered(
    Answer(200, (Header("Content-Type", "application/json"), Header("ETag", '"17"')), b"x" * 200)
)
HEADERS = tuple(
    Header(name, "a value of usual length")
    for name in ("Accept", "Accept-Language", "User-Agent", "Authorization", "X-Request-Start")
)


class InstantGate:
    """A gate that answers at once."""

    async def submit(self, _: Call) -> Verdict:
        """Return the same answer to every call."""
        return ANSWER


def make_call() -> Call:
    """Return the call that a front makes for a small request."""
    return Call(
        number=0,
        service="painel",
        backend="backend-1",
        slice=17,
        method="GET",
        path="/painel/suite-1/show",
        headers=HEADERS,
        body=b"",
        request_id="",
        issued_offset=-1,
        idempotent=True,
        may_wait=False,
        deadline_ms=int(time.time() * 1000) + 60_000,
    )


def make_member() -> Member:
    """Return the member at the second address."""
    return Member(
        ref=MemberRef("vm-2", 1),
        record_id="",
        failure_domain="recife",
        peer_address="",
        data_address=ADDRESSES[1],
        caller_address="",
        operator_address="",
        witnesses=(),
        successor=None,
        witnesses_version=0,
    )


async def measure_links() -> None:
    """Print the processor time of a call and its reply, for both ends together."""
    exchanges = [Exchange(InstantGate()) for _ in ADDRESSES]  # type: ignore[arg-type]
    links = [
        PeerTransport("vm", address, exchange.receive, print, peer_key="stand-in")
        for address, exchange in zip(ADDRESSES, exchanges, strict=True)
    ]
    for link, exchange in zip(links, exchanges, strict=True):
        await link.start()
        exchange.attach(link)
    member, call = make_member(), make_call()
    await exchanges[0].call(member, call)

    async def call_repeatedly(count: int) -> None:
        for _ in range(count):
            assert await exchanges[0].call(member, call) == ANSWER

    for in_flight in IN_FLIGHT:
        started_at, cpu_started = time.monotonic(), time.process_time()
        calls_per_worker = LINK_REQUESTS // in_flight
        await asyncio.gather(*(call_repeatedly(calls_per_worker) for _ in range(in_flight)))
        used_us = (time.process_time() - cpu_started) / (calls_per_worker * in_flight) * 1e6
        rate = calls_per_worker * in_flight / (time.monotonic() - started_at)
        print(
            f"{in_flight:3d} calls in flight: {used_us:6.0f} us a request, {rate:6.0f} requests/s"
        )
    for link in links:
        await link.close()


@attrs.define
class StubMembership:
    """A membership of one member that owns all slices."""

    view: View
    ref: MemberRef


class StubGate(InstantGate):
    """A gate without crash suspects."""

    def pin_suspect(self, call: Call) -> Call:
        """Return the call unchanged."""
        return call


async def measure_front() -> None:
    """Print the minimum processor time per request of a front and its client over several runs."""
    view = make_view(1)
    membership = StubMembership(view, view.members["vm-0"].ref)
    front = Front(membership, StubGate(), Exchange(StubGate()))  # type: ignore[arg-type]
    server = TestServer(front.build_application())
    await server.start_server(auto_decompress=False)
    url = server.make_url("/painel/suite-1/show")

    async def call_repeatedly(session: aiohttp.ClientSession, count: int) -> None:
        for _ in range(count):
            async with session.get(url) as response:
                await response.read()
                assert response.status == 200

    costs = []
    async with aiohttp.ClientSession() as session:
        for _ in range(FRONT_RUNS):
            cpu_started = time.process_time()
            calls_per_worker = FRONT_REQUESTS // CALLERS
            await asyncio.gather(
                *(call_repeatedly(session, calls_per_worker) for _ in range(CALLERS))
            )
            costs.append((time.process_time() - cpu_started) / (calls_per_worker * CALLERS) * 1e6)
    await server.close()
    print(f"front and client: {min(costs):.0f} us a request, least of {FRONT_RUNS} runs")


async def measure_daemons() -> None:
    """Print the processor time that the daemons use per request and while idle."""
    plans = [VmPlan(n, "recife", "painel", slots=64, work_ms=0.0) for n in (1, 2)]
    fleet = Fleet(plans, network=NETWORK)
    configuration = Configuration()
    configuration.add_service("painel", path="/painel", keyed=True, slices=SLICES)
    try:
        await fleet.start()
        log = HttpLog(fleet.log_address, fleet.session)
        assert isinstance(await publish(log, configuration, "benchmark", 10.0), Accepted)
        await fleet.wait_until_placed(["painel"], [1, 2])
        state = await fleet.dump(1)
        owned = set(state["services"]["painel"]["backends"]["backend-1"]["owned"])
        keys = [f"key-{n}" for n in range(500) if find_slice(f"key-{n}", SLICES) in owned]
        for _ in range(2):
            idle = await measure_idle(fleet)
            for name, number in (("to the owner's daemon", 1), ("forwarded by another", 2)):
                await load_daemon(fleet, number, keys, DAEMON_REQUESTS // 10)
                cost = await load_daemon(fleet, number, keys, DAEMON_REQUESTS)
                print(f"{name:22s}: {cost / DAEMON_REQUESTS * 1e6:6.0f} us a request")
            print(f"control while idle    : {idle * 100:6.2f} % of a core a daemon")
    finally:
        await fleet.stop()


async def load_daemon(fleet: Fleet, number: int, keys: list[str], requests: int) -> float:
    """Send requests for keys of VM 1 to a VM; return the daemons' processor time in seconds."""
    address = fleet.find_caller_address(number)
    before = read_processor_time(fleet)

    async def call_repeatedly(session: aiohttp.ClientSession) -> None:
        for index in range(requests // CALLERS):
            url = f"http://{address}/painel/{keys[index % len(keys)]}/show"
            async with session.get(url) as response:
                await response.read()
                assert response.headers["Persimmondock-Verdict"] == "answered", response.headers

    async with aiohttp.ClientSession() as session:
        await asyncio.gather(*(call_repeatedly(session) for _ in range(CALLERS)))
    return read_processor_time(fleet) - before


async def measure_idle(fleet: Fleet) -> float:
    """Return the share of a core that an idle daemon uses."""
    before = read_processor_time(fleet)
    await asyncio.sleep(2.0)
    return (read_processor_time(fleet) - before) / 2.0 / len(fleet.plans)


def read_processor_time(fleet: Fleet) -> float:
    """Return the daemons' processor time in user and system mode so far, in seconds."""
    ticks = 0
    for number in fleet.plans:
        pid = fleet._processes[f"daemon-{number}"].pid
        # After the command name, fields 11 and 12 are utime and stime.
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


if __name__ == "__main__":
    measures = {"links": measure_links, "daemons": measure_daemons, "front": measure_front}
    asyncio.run(measures[sys.argv[1]]())
