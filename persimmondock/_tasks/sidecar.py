"""One daemon on a site whose platform announces backend servers and enforces grants."""

from __future__ import annotations

import asyncio
import functools
import signal
from typing import TYPE_CHECKING, Any

import attrs
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.backend_report import BackendReport, Change
from persimmondock._domain.range_lease import RangeLease
from persimmondock._ports.keyed_log import Written
from persimmondock._ports.metrics import NoMetrics
from persimmondock._tasks.backend_gate import BackendGate
from persimmondock._tasks.dispatcher import Dispatcher
from persimmondock._tasks.key_control import KeyControl
from persimmondock._tasks.mesh import Member, Mesh, encode_member
from persimmondock._tasks.range_keeper import RangeKeeper
from persimmondock._tasks.site_state import SiteState
from persimmondock._tasks.store_follower import PartitionFollower

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._adapters.peer_stream import Delivery
    from persimmondock._domain.routing_table import RoutingTable
    from persimmondock._domain.site import NodeSettings
    from persimmondock._ports.backend import BackendServer
    from persimmondock._ports.keyed_log import KeyedLog, Partition
    from persimmondock._ports.metrics import MetricSink

MEMBER_RETRY_S = 0.5
MEMBER_BATCH_S = 0.3  # all daemons of a site start within 0.3 s and write their records
STOP_POLL_S = 0.05
STOP_MARGIN_S = 0.7  # before the process is killed
LINGER_S = 2.3  # callers are sent elsewhere after two failed readiness checks, a second apart
RELOADED_FIELDS = ("bounds",)
ASSIGNMENTS = 2  # place among the followers


@attrs.frozen
class SitePartitions:
    """Where things lie in the store."""

    operator: Partition
    members: Partition
    assignments: Partition


@attrs.frozen
class OperatorWords:
    """How the operators' records are read."""

    config_key: str
    decode: Callable[[bytes], RoutingTable]
    find_evacuated: Callable[[str], str | None]


