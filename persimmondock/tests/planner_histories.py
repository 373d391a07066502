"""Histories of assignments that two planners write, and what has to hold in each of them."""

from __future__ import annotations

import asyncio
from bisect import bisect_left
from collections import Counter
from collections.abc import Sequence
from typing import Any

import attrs

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.assignment import (
    KEY_COUNT,
    UNKNOWN_OWNER,
    Assignment,
    BackendIncarnation,
    KeyRange,
    decode_assignment,
)
from persimmondock._domain.gate_status import GateStatus
from persimmondock._domain.key_loads import KEYS_PER_GROUP
from persimmondock._domain.range_lease import RangeLease
from persimmondock._ports.keyed_log import (
    Partition,
    ReadOutcome,
    Records,
    StoreFailed,
    WriteOutcome,
)
from persimmondock._tasks.key_control import (
    ASSIGNMENT_KEY_PREFIX,
    FIRST_ASSIGNMENT_DELAY_S,
    KeyControl,
)
from persimmondock._tasks.mesh import Member, Mesh, Peer
from persimmondock._tasks.range_keeper import RangeKeeper
from persimmondock._tasks.store_follower import PartitionFollower
from persimmondock.tests.fake_backend import FakeBackend
from persimmondock.tests.sites import SERVICE
from persimmondock.tests.virtual_fleet import VirtualLog

PARTITION, OPERATOR = Partition("assignments"), Partition("operator")
OWN_KEY = ASSIGNMENT_KEY_PREFIX + SERVICE
PLANNERS = 2
FIRST_BORN_MS = 1_000
CAPACITIES_PER_S = (12.0, 6.0, 2.0, 1.0)
WAITS_S = (0.3, 1.6, 2.6, 26.0)  # past a peer's timeout, an owner's, and a change of witnesses
LATE_S = (0.001, 0.4, 2.0, 5.0)  # the shortest is carried out at once, and its answer is lost
AGES_S = (0.5, 3.0, 6.0, 60.0)
# The busy groups lie side by side in the first slice; every other slice has a little load.
RATES = {group * 1024 // KEYS_PER_GROUP: 0.1 for group in range(64)} | dict.fromkeys(
    range(64, 76), 1.0
)


@attrs.frozen
class Step:
    """One event of a history.

    Parameters
    ----------
    kind
        Name of a method of `PlannerSite` without its prefix ``do_``.
    planner, vm
        Whom it concerns.
    number
        What it is, from 0 to 3; each kind has a meaning of its own.
    """

    kind: str
    planner: int = 0
    vm: int = 0
    number: int = 0


Line = tuple[str, str]


def find_line(incarnation: BackendIncarnation) -> Line:
    """Return daemon and instance name: processes that share them may share grants."""
    return incarnation.node, incarnation.instance


@attrs.define
class KeyHistory:
    """What happened to consecutive keys.

    Parameters
    ----------
    tokens
        Highest fencing token under which each incarnation was given the keys.
    holders
        Token of those who may hold the keys, since nothing has shown that they do not.
    """

    first: int
    last: int
    owner: BackendIncarnation | None = None
    tokens: dict[BackendIncarnation, int] = attrs.field(factory=dict)
    holders: dict[Line, int] = attrs.field(factory=dict)

    def split(self, first: int) -> KeyHistory:
        """Cut the keys from ``first`` on off and return them."""
        rest = attrs.evolve(self, first=first, tokens=dict(self.tokens), holders=dict(self.holders))
        self.last = first - 1
        return rest


