"""DRAIN: a backend leaves, its daemon is killed, and a report from before arrives late."""

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from backend import Backend
from deployment import BOUNDS, build_config, run_case
from store import Store
from wire import call_once

SERVICES = [
    {"name": name, "warmup_s": 0, "cold_per_s": 0, "max_connections": 130, "health_path": "/health"}
    for name in ("dispatch", "filings")
]
ROUTES = [("/book/", "safe", "dispatch", 1.5, 2), ("/file/", "safe", "filings", 1.0, 2)]
KILLED_AFTER_S, DOWN_S = 0.3, 0.5
LATE_S = 3.0
SERVES_ON_S = 14.0


async def play(site):
    store = Store(site.note)
    store.operator_write("config", build_config(7, SERVICES, ROUTES))
    await store.server.start(f"{site.prefix}.250", 8309)
    site.add("dispatch", 3)
    site.add("filings", 3)
    backends, tasks = [], []
    for machine in site.machines:
        backend = Backend(
            site.note,
            f"backend-{machine.number}",
            machine.service,
            machine.ip,
            machine.zone,
            sharded=False,
        )
        backends.append(backend)
        await backend.start()
        await machine.start()
    sent = {}

    async def send(machine, path):
        attempt = site.next_attempt()
        sent[attempt] = time.monotonic()
        status, _, _ = await call_once(
            machine.outbound,
            "GET",
            f"{path}{attempt}",
            site.build_headers(attempt, 1.0),
            timeout_s=2.0,
        )
        return status

    async def all_served():
        results = await asyncio.gather(
            *(send(m, p) for m in site.machines for p in ("/book/", "/file/"))
        )
        return all(status == 200 for status in results)

    async def load():
        while True:
            # Clients are on the machines of the other service, which run all the while.
            tasks.append(asyncio.ensure_future(send(random.choice(site.machines[3:]), "/book/")))
            await asyncio.sleep(0.04)

    try:
        await site.wait_ready(all_served)
        tasks.append(asyncio.ensure_future(load()))
        await asyncio.sleep(BOUNDS["contact_s"] + 1)
        leaver, machine = backends[0], site.machines[0]
        # It sends no more reports; the last one is late.
        leaver.tasks.pop().cancel()
        report, report_at = leaver.build_report(), time.monotonic()
        status = await leaver.send_leave()
        acked_at = time.monotonic()
        site.note(f"{leaver.name}: DELETE, status {status}; it serves on for {SERVES_ON_S} s")
        await asyncio.sleep(KILLED_AFTER_S)
        if site.trouble:
            site.note(f"{machine.node}: killed")
            await machine.end()
            await asyncio.sleep(DOWN_S)
            await machine.start()
            site.note(f"{machine.node}: started again")
        await asyncio.sleep(report_at + LATE_S - time.monotonic())
        status = await leaver.send_report(report)
        site.note(
            f"{leaver.name}: the report from before its leave arrives {time.monotonic() - report_at:.1f} s late, status {status}"
        )
        await asyncio.sleep(acked_at + SERVES_ON_S - time.monotonic())
        from_at = max(acked_at + BOUNDS["drain_s"], machine.started_at + BOUNDS["contact_s"])
        late = [run for run in leaver.runs if sent[run["attempt"]] > from_at]
        all_late = [run for run in leaver.runs if run["at"] > acked_at + BOUNDS["drain_s"]]
        for run in late[:5]:
            site.note(
                f"DRAIN: {run['attempt']} runs at {leaver.name} {run['at'] - acked_at:.2f} s after the ack of its leave"
            )
        site.note(
            f"requests at {leaver.name} later than drain_s after the ack: {len(all_late)}; of them sent when all "
            f"machines had been in touch for contact_s: {len(late)}"
        )
        return bool(late)
    finally:
        for task in tasks:
            task.cancel()
        for backend in backends:
            backend.crash()
        store.server.end(by_reset=True)


if __name__ == "__main__":
    run_case(play, HERE)
