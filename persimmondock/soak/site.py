"""The site of a soak: daemons as processes, and stand-ins for the store and backend servers."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path
from typing import IO, Any

import attrs
import yaml
from aiohttp import web

from persimmondock.soak.checks import (
    Arrival,
    Fault,
    Observations,
    ObservedCall,
    ObservedRun,
    OwnershipSpan,
    Span,
)
from persimmondock.soak.processes import MEMORY_MB, DaemonProcess
from persimmondock.soak.proxy import Proxy
from persimmondock.standins.connections import close_server
from persimmondock.standins.site_backend import ANNOUNCE_INTERVAL_S, SiteBackend
from persimmondock.standins.site_messages import (
    ANNOUNCE_PORT,
    BACKEND_PORT,
    CALLED_PATH,
    GRANT_MODES,
    KEYED_SERVICE,
    LIMIT_BURST,
    LIMIT_PER_S,
    LIMITED_TENANT,
    SETTINGS_VARIABLE,
    STORE_PORT,
    UNKEYED_SERVICE,
    build_settings,
    publish_configuration,
    read_tenant,
)
from persimmondock.standins.site_store import SiteStore

FAILURE_DOMAINS = ("recife", "salvador", "natal")
REQUEST_DURATION_S = 0.12  # long enough for several concurrent requests on each backend server
HEARTBEAT_INTERVAL_S = 0.87  # of backend servers that take their keys in heartbeats
KEYED_VM_RATIO = 0.6
MAX_DESCRIPTORS = 4_100  # that the settings of a daemon tell
PROXIED_BACKEND_PORT = 8401  # where backend servers listen behind their proxies


@attrs.define
class SoakVm:
    """One VM: a daemon's process, the backend server beside it, and the daemon's proxies.

    Parameters
    ----------
    folder
        Where the daemon's settings file and log are written.
    store_proxy, backend_proxy
        Proxies on the daemon's paths to the store and to the backend server.
    daemon_arguments
        Arguments of the Python interpreter that start the daemon.
    grants
        How the backend server gets its keys, one of `GRANT_MODES`.
    processes
        Processes of the daemon that are not known to have ended; the last is the newest, which
        may have ended.
    busy
        Whether an event is being applied to the daemon or the backend server.
    former_backends
        Earlier instances of the backend server, whose records the checks need.
    """

    number: int
    address: str
    service: str
    failure_domain: str
    folder: Path
    backend: SiteBackend
    store_proxy: Proxy
    backend_proxy: Proxy
    daemon_arguments: tuple[str, ...]
    grants: str
    processes: list[DaemonProcess] = attrs.field(factory=list)
    busy: bool = False
    former_backends: list[SiteBackend] = attrs.field(factory=list)
    _log: IO[bytes] | None = None
    _start_task: asyncio.Task[None] | None = None

    @property
    def name(self) -> str:
        return f"vm-{self.number}"

    @property
    def process(self) -> DaemonProcess | None:
        """The newest process of the daemon."""
        return self.processes[-1] if self.processes else None

    async def start_daemon(self, max_descriptors: int = 0) -> None:
        """Start a process of the daemon; its output is appended to the VM's log file.

        ``max_descriptors`` is the number of descriptors that it may have; 0 leaves the limit.
        """
        # A start that is not waited for any more ends as well, so that its process is known.
        self._start_task = asyncio.create_task(self._start_process(max_descriptors))
        await asyncio.shield(self._start_task)

    async def _start_process(self, max_descriptors: int) -> None:
        if self._log is None:
            self._log = (self.folder / f"{self.name}.log").open("ab")
        settings = self.folder / f"{self.name}.yaml"
        if not settings.exists():
            document = build_settings(
                self.name, self.address, self.failure_domain, self.service, self.grants
            )
            document["self"]["limits"] = {"memory_mb": MEMORY_MB, "max_fds": MAX_DESCRIPTORS}
            settings.write_text(yaml.safe_dump(document), encoding="utf-8")
        environment = {**os.environ, SETTINGS_VARIABLE: str(settings)}
        arguments = (sys.executable, *self.daemon_arguments)
        process = await DaemonProcess.start(arguments, environment, self._log, max_descriptors)
        self.processes.append(process)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the daemon's newest process, if it is running."""
        if self.process is not None:
            self.process.send_signal(number)

    async def kill_daemon(self) -> None:
        """Kill the daemon's newest process and wait until it has exited."""
        if self.process is not None:
            await self.process.kill()

    def find_faults(self) -> list[Fault]:
        """Return faults of the daemon's processes that were not found before."""
        faults = [
            Fault(self.name, time.monotonic(), detail)
            for process in self.processes
            if (detail := process.find_fault())
        ]
        ended = [process for process in self.processes[:-1] if process.returncode is not None]
        self.processes = [process for process in self.processes if process not in ended]
        return faults

    async def replace_backend(self) -> None:
        """Stop the backend server and start a new instance of it."""
        await self.backend.stop()
        await self._start_successor()

    async def crash_backend(self, down_s: float, announce_after_s: float, keeps_id: bool) -> None:
        """Crash the backend server and start a new process at its address.

        Parameters
        ----------
        down_s
            Time until the new process listens, in which connections are refused.
        announce_after_s
            Time from then until it announces itself.
        keeps_id
            Whether it has the identifier of the process that crashed.
        """
        instance = self.backend.instance
        self.backend_proxy.close()
        await self.backend.crash()
        await asyncio.sleep(down_s)
        changes: dict[str, Any] = {"instance": instance} if keeps_id else {}
        await self._start_successor(announce_after_s=announce_after_s, **changes)
        await self.backend_proxy.start()

    async def _start_successor(self, **changes: Any) -> None:
        former = self.backend
        self.former_backends.append(former)
        self.backend = attrs.evolve(
            make_backend(self.service, self.address, self.failure_domain, self.grants),
            late_grants=former.late_grants,
            refused_ratio=former.refused_ratio,
            **changes,
        )
        await self.backend.start()

    def name_process(self, backend: SiteBackend) -> str:
        """Return a name of one process of the backend server, which ends with its identifier."""
        return f"{self.name}/{backend.born_ms}/{backend.instance}"

    async def close(self) -> None:
        """Stop the daemon, the backend server and the proxies."""
        if self._start_task is not None:
            await asyncio.wait([self._start_task])
        for process in self.processes:
            await process.kill()
        await self.backend.stop()
        self.store_proxy.close()
        self.backend_proxy.close()
        if self._log is not None:
            self._log.close()


