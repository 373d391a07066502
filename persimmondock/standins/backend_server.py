"""A stand-in for a backend server.

It announces itself to daemons, runs requests in a limited number of slots, and records each run in
a journal. ``POST /control`` takes a JSON object with the fields of ``BackendFaults`` to change;
``turn_cold`` in it restarts the warm-up.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import time
import uuid
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import TextIO

ANNOUNCE_INTERVAL_S = 0.5
ANNOUNCE_TIMEOUT_S = 0.5
POISON_HEADER = "Standin-Poison"
WORK_HEADER = "Standin-Work-Ms"
TOKEN_HEADER = "Persimmondock-Token"
SLICE_HEADER = "Persimmondock-Slice"
DEADLINE_HEADER = "Persimmondock-Deadline"
NOT_RUN_HEADER = "Persimmondock-Not-Run"
CRASH_STATUS = 70
JOURNAL_FIELDS = ("request_id", "path", "token", "slice")


@attrs.define
class BackendFaults:
    """Faults to inject.

    Parameters
    ----------
    slowness
        Factor on the duration of requests.
    draining
        Refuse all new requests.
    report_lag_s
        Age of the load report, in seconds.
    reported_load
        Load to report instead of the real one; None reports the real one.
    usable_slots
        Number of slots that really exist; None or 0 means as many as announced.
    """

    slowness: float = 1.0
    draining: bool = False
    report_lag_s: float = 0.0
    reported_load: int | None = None
    usable_slots: int | None = None


@attrs.frozen
class BackendProfile:
    """Properties of a backend server.

    Parameters
    ----------
    daemons
        Operator addresses of the daemons to announce to, in order of preference.
    work_ms
        Duration of a request without a ``Standin-Work-Ms`` header, in milliseconds.
    cold_slots
        Number of concurrent requests above which the server is overloaded while cold.
    cold_runs
        Number of completed runs after which it is warm; a run that overloaded it while cold does
        not count.
    journal
        Path of a file to which the start and end of each run are written, one JSON object a line,
        so that they outlive the process; empty for none.
    """

    name: str
    service: str
    address: str
    daemons: tuple[str, ...]
    slots: int = 12
    connections: int = 130
    checks_tokens: bool = True
    work_ms: float = 5.0
    cold_slots: int = 2
    cold_runs: int = 20
    journal: str = ""


@attrs.define
class JournalEntry:
    """One run of one request; times are in Unix seconds."""

    request_id: str
    path: str
    token: int
    slice: int
    started_at: float
    ended_at: float | None = None
    completed: bool = False


class BackendStandin:
    """A backend server with injectable faults and a journal.

    Parameters
    ----------
    crash
        Called for a request with the poison header; None ends the process with ``CRASH_STATUS``.
    """

    def __init__(self, profile: BackendProfile, crash: Callable[[], None] | None = None) -> None:
        self.profile = profile
        self.faults = BackendFaults()
        self.journal: list[JournalEntry] = []
        self.instance = uuid.uuid4().hex
        self.in_flight = 0
        self.refusals = 0
        self.runs_while_cold = 0
        self.overloads_while_cold = 0
        self.peak_while_cold = 0
        self._crash = crash or (lambda: os._exit(CRASH_STATUS))
        self._warmup_runs = 0
        self._newest_tokens: dict[int, int] = {}
        self._load_history: list[tuple[float, int]] = []
        self._journal_file = _open_journal(profile.journal)

    def build_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application()
        application.router.add_post("/control", self._control)
        application.router.add_get("/control/journal", self._show_journal)
        application.router.add_get("/health", self._show_health)
        application.router.add_get("/load", self._show_load)
        application.router.add_route("*", "/{path:.*}", self._serve)
        application.cleanup_ctx.append(self._run_announcer)
        return application

    @property
    def cold(self) -> bool:
        """Whether the server is still warming up."""
        return self._warmup_runs < self.profile.cold_runs

    def turn_cold(self) -> None:
        """Restart the warm-up without announcing it."""
        self._warmup_runs = 0

    async def _run_announcer(self, _: web.Application) -> Any:
        task = asyncio.create_task(self._announce())
        yield
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def _announce(self) -> None:
        """Announce periodically to the first daemon of the list that accepts."""
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                for daemon in self.profile.daemons:
                    if await self._announce_to(session, daemon):
                        break
                await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _announce_to(self, session: aiohttp.ClientSession, daemon: str) -> bool:
        body = {
            "name": self.profile.name,
            "service": self.profile.service,
            "address": self.profile.address,
            "slots": self.profile.slots,
            "connections": self.profile.connections,
            "checks_tokens": self.profile.checks_tokens,
            "instance": self.instance,
        }
        try:
            async with session.post(f"http://{daemon}/v1/backends", json=body) as response:
                return response.status == 200
        except (TimeoutError, aiohttp.ClientError):
            return False

    async def _serve(self, request: web.Request) -> web.Response:
        if request.headers.get(POISON_HEADER):
            self._crash()
        refusal = self._find_refusal(request)
        if refusal:
            self.refusals += 1
            return web.Response(status=503, headers={NOT_RUN_HEADER: refusal}, text=refusal)
        return await self._run(request)

    def _find_refusal(self, request: web.Request) -> str:
        """Return why the request may not start, or an empty string."""
        if self.faults.draining:
            return "draining"
        if self.in_flight >= (self.faults.usable_slots or self.profile.slots):
            return "no_slot"
        deadline = request.headers.get(DEADLINE_HEADER)
        if deadline and time.time() * 1000 > int(deadline):
            return "deadline_passed"
        if self.profile.checks_tokens and not self._check_token(request):
            return "outdated_token"
        return ""

    def _check_token(self, request: web.Request) -> bool:
        """Return whether no newer token was seen for the slice, and record the token."""
        token = int(request.headers.get(TOKEN_HEADER, "-1"))
        index = int(request.headers.get(SLICE_HEADER, "-1"))
        if index < 0:
            return True
        newest = self._newest_tokens.get(index, -1)
        self._newest_tokens[index] = max(newest, token)
        return token >= newest

    async def _run(self, request: web.Request) -> web.Response:
        entry = JournalEntry(
            request_id=request.headers.get("Idempotency-Key", ""),
            path=request.path_qs,
            token=int(request.headers.get(TOKEN_HEADER, "-1")),
            slice=int(request.headers.get(SLICE_HEADER, "-1")),
            started_at=time.time(),
        )
        self.journal.append(entry)
        number = len(self.journal)
        self._write_start(number, entry)
        self.in_flight += 1
        overloaded = self.cold and self.in_flight > self.profile.cold_slots
        self._count_cold_run(overloaded)
        try:
            body = await request.read()
            await asyncio.sleep(self._compute_duration_s(request))
            entry.completed = True
            self._warmup_runs += not overloaded
        finally:
            entry.ended_at = time.time()
            self._write_end(number, entry)
            self.in_flight -= 1
            self._load_history.append((time.time(), self.in_flight))
            del self._load_history[:-1000]
        return web.json_response(
            {
                "backend": self.profile.name,
                "path": request.path_qs,
                "request_id": entry.request_id,
                "run": len(self.journal),
                "body": body.decode(errors="replace"),
            }
        )

    def _count_cold_run(self, overloaded: bool) -> None:
        if self.cold:
            self.runs_while_cold += 1
            self.overloads_while_cold += overloaded
            self.peak_while_cold = max(self.peak_while_cold, self.in_flight)

    def _write_start(self, number: int, entry: JournalEntry) -> None:
        fields = attrs.asdict(entry)
        event = {"event": "start", "run": number, "at": entry.started_at}
        self._write_event({**event, **{name: fields[name] for name in JOURNAL_FIELDS}})

    def _write_end(self, number: int, entry: JournalEntry) -> None:
        event = {"event": "end", "run": number, "at": entry.ended_at}
        self._write_event({**event, "completed": entry.completed})

    def _write_event(self, event: dict[str, Any]) -> None:
        if self._journal_file is not None:
            self._journal_file.write(json.dumps({**event, "instance": self.instance}) + "\n")

    def _compute_duration_s(self, request: web.Request) -> float:
        """Return a request's duration in seconds; it is longer while cold and overloaded."""
        work_ms = float(request.headers.get(WORK_HEADER, self.profile.work_ms))
        overload = self.in_flight / self.profile.cold_slots if self.cold else 1.0
        return work_ms / 1000 * self.faults.slowness * max(1.0, overload) ** 2

    async def _show_health(self, _: web.Request) -> web.Response:
        return web.json_response({"instance": self.instance, "draining": self.faults.draining})

    async def _show_load(self, _: web.Request) -> web.Response:
        return web.json_response({"in_flight": self._find_reported_load()})

    def _find_reported_load(self) -> int:
        if self.faults.reported_load is not None:
            return self.faults.reported_load
        if not self.faults.report_lag_s:
            return self.in_flight
        cutoff = time.time() - self.faults.report_lag_s
        return next((load for at, load in reversed(self._load_history) if at <= cutoff), 0)

    async def _control(self, request: web.Request) -> web.Response:
        changes: dict[str, Any] = await request.json()
        if changes.pop("turn_cold", False):
            self.turn_cold()
        self.faults = attrs.evolve(self.faults, **changes)
        return web.json_response(attrs.asdict(self.faults))

    async def _show_journal(self, _: web.Request) -> web.Response:
        return web.json_response(
            {
                "backend": self.profile.name,
                "refusals": self.refusals,
                "cold": self.cold,
                "runs_while_cold": self.runs_while_cold,
                "overloads_while_cold": self.overloads_while_cold,
                "peak_while_cold": self.peak_while_cold,
                "entries": [attrs.asdict(entry) for entry in self.journal],
            }
        )


def _open_journal(path: str) -> TextIO | None:
    return Path(path).open("a", buffering=1, encoding="utf-8") if path else None
