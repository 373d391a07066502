"""Daemons of one service and their backend servers in one process, in virtual time.

The dispatchers and gates are those of the product. Links, backend servers, heartbeats and callers
are imitated; every call between daemons passes through msgpack.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import attrs
import msgpack

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.peer_stream import PROTOCOL_VERSION, Delivery, PeerRequestError
from persimmondock._domain.assignment import Assignment, BackendIncarnation, KeyRange
from persimmondock._domain.backend_notice import BackendNotice
from persimmondock._domain.backend_report import BackendAnnouncement
from persimmondock._domain.forwarding import NO_KEY, ForwardedRequest
from persimmondock._domain.range_lease import RangeLease
from persimmondock._domain.routing_table import ServicePolicy
from persimmondock._domain.site import SiteBounds
from persimmondock._domain.verdict import Answer, Answered, Header, NotRun, Verdict, name_verdict
from persimmondock._ports.metrics import NoMetrics
from persimmondock._tasks.backend_gate import BackendGate
from persimmondock._tasks.dispatcher import Dispatcher
from persimmondock._tasks.mesh import Member, Mesh, Peer
from persimmondock._tasks.range_keeper import RangeKeeper
from persimmondock.platform import _headers
from persimmondock.tests.fake_backend import FakeBackend
from persimmondock.tests.sites import SERVICE, make_forwarded, make_report, make_route

CALLER_SERVICE = "recepcao"
HOP_S = 0.002
HEARTBEAT_S = 0.5
ANNOUNCE_S = 0.87
TIMEOUT_S = 2.5
OBJECTIVE_S = 0.4
DOMAINS = ("recife", "fortaleza", "salvador")


@attrs.frozen
class Arrival:
    """A request that reached a backend server.

    Parameters
    ----------
    front
        Daemon at which it began.
    sent_at
        Instant at which the caller sent it.
    """

    at: float
    front: str
    sent_at: float


@attrs.define
class VirtualServer(FakeBackend):
    """A backend server that may name a limit and its leaving in its answers.

    Parameters
    ----------
    limit
        Value of the field by which answers name a limit; empty for none.
    leaving
        Whether answers say that it leaves.
    unnamed_share
        Share of the answers that name no limit although there is one.
    spread
        Largest deviation of a request's time from ``work_s``, as a share of it.
    """

    name: str = ""
    limit: str = ""
    leaving: bool = False
    unnamed_share: float = 0.0
    spread: float = 0.0
    random: random.Random = attrs.field(factory=lambda: random.Random(1))
    arrivals: list[Arrival] = attrs.field(factory=list)

    def _list_fields(self) -> tuple[Header, ...]:
        fields = [Header("X-Server-Signature", "3e1b"), Header("X-Server", self.name)]
        count, share = len(self.arrivals), self.unnamed_share
        if self.limit and int(count * share) == int((count - 1) * share):
            fields.append(Header("Server-Limit", self.limit))
        if self.leaving:
            fields.append(Header("Server-Leaving", "1"))
        return tuple(fields)

    def _read_notice(self, fields: tuple[Header, ...]) -> BackendNotice | None:
        return _headers.read_notice([(field.name, field.value) for field in fields])

    async def run(
        self,
        request: ForwardedRequest,
        instance: str,
        check: Callable[[], NotRun | None],
        record_notice: Callable[[BackendNotice], None],
    ) -> Verdict:
        """Run a request."""
        await asyncio.sleep(0)
        refusal = check()
        if refusal is not None:
            return refusal
        front, _, sent_at = request.attempt.split("/")
        self.arrivals.append(Arrival(read_clock(), front, float(sent_at)))
        await asyncio.sleep(self.work_s * (1.0 + self.random.uniform(-self.spread, self.spread)))
        fields = self._list_fields()
        notice = self._read_notice(fields)
        if notice is not None:
            record_notice(notice)
        return Answered(Answer(200, fields, b"done"))

    async def check_health(self, path: str, instance: str) -> BackendNotice | None:
        """Answer a health check."""
        await asyncio.sleep(0)
        self.health_checks.append(path)
        return self._read_notice(self._list_fields())


class HeldKeys(RangeKeeper):
    """A keeper whose backend server holds all keys."""

    def find_refusal(self, key: int, now: float) -> NotRun | None:
        """Refuse nothing."""
        return None


@attrs.define
class Outcome:
    """How a request of a caller ended, with all its retries."""

    sent_at: float
    ended_at: float
    verdict: str
    priority: int
    retry_after_ms: int = 0


@attrs.define
class VirtualControl:
    """Assignment of keys that does not change."""

    assignments: dict[str, Assignment] = attrs.field(factory=dict)


class DaemonProcess:
    """What a daemon keeps in memory; a restart makes a new one."""

    def __init__(self, node: VirtualNode, site: VirtualSite) -> None:
        own = Member(node.name, f"{node.name}:1", node.failure_domain, node.service)
        self.mesh = Mesh(own, [], lambda: self.gate.describe(), lambda *_: None)
        keeper = HeldKeys(node.server, RangeLease(), node.name)
        self.gate = BackendGate(node.name, site.bounds, node.server, keeper, NoMetrics())
        self.gate.limits.policy = ServicePolicy(SERVICE)
        self.dispatcher = Dispatcher(
            node.service,
            site.bounds,
            self.mesh,
            self.gate,
            site.control,
            NoMetrics(),
            is_first_start=not node.was_started,
        )
        node.was_started = True
        self.dispatcher._random = random.Random(site.seed)
        self.dispatcher.read_notice = _headers.read_answer_notice
        self.tasks: set[asyncio.Task[Any]] = set()
        # Servers whose answers with a limit, or with their leaving, were passed on here.
        self.passed_on_limit: dict[str, float] = {}
        self.passed_on_leaving: dict[str, float] = {}

    def start(self, work: Any) -> asyncio.Task[Any]:
        """Start a task that ends with the process."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def kill(self) -> None:
        """End all tasks at once."""
        for task in list(self.tasks):
            task.cancel()


