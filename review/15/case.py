"""Clients that send requests ahead leave while their connections are not read."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import site3  # noqa: E402

SERVICE, OTHER = "scanvault", "catalogue"
DOWNLOAD_BYTES = 540_000  # the longest answer to a download in the site files of `demands`
SLOW_S = 2.0
CLIENTS = 8
LEAVE_AFTER_S = 0.5
HALF_S = 0.5  # by the rule
MAX_SHARE = 0.25


async def play(folder: Path, trouble: bool) -> int:
    site = site3.Site(
        folder,
        [
            site3.make_route("r-master", "/master/", "download", SERVICE, timeout_s=6.0),
            site3.make_route("r-lookup", "/lookup/", "safe", OTHER, timeout_s=4.0),
        ],
        [site3.make_service(SERVICE), site3.make_service(OTHER)],
    )
    site.add_vm(SERVICE), site.add_vm(SERVICE)
    others = [site.add_vm(OTHER), site.add_vm(OTHER)]
    front = site.vms[0]
    for vm in site.vms:
        vm.backend.bytes_by_prefix = {"/master/scan": DOWNLOAD_BYTES}
        vm.backend.work_by_prefix = {
            "/master/": 0.06, "/lookup/warm": 0.05, "/lookup/slow": SLOW_S, "/lookup/": 0.25,
        }  # fmt: skip
    try:
        await site.start()
        # A client that sends nothing ahead: its request has to be dropped when it leaves.
        attempt, left_at, _ = await ask_ahead(site, front, -1, leaves=True, ahead=False)
        await asyncio.sleep(HALF_S)
        if not any(item[1] == attempt and item[2] == "dropped" for vm in others for item in vm.backend.ends):
            raise site3.CannotRunError("the request of a client that sent nothing ahead was not dropped")
        outcomes = []
        for number in range(CLIENTS):
            outcomes.append(await ask_ahead(site, front, number, trouble))
            await asyncio.sleep(0.1 if not trouble else SLOW_S + 0.3)
        return judge(site, others, outcomes, trouble)
    finally:
        site.close()


async def ask_ahead(
    site: site3.Site, front: site3.Vm, number: int, leaves: bool, ahead: bool = True
) -> tuple[str, float, bool]:
    """Send a slow lookup, a download and a quick lookup at once; leave before the answers."""
    host, _, port = front.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=65_536)
    attempts = []
    paths = [f"/lookup/slow{number}", f"/master/scan{number}", f"/lookup/quick{number}"]
    for path in paths if ahead else paths[:1]:
        attempt = site.make_attempt()
        fields = {"Host": site3.HOST, "X-Attempt-Id": attempt, "X-Timeout-Ms": 4000}
        writer.write(site3.render(f"GET {path} HTTP/1.1", fields, length=False))
        site.record(f"client {number} sends attempt {attempt} GET {path}")
        attempts.append(attempt)
    answered = False
    if leaves:
        await asyncio.sleep(LEAVE_AFTER_S)
        site.record(f"client {number} closes its connection")
    else:
        answers = [await site3.read_message(reader) for _ in attempts]
        answered = all(answer is not None and answer.status == 200 for answer in answers)
        site.record(f"client {number} has all answers: {answered}")
    left_at = time.monotonic()
    writer.close()
    return attempts[0], left_at, answered


def judge(
    site: site3.Site, others: list[site3.Vm], outcomes: list[tuple[str, float, bool]], trouble: bool
) -> int:
    record = site.record
    begun = {attempt: at for vm in others for at, attempt, _ in vm.backend.runs}
    ended = {attempt: (at, how) for vm in others for at, attempt, how in vm.backend.ends}
    if not trouble:
        held = all(answered for _, _, answered in outcomes)
        print(f"all answered: {held}")
        return 0 if held else 2
    counted = late = 0
    for number, (attempt, left_at, _) in enumerate(outcomes):
        if attempt not in begun or begun[attempt] + SLOW_S < left_at + HALF_S:
            continue
        counted += 1
        at, how = ended.get(attempt, (time.monotonic(), "still at work"))
        is_late = at > left_at + HALF_S
        late += is_late
        record(f"client {number}: attempt {attempt} {how} {at - left_at:.2f} s after the close")
    print(f"{late} of {counted} requests at work half a second after their clients had left")
    record(f"{late} of {counted} at work half a second later; at most a quarter may")
    if counted < CLIENTS // 2:
        return 2
    return 1 if late > MAX_SHARE * counted else 0


sys.exit(site3.run(play, FOLDER))
