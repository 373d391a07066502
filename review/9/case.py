"""A request that crashes backend servers comes again while daemons are stopped and started."""

from __future__ import annotations

import asyncio
import signal
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

ALLOWED = 3  # the rule is broken by more
CRASHES = 3  # from which on it counts
CONTACT_S = BOUNDS["contact_s"]
DOWN_S = 1.5  # "back after some seconds"
REPEAT_S = 4.0  # between two times that the request comes
ROUNDS = 3  # times that it comes after each restart
BODY = b'{"report":"acoustic"}'


class Case:
    def __init__(self, site: Site) -> None:
        self.site, self.sent = site, 0
        self.background: asyncio.Task[None] | None = None
        self.served = 0

    async def send(self, attempt: str, path: str) -> int:
        """Send a request at the first VM, which is never touched; return the status, 0 if none."""
        fields = make_fields(attempt, 2_000)
        try:
            address = self.site.vms[0].address("outbound")
            answer = await asyncio.wait_for(call(address, "POST", path, BODY, fields), 2.0)
        except (OSError, TimeoutError):
            return 0
        return answer.status if answer is not None else 0

    async def send_poison(self) -> None:
        self.sent += 1
        attempt = f"p{self.sent}"
        self.site.record.write(f"client sends {attempt} /filing/poison")
        status = await self.send(attempt, "/filing/poison")
        self.site.record.write(f"{attempt} is answered {status}")

    async def serve_others(self) -> None:
        """Send ordinary requests all the while, which show a crash soon."""
        number = 0
        while True:
            number += 1
            self.served += await self.send(f"o{number}", f"/filing/{number}") == 200
            await asyncio.sleep(0.1)

    async def come_again(self) -> None:
        for _ in range(ROUNDS):
            await self.send_poison()
            await asyncio.sleep(REPEAT_S)


async def play(has_trouble: bool) -> int:
    services = ["preview", "filings", "filings", "filings"]
    site = Site(CASE, services, ["gulf-south-a", "gulf-south-b", "gulf-south-c"], BOUNDS)
    case = Case(site)
    try:
        for vm in site.vms:
            vm.backend = Backend(
                f"{vm.service}-{vm.number}",
                vm.service,
                vm.address("backend"),
                vm.address("control"),
                vm.zone,
                site.record,
                crash_path="/filing/poison",
                down_s=DOWN_S,
            )
        routes = [make_route("filing", "unsafe", "filings", 2.0)]
        await site.start(make_configuration(routes, sorted(set(services))))
        case.background = asyncio.create_task(case.serve_others())
        await asyncio.sleep(2.0)
        await case.come_again()
        for vm in site.vms[1:]:
            if has_trouble:
                vm.signal(signal.SIGTERM)
                await vm.wait_for_end(8.0)
                await asyncio.sleep(0.3)
                vm.start_daemon()
                await vm.wait_until_ready(10.0)
                # Until the machine is in touch again.
                await asyncio.sleep(CONTACT_S + 1.0)
            await case.come_again()
        case.background.cancel()
        crashes = sorted(crash for vm in site.vms for crash in vm.backend.crashes)
        counted_from = crashes[CRASHES - 1][0] + CONTACT_S if len(crashes) >= CRASHES else None
        counted = [a for at, a in crashes if counted_from is not None and at > counted_from]
        site.record.write(f"ordinary requests served: {case.served}")
        site.record.write(f"crashes: {[attempt for _, attempt in crashes]}")
        site.record.write(f"later than contact_s after the third crash: {counted}")
        print(f"{len(crashes)} crashes of {case.sent} requests, {len(counted)} counted")
        return BROKEN if len(counted) > ALLOWED else HELD
    finally:
        site.end(keep_logs=False)


if __name__ == "__main__":
    sys.exit(run_case(play))
