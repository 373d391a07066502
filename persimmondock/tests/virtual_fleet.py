"""Daemons of one keyed service with their store and backend servers, in virtual time.

Everything between the sockets is that of the product: the daemons with their links, the planner and
the clients of the backend servers. The store keeps its records in memory; announcements are handed
to the daemon directly.
"""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import math
import random
from collections import defaultdict
from collections.abc import Coroutine, Iterator, Sequence
from typing import TYPE_CHECKING, Any

import attrs

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.assignment import (
    KEY_COUNT,
    Assignment,
    BackendIncarnation,
    KeyRange,
    decode_assignment,
    encode_assignment,
)
from persimmondock._domain.backend_report import BackendAnnouncement
from persimmondock._domain.holdings import ReportedHoldings
from persimmondock._domain.log_position import find_era, find_offset, make_position
from persimmondock._domain.replica import KeyedEntry
from persimmondock._domain.site import GrantMode, GrantsByCall, NodeSettings
from persimmondock._domain.verdict import NotRun, Verdict
from persimmondock._ports.keyed_log import (
    Conflict,
    LogRestored,
    Partition,
    ReadOutcome,
    Records,
    StoreFailed,
    WriteOutcome,
    Written,
)
from persimmondock._tasks.key_control import ASSIGNMENT_KEY_PREFIX
from persimmondock._tasks.sidecar import OperatorCodec, Sidecar, SitePartitions
from persimmondock.tests.sites import SERVICE, make_forwarded, make_report, make_table
from persimmondock.tests.virtual_network import (
    ServerBehavior,
    ServerProcess,
    VirtualNetwork,
    make_backend_client,
)

if TYPE_CHECKING:
    from persimmondock._tasks.backend_gate import BackendGate

STORE_CALL_S = 0.004
CALL_TIMEOUT_S = 1.5
ANNOUNCE_S = 0.87
RELEASING_INTERVAL_S = 0.1
ACK_TIMEOUT_S = 1.0
REPEAT_AFTER_S = (0.01, 0.3)
DOMAINS = ("recife", "fortaleza", "salvador")
PARTITIONS = SitePartitions(Partition("operator"), Partition("members"), Partition("assignments"))
CONFIG_KEY = "config"
ASSIGNMENT_KEY = ASSIGNMENT_KEY_PREFIX + SERVICE
EVACUATION_PREFIX = "evacuate/"
CODEC = OperatorCodec(
    CONFIG_KEY,
    lambda _: make_table(keyed=True),
    lambda key: key.removeprefix(EVACUATION_PREFIX) if key.startswith(EVACUATION_PREFIX) else None,
)
# The daemon whose code runs, if any; tasks inherit it.
RUNNING_DAEMON: contextvars.ContextVar[DaemonProcess | None] = contextvars.ContextVar(
    "RUNNING_DAEMON", default=None
)


@attrs.frozen
class _Record:
    """A record, and the instant at which it was appended."""

    key: str
    value: bytes
    at: float