@attrs.define(eq=False)
class AssignmentHistory:
    """All assignments that were in force, and who may hold keys by them.

    Attributes
    ----------
    assignments
        Those that were in force when they were written, in order, also those lost since.
    faults
        Which rules were broken.
    counts
        How often what happened.
    """

    vms: list[VirtualMachine]
    assignments: list[Assignment] = attrs.field(factory=list)
    faults: list[str] = attrs.field(factory=list)
    counts: Counter[str] = attrs.field(factory=Counter)
    _keys: list[KeyHistory] = attrs.field(factory=lambda: [KeyHistory(0, KEY_COUNT - 1)])

    def record(self, offset: int, data: bytes) -> None:
        """Record what was written as the record that ends at an offset."""
        assignment = decode_assignment(SERVICE, offset, data)
        if not assignment.is_in_force(offset):
            self.counts["not in force"] += 1
            return
        if self.assignments:
            before = self.assignments[-1]
            self.counts["era"] += assignment.era > before.era
            self.counts["witnesses"] += assignment.witnesses != before.witnesses
            self.counts["merged"] += len(
                {item.last for item in before.ranges} - {item.last for item in assignment.ranges}
            )
        self.assignments.append(assignment)
        position = 0
        for item in assignment.ranges:
            if item.first != position:
                self.faults.append(f"{offset}: keys {position} to {item.first} have no owner")
            position = item.last + 1
            for keys in self._cut(item.first, item.last):
                self._apply(keys, item, offset)
        if position != KEY_COUNT:
            self.faults.append(f"{offset}: keys from {position} on have no owner")

    def _cut(self, first: int, last: int) -> list[KeyHistory]:
        """Return the histories of exactly the keys of a range."""
        start, end = self._find_start(first), self._find_start(last + 1)
        return self._keys[start:end]

    def _find_start(self, key: int) -> int:
        """Return the index of the history that begins with a key, after cutting it off there."""
        index = bisect_left(self._keys, key, key=lambda keys: keys.first)
        if key < KEY_COUNT and (index == len(self._keys) or self._keys[index].first != key):
            self._keys.insert(index, self._keys[index - 1].split(key))
        return index

    def _apply(self, keys: KeyHistory, item: KeyRange, offset: int) -> None:
        own_token = keys.tokens.get(item.owner, 0)
        highest = max((t for other, t in keys.tokens.items() if other != item.owner), default=0)
        is_moved = keys.owner not in (None, item.owner)
        faults = []
        if item.fence <= highest:
            faults.append(f"another had them under {highest}")
        if item.fence < own_token or (is_moved and item.fence == own_token):
            faults.append(f"it had them under {own_token}")
        if item.fence > offset:
            faults.append("the token is that of a later record")
        self.counts["moved"] += is_moved
        self.counts["moved back"] += is_moved and bool(own_token)
        self.counts["new token"] += not is_moved and 0 < own_token < item.fence
        keys.owner = item.owner
        keys.tokens[item.owner] = max(own_token, item.fence)
        keys.holders[find_line(item.owner)] = item.fence
        # A daemon releases for all processes beside it, and grants to one of them at a time.
        asked = {former.node for former in (*item.former_owners, item.owner)}
        if UNKNOWN_OWNER not in item.former_owners:
            faults += [
                f"{line} may hold them under {token}, but its daemon is not asked"
                for line, token in keys.holders.items()
                if line[0] not in asked and not self._has_ended(line)
            ]
        self.faults += [
            f"{offset}: keys {keys.first} to {keys.last}, {item.owner} under {item.fence}: {fault}"
            for fault in faults
        ]

    def is_any_in_force(self, era: int) -> bool:
        """Return whether an assignment of an era was written."""
        return bool(self.assignments) and self.assignments[-1].era == era

    def _has_ended(self, line: Line) -> bool:
        return any(vm.node == line[0] and vm.incarnation.instance != line[1] for vm in self.vms)

    def record_granted(self, owner: BackendIncarnation, assignment: Assignment) -> None:
        """Record that an owner holds all its ranges, for which it waited until they were free."""
        for item in assignment.list_owned(owner):
            for keys in self._cut(item.first, item.last):
                keys.holders = {
                    line: token
                    for line, token in keys.holders.items()
                    if token >= item.fence or line == find_line(owner)
                }


@attrs.define(eq=False)
class VirtualMachine:
    """A VM, as its daemon reports it.

    Attributes
    ----------
    known_count
        How many assignments that were in force its gate knows.
    copy_end
        End of its copy of the partition.
    """

    node: str
    incarnation: BackendIncarnation
    accepts_work: bool = True
    is_known: bool = True
    granted_offset: int = -1
    capacity_per_s: float = CAPACITIES_PER_S[0]
    known_count: int = 0
    copy_end: int = -1

    def describe(self) -> GateStatus:
        """Return the state of the gate."""
        if not self.is_known:
            return GateStatus()
        return GateStatus(
            SERVICE,
            self.incarnation,
            4,
            accepts_work=self.accepts_work,
            granted_offset=self.granted_offset,
            capacity_per_s=self.capacity_per_s,
        )


