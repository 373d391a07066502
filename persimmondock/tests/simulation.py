"""Simulation of daemons: true time, clocks, network, log, and a checker.

The simulation drives real ``Membership`` objects through their public events. Each daemon sees
only its own monotonic clock. The checker sees true time and checks what each daemon would allow;
it does not rely on what a ``Membership`` knows of other daemons.
"""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable

import attrs

from persimmondock._domain.configuration import FLEET_SUBJECT, FleetConfiguration, render_subject
from persimmondock._domain.effects import Append, Effect, Send, SliceRef
from persimmondock._domain.leases import LeaseTiming
from persimmondock._domain.membership import Identity, Membership
from persimmondock._domain.messages import (
    KeptAnswer,
    Message,
    RecordsAsked,
    RecordsGiven,
    Released,
)
from persimmondock._domain.records import (
    ConfigurationPublished,
    Record,
    SubjectChange,
    make_record_id,
)
from persimmondock._domain.verdict import MayHaveRun, Reason
from persimmondock.tests.builders import DOMAINS, make_backend, make_published

SERVICE = "painel"
SLICES = 4
TICK_S = 0.1
READ_INTERVAL_S = 0.15
MAX_RECORDS_PER_READ = 100
WORK_PROBABILITY = 0.25
MAX_WORK_S = 2.5


class OwnershipError(AssertionError):
    """The checker found a violated invariant."""


@attrs.define(eq=False)
class Work:
    """One non-idempotent request at a backend server.

    Parameters
    ----------
    issued_at
        View offset of the daemon that let it run.
    index
        Slice of the request.
    until
        True instant at which it ends.
    """

    number: int
    process: Process
    index: int
    issued_at: int
    until: float


@attrs.define(eq=False)
class Process:
    """One run of a daemon; a restart makes a new one without any state.

    Parameters
    ----------
    rate, base
        Rate of its monotonic clock per true second, and its reading at true time 0.
    table
        Numbers of the requests that it knows for each slice.
    deferred
        Actions that wait until the end of a pause.
    configuration_offset
        Offset of the fleet configuration that it had after its last action, or -1.
    last_served
        Slices that it would have served after its last action.
    """

    number: int
    rate: float
    base: float
    membership: Membership
    alive: bool = True
    paused_until: float = 0.0
    table: dict[int, set[int]] = attrs.field(factory=lambda: defaultdict(set))
    deferred: list[Callable[[], None]] = attrs.field(factory=list)
    configuration_offset: int = -1
    last_served: frozenset[int] = frozenset()

    def read_clock(self, now: float) -> float:
        """Return the monotonic clock of this process at a true instant."""
        return self.base + self.rate * now


