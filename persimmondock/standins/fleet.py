"""A fleet of daemons and stand-ins as plain processes on loopback addresses.

Each VM has an address of its own, ``127.0.NETWORK.N``, so all daemons use their standard ports.
Processes are signalled by their process identifiers only.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs
import yaml

from persimmondock.settings import CALLER_PORT, OPERATOR_PORT

if TYPE_CHECKING:
    from collections.abc import Sequence

LOG_PORT = 8000
BACKEND_PORT = 8200
START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1
FROZEN = getattr(sys, "frozen", False)  # set by PyInstaller in the packaged program
PROGRAM = (sys.executable,) if FROZEN else (sys.executable, "-m", "persimmondock")


@attrs.frozen
class VmPlan:
    """One VM of the fleet.

    Parameters
    ----------
    number
        Number of the VM, which is the last octet of its address.
    slots, connections
        Slots and connections of its backend server.
    work_ms
        Duration of a request, in milliseconds.
    checks_tokens
        Whether the backend server checks fencing tokens.
    """

    number: int
    failure_domain: str
    service: str
    slots: int = 12
    connections: int = 130
    work_ms: float = 5.0
    checks_tokens: bool = True


@attrs.frozen
class JournalRun:
    """One run of a request from a backend server's journal; times are in Unix seconds."""

    backend: str
    request_id: str
    path: str
    slice: int
    token: int
    started_at: float
    ended_at: float
    completed: bool


class FleetError(RuntimeError):
    """The fleet could not be started."""


