"""Plans which backend server owns which keys, and keeps this daemon's lease valid."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any

import attrs
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.peer_stream import PeerRequestError
from persimmondock._domain.assignment import (
    UNKNOWN_WITNESSES,
    Assignment,
    BackendIncarnation,
    EligibleOwner,
    KeyRange,
    build_next_assignment,
    choose_witnesses,
    count_moved_ranges,
    decode_assignment,
    encode_assignment,
    find_newest_starts,
    merge_ranges,
    plan_assignment,
    renew_tokens,
)
from persimmondock._domain.balance import MAX_RANGES, OwnerCapacity, balance_ranges
from persimmondock._domain.foreign_data import UNREADABLE, check_whole_number
from persimmondock._domain.key_loads import KeyLoads, merge_rates
from persimmondock._domain.log_position import find_era
from persimmondock._domain.range_lease import LEASE_TERM_S
from persimmondock._ports.keyed_log import Conflict, Written

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._adapters.peer_stream import Delivery
    from persimmondock._domain.gate_status import GateStatus
    from persimmondock._domain.replica import KeyedEntry
    from persimmondock._ports.keyed_log import KeyedLog
    from persimmondock._tasks.mesh import Mesh, Peer
    from persimmondock._tasks.range_keeper import RangeKeeper
    from persimmondock._tasks.store_follower import PartitionFollower

PLAN_INTERVAL_S = 0.25
FIRST_ASSIGNMENT_DELAY_S = 2.0  # backend servers announce themselves within 1.5 s of starting
OWNER_LOST_AFTER_S = 2.5  # a killed process restarts within about 2 s
BALANCE_INTERVAL_S = 1.0  # handovers take tenths of a second; load figures decay in 1.5 s
LOADS_TIMEOUT_S = 0.3  # a peer that replies later is too busy to get more keys
RECALL_TIMEOUT_S = 0.3  # as long as keys are not served while daemons that are alive do not reply
MAX_RECALL_PEERS = 64  # each replies with up to a record
LEASE_CHECK_INTERVAL_S = 3.0  # while witnesses confirm; each check is a billed call
LEASE_CHECK_STEP_S = 1.0  # by which others check later; heartbeats tell them of an earlier check
CONFIRMATION_WAIT_S = 0.25  # in which owners ask the writer of an assignment for its read
LEASE_CHECK_RETRY_S = 0.7  # while witnesses do not confirm
# Longer than a lease lasts without the store, and than the age of a copy from which it comes back.
MIN_WITNESS_CHANGE_INTERVAL_S = 25.0
ASSIGNMENT_KEY_PREFIX = "assign/"


class KeyControl:
    """Plans the assignment of this daemon's service, and renews the lease.

    One daemon of each service writes assignments; all of them track the current one.

    Parameters
    ----------
    node, service
        Names of this daemon and of its service.
    log
        Client of the store.
    follower
        Copy of the partition of assignments.
    keeper
        Grants the keys that this daemon's backend server owns.
    describe
        Returns the state of this daemon's own gate.
    is_evacuated
        Returns whether operators have evacuated a failure domain.
    is_keyed
        Returns whether the keys of a service have exclusive owners.
    loads
        Request rates of the keys served here.
    max_rows
        Grants that an owner is to have at most; beyond it its adjacent ranges are merged.
    is_first_start
        Whether the whole site starts for the first time.
    """

    def __init__(
        self,
        node: str,
        service: str,
        log: KeyedLog,
        follower: PartitionFollower,
        mesh: Mesh,
        keeper: RangeKeeper,
        describe: Callable[[], GateStatus],
        is_evacuated: Callable[[str], bool],
        is_keyed: Callable[[str], bool],
        loads: KeyLoads,
        max_rows: int = MAX_RANGES,
        is_first_start: bool = False,
    ) -> None:
        self.assignments: dict[str, Assignment] = {}
        self._node = node
        self._service = service
        self._log = log
        self._follower = follower
        self._mesh = mesh
        self._keeper = keeper
        self._describe = describe
        self._is_evacuated = is_evacuated
        self._is_keyed = is_keyed
        self._loads = loads
        self._max_rows = max_rows
        self._is_first_start = is_first_start
        self._started_at = read_clock()
        self._unavailable_since: dict[str, float] = {}
        # Daemons whose status names an incarnation that started before the one that owns keys.
        self._earlier_since: dict[str, float] = {}
        self._written_at = -math.inf
        self._witnesses_changed_at = read_clock()
        self._lease_checked_at = -math.inf
        # The newest read of another daemon; it may arrive before the records.
        self._relayed_end, self._relayed_at = -1, -math.inf
        # Services whose newest record is unreadable, or an assignment that is not in force.
        self._superseded: set[str] = set()

    def update_assignments(self, changed: list[KeyedEntry]) -> None:
        """Apply changed assignments."""
        for entry in changed:
            service = entry.key.removeprefix(ASSIGNMENT_KEY_PREFIX)
            try:
                assignment = decode_assignment(service, entry.offset + 1, entry.value)
            except ValueError as error:
                logger.error("event=assignment_refused detail={!r}", str(error))
                self._superseded.add(service)
                continue
            known = self.assignments.get(service)
            if known is not None and assignment.origin <= known.origin:
                self._superseded.add(service)
                logger.warning(
                    "event=assignment_not_in_force service={} offset={} era={} known_offset={}",
                    service,
                    assignment.offset,
                    assignment.era,
                    known.offset,
                )
                continue
            self._superseded.discard(service)
            self._adopt_assignment(assignment)
            logger.info("event=assignment_known {}", _describe_assignment(assignment))
        own, end = self.assignments.get(self._service), self._follower.replica.end
        if own is not None and own.is_in_force(end):
            self._keeper.update_assignment(own, end)
            if self._relayed_end == end:
                self.record_relayed_read(end, self._relayed_at)
            wait_until = read_clock() + CONFIRMATION_WAIT_S
            self._lease_checked_at = max(self._lease_checked_at, wait_until - LEASE_CHECK_RETRY_S)

    def _adopt_assignment(self, assignment: Assignment) -> None:
        known = self.assignments.get(assignment.service)
        if (
            known is None
            or known.witnesses != assignment.witnesses
            or not assignment.former_witnesses <= known.former_witnesses
            # A copy of the log from this era may lack what led to its first assignment.
            or known.era < assignment.era
        ):
            self._witnesses_changed_at = read_clock()
        self.assignments[assignment.service] = assignment

    def record_store_read(self, end: int, sent_at: float) -> None:
        """Record a read of the store as evidence for the lease.

        Parameters
        ----------
        end
            End offset of the partition of assignments.
        sent_at
            Instant at which the read was sent.
        """
        self._lease_checked_at = max(self._lease_checked_at, sent_at)
        own = self.assignments.get(self._service)
        if own is not None and own.is_in_force(end) and end > self._keeper.lease.offset:
            # Records of other services advanced the end; this assignment is still the newest.
            self._keeper.update_assignment(own, end)
        self._keeper.lease.confirm_by_store(end, sent_at)

    def record_relayed_read(self, end: int, sent_at: float) -> None:
        """Record a read of the store by a peer as evidence for the lease.

        Parameters
        ----------
        sent_at
            Instant before which the peer did not send its read.
        """
        if (end, sent_at) > (self._relayed_end, self._relayed_at):
            self._relayed_end, self._relayed_at = end, sent_at
        if end == self._keeper.lease.offset:
            self._lease_checked_at = max(self._lease_checked_at, sent_at)
        self._keeper.lease.confirm_by_store(end, sent_at)

    async def run(self) -> None:
        """Check the lease and plan periodically until cancelled."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL_S)
            if not self._is_keyed(self._service):
                continue
            self._choose_priority_peers()
            await self._check_lease()
            await self._plan()

    def _choose_priority_peers(self) -> None:
        """Give the lease's witnesses priority and, on the leader, all peers of the service."""
        current = self.assignments.get(self._service)
        priority = set().union(*current.witness_sets) if current is not None else set()
        if self._is_leader(read_clock()):
            priority |= {peer.member.node for peer in self._mesh.list_by_service(self._service)}
        self._mesh.priority_peers = frozenset(priority)

    async def _check_lease(self) -> None:
        """Ask the store to confirm the lease, sooner while witnesses do not confirm it."""
        now = read_clock()
        current = self.assignments.get(self._service)
        if current is None:
            return
        remaining = self._keeper.lease.compute_end() - now
        # With more than half of the term remaining, a confirmation is less than 1.5 s old.
        is_confirmed = remaining > LEASE_TERM_S - 1.5
        due = self._find_check_interval(current, now) if is_confirmed else LEASE_CHECK_RETRY_S
        if now - self._lease_checked_at >= due:
            self._lease_checked_at = now
            if not await self._follower.confirm_now():
                self._lease_checked_at = now - LEASE_CHECK_INTERVAL_S + LEASE_CHECK_RETRY_S

    def _find_check_interval(self, current: Assignment, now: float) -> float:
        """Return the seconds between checks while witnesses confirm the lease.

        The first live witness checks soonest. The replies to the heartbeats that all owners send to
        witnesses pass its read on, so that the others check only when that does not happen.
        """
        if self._node not in current.witnesses:
            return LEASE_CHECK_INTERVAL_S + 2 * LEASE_CHECK_STEP_S
        for node in current.witnesses:
            peer = self._mesh.peers.get(node)
            if peer is not None and node < self._node and peer.store_answers and peer.is_alive(now):
                return LEASE_CHECK_INTERVAL_S + LEASE_CHECK_STEP_S
        return LEASE_CHECK_INTERVAL_S

    async def _plan(self) -> None:
        """Write an improved assignment if this daemon is the leader."""
        now = read_clock()
        statuses = self._list_statuses(now)
        self._record_availability(statuses, now)
        if not self._is_leader(now) or not self._follower.replica.confirmed_by_store:
            return
        current = self.assignments.get(self._service, Assignment(self._service))
        is_in_force = current.is_in_force(self._follower.replica.end)
        if not is_in_force and now - self._started_at < FIRST_ASSIGNMENT_DELAY_S:
            return
        if not is_in_force and self._may_lack_owners():
            await self._write_first_of_era(now)
            return
        owners = self._list_owners(statuses, current, now)
        ranges = plan_assignment(current, owners)
        if ranges is None and self._service in self._superseded:
            ranges = current.ranges
        if ranges is None and self._may_balance(current, statuses, now):
            ranges = merge_ranges(current.ranges, self._max_rows)
            if ranges is None:
                ranges = await self._balance(current, owners, statuses)
            if ranges is None and any(key_range.former_owners for key_range in current.ranges):
                # Write the same ranges without the former owners, or a restarted daemon would wait
                # for them although they released the keys long ago.
                ranges = current.ranges
        witnesses = self._choose_witnesses(current, now)
        drops_witnesses = bool(current.former_witnesses) and not self._keeps_witnesses(now)
        if ranges is None and witnesses == current.witnesses and not drops_witnesses:
            return
        if ranges is None:
            ranges = current.ranges
        if self.assignments.get(self._service, current) != current:
            # Another daemon wrote one while loads were collected. The store's check of the end
            # would not notice, since this daemon's copy has that record by now.
            return
        ranges = self._drop_former_owners(current, ranges, statuses)
        await self._write(current, ranges, witnesses, now, self._keeps_witnesses(now))

    async def _write_first_of_era(self, now: float) -> None:
        """Write the first assignment of an era, from what is known of those that were lost."""
        await self._recall_assignment()
        current = self.assignments.get(self._service, Assignment(self._service))
        statuses = self._list_statuses(now)
        self._record_availability(statuses, now)
        owners = self._list_owners(statuses, current, now)
        if current.is_in_force(self._follower.replica.end) or not owners:
            return
        ranges = plan_assignment(current, owners)
        ranges = renew_tokens(current.ranges if ranges is None else ranges)
        witnesses = self._choose_witnesses(current, now)
        if not current.witnesses and not self._is_first_start:
            current = attrs.evolve(current, witnesses=UNKNOWN_WITNESSES)
        keeps_former_witnesses = True
        await self._write(current, ranges, witnesses, now, keeps_former_witnesses)

    async def _recall_assignment(self) -> None:
        """Learn which assignment was in force last from daemons that had it before it was lost."""

        async def ask(peer: Peer) -> Assignment | None:
            try:
                async with asyncio.timeout(RECALL_TIMEOUT_S):
                    offset, data = await peer.client.request("assignment", known_offset)
                return (
                    decode_assignment(self._service, check_whole_number(offset), data)
                    if data
                    else None
                )
            except (PeerRequestError, TimeoutError, *UNREADABLE) as error:
                logger.info("event=assignment_unknown peer={} error={!r}", peer.member.node, error)
                return None

        now = read_clock()
        current = self.assignments.get(self._service)
        known_offset = current.offset if current is not None else 0
        peers = [p for p in self._mesh.list_by_service(self._service) if p.is_alive(now)]
        for answer in await asyncio.gather(*(ask(peer) for peer in peers[:MAX_RECALL_PEERS])):
            known = self.assignments.get(self._service)
            if answer is not None and (known is None or answer.origin > known.origin):
                self._adopt_assignment(answer)
                logger.info("event=assignment_recalled {}", _describe_assignment(answer))

    async def handle_assignment(self, offset: Any, _: Delivery) -> Any:
        """Reply with the latest assignment that this daemon knows of, in force or not.

        The data is empty if it knows none, or that of the given offset.
        """
        known = self.assignments.get(self._service)
        if known is None or known.offset == offset:
            return [0, b""]
        return [known.offset, encode_assignment(known)]

    def _may_lack_owners(self) -> bool:
        """Return whether an assignment that is not known any more may have given out keys."""
        is_restored = find_era(self._follower.replica.end) > 0
        return is_restored or self._service in self._superseded

    def _may_balance(
        self, current: Assignment, statuses: dict[str, tuple[GateStatus, str]], now: float
    ) -> bool:
        is_granted = bool(current.ranges) and self._are_granted(current, statuses)
        return is_granted and now - self._written_at >= BALANCE_INTERVAL_S

    async def _balance(
        self,
        current: Assignment,
        owners: list[EligibleOwner],
        statuses: dict[str, tuple[GateStatus, str]],
    ) -> tuple[KeyRange, ...] | None:
        """Return ranges with busy keys moved to backend servers with spare capacity, or None."""
        available = [owner.incarnation for owner in owners if owner.incarnation.node in statuses]
        known_rates = [
            statuses[incarnation.node][0].capacity_per_s
            for incarnation in available
            if statuses[incarnation.node][0].capacity_per_s > 0
        ]
        if not known_rates:
            return None
        mean_rate = sum(known_rates) / len(known_rates)
        capacities = {
            incarnation: OwnerCapacity(statuses[incarnation.node][0].capacity_per_s or mean_rate)
            for incarnation in available
        }
        rates = merge_rates(await self._collect_loads(available))
        if self.assignments.get(self._service, current) != current:
            return None
        return balance_ranges(current.ranges, capacities, rates, self._max_rows)

    async def _collect_loads(self, owners: list[BackendIncarnation]) -> list[dict[int, float]]:
        """Collect the request rates of the keys of all owners."""

        async def ask(node: str) -> dict[int, float]:
            if node == self._node:
                return self._loads.list_rates(read_clock())
            peer = self._mesh.peers.get(node)
            try:
                async with asyncio.timeout(LOADS_TIMEOUT_S):
                    return (
                        dict(await peer.client.request("loads", None)) if peer is not None else {}
                    )
            except (PeerRequestError, TimeoutError) as error:
                logger.info("event=loads_unknown peer={} error={!r}", node, error)
                return {}

        return list(await asyncio.gather(*(ask(incarnation.node) for incarnation in owners)))

    async def _write(
        self,
        current: Assignment,
        ranges: tuple[KeyRange, ...],
        witnesses: frozenset[str],
        now: float,
        keeps_former_witnesses: bool,
    ) -> None:
        end = self._follower.replica.end
        assignment = build_next_assignment(current, ranges, witnesses, end, keeps_former_witnesses)
        entry = (ASSIGNMENT_KEY_PREFIX + self._service, encode_assignment(assignment))
        self._follower.count_call("write")
        outcome = await self._log.write(self._follower.partition, [entry], end)
        moved = count_moved_ranges(current, ranges)
        logger.info(
            "event=assignment_written service={} offset={} moved={} ranges={} outcome={}",
            self._service,
            end,
            moved,
            len(ranges),
            type(outcome).__name__,
        )
        self._written_at = now
        if isinstance(outcome, (Written, Conflict)):
            if await self._follower.confirm_now():
                self._announce_read()
        else:
            self._follower.record_failed_write()

    def _announce_read(self) -> None:
        """Have all owners of keys ask for what a read has just shown, in place of the store."""
        self._mesh.announce_read(
            peer
            for peer in self._mesh.list_alive(read_clock())
            if self._is_keyed(peer.member.service)
        )

    def _list_statuses(self, now: float) -> dict[str, tuple[GateStatus, str]]:
        """Return the gate status and failure domain of each live daemon of the service."""
        statuses = {
            peer.member.node: (peer.status, peer.member.failure_domain)
            for peer in self._mesh.list_by_service(self._service)
            if peer.is_alive(now)
        }
        statuses[self._node] = (self._describe(), self._mesh.own.failure_domain)
        return statuses

    def _record_availability(self, statuses: dict[str, tuple[GateStatus, str]], now: float) -> None:
        current = self.assignments.get(self._service)
        for owner in current.list_owners() if current is not None else ():
            known = statuses.get(owner.node)
            # A daemon that has just started does not know its backend server yet.
            if known is not None and known[0].incarnation is not None:
                self._unavailable_since.pop(owner.node, None)
            else:
                self._unavailable_since.setdefault(owner.node, now)
        newest_born_ms = find_newest_starts(current) if current is not None else {}
        earlier = {
            node
            for node, (status, _) in statuses.items()
            if status.incarnation is not None
            and status.incarnation.born_ms < newest_born_ms.get(node, 0)
        }
        self._earlier_since = {node: self._earlier_since.get(node, now) for node in earlier}

    def _is_leader(self, now: float) -> bool:
        """Return whether this daemon writes the assignment.

        Of the service's live daemons whose reads the store answers, the leader has the lowest name.
        """
        if not self._follower.store_answers:
            return False
        return not any(
            peer.member.node < self._node and peer.is_alive(now) and peer.store_answers
            for peer in self._mesh.list_by_service(self._service)
        )

    def _list_owners(
        self, statuses: dict[str, tuple[GateStatus, str]], current: Assignment, now: float
    ) -> list[EligibleOwner]:
        """Return the incarnations that may own keys.

        These are the ones whose gates accept work, and current owners until they have been
        unavailable for OWNER_LOST_AFTER_S. A status with an earlier start than that of the owner
        counts once it has stood for as long: the known status of a daemon may be older than the
        assignment, and a clock may have been set back between two starts.
        """
        newest_born_ms = find_newest_starts(current)
        owners = [
            EligibleOwner(status.incarnation)
            for node, (status, failure_domain) in statuses.items()
            if status.service == self._service
            and status.incarnation is not None
            and (
                status.incarnation.born_ms >= newest_born_ms.get(node, 0)
                or now - self._earlier_since.get(node, now) >= OWNER_LOST_AFTER_S
            )
            and status.accepts_work
            and not self._is_evacuated(failure_domain)
        ]
        recently_unavailable = {
            node
            for node, since in self._unavailable_since.items()
            if now - since < OWNER_LOST_AFTER_S
        }
        silent_owners = {
            key_range.owner
            for key_range in current.ranges
            if key_range.owner.node in recently_unavailable
        }
        return owners + [EligibleOwner(incarnation) for incarnation in sorted(silent_owners)]

    def _are_granted(
        self, current: Assignment, statuses: dict[str, tuple[GateStatus, str]]
    ) -> bool:
        """Return whether all owners hold their ranges of the current assignment."""
        owners = {key_range.owner.node for key_range in current.ranges}
        return all(
            node in statuses and statuses[node][0].granted_offset >= current.offset
            for node in owners
        )

    def _drop_former_owners(
        self,
        current: Assignment,
        ranges: tuple[KeyRange, ...],
        statuses: dict[str, tuple[GateStatus, str]],
    ) -> tuple[KeyRange, ...]:
        """Drop former owners that cannot hold the keys: the current owner was granted them since.

        The start of a successor is no proof that a former owner has ended: its daemon, which has
        announced the successor, is asked.
        """
        result = []
        for key_range in ranges:
            previous = current.find_range(key_range.first)
            if previous is not None:
                known = statuses.get(previous.owner.node)
                is_same_incarnation = known is not None and known[0].incarnation == previous.owner
                if (
                    is_same_incarnation
                    and known is not None
                    and known[0].granted_offset >= current.offset
                ):
                    kept = (previous.owner,) if previous.owner in key_range.former_owners else ()
                    key_range = attrs.evolve(key_range, former_owners=kept)
            result.append(key_range)
        return tuple(result)

    def _keeps_witnesses(self, now: float) -> bool:
        """Return whether the witnesses may not change yet, and former ones still count."""
        return now - self._witnesses_changed_at < MIN_WITNESS_CHANGE_INTERVAL_S

    def _choose_witnesses(self, current: Assignment, now: float) -> frozenset[str]:
        """Return the witnesses; changes are rare because a takeover also needs the former ones."""
        failure_domains = {
            peer.member.node: peer.member.failure_domain for peer in self._mesh.list_alive(now)
        }
        failure_domains[self._node] = self._mesh.own.failure_domain
        if not current.witnesses:
            return choose_witnesses(failure_domains)
        if self._keeps_witnesses(now) or current.witnesses <= failure_domains.keys():
            return current.witnesses
        return choose_witnesses(failure_domains)


def _describe_assignment(assignment: Assignment) -> str:
    return (
        f"service={assignment.service} offset={assignment.offset} "
        f"ranges={len(assignment.ranges)} witnesses={len(assignment.witnesses)}"
    )