@attrs.define
class Simulation:
    """Daemons, their network and the log in simulated true time.

    Parameters
    ----------
    make_membership
        Builds the ``Membership`` of a process; a test of the checker passes a broken one.
    now
        True time in seconds.
    loss, duplicates
        Probabilities that a message is lost and that it is sent twice.
    append_loss
        Probability that an append is lost. An append that is not lost is late with the same
        probability.
    replaced
        Processes that were paused and replaced by another process of their daemon.
    parts
        Network partition of each daemon by number, 0 if not listed. Only daemons of the same
        partition exchange messages.
    work
        Requests in flight, and some that have ended.
    started
        All requests that were started, by slice.
    """

    seed: int
    daemons: int
    make_membership: Callable[..., Membership] = Membership
    now: float = 1000.0
    loss: float = 0.0
    duplicates: float = 0.0
    longest_delay_s: float = 0.01
    log_down: bool = False
    append_loss: float = 0.0
    log: list[Record] = attrs.field(factory=list)
    processes: dict[int, Process] = attrs.field(factory=dict)
    replaced: list[Process] = attrs.field(factory=list)
    parts: dict[int, int] = attrs.field(factory=dict)
    cut_from_log: set[int] = attrs.field(factory=set)
    work: list[Work] = attrs.field(factory=list)
    started: dict[int, list[Work]] = attrs.field(factory=lambda: defaultdict(list))
    random: random.Random = attrs.field(init=False)
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _sequence: int = 0
    _work_count: int = 0

    def __attrs_post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.log.append(make_published(SERVICE, slices=SLICES))
        for number in range(self.daemons):
            self.start(number)

    # Time.

    def run(self, seconds: float) -> None:
        """Advance true time; the checker runs after each action of a process."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (self.now + delay, self._sequence, action))

    # Daemons.

    def start(self, number: int) -> None:
        """Start a daemon's process; a running one is killed."""
        self.kill(number)
        process = Process(
            number=number,
            rate=self.random.choice((0.97, 1.0, 1.03)),
            base=self.random.uniform(0.0, 100.0),
            membership=self.make_membership(
                identity=_make_identity(number),
                timing=LeaseTiming(),
                is_busy=lambda ref: self._is_busy(process, ref),
                collect_kept=lambda ref: _collect_kept(process, ref),
            ),
        )
        process.membership.backends[f"backend-{number}"] = make_backend(number)
        self.processes[number] = process
        self._tick(process)
        self._read_log(process)

    def kill(self, number: int) -> None:
        """End a process at once; its backend server completes the requests that it runs."""
        if number in self.processes:
            self.processes[number].alive = False

    def replace(self, number: int, seconds: float) -> None:
        """Pause a VM and start another with its name and address.

        The paused one resumes later; its address is taken, and its messages reach nobody.
        """
        process = self.processes.pop(number)
        process.paused_until = max(process.paused_until, self.now + seconds)
        process.deferred.clear()
        self.replaced.append(process)
        self.start(number)

    def pause(self, number: int, seconds: float) -> None:
        """Pause a process; its clock runs on."""
        process = self.processes[number]
        process.paused_until = max(process.paused_until, self.now + seconds)
        self._schedule(process.paused_until - self.now, lambda: self._resume(process))

    def leave(self, number: int) -> None:
        """Ask a daemon to shut down gracefully."""
        process = self.processes[number]
        self._perform(
            process, lambda: process.membership.start_leaving(process.read_clock(self.now))
        )

    def set_backend(self, number: int, present: bool) -> None:
        """Announce or withdraw the backend server beside a daemon."""
        process = self.processes[number]

        def act() -> list[Effect]:
            now = process.read_clock(self.now)
            if present:
                return process.membership.announce_backend(make_backend(number), now)
            return process.membership.withdraw_backend(f"backend-{number}", now)

        self._perform(process, act)

    def publish_domains_out(self, number: int, domains: tuple[str, ...]) -> None:
        """Publish the failure domains that are out, based on one daemon's view."""
        version = self.processes[number].membership.view.subjects.get(FLEET_SUBJECT)
        base = -1 if version is None else version.offset
        body = render_subject(FleetConfiguration(failure_domains_out=domains))
        change = SubjectChange(FLEET_SUBJECT, base, body)
        self._append((ConfigurationPublished(make_record_id(), "test", (change,)),))

    def heal(self) -> None:
        """End all faults and start the daemons that are not running."""
        self.loss = self.duplicates = self.append_loss = 0.0
        self.longest_delay_s = 0.01
        self.log_down = False
        self.parts.clear()
        self.cut_from_log.clear()
        for number in range(self.daemons):
            process = self.processes[number]
            process.paused_until = min(process.paused_until, self.now)
            self._resume(process)
            if not process.alive or process.membership.left or process.membership.leaving:
                self.start(number)

    def _resume(self, process: Process) -> None:
        if self._is_paused(process):
            return
        deferred, process.deferred = process.deferred, []
        for action in deferred:
            action()

    def _is_paused(self, process: Process) -> bool:
        return self.now < process.paused_until

    def _perform(self, process: Process, act: Callable[[], list[Effect]]) -> None:
        """Run an action of a process, now or when its pause ends, and check the process."""
        if not process.alive:
            return
        if self._is_paused(process):
            process.deferred.append(lambda: self._perform(process, act))
            return
        effects = act()
        if process in self.replaced:
            effects = []
        for effect in effects:
            match effect:
                case Send(address=address, message=message):
                    self._send(process, _parse_number(address), message)
                case Append(records=records):
                    self._append(records, process)
        self._check(process)
        if process.membership.left:
            process.alive = False

    def _tick(self, process: Process) -> None:
        if not process.alive:
            return
        if not self._is_paused(process):
            self._perform(process, lambda: process.membership.advance(process.read_clock(self.now)))
            self._start_work(process)
        self._schedule(TICK_S, lambda: self._tick(process))

    # Network.

    def _send(self, sender: Process, number: int, message: Message) -> None:
        copies = 2 if self.random.random() < self.duplicates else 1
        for _ in range(copies):
            if self.random.random() >= self.loss:
                delay = self.random.uniform(0.0005, self.longest_delay_s)
                self._schedule(delay, lambda: self._deliver(sender, number, message))

    def _deliver(self, sender: Process, number: int, message: Message) -> None:
        receiver = self.processes[number]
        if self.parts.get(sender.number, 0) != self.parts.get(number, 0):
            return
        self._perform(receiver, lambda: self._receive(receiver, sender, message))

    def _receive(self, receiver: Process, sender: Process, message: Message) -> list[Effect]:
        """Handle a message as the control task does."""
        now = receiver.read_clock(self.now)
        address = sender.membership.identity.peer_address
        match message:
            case RecordsAsked(start=start):
                end = min(receiver.membership.view.offset, start + MAX_RECORDS_PER_READ)
                if end <= start:
                    return []
                return [Send(address, RecordsGiven(start, tuple(b"" for _ in range(start, end))))]
            case RecordsGiven(start=start, payloads=payloads):
                return self._apply(receiver, start + len(payloads), now)
            case Released(service=_, kept=kept):
                for answer in kept:
                    receiver.table[answer.slice].add(int(answer.request_id))
        return receiver.membership.receive(message, address, now)

    # Log.

    def _append(self, records: tuple[Record, ...], writer: Process | None = None) -> None:
        """Append records at once, late or never; the writer does not learn the outcome."""
        if self.log_down or (writer is not None and writer.number in self.cut_from_log):
            return
        if self.random.random() < self.append_loss:
            return
        late = self.random.random() < self.append_loss
        delay = self.random.uniform(0.5, 3.0) if late else self.random.uniform(0.001, 0.01)
        self._schedule(delay, lambda: self.log.extend(records))

    def _read_log(self, process: Process) -> None:
        if not process.alive or process in self.replaced:
            return
        if not self.log_down and process.number not in self.cut_from_log:
            sent_at = process.read_clock(self.now)
            end = min(len(self.log), process.membership.view.offset + MAX_RECORDS_PER_READ)
            caught_up = end == len(self.log)
            delay = self.random.uniform(0.001, self.longest_delay_s)
            self._schedule(delay, lambda: self._receive_log_read(process, end, sent_at, caught_up))
        self._schedule(READ_INTERVAL_S, lambda: self._read_log(process))

    def _receive_log_read(
        self, process: Process, end: int, sent_at: float, caught_up: bool
    ) -> None:
        def act() -> list[Effect]:
            now = process.read_clock(self.now)
            process.membership.record_log_read(now, caught_up, sent_at)
            return self._apply(process, end, now)

        self._perform(process, act)

    def _apply(self, process: Process, end: int, now: float) -> list[Effect]:
        start = process.membership.view.offset
        if end <= start:
            return []
        return process.membership.apply_records(list(enumerate(self.log[start:end], start)), now)

    # Work at backend servers.

    def _start_work(self, process: Process) -> None:
        """Start requests of served slices at random, as the gate does."""
        now = process.read_clock(self.now)
        self.work = [work for work in self.work if work.until > self.now]
        for index in range(SLICES):
            if self.random.random() >= WORK_PROBABILITY:
                continue
            if not process.membership.serves_slice(SliceRef(SERVICE, index), now):
                continue
            assert process.membership.lease is not None
            bound = process.membership.lease.compute_deadline() - now
            until = self.now + min(bound, self.random.uniform(0.01, MAX_WORK_S))
            work = Work(self._work_count, process, index, process.membership.view.offset, until)
            process.table[index].add(self._work_count)
            self.work.append(work)
            self.started[index].append(work)
            self._work_count += 1

    def _is_busy(self, process: Process, ref: SliceRef) -> bool:
        return any(
            w.process is process and ref.index in (-1, w.index)
            for w in self.work
            if w.until > self.now
        )

    # The checker.

    def list_served(self, process: Process) -> frozenset[int]:
        """Return the slices that a process would serve at this true instant."""
        if not process.alive:
            return frozenset()
        now = process.read_clock(self.now)
        if not process.membership.holds_lease(now):
            return frozenset()
        return frozenset(
            index
            for index in range(SLICES)
            if process.membership.serves_slice(SliceRef(SERVICE, index), now)
        )

    def _check(self, process: Process) -> None:
        """Check a process after an action.

        A process starts to serve a slice only by an action, so the others serve at most the slices
        that they served after their last action.
        """
        self._check_configuration(process)
        before, process.last_served = process.last_served, self.list_served(process)
        self._check_owners(process)
        self._check_work(process)
        for index in process.last_served - before:
            self._check_table(process, index)

    def _check_owners(self, process: Process) -> None:
        for other in (*self.processes.values(), *self.replaced):
            if other is process or not other.last_served & process.last_served:
                continue
            other.last_served = self.list_served(other)
            for index in other.last_served & process.last_served:
                raise OwnershipError(
                    f"slice {index} has two owners, "
                    f"{process.membership.ref} and {other.membership.ref}"
                )

    def _check_work(self, process: Process) -> None:
        for work in self.work:
            if work.until > self.now and work.process is not process:
                if work.index in process.last_served:
                    raise OwnershipError(
                        f"{process.membership.ref} serves slice {work.index} while work of "
                        f"{work.process.membership.ref} is in flight"
                    )

    def _check_table(self, process: Process, index: int) -> None:
        """Check that the owner knows each request that ran, or the slice's floor refuses it."""
        floor = int(process.membership.view.services[SERVICE].floors[index])
        for work in self.started[index]:
            if work.issued_at > floor and work.number not in process.table[index]:
                raise OwnershipError(
                    f"{process.membership.ref} would run request {work.number} "
                    f"of slice {index} again"
                )

    def _check_configuration(self, process: Process) -> None:
        """Check that a process has the last accepted version of the log prefix it has read."""
        offset = process.membership.view.offset
        version = process.membership.view.subjects.get(FLEET_SUBJECT)
        present = -1 if version is None else version.offset
        if present < process.configuration_offset:
            raise OwnershipError(f"{process.membership.ref} went back to version {present}")
        if present != process.configuration_offset and present != self._find_accepted(offset):
            raise OwnershipError(f"{process.membership.ref} has version {present} at {offset}")
        process.configuration_offset = present

    def _find_accepted(self, offset: int) -> int:
        accepted = -1
        for at, record in enumerate(self.log[:offset]):
            if isinstance(record, ConfigurationPublished):
                change = record.changes[0]
                if change.subject == FLEET_SUBJECT and change.base == accepted:
                    accepted = at
        return accepted

    def check_all_served(self) -> None:
        """Check, long after all faults, that each slice has one owner and no handover is left."""
        served = sorted(i for p in self.processes.values() for i in self.list_served(p))
        if served != list(range(SLICES)):
            members = [str(p.membership.ref) for p in self.processes.values()]
            raise OwnershipError(f"slices {served} are served after all faults ended; {members}")
        for process in self.processes.values():
            left = process.membership.view.services[SERVICE].handovers
            if left:
                raise OwnershipError(
                    f"handovers of {process.membership.ref} are not settled: {left}"
                )


def _make_identity(number: int) -> Identity:
    return Identity(
        daemon=f"vm-{number}",
        failure_domain=DOMAINS[number % len(DOMAINS)],
        peer_address=f"10.0.0.{number}:8102",
        data_address=f"10.0.0.{number}:8103",
        caller_address=f"10.0.0.{number}:8100",
        operator_address=f"10.0.0.{number}:8101",
    )


def _parse_number(address: str) -> int:
    return int(address.split(":")[0].rsplit(".", 1)[1])


def _collect_kept(process: Process, ref: SliceRef) -> tuple[KeptAnswer, ...]:
    return tuple(
        KeptAnswer(SERVICE, ref.index, str(number), 0, MayHaveRun(Reason.BACKEND_LOST), 0)
        for number in sorted(process.table[ref.index])
    )
