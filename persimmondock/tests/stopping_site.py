"""A site in virtual time of which one daemon is stopped while requests come."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import attrs

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.backend_notice import BackendNotice
from persimmondock._domain.forwarding import NO_KEY, ForwardedRequest
from persimmondock._domain.site import SiteBounds
from persimmondock._domain.verdict import Answer, Answered, NotRun, Verdict
from persimmondock._tasks.sidecar import Sidecar
from persimmondock.tests.sites import make_forwarded, make_route
from persimmondock.tests.virtual_site import Arrival, VirtualNode, VirtualServer, VirtualSite

POLL_S = 0.02
LAST_SIXTH = 5 / 6  # of the grace, in which a backend server's work may be cut
LATE_SENT_S = 3.0  # after the signal; work on what is sent later may not be cut


@attrs.frozen
class Run:
    """A run of a request at a backend server.

    Parameters
    ----------
    attempt
        Identifier of the attempt.
    began_at, ended_at
        Bounds of the run.
    cut
        Whether the work was broken off.
    """

    attempt: str
    began_at: float
    ended_at: float
    cut: bool


@attrs.define
class TimedServer(VirtualServer):
    """A backend server that ends work with 504 at the deadline that it gets.

    Parameters
    ----------
    work_by_route
        Duration of a request in seconds, by its route.
    """

    work_by_route: dict[str, float] = attrs.field(factory=dict)
    timed_runs: list[Run] = attrs.field(factory=list)

    async def run(
        self,
        request: ForwardedRequest,
        instance: str,
        check: Callable[[], NotRun | None],
        record_notice: Callable[[BackendNotice], None],
    ) -> Verdict:
        """Run a request."""
        await asyncio.sleep(0)
        refusal = check()
        if refusal is not None:
            return refusal
        began_at, cut = read_clock(), True
        front, _, sent_at = request.attempt.split("/")
        self.arrivals.append(Arrival(began_at, front, float(sent_at)))
        work_s = self.work_by_route.get(request.route, self.work_s)
        left_s = request.deadline - began_at
        try:
            await asyncio.sleep(min(work_s, left_s))
            cut = False
        finally:
            self.timed_runs.append(Run(request.attempt, began_at, read_clock(), cut))
        return Answered(Answer(200 if work_s <= left_s else 504, (), b"done"))


@attrs.frozen
class Reply:
    """How a request of a caller ended.

    Parameters
    ----------
    verdict
        The verdict, or None if the connection was cut.
    """

    attempt: str
    sent_at: float
    ended_at: float
    verdict: Verdict | None

    @property
    def status(self) -> int:
        """Status of the backend server's answer, or 0."""
        return self.verdict.answer.status if isinstance(self.verdict, Answered) else 0

    @property
    def took_s(self) -> float:
        return self.ended_at - self.sent_at


class StoppingSite(VirtualSite):
    """A site of timed servers.

    Attributes
    ----------
    signalled_at
        Instant of the signal by which a daemon was asked to stop.
    """

    def __init__(self, work_by_route: dict[str, float], **options: Any) -> None:
        super().__init__(**options)
        self.signalled_at = 0.0
        self._sent = 0
        for node in self.servers:
            node.server = TimedServer(name=node.name, work_by_route=work_by_route)

    @property
    def stop_s(self) -> float:
        """Seconds between the signal and the end of the process."""
        return SiteBounds().stop_s

    async def learn(self, front: VirtualNode, route: str, **changes: Any) -> None:
        """Let a front learn how long the requests of a route take."""
        for _ in range(4):
            assert (await self.ask(front, route, **changes)).status == 200

    async def ask(
        self, front: VirtualNode, route: str, timeout_s: float = 8.0, **changes: Any
    ) -> Reply:
        """Send a request to a front and return how it ended."""
        process = front.process
        assert process is not None
        self._sent += 1
        sent_at = read_clock()
        attempt = f"{front.name}/{self._sent}/{sent_at}"
        values = {"key": 7 if self.keyed else NO_KEY, "objective_at": sent_at + 0.4, **changes}
        request = make_forwarded(
            sent_at, attempt=attempt, route=route, deadline=sent_at + timeout_s, **values
        )
        policy = make_route(name=route, idempotent=request.idempotent, timeout_s=timeout_s)
        task = process.start(process.dispatcher.dispatch(request, policy))
        verdict: Verdict | None = None
        try:
            verdict = await asyncio.shield(task)
        except asyncio.CancelledError:
            if not task.cancelled():
                raise
        return Reply(attempt, sent_at, read_clock(), verdict)

    def ask_later(
        self, after_s: float, front: VirtualNode, route: str, **changes: Any
    ) -> asyncio.Task[Reply]:
        """Send a request some time after the signal."""

        async def ask() -> Reply:
            await asyncio.sleep(max(0.0, self.signalled_at + after_s - read_clock()))
            return await self.ask(front, route, **changes)

        return asyncio.get_running_loop().create_task(ask())

    def signal(self, node: VirtualNode) -> asyncio.Task[float]:
        """Ask a daemon to stop; returns a task for the time in seconds that it takes."""
        self.signalled_at = read_clock()
        return asyncio.get_running_loop().create_task(self._stop(node))

    async def _stop(self, node: VirtualNode) -> float:
        process = node.process
        assert process is not None
        sidecar = cast(
            "Sidecar",
            SimpleNamespace(
                settings=SimpleNamespace(node=node.name, bounds=self.bounds),
                gate=process.gate,
                dispatcher=process.dispatcher,
                keeper=SimpleNamespace(holds_any=lambda: False),
            ),
        )
        stop_by = await Sidecar.hand_over(sidecar)
        await Sidecar.drain(sidecar, stop_by)
        while read_clock() < stop_by:  # as with a connection on which a request is still arriving
            await asyncio.sleep(POLL_S)
        node.process = None
        process.kill()
        return read_clock() - self.signalled_at

    def list_runs(self, attempt: str = "") -> list[Run]:
        """Return the runs of one attempt, or of all."""
        servers = [cast("TimedServer", node.server) for node in self.servers]
        return [run for s in servers for run in s.timed_runs if attempt in ("", run.attempt)]

    def find_faults(self, replies: list[Reply]) -> list[str]:
        """Return the requests that were lost, and the refusals that are not true."""
        faults = []
        for reply in replies:
            runs = self.list_runs(reply.attempt)
            after_s = reply.sent_at - self.signalled_at
            if isinstance(reply.verdict, NotRun) and runs:
                faults.append(f"refused and run: {reply}")
            if reply.verdict is None and not runs and reply.took_s > 0.2:
                faults.append(f"cut unsent after {reply.took_s:.2f} s: {reply}")
            excused = after_s <= LATE_SENT_S and all(
                run.ended_at >= self.signalled_at + LAST_SIXTH * self.stop_s - POLL_S
                for run in runs
            )
            if reply.verdict is None and runs and not excused:
                faults.append(f"cut while it ran, sent {after_s:.2f} s after the signal: {reply}")
        return faults
