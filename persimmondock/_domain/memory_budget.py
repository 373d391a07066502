"""Memory that a daemon may hold of what others send.

Each reader of foreign data has an account of one budget. Data for which an account cannot grow
must be refused: the machine kills a process that holds too much, and all its requests end.
"""

from __future__ import annotations

import attrs

BYTES_PER_MB = 1_000_000
DEFAULT_MEMORY_MB = 256.0
USABLE_SHARE = 0.5  # of the memory of a process; the rest covers fragmentation and bursts
OWN_MEMORY_MB = 50.0  # of a daemon that holds nothing of others
MIN_BUDGET_MB = 16.0
SMALL_BYTES = 64 * 1024  # of a request that may use memory which large ones must leave free
LARGE_SPARED_SHARE = 0.25  # of the memory, which large forwarded requests leave free
SMALL_SPARED_SHARE = 0.0625  # of the memory, for answers, peers and the store: no request takes it
PIECE_BYTES = 96  # of the objects that hold one piece, such as a header or a chunk


def compute_limit(memory_mb: float) -> int:
    """Return the bytes that a process may hold of what others send.

    Parameters
    ----------
    memory_mb
        MB above which the process is killed; 0 if unknown.
    """
    usable_mb = (memory_mb or DEFAULT_MEMORY_MB) * USABLE_SHARE - OWN_MEMORY_MB
    return int(max(usable_mb, MIN_BUDGET_MB) * BYTES_PER_MB)


def compute_spared(limit_bytes: int, size: int) -> int:
    """Return the bytes of a budget that must stay free beside a forwarded request of that size."""
    return int(limit_bytes * (LARGE_SPARED_SHARE if size > SMALL_BYTES else SMALL_SPARED_SHARE))


@attrs.define
class MemoryBudget:
    """Bytes that all accounts of one process may hold together.

    Attributes
    ----------
    held_bytes
        Bytes that the accounts hold.
    refusals
        Number of times that an account could not grow because of this budget.
    """

    limit_bytes: int = attrs.field(factory=lambda: compute_limit(0.0))
    held_bytes: int = 0
    refusals: int = 0

    @property
    def free_bytes(self) -> int:
        """Bytes that accounts may still add."""
        return max(0, self.limit_bytes - self.held_bytes)


@attrs.define(eq=False)
class MemoryAccount:
    """Bytes that one reader holds.

    Parameters
    ----------
    budget
        Budget of the process.

    Attributes
    ----------
    held_bytes
        Bytes that were added and not released.
    """

    budget: MemoryBudget
    held_bytes: int = 0

    def add(self, size: int, spared: int = 0) -> bool:
        """Add bytes and return whether the budget allows them; otherwise nothing is added.

        Parameters
        ----------
        spared
            Bytes of the budget that must stay free for other accounts.
        """
        if size + spared > self.budget.free_bytes:
            self.budget.refusals += 1
            return False
        self.held_bytes += size
        self.budget.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Give back bytes that are no longer referenced."""
        size = min(size, self.held_bytes)
        self.held_bytes -= size
        self.budget.held_bytes -= size

    def clear(self) -> None:
        """Give back all bytes."""
        self.release(self.held_bytes)
