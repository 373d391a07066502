"""Runs a plan on a site while callers send requests."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
from collections import deque
from typing import TYPE_CHECKING, Any

import aiohttp

from persimmondock.soak.checks import Breach, Call, Fault, LimitSpan, Notice, Span, find_breaches
from persimmondock.soak.late_loops import LateLoop, read_late_loops
from persimmondock.soak.site import SoakSite
from persimmondock.standins.endless import EndlessAnswers, pour_message
from persimmondock.standins.site_backend import WORK_FIELD, FaultyAnswers, LateGrants
from persimmondock.standins.site_messages import (
    ANNOUNCE_PORT,
    ANNOUNCE_REQUEST,
    CALLER_PORT,
    GRACE_S,
    KEYED_SERVICE,
    LIMITED_TENANT,
    NO_KEY,
    READY_PORT,
    TENANT,
    UNKEYED_SERVICE,
    build_request_headers,
    read_answer_notice,
    set_evacuated,
)

if TYPE_CHECKING:
    from collections.abc import Coroutine, Sequence

    from persimmondock.soak.plan import Event
    from persimmondock.soak.site import SoakVm
    from persimmondock.standins.site_store import StoreCopy

CALLS_PER_S = 70.0
LIMITED_CALLS_PER_S = 20.0  # of the tenant with a limit, over twice what that allows
TIMEOUT_S = 1.5
LATE_ANSWER_WAIT_S = 6.0  # time that a caller waits for an answer after its time limit
START_WITHIN_S = 20.0
LISTEN_WITHIN_S = 10.0
RECOVER_WITHIN_S = 15.0
RESTART_AFTER_S = 0.5
DRAIN_FOR_S = 4.0
STORE_MARGIN_S = 0.3  # of an outage, before daemons are killed and after they have started
ACKNOWLEDGED = 200
WAKEUP_INTERVAL_S = 0.05
MIN_LATE_S = 0.25
SLOW_WORK_S = 1.2
SLOW_WORK_INTERVAL_S = 0.25  # between the requests to a daemon that stops
CUT_RATIO = 0.3  # of the answers
WATCH_INTERVAL_S = 0.03  # of the daemons' processes
MAX_ANSWER_BYTES = 65_536  # that a caller reads
FEW_DESCRIPTORS = 256
IDLE_CONNECTIONS = 400
IDLE_CONNECT_TIMEOUT_S = 0.5
POURING_CLIENTS = 4
SIGNAL_INTERVAL_S = 0.02
# Ports to which clients pour requests, and the request that they begin.
POURED_REQUESTS = {
    "caller": (CALLER_PORT, "POST /assign/{}"),
    "announce": (ANNOUNCE_PORT, ANNOUNCE_REQUEST),
    "ready": (READY_PORT, "GET /ready?{}"),
}
KEY_COUNT = 65_536
PROBE_KEY_STEP = 4_096
COPY_INTERVAL_S = 0.1
KEPT_ORDER_RATIO = 0.5  # of the restorations; operators write all lost records again, or the newest
MAX_COPIES = 100


class SoakRunner:
    """Runs one soak.

    Attributes
    ----------
    started_at
        Instant at which callers started.
    max_wakeup_delay_s
        Largest delay of a timer in this process.
    """

    def __init__(self, site: SoakSite, plan: Sequence[Event], seed: int, duration_s: float) -> None:
        self._site = site
        self._plan = plan
        self._random = random.Random(seed + 1)  # not the sequence that the plan was drawn from
        self._duration_s = duration_s
        self._session: aiohttp.ClientSession | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._request_number = 0
        self._evacuated_domains: set[str] = set()
        self._copies: deque[tuple[float, StoreCopy]] = deque(maxlen=MAX_COPIES)
        self.started_at = 0.0
        self.max_wakeup_delay_s = 0.0
        self._own_late_loops: list[LateLoop] = []

    async def _measure_wakeup_delay(self) -> None:
        """Measure how late timers fire: on an overloaded host, real-time bounds mean little."""
        while True:
            due, used_s = time.monotonic() + WAKEUP_INTERVAL_S, time.process_time()
            await asyncio.sleep(WAKEUP_INTERVAL_S)
            now = time.monotonic()
            self.max_wakeup_delay_s = max(self.max_wakeup_delay_s, now - due)
            if now - due >= MIN_LATE_S:
                busy_s = time.process_time() - used_s
                self._own_late_loops.append(LateLoop("this process", due, now, busy_s))

    @property
    def summary(self) -> str:
        """A summary of the requests and runs, as text."""
        calls = self._site.observations.calls
        served = sum(call.status == 200 for call in calls)
        return f"{len(calls)} requests, {served} served, {len(self._site.observations.runs)} runs"

    def list_late_loops(self) -> tuple[LateLoop, ...]:
        """Return when event loops were late, of this process and of the daemons."""
        offset_s = time.time() - time.monotonic()
        outages = self._site.observations.daemon_outages
        return (*self._own_late_loops, *read_late_loops(self._site.folder, offset_s, outages))

    async def run(self) -> list[Breach]:
        """Run the plan and return the breaches."""
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S + LATE_ANSWER_WAIT_S)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
            self._session = session
            watch_task = asyncio.create_task(self._watch_daemons())
            try:
                await self._site.start()
                await self._wait_until_served("start", START_WITHIN_S)
                # Until all daemons have started, requests may fail without a breach.
                self._site.observations.calls.clear()
                started_at = self.started_at = time.monotonic()
                delay_task = asyncio.create_task(self._measure_wakeup_delay())
                copy_task = asyncio.create_task(self._copy_store())
                plan_task = asyncio.create_task(self._run_plan(started_at))
                limited_task = asyncio.create_task(self._send_limited_requests(started_at))
                await self._send_requests(started_at)
                await limited_task
                await plan_task
                delay_task.cancel()
                copy_task.cancel()
                await asyncio.gather(*self._tasks)
                await self._wait_until_served("end", RECOVER_WITHIN_S)
                await asyncio.gather(*(self._check_listening(vm) for vm in self._site.vms))
                assert not watch_task.done(), "the watch of the daemons has failed"
                self._collect_faults()
            finally:
                watch_task.cancel()
                for task in self._tasks:
                    task.cancel()
                await self._site.close()
        return find_breaches(self._site.collect_observations())

    # Callers.

    async def _send_requests(self, started_at: float) -> None:
        """Send requests at random intervals, without waiting for earlier ones."""
        while time.monotonic() < started_at + self._duration_s:
            vm = self._random.choice(self._site.vms)
            self._request_number += 1
            path = self._random.choices(
                ("/view/", "/assign/", "/keep/", f"/version{self._site.version}/"), (6, 3, 2, 1)
            )[0]
            keyed = path in ("/view/", "/keep/")
            key = self._random.randrange(KEY_COUNT) if keyed else NO_KEY
            self._start_task(self._send_request(vm, path, key, f"s{self._request_number}"))
            await asyncio.sleep(self._random.expovariate(CALLS_PER_S))

    async def _send_limited_requests(self, started_at: float) -> None:
        """Send requests of the tenant with a limit."""
        number = 0
        while time.monotonic() < started_at + self._duration_s:
            vm, key = self._random.choice(self._site.vms), self._random.randrange(KEY_COUNT)
            number += 1
            attempt = f"l{number}"
            self._start_task(self._send_request(vm, "/view/", key, attempt, LIMITED_TENANT))
            await asyncio.sleep(self._random.expovariate(LIMITED_CALLS_PER_S))

    async def _send_request(
        self,
        vm: SoakVm,
        path: str,
        key: int,
        attempt: str,
        tenant: str = TENANT,
        work_s: float | None = None,
    ) -> int:
        """Send one request, record its result and return its status; 0 if there is none.

        It takes ``work_s`` seconds at a backend server, or as long as others.
        """
        assert self._session is not None
        headers = build_request_headers(attempt, key, TIMEOUT_S, tenant)
        if work_s is not None:
            headers[WORK_FIELD] = str(work_s)
        safe = path not in ("/assign/", "/keep/")
        status, whole, error, notice = 0, False, "", Notice()
        version_written_at, sent_at = self._site.version_written_at, time.monotonic()
        try:
            # POST, because aiohttp repeats a GET by itself after a lost connection. Each request
            # has a path of its own: equal ones that run during crashes are refused as the cause.
            url = f"http://{vm.address}:{CALLER_PORT}{path}{attempt}"
            async with self._session.post(url, headers=headers) as response:
                answer = bytearray()
                async for piece in response.content.iter_any():
                    answer += piece
                    if len(answer) > MAX_ANSWER_BYTES:
                        response.close()
                        break
                whole = answer == b"answer to " + attempt.encode()
                status = response.status
                notice = Notice(*read_answer_notice(response.headers))
        except aiohttp.ClientConnectorError:
            error = "refused"
        except (aiohttp.ClientError, TimeoutError) as raised:
            error = "cut" if isinstance(raised, aiohttp.ClientError) else "silent"
        now = time.monotonic()
        observations = self._site.observations
        observations.calls.append(
            Call(
                attempt,
                vm.number,
                safe,
                sent_at,
                now,
                status,
                whole,
                TIMEOUT_S,
                error,
                notice,
                tenant,
                KEYED_SERVICE if path in ("/view/", "/keep/") else UNKEYED_SERVICE,
            )
        )
        # Each version has its own route: a 404 for an older one is expected.
        is_newest_version = path == f"/version{self._site.version}/"
        if is_newest_version and status == 404:
            observations.configuration_delays.append(Span(vm.name, version_written_at, sent_at))
        return status

    async def _wait_until_served(self, phase: str, within_s: float) -> None:
        """Request sample keys until all are served; record the rest after ``within_s`` seconds."""
        started_at = time.monotonic()
        unserved_keys = [*range(0, KEY_COUNT, PROBE_KEY_STEP), NO_KEY]
        while unserved_keys and time.monotonic() < started_at + within_s:
            still_unserved = []
            for key in unserved_keys:
                self._request_number += 1
                path = "/view/" if key != NO_KEY else "/assign/"
                vm = self._random.choice(self._site.vms)
                if await self._send_request(vm, path, key, f"{phase}{self._request_number}") != 200:
                    still_unserved.append(key)
            unserved_keys = still_unserved
            await asyncio.sleep(0.1)
        if unserved_keys:
            keys = ",".join(map(str, unserved_keys))
            self._site.observations.unserved_keys.append(
                Span(f"keys {keys}", started_at, time.monotonic())
            )

    # Daemons.

    async def _watch_daemons(self) -> None:
        """Record faults of the daemons' processes, and start those anew that ended by themselves.

        Until its successor is started, the plan does nothing to a daemon.
        """
        while True:
            self._collect_faults()
            for vm in self._site.vms:
                if not vm.busy and vm.process is not None and vm.process.returncode is not None:
                    vm.busy = True
                    self._start_task(self._restart(vm))
            await asyncio.sleep(WATCH_INTERVAL_S)

    def _collect_faults(self) -> None:
        for vm in self._site.vms:
            self._site.observations.faults += vm.find_faults()

    async def _restart(self, vm: SoakVm) -> None:
        try:
            await asyncio.sleep(RESTART_AFTER_S)
            await vm.start_daemon()
        finally:
            vm.busy = False

    async def _check_listening(self, vm: SoakVm) -> None:
        """Record a fault if a daemon accepts no connections in time."""
        started_at = time.monotonic()
        while time.monotonic() < started_at + LISTEN_WITHIN_S:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(TIMEOUT_S):
                    _, writer = await asyncio.open_connection(vm.address, CALLER_PORT)
                writer.close()
                return
            await asyncio.sleep(WAKEUP_INTERVAL_S)
        detail = f"does not listen {LISTEN_WITHIN_S:g} s after the last fault"
        self._site.observations.faults.append(Fault(vm.name, time.monotonic(), detail))

    # Events.

    def _start_task(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_plan(self, started_at: float) -> None:
        for event in self._plan:
            await asyncio.sleep(max(0.0, started_at + event.at_s - time.monotonic()))
            self._start_task(self._apply(event))

    async def _apply(self, event: Event) -> None:
        """Apply an event; one for a VM is skipped while another is being applied to that VM.

        Events of paths are never skipped.
        """
        vm = self._site.vms[event.vm - 1] if event.vm else None
        if vm is None:
            await self._apply_to_site(event)
        elif event.kind in ("store_path", "backend_path"):
            await self._disturb_path(vm, event)
        elif event.kind == "name_limit":
            await self._name_limit(vm, event)
        elif event.kind == "late_grants":
            await self._delay_grants(vm, event)
        elif event.kind == "fail_health":
            await self._fail_health(vm, event)
        elif event.kind in ("faulty_answers", "unnamed_orders", "refuse_once"):
            await self._disturb_answers(vm, event)
        elif event.kind in ("fail_runs", "undefined_status"):
            await self._fail_runs(vm, event)
        elif event.kind == "endless_answers":
            await self._answer_without_end(vm, event)
        elif event.kind == "endless_requests":
            pours = (self._pour_requests(vm, event, n) for n in range(POURING_CLIENTS))
            await asyncio.gather(*pours)
        elif not vm.busy:
            vm.busy = True
            try:
                await self._apply_to_vm(vm, event)
            finally:
                vm.busy = False

    async def _copy_store(self) -> None:
        """Keep copies of the store from which it may come back."""
        while True:
            self._copies.append((time.monotonic(), self._site.store.take_copy()))
            await asyncio.sleep(COPY_INTERVAL_S)

    async def _restore_store(self, event: Event) -> None:
        """Take the store away, and let it come back from an older copy."""
        store, copied_until = self._site.store, time.monotonic() - float(event.mode)
        copies = [copy for at, copy in self._copies if at <= copied_until]
        copy = copies[-1] if copies else self._copies[0][1]
        self._site.record_store_outage("site", event.for_s)
        store.faults.down = True
        store.release_waiting_reads()
        await asyncio.sleep(event.for_s)
        store.restore(copy, keeps_order=self._random.random() < KEPT_ORDER_RATIO)
        store.faults.down = False

    async def _apply_to_site(self, event: Event) -> None:
        site, now = self._site, time.monotonic()
        match event.kind:
            case "store_down":
                site.record_store_outage("site", event.for_s)
                site.store.faults.down = True
                site.store.release_waiting_reads()
                await asyncio.sleep(event.for_s)
                site.store.faults.down = False
            case "restore_store":
                await self._restore_store(event)
            case "lose_append":
                site.record_store_outage("site", event.for_s)
                site.store.faults.lose_appends += 1
            case "configure":
                site.publish()
            case "shed":
                await self._shed_load(event)
            case "evacuate":
                failure_domain = self._random.choice(site.vms).failure_domain
                if failure_domain in self._evacuated_domains:
                    return
                self._evacuated_domains.add(failure_domain)
                set_evacuated(site.store, failure_domain, True)
                await asyncio.sleep(event.for_s + GRACE_S)
                site.observations.evacuated.append(Span(failure_domain, now, time.monotonic()))
                set_evacuated(site.store, failure_domain, False)
                self._evacuated_domains.discard(failure_domain)

    async def _shed_load(self, event: Event) -> None:
        """Have all backend servers of a service refuse a share of their requests for a time."""
        service, ratio = event.mode.split()
        vms = [vm for vm in self._site.vms if vm.service == service]
        for vm in vms:
            vm.backend.refused_ratio = float(ratio)
        await asyncio.sleep(event.for_s)
        for vm in vms:
            vm.backend.refused_ratio = 0.0

    async def _disturb_path(self, vm: SoakVm, event: Event) -> None:
        proxy = vm.backend_proxy
        if event.kind == "store_path":
            proxy = vm.store_proxy
            self._site.record_store_outage(vm.name, event.for_s)
        proxy.set_mode(event.mode)
        await asyncio.sleep(event.for_s)
        proxy.set_mode("")

    async def _apply_to_vm(self, vm: SoakVm, event: Event) -> None:
        match event.kind:
            case "kill":
                self._site.record_daemon_outage(vm, event.for_s)
                await vm.kill_daemon()
                await asyncio.sleep(event.for_s)
                await vm.start_daemon()
            case "terminate":
                await self._terminate(vm)
            case "terminate_under_work" | "signal_series" | "overlap":
                is_series = event.kind == "signal_series"
                beside = self._send_signals if is_series else self._send_slow_requests
                task = asyncio.create_task(beside(vm))
                try:
                    await self._terminate(vm, float(event.mode) if event.mode else None)
                finally:
                    task.cancel()
            case "early_signal":
                name, after_s = event.mode.split()
                await self._terminate(vm)
                await asyncio.sleep(float(after_s))
                if name == "SIGTERM":
                    await self._terminate(vm)
                else:
                    vm.send_signal(signal.SIGHUP)
            case "few_descriptors":
                await self._terminate(vm, max_descriptors=FEW_DESCRIPTORS)
                await self._hold_idle_connections(vm, event.for_s)
            case "freeze":
                self._site.record_daemon_outage(vm, event.for_s)
                vm.send_signal(signal.SIGSTOP)
                await asyncio.sleep(event.for_s)
                vm.send_signal(signal.SIGCONT)
            case "reload":
                vm.send_signal(signal.SIGHUP)
            case "restart_backend":
                await vm.replace_backend()
            case "crash_backend" | "crash_keeping_id":
                keeps_id = event.kind == "crash_keeping_id"
                await vm.crash_backend(event.for_s, float(event.mode), keeps_id)
            case "drain_backend":
                vm.backend.draining = True
                await asyncio.sleep(DRAIN_FOR_S)
                await vm.replace_backend()
            case "leave_and_kill" | "drain_and_kill":
                await self._kill_after_departure(vm, event)
            case "forget_departure":
                await self._forget_departure(vm, event)
            case "say_leaving":
                vm.backend.leaving = True
                await asyncio.sleep(DRAIN_FOR_S)
                await vm.replace_backend()

    async def _kill_after_departure(self, vm: SoakVm, event: Event) -> None:
        """Kill a daemon that has answered to a departure; an earlier announcement arrives late."""
        backend = vm.backend
        backend.stop_announcing()
        late = backend.build_next_announcement()
        if event.kind == "leave_and_kill":
            acked = await backend.send_leave() == ACKNOWLEDGED
        else:
            backend.draining = True
            departure = backend.build_next_announcement()
            acked = await backend.send_announcement(departure) == ACKNOWLEDGED
        if acked and backend.drain_acked_at is None:
            backend.drain_acked_at = time.monotonic()
        await self._restart_killed([vm], event.for_s)
        await self._send_late(vm, late, float(event.mode))

    async def _restart_killed(self, vms: list[SoakVm], for_s: float) -> None:
        """Kill daemons at once, and start them again."""
        for vm in vms:
            self._site.record_daemon_outage(vm, for_s)
        await asyncio.gather(*(vm.kill_daemon() for vm in vms))
        await asyncio.sleep(for_s)
        await asyncio.gather(*(vm.start_daemon() for vm in vms))

    async def _send_late(self, vm: SoakVm, late: dict[str, Any], late_s: float) -> None:
        """Send an announcement from before a departure late, and replace its server later."""
        backend = vm.backend
        give_up_at = time.monotonic() + DRAIN_FOR_S
        await asyncio.sleep(late_s)
        # It arrives once, as soon as the daemon listens.
        while not await backend.send_announcement(late) and time.monotonic() < give_up_at:
            await asyncio.sleep(WAKEUP_INTERVAL_S)
        await asyncio.sleep(DRAIN_FOR_S)
        await vm.replace_backend()

    async def _forget_departure(self, vm: SoakVm, event: Event) -> None:
        """Kill all daemons that may be, after one answered to a departure in an outage."""
        store, backend = self._site.store, vm.backend
        backend.stop_announcing()
        late = backend.build_next_announcement()
        self._site.record_store_outage("site", event.for_s + 2 * STORE_MARGIN_S)
        store.faults.down = True
        store.release_waiting_reads()
        await asyncio.sleep(STORE_MARGIN_S)
        if await backend.send_leave() == ACKNOWLEDGED:
            backend.drain_acked_at = time.monotonic()
        others = [other for other in self._site.vms if not other.busy]
        for other in others:
            other.busy = True
        try:
            await self._restart_killed([vm, *others], event.for_s)
            await asyncio.sleep(STORE_MARGIN_S)
        finally:
            store.faults.down = False
            for other in others:
                other.busy = False
        await self._send_late(vm, late, float(event.mode))

    async def _fail_runs(self, vm: SoakVm, event: Event) -> None:
        """Have the present backend server fail all runs, or answer with no status."""
        backend = vm.backend
        if event.kind == "fail_runs":
            backend.failure_status = int(event.mode)
        else:
            backend.status_line = f"HTTP/1.1 {event.mode} X".encode()
        await asyncio.sleep(event.for_s)
        backend.failure_status, backend.status_line = 0, b""

    async def _name_limit(self, vm: SoakVm, event: Event) -> None:
        """Have the present backend server name a limit for a time, beside all other events."""
        backend = vm.backend
        if backend.limit:
            return
        started_at, backend.limit = time.monotonic(), event.mode
        await asyncio.sleep(event.for_s)
        backend.limit = ""
        self._site.observations.limits.append(
            LimitSpan(vm.name_process(backend), started_at, time.monotonic(), float(event.mode))
        )

    async def _delay_grants(self, vm: SoakVm, event: Event) -> None:
        """Have backend servers leave grants unanswered, also those that are started meanwhile."""
        if vm.backend.late_grants is not None:
            return
        generator = random.Random(f"{self._random.random()} {event.at_s}")
        vm.backend.late_grants = LateGrants(float(event.mode), generator)
        await asyncio.sleep(event.for_s)
        vm.backend.late_grants = None

    async def _fail_health(self, vm: SoakVm, event: Event) -> None:
        """Have the present backend server fail all health checks."""
        backend = vm.backend
        backend.health_fault = event.mode
        await asyncio.sleep(event.for_s)
        backend.health_fault = ""

    async def _disturb_answers(self, vm: SoakVm, event: Event) -> None:
        """Have the present backend server disturb its answers, or refuse what it gets first."""
        backend = vm.backend
        match event.kind:
            case "faulty_answers":
                ratio = 1.0 if event.mode.startswith("repeat_") else CUT_RATIO
                generator = random.Random(f"{self._random.random()} {event.at_s}")
                backend.faulty_answers = FaultyAnswers(event.mode, ratio, generator)
            case "unnamed_orders":
                backend.names_orders = False
            case "refuse_once":
                backend.refuses_once = True
        await asyncio.sleep(event.for_s)
        match event.kind:
            case "faulty_answers":
                backend.faulty_answers = None
            case "unnamed_orders":
                backend.names_orders = True
            case "refuse_once":
                backend.refuses_once = False

    async def _send_slow_requests(self, vm: SoakVm) -> None:
        """Send slow requests to a VM, mostly on connections that are open, until cancelled."""
        while True:
            self._request_number += 1
            attempt = f"w{self._request_number}"
            path, key = self._random.choice((("/assign/", NO_KEY), ("/keep/", 0)))
            if key != NO_KEY:
                key = self._random.randrange(KEY_COUNT)
            self._start_task(self._send_request(vm, path, key, attempt, work_s=SLOW_WORK_S))
            await asyncio.sleep(SLOW_WORK_INTERVAL_S)

    async def _send_signals(self, vm: SoakVm) -> None:
        """Send signals to a daemon in turns, until cancelled."""
        process = vm.process
        while process is not None:
            await asyncio.sleep(SIGNAL_INTERVAL_S)
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)

    async def _answer_without_end(self, vm: SoakVm, event: Event) -> None:
        backend = vm.backend
        form, place = event.mode.split()
        backend.endless_answers = answers = EndlessAnswers(form, place)
        await asyncio.sleep(event.for_s)
        if backend.endless_answers is answers:
            backend.endless_answers = None

    async def _pour_requests(self, vm: SoakVm, event: Event, client: int) -> None:
        """Send requests that do not end, each on a connection of its own."""
        end = time.monotonic() + event.for_s
        form, place = event.mode.split()
        port, line = POURED_REQUESTS[place]
        number = 0
        while time.monotonic() < end:
            number += 1
            attempt = f"p{event.at_s}-{vm.number}-{client}-{number}"
            headers = build_request_headers(attempt, NO_KEY, TIMEOUT_S)
            fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            start = f"{line.format(attempt)} HTTP/1.1\r\n{fields}".encode()
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(event.for_s):
                    _, writer = await asyncio.open_connection(vm.address, port)
                await pour_message(writer.transport, form, start, lambda: time.monotonic() < end)
                writer.transport.abort()
            await asyncio.sleep(WAKEUP_INTERVAL_S)

    async def _hold_idle_connections(self, vm: SoakVm, for_s: float) -> None:
        """Open connections to a daemon that has just started, and hold them for a time."""
        await self._check_listening(vm)
        writers = []
        for _ in range(IDLE_CONNECTIONS):
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(IDLE_CONNECT_TIMEOUT_S):
                    writers.append((await asyncio.open_connection(vm.address, CALLER_PORT))[1])
        await asyncio.sleep(for_s)
        for writer in writers:
            writer.transport.abort()

    async def _terminate(
        self, vm: SoakVm, next_after_s: float | None = None, max_descriptors: int = 0
    ) -> None:
        """Stop the daemon by SIGTERM, or kill it after its grace period, and start it again.

        Its next process starts when it has ended, or ``next_after_s`` seconds after SIGTERM.
        """
        started_at, process = time.monotonic(), vm.process
        assert process is not None
        process.send_signal(signal.SIGTERM)
        if next_after_s is not None:
            await asyncio.sleep(next_after_s)
            await vm.start_daemon(max_descriptors)
        try:
            async with asyncio.timeout_at(started_at + GRACE_S):
                await process.wait()
        except TimeoutError:
            self._site.observations.late_stops.append(Span(vm.name, started_at, time.monotonic()))
            await process.kill()
        # A planned restart is not recorded as an outage: until the daemon listens again,
        # connections are refused, which breaks no rule.
        if next_after_s is None:
            await asyncio.sleep(RESTART_AFTER_S)
            await vm.start_daemon(max_descriptors)
        restart = Span(vm.name, started_at, time.monotonic())
        self._site.observations.daemon_restarts.append(restart)
