"""Plays a plan against a site while callers go on."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from typing import TYPE_CHECKING, Any

import aiohttp

from persimmondock.soak.checks import Breach, Call, Span, judge
from persimmondock.soak.site import SoakSite
from persimmondock.standins.site_messages import (
    CALLER_PORT,
    GRACE_S,
    NO_KEY,
    build_request_headers,
    set_evacuated,
)

if TYPE_CHECKING:
    from collections.abc import Coroutine, Sequence

    from persimmondock.soak.plan import Event
    from persimmondock.soak.site import SoakVm

CALLS_PER_S = 70.0
TIMEOUT_S = 1.5
GUARD_S = 6.0  # a caller waits so long for an answer that is late
START_WITHIN_S = 20.0
RECOVER_WITHIN_S = 15.0
RESTART_AFTER_S = 0.5
DRAIN_FOR_S = 4.0
WATCH_EVERY_S = 0.05
KEYS = 65_536
SWEEP_STEP = 4_096


class SoakRunner:
    """One soak."""

    def __init__(self, site: SoakSite, plan: Sequence[Event], seed: int, duration_s: float) -> None:
        self._site = site
        self._plan = plan
        self._random = random.Random(seed + 1)
        self._duration_s = duration_s
        self._session: aiohttp.ClientSession | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._number = 0
        self._out: set[str] = set()
        self.begun = 0.0
        self.host_late_s = 0.0

    async def _watch_host(self) -> None:
        """Note by how much the host is late: bounds mean little where that is much."""
        while True:
            due = time.monotonic() + WATCH_EVERY_S
            await asyncio.sleep(WATCH_EVERY_S)
            self.host_late_s = max(self.host_late_s, time.monotonic() - due)

    @property
    def counts(self) -> str:
        """What callers got, in words."""
        calls = self._site.seen.calls
        served = sum(call.status == 200 for call in calls)
        return f"{len(calls)} requests, {served} served, {len(self._site.seen.runs)} runs"

    async def run(self) -> list[Breach]:
        """Return the broken promises."""
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S + GUARD_S)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
            self._session = session
            try:
                await self._site.start()
                await self._wait_until_served("start", START_WITHIN_S)
                self._site.seen.calls.clear()
                begun = self.begun = time.monotonic()
                watching = asyncio.create_task(self._watch_host())
                playing = asyncio.create_task(self._play(begun))
                await self._offer(begun)
                await playing
                watching.cancel()
                await asyncio.gather(*self._tasks)
                await self._wait_until_served("end", RECOVER_WITHIN_S)
            finally:
                for task in self._tasks:
                    task.cancel()
                await self._site.close()
        return judge(self._site.collect())

    # Callers.

    async def _offer(self, begun: float) -> None:
        """Send requests at random instants, whatever becomes of the earlier ones."""
        while time.monotonic() < begun + self._duration_s:
            vm = self._random.choice(self._site.vms)
            self._number += 1
            path = self._random.choices(
                ("/view/", "/assign/", "/keep/", f"/version{self._site.version}/"), (6, 3, 2, 1)
            )[0]
            keyed = path in ("/view/", "/keep/")
            key = self._random.randrange(KEYS) if keyed else NO_KEY
            self._start(self._call(vm, path, key, f"s{self._number}"))
            await asyncio.sleep(self._random.expovariate(CALLS_PER_S))

    async def _call(self, vm: SoakVm, path: str, key: int, attempt: str) -> int:
        """Send one request and note what came of it."""
        assert self._session is not None
        headers = build_request_headers(attempt, key, TIMEOUT_S)
        safe = path not in ("/assign/", "/keep/")
        status, whole, error = 0, False, ""
        version_at, sent_at = self._site.version_at, time.monotonic()
        try:
            # aiohttp would send a GET once more by itself after a lost connection.
            url = f"http://{vm.address}:{CALLER_PORT}{path}1"
            async with self._session.post(url, headers=headers) as response:
                whole = await response.read() == b"answer to " + attempt.encode()
                status = response.status
        except aiohttp.ClientConnectorError:
            error = "refused"
        except (aiohttp.ClientError, TimeoutError) as raised:
            error = "cut" if isinstance(raised, aiohttp.ClientError) else "silent"
        now = time.monotonic()
        seen = self._site.seen
        seen.calls.append(
            Call(attempt, vm.number, safe, sent_at, now, status, whole, TIMEOUT_S, error)
        )
        # A newer configuration may have dropped the route meanwhile.
        newest = path == f"/version{self._site.version}/"
        if newest and status == 404:
            seen.unknown.append(Span(vm.name, version_at, sent_at))
        return status

    async def _wait_until_served(self, when: str, within_s: float) -> None:
        """Ask for keys all over until all are served, or note those that are not."""
        begun = time.monotonic()
        open_keys = [*range(0, KEYS, SWEEP_STEP), NO_KEY]
        while open_keys and time.monotonic() < begun + within_s:
            left = []
            for key in open_keys:
                self._number += 1
                path = "/view/" if key != NO_KEY else "/assign/"
                vm = self._random.choice(self._site.vms)
                if await self._call(vm, path, key, f"{when}{self._number}") != 200:
                    left.append(key)
            open_keys = left
            await asyncio.sleep(0.1)
        if open_keys:
            keys = ",".join(map(str, open_keys))
            self._site.seen.unserved.append(Span(f"keys {keys}", begun, time.monotonic()))

    # Events.

    def _start(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _play(self, begun: float) -> None:
        for event in self._plan:
            await asyncio.sleep(max(0.0, begun + event.at_s - time.monotonic()))
            self._start(self._apply(event))

    async def _apply(self, event: Event) -> None:
        vm = self._site.vms[event.vm - 1] if event.vm else None
        if vm is None:
            await self._apply_to_site(event)
        elif event.kind in ("store_path", "backend_path"):
            await self._disturb(vm, event)
        elif not vm.busy:
            vm.busy = True
            try:
                await self._apply_to_vm(vm, event)
            finally:
                vm.busy = False

    async def _apply_to_site(self, event: Event) -> None:
        site, now = self._site, time.monotonic()
        match event.kind:
            case "store_down":
                site.note_cut("site", event.for_s)
                site.store.faults.down = True
                site.store.release_waiting_reads()
                await asyncio.sleep(event.for_s)
                site.store.faults.down = False
            case "lose_append":
                site.note_cut("site", event.for_s)
                site.store.faults.lose_appends += 1
            case "configure":
                site.publish()
            case "evacuate":
                failure_domain = self._random.choice(site.vms).failure_domain
                if failure_domain in self._out:
                    return
                self._out.add(failure_domain)
                set_evacuated(site.store, failure_domain, True)
                await asyncio.sleep(event.for_s + GRACE_S)
                site.seen.evacuated.append(Span(failure_domain, now, time.monotonic()))
                set_evacuated(site.store, failure_domain, False)
                self._out.discard(failure_domain)

    async def _disturb(self, vm: SoakVm, event: Event) -> None:
        proxy = vm.backend_path
        if event.kind == "store_path":
            proxy = vm.store_path
            self._site.note_cut(vm.name, event.for_s)
        proxy.set_mode(event.mode)
        await asyncio.sleep(event.for_s)
        proxy.set_mode("")

    async def _apply_to_vm(self, vm: SoakVm, event: Event) -> None:
        match event.kind:
            case "kill":
                self._site.note_hurt(vm, event.for_s)
                await vm.end_daemon()
                await asyncio.sleep(event.for_s)
                await vm.start_daemon()
            case "terminate":
                await self._terminate(vm)
            case "freeze":
                self._site.note_hurt(vm, event.for_s)
                vm.send(signal.SIGSTOP)
                await asyncio.sleep(event.for_s)
                vm.send(signal.SIGCONT)
            case "reload":
                vm.send(signal.SIGHUP)
            case "restart_backend":
                await vm.renew_backend()
            case "drain_backend":
                vm.backend.draining = True
                await asyncio.sleep(DRAIN_FOR_S)
                await vm.renew_backend()

    async def _terminate(self, vm: SoakVm) -> None:
        """Ask the daemon to stop; what is still there after its grace time is killed."""
        begun = time.monotonic()
        vm.send(signal.SIGTERM)
        assert vm.process is not None
        try:
            async with asyncio.timeout(GRACE_S):
                await vm.process.wait()
        except TimeoutError:
            self._site.seen.stopped_late.append(Span(vm.name, begun, time.monotonic()))
            await vm.end_daemon()
        await asyncio.sleep(RESTART_AFTER_S)
        # A stop that is followed by a start is planned; what meets the start is refused.
        await vm.start_daemon()
