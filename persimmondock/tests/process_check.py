"""Checks that one daemon is one process, without io_uring and shared memory.

A daemon runs with the log stand-in for a few seconds and is then stopped by SIGTERM. What /proc
shows is always checked. If strace is installed, a second daemon runs with its system calls traced;
the output says whether it did. Run with
``python -m persimmondock.tests.process_check [--program dist/persimmondock]``.
"""

from __future__ import annotations

import argparse
import contextlib
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

import yaml

OBSERVATION_S = 3.0
START_WITHIN_S = 20.0
STOP_WITHIN_S = 20.0
TRACED_SYSCALLS = "fork,vfork,clone,clone3,execve,io_uring_setup,shmget,memfd_create,openat,mmap"
FORBIDDEN_SYSCALLS = {
    "starts a process": re.compile(r"\b(?:fork|vfork)\(|\bclone3?\((?!.*CLONE_THREAD)"),
    "uses io_uring": re.compile(r"\bio_uring_setup\("),
    "opens shared memory": re.compile(r"\bshmget\(|\"/dev/shm"),
    "maps anonymous shared memory": re.compile(r"\bmmap\(.*MAP_SHARED\|MAP_ANON"),
    "creates a memory file": re.compile(r"\bmemfd_create\("),
}


def find_trace_faults(trace: str) -> list[str]:
    """Return one line for each forbidden system call in a trace."""
    faults = []
    for line in trace.splitlines():
        for fault, pattern in FORBIDDEN_SYSCALLS.items():
            if pattern.search(line):
                faults.append(f"{fault}: {line[:160]}")
    return faults


def find_proc_faults(pid: int) -> list[str]:
    """Return the child processes, shared memory and io_uring that /proc shows of a process."""
    folder = Path(f"/proc/{pid}")
    faults = []
    children = "".join(path.read_text() for path in folder.glob("task/*/children")).split()
    if children:
        faults.append(f"has child processes {children}")
    maps = (folder / "maps").read_text().splitlines()
    faults += [f"maps {line}" for line in maps if "/dev/shm" in line or "/SYSV" in line]
    for link in (folder / "fd").iterdir():
        with contextlib.suppress(FileNotFoundError):
            if "io_uring" in os.readlink(link):
                faults.append("has an io_uring descriptor")
    return faults


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    status = Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"VmRSS:\s+(\d+) kB", status)
    assert found is not None
    return int(found.group(1)) / 1000


def wait_until_up(url: str) -> float:
    """Wait until a URL answers, and return the seconds that this took.

    Raises
    ------
    SystemExit
        If it does not answer within ``START_WITHIN_S``.
    """
    started = time.monotonic()
    while time.monotonic() < started + START_WITHIN_S:
        with contextlib.suppress(OSError), urllib.request.urlopen(url, timeout=1.0):
            return time.monotonic() - started
        time.sleep(0.02)
    raise SystemExit(f"{url} does not answer within {START_WITHIN_S} s")


def check(program: list[str], network: int, traced: bool, folder: Path) -> list[str]:
    """Run a daemon on 127.0.``network``.1, with strace if ``traced``, and return its faults."""
    host = f"127.0.{network}"
    settings = folder / "vm.yaml"
    settings.write_text(
        yaml.safe_dump(
            {
                "daemon": "vm-1",
                "failure_domain": "recife",
                "address": f"{host}.1",
                "log": f"{host}.250:8000",
                "peer_key": "check",
            }
        )
    )
    trace = folder / "trace"
    tracer = (
        ["strace", "-f", "-qq", "-e", f"trace={TRACED_SYSCALLS}", "-o", str(trace)]
        if traced
        else []
    )
    log = subprocess.Popen([*program, "standin-log", "--address", f"{host}.250:8000"])
    daemon = None
    try:
        wait_until_up(f"http://{host}.250:8000/control")
        daemon = subprocess.Popen([*tracer, *program, "daemon", str(settings)])
        seconds = wait_until_up(f"http://{host}.1:8101/v1/status")
        time.sleep(OBSERVATION_S)
        pid = find_traced_process(daemon.pid) if traced else daemon.pid
        print(f"up after {seconds:.2f} s, resident {read_resident_mb(pid):.1f} MB")
        faults = find_proc_faults(pid)
        os.kill(pid, signal.SIGTERM)
        if daemon.wait(STOP_WITHIN_S) != 0:
            faults.append(f"ended with exit code {daemon.returncode}")
    finally:
        for process in (daemon, log):
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
    return faults + (find_trace_faults(trace.read_text()) if traced else [])


def find_traced_process(tracer: int) -> int:
    """Return the process identifier of the process that a tracer started."""
    (child,) = Path(f"/proc/{tracer}/task/{tracer}/children").read_text().split()
    return int(child)


def main() -> int:
    """Run the check; return 1 if there is a fault."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", default="")
    parser.add_argument("--network", type=int, default=1)
    options = parser.parse_args()
    program = [options.program] if options.program else [sys.executable, "-m", "persimmondock"]
    traced = shutil.which("strace") is not None
    with tempfile.TemporaryDirectory(prefix="persimmondock-check-") as folder:
        faults = check(program, options.network, False, Path(folder))
        if traced:
            faults += check(program, options.network, True, Path(folder))
    print(f"checked with /proc{' and strace' if traced else '; strace is missing'}")
    for fault in faults:
        print(f"fault: {fault}")
    print("one process, no io_uring, no shared memory" if not faults else "not as required")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
