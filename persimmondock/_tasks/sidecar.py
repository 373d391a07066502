"""Assembles a daemon on a platform that announces backend servers and enforces grants."""

from __future__ import annotations

import asyncio
import functools
import math
import time
from typing import TYPE_CHECKING, Any

import attrs
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.assignment import BackendIncarnation
from persimmondock._domain.backend_report import BackendAnnouncement, Change
from persimmondock._domain.link_budget import LinkRate, convert_bandwidth
from persimmondock._domain.log_position import find_era
from persimmondock._domain.range_lease import RangeLease
from persimmondock._ports.keyed_log import Written
from persimmondock._ports.metrics import NoMetrics
from persimmondock._tasks.backend_gate import BackendGate
from persimmondock._tasks.departure_keeper import DepartureKeeper, Proof
from persimmondock._tasks.dispatcher import Dispatcher
from persimmondock._tasks.key_control import KeyControl
from persimmondock._tasks.loop_meter import LoopMeter
from persimmondock._tasks.mesh import (
    DEPARTURES_KEY_PREFIX,
    OPERATOR_INDEX,
    Member,
    Mesh,
    encode_member,
)
from persimmondock._tasks.range_keeper import RECONCILE_INTERVAL_S, RangeKeeper, find_max_rows
from persimmondock._tasks.shared_rates import SharedRates
from persimmondock._tasks.site_state import SiteState
from persimmondock._tasks.store_follower import (
    IMMEDIATE_SOURCES,
    STALE_MARGIN_S,
    PartitionFollower,
)
from persimmondock._tasks.supervision import TaskGroup
from persimmondock._tasks.tenant_admission import TenantAdmission

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._adapters.peer_stream import Delivery
    from persimmondock._domain.holdings import GrantedHoldings
    from persimmondock._domain.memory_budget import MemoryBudget
    from persimmondock._domain.replica import KeyedEntry
    from persimmondock._domain.routing_table import RoutingTable
    from persimmondock._domain.site import NodeSettings
    from persimmondock._ports.backend import BackendServer
    from persimmondock._ports.keyed_log import KeyedLog, Partition
    from persimmondock._ports.metrics import MetricSink

MEMBER_RETRY_S = 0.5
MEMBER_BATCH_S = 0.3  # all daemons of a site start and write their records within 0.3 s
REJOIN_S = 2.0  # all daemons have read that the store came back, and written their records again
START_SETTLE_S = 0.5  # covers the records of daemons that start at the same time
POLL_INTERVAL_S = 0.05
STOP_MARGIN_S = 0.7  # reserve before the process is killed
DELIVERY_TIMEOUT_S = 1.0  # of the last replies to peers, some of which may be lost
READINESS_DRAIN_S = 2.3  # callers move away after two failed readiness checks, a second apart
MAX_EARLY_ANNOUNCEMENTS = 16
KEEP_LOST_S = 30.0  # for operators to write again what a restored store has lost
RELOADABLE_FIELDS = ("bounds",)
MEMBERS_INDEX, ASSIGNMENTS_INDEX = 1, 2  # indices in Sidecar._followers


@attrs.frozen
class SitePartitions:
    """Partitions of the store by content."""

    operator: Partition
    members: Partition
    assignments: Partition


@attrs.frozen
class OperatorCodec:
    """How operators' records are decoded.

    Parameters
    ----------
    config_key
        Key of the routing table's record.
    decode
        Decodes a routing table; raises ValueError naming the faulty part.
    find_evacuated
        Returns the failure domain that a key evacuates, or None for other keys.
    """

    config_key: str
    decode: Callable[[bytes], RoutingTable]
    find_evacuated: Callable[[str], str | None]