class VirtualLog:
    """The store, in memory; it may come back from an older copy of itself.

    Attributes
    ----------
    era
        Number of times that it came back.
    down_until
        Instant until which no call is answered.
    late_writes
        Delays in seconds of the next conditional writes, which get no answer.
    cut_off, refused
        Names of the VMs whose daemons get no answer, and of those that are refused every call.
    """

    def __init__(self) -> None:
        self.era = 0
        self.down_until = -math.inf
        self.late_writes: list[float] = []
        self.cut_off: set[str] = set()
        self.refused: set[str] = set()
        self._records: dict[Partition, list[_Record]] = {}
        self._appended = asyncio.Event()

    def append(self, partition: Partition, key: str, value: bytes) -> int:
        """Append a record and return its position."""
        records = self._records.setdefault(partition, [])
        records.append(_Record(key, value, read_clock()))
        self._wake_readers()
        return self._find_end(partition) - 1

    def _wake_readers(self) -> None:
        self._appended.set()
        self._appended = asyncio.Event()

    def _find_end(self, partition: Partition) -> int:
        return make_position(self.era, len(self._records.get(partition, [])))

    def _list_entries(self, partition: Partition, offset: int = 0) -> list[KeyedEntry]:
        records = self._records.get(partition, [])[offset:]
        return [
            KeyedEntry(make_position(self.era, offset + number), record.key, record.value)
            for number, record in enumerate(records)
        ]

    def find_newest(self, partition: Partition, key: str) -> KeyedEntry:
        """Return the newest record of a key."""
        return next(e for e in reversed(self._list_entries(partition)) if e.key == key)

    async def restore(self, age_s: float, away_s: float, operator: Partition) -> None:
        """Be away, and come back from a copy; operators write their newest lost records again.

        Parameters
        ----------
        age_s
            Seconds from the copy to now.
        """
        copied_at = read_clock() - age_s
        self.down_until = max(self.down_until, read_clock() + away_s)
        self._wake_readers()
        await asyncio.sleep(away_s)
        lost = [r for r in self._records.get(operator, []) if r.at > copied_at]
        self._records = {
            partition: [record for record in records if record.at <= copied_at]
            for partition, records in self._records.items()
        }
        self.era += 1
        for record in {record.key: record for record in lost}.values():
            self.append(operator, record.key, record.value)
        self._wake_readers()

    @property
    def is_down(self) -> bool:
        """Whether calls get no answer."""
        return read_clock() < self.down_until

    async def _find_failure(self) -> StoreFailed | None:
        """Return why the daemon whose code runs gets no answer, or None."""
        daemon = RUNNING_DAEMON.get()
        if daemon is not None and daemon.name in self.cut_off:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return StoreFailed("no answer")
        if daemon is not None and daemon.name in self.refused:
            return StoreFailed("status 503")
        return None

    async def read_newest(self, partition: Partition) -> Records | StoreFailed:
        """Read the newest record of each key."""
        await asyncio.sleep(STORE_CALL_S)
        if (failure := await self._find_failure()) is not None:
            return failure
        if self.is_down:
            return StoreFailed("down")
        newest = {entry.key: entry for entry in self._list_entries(partition)}
        return Records(tuple(newest.values()), self._find_end(partition))

    async def read_from(self, partition: Partition, offset: int, wait_s: float) -> ReadOutcome:
        """Read records from a position; wait up to ``wait_s`` seconds for one."""
        await asyncio.sleep(STORE_CALL_S / 2)
        if (failure := await self._find_failure()) is not None:
            return failure
        wait_until = read_clock() + wait_s
        while (
            not self.is_down
            and self._find_end(partition) <= offset
            and find_era(offset) == self.era
            and read_clock() < wait_until
        ):
            try:
                async with asyncio.timeout(wait_until - read_clock()):
                    await self._appended.wait()
            except TimeoutError:
                break
        outcome: ReadOutcome
        if self.is_down:
            outcome = StoreFailed("down")
        elif find_era(offset) != self.era:
            outcome = LogRestored(self.era)
        else:
            entries = self._list_entries(partition, find_offset(offset))
            outcome = Records(tuple(entries), self._find_end(partition))
        await asyncio.sleep(STORE_CALL_S / 2)
        return await self._find_failure() or outcome

    async def write(
        self, partition: Partition, entries: Sequence[tuple[str, bytes]], expected_end: int | None
    ) -> WriteOutcome:
        """Append records; with ``expected_end`` only if the partition ends there, in any era."""
        if (failure := await self._find_failure()) is not None:
            return failure
        if expected_end is not None and self.late_writes:
            late = self._write_late(partition, entries, expected_end, self.late_writes.pop(0))
            asyncio.get_running_loop().create_task(late, context=contextvars.Context())
            await asyncio.sleep(CALL_TIMEOUT_S)
            return StoreFailed("no answer")
        await asyncio.sleep(STORE_CALL_S / 2)
        outcome = self._write_now(partition, entries, expected_end)
        await asyncio.sleep(STORE_CALL_S / 2)
        return await self._find_failure() or outcome

    async def _write_late(
        self,
        partition: Partition,
        entries: Sequence[tuple[str, bytes]],
        expected_end: int,
        delay_s: float,
    ) -> None:
        await asyncio.sleep(delay_s)
        self._write_now(partition, entries, expected_end)

    def _write_now(
        self, partition: Partition, entries: Sequence[tuple[str, bytes]], expected_end: int | None
    ) -> WriteOutcome:
        if self.is_down:
            return StoreFailed("down")
        end = self._find_end(partition)
        if expected_end is not None and find_offset(expected_end) != find_offset(end):
            return Conflict()
        for key, value in entries:
            self.append(partition, key, value)
        return Written(end)


