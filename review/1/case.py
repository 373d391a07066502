"""OWNER: a daemon is restarted while the store comes back from a copy some seconds old."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from backend import Backend
from deployment import build_config, run_case
from owner import OwnerCheck
from store import Store
from wire import call_once

SERVICES = [
    {
        "name": "preview",
        "sharded": True,
        "warmup_s": 0,
        "cold_per_s": 0,
        "max_connections": 130,
        "health_path": "/health",
    },
    {
        "name": "dispatch",
        "warmup_s": 0,
        "cold_per_s": 0,
        "max_connections": 130,
        "health_path": "/health",
    },
]
ROUTES = [("/view/", "safe", "preview", 1.2, 2), ("/book/", "unsafe", "dispatch", 1.5, 1)]
ROUNDS = 3
AWAY_S = 0.5


async def play(site):
    store = Store(site.note)
    check = OwnerCheck(site.note)
    store.operator_write("config", build_config(7, SERVICES, ROUTES))
    await store.server.start(f"{site.prefix}.250", 8309)
    site.add("preview", 4)
    site.add("dispatch", 2)
    for machine in site.machines:
        backend = Backend(
            site.note,
            f"backend-{machine.number}",
            machine.service,
            machine.ip,
            machine.zone,
            sharded=machine.service == "preview",
        )
        check.add(backend)
        await backend.start()
        await machine.start()
    tasks = [asyncio.ensure_future(store.run_copies())]
    statuses = {}

    async def send(machine, key):
        attempt = site.next_attempt()
        status, _, _ = await call_once(
            machine.outbound,
            "GET",
            f"/view/{key}",
            site.build_headers(attempt, 1.2, key),
            timeout_s=2.0,
        )
        statuses[status] = statuses.get(status, 0) + 1
        return status

    async def all_served():
        keys = range(0, 65536, 4096)
        results = await asyncio.gather(*(send(site.machines[k // 4096 % 6], k) for k in keys))
        return all(status == 200 for status in results)

    async def load():
        while True:
            live = [m for m in site.machines if m.process.returncode is None]
            tasks.append(asyncio.ensure_future(send(random.choice(live), random.randrange(65536))))
            await asyncio.sleep(0.012)

    try:
        await site.wait_ready(all_served)
        loader = asyncio.ensure_future(load())
        tasks.append(loader)
        await asyncio.sleep(4)
        statuses.clear()
        for number in range(ROUNDS):
            machine = site.machines[number]
            stopped_at = time.monotonic()
            site.note(f"{machine.node}: SIGTERM (planned restart)")
            machine.send_signal(signal.SIGTERM)
            await asyncio.wait_for(machine.process.wait(), 8)
            if site.trouble and number == 0:
                await store.drill(stopped_at - 0.2, AWAY_S)
            else:
                await asyncio.sleep(AWAY_S)
            site.note(f"{machine.node}: started again")
            await machine.start()
            await asyncio.sleep(4)
        await asyncio.sleep(1)
        shared = check.find_shared_holds()
        site.note(f"answers by status: {statuses}")
        site.note(
            f"grants with a token that is not above all others': {len(check.low_tokens)}; "
            f"ranges held by two backends for over 0.5 s, or with requests begun at both: {len(shared)}"
        )
        return bool(check.low_tokens or shared)
    finally:
        for task in tasks:
            task.cancel()
        for backend in check.backends:
            backend.crash()
        store.server.end(by_reset=True)


if __name__ == "__main__":
    run_case(play, HERE)
