"""SIGTERM while clients that send requests in a row have not yet received a whole answer."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
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
    make_configuration,
    make_fields,
    make_route,
    render,
    run_case,
)

CLIENTS = 8
ANSWER_BYTES = 400_000
TIMEOUT_MS = 5_000
RECEIVE_BUFFER = 64 * 1024
SECOND_AFTER_S = 0.3
READS_AFTER_S = 0.5
READ_BYTES = 8 * 1024
READ_EACH_S = 0.02  # 400 kB/s: the whole answer takes about a second


async def read_answer(loop, sock: socket.socket, end_at: float) -> tuple[str, int]:
    """Read one answer slowly; return how it ended and how much of the body came."""
    data = b""
    while time.monotonic() < end_at:
        try:
            async with asyncio.timeout(max(0.01, end_at - time.monotonic())):
                part = await loop.sock_recv(sock, READ_BYTES)
        except TimeoutError:
            return "time limit", 0
        except OSError as error:
            head, _, body = data.partition(b"\r\n\r\n")
            return f"{type(error).__name__}", len(body)
        if not part:
            return "closed", len(data.partition(b"\r\n\r\n")[2])
        data += part
        head, found, body = data.partition(b"\r\n\r\n")
        if found:
            lines = head.decode("latin-1").lower().split("\r\n")
            length = next(int(x.split(":")[1]) for x in lines if x.startswith("content-length"))
            if len(body) >= length:
                closes = ", closes" if "connection: close" in lines else ""
                return f"complete {lines[0].split(' ')[1]}{closes}", length
        await asyncio.sleep(READ_EACH_S)
    return "time limit", len(data)


async def run_client(site: Site, number: int, begin: asyncio.Event) -> dict[str, object]:
    loop, record, vm = asyncio.get_running_loop(), site.record, site.vms[0]
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    sock.setblocking(False)
    host, _, port = vm.address("outbound").rpartition(":")
    with contextlib.closing(sock):
        await loop.sock_connect(sock, (host, int(port)))
        # The connection is kept from an earlier request.
        fields = make_fields(f"c{number}-0", TIMEOUT_MS)
        await loop.sock_sendall(sock, render("GET /stock/0 HTTP/1.1", fields))
        await read_answer(loop, sock, time.monotonic() + 5.0)
        await begin.wait()
        await asyncio.sleep(0.02 * number)
        first, second = f"c{number}-1", f"c{number}-2"
        sent_at = time.monotonic()
        await loop.sock_sendall(
            sock, render("GET /manual/1 HTTP/1.1", make_fields(first, TIMEOUT_MS))
        )
        record.write(f"client {number} sent {first}")
        await asyncio.sleep(SECOND_AFTER_S)
        # Before anything of the first answer was read.
        with contextlib.suppress(OSError):
            await loop.sock_sendall(
                sock, render("GET /stock/2 HTTP/1.1", make_fields(second, TIMEOUT_MS))
            )
            record.write(f"client {number} sent {second}")
        await asyncio.sleep(READS_AFTER_S - SECOND_AFTER_S)
        ended, size = await read_answer(loop, sock, sent_at + TIMEOUT_MS / 1000)
        took_s = time.monotonic() - sent_at
        record.write(f"client {number}: {first} {ended}, {size} bytes of body, {took_s:.2f} s")
        return {"attempt": first, "ended": ended, "took_s": took_s}


async def play(has_trouble: bool) -> int:
    services = ["stockdesk", "counterhub", "counterhub"]
    site = Site(CASE, services, ["hanbit-a", "hanbit-b", "hanbit-c"], BOUNDS)
    try:
        for vm in site.vms:
            vm.backend = Backend(
                f"{vm.service}-{vm.number}",
                vm.service,
                vm.address("backend"),
                vm.address("control"),
                vm.zone,
                site.record,
                large_path="/manual/",
                large_bytes=ANSWER_BYTES,
            )
        routes = [
            make_route("stock", "safe", "stockdesk", 6.0),
            make_route("manual", "download", "counterhub", 6.0),
        ]
        await site.start(make_configuration(routes, sorted(set(services))))
        begin = asyncio.Event()
        clients = [asyncio.create_task(run_client(site, n, begin)) for n in range(CLIENTS)]
        await asyncio.sleep(1.0)
        if has_trouble:
            site.vms[0].signal(signal.SIGTERM)
            await asyncio.sleep(0.3)
        begin.set()
        results = await asyncio.gather(*clients)
        if has_trouble:
            await site.vms[0].wait_for_end(8.0)
        ran = set().union(*(vm.backend.ran for vm in site.vms))
        lost = [
            result["attempt"]
            for result in results
            if result["attempt"] in ran and not str(result["ended"]).startswith("complete")
        ]
        unserved = [r["attempt"] for r in results if r["attempt"] not in ran]
        site.record.write(f"not passed on: {unserved}")
        site.record.write(f"LOST, passed on and without a complete answer: {lost}")
        print(f"{len(lost)} of {CLIENTS} requests lost")
        return BROKEN if lost else HELD
    finally:
        site.end(keep_logs=False)


if __name__ == "__main__":
    sys.exit(run_case(play))