class HistoryLog(VirtualLog):
    """A store that records each assignment which it is given.

    Attributes
    ----------
    refusals
        Number of the next conditional writes that are refused.
    """

    def __init__(self, history: AssignmentHistory) -> None:
        super().__init__()
        self.refusals = 0
        self._history = history

    def append(self, partition: Partition, key: str, value: bytes) -> int:
        """Append a record and return its position."""
        offset = super().append(partition, key, value)
        if key == OWN_KEY:
            self._history.record(offset + 1, value)
        return offset

    async def write(
        self, partition: Partition, entries: Sequence[tuple[str, bytes]], expected_end: int | None
    ) -> WriteOutcome:
        """Append records if the partition ends at an offset, unless the call is refused."""
        if self.refusals:
            self.refusals -= 1
            self._history.counts["refused"] += 1
            return StoreFailed("refused")
        outcome = await super().write(partition, entries, expected_end)
        self._history.counts[type(outcome).__name__] += 1
        return outcome


@attrs.define
class PlannerLog:
    """The store as one planner sees it.

    Attributes
    ----------
    lost_reads
        Number of the next reads that get no answer.
    """

    log: HistoryLog
    lost_reads: int = 0

    def _loses_read(self) -> bool:
        self.lost_reads -= 1
        return self.lost_reads >= 0

    async def read_newest(self, partition: Partition) -> Records | StoreFailed:
        """Read the newest record of each key."""
        if self._loses_read():
            return StoreFailed("lost")
        return await self.log.read_newest(partition)

    async def read_from(self, partition: Partition, offset: int, wait_s: float) -> ReadOutcome:
        """Read records from a position on."""
        if self._loses_read():
            return StoreFailed("lost")
        return await self.log.read_from(partition, offset, wait_s)

    async def write(
        self, partition: Partition, entries: Sequence[tuple[str, bytes]], expected_end: int | None
    ) -> WriteOutcome:
        """Append records if the partition ends at an offset."""
        return await self.log.write(partition, entries, expected_end)


@attrs.define
class LoadsLink:
    """A connection to a peer that tells its loads; the site goes on before it answers."""

    site: PlannerSite
    index: int
    connected: bool = True
    version: int = -1

    async def request(self, *_: Any) -> list[tuple[int, float]]:
        """Return the rates of the peer's keys."""
        await self.site.go_on_meanwhile()
        return list(self.site.list_rates(self.index).items())


@attrs.frozen
class OwnLoads:
    """The loads of a planner's own gate."""

    site: PlannerSite
    index: int

    def list_rates(self, _: float) -> dict[int, float]:
        """Return the rates of its keys."""
        return self.site.list_rates(self.index)


class Planner:
    """The key control of one VM's daemon, with a copy of the partition of its own."""

    def __init__(self, site: PlannerSite, index: int) -> None:
        vm = site.vms[index]
        self.log = PlannerLog(site.log)
        self.follower = PartitionFollower(
            self.log,
            PARTITION,
            lambda changed: self.control.update_assignments(changed),
            lambda end, sent_at: self.control.record_store_read(end, sent_at),
        )
        own = Member(vm.node, "127.0.0.1:1", "recife", SERVICE)
        self.mesh = Mesh(own, [self.follower], vm.describe, lambda *_: None)
        self.control = KeyControl(
            vm.node,
            SERVICE,
            self.log,
            self.follower,
            self.mesh,
            RangeKeeper(FakeBackend(), RangeLease(), vm.node),
            vm.describe,
            lambda _: False,
            lambda _: True,
            OwnLoads(site, index),  # type: ignore[arg-type]
            site.max_rows,
        )
        self._is_planning = False
        for number, other in enumerate(site.vms):
            if other is not vm:
                member = Member(other.node, "127.0.0.1:1", ("recife", "natal")[number % 2], SERVICE)
                link: Any = LoadsLink(site, number)
                self.mesh.add_peer(Peer(member, link))

    def hear(self, vm: VirtualMachine) -> None:
        """Get the present status of a VM's daemon."""
        peer = self.mesh.peers.get(vm.node)
        if peer is not None:
            peer.status, peer.heard_at = vm.describe(), read_clock()
            peer.replica_ends = (vm.copy_end,)

    async def read(self) -> None:
        """Bring the copy of the partition up to date."""
        if self.follower.replica.confirmed_by_store:
            await self.follower.confirm_now()
        if not self.follower.replica.confirmed_by_store:
            self.follower._record_store_answer(await self.follower._read_once())

    async def plan(self) -> None:
        """Plan once, as a leader does."""
        if self._is_planning:
            return
        self._is_planning = True
        try:
            await self.control._plan()
        finally:
            self._is_planning = False