def make_backend(service: str, address: str, failure_domain: str, grants: str) -> SiteBackend:
    """Return a new instance of a VM's backend server, behind its proxy."""
    return SiteBackend(
        service,
        f"{address}:{BACKEND_PORT}",
        f"{address}:{ANNOUNCE_PORT}",
        failure_domain,
        keyed=service == KEYED_SERVICE,
        grants_in_heartbeats=grants == "heartbeat",
        announce_interval_s=HEARTBEAT_INTERVAL_S if grants == "heartbeat" else ANNOUNCE_INTERVAL_S,
        work_s=REQUEST_DURATION_S,
        listen_on=f"{address}:{PROXIED_BACKEND_PORT}",
        called_path=CALLED_PATH if service == KEYED_SERVICE else "",
    )


class SoakSite:
    """All VMs and the store.

    Parameters
    ----------
    network
        Third octet of all addresses; soaks that run at the same time need different ones.
    folder
        Where the daemons' settings files and logs are written.
    daemon_arguments
        Arguments of the Python interpreter that start a daemon.
    grants
        How backend servers get their keys, one of `GRANT_MODES`.

    Attributes
    ----------
    version
        Version of the newest configuration.
    version_written_at
        Instant of the monotonic clock at which it was written to the store, in seconds.
    """

    def __init__(
        self,
        vms: int,
        network: int,
        folder: Path,
        daemon_arguments: tuple[str, ...],
        grants: str = GRANT_MODES[0],
    ) -> None:
        self.folder = folder
        self._grants = grants
        self.store = SiteStore()
        self.observations = Observations(quotas={LIMITED_TENANT: (LIMIT_PER_S, LIMIT_BURST)})
        self.version = 1
        self.version_written_at = time.monotonic()
        self._address_prefix = f"127.90.{network}"
        self._runner: web.AppRunner | None = None
        keyed = max(2, round(vms * KEYED_VM_RATIO))
        self.vms = [
            self._make_vm(
                number,
                KEYED_SERVICE if number <= keyed else UNKEYED_SERVICE,
                folder,
                daemon_arguments,
            )
            for number in range(1, vms + 1)
        ]

    def _make_vm(
        self, number: int, service: str, folder: Path, daemon_arguments: tuple[str, ...]
    ) -> SoakVm:
        address = f"{self._address_prefix}.{number}"
        failure_domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        return SoakVm(
            number,
            address,
            service,
            failure_domain,
            folder,
            make_backend(service, address, failure_domain, self._grants),
            Proxy(f"{address}:{STORE_PORT}", f"{self._address_prefix}.250:9000"),
            Proxy(f"{address}:{BACKEND_PORT}", f"{address}:{PROXIED_BACKEND_PORT}"),
            daemon_arguments,
            self._grants,
        )

    async def start(self) -> None:
        """Start the store, then all VMs."""
        self._runner = web.AppRunner(
            self.store.build_application(), access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(
            self._runner, f"{self._address_prefix}.250", 9000, reuse_address=True
        ).start()
        self.publish()
        for vm in self.vms:
            await vm.store_proxy.start()
            await vm.backend_proxy.start()
            await vm.backend.start()
            await vm.start_daemon()

    def publish(self) -> None:
        """Write the next version of the configuration to the store, as operators do."""
        self.version += 1
        self.version_written_at = time.monotonic()
        publish_configuration(self.store, self.version)

    def record_daemon_outage(self, vm: SoakVm, for_s: float) -> None:
        """Record that a daemon is down for ``for_s`` seconds from now."""
        now = time.monotonic()
        self.observations.daemon_outages.append(Span(vm.name, now, now + for_s))

    def record_store_outage(self, subject: str, for_s: float) -> None:
        """Record that access to the store is disturbed for ``for_s`` seconds from now.

        The subject is the name of a VM, or ``site`` for all of them.
        """
        now = time.monotonic()
        self.observations.store_outages.append(Span(subject, now, now + for_s))

    def collect_observations(self) -> Observations:
        """Return all observations, including those that the backend servers recorded."""
        now = time.monotonic()
        for vm in self.vms:
            for backend in (*vm.former_backends, vm.backend):
                end = backend.ended_at or now
                self.observations.endless_attempts |= backend.endless_attempts
                name = vm.name_process(backend)
                self.observations.arrivals += [
                    Arrival(vm.service, arrival.attempt, arrival.at) for arrival in backend.arrivals
                ]
                self.observations.backend_calls += [
                    ObservedCall(UNKEYED_SERVICE, c.attempt, c.parent, c.parent_at, c.at)
                    for c in backend.calls
                ]
                self.observations.runs += [
                    ObservedRun(
                        run.attempt,
                        name,
                        vm.number,
                        vm.failure_domain,
                        vm.service,
                        run.at,
                        *read_tenant(run.headers),
                    )
                    for run in backend.runs
                ]
                self.observations.ownership_spans += [
                    OwnershipSpan(
                        name, hold.first, hold.last, hold.fence, hold.start, min(hold.end, end)
                    )
                    for hold in backend.held_ranges
                    if hold.start < min(hold.end, end)
                ]
                if backend.drain_acked_at is not None:
                    self.observations.drained.append(Span(name, backend.drain_acked_at, end))
        return self.observations

    async def close(self) -> None:
        """Stop all VMs and the store."""
        for vm in self.vms:
            await vm.close()
        if self._runner is not None:
            await close_server(self._runner)
