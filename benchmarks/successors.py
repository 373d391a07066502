"""Backend servers that crash and start again at once, in virtual time.

``python -m benchmarks.successors`` prints how long the keys of a crashed backend server are held by
nobody, and how often its daemon connects to it for grants meanwhile. Daemons, planner and clients
are the production code; the store and the backend servers are imitated.
"""

from __future__ import annotations

import asyncio
import itertools

import attrs
import numpy as np
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock.tests.virtual_fleet import VirtualFleet
from persimmondock.tests.virtual_network import find_reused_tokens, find_shared_holds
from persimmondock.tests.virtual_time import run_in_virtual_time

CRASHES = 40
DOWN_S = 0.4
ANNOUNCED_AFTER_S = (0.005, 0.5)
STEADY_S = 2.0
TIMEOUT_S = 20.0
POLL_S = 0.005


@attrs.define
class Result:
    """What one crash showed.

    Parameters
    ----------
    unheld_s
        Time from the crash until all keys were held again.
    connections
        Connections that the daemon opened, or tried to, for grants in that time.
    faults
        Holds of one key by two processes, and tokens that were used again.
    """

    unheld_s: float
    connections: int
    faults: int


async def _run(number: int, announced_after_s: float, keeps_name: bool) -> Result:
    fleet = VirtualFleet(3, seed=number)
    await fleet.start()
    await asyncio.sleep(STEADY_S + number / CRASHES)
    vm = fleet.vms[1]
    assert vm.daemon is not None
    pool = vm.daemon._client._grant_client.pool
    opened, started = pool.connections_opened, read_clock()
    await fleet.crash_server(vm, DOWN_S, announced_after_s, keeps_name)
    async with asyncio.timeout(TIMEOUT_S):
        while fleet.list_free():
            await asyncio.sleep(POLL_S)
    result = Result(read_clock() - started, pool.connections_opened - opened, 0)
    await asyncio.sleep(STEADY_S)
    result.faults = len(find_shared_holds(fleet.processes) + find_reused_tokens(fleet.processes))
    fleet.close()
    return result


def main() -> None:
    """Print one row for each time until the announcement, with a new name and the former one."""
    logger.remove()
    print(
        "| Announced after s | Name | Unheld s, mean | max | in sound runs "
        "| Connections, mean | max | Faulty runs |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for announced_after_s, keeps_name in itertools.product(ANNOUNCED_AFTER_S, (False, True)):
        results = [
            run_in_virtual_time(_run(number, announced_after_s, keeps_name))
            for number in range(CRASHES)
        ]
        unheld = np.array([result.unheld_s for result in results])
        sound = np.mean([result.unheld_s for result in results if not result.faults])
        connections = np.array([result.connections for result in results])
        faulty = sum(result.faults > 0 for result in results)
        print(
            f"| {announced_after_s} | {'kept' if keeps_name else 'new'} | {unheld.mean():.2f} | "
            f"{unheld.max():.2f} | {sound:.2f} | {connections.mean():.1f} | "
            f"{connections.max()} | {faulty} of {CRASHES} |"
        )


if __name__ == "__main__":
    main()