class Sidecar:
    """All tasks of one daemon."""

    def __init__(
        self,
        settings: NodeSettings,
        log: KeyedLog,
        server: BackendServer,
        partitions: SitePartitions,
        words: OperatorWords,
        metrics: MetricSink | None = None,
    ) -> None:
        self.settings = settings
        self.metrics: MetricSink = metrics or NoMetrics()
        self.stopping = asyncio.Event()
        self._log = log
        self._tasks: list[asyncio.Task[None]] = []
        lease = RangeLease()
        self.keeper = RangeKeeper(server, lease, settings.node)
        self.gate = BackendGate(settings.node, settings.bounds, server, self.keeper, self.metrics)
        self.site = SiteState(
            words.config_key, words.decode, words.find_evacuated, self._apply_site
        )
        self._followers = (
            PartitionFollower(log, partitions.operator, self.site.take),
            PartitionFollower(log, partitions.members, self._take_members, None, MEMBER_BATCH_S),
            PartitionFollower(
                log, partitions.assignments, self._take_assignments, self._note_store
            ),
        )
        own = Member(
            settings.node, settings.peer_address, settings.failure_domain, settings.service
        )
        self.mesh = Mesh(own, self._followers, self.gate.describe, self._note_peer)
        for index, follower in enumerate(self._followers):
            follower.is_reader = self.mesh.is_reader
            follower.spread = functools.partial(self.mesh.spread, index)
        self.mesh.server.handlers["release"] = self.keeper.answer_release
        self.mesh.server.handlers["loads"] = self.gate.answer_loads
        self.mesh.server.handlers["suspects"] = self._learn_suspects
        self.gate.tell_suspects = lambda crashes: self.mesh.tell_all("suspects", crashes)
        self.keeper.mesh = self.mesh
        self.control = KeyControl(
            settings.node,
            settings.service,
            log,
            self._followers[ASSIGNMENTS],
            self.mesh,
            self.keeper,
            self.gate.describe,
            self.site.is_out,
            self.site.is_keyed,
            self.gate.loads,
        )
        self.dispatcher = Dispatcher(
            settings.service, settings.bounds, self.mesh, self.gate, self.control, self.metrics
        )
        self.dispatcher.is_out = self.site.is_out
        self.mesh.is_busy = self.dispatcher.is_waiting_for

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return self.site.table is not None and not self.stopping.is_set()

    async def start(self) -> None:
        """Listen to peers and start all tasks.

        Raises
        ------
        OSError
            If an address cannot be listened on.
        """
        await self.mesh.server.start(self.settings.peer_address)
        work = [follower.run() for follower in self._followers]
        work += [
            self.mesh.run(),
            self.keeper.run(),
            self.control.run(),
            self._announce_member(),
        ]
        for item in work:
            task = asyncio.create_task(item)
            task.add_done_callback(self._watch)
            self._tasks.append(task)
        logger.info("event=daemon_started daemon={}", self.settings.node)

    async def hand_over(self) -> float:
        """Give up keys and send callers elsewhere; they are still served meanwhile.

        Returns
        -------
        float
            Instant by which this daemon has to be gone.
        """
        started = read_clock()
        logger.info("event=leaving daemon={}", self.settings.node)
        self.gate.leaving = True
        await asyncio.sleep(LINGER_S)
        logger.info(
            "event=daemon_stopping daemon={} in_flight={} keys_held={}",
            self.settings.node,
            self.gate.count_in_flight() + self.dispatcher.in_flight,
            self.keeper.holds_any(),
        )
        return started + self.settings.bounds.stop_s - STOP_MARGIN_S

    async def drain(self, stop_by: float) -> None:
        """Let nothing new in, and wait for what other daemons have sent here."""
        self.gate.closed = True
        while self.gate.count_in_flight() and read_clock() < stop_by:
            await asyncio.sleep(STOP_POLL_S)

    def watch_signals(self) -> None:
        """Stop when asked to, and log what nobody awaits."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, self.stopping.set)
        loop.set_exception_handler(_log_stray_error)

    def close(self) -> None:
        """End all tasks and links."""
        for task in self._tasks:
            task.cancel()
        self.mesh.close()

    # Events.

    def take_report(self, report: BackendReport) -> bool:
        """Take an announcement of the backend server; return whether it is acknowledged."""
        settings = self.settings
        if report.service != settings.service or report.address != settings.backend_address:
            logger.warning(
                "event=report_refused instance={} service={} address={}",
                report.instance,
                report.service,
                report.address,
            )
            return False
        change = self.gate.take_report(report)
        if change not in (Change.NONE, Change.STALE):
            logger.info(
                "event=backend_changed change={} instance={} born_ms={} slots={} cold_s={}",
                change.value,
                report.instance,
                report.born_ms,
                report.slots,
                report.cold_s,
            )
        return True

    def take_leave(self, instance: str) -> None:
        """Take the backend server's goodbye."""
        change = self.gate.take_leave(instance)
        logger.info("event=backend_left change={} instance={}", change.value, instance)

    def _apply_site(self) -> None:
        self.gate.policy = self.site.find_policy(self.settings.service)
        self.gate.set_out(self.site.is_out(self.settings.failure_domain))

    def _take_members(self, changed: list[Any]) -> None:
        self.mesh.take_members(changed)

    def _take_assignments(self, changed: list[Any]) -> None:
        self.control.take(changed)

    def _note_store(self, end: int, asked_at: float) -> None:
        self.control.note_store(end, asked_at)

    def _note_peer(
        self,
        node: str,
        ends: tuple[int, ...],
        sure: bool,
        sent_at: float,
        now: float,
        proof_ages: list[float | None],
    ) -> None:
        self.dispatcher.note_status(node)
        if len(ends) <= ASSIGNMENTS:
            return
        end, age = ends[ASSIGNMENTS], proof_ages[ASSIGNMENTS]
        if age is not None:
            # The store told the peer at least this long before the heartbeat was sent.
            self.keeper.lease.confirm_by_store(end, sent_at - age)
        self.keeper.note_peer(node, end, sure, sent_at, now)

    async def _learn_suspects(self, crashes: Any, _: Delivery) -> None:
        self.gate.suspects.learn(crashes, read_clock())

    def measure(self) -> None:
        """Set all gauges."""
        sink, now = self.metrics, read_clock()
        status = self.gate.describe()
        table = self.site.table
        sink.set_gauge("ready", self.is_ready)
        sink.set_gauge("configuration_version", table.version if table is not None else -1)
        sink.set_gauge("in_flight", status.running)
        sink.set_gauge("queued", status.waiting)
        sink.set_gauge("slots", status.slots)
        sink.set_gauge("gate_open", status.open)
        sink.set_gauge("peers_known", len(self.mesh.peers))
        sink.set_gauge("peers_alive", len(self.mesh.list_alive(now)))
        for index, follower in enumerate(self._followers):
            sink.set_gauge(f"copy_end.{index}", follower.replica.end)
            sink.set_gauge(f"store_answers.{index}", follower.store_answers)
        sink.set_gauge("ranges_held", self.keeper.count_held())
        sink.set_gauge("lease_left_s", max(0.0, self.keeper.lease.compute_end() - now))

    def reload(self, settings: NodeSettings) -> None:
        """Apply settings that changed; what needs a new process is logged and left as it is."""
        fields = [field.name for field in attrs.fields(type(settings))]
        changed = [n for n in fields if getattr(settings, n) != getattr(self.settings, n)]
        fixed = [name for name in changed if name not in RELOADED_FIELDS]
        logger.info(
            "event=reload daemon={} changed={} needs_restart={}",
            self.settings.node,
            ",".join(changed) or "-",
            ",".join(fixed) or "-",
        )
        self.settings = attrs.evolve(
            self.settings, **{name: getattr(settings, name) for name in RELOADED_FIELDS}
        )
        self.gate.bounds = settings.bounds
        self.dispatcher.bounds = settings.bounds

    async def _announce_member(self) -> None:
        """Write this daemon's record unless the store has it already."""
        follower = self._followers[1]
        value = encode_member(self.mesh.own)
        while True:
            if (
                follower.replica.confirmed_by_store
                and follower.replica.get(self.mesh.own.node) != value
            ):
                outcome = await self._log.write(
                    follower.partition, [(self.mesh.own.node, value)], None
                )
                if isinstance(outcome, Written):
                    logger.info("event=member_written offset={}", outcome.offset)
                    return
                logger.info("event=member_not_written outcome={!r}", outcome)
            elif follower.replica.confirmed_by_store:
                return
            await asyncio.sleep(
                MEMBER_RETRY_S if follower.replica.confirmed_by_store else STOP_POLL_S
            )

    def _watch(self, task: asyncio.Task[None]) -> None:
        """Stop when a task ended by an error that nobody expects."""
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.opt(exception=error).error("event=task_failed error={!r}", error)
            self.stopping.set()


def _log_stray_error(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    logger.error(
        "event=stray_error message={!r} error={!r}",
        context.get("message"),
        context.get("exception"),
    )
