"""A stand-in of a backend server, as PROTOCOL.md describes it."""

import asyncio
import json
import time
import uuid

from wire import Server, call_once, render


class Hold:
    def __init__(self, first, last, fence, start, end):
        self.first, self.last, self.fence, self.start, self.end = first, last, fence, start, end


class Backend:
    """One lifetime of a backend server."""

    def __init__(
        self,
        note,
        name,
        service,
        ip,
        zone,
        *,
        sharded,
        work_s=0.05,
        instance=None,
        heartbeat_s=0.87,
    ):
        self.note, self.name, self.service, self.ip, self.zone = note, name, service, ip, zone
        self.sharded, self.work_s, self.heartbeat_s = sharded, work_s, heartbeat_s
        self.instance = instance or f"i-{uuid.uuid4().hex[:8]}"
        self.born = int(time.time() * 1000)
        self.address, self.control = f"{ip}:8301", f"{ip}:8306"
        self.sequence, self.capacity, self.state, self.cold_s = 0, 12, "ready", 0
        self.holds, self.runs, self.active = [], [], []
        self.fences = {}
        self.on_request = None  # may answer a request in place of this stand-in
        self.on_grant = lambda backend, first, last, fence: None
        self.started = self.ended = None
        self.server = Server(self._handle)
        self.tasks = []

    async def start(self):
        await self.server.start(self.ip, 8301)
        self.started = time.monotonic()
        self.tasks.append(asyncio.ensure_future(self._beat()))

    def crash(self):
        """End as a killed process does: all its connections are reset, nothing is said."""
        self.ended = time.monotonic()
        for task in self.tasks:
            task.cancel()
        self.server.end(by_reset=True)
        for hold in self.holds:
            hold.end = min(hold.end, self.ended)

    def build_report(self):
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": self.state,
            "cold_s": self.cold_s,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def send_report(self, report):
        status, _, _ = await call_once(
            self.control,
            "PUT",
            f"/-/instances/{self.instance}",
            [("Host", self.control), ("Content-Type", "application/json")],
            json.dumps(report).encode(),
            1.0,
        )
        return status

    async def send_leave(self):
        status, _, _ = await call_once(
            self.control,
            "DELETE",
            f"/-/instances/{self.instance}",
            [("Host", self.control), ("Content-Type", "application/json")],
            json.dumps({"born": self.born}).encode(),
            1.0,
        )
        return status

    async def _beat(self):
        while True:
            sent = time.monotonic()
            await self.send_report(self.build_report())
            await asyncio.sleep(max(0.0, sent + self.heartbeat_s - time.monotonic()))

    def holders(self, key, now):
        return [h for h in self.holds if h.first <= key <= h.last and h.start <= now < h.end]

    async def _handle(self, request, writer):
        headers, now = request.headers, time.monotonic()
        attempt = headers.get("x-attempt-id", "")
        echo = [("X-Attempt-Id", attempt)] if attempt else []
        if headers.get("x-expected-instance", self.instance) != self.instance:
            return render(421, [*echo, ("X-Instance-Id", self.instance)])
        if request.path == "/health":
            return render(
                200,
                [
                    *echo,
                    ("X-Instance-Id", self.instance),
                    ("X-Server-Load", f"{len(self.active)},0,{self.capacity}"),
                ],
            )
        if request.path == "/-/grant":
            return render(200 if self._grant(json.loads(request.body), now) else 409, echo)
        if request.path == "/-/release":
            return await self._release(json.loads(request.body), now, echo)
        if self.on_request is not None:
            answer = await self.on_request(self, request, writer)
            if answer is not True:
                return answer
        key = int(headers.get("x-shard-key", "-1"))
        if self.sharded and not self.holders(key, now):
            return render(421, [*echo, ("X-Not-Executed", "1")])
        return await self.run(request, key, echo)

    async def run(self, request, key, echo):
        now = time.monotonic()
        run = {
            "at": now,
            "attempt": request.headers.get("x-attempt-id", ""),
            "key": key,
            "path": request.path,
        }
        run["fence"] = max((h.fence for h in self.holders(key, now)), default=None)
        self.runs.append(run)
        token = "" if run["fence"] is None else f", key {key} held with token {run['fence']}"
        self.note(f"run {run['attempt']} {request.path} at {self.name}/{self.instance}{token}")
        self.active.append(key)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.active.remove(key)
        load = f"{len(self.active)},0,{self.capacity}"
        body = f"{self.instance} {run['attempt']}".encode()
        return render(
            200,
            [*echo, ("X-Server-Signature", f"sig-{self.instance}"), ("X-Server-Load", load)],
            body,
        )

    def _grant(self, data, now):
        first, last, fence = data["from"], data["target"], data["fence"]
        if any(f > fence and lo <= last and first <= hi for (lo, hi), f in self.fences.items()):
            return False
        held = [
            h for h in self.holds if h.start <= now < h.end and h.first <= last and first <= h.last
        ]
        if not any(h.first <= first and last <= h.last and h.fence == fence for h in held):
            self.on_grant(self, first, last, fence)
        self.fences[first, last] = fence
        for hold in held:  # a renewal, or a newer grant, takes the place of the former one
            if hold.first == first and hold.last == last and hold.fence == fence:
                hold.end = max(hold.end, now + data["hold_s"])
                return True
        self.holds.append(Hold(first, last, fence, now, now + data["hold_s"]))
        return True

    async def _release(self, data, now, echo):
        first, last = data["from"], data["target"]
        for hold in [
            h for h in self.holds if h.start <= now < h.end and h.first <= last and first <= h.last
        ]:
            if hold.first < first:
                self.holds.append(Hold(hold.first, first - 1, hold.fence, now, hold.end))
            if last < hold.last:
                self.holds.append(Hold(last + 1, hold.last, hold.fence, now, hold.end))
            hold.end = now
        while any(first <= key <= last for key in self.active):
            await asyncio.sleep(0.005)
        return render(200, [*echo, ("X-Handover", uuid.uuid4().hex[:16])])
