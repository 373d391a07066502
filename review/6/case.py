"""A backend server that fails part of the requests which it runs, with status 503."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins_2 import (  # noqa: E402
    BOUNDS,
    BROKEN,
    HELD,
    Backend,
    Site,
    call,
    make_configuration,
    make_fields,
    make_route,
    run_case,
)

SERVERS = 8  # of the service; one of them fails
BOOKINGS = 160
BOOKING_EACH_S = 0.04  # all begin within 6.4 s
TIMEOUT_MS = 3_000
FAILED_SHARE = 0.44
BODY = b'{"crew":"acoustic"}'
PROMISES = (408, 421, 429, 503)


async def book(site: Site, number: int) -> list[tuple[str, int]]:
    """Book once as a client does: it sends again only after a promise that nothing has run."""
    results = []
    for attempt_number in range(3):
        attempt = f"b{number}-{attempt_number}"
        site.record.write(f"client sends {attempt}")
        fields = make_fields(attempt, TIMEOUT_MS)
        address = site.vms[0].address("outbound")
        try:
            answer = await asyncio.wait_for(call(address, "POST", "/crew/book", BODY, fields), 3.0)
        except (OSError, TimeoutError):
            answer = None
        status = answer.status if answer is not None else 0
        signed = answer is not None and answer.find("X-Server-Signature") is not None
        site.record.write(f"{attempt} is answered {status}{', signed' if signed else ''}")
        results.append((attempt, status))
        if status not in PROMISES:
            break
        assert answer is not None
        await asyncio.sleep(float(answer.find("Retry-After") or 0.05))
    return results


async def play(has_trouble: bool) -> int:
    services = ["preview", *["dispatch"] * SERVERS]
    site = Site(CASE, services, ["gulf-south-a", "gulf-south-b", "gulf-south-c"], BOUNDS)
    try:
        for vm in site.vms:
            vm.backend = Backend(
                f"{vm.service}-{vm.number}",
                vm.service,
                vm.address("backend"),
                vm.address("control"),
                vm.zone,
                site.record,
                failed_share=FAILED_SHARE if has_trouble and vm.number == 2 else 0.0,
            )
        routes = [make_route("crew", "unsafe", "dispatch", 3.0)]
        await site.start(make_configuration(routes, sorted(set(services))))
        tasks = []
        for number in range(BOOKINGS):
            tasks.append(asyncio.create_task(book(site, number)))
            await asyncio.sleep(BOOKING_EACH_S)
        bookings = await asyncio.gather(*tasks)
        ran = set().union(*(vm.backend.ran for vm in site.vms))
        false = [a for results in bookings for a, s in results if s in PROMISES and a in ran]
        twice = [r for r in bookings if sum(attempt in ran for attempt, _ in r) > 1]
        site.record.write(f"REFUSED, answered with a promise and run: {false}")
        site.record.write(f"bookings that ran more than once: {[r[0][0] for r in twice]}")
        print(f"{len(false)} false promises, {len(twice)} of {BOOKINGS} bookings ran again")
        return BROKEN if false else HELD
    finally:
        site.end(keep_logs=False)


if __name__ == "__main__":
    sys.exit(run_case(play))
