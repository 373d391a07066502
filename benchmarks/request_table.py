"""Time and memory of the request table."""

from __future__ import annotations

import time
import tracemalloc

from persimmondock._domain.request_table import RequestKey, RequestTable
from persimmondock._domain.verdict import Answer, Answered, Header

ENTRIES = 30_000
BODY_BYTES = 200
SLICES = 256
RETENTION_MS = 300_000


def fill_table(count: int) -> RequestTable:
    """Return a table of ended entries with distinct answers."""
    table = RequestTable()
    for number in range(count):
        key = RequestKey("painel", number % SLICES, f"o{number}-{number:032x}")
        table.admit(key, number, -1, -1, RETENTION_MS + number, 0)
        body = bytes(BODY_BYTES - 8) + number.to_bytes(8, "big")
        headers = (Header("Content-Type", "application/json"),)
        table.end(key, Answered(Answer(200, headers, body)))
    return table


class RequestTableSuite:
    """Time and memory of entries."""

    def time_admit_and_end(self) -> None:
        """Admit and end ``ENTRIES`` requests."""
        fill_table(ENTRIES)

    def track_bytes_per_entry(self) -> float:
        """Return the memory of an entry with a small answer, in bytes."""
        tracemalloc.start()
        table = fill_table(ENTRIES)
        used = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        return used / len(table)


if __name__ == "__main__":
    suite = RequestTableSuite()
    started_at = time.perf_counter()
    suite.time_admit_and_end()
    print(f"us_per_request={(time.perf_counter() - started_at) / ENTRIES * 1e6:.1f}")
    print(f"bytes_per_entry={suite.track_bytes_per_entry():.0f} body={BODY_BYTES}")
