"""CONFIG: a configuration that is written after the store came back from an older copy."""

import asyncio
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
BOOK = ("/book/", "safe", "dispatch", 1.5, 2)
FILE, FILE_MOVED = ("/file/", "safe", "filings", 1.0, 2), ("/file/", "safe", "dispatch", 1.0, 2)
OLD, NEW = ("/old/", "safe", "filings", 1.0, 2), ("/new/", "safe", "filings", 1.0, 2)
AWAY_S = 0.5


async def play(site):
    store = Store(site.note)
    store.operator_write("config", build_config(10, SERVICES, [BOOK, FILE, OLD]))
    await store.server.start(f"{site.prefix}.250", 8309)
    site.add("dispatch", 3)
    site.add("filings", 3)
    backends = []
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
    copies = asyncio.ensure_future(store.run_copies())

    async def send(machine, path):
        attempt = site.next_attempt()
        sent_at = time.monotonic()
        status, _, body = await call_once(
            machine.outbound, "GET", f"{path}x", site.build_headers(attempt, 1.0), timeout_s=2.0
        )
        ran = [b.service for b in backends if any(r["attempt"] == attempt for r in b.runs)]
        return sent_at, status, ran

    async def all_served():
        results = await asyncio.gather(
            *(send(m, path) for m in site.machines for path in ("/book/", "/file/", "/old/"))
        )
        return all(status == 200 for _, status, _ in results)

    def write_config(version, routes):
        offset = store.operator_write("config", build_config(version, SERVICES, routes))
        site.note(f"operator: version {version} acknowledged at offset {offset}")
        return time.monotonic()

    try:
        await site.wait_ready(all_served)
        await asyncio.sleep(4)
        before = time.monotonic()
        await asyncio.sleep(0.3)
        slower = ("/book/", "safe", "dispatch", 1.6, 2)
        write_config(11, [slower, FILE, OLD])
        await asyncio.sleep(1.0)
        write_config(12, [BOOK, FILE, OLD])
        await asyncio.sleep(1.0)
        if site.trouble:
            await store.drill(before, AWAY_S)
        await asyncio.sleep(BOUNDS["contact_s"] + 3)
        acked_at = write_config(13, [BOOK, FILE_MOVED, NEW])
        await asyncio.sleep(BOUNDS["config_apply_s"] + 0.3)
        older = []
        for _ in range(12):
            for machine in site.machines:
                for path, wrong in (
                    ("/new/", lambda status, ran: status == 404),
                    ("/old/", lambda status, ran: bool(ran)),
                    ("/file/", lambda status, ran: "filings" in ran),
                ):
                    sent_at, status, ran = await send(machine, path)
                    if wrong(status, ran):
                        older.append(path)
                        site.note(
                            f"CONFIG: {machine.node}: {path} sent {sent_at - acked_at:.2f} s after the ack of "
                            f"version 13: status {status}, run by {ran or 'none'}"
                        )
            await asyncio.sleep(0.5)
        site.note(f"requests handled as only an older version allows: {len(older)} of {12 * 18}")
        return bool(older)
    finally:
        copies.cancel()
        for backend in backends:
            backend.crash()
        store.server.end(by_reset=True)


if __name__ == "__main__":
    run_case(play, HERE)
