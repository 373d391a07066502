"""Processor time of one daemon of a site, by cause.

``python -m benchmarks.daemon_profile [DAEMONS ...]`` runs one daemon of the platform as a process,
with the peers that a site of so many daemons has, a store and a backend server. The peers run the
mesh of the product in this process and hold a link to the measured daemon only. The daemon counts
the processor time of each callback of its event loop and prints it in three phases: its start, at
rest, and with requests that callers send to the backend server beside it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
import tempfile
from pathlib import Path

import aiohttp
from aiohttp import web
from loguru import logger

from benchmarks.profiled_daemon import REQUESTS_S, REST_S, START_S
from persimmondock._domain.assignment import (
    Assignment,
    BackendIncarnation,
    KeyRange,
    encode_assignment,
)
from persimmondock._domain.gate_status import GateStatus
from persimmondock._domain.replica import KeyedEntry
from persimmondock._ports.keyed_log import Partition
from persimmondock._tasks.key_control import ASSIGNMENT_KEY_PREFIX
from persimmondock._tasks.mesh import Member, Mesh, Peer, encode_member
from persimmondock._tasks.store_follower import PartitionFollower
from persimmondock.platform._store import PlatformStore
from persimmondock.standins.site_backend import SiteBackend
from persimmondock.standins.site_messages import (
    CALLER_PORT,
    KEYED_SERVICE,
    UNKEYED_SERVICE,
    build_request_headers,
    build_settings,
    publish_configuration,
)
from persimmondock.standins.site_store import SiteStore

DAEMONS = (14, 78, 195)
FAILURE_DOMAINS = ("recife", "salvador", "natal")
NETWORK = "127.62"
PEER_PORT = 7620
REQUESTS_PER_S = 50
KEYS = 65_536
WITNESSES = 7
MEASURED = 12  # not among the first daemons of its failure domain, which read the store


def name_daemon(number: int) -> str:
    """Return the name of a daemon."""
    return f"vm-{number:03d}"


def make_member(number: int) -> Member:
    """Return a daemon of the site."""
    service = (KEYED_SERVICE, UNKEYED_SERVICE)[number // 3 % 2]
    address = f"{NETWORK}.{number // 200}.{number % 200 + 1}:{PEER_PORT}"
    return Member(name_daemon(number), address, FAILURE_DOMAINS[number % 3], service)


class UnlinkedPeer:
    """A link between two peers of the measured daemon, which is not opened."""

    connected = False

    def close(self) -> None:
        """Do nothing."""


async def start_peers(count: int) -> list[Mesh]:
    """Start the meshes of all daemons but the measured one."""
    measured = make_member(MEASURED)
    store = PlatformStore(f"{NETWORK}.9.1:9001", "peers")
    followers = [
        PartitionFollower(store, Partition(topic, part), lambda _: None, None, 0.05, max_age_s)
        for topic, part, max_age_s in (
            ("keyed.op", 0, 1.9),
            ("keyed.fleet", 0, 1e9),
            ("keyed.fleet", 1, 1e9),
        )
    ]
    tasks = [asyncio.create_task(follower.run()) for follower in followers]
    followers[0].is_poller = lambda: True
    members = {number: make_member(number) for number in range(count) if number != MEASURED}
    unlinked = {
        member.node: Peer(member, UnlinkedPeer())  # type: ignore[arg-type]
        for member in members.values()
    }
    status = GateStatus(slots=6, accepts_work=True)
    meshes = []
    for member in members.values():
        mesh = Mesh(member, followers, lambda: status, lambda *_: None)
        mesh.peers = dict(unlinked)
        del mesh.peers[member.node]
        await mesh.server.start(member.address)
        mesh.update_members([KeyedEntry(0, measured.node, encode_member(measured))])
        tasks.append(asyncio.create_task(mesh.run()))
        meshes.append(mesh)
    return meshes


def publish_site(store: SiteStore, count: int, backend: SiteBackend) -> int:
    """Write configuration, member records and assignment; return a key of the measured daemon."""
    publish_configuration(store, 1)
    for number in range(count):
        if number != MEASURED:
            member = make_member(number)
            store.write("keyed.fleet", member.node, encode_member(member), 0)
    keyed = [n for n in range(count) if make_member(n).service == KEYED_SERVICE]
    step = KEYS // len(keyed)
    ranges = []
    for index, number in enumerate(keyed):
        owner = BackendIncarnation(name_daemon(number), f"i-{number}", 1)
        if number == MEASURED:
            owner = BackendIncarnation(name_daemon(number), backend.instance, backend.born_ms)
        last = KEYS - 1 if number == keyed[-1] else (index + 1) * step - 1
        ranges.append(KeyRange(index * step, last, owner, 1))
    witnesses = frozenset(name_daemon(n) for n in keyed[:WITNESSES])
    assignment = Assignment(KEYED_SERVICE, tuple(ranges), witnesses)
    key = ASSIGNMENT_KEY_PREFIX + KEYED_SERVICE
    store.write("keyed.fleet", key, encode_assignment(assignment), 1)
    return keyed.index(MEASURED) * step


async def send_requests(host: str, key: int) -> None:
    """Send requests for the keys of the measured daemon until cancelled."""
    async with aiohttp.ClientSession() as session:

        async def send(number: int) -> None:
            headers = build_request_headers(f"a-{number}", key, 2.0)
            # The daemon ends while requests are in flight.
            with contextlib.suppress(aiohttp.ClientError):
                async with session.get(
                    f"http://{host}:{CALLER_PORT}/view/1", headers=headers
                ) as reply:
                    await reply.read()

        sent: set[asyncio.Task[None]] = set()
        for number in range(10**9):
            task = asyncio.create_task(send(number))
            sent.add(task)
            task.add_done_callback(sent.discard)
            await asyncio.sleep(1 / REQUESTS_PER_S)


async def measure_site(count: int) -> list[dict[str, float]]:
    """Run a daemon in a site of ``count`` daemons; return its phases."""
    member = make_member(MEASURED)
    host = member.address.rpartition(":")[0]
    store = SiteStore()
    runner = web.AppRunner(store.build_application(), access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, f"{NETWORK}.9.1", 9001, reuse_address=True).start()
    settings = build_settings(member.node, host, member.failure_domain, member.service)
    settings["platform"]["platform"]["address"] = f"{NETWORK}.9.1:9001"
    backend = SiteBackend(
        member.service, f"{host}:8301", f"{host}:8306", member.failure_domain, keyed=True
    )
    key = publish_site(store, count, backend)
    meshes = await start_peers(count)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_text(json.dumps(settings))
        arguments = [sys.executable, "-m", "benchmarks.profiled_daemon", str(path)]
        process = await asyncio.create_subprocess_exec(*arguments, stdout=asyncio.subprocess.PIPE)
        await backend.start()
        await asyncio.sleep(START_S + REST_S)
        callers = asyncio.create_task(send_requests(host, key))
        output, _ = await process.communicate()
        callers.cancel()
    await backend.stop()
    for mesh in meshes:
        mesh.close()
    await runner.cleanup()
    phases: list[dict[str, float]] = json.loads(output)
    return phases


def print_profile(count: int, phases: list[dict[str, float]]) -> None:
    """Print the phases of one daemon."""
    start, rest, loaded = phases
    calls = [phase.pop("store calls") for phase in phases]
    print(f"\n{count} daemons; at start in ms, then in ms a second")
    print(f"{'cause':44} {'start':>8} {'at rest':>8} {'requests':>9}")
    for cause in sorted({*start, *rest, *loaded}, key=lambda name: -start.get(name, 0.0)):
        figures = (
            1000 * start.get(cause, 0.0),
            1000 * rest.get(cause, 0.0) / REST_S,
            1000 * loaded.get(cause, 0.0) / REQUESTS_S,
        )
        if max(figures) >= 0.05:
            print(f"{cause:44} {figures[0]:8.1f} {figures[1]:8.2f} {figures[2]:9.2f}")
    sums = [sum(phase.values()) for phase in phases]
    print(
        f"{'sum':44} {1000 * sums[0]:8.1f} {1000 * sums[1] / REST_S:8.2f}"
        f" {1000 * sums[2] / REQUESTS_S:9.2f}"
    )
    print(
        f"{'store calls':44} {calls[0]:8.0f} {calls[1] / REST_S:8.2f} {calls[2] / REQUESTS_S:9.2f}"
    )


def main() -> None:
    """Print the profiles."""
    logger.remove()
    print(f"load {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores, {REQUESTS_PER_S} requests/s")
    for count in [int(text) for text in sys.argv[1:]] or DAEMONS:
        print_profile(count, asyncio.run(measure_site(count)))


if __name__ == "__main__":
    main()
