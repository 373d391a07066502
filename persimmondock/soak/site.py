"""The site of a soak: daemons as processes, and stand-ins of all that is around them."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path
from typing import IO

import attrs
import yaml
from aiohttp import web

from persimmondock.soak.checks import Observations, SeenHold, SeenRun, Span
from persimmondock.soak.proxy import Proxy
from persimmondock.standins.site_backend import SiteBackend
from persimmondock.standins.site_messages import (
    ANNOUNCE_PORT,
    BACKEND_PORT,
    KEYED_SERVICE,
    SETTINGS_VARIABLE,
    STORE_PORT,
    UNKEYED_SERVICE,
    build_settings,
    publish_configuration,
)
from persimmondock.standins.site_store import SiteStore

FAILURE_DOMAINS = ("recife", "salvador", "natal")
WORK_S = 0.12  # several requests run on each backend server at every moment
KEYED_SHARE = 0.6
BEHIND_PORT = 8401  # where backend servers listen behind their proxies


@attrs.define
class SoakVm:
    """One VM: a daemon's process, the backend server beside it, and the proxies around."""

    number: int
    address: str
    service: str
    failure_domain: str
    folder: Path
    backend: SiteBackend
    store_path: Proxy
    backend_path: Proxy
    program: tuple[str, ...]
    process: asyncio.subprocess.Process | None = None
    busy: bool = False
    past: list[SiteBackend] = attrs.field(factory=list)
    _log: IO[bytes] | None = None

    @property
    def name(self) -> str:
        return f"vm-{self.number}"

    async def start_daemon(self) -> None:
        """Start the daemon's process; its lines go to a file of the VM."""
        if self._log is None:
            self._log = (self.folder / f"{self.name}.log").open("ab")
        settings = self.folder / f"{self.name}.yaml"
        if not settings.exists():
            words = build_settings(self.name, self.address, self.failure_domain, self.service)
            settings.write_text(yaml.safe_dump(words), encoding="utf-8")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self.program,
            stdout=self._log,
            stderr=self._log,
            env={**os.environ, SETTINGS_VARIABLE: str(settings)},
        )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the daemon's process, if it is there."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end_daemon(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def renew_backend(self) -> None:
        """End the backend server's life and begin another one."""
        old = self.backend
        self.past.append(old)
        await old.stop()
        self.backend = make_backend(self.service, self.address, self.failure_domain)
        await self.backend.start()

    async def close(self) -> None:
        """End everything."""
        await self.end_daemon()
        await self.backend.stop()
        self.store_path.close()
        self.backend_path.close()
        if self._log is not None:
            self._log.close()


def make_backend(service: str, address: str, failure_domain: str) -> SiteBackend:
    """Return a new life of a VM's backend server, behind its proxy."""
    return SiteBackend(
        service,
        f"{address}:{BACKEND_PORT}",
        f"{address}:{ANNOUNCE_PORT}",
        failure_domain,
        keyed=service == KEYED_SERVICE,
        work_s=WORK_S,
        listen_on=f"{address}:{BEHIND_PORT}",
    )


class SoakSite:
    """All VMs and the store.

    Parameters
    ----------
    network
        Third part of all addresses; soaks that run at the same time need different ones.
    program
        Arguments of the interpreter that start a daemon.
    """

    def __init__(self, vms: int, network: int, folder: Path, program: tuple[str, ...]) -> None:
        self.store = SiteStore()
        self.seen = Observations()
        self.version = 1
        self.version_at = time.monotonic()
        self._prefix = f"127.90.{network}"
        self._runner: web.AppRunner | None = None
        keyed = max(2, round(vms * KEYED_SHARE))
        self.vms = [
            self._make_vm(
                number, KEYED_SERVICE if number <= keyed else UNKEYED_SERVICE, folder, program
            )
            for number in range(1, vms + 1)
        ]

    def _make_vm(self, number: int, service: str, folder: Path, program: tuple[str, ...]) -> SoakVm:
        address = f"{self._prefix}.{number}"
        failure_domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        return SoakVm(
            number,
            address,
            service,
            failure_domain,
            folder,
            make_backend(service, address, failure_domain),
            Proxy(f"{address}:{STORE_PORT}", f"{self._prefix}.250:9000"),
            Proxy(f"{address}:{BACKEND_PORT}", f"{address}:{BEHIND_PORT}"),
            program,
        )

    async def start(self) -> None:
        """Start the store, then all VMs."""
        self._runner = web.AppRunner(
            self.store.build_application(), access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, f"{self._prefix}.250", 9000, reuse_address=True).start()
        self.publish()
        for vm in self.vms:
            await vm.store_path.start()
            await vm.backend_path.start()
            await vm.backend.start()
            await vm.start_daemon()

    def publish(self) -> None:
        """Write the next configuration, as operators do."""
        self.version += 1
        self.version_at = time.monotonic()
        publish_configuration(self.store, self.version)

    def note_hurt(self, vm: SoakVm, for_s: float) -> None:
        """Note that a daemon's process does not run from now on."""
        now = time.monotonic()
        self.seen.hurt.append(Span(vm.name, now, now + for_s))

    def note_cut(self, subject: str, for_s: float) -> None:
        """Note that a VM, or the whole site, has no sound way to the store from now on."""
        now = time.monotonic()
        self.seen.cut.append(Span(subject, now, now + for_s))

    def collect(self) -> Observations:
        """Return what was seen, with what the backend servers kept."""
        now = time.monotonic()
        for vm in self.vms:
            for life in (*vm.past, vm.backend):
                end = life.ended_at or now
                name = f"{vm.name}/{life.instance}"
                self.seen.runs += [
                    SeenRun(run.attempt, name, vm.number, vm.failure_domain, vm.service, run.at)
                    for run in life.runs
                ]
                self.seen.holds += [
                    SeenHold(name, hold.first, hold.last, hold.start, min(hold.end, end))
                    for hold in life.held_ranges
                    if hold.start < min(hold.end, end)
                ]
                if life.drain_acked_at is not None:
                    self.seen.drained.append(Span(name, life.drain_acked_at, end))
        return self.seen

    async def close(self) -> None:
        """End everything that was started."""
        for vm in self.vms:
            await vm.close()
        if self._runner is not None:
            await self._runner.cleanup()
