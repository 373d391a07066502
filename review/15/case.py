"""A departure is forgotten: a frozen peer, which was not asked to keep it, counts as a proof."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_3 as site3  # noqa: E402

SERVICE, OTHER = "dispatch", "preview"
DRAIN_S = site3.BOUNDS["drain_s"]
FREEZE_S = 4.0
DOWN_AFTER_S = 1.5  # from the freeze to the outage of the store
OUTAGE_S = 4.5
LEAVES_AFTER_S = 2.2  # from the freeze to the notice
KILL_AFTER_S = 0.3  # from its acknowledgement
RESTART_AFTER_S = 0.5
HELD_UP_S = 3.9  # the report from before the notice
SERVES_ON_S = 14.0  # after the acknowledgement


async def play(folder: Path, trouble: bool) -> int:
    site = site3.Site(
        folder,
        [
            site3.make_route("r-assign", "/assign/", "unsafe", SERVICE, timeout_s=1.0),
            site3.make_route("r-view", "/view/", "safe", OTHER, timeout_s=0.8),
        ],
        [site3.make_service(SERVICE), site3.make_service(OTHER)],
    )
    services = (OTHER, OTHER, SERVICE, OTHER, OTHER, SERVICE, OTHER, OTHER)
    vms = [site.add_vm(service) for service in services]
    frozen, leaver, front = vms[0], vms[5], vms[6]
    killed = [vms[1], vms[3], vms[4], leaver]  # 4 of 8 machines
    freezes = trouble and os.environ.get("FREEZE", "1") != "0"
    backend = leaver.backend
    try:
        await site.start()
        await asyncio.sleep(2 * site3.CONTACT_S)
        usual = asyncio.create_task(send_usual(site, front))
        await asyncio.sleep(1.0)
        began = time.monotonic()
        if freezes:
            frozen.signal(signal.SIGSTOP)
        await asyncio.sleep(DOWN_AFTER_S)
        site.store.down = trouble
        site.record(f"store down: {trouble}")
        await asyncio.sleep(began + LEAVES_AFTER_S - time.monotonic())
        backend.announces = False
        await asyncio.sleep(0.05)
        late_report, reported_at = backend.build_report(), time.monotonic()
        acked_at = await leave(site, leaver)
        others = asyncio.create_task(disturb(site, killed, frozen if freezes else None, began, trouble))
        await asyncio.sleep(reported_at + HELD_UP_S - time.monotonic())
        await report(site, leaver, late_report)
        await others
        await asyncio.sleep(acked_at + SERVES_ON_S - time.monotonic())
        usual.cancel()
        return judge(site, leaver, acked_at, began + DOWN_AFTER_S + OUTAGE_S if trouble else acked_at)
    finally:
        site.close()


async def disturb(
    site: site3.Site, killed: list[site3.Vm], frozen: site3.Vm | None, began: float, trouble: bool
) -> None:
    """Kill daemons at once and start them again; wake the frozen one; bring the store back."""
    if not trouble:
        return
    await asyncio.sleep(KILL_AFTER_S)
    for vm in killed:
        vm.signal(signal.SIGKILL)
    for vm in killed:
        await vm.wait_ended(3.0)
    await asyncio.sleep(RESTART_AFTER_S)
    for vm in killed:
        vm.start_daemon()
    await asyncio.sleep(began + FREEZE_S - time.monotonic())
    if frozen is not None:
        frozen.signal(signal.SIGCONT)
    await asyncio.sleep(began + DOWN_AFTER_S + OUTAGE_S - time.monotonic())
    site.store.down = False
    site.record("store back")


async def leave(site: site3.Site, vm: site3.Vm) -> float:
    """Have the backend server leave; return the instant of the acknowledgement."""
    body = json.dumps({"born": vm.backend.born_ms}).encode()
    path = f"/-/instances/{vm.backend.instance}"
    async with asyncio.timeout(3.0):
        answer = await site3.ask(vm.control_address, "DELETE", path, {"Host": "control"}, body)
    status = answer.status if answer is not None else 0
    site.record(f"backend {vm.name} {vm.backend.instance} leaves: DELETE is answered with {status}")
    if status != 200:
        raise site3.CannotRunError(f"the notice was not acknowledged: {status}")
    return time.monotonic()


async def report(site: site3.Site, vm: site3.Vm, body: dict[str, object]) -> None:
    """Deliver a report from before the notice, which was held up."""
    path = f"/-/instances/{vm.backend.instance}"
    fields = {"Host": "control", "Content-Type": "application/json"}
    status = "none"
    try:
        async with asyncio.timeout(2.0):
            answer = await site3.ask(vm.control_address, "PUT", path, fields, json.dumps(body).encode())
        status = str(answer.status) if answer is not None else status
    except (OSError, TimeoutError) as error:
        status = repr(error)
    site.record(f"the report of {vm.backend.instance} from before its notice arrives: {status}")


async def send_usual(site: site3.Site, front: site3.Vm) -> None:
    pending = set()
    while True:
        task = asyncio.create_task(site.send(front, "POST", "/assign/1", 1.0))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(0.05)


def judge(site: site3.Site, leaver: site3.Vm, acked_at: float, calm_from: float) -> int:
    record = site.record
    after = [(at, attempt) for at, attempt, _ in leaver.backend.runs if at > acked_at + DRAIN_S]
    # Machines are in touch again, and the store is stable, `contact_s` after the last impairment.
    from_at = max(calm_from, leaver.started_at) + site3.CONTACT_S
    counted = [(at, attempt) for at, attempt in after if at > from_at]
    for at, attempt in counted[:20]:
        record(f"counts: attempt {attempt} reached the server {at - acked_at:.2f} s after the acknowledgement")
    print(f"{len(after)} requests reached the server later than {DRAIN_S} s after, {len(counted)} in touch")
    record(f"{len(after)} requests later than {DRAIN_S} s after the acknowledgement, {len(counted)} in touch")
    return 1 if counted else 0


sys.exit(site3.run(play, FOLDER))