class DaemonProcess:
    """One process of a daemon; everything that it started ends with it."""

    def __init__(self, vm: VirtualVm, log: VirtualLog, grant_mode: GrantMode) -> None:
        # In the order of their start, so that runs can be repeated.
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.is_running = True
        self.name = vm.name
        self.host = vm.host
        settings = NodeSettings(
            node=vm.name,
            failure_domain=vm.failure_domain,
            service=SERVICE,
            backend_address=vm.backend_address,
            store_address="",
            caller_address="",
            ready_address="",
            announce_address="",
            peer_address=vm.peer_address,
            grant_mode=grant_mode,
            is_first_start=not vm.was_started,
        )
        vm.was_started = True
        self.context = contextvars.copy_context()
        self.context.run(RUNNING_DAEMON.set, self)
        self._client = make_backend_client(vm.backend_address)
        self.sidecar: Sidecar = self.context.run(
            Sidecar, settings, log, self._client, PARTITIONS, CODEC
        )

    def create_task(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task of this process."""
        return self.context.run(asyncio.get_running_loop().create_task, work)

    def kill(self) -> None:
        """End the process."""
        self.is_running = False
        for task in list(self.tasks):
            task.cancel()
        self.sidecar.close()
        self._client.close()


def _create_task(
    loop: asyncio.AbstractEventLoop, work: Coroutine[Any, Any, Any], **kwargs: Any
) -> asyncio.Task[Any]:
    task: asyncio.Task[Any] = asyncio.Task(work, loop=loop, **kwargs)
    daemon = RUNNING_DAEMON.get()
    if daemon is not None:
        daemon.tasks[task] = None
        task.add_done_callback(lambda _: daemon.tasks.pop(task, None))
        if not daemon.is_running:
            task.cancel()
    return task


def _find_running_host() -> str:
    daemon = RUNNING_DAEMON.get()
    return daemon.host if daemon is not None else ""


@attrs.define(eq=False)
class VirtualVm:
    """A daemon and the backend server beside it.

    Parameters
    ----------
    daemon, server
        Their present processes, or None while they are down.
    was_started
        Whether a process of the daemon has been started.
    answered
        The two processes that share a connection, on which an announcement was answered.
    """

    name: str
    failure_domain: str
    backend_address: str
    peer_address: str
    behavior: ServerBehavior = attrs.field(factory=ServerBehavior)
    daemon: DaemonProcess | None = None
    server: ServerProcess | None = None
    sequence: int = 0
    starts: int = 0
    announcing: asyncio.Task[None] | None = None
    was_started: bool = False
    answered: tuple[DaemonProcess, ServerProcess] | None = None

    @property
    def host(self) -> str:
        """Address without the port."""
        return self.peer_address.partition(":")[0]


@attrs.define
class Sending:
    """One sending of a request to a gate.

    Parameters
    ----------
    verdict
        What the gate returned; None if it has not, or its daemon has ended.
    """

    attempt: str
    sent_at: float
    verdict: Verdict | None = None


class VirtualFleet:
    """VMs of one service; the ranges of the first assignment are few and equal in size.

    Parameters
    ----------
    ranges_each
        Ranges that each VM owns at the start.
    request_interval_s
        Mean time between the requests that a gate gets.
    grant_mode
        How backend servers get their grants.
    max_sendings
        How often a request is sent under its identifier while it is refused.

    Attributes
    ----------
    sendings
        All requests that gates got, in the order of their sending.
    """

    def __init__(
        self,
        count: int = 3,
        ranges_each: int = 2,
        request_interval_s: float = 0.2,
        grant_mode: GrantMode = GrantsByCall(),  # noqa: B008
        seed: int = 1,
        max_sendings: int = 1,
    ) -> None:
        self.network = VirtualNetwork()
        self.network.find_host = _find_running_host
        self.log = VirtualLog()
        self.random = random.Random(seed)
        self.vms = [
            VirtualVm(f"vm-{n}", DOMAINS[n % 3], f"10.0.0.{n}:80", f"10.0.0.{n}:90")
            for n in range(count)
        ]
        self._ranges_each = ranges_each
        self._request_interval_s = request_interval_s
        self._grant_mode = grant_mode
        self._max_sendings = max_sendings
        self.sendings: list[Sending] = []
        self._tasks: list[asyncio.Task[Any]] = []
        asyncio.get_running_loop().set_task_factory(_create_task)

    @property
    def processes(self) -> list[ServerProcess]:
        """All processes of backend servers, past and present."""
        return self.network.processes

    async def start(self) -> None:
        """Start all processes, and wait until all keys are held."""
        self.log.append(PARTITIONS.operator, CONFIG_KEY, b"{}")
        for vm in self.vms:
            self.start_server(vm)
        count = self._ranges_each * len(self.vms)
        ranges = [
            KeyRange(
                KEY_COUNT * n // count,
                KEY_COUNT * (n + 1) // count - 1,
                self.find_incarnation(self.vms[n % len(self.vms)]),
                1,
            )
            for n in range(count)
        ]
        witnesses = frozenset(vm.name for vm in self.vms[: (len(self.vms) - 1) | 1])
        first = Assignment(SERVICE, tuple(ranges), witnesses)
        self.log.append(PARTITIONS.assignments, ASSIGNMENT_KEY, encode_assignment(first))
        for vm in self.vms:
            await self.start_daemon(vm)
            self._tasks.append(asyncio.create_task(self._send_requests(vm)))
        await self.wait_until_held(10.0)

    async def wait_until_held(self, timeout_s: float) -> None:
        """Wait until every key is held.

        Raises
        ------
        TimeoutError
            If some are not within the time.
        """
        async with asyncio.timeout(timeout_s):
            while self.list_free():
                await asyncio.sleep(0.05)

    def list_free(self) -> list[tuple[int, int]]:
        """Return the ranges of keys that no process holds."""
        free, position = [], 0
        held = [span for process in self.processes for span in process.list_held()]
        for span in sorted(held, key=lambda span: span.first):
            if span.first > position:
                free.append((position, span.first - 1))
            position = max(position, span.last + 1)
        return [*free, (position, KEY_COUNT - 1)] if position < KEY_COUNT else free

    def read_assignment(self) -> Assignment:
        """Return the newest assignment that the store has."""
        entry = self.log.find_newest(PARTITIONS.assignments, ASSIGNMENT_KEY)
        return decode_assignment(SERVICE, entry.offset + 1, entry.value)

    def find_assignment_offset(self) -> int:
        """Return the offset of the newest assignment."""
        return self.log.find_newest(PARTITIONS.assignments, ASSIGNMENT_KEY).offset

    def find_incarnation(self, vm: VirtualVm) -> BackendIncarnation:
        """Return the incarnation of a VM's present backend server."""
        assert vm.server is not None
        return BackendIncarnation(vm.name, vm.server.instance, vm.server.born_ms)

    # Processes.

    async def start_daemon(self, vm: VirtualVm) -> None:
        """Start a daemon that remembers nothing."""
        vm.daemon = DaemonProcess(vm, self.log, self._grant_mode)
        self.network.serve_peers(vm.daemon.sidecar.mesh.server)
        await vm.daemon.create_task(vm.daemon.sidecar.start())

    async def restart_daemon(self, vm: VirtualVm, down_s: float) -> None:
        """Kill a daemon, and start it again later."""
        if vm.daemon is None:
            return
        self.kill_daemon(vm)
        await asyncio.sleep(down_s)
        await self.start_daemon(vm)

    def kill_daemon(self, vm: VirtualVm) -> None:
        """Kill a daemon."""
        if vm.daemon is not None:
            vm.daemon.kill()
            vm.daemon = None

    def start_server(
        self, vm: VirtualVm, announced_after_s: float = 0.0, keeps_name: bool = False
    ) -> None:
        """Start a backend server that announces itself some time later."""
        vm.starts += not keeps_name
        vm.sequence = 0
        vm.server = ServerProcess(
            self.network, vm.backend_address, f"i-{vm.name}-{vm.starts}", vm.behavior
        )
        vm.announcing = asyncio.create_task(self._announce(vm, vm.server, announced_after_s))

    async def _announce(self, vm: VirtualVm, server: ServerProcess, after_s: float) -> None:
        await asyncio.sleep(after_s)
        while server.is_running:
            sent_at = read_clock()
            await self.announce(vm, server)
            next_at = sent_at + (RELEASING_INTERVAL_S if server.releasing else ANNOUNCE_S)
            await asyncio.sleep(max(0.0, next_at - read_clock()))

    async def announce(
        self, vm: VirtualVm, server: ServerProcess, draining: bool = False, delay_s: float = 0.0
    ) -> None:
        """Send an announcement and apply its reply; none is expected to one that is delayed."""
        sent_at = read_clock()
        announcement = self._build_announcement(vm, server, draining)
        await asyncio.sleep(delay_s)
        daemon = vm.daemon
        if daemon is None:
            return
        is_recent = delay_s == 0 and vm.answered == (daemon, server)
        accepted = daemon.context.run(daemon.sidecar.handle_announcement, announcement, is_recent)
        if accepted and delay_s == 0:
            vm.answered = (daemon, server)
        if not accepted or delay_s > 0 or isinstance(self._grant_mode, GrantsByCall):
            return
        reply = daemon.create_task(daemon.sidecar.grant_holdings(announcement))
        # The daemon drops its reply when the connection of a killed process ends.
        server.on_kill.append(reply.cancel)
        await asyncio.wait([reply], timeout=ACK_TIMEOUT_S)
        server.on_kill.remove(reply.cancel)
        if not reply.done():
            reply.cancel()
        elif not reply.cancelled() and server.is_running:
            del server.freed[: len(announcement.holdings.freed)]
            if (granted := reply.result()) is not None:
                server.apply_reply(granted, sent_at)

    def _build_announcement(
        self, vm: VirtualVm, server: ServerProcess, draining: bool
    ) -> BackendAnnouncement:
        vm.sequence += 1
        return make_report(
            instance=server.instance,
            address=vm.backend_address,
            failure_domain=vm.failure_domain,
            slots=8,
            sequence=vm.sequence,
            born_ms=server.born_ms,
            draining=draining,
            holdings=(
                ReportedHoldings()
                if isinstance(self._grant_mode, GrantsByCall)
                else server.report_holdings()
            ),
        )

    def kill_server(self, vm: VirtualVm) -> None:
        """Kill the backend server."""
        if vm.server is not None:
            vm.server.kill()
            vm.server = None
        if vm.announcing is not None:
            vm.announcing.cancel()

    async def crash_server(
        self, vm: VirtualVm, down_s: float, announced_after_s: float, keeps_name: bool = False
    ) -> None:
        """Kill the backend server; another process listens at its address later."""
        if vm.server is None:
            return
        self.kill_server(vm)
        await asyncio.sleep(down_s)
        self.start_server(vm, announced_after_s, keeps_name)

    async def replace_server(self, vm: VirtualVm, drain_s: float, announced_after_s: float) -> None:
        """Let a backend server leave; another one starts at its address as soon as it has ended."""
        server = vm.server
        if server is None:
            return
        if vm.announcing is not None:
            vm.announcing.cancel()
        vm.announcing = asyncio.create_task(self.announce(vm, server, draining=True))
        await asyncio.sleep(drain_s)
        if vm.server is not server:
            return
        if vm.daemon is not None:
            vm.daemon.context.run(vm.daemon.sidecar.handle_leave, server.instance, server.born_ms)
        self.kill_server(vm)
        self.start_server(vm, announced_after_s)

    async def evacuate(self, failure_domain: str, for_s: float) -> None:
        """Evacuate a failure domain for some time; its backend servers go on running."""
        self.log.append(PARTITIONS.operator, EVACUATION_PREFIX + failure_domain, b"1")
        await asyncio.sleep(for_s)
        self.log.append(PARTITIONS.operator, EVACUATION_PREFIX + failure_domain, b"")

    @contextlib.contextmanager
    def cut(self, *groups: Sequence[VirtualVm]) -> Iterator[None]:
        """Cut groups of VMs off from each other."""
        pairs = {
            frozenset({one.host, other.host})
            for group in groups
            for one in group
            for others in groups
            if others is not group
            for other in others
        } - self.network.cuts
        self.network.cuts |= pairs
        try:
            yield
        finally:
            self.network.cuts -= pairs

    # Requests.

    async def _send_requests(self, vm: VirtualVm) -> None:
        """Send requests for keys of the VM's own backend server until cancelled."""
        number = 0
        while True:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * self._request_interval_s)
            if vm.daemon is None:
                continue
            gate, keeper = vm.daemon.sidecar.gate, vm.daemon.sidecar.keeper
            ranges = [r for r in keeper.assignment.ranges if r.owner == keeper.incarnation]
            if ranges:
                number += 1
                key = self.random.choice(ranges).first
                vm.daemon.create_task(self._send_request(gate, f"{vm.name}/{number}", key))

    async def _send_request(self, gate: BackendGate, attempt: str, key: int) -> None:
        """Send a request to a gate, and again under the same identifier while it is refused."""
        headers = (("X-Attempt-Id", attempt), ("X-Shard-Key", str(key)))
        for _ in range(self._max_sendings):
            request = make_forwarded(read_clock(), attempt=attempt, key=key, headers=headers)
            sending = Sending(attempt, read_clock())
            self.sendings.append(sending)
            sending.verdict = await gate.run(attrs.evolve(request, idempotent=True))
            if not isinstance(sending.verdict, NotRun):
                break
            if self._max_sendings > 1:
                await asyncio.sleep(self.random.uniform(*REPEAT_AFTER_S))

    def close(self) -> None:
        """End everything."""
        for vm in self.vms:
            if vm.daemon is not None:
                vm.daemon.kill()
            self.kill_server(vm)
        for task in self._tasks:
            task.cancel()


def find_untrue_refusals(fleet: VirtualFleet) -> list[str]:
    """Return the sendings that a gate refused as not run though a backend server ran them.

    A run belongs to the last sending of its request before it.
    """
    runs: dict[str, list[float]] = defaultdict(list)
    for process in fleet.processes:
        for run in process.requests:
            runs[run.attempt].append(run.at)
    sendings: dict[str, list[Sending]] = defaultdict(list)
    for sending in fleet.sendings:
        sendings[sending.attempt].append(sending)
    return [
        f"untrue: {sending} ran at {at:.4f}"
        for attempt, times in runs.items()
        for at in times
        for sending in [s for s in sendings[attempt] if s.sent_at <= at][-1:]
        if isinstance(sending.verdict, NotRun)
    ]