class Fleet:
    """Starts and stops the processes of a small fleet, and injects faults.

    Parameters
    ----------
    network
        Third octet of all addresses.
    lease_term_s
        Length of the leases, in seconds.
    source
        Directory of the package that the processes run; None for the package imported here.
    broken
        Name of the mechanism that is broken in all processes, see `persimmondock.bench.broken`;
        empty for none.
    """

    def __init__(
        self,
        plans: Sequence[VmPlan],
        network: int = 1,
        lease_term_s: float = 1.5,
        source: Path | None = None,
        broken: str = "",
    ) -> None:
        self.plans = {plan.number: plan for plan in plans}
        self._network = network
        self._lease_term_s = lease_term_s
        self._source = source
        self._command = list(PROGRAM)
        if broken:
            self._command = [sys.executable, "-m", "persimmondock.bench.broken", broken]
        self._directory = Path(tempfile.mkdtemp(prefix="persimmondock-"))
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._session: aiohttp.ClientSession | None = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """HTTP session for requests to the processes of the fleet."""
        assert self._session is not None
        return self._session

    @property
    def log_address(self) -> str:
        """``host:port`` of the log stand-in."""
        return f"127.0.{self._network}.250:{LOG_PORT}"

    def find_address(self, number: int) -> str:
        """Return the address of a VM."""
        return f"127.0.{self._network}.{number}"

    def find_caller_address(self, number: int) -> str:
        """Return ``host:port`` for callers of a VM's daemon."""
        return f"{self.find_address(number)}:{CALLER_PORT}"

    def find_operator_address(self, number: int) -> str:
        """Return ``host:port`` for operators of a VM's daemon."""
        return f"{self.find_address(number)}:{OPERATOR_PORT}"

    def find_backend_address(self, number: int) -> str:
        """Return ``host:port`` of a VM's backend server."""
        return f"{self.find_address(number)}:{BACKEND_PORT}"

    # Starting and stopping.

    async def start(self) -> None:
        """Start the log stand-in and all VMs."""
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5.0))
        self._spawn("log", "standin-log", "--address", self.log_address)
        await self._wait_until_up(f"http://{self.log_address}/control")
        for number in self.plans:
            self.start_vm(number)

    def start_vm(self, number: int) -> None:
        """Start a VM's daemon and its backend server."""
        self.start_daemon(number)
        self.start_backend(number)

    def start_daemon(self, number: int) -> None:
        """Start a VM's daemon."""
        plan = self.plans[number]
        settings = {
            "daemon": f"vm-{number}",
            "failure_domain": plan.failure_domain,
            "address": self.find_address(number),
            "log": self.log_address,
            "peer_key": "stand-in",
            "lease_term_s": self._lease_term_s,
        }
        path = self._directory / f"vm-{number}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        self._spawn(f"daemon-{number}", "daemon", str(path))

    def start_backend(self, number: int) -> None:
        """Start a VM's backend server."""
        plan = self.plans[number]
        arguments = [
            *("--name", f"backend-{number}", "--service", plan.service),
            *("--address", self.find_backend_address(number)),
            *("--daemon", self.find_operator_address(number)),
            *("--slots", str(plan.slots), "--connections", str(plan.connections)),
            *("--work-ms", str(plan.work_ms), "--journal", str(self._get_journal_path(number))),
        ]
        if not plan.checks_tokens:
            arguments.append("--unchecked")
        self._spawn(f"backend-{number}", "standin-backend", *arguments)

    async def stop(self) -> None:
        """Kill all processes and remove their files."""
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        if self._session is not None:
            await self._session.close()
        for path in self._directory.iterdir():
            path.unlink()
        self._directory.rmdir()

    def _spawn(self, name: str, *arguments: str) -> None:
        output = (self._directory / f"{name}.log").open("ab")
        with output:
            self._processes[name] = subprocess.Popen(
                [*self._command, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                cwd=self._source,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def list_daemon_pids(self) -> list[int]:
        """Return the process identifiers of all daemons."""
        return [self._processes[f"daemon-{number}"].pid for number in self.plans]

    def write_file(self, name: str, text: str) -> str:
        """Write a file that is removed with the fleet, and return its path."""
        path = self._directory / name
        path.write_text(text, encoding="utf-8")
        return str(path)

    def read_output(self, name: str) -> str:
        """Return what a process printed."""
        return (self._directory / f"{name}.log").read_text(encoding="utf-8", errors="replace")

    # Fault injection.

    def kill_vm(self, number: int) -> None:
        """Kill a VM's daemon and backend server."""
        self.signal_process(f"daemon-{number}", signal.SIGKILL)
        self.signal_process(f"backend-{number}", signal.SIGKILL)

    def signal_process(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this fleet started."""
        self._processes[name].send_signal(number)

    async def wait_for_exit(self, name: str, timeout_s: float) -> int | None:
        """Return the exit code of a process, or None if it does not end in time."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            code = self._processes[name].poll()
            if code is not None:
                return code
            await asyncio.sleep(POLL_INTERVAL_S)
        return None

    async def set_log_faults(self, **faults: Any) -> None:
        """Set fields of ``LogFaults`` in the log stand-in."""
        async with self.session.post(f"http://{self.log_address}/control", json=faults) as answer:
            answer.raise_for_status()

    async def set_backend_faults(self, number: int, **faults: Any) -> None:
        """Set fields of ``BackendFaults`` in a backend server."""
        url = f"http://{self.find_backend_address(number)}/control"
        async with self.session.post(url, json=faults) as answer:
            answer.raise_for_status()

    # Queries.

    async def dump(self, number: int) -> dict[str, Any]:
        """Return a daemon's state dump."""
        url = f"http://{self.find_operator_address(number)}/v1/dump"
        async with self.session.get(url) as answer:
            state: dict[str, Any] = await answer.json()
            return state

    async def wait_until_placed(self, services: Sequence[str], numbers: Sequence[int]) -> None:
        """Wait until the dumps of the given daemons show that the services are placed.

        A service is placed when each of its backend servers has slices and no slice waits for its
        earlier owner to release it.

        Raises
        ------
        FleetError
            If that takes longer than ``START_TIMEOUT_S``.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(aiohttp.ClientError, asyncio.TimeoutError):
                dumps = [await self.dump(number) for number in numbers]
                if all(self._is_placed(state, services, numbers) for state in dumps):
                    return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise FleetError(f"slices not placed within {START_TIMEOUT_S} s")

    def _is_placed(
        self, state: dict[str, Any], services: Sequence[str], numbers: Sequence[int]
    ) -> bool:
        """Return whether a dump shows slices at every backend server, all of them released."""
        if state["unreleased"]:
            return False
        for name in services:
            backends = state["services"].get(name, {"backends": {}})["backends"]
            wanted = {f"backend-{n}" for n in numbers if self.plans[n].service == name}
            if set(backends) != wanted or not all(item["slices"] for item in backends.values()):
                return False
        return True

    async def _wait_until_up(self, url: str) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(aiohttp.ClientError, asyncio.TimeoutError):
                async with self.session.get(url):
                    return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise FleetError(f"{url} does not answer within {START_TIMEOUT_S} s")

    def _get_journal_path(self, number: int) -> Path:
        return self._directory / f"backend-{number}.journal"

    def read_journals(self) -> list[JournalRun]:
        """Return all runs of all backend servers, including those of killed VMs."""
        runs = []
        for number in self.plans:
            path = self._get_journal_path(number)
            if path.exists():
                runs += read_journal(f"backend-{number}", path)
        return runs


def read_journal(backend: str, path: Path) -> list[JournalRun]:
    """Return the runs of a journal file.

    A run without an end event was interrupted when its process was killed; it is taken to end with
    the last event of the process. Journals of earlier versions do not name the process; all their
    events are read as those of one process.
    """
    by_instance: dict[str, list[dict[str, Any]]] = {}
    for line in path.read_text(encoding="utf-8").splitlines():
        event = json.loads(line)
        by_instance.setdefault(event.get("instance", ""), []).append(event)
    return [run for events in by_instance.values() for run in _read_instance(backend, events)]


def _read_instance(backend: str, events: list[dict[str, Any]]) -> list[JournalRun]:
    """Return the runs of one process, which numbers them from 1."""
    open_runs: dict[int, dict[str, Any]] = {}
    runs = []
    for event in events:
        if event["event"] == "start":
            open_runs[event["run"]] = event
        else:
            start_event = open_runs.pop(event["run"])
            runs.append(_build_run(backend, start_event, event["at"], event["completed"]))
    last_at = events[-1]["at"]
    runs += [_build_run(backend, start_event, last_at, False) for start_event in open_runs.values()]
    return runs


def _build_run(
    backend: str, start_event: dict[str, Any], ended_at: float, completed: bool
) -> JournalRun:
    return JournalRun(
        backend=backend,
        request_id=start_event["request_id"],
        path=start_event["path"],
        slice=start_event["slice"],
        token=start_event["token"],
        started_at=start_event["at"],
        ended_at=ended_at,
        completed=completed,
    )
