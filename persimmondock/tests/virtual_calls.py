"""Backend servers that call another service while they run requests, in virtual time.

The fronts of `VirtualSite` have backend servers of their own here, which callers ask for and which
call the other service through the daemons beside them.
"""

from __future__ import annotations

import asyncio
import bisect
import random
from collections import Counter
from collections.abc import Callable

import attrs

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.assignment import KEY_COUNT
from persimmondock._domain.backend_notice import BackendNotice
from persimmondock._domain.forwarding import NO_KEY, ForwardedRequest
from persimmondock._domain.site import SiteBounds
from persimmondock._domain.verdict import Answer, Answered, Header, NotRun, Reason, Verdict
from persimmondock.tests.sites import SERVICE, make_forwarded, make_route
from persimmondock.tests.virtual_site import (
    CALLER_SERVICE,
    TIMEOUT_S,
    VirtualNode,
    VirtualServer,
    VirtualSite,
)

CALLED_WORK_S = 0.055
WORK_S = 0.2
REFUSAL_S = 0.002
CALL_OBJECTIVE_S = 0.2
OBJECTIVE_S = 0.8
CHECK_STEP_S = 0.1


@attrs.frozen
class CountedArrival:
    """A request that reached a backend server.

    Parameters
    ----------
    is_repeat
        Whether it counts against the retry budget: an arrival beyond the first of its request, or
        a call made by a run that was itself a repeat.
    """

    service: str
    at: float
    is_repeat: bool


@attrs.define
class CallingServer(VirtualServer):
    """A backend server that refuses or fails some requests and makes calls for others.

    Parameters
    ----------
    refused_share
        Share of the requests that are refused and not run.
    failed_share
        Share of the requests that are run and answered with 500.
    misdirected
        Whether requests are refused since the backend server is not the one that was named.
    """

    service: str = ""
    site: CallingSite | None = None
    node: VirtualNode | None = None
    refused_share: float = 0.0
    failed_share: float = 0.0
    misdirected: bool = False

    async def run(
        self,
        request: ForwardedRequest,
        instance: str,
        check: Callable[[], NotRun | None],
        record_notice: Callable[[BackendNotice], None],
    ) -> Verdict:
        """Run a request."""
        assert self.site is not None
        await asyncio.sleep(0)
        refusal = check()
        if refusal is not None:
            return refusal
        is_repeat = self.site.record_arrival(self.service, request.attempt)
        if self.misdirected or self.random.random() < self.refused_share:
            await asyncio.sleep(REFUSAL_S)
            reason = Reason.NOT_OWNER if self.misdirected else Reason.BACKEND_REFUSED
            return NotRun(reason, 200, arrived=True)
        await asyncio.sleep(self.work_s * self.random.uniform(0.7, 1.3))
        is_failed = self.random.random() < self.failed_share
        if self.service == CALLER_SERVICE:
            is_failed |= not await self._make_calls(request, is_repeat)
        fields = (Header("X-Server", self.name),)
        return Answered(Answer(500 if is_failed else 200, fields, b"done"))

    async def _make_calls(self, request: ForwardedRequest, is_repeat: bool) -> bool:
        """Make the calls of a request one after the other; return whether all were answered."""
        assert self.site is not None
        assert self.node is not None
        for _ in range(self.site.count_calls(request.attempt)):
            verdict = await self.site.ask(
                self.node, SERVICE, "roster", CALL_OBJECTIVE_S, request.deadline, is_repeat
            )
            if not isinstance(verdict, Answered) or verdict.answer.status >= 500:
                return False
        return True


