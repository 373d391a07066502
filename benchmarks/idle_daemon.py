"""Resources that a daemon uses while there are no requests.

``python -m benchmarks.idle_daemon [DAEMONS ...]`` starts fleets of daemons without load and prints
the mean of a daemon: processor time in percent of a core, resident memory, and bytes per second
sent on the loopback interface, which stand for the traffic between daemons. The kernel counts
these bytes for the whole machine, so nothing else may use the interface meanwhile.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

import attrs

from persimmondock._adapters.log_client import HttpLog
from persimmondock._tasks.publisher import publish
from persimmondock.configuration import Configuration
from persimmondock.standins.fleet import Fleet, VmPlan

DAEMONS = (3, 9, 27)
DOMAINS = ("recife", "fortaleza", "salvador")
NETWORK = 61
SETTLE_S = 8.0
MEASURE_S = 15.0
PUBLISH_TIMEOUT_S = 10.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@attrs.frozen
class Usage:
    """Resources that all daemons together have used so far."""

    processor_s: float
    resident_bytes: int
    loopback_bytes: int


def read_usage(pids: list[int]) -> Usage:
    """Add up processor time and memory of processes, and read the loopback counter."""
    processor_ticks = resident_pages = 0
    for pid in pids:
        # After the command name, fields 11 and 12 are utime and stime, field 21 is rss.
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        processor_ticks += int(fields[11]) + int(fields[12])
        resident_pages += int(fields[21])
    line = next(x for x in Path("/proc/net/dev").read_text().splitlines() if "lo:" in x)
    # After the interface name, field 8 is the number of bytes sent.
    return Usage(
        processor_ticks / TICKS_PER_S,
        resident_pages * PAGE_BYTES,
        int(line.split(":")[1].split()[8]),
    )


async def measure_fleet(daemons: int) -> str:
    """Measure a fleet and return its row of the table."""
    plans = [VmPlan(n, DOMAINS[n % 3], "painel") for n in range(1, daemons + 1)]
    fleet = Fleet(plans, network=NETWORK)
    try:
        await fleet.start()
        configuration = Configuration()
        configuration.add_service("painel", path="/painel", keyed=True, slices=256)
        log = HttpLog(fleet.log_address, fleet.session)
        await publish(log, configuration, "benchmark", PUBLISH_TIMEOUT_S)
        await fleet.wait_until_placed(["painel"], list(fleet.plans))
        await asyncio.sleep(SETTLE_S)
        pids = fleet.list_daemon_pids()
        before = read_usage(pids)
        await asyncio.sleep(MEASURE_S)
        after = read_usage(pids)
    finally:
        await fleet.stop()
    processor = (after.processor_s - before.processor_s) / MEASURE_S / daemons * 100
    resident = after.resident_bytes / daemons / 1e6
    sent = (after.loopback_bytes - before.loopback_bytes) / MEASURE_S / daemons
    return f"{daemons:8} {processor:16.2f} {resident:14.1f} {sent:20.0f}"


def main() -> None:
    """Print the table."""
    print(f"load {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")
    print(f"{'daemons':8} {'% of a core each':>16} {'resident MB':>14} {'loopback B/s each':>20}")
    for daemons in [int(text) for text in sys.argv[1:]] or DAEMONS:
        print(asyncio.run(measure_fleet(daemons)))


if __name__ == "__main__":
    main()
