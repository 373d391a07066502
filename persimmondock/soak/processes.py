"""Processes of daemons, which are started without holding the event loop, and watched."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import os
import resource
import signal
import subprocess
import time
from pathlib import Path
from typing import IO, TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

MEMORY_MB = 300.0
BYTES_PER_MB = 1e6
EXIT_POLL_S = 0.01
START_POLL_S = 0.002
MAX_INTERPRETER_S = 5.0  # on a busy host
EMPTY_PROGRAM = ("-m", "keyword")
INTERPRETER_MARGIN = 1.5

# After vfork the starting thread, which holds the interpreter's lock, waits until the new process
# runs its program. A thread that forks waits for that without the lock.
subprocess._USE_VFORK = False  # type: ignore[misc]


@attrs.define(eq=False)
class DaemonProcess:
    """One process of a daemon.

    Parameters
    ----------
    started_at
        Instant of the monotonic clock, in seconds.
    peak_mb
        Most resident memory that was seen.
    terminated, killed
        Whether the plan sent SIGTERM, or ended the process.
    """

    _popen: subprocess.Popen[bytes]
    started_at: float
    peak_mb: float = 0.0
    terminated: bool = False
    killed: bool = False
    _fault_found: bool = False

    @classmethod
    async def start(
        cls,
        arguments: Sequence[str],
        environment: Mapping[str, str],
        log: IO[bytes],
        max_descriptors: int = 0,
    ) -> DaemonProcess:
        """Start a process whose output is appended to a log, and wait until its program runs.

        A signal that arrives while the interpreter itself starts ends any process.
        ``max_descriptors`` is the number of descriptors that it may have; 0 leaves the limit.
        """

        def spawn() -> subprocess.Popen[bytes]:
            return subprocess.Popen(arguments, stdout=log, stderr=log, env=environment)

        interpreter_s = await asyncio.to_thread(measure_interpreter, arguments[0])
        popen = await asyncio.to_thread(spawn)
        if max_descriptors:
            bounds = (max_descriptors, max_descriptors)
            resource.prlimit(popen.pid, resource.RLIMIT_NOFILE, bounds)
        process = cls(popen, time.monotonic())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_INTERPRETER_S):
                while process.returncode is None and read_processor_s(popen.pid) < interpreter_s:
                    await asyncio.sleep(START_POLL_S)
        return process

    @property
    def returncode(self) -> int | None:
        """Exit code, negative for a signal; None while it runs."""
        return self._popen.poll()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if it is running."""
        self.terminated = self.terminated or number is signal.SIGTERM
        self._popen.send_signal(number)

    async def wait(self) -> int:
        """Wait until it has ended, and return its exit code."""
        while (code := self.returncode) is None:
            await asyncio.sleep(EXIT_POLL_S)
        return code

    async def kill(self) -> None:
        """Kill it by plan, and wait until it has ended."""
        if self.returncode is None:
            self.killed = True
            self._popen.kill()
            await self.wait()

    def find_fault(self) -> str:
        """Return what is wrong with it, once; empty if nothing is.

        It may end with 0 after SIGTERM, or when the plan kills it. As the platform does, one that
        takes more than ``MEMORY_MB`` is killed.
        """
        code = self.returncode
        if self._fault_found or self.killed or (code == 0 and self.terminated):
            return ""
        if code is None:
            self.peak_mb = max(self.peak_mb, self._read_memory_mb())
            if self.peak_mb <= MEMORY_MB:
                return ""
            self._popen.kill()
        self._fault_found = True
        age_s = time.monotonic() - self.started_at
        if code is None:
            return f"killed at {self.peak_mb:.0f} MB, {age_s:.2f} s after its start"
        after = ", after SIGTERM" if self.terminated else ""
        return f"ended with {code} {age_s:.2f} s after its start{after}"

    def _read_memory_mb(self) -> float:
        try:
            pages = int(Path(f"/proc/{self._popen.pid}/statm").read_text("ascii").split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB


def read_processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    return int(Path(f"/proc/{pid}/schedstat").read_text("ascii").split()[0]) / 1e9


@functools.cache
def measure_interpreter(name: str) -> float:
    """Return a little more than the processor seconds in which an interpreter starts."""
    with subprocess.Popen((name, *EMPTY_PROGRAM)) as popen:
        os.waitid(os.P_PID, popen.pid, os.WEXITED | os.WNOWAIT)
        return INTERPRETER_MARGIN * read_processor_s(popen.pid)