class PlannerSite:
    """VMs, the store, and two daemons that both plan.

    Each planner knows what it has read and heard so far. Statuses that it hears are the present
    ones; they grow old while it hears nothing.
    """

    def __init__(self, vms: int, max_rows: int) -> None:
        self.max_rows = max_rows
        self.vms = [
            VirtualMachine(name, BackendIncarnation(name, f"i-{number}", FIRST_BORN_MS))
            for number, name in enumerate(f"node-{number}" for number in range(vms))
        ]
        self.history = AssignmentHistory(self.vms)
        self.log = HistoryLog(self.history)
        self.planners = [Planner(self, index) for index in range(PLANNERS)]
        self._processes = vms
        self._meanwhile: list[Step] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def play(self, steps: Sequence[Step]) -> AssignmentHistory:
        """Play steps after the first assignment, and what is still under way after them."""
        for planner in self.planners:
            await planner.read()
        await asyncio.sleep(FIRST_ASSIGNMENT_DELAY_S)
        await self.do_round(Step("round"))
        for step in steps:
            await self.do(step)
        await asyncio.gather(*self._tasks)
        await asyncio.sleep(max(LATE_S))
        await self._recover()
        return self.history

    async def _recover(self) -> None:
        """Let all go well again, after which an assignment has to be in force."""
        self.log.refusals = 0
        self.log.late_writes.clear()
        for planner in self.planners:
            planner.log.lost_reads = 0
        for vm in self.vms:
            vm.accepts_work = True
        # A daemon that has restarted waits, and so do incarnations that seem to start earlier.
        for number in range(6):
            await self.do_round(Step("round", planner=number % PLANNERS))
        if not self.history.is_any_in_force(self.log.era):
            self.history.faults.append("no assignment is in force in the end")

    async def do(self, step: Step) -> None:
        """Play one step."""
        await getattr(self, f"do_{step.kind}")(step)

    async def go_on_meanwhile(self) -> None:
        """Play a step that was kept for the time in which loads are collected."""
        if self._meanwhile:
            self._tasks.append(asyncio.create_task(self.do(self._meanwhile.pop())))
        await asyncio.sleep(0.05)

    def list_rates(self, index: int) -> dict[int, float]:
        """Return the rates that a VM reports; together they are those of all keys."""
        return {group: rate for group, rate in RATES.items() if group % len(self.vms) == index}

    def _find_vm(self, step: Step) -> VirtualMachine:
        return self.vms[step.vm % len(self.vms)]

    async def do_round(self, step: Step) -> None:
        """Let all know what there is, and a planner plan after it; number 3 leaves out one VM."""
        for planner in self.planners:
            await planner.read()
        for vm in self.vms:
            vm.is_known = True
            self._grant(vm, 0)
        await asyncio.sleep(1.0)
        for vm in self.vms:
            if step.number < 3 or vm is not self._find_vm(step):
                for planner in self.planners:
                    planner.hear(vm)
        await self.planners[step.planner].plan()

    async def do_plan(self, step: Step) -> None:
        """Let a planner plan with what it knows."""
        await self.planners[step.planner].plan()

    async def do_race(self, _: Step) -> None:
        """Let both planners plan at a time."""
        await asyncio.gather(*(planner.plan() for planner in self.planners))

    async def do_evict(self, step: Step) -> None:
        """Move a VM's keys at once, be the former move over or not, and let both planners know."""
        if step.number % 2 == 0:
            for vm in self.vms:
                vm.accepts_work = True
        await self.do_leave(step)
        for planner in self.planners:
            for vm in self.vms:
                planner.hear(vm)
        await self.planners[step.planner].read()
        await self.planners[step.planner].plan()
        await self.planners[1 - step.planner].read()

    async def do_meanwhile(self, step: Step) -> None:
        """Keep a step for the time in which loads are collected."""
        kinds = ("evict", "evict", "restore", "foreign")
        self._meanwhile.append(attrs.evolve(step, kind=kinds[step.number]))

    async def do_read(self, step: Step) -> None:
        """Bring a planner's copy up to date."""
        await self.planners[step.planner].read()

    async def do_hear(self, step: Step) -> None:
        """Let a planner hear of all VMs."""
        for vm in self.vms:
            self.planners[step.planner].hear(vm)

    async def do_hear_one(self, step: Step) -> None:
        """Let a planner hear of one VM."""
        self.planners[step.planner].hear(self._find_vm(step))

    async def do_grant(self, step: Step) -> None:
        """Let a VM hold its keys by the newest assignment or one of the three before it."""
        self._grant(self._find_vm(step), step.number)

    def _grant(self, vm: VirtualMachine, behind: int) -> None:
        count = max(vm.known_count, len(self.history.assignments) - behind)
        if vm.is_known and count > 0:
            vm.known_count = count
            assignment = self.history.assignments[count - 1]
            vm.granted_offset = vm.copy_end = assignment.offset
            self.history.record_granted(vm.incarnation, assignment)

    async def do_replace(self, step: Step) -> None:
        """Start another process at a VM, with another name or with an earlier start."""
        vm, former = self._find_vm(step), self._find_vm(step).incarnation
        self._processes += 1
        keeps_name, is_earlier = step.number % 2 == 1, step.number >= 2
        vm.incarnation = BackendIncarnation(
            vm.node,
            former.instance if keeps_name else f"i-{self._processes}",
            former.born_ms + (-7 if is_earlier else 10),
        )
        vm.granted_offset, vm.accepts_work, vm.is_known = -1, True, True
        self.history.counts["replaced"] += 1

    async def do_succeed(self, step: Step) -> None:
        """Start another process, of which one planner hears before the other one plans, too."""
        await self.do_replace(step)
        first, second = self.planners[step.planner], self.planners[1 - step.planner]
        await self.do_hear(step)
        for planner in (first, second):
            await planner.read()
            await planner.plan()

    async def do_leave(self, step: Step) -> None:
        """Let a VM take no work; it keeps what it holds until then."""
        self._find_vm(step).accepts_work = False

    async def do_return(self, step: Step) -> None:
        """Let a VM take work again."""
        vm = self._find_vm(step)
        vm.accepts_work, vm.is_known = True, True

    async def do_restart(self, step: Step) -> None:
        """Restart the daemon of a VM, which does not know its backend server yet."""
        vm = self._find_vm(step)
        vm.is_known, vm.granted_offset = False, -1
        index = self.vms.index(vm)
        if index < PLANNERS:
            self.planners[index] = Planner(self, index)

    async def do_slow(self, step: Step) -> None:
        """Change what a VM can serve; the others are as fast as they were at first."""
        for vm in self.vms:
            vm.capacity_per_s = CAPACITIES_PER_S[0]
        self._find_vm(step).capacity_per_s = CAPACITIES_PER_S[step.number]

    async def do_shift(self, step: Step) -> None:
        """Change what a VM can serve, and let planners move keys."""
        await self.do_slow(step)
        for planner in range(PLANNERS):
            await self.do_round(Step("round", planner))

    async def do_wait(self, step: Step) -> None:
        """Let time pass."""
        await asyncio.sleep(WAITS_S[step.number])

    async def do_refuse(self, step: Step) -> None:
        """Have the next conditional writes refused."""
        self.log.refusals += 1 + step.number // 2

    async def do_late(self, step: Step) -> None:
        """Have the next conditional write carried out late, without an answer."""
        self.log.late_writes.append(LATE_S[step.number])
        self.history.counts["late"] += 1

    async def do_lose_reads(self, step: Step) -> None:
        """Have the next reads of a planner fail."""
        log = self.planners[step.planner].log
        log.lost_reads = max(log.lost_reads, 0) + 1 + step.number // 2

    async def do_foreign(self, _: Step) -> None:
        """Append a record of another service."""
        self.log.append(PARTITION, ASSIGNMENT_KEY_PREFIX + "elsewhere", b"?")

    async def do_restore(self, step: Step) -> None:
        """Let the store come back from an older copy."""
        await self.log.restore(AGES_S[step.number], 0.0, OPERATOR)


KINDS = tuple(name.removeprefix("do_") for name in vars(PlannerSite) if name.startswith("do_"))