class Sidecar:
    """All tasks of one daemon.

    Parameters
    ----------
    settings
        Settings of the daemon.
    log
        Client of the store.
    server
        Client of the local backend server.
    partitions
        Where the store keeps operators' records, members and assignments.
    operator_codec
        Decoder of the operators' records.
    metrics
        Sink of the metrics, or None to drop them.
    memory
        Budget for what peers send.
    """

    def __init__(
        self,
        settings: NodeSettings,
        log: KeyedLog,
        server: BackendServer,
        partitions: SitePartitions,
        operator_codec: OperatorCodec,
        metrics: MetricSink | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.settings = settings
        self.metrics: MetricSink = metrics or NoMetrics()
        self.stopping = asyncio.Event()
        self._log = log
        self.tasks = TaskGroup(self.stopping.set)
        lease = RangeLease()
        self.keeper = RangeKeeper(server, lease, settings.node, settings.grant_mode)
        self.keeper.loop_meter = LoopMeter(RECONCILE_INTERVAL_S, self.metrics)
        self.gate = BackendGate(settings.node, settings.bounds, server, self.keeper, self.metrics)
        self.site = SiteState(
            operator_codec.config_key,
            operator_codec.decode,
            operator_codec.find_evacuated,
            self._apply_site,
        )
        self._followers = (
            PartitionFollower(
                log,
                partitions.operator,
                self._update_site,
                max_age_s=settings.bounds.apply_s - STALE_MARGIN_S,
                settle_s=START_SETTLE_S,
            ),
            PartitionFollower(
                log,
                partitions.members,
                self._update_members,
                None,
                MEMBER_BATCH_S,
                settle_s=START_SETTLE_S,
            ),
            PartitionFollower(
                log,
                partitions.assignments,
                self._update_assignments,
                self._record_store_read,
                settle_s=START_SETTLE_S,
            ),
        )
        own = Member(
            settings.node, settings.peer_address, settings.failure_domain, settings.service
        )
        self.mesh = Mesh(own, self._followers, self.gate.describe, self._record_heartbeat, memory)
        self.mesh.list_versioned = self._list_versioned
        self.mesh.on_versioned = self.site.update
        self._followers[OPERATOR_INDEX].is_poller = self.mesh.is_first_reader
        self._followers[OPERATOR_INDEX].share_poll = self.mesh.share_poll
        for index, follower in enumerate(self._followers):
            follower.is_reader = self.mesh.is_reader
            follower.push_records = functools.partial(self.mesh.push_records, index)
            follower.count_call = functools.partial(self._count_store_call, index)
            follower.share_era = self._expect_era
        self._followers[OPERATOR_INDEX].keep_former_s = KEEP_LOST_S
        bytes_per_s = convert_bandwidth(settings.bandwidth_mbps)
        self.mesh.server.link.rate = LinkRate(bytes_per_s)
        self.gate.link.budget.bytes_per_s = bytes_per_s
        self.mesh.server.handlers["release"] = self.keeper.handle_release
        self.mesh.server.handlers["loads"] = self.gate.handle_loads
        self.mesh.server.handlers["suspects"] = self._handle_suspects
        self.gate.broadcast_suspects = lambda crashes: self.mesh.broadcast("suspects", crashes)
        self.keeper.mesh = self.mesh
        self.departures = DepartureKeeper(
            settings.node,
            log,
            self._followers[MEMBERS_INDEX],
            self.mesh,
            self.gate,
            self._apply_early_announcements,
            settings.is_first_start,
        )
        if settings.is_first_start:
            self.mesh.running_since = -math.inf
        self.mesh.on_kept = self.departures.apply_record
        self._early_announcements: list[BackendAnnouncement] = []
        self.control = KeyControl(
            settings.node,
            settings.service,
            log,
            self._followers[ASSIGNMENTS_INDEX],
            self.mesh,
            self.keeper,
            self.gate.describe,
            self.site.is_evacuated,
            self.site.is_keyed,
            self.gate.loads,
            find_max_rows(settings.grant_mode),
            settings.is_first_start,
        )
        self.mesh.server.handlers["assignment"] = self.control.handle_assignment
        self.dispatcher = Dispatcher(
            settings.service,
            settings.bounds,
            self.mesh,
            self.gate,
            self.control,
            self.metrics,
            settings.is_first_start,
        )
        self.dispatcher.is_evacuated = self.site.is_evacuated
        self.dispatcher.knows_members = self._knows_members
        self.shared_rates = SharedRates(self.mesh, self.metrics)
        self._others_known_at = -math.inf
        self.shared_rates.knows_members = self._knows_members
        self.shared_rates.reaches_store = lambda: self._followers[MEMBERS_INDEX].store_answers
        self.tenant_admission = TenantAdmission(self.shared_rates, self.metrics)
        self.mesh.has_requests_at = self.dispatcher.has_requests_at

    @property
    def is_ready(self) -> bool:
        """Whether the daemon is ready to serve callers."""
        return self.site.table is not None and not self.stopping.is_set()

    async def start(self) -> None:
        """Listen to peers and start all tasks.

        Raises
        ------
        OSError
            If an address cannot be listened on.
        """
        await self.mesh.server.start(self.settings.peer_address)
        for index, follower in enumerate(self._followers):
            self.tasks.start(f"follower_{index}", follower.run())
        for name, coroutine in (
            ("mesh", self.mesh.run()),
            ("keeper", self.keeper.run()),
            ("control", self.control.run()),
            ("limit", self.gate.watch_limit()),
            ("shared_rates", self.shared_rates.run()),
            ("departures", self.departures.run()),
            ("member_record", self._maintain_member_record()),
        ):
            self.tasks.start(name, coroutine)
        logger.info("event=daemon_started daemon={}", self.settings.node)

    async def hand_over(self) -> float:
        """Release keys and let callers move away, while still serving them.

        Returns
        -------
        float
            Instant by which the daemon has to have stopped.
        """
        stop_by = read_clock() + self.settings.bounds.stop_s - STOP_MARGIN_S
        logger.info("event=leaving daemon={}", self.settings.node)
        self.gate.leaving = True
        self.gate.stop.set_end(stop_by)
        self.dispatcher.limit_replies()
        await asyncio.sleep(READINESS_DRAIN_S)
        logger.info(
            "event=daemon_stopping daemon={} in_flight={} keys_held={}",
            self.settings.node,
            self.gate.count_in_flight() + self.dispatcher.in_flight,
            self.keeper.holds_any(),
        )
        return stop_by

    async def drain(self, stop_by: float) -> None:
        """Take no more requests at the gate and wait for those in flight.

        Parameters
        ----------
        stop_by
            Instant at which waiting ends.
        """
        self.gate.closed = True
        while self.gate.count_in_flight() and read_clock() < stop_by:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def deliver_replies(self, stop_by: float) -> None:
        """Wait until peers have received their replies; closing a connection may discard them."""
        deliver_by = min(stop_by, read_clock() + DELIVERY_TIMEOUT_S)
        while self.mesh.server.has_undelivered and read_clock() < deliver_by:
            await asyncio.sleep(POLL_INTERVAL_S)

    def close(self) -> None:
        """End all tasks and close all connections."""
        self.tasks.cancel()
        self.mesh.close()

    # Events.

    def handle_announcement(
        self, announcement: BackendAnnouncement, is_recent: bool = False
    ) -> bool:
        """Apply an announcement of the backend server; return whether it was accepted.

        Parameters
        ----------
        is_recent
            Whether it was certainly sent since this process started.
        """
        settings = self.settings
        if (
            announcement.service != settings.service
            or announcement.address != settings.backend_address
        ):
            logger.warning(
                "event=report_refused instance={} service={} address={}",
                announcement.instance,
                announcement.service,
                announcement.address,
            )
            return False
        if self.departures.is_known:
            self._apply_early_announcements()
        elif not (announcement.draining or is_recent):
            # A former process may have acknowledged that this incarnation leaves.
            self._early_announcements.append(announcement)
            del self._early_announcements[:-MAX_EARLY_ANNOUNCEMENTS]
            return True
        self._apply_announcement(announcement)
        return True

    def _apply_early_announcements(self) -> None:
        early, self._early_announcements = self._early_announcements, []
        if early and self.departures.proof is Proof.TIME:
            # They may be from before a departure. A server that has not left sends the next one.
            logger.info("event=reports_dropped count={}", len(early))
            return
        for announcement in early:
            self._apply_announcement(announcement)

    def _apply_announcement(self, announcement: BackendAnnouncement) -> None:
        change = self.gate.handle_announcement(announcement)
        if change not in (Change.NONE, Change.STALE):
            logger.info(
                "event=backend_changed change={} instance={} born_ms={} slots={} cold_s={}",
                change.value,
                announcement.instance,
                announcement.born_ms,
                announcement.slots,
                announcement.cold_s,
            )

    async def grant_holdings(self, announcement: BackendAnnouncement) -> GrantedHoldings | None:
        """Return what the reply to an accepted announcement grants, or None for nothing."""
        incarnation = BackendIncarnation(
            self.settings.node, announcement.instance, announcement.born_ms
        )
        # The bound of a drain counts from the reply, and a stop must not wait for open ones.
        may_wait = not (announcement.draining or self.stopping.is_set())
        return await self.keeper.grant_holdings(
            incarnation, announcement.sequence, announcement.holdings, may_wait
        )

    def handle_leave(self, instance: str, born_ms: int | None) -> None:
        """Apply the backend server's notice that it is leaving."""
        change = self.gate.handle_leave(instance, int(1000 * time.time()), born_ms)
        logger.info(
            "event=backend_left change={} instance={} born_ms={}",
            change.value,
            instance,
            "-" if born_ms is None else born_ms,
        )

    def _update_site(self, changed: list[Any]) -> None:
        self.site.update(changed)
        growth = self._followers[OPERATOR_INDEX].growth
        if growth is not None and growth.source not in IMMEDIATE_SOURCES:
            logger.info(
                "event=configuration_fetched source={} delay_s={:.2f} at_most_s={:.2f}",
                growth.source.value,
                growth.delay_s,
                growth.at_most_s,
            )

    def _apply_site(self) -> None:
        self.gate.limits.policy = self.site.find_policy(self.settings.service)
        self.gate.set_evacuated(self.site.is_evacuated(self.settings.failure_domain))

    async def record_departures(self) -> bool:
        """Return whether the next process of this daemon will know who has left by now."""
        return await self.departures.record()

    def _list_versioned(self) -> list[KeyedEntry]:
        """Return the configuration in force if the store lists another one, or none."""
        record, replica = self.site.table_record, self._followers[OPERATOR_INDEX].replica
        if record is None or replica.get(record.key) == record.value:
            return []
        return [record]

    def _update_members(self, changed: list[Any]) -> None:
        own = DEPARTURES_KEY_PREFIX + self.settings.node
        for entry in changed:
            if entry.key == own and entry.value:
                self.departures.apply_record(entry.value)
        self.mesh.update_members(changed)

    def _update_assignments(self, changed: list[Any]) -> None:
        self.control.update_assignments(changed)

    def _record_store_read(self, end: int, sent_at: float) -> None:
        self.control.record_store_read(end, sent_at)

    def _record_heartbeat(
        self,
        node: str,
        ends: tuple[int, ...],
        may_witness: bool,
        sent_at: float,
        now: float,
        confirmation_ages: list[float | None],
    ) -> None:
        self.dispatcher.record_status_update(node)
        if len(ends) <= ASSIGNMENTS_INDEX:
            return
        end, age = ends[ASSIGNMENTS_INDEX], confirmation_ages[ASSIGNMENTS_INDEX]
        if age is not None:
            # The peer read the store at least this long before the heartbeat was sent.
            self.control.record_relayed_read(end, sent_at - age)
        self.keeper.record_heartbeat(node, end, may_witness, sent_at, now)

    def _expect_era(self, era: int) -> None:
        for follower in self._followers:
            follower.expect_era(era)

    def _count_store_call(self, index: int, cause: str) -> None:
        self.metrics.count(f"store_calls.{cause}.{index}")

    async def _handle_suspects(self, crashes: Any, _: Delivery) -> None:
        self.gate.suspects.merge(crashes, read_clock())

    def update_gauges(self) -> None:
        """Update all gauges."""
        sink, now = self.metrics, read_clock()
        status = self.gate.describe()
        table = self.site.table
        sink.set_gauge("ready", self.is_ready)
        sink.set_gauge("configuration_version", table.version if table is not None else -1)
        sink.set_gauge("configuration_delay_s", self._followers[OPERATOR_INDEX].compute_delay(now))
        sink.set_gauge(
            "configuration_delay_worst_s", self.mesh.compute_worst_configuration_delay(now)
        )
        sink.set_gauge("in_flight", status.running)
        sink.set_gauge("queued", status.waiting)
        streams = (self.gate.streams, self.dispatcher.streams)
        sink.set_gauge("link_wait_s", status.link_wait_s)
        sink.set_gauge("answer_streams", sum(map(len, streams)))
        sink.set_gauge("answer_stream_bytes", sum(item.waiting_bytes for item in streams))
        sink.set_gauge("slots", status.slots)
        sink.set_gauge("gate_open", status.accepts_work)
        for service, share in self.dispatcher.list_sent_shares().items():
            sink.set_gauge(f"room_sent_share.{service}", share)
        for service, use in self.dispatcher.list_budget_uses().items():
            sink.set_gauge(f"retry_allowed.{service}", use.allowed)
            sink.set_gauge(f"retry_used.{service}.retries", use.retries)
            sink.set_gauge(f"retry_used.{service}.calls", use.inherited)
        limit_per_s = self.gate.notice.max_per_s
        sink.set_gauge("backend_limit_per_s", -1.0 if limit_per_s is None else limit_per_s)
        sink.set_gauge("backend_leaving", self.gate.notice.leaving)
        sink.set_gauge("peers_known", len(self.mesh.peers))
        sink.set_gauge("peers_alive", len(self.mesh.list_alive(now)))
        for index, follower in enumerate(self._followers):
            sink.set_gauge(f"copy_end.{index}", follower.replica.end)
            sink.set_gauge(f"store_answers.{index}", follower.store_answers)
        self.tenant_admission.update_gauges()
        sink.set_gauge("ranges_held", self.keeper.count_held())
        sink.set_gauge("lease_left_s", max(0.0, self.keeper.lease.compute_end() - now))

    def reload(self, settings: NodeSettings) -> None:
        """Apply reloadable settings; changes that need a restart are only logged."""
        fields = [field.name for field in attrs.fields(type(settings))]
        changed = [n for n in fields if getattr(settings, n) != getattr(self.settings, n)]
        needs_restart = [name for name in changed if name not in RELOADABLE_FIELDS]
        logger.info(
            "event=reload daemon={} changed={} needs_restart={}",
            self.settings.node,
            ",".join(changed) or "-",
            ",".join(needs_restart) or "-",
        )
        self.settings = attrs.evolve(
            self.settings, **{name: getattr(settings, name) for name in RELOADABLE_FIELDS}
        )
        self._followers[OPERATOR_INDEX].max_age_s = settings.bounds.apply_s - STALE_MARGIN_S
        self.gate.limits.bounds = settings.bounds
        self.dispatcher.bounds = settings.bounds

    def _knows_members(self) -> bool:
        """Return whether the records of all daemons are known.

        A copy without the own record may lack those of others as well.
        """
        replica = self._followers[MEMBERS_INDEX].replica
        has_own = replica.get(self.settings.node) is not None
        return has_own and read_clock() >= self._others_known_at

    async def _maintain_member_record(self) -> None:
        """Write this daemon's record to the store whenever the store has another one.

        A write of an earlier process of this daemon, which may have had another address, may be
        carried out after that of this process: the epochs by which the store refuses it are times
        of a clock that may have been set back.
        """
        follower, node = self._followers[MEMBERS_INDEX], self.mesh.own.node
        value = encode_member(self.mesh.own)
        while True:
            replica = follower.replica
            if replica.confirmed_by_store and not replica.has(node, value):
                if replica.get(node) is None and find_era(replica.end) > 0:
                    self._others_known_at = read_clock() + REJOIN_S
                follower.count_call("write")
                outcome = await self._log.write(follower.partition, [(node, value)], None)
                if isinstance(outcome, Written):
                    logger.info("event=member_written offset={}", outcome.offset)
                    # Of two daemons that start at the same time, the later writer finds the other
                    # one by this read, and the other one learns of it by its greeting.
                    while replica.end <= outcome.offset:
                        answered = await follower.confirm_now()
                        await asyncio.sleep(POLL_INTERVAL_S if answered else MEMBER_RETRY_S)
                else:
                    logger.info("event=member_not_written outcome={!r}", outcome)
            await asyncio.sleep(MEMBER_RETRY_S if replica.confirmed_by_store else POLL_INTERVAL_S)