@attrs.define(eq=False)
class VirtualNode:
    """One VM with a daemon and a backend server.

    Parameters
    ----------
    process
        The daemon, or None while it is down.
    frozen_until
        Instant until which the daemon stands still.
    was_started
        Whether a daemon has run here before.
    renewed_at
        Instants at which the backend server was replaced by a new incarnation.
    """

    name: str
    service: str
    failure_domain: str
    server: VirtualServer = attrs.field(factory=VirtualServer)
    born_ms: int = 1000
    announces_draining: bool = False
    process: DaemonProcess | None = None
    frozen_until: float = 0.0
    was_started: bool = False
    renewed_at: list[float] = attrs.field(factory=list)

    def build_announcement(self, sequence: int, slots: int) -> BackendAnnouncement:
        """Return the backend server's next announcement."""
        return make_report(
            instance=f"i-{self.name}-{self.born_ms}",
            born_ms=self.born_ms,
            service=self.service,
            slots=slots,
            sequence=sequence,
            draining=self.announces_draining,
        )


@attrs.define
class VirtualLink:
    """Connection of one daemon to another one."""

    site: VirtualSite
    source: VirtualNode
    target: VirtualNode
    connected: bool = True
    version: int = PROTOCOL_VERSION

    def _find_process(self) -> DaemonProcess:
        process = self.target.process
        if process is None or self.site.is_cut(self.source, self.target):
            raise PeerRequestError("not connected", sent=False)
        return process

    async def request(self, kind: str, payload: Any, outlives_silence: bool = False) -> Any:
        """Send a request and return its reply."""
        process = self._find_process()
        data = msgpack.packb(payload)
        sent_at = read_clock()
        await asyncio.sleep(HOP_S)
        while self.target.frozen_until > read_clock():
            await asyncio.sleep(self.target.frozen_until - read_clock())
        if self.target.process is not process:
            raise PeerRequestError("reset", sent=True)
        delivery = Delivery(self.source.name, read_clock() - sent_at - HOP_S, self.version)
        handler = process.mesh.server.handlers[kind]
        task = process.start(handler(msgpack.unpackb(data), delivery))
        try:
            reply = await task
        except asyncio.CancelledError:
            if self.target.process is process:
                task.cancel()
                raise
            raise PeerRequestError("reset", sent=True) from None
        await asyncio.sleep(HOP_S)
        if self.site.is_cut(self.source, self.target):
            raise PeerRequestError("reset", sent=True)
        return msgpack.unpackb(msgpack.packb(reply))

    def send(self, kind: str, payload: Any, on_reply: Callable[[Any], None], **_: Any) -> None:
        """Send a message; it arrives before any request that is sent after it."""
        process = self._find_process()
        data = msgpack.packb(payload)

        async def deliver() -> None:
            await asyncio.sleep(HOP_S)
            while self.target.frozen_until > read_clock():
                await asyncio.sleep(self.target.frozen_until - read_clock())
            handler = process.mesh.server.instant_handlers.get(kind)
            if self.target.process is process and handler is not None:
                on_reply(
                    handler(msgpack.unpackb(data), Delivery(self.source.name, 0.0, self.version))
                )

        if self.source.process is not None:
            self.source.process.start(deliver())

    def close(self) -> None:
        """Do nothing."""


