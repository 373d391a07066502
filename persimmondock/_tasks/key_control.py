"""Decides which backend server owns which keys, and keeps this daemon's lease."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.peer_stream import PeerRequestError
from persimmondock._domain.assignment import (
    Assignment,
    BackendIncarnation,
    KeyRange,
    Owner,
    choose_witnesses,
    count_moved,
    decode_assignment,
    encode_assignment,
    number_assignment,
    plan_assignment,
)
from persimmondock._domain.balance import Room, balance_ranges
from persimmondock._domain.key_loads import KeyLoads, merge_rates
from persimmondock._domain.range_lease import TERM_S
from persimmondock._ports.keyed_log import Conflict, Written

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._domain.gate_status import GateStatus
    from persimmondock._domain.replica import KeyedEntry
    from persimmondock._ports.keyed_log import KeyedLog
    from persimmondock._tasks.mesh import Mesh
    from persimmondock._tasks.range_keeper import RangeKeeper
    from persimmondock._tasks.store_follower import PartitionFollower

STEP_S = 0.25
FIRST_WAIT_S = 2.0  # backend servers announce themselves within 1.5 s of their start
LOST_AFTER_S = 2.5  # a process that was killed is back within about 2 s
BALANCE_EVERY_S = 1.0  # a handover settles within a few tenths; load figures fade in 1.5 s
LOADS_TIMEOUT_S = 0.3  # a peer that tells later is too busy to be given more
PROVE_EVERY_S = 3.0  # while witnesses confirm; each proof is a priced call
PROVE_SOON_S = 0.7  # while they do not
WITNESSES_KEPT_S = 25.0  # longer than a lease without the store may last
ASSIGN_PREFIX = "assign/"


class KeyControl:
    """Plans the assignment of this daemon's service, and proves its lease."""

    def __init__(
        self,
        node: str,
        service: str,
        log: KeyedLog,
        follower: PartitionFollower,
        mesh: Mesh,
        keeper: RangeKeeper,
        describe: Callable[[], GateStatus],
        is_out: Callable[[str], bool],
        is_keyed: Callable[[str], bool],
        loads: KeyLoads,
    ) -> None:
        self.assignments: dict[str, Assignment] = {}
        self._node = node
        self._service = service
        self._log = log
        self._follower = follower
        self._mesh = mesh
        self._keeper = keeper
        self._describe = describe
        self._is_out = is_out
        self._is_keyed = is_keyed
        self._loads = loads
        self._started_at = read_clock()
        self._unfit_since: dict[str, float] = {}
        self._written_at = -math.inf
        self._witnesses_at = read_clock()
        self._proved_at = -math.inf

    def take(self, changed: list[KeyedEntry]) -> None:
        """Take in assignments that changed."""
        for entry in changed:
            service = entry.key.removeprefix(ASSIGN_PREFIX)
            try:
                assignment = decode_assignment(service, entry.offset + 1, entry.value)
            except ValueError as error:
                logger.error("event=assignment_refused detail={!r}", str(error))
                continue
            known = self.assignments.get(service)
            if known is not None and known.witnesses != assignment.witnesses:
                self._witnesses_at = read_clock()
            self.assignments[service] = assignment
            logger.info(
                "event=assignment_known service={} offset={} ranges={} witnesses={}",
                service,
                assignment.offset,
                len(assignment.ranges),
                len(assignment.witnesses),
            )
        own = self.assignments.get(self._service)
        if own is not None:
            self._keeper.follow(own, self._follower.replica.end)

    def note_store(self, end: int, asked_at: float) -> None:
        """Take a read of the store as proof of the lease."""
        self._proved_at = max(self._proved_at, asked_at)
        own = self.assignments.get(self._service)
        if own is not None and end > self._keeper.lease.offset:
            # Records of other services moved the end; this assignment is still the newest.
            self._keeper.follow(own, end)
        self._keeper.lease.confirm_by_store(end, asked_at)

    async def run(self) -> None:
        """Decide for ever."""
        while True:
            await asyncio.sleep(STEP_S)
            if not self._is_keyed(self._service):
                continue
            self._choose_close_peers()
            await self._prove_lease()
            await self._plan()

    def _choose_close_peers(self) -> None:
        """Keep close to the witnesses of the lease, and as the writer to all owners."""
        present = self.assignments.get(self._service)
        close = set(present.witnesses) if present is not None else set()
        if self._is_leader(read_clock()):
            close |= {peer.member.node for peer in self._mesh.list_of_service(self._service)}
        self._mesh.close_peers = frozenset(close)

    async def _prove_lease(self) -> None:
        """Ask the store when neither it nor the witnesses have confirmed for a while."""
        now = read_clock()
        remaining = self._keeper.lease.compute_end() - now
        due = PROVE_EVERY_S if remaining > TERM_S - 1.5 else PROVE_SOON_S
        if now - self._proved_at >= due:
            self._proved_at = now
            if not await self._follower.confirm_now():
                self._proved_at = now - PROVE_EVERY_S + PROVE_SOON_S

    async def _plan(self) -> None:
        """Write a better assignment if this daemon is the one to do so."""
        now = read_clock()
        statuses = self._list_statuses(now)
        self._note_fit(statuses, now)
        if not self._is_leader(now) or not self._follower.replica.confirmed_by_store:
            return
        present = self.assignments.get(self._service, Assignment(self._service))
        if not present.ranges and now - self._started_at < FIRST_WAIT_S:
            return
        owners = self._list_owners(statuses, present, now)
        gone = self._list_gone(present, statuses)
        ranges = plan_assignment(present, owners, gone)
        if ranges is None and self._may_balance(present, statuses, now):
            ranges = await self._balance(present, owners, statuses)
            if ranges is None and any(item.former for item in present.ranges):
                # A daemon that starts again must not wait for owners of long ago.
                ranges = present.ranges
        witnesses = self._choose_witnesses(present, now)
        if ranges is None and witnesses == present.witnesses:
            return
        if ranges is None:
            ranges = present.ranges
        ranges = self._drop_settled(present, ranges, statuses, gone)
        await self._write(present, ranges, witnesses, now)

    def _may_balance(
        self, present: Assignment, statuses: dict[str, tuple[GateStatus, str]], now: float
    ) -> bool:
        settled = bool(present.ranges) and self._are_settled(present, statuses)
        return settled and now - self._written_at >= BALANCE_EVERY_S

    async def _balance(
        self,
        present: Assignment,
        owners: list[Owner],
        statuses: dict[str, tuple[GateStatus, str]],
    ) -> tuple[KeyRange, ...] | None:
        """Return ranges with busy keys moved to where there is room."""
        fit = [owner.incarnation for owner in owners if owner.incarnation.node in statuses]
        known = [statuses[life.node][0].per_s for life in fit if statuses[life.node][0].per_s > 0]
        if not known:
            return None
        usual = sum(known) / len(known)
        rooms = {life: Room(statuses[life.node][0].per_s or usual) for life in fit}
        rates = merge_rates(await self._collect_loads(fit))
        if self.assignments.get(self._service, present) != present:
            return None
        return balance_ranges(present.ranges, rooms, rates)

    async def _collect_loads(self, owners: list[BackendIncarnation]) -> list[dict[int, float]]:
        """Ask all owners how often their keys are asked for."""

        async def ask(node: str) -> dict[int, float]:
            if node == self._node:
                return self._loads.list_rates(read_clock())
            peer = self._mesh.peers.get(node)
            try:
                async with asyncio.timeout(LOADS_TIMEOUT_S):
                    return dict(await peer.link.request("loads", None)) if peer is not None else {}
            except (PeerRequestError, TimeoutError) as error:
                logger.info("event=loads_unknown peer={} error={!r}", node, error)
                return {}

        return list(await asyncio.gather(*(ask(life.node) for life in owners)))

    async def _write(
        self,
        present: Assignment,
        ranges: tuple[KeyRange, ...],
        witnesses: frozenset[str],
        now: float,
    ) -> None:
        end = self._follower.replica.end
        numbered = number_assignment(present, ranges, witnesses, end)
        entry = (ASSIGN_PREFIX + self._service, encode_assignment(numbered))
        outcome = await self._log.write(self._follower.partition, [entry], end)
        moved = count_moved(present, ranges)
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
            await self._follower.confirm_now()
        else:
            self._follower.note_failed_write()

    def _list_statuses(self, now: float) -> dict[str, tuple[GateStatus, str]]:
        """Return the state and failure domain of each live daemon of the service."""
        statuses = {
            peer.member.node: (peer.status, peer.member.failure_domain)
            for peer in self._mesh.list_of_service(self._service)
            if peer.is_alive(now)
        }
        statuses[self._node] = (self._describe(), self._mesh.own.failure_domain)
        return statuses

    def _note_fit(self, statuses: dict[str, tuple[GateStatus, str]], now: float) -> None:
        present = self.assignments.get(self._service)
        for item in present.ranges if present is not None else ():
            known = statuses.get(item.owner.node)
            # A daemon that has just started does not know its backend server yet.
            if known is not None and known[0].incarnation is not None:
                self._unfit_since.pop(item.owner.node, None)
            else:
                self._unfit_since.setdefault(item.owner.node, now)

    def _is_leader(self, now: float) -> bool:
        """Return whether no daemon of a lower name that the store answers is alive."""
        if not self._follower.store_answers:
            return False
        return not any(
            peer.member.node < self._node and peer.is_alive(now) and peer.store_answers
            for peer in self._mesh.list_of_service(self._service)
        )

    def _list_owners(
        self, statuses: dict[str, tuple[GateStatus, str]], present: Assignment, now: float
    ) -> list[Owner]:
        """Return who may own keys: live ones, and silent ones for a moment longer."""
        newest: dict[str, int] = {}
        for item in present.ranges:
            born_ms = newest.get(item.owner.node, 0)
            newest[item.owner.node] = max(born_ms, item.owner.born_ms)
        owners = [
            Owner(status.incarnation)
            for status, failure_domain in statuses.values()
            if status.incarnation is not None
            and status.incarnation.born_ms >= newest.get(status.incarnation.node, 0)
            and status.open
            and not self._is_out(failure_domain)
        ]
        waiting = {node for node, since in self._unfit_since.items() if now - since < LOST_AFTER_S}
        waited = {item.owner for item in present.ranges if item.owner.node in waiting}
        return owners + [Owner(life) for life in sorted(waited)]

    def _list_gone(
        self, present: Assignment, statuses: dict[str, tuple[GateStatus, str]]
    ) -> frozenset[BackendIncarnation]:
        """Return lives that their own daemons say have ended."""
        lives = {r.owner for r in present.ranges} | {x for r in present.ranges for x in r.former}
        return frozenset(
            life
            for life in lives
            if life.node in statuses
            and (present_life := statuses[life.node][0].incarnation) is not None
            # What is known of a daemon may be older than the assignment.
            and present_life.born_ms > life.born_ms
        )

    def _are_settled(
        self, present: Assignment, statuses: dict[str, tuple[GateStatus, str]]
    ) -> bool:
        owners = {item.owner.node for item in present.ranges}
        return all(
            node in statuses and statuses[node][0].settled >= present.offset for node in owners
        )

    def _drop_settled(
        self,
        present: Assignment,
        ranges: tuple[KeyRange, ...],
        statuses: dict[str, tuple[GateStatus, str]],
        gone: frozenset[BackendIncarnation],
    ) -> tuple[KeyRange, ...]:
        """Drop the owners before one that has been granted its keys: they hold nothing."""
        result = []
        for item in ranges:
            old = present.find_range(item.first)
            if old is not None:
                state = statuses.get(old.owner.node)
                settled = state is not None and state[0].incarnation == old.owner
                if settled and state is not None and state[0].settled >= present.offset:
                    keep = (old.owner,) if old.owner in item.former else ()
                    item = attrs.evolve(item, former=keep)
            if gone.intersection(item.former):
                left = tuple(life for life in item.former if life not in gone)
                item = attrs.evolve(item, former=left)
            result.append(item)
        return tuple(result)

    def _choose_witnesses(self, present: Assignment, now: float) -> frozenset[str]:
        """Return the witnesses; they change seldom, since former ones have to be asked too."""
        zones = {p.member.node: p.member.failure_domain for p in self._mesh.list_alive(now)}
        zones[self._node] = self._mesh.own.failure_domain
        if not present.witnesses:
            return choose_witnesses(zones)
        if now - self._witnesses_at < WITNESSES_KEPT_S or present.witnesses <= zones.keys():
            return present.witnesses
        return choose_witnesses(zones)
