"""Memory and descriptors that this process uses, and the limits on them."""

from __future__ import annotations

import os
import resource
from pathlib import Path

import attrs
from loguru import logger

from persimmondock._domain.descriptor_budget import DEFAULT_DESCRIPTORS

PROCESS = Path("/proc/self")
RESIDENT_FIELD = 1  # of statm, in pages


@attrs.frozen
class ProcessUsage:
    """What this process uses; -1 where the kernel does not tell.

    Parameters
    ----------
    resident_bytes
        Resident memory.
    descriptors, max_descriptors
        Open descriptors, and the kernel's soft limit on them.
    """

    resident_bytes: int
    descriptors: int
    max_descriptors: int


def read_resident_bytes() -> int:
    """Return the resident memory in bytes, or -1 if it is not known."""
    try:
        pages = int((PROCESS / "statm").read_text("ascii").split()[RESIDENT_FIELD])
    except (OSError, ValueError, IndexError):
        return -1
    return pages * resource.getpagesize()


def read_usage() -> ProcessUsage:
    """Return what this process uses now."""
    try:
        descriptors = len(os.listdir(PROCESS / "fd"))
    except OSError:
        descriptors = -1
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    unlimited = soft_limit == resource.RLIM_INFINITY
    return ProcessUsage(read_resident_bytes(), descriptors, -1 if unlimited else soft_limit)


def raise_descriptor_limit(settings_limit: int) -> int:
    """Raise the kernel's soft limit on descriptors to what the settings allow.

    Parameters
    ----------
    settings_limit
        Descriptors that the settings allow; 0 if unknown.

    Returns
    -------
    The soft limit that is in force, or -1 if there is none.
    """
    soft_limit, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return -1
    wanted = settings_limit or DEFAULT_DESCRIPTORS
    if hard_limit != resource.RLIM_INFINITY:
        wanted = min(wanted, hard_limit)
    if wanted > soft_limit:
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard_limit))
        except (OSError, ValueError) as error:
            logger.warning("event=descriptors_not_raised wanted={} error={!r}", wanted, error)
        else:
            soft_limit = wanted
    return soft_limit