class CallingSite(VirtualSite):
    """Fronts whose backend servers call the servers of another service.

    Parameters
    ----------
    calls
        Calls that a run makes, if it makes any.
    calling_share
        Share of the requests whose runs make calls.

    Attributes
    ----------
    answered, sent
        Requests of callers by service, without calls.
    """

    def __init__(
        self,
        servers: int = 8,
        fronts: int = 8,
        slots: int = 12,
        keyed: bool = False,
        calls: int = 2,
        calling_share: float = 0.7,
        bounds: SiteBounds = SiteBounds(retry_slack=24.0, retry_window_s=5.0),  # noqa: B008
        seed: int = 1,
    ) -> None:
        super().__init__(
            servers=servers, fronts=fronts, slots=slots, keyed=keyed, bounds=bounds, seed=seed
        )
        self._calls = calls
        self._calling_share = calling_share
        self.sent: Counter[str] = Counter()
        self.answered: Counter[str] = Counter()
        self.arrivals: list[CountedArrival] = []
        self.requests: list[tuple[str, float]] = []
        self._arrived: set[str] = set()
        self._inherited: set[str] = set()
        for service, nodes, work_s in (
            (SERVICE, self.servers, CALLED_WORK_S),
            (CALLER_SERVICE, self.fronts, WORK_S),
        ):
            for number, node in enumerate(nodes):
                node.server = CallingServer(
                    name=node.name,
                    work_s=work_s,
                    service=service,
                    site=self,
                    node=node,
                    random=random.Random(f"{seed} {service} {number}"),
                )

    def count_calls(self, attempt: str) -> int:
        """Return how many calls each run of a request makes."""
        makes_calls = random.Random(attempt).random() < self._calling_share
        return self._calls if makes_calls else 0

    def record_arrival(self, service: str, attempt: str) -> bool:
        """Record that a request reached a backend server; return whether it had done so before."""
        is_known = attempt in self._arrived
        self._arrived.add(attempt)
        counts = is_known or attempt in self._inherited
        self.arrivals.append(CountedArrival(service, read_clock(), counts))
        return is_known

    async def ask(
        self,
        node: VirtualNode,
        service: str,
        route: str,
        objective_s: float,
        deadline: float,
        is_inherited: bool = False,
    ) -> Verdict:
        """Send a request or a call to the daemon of a VM; return its verdict."""
        self._number += 1
        sent_at = read_clock()
        attempt = f"{node.name}/{self._number}/{sent_at}"
        self.requests.append((service, sent_at))
        if is_inherited:
            self._inherited.add(attempt)
        process = node.process
        if process is None:
            return NotRun(Reason.PEER_UNREACHABLE)
        request = make_forwarded(
            sent_at,
            attempt=attempt,
            service=service,
            route=route,
            key=self.random.randrange(KEY_COUNT) if self.keyed else NO_KEY,
            deadline=deadline,
            objective_at=sent_at + objective_s,
        )
        policy = make_route(objective_s=objective_s, max_attempts=3)
        task = process.start(process.dispatcher.dispatch(request, policy))
        try:
            return await task
        except asyncio.CancelledError:
            return NotRun(Reason.CANCELLED)

    async def offer_requests(self, service: str, route: str, per_s: float, for_s: float) -> None:
        """Send requests of callers at random instants to random VMs."""
        until = read_clock() + for_s
        while read_clock() < until:
            node = self.random.choice(self.nodes)
            task = asyncio.create_task(self._request(node, service, route))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self.random.expovariate(per_s))

    async def _request(self, node: VirtualNode, service: str, route: str) -> None:
        self.sent[service] += 1
        deadline = read_clock() + TIMEOUT_S
        verdict = await self.ask(node, service, route, OBJECTIVE_S, deadline)
        self.answered[service] += isinstance(verdict, Answered) and verdict.answer.status < 500

    def set_refused_share(self, share: float) -> None:
        """Let the servers of the called service refuse a share of what arrives."""
        for node in self.servers:
            assert isinstance(node.server, CallingServer)
            node.server.refused_share = share

    def set_failed_share(self, share: float) -> None:
        """Let the servers that make calls fail a share of their requests by themselves."""
        for node in self.fronts:
            assert isinstance(node.server, CallingServer)
            node.server.failed_share = share


def compute_budget_use(site: CallingSite, service: str) -> float:
    """Return the largest share of the retry budget that was used in any window.

    Requests are counted in the window, the one before it, or the one half a window before it,
    whichever has most.
    """
    bounds = site.bounds
    requests = sorted(at for name, at in site.requests if name == service)
    repeats = sorted(a.at for a in site.arrivals if a.service == service and a.is_repeat)
    if not repeats:
        return 0.0

    def count(times: list[float], start: float) -> int:
        end = start + bounds.retry_window_s
        return bisect.bisect_left(times, end) - bisect.bisect_left(times, start)

    shares = []
    start = repeats[0] - bounds.retry_window_s
    while start <= repeats[-1]:
        most = max(
            count(requests, start - share * bounds.retry_window_s) for share in (0.0, 0.5, 1.0)
        )
        shares.append(count(repeats, start) / (bounds.retry_ratio * most + bounds.retry_slack))
        start += CHECK_STEP_S
    return max(shares)
