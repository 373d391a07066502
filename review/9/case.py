"""A backend server leaves while the store is down, and then all daemons are killed at once."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins_2 import (  # noqa: E402
    BOUNDS,
    BROKEN,
    HELD,
    Backend,
    Site,
    UnableError,
    call,
    make_configuration,
    make_fields,
    make_route,
    run_case,
)

DRAIN_S = 2.0
CONTACT_S = BOUNDS["contact_s"]
STORE_DOWN_S = 4.0
DOWN_S = 0.6  # of the daemons
HELD_UP_S = 3.9  # of one announcement
SERVES_ON_S = 14.0


async def send_all(site: Site) -> None:
    number = 0
    address = site.vms[0].address("outbound")

    async def send(attempt: str) -> None:
        try:
            fields = make_fields(attempt, 2_000)
            answer = await asyncio.wait_for(call(address, "POST", "/filing/x", b"", fields), 2.0)
        except (OSError, TimeoutError):
            answer = None
        site.record.write(f"{attempt} is answered {answer.status if answer is not None else 0}")

    tasks = set()
    while True:
        number += 1
        tasks.add(asyncio.create_task(send(f"r{number}")))
        await asyncio.sleep(0.05)


async def play(has_trouble: bool) -> int:
    # Each of the two disruptions can be left out, to see that neither does it alone.
    kills = has_trouble and os.environ.get("KILLS", "1") == "1"
    outage = has_trouble and os.environ.get("OUTAGE", "1") == "1"
    services = ["recepcao", "governanca", "governanca", "governanca", "recepcao"]
    site = Site(CASE, services, ["recife", "fortaleza", "salvador"], BOUNDS | {"drain_s": DRAIN_S})
    record = site.record
    try:
        for vm in site.vms:
            vm.backend = Backend(
                f"{vm.service}-{vm.number}",
                vm.service,
                vm.address("backend"),
                vm.address("control"),
                vm.zone,
                record,
            )
        routes = [make_route("filing", "unsafe", "governanca", 2.0)]
        await site.start(make_configuration(routes, sorted(set(services))))
        sending = asyncio.create_task(send_all(site))
        await asyncio.sleep(2.0)
        leaving = site.vms[1].backend
        if outage:
            site.store.is_down = True
            site.store.release_waiting_reads()
            record.write("the store is down")
        down_at = time.monotonic()
        await asyncio.sleep(1.0)
        # An announcement that is held up on its way; without an ack the server goes on.
        leaving.holds_announcements = True
        late = leaving.build_next_announcement()
        late_at = time.monotonic() + HELD_UP_S
        record.write(f"{leaving.instance} sends an announcement that is held up")
        await asyncio.sleep(1.1)
        status = await leaving.send_leave()
        acked_at = time.monotonic()
        record.write(f"{leaving.instance} withdraws its announcements: {status}")
        if status != 200:
            raise UnableError(f"the notice got {status}")
        if kills:
            for vm in site.vms:
                vm.signal(signal.SIGKILL)
                vm.process.wait()
            await asyncio.sleep(DOWN_S)
            for vm in site.vms:
                vm.start_daemon()
        started_at = time.monotonic()
        if outage:
            await asyncio.sleep(max(0.0, down_at + STORE_DOWN_S - time.monotonic()))
            site.store.is_down = False
            record.write("the store is back")
        stable_at = time.monotonic()
        await asyncio.sleep(max(0.0, late_at - time.monotonic()))
        record.write(f"the late announcement arrives: {await leaving.send_announcement(late)}")
        in_touch_at = max(started_at, stable_at) + CONTACT_S
        judged_from = max(in_touch_at, acked_at + DRAIN_S)
        for vm in site.vms:
            await vm.wait_until_ready(5.0)
        await asyncio.sleep(max(0.0, acked_at + SERVES_ON_S - time.monotonic()))
        sending.cancel()
        late_runs = [run.attempt for run in leaving.runs if run.began > judged_from]
        record.write(f"in touch {in_touch_at - acked_at:.2f} s after the ack")
        record.write(f"DRAIN, reached {leaving.instance} later: {late_runs}")
        print(f"{len(late_runs)} requests reached the server that had left")
        return BROKEN if late_runs else HELD
    finally:
        site.end(keep_logs=False)


if __name__ == "__main__":
    sys.exit(run_case(play))
