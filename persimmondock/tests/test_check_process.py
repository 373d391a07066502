"""Tests that the process check detects what a daemon must not do."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

from persimmondock.tests.process_check import find_proc_faults, find_trace_faults


@pytest.mark.parametrize(
    ("line", "fault"),
    [
        ("7 clone(child_stack=NULL, flags=CLONE_CHILD_SETTID|SIGCHLD) = 8", "starts a process"),
        ("7 clone3({flags=CLONE_VM|CLONE_VFORK, exit_signal=SIGCHLD}, 88) = 8", "starts a process"),
        ("7 vfork( <unfinished ...>", "starts a process"),
        ("7 io_uring_setup(64, {flags=0}) = -1 ENOSYS", "uses io_uring"),
        ('7 openat(AT_FDCWD, "/dev/shm/sem.x", O_RDWR) = 5', "opens shared memory"),
        ("7 mmap(NULL, 4096, PROT_READ, MAP_SHARED|MAP_ANONYMOUS, -1, 0) = 0x7f", "maps anonymous"),
        ('7 memfd_create("x", 0) = 4', "creates a memory file"),
        ("7 clone3({flags=CLONE_VM|CLONE_THREAD|CLONE_SYSVSEM}, 88) = 8", ""),
        ("7 mmap(NULL, 4096, PROT_READ, MAP_PRIVATE|MAP_ANONYMOUS, -1, 0) = 0x7f", ""),
        ('7 openat(AT_FDCWD, "/etc/hosts", O_RDONLY) = 5', ""),
    ],
)
def test_trace_lines(line, fault):
    """Each forbidden system call is a fault; threads, private mappings and files are not."""
    found = find_trace_faults(line)
    assert [item.startswith(fault) for item in found] == ([True] if fault else [])


def test_children_are_found():
    """A child process is a fault."""
    child = subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE)
    try:
        faults = find_proc_faults(os.getpid())
    finally:
        child.communicate()
    assert any(str(child.pid) in fault for fault in faults)