class VirtualSite:
    """Fronts of one service in front of the backend servers of another.

    Parameters
    ----------
    servers
        Number of VMs with a backend server of the service that callers ask for.
    fronts
        Number of VMs at which requests begin.
    keyed
        Whether each request belongs to one of the servers.
    retries
        Times that a caller sends a refused request again, when the refusal says so.

    Attributes
    ----------
    returns_at
        Instants at which callers sent refused requests again.
    lost_reports
        Pairs of a daemon and one whose heartbeats it does not get.
    """

    def __init__(
        self,
        servers: int = 3,
        fronts: int = 4,
        slots: int = 12,
        work_s: float = 0.12,
        keyed: bool = False,
        retries: int = 0,
        seed: int = 1,
        bounds: SiteBounds = SiteBounds(),  # noqa: B008
    ) -> None:
        self.bounds = bounds
        self.seed = seed
        self.random = random.Random(seed)
        self.keyed = keyed
        self.retries = retries
        self.returns_at: list[float] = []
        self.slots = slots
        self.control = VirtualControl()
        self.cuts: set[frozenset[str]] = set()
        self.lost_reports: set[tuple[str, str]] = set()
        self.outcomes: list[Outcome] = []
        self.servers = [
            VirtualNode(
                f"server-{n}",
                SERVICE,
                DOMAINS[n % 3],
                VirtualServer(work_s=work_s, name=f"server-{n}"),
            )
            for n in range(servers)
        ]
        self.fronts = [
            VirtualNode(f"front-{n}", CALLER_SERVICE, DOMAINS[n % 3]) for n in range(fronts)
        ]
        self.nodes = [*self.servers, *self.fronts]
        self._tasks: set[asyncio.Task[Any]] = set()
        self._number = 0

    def is_cut(self, one: VirtualNode, other: VirtualNode) -> bool:
        """Return whether two VMs cannot reach each other."""
        return frozenset({one.name, other.name}) in self.cuts

    async def start(self) -> None:
        """Start all daemons and wait until they know each other."""
        if self.keyed:
            count = len(self.servers)
            ranges = tuple(
                KeyRange(
                    65_536 * n // count,
                    65_536 * (n + 1) // count - 1,
                    BackendIncarnation(node.name, "", 0),
                    1,
                )
                for n, node in enumerate(self.servers)
            )
            self.control.assignments[SERVICE] = Assignment(
                SERVICE, ranges, frozenset(), frozenset(), 1
            )
        for node in self.nodes:
            self.start_daemon(node)
        await asyncio.sleep(2 * HEARTBEAT_S)

    def start_daemon(self, node: VirtualNode) -> None:
        """Start a daemon that remembers nothing."""
        node.process = DaemonProcess(node, self)
        for other in self.nodes:
            if other is not node:
                member = Member(other.name, "", other.failure_domain, other.service)
                link = VirtualLink(self, node, other)
                node.process.mesh.add_peer(Peer(member, link))
        node.process.start(self._run_heartbeats(node))
        node.process.start(self._run_announcements(node, node.process))
        node.process.start(node.process.gate.watch_limit())

    async def _run_heartbeats(self, node: VirtualNode) -> None:
        while True:
            for peer in list(node.process.mesh.peers.values()) if node.process else ():
                target = peer.client.target
                peer.client.connected = target.process is not None and not self.is_cut(node, target)
                stands_still = max(node.frozen_until, target.frozen_until) > read_clock()
                is_lost = (node.name, target.name) in self.lost_reports
                if peer.client.connected and not stands_still and not is_lost:
                    peer.status = target.process.gate.describe()
                    peer.heard_at = read_clock()
                    node.process.dispatcher.record_status_update(target.name)
            await asyncio.sleep(HEARTBEAT_S)

    async def _run_announcements(self, node: VirtualNode, process: DaemonProcess) -> None:
        await asyncio.sleep(self.random.uniform(0.0, ANNOUNCE_S))
        sequence = 0
        while True:
            sequence += 1
            if node.frozen_until <= read_clock():
                process.gate.handle_announcement(node.build_announcement(sequence, self.slots))
            await asyncio.sleep(ANNOUNCE_S)

    # Faults.

    async def restart(self, node: VirtualNode, down_s: float = 1.0) -> None:
        """Kill a daemon, and start it again later."""
        if node.process is None:
            return
        process, node.process = node.process, None
        process.kill()
        await asyncio.sleep(down_s)
        self.start_daemon(node)

    def renew_server(self, node: VirtualNode) -> None:
        """Start a new incarnation of a backend server, which has named nothing yet."""
        node.born_ms += 1
        node.renewed_at.append(read_clock())
        for other in self.nodes:
            if other.process is not None:
                other.process.passed_on_limit.pop(node.name, None)
                other.process.passed_on_leaving.pop(node.name, None)

    async def freeze(self, node: VirtualNode, for_s: float) -> None:
        """Hold everything that reaches a daemon for some time."""
        node.frozen_until = read_clock() + for_s
        await asyncio.sleep(for_s)

    async def cut(self, one: VirtualNode, other: VirtualNode, for_s: float) -> None:
        """Cut two VMs off from each other."""
        pair = frozenset({one.name, other.name})
        self.cuts.add(pair)
        await asyncio.sleep(for_s)
        self.cuts.discard(pair)

    # Callers.

    def call(self, front: VirtualNode, **changes: Any) -> None:
        """Send one request of a caller to a front."""
        task = asyncio.get_running_loop().create_task(self._call(front, **changes))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, front: VirtualNode, **changes: Any) -> None:
        """Send a request, and send it again as often as ``retries`` after refusals."""
        first_sent_at = read_clock()
        deadline = first_sent_at + TIMEOUT_S
        for left in range(self.retries, -1, -1):
            outcome = await self._send(front, first_sent_at, deadline, changes)
            if outcome is None:
                return
            retry_after_s = min(outcome.retry_after_ms / 1000, (deadline - read_clock()) / 3)
            if left and retry_after_s > 0:
                self.returns_at.append(read_clock() + retry_after_s)
                await asyncio.sleep(retry_after_s)
                continue
            self.outcomes.append(outcome)
            return

    async def _send(
        self, front: VirtualNode, first_sent_at: float, deadline: float, changes: dict[str, Any]
    ) -> Outcome | None:
        process = front.process
        if process is None or front.frozen_until > read_clock():
            return None
        self._number += 1
        sent_at = read_clock()
        request = make_forwarded(
            sent_at,
            **{
                "attempt": f"{front.name}/{self._number}/{sent_at}",
                "key": self.random.randrange(65_536) if self.keyed else NO_KEY,
                "deadline": deadline,
                "objective_at": sent_at + OBJECTIVE_S,
                **changes,
            },
        )
        route = make_route(objective_s=OBJECTIVE_S)
        task = process.start(process.dispatcher.dispatch(request, route))
        try:
            verdict = await task
        except asyncio.CancelledError:
            return None
        outcome = Outcome(first_sent_at, read_clock(), name_verdict(verdict), request.priority)
        match verdict:
            case Answered(answer=answer):
                self._record_passed_on(process, request, answer)
            case NotRun(retry_after_ms=retry_after_ms):
                outcome.retry_after_ms = retry_after_ms
        return outcome

    def _record_passed_on(
        self, process: DaemonProcess, request: ForwardedRequest, answer: Answer
    ) -> None:
        """Record that a front passed on an answer with a limit, or with a server's leaving."""
        now = read_clock()
        server = next(h.value for h in answer.headers if h.name == "X-Server")
        notice = _headers.read_answer_notice(answer)
        if notice is not None and notice.max_per_s is not None:
            process.passed_on_limit.setdefault(server, now)
        if notice is not None and notice.leaving:
            process.passed_on_leaving.setdefault(server, now)

    async def offer(self, per_s: float, for_s: float, **changes: Any) -> None:
        """Send requests at random instants to random fronts."""
        until = read_clock() + for_s
        while read_clock() < until:
            self.call(self.random.choice(self.fronts), **changes)
            await asyncio.sleep(self.random.expovariate(per_s))

    async def close(self) -> None:
        """Wait for all requests, and stop all daemons."""
        while self._tasks:
            await asyncio.sleep(0.1)
        for node in self.nodes:
            if node.process is not None:
                node.process.kill()
        await asyncio.sleep(0)


# Checks.


def count_arrivals(server: VirtualServer, start: float, window_s: float = 4.0) -> int:
    """Return the largest number of arrivals in any window that starts at ``start`` or later."""
    times = sorted(a.at for a in server.arrivals if a.at >= start)
    return max((sum(t <= other < t + window_s for other in times) for t in times), default=0)
