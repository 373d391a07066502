"""The demo: a small fleet under mixed load loses a VM; the invariants are checked afterwards."""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from collections import Counter
from typing import TYPE_CHECKING

import aiohttp
import attrs

from persimmondock._adapters.log_client import HttpLog
from persimmondock._domain.slices import find_slice
from persimmondock._domain.view import Accepted
from persimmondock._tasks.publisher import publish
from persimmondock.configuration import Configuration, Urgency
from persimmondock.standins.checks import find_false_refusals, find_overlaps, find_repeated_runs
from persimmondock.standins.fleet import Fleet, FleetError, VmPlan

if TYPE_CHECKING:
    from collections.abc import Callable

SEED = 20
SLICES = 64
CALLER_COUNT = 24
KEY_COUNT = 200
MAX_ATTEMPTS = 8
RETRY_DELAY_S = 0.3
CALL_TIMEOUT_S = 6.0
PUBLISH_TIMEOUT_S = 10.0
RECOVERY_BOUND_S = 3.0
LOST_VM = 1
KILL_AFTER_SHARE = 0.4  # of the requests
FAILURE_DOMAINS = ("recife", "fortaleza", "salvador")
VERDICT_HEADER = "Persimmondock-Verdict"
SERVICES = ("painel", "preview", "dispatch", "auditoria")
KEYED_SERVICES = ("painel", "preview")
NON_IDEMPOTENT_SUFFIX = "/assign"


def build_configuration() -> Configuration:
    """Return two services with keys and two without."""
    assign = {"suffix": NON_IDEMPOTENT_SUFFIX, "idempotent": False}
    configuration = Configuration()
    for name in SERVICES:
        urgency = Urgency.MAY_WAIT if name == "auditoria" else Urgency.MUST_ANSWER_FAST
        configuration.add_service(
            name,
            path=f"/{name}",
            keyed=name in KEYED_SERVICES,
            slices=SLICES,
            urgency=urgency,
            routes=[assign],
        )
    return configuration


def build_plans() -> list[VmPlan]:
    """Return nine VMs over three failure domains."""
    services = ["painel"] * 3 + ["preview"] * 2 + ["dispatch"] * 2 + ["auditoria"] * 2
    return [
        VmPlan(number, FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)], service)
        for number, service in enumerate(services, start=1)
    ]


@attrs.define
class CallerResults:
    """Results of the callers' requests.

    Parameters
    ----------
    not_run
        Identifiers of requests that were never answered and whose last verdict was ``not_run``.
    answered_at
        Time of the first answer after the loss of the VM, for each of its slices, in Unix seconds.
    """

    verdicts: Counter[str] = attrs.field(factory=Counter)
    reasons: Counter[str] = attrs.field(factory=Counter)
    wrong_answers: int = 0
    not_run: set[str] = attrs.field(factory=set)
    answered: set[str] = attrs.field(factory=set)
    answered_at: dict[int, float] = attrs.field(factory=dict)
    sent: int = 0


@attrs.define
class Demo:
    """One run of the demo.

    Parameters
    ----------
    requests
        Number of requests to send.
    killed_at
        Time at which the VM was killed, in Unix seconds.
    lost_slices
        Slices of the service painel that the killed VM owned.
    """

    fleet: Fleet
    session: aiohttp.ClientSession
    requests: int
    random: random.Random = attrs.field(factory=lambda: random.Random(SEED))
    results: CallerResults = attrs.field(factory=CallerResults)
    killed_at: float = 0.0
    lost_slices: set[int] = attrs.field(factory=set)

    async def send_all(self) -> None:
        """Send all requests from concurrent callers; kill a VM after a share of them."""
        callers = [asyncio.create_task(self._run_caller()) for _ in range(CALLER_COUNT)]
        while self.results.sent < self.requests * KILL_AFTER_SHARE:
            await asyncio.sleep(0.01)
        self.killed_at = time.time()
        self.fleet.kill_vm(LOST_VM)
        probes = [asyncio.create_task(self._probe(index)) for index in self.lost_slices]
        await asyncio.gather(*callers, *probes)

    async def _run_caller(self) -> None:
        while self.results.sent < self.requests:
            self.results.sent += 1
            service = self.random.choice(SERVICES)
            key = f"key-{self.random.randrange(KEY_COUNT)}"
            protected = self.random.random() < 0.3
            suffix = NON_IDEMPOTENT_SUFFIX if protected else "/show"
            await self._send_with_retries(f"/{service}/{key}{suffix}", protected)

    async def _send_with_retries(self, path: str, protected: bool) -> None:
        """Send a request; retry with the same identifier while it is refused or unreachable."""
        request_id = uuid.UUID(int=self.random.getrandbits(128)).hex if protected else ""
        for attempt in range(MAX_ATTEMPTS):
            headers = {"Idempotency-Key": request_id} if protected else {}
            if protected and attempt == 0:
                headers["Persimmondock-First-Attempt"] = "true"
            verdict = await self._send_once("POST", path, headers)
            if verdict == "answered":
                self.results.answered.add(request_id)
            if verdict not in ("not_run", "unreachable"):
                break
            await asyncio.sleep(RETRY_DELAY_S)
        self.results.verdicts[verdict] += 1
        if protected and verdict == "not_run" and request_id not in self.results.answered:
            self.results.not_run.add(request_id)

    async def _send_once(self, method: str, path: str, headers: dict[str, str]) -> str:
        number = self.random.choice(list(self.fleet.plans))
        url = f"http://{self.fleet.find_caller_address(number)}{path}"
        try:
            async with self.session.request(method, url, headers=headers) as response:
                verdict = response.headers.get(VERDICT_HEADER, "none")
                if verdict == "answered":
                    await self._check_answer(response, path, headers)
                else:
                    self.results.reasons[response.headers.get("Persimmondock-Reason", "")] += 1
                return verdict
        except aiohttp.ClientConnectorError:
            return "unreachable"
        except (TimeoutError, aiohttp.ClientError):
            return "no_answer"

    async def _check_answer(
        self, response: aiohttp.ClientResponse, path: str, headers: dict[str, str]
    ) -> None:
        body = await response.json()
        expected = (path, headers.get("Idempotency-Key", ""))
        if (body["path"], body["request_id"]) != expected:
            self.results.wrong_answers += 1

    async def _probe(self, index: int) -> None:
        """Request a key of a lost slice until another VM answers, for up to 20 seconds."""
        key = next(k for k in (f"probe-{n}" for n in range(100_000)) if _is_in_slice(k, index))
        while index not in self.results.answered_at:
            headers = {"Persimmondock-Deadline": str(int(time.time() * 1000) + 300)}
            number = self.random.choice([n for n in self.fleet.plans if n != LOST_VM])
            url = f"http://{self.fleet.find_caller_address(number)}/painel/{key}/show"
            async with self.session.get(url, headers=headers) as response:
                if response.headers.get(VERDICT_HEADER) == "answered":
                    self.results.answered_at[index] = time.time()
            if time.time() > self.killed_at + 20.0:
                return
            await asyncio.sleep(0.02)


def _is_in_slice(key: str, index: int) -> bool:
    return find_slice(key, SLICES) == index


async def run_demo(requests: int, show: Callable[[str], None]) -> int:
    """Run the demo and print its table; return 0 if every invariant held, otherwise 1."""
    fleet = Fleet(build_plans())
    try:
        await fleet.start()
        return await _run(fleet, requests, show)
    except FleetError as error:
        show(str(error))
        return 1
    finally:
        await fleet.stop()


async def _run(fleet: Fleet, requests: int, show: Callable[[str], None]) -> int:
    outcome = await publish(
        HttpLog(fleet.log_address, fleet.session), build_configuration(), "demo", PUBLISH_TIMEOUT_S
    )
    assert isinstance(outcome, Accepted), outcome
    await fleet.wait_until_placed(SERVICES, list(fleet.plans))
    before = await _count_slices(fleet, 2)  # a VM that is not killed
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        demo = Demo(fleet, session, requests)
        demo.lost_slices = await _list_owned_slices(fleet, LOST_VM)
        await demo.send_all()
    after = await _count_slices(fleet, 2)
    return _report(demo, before, after, show)


async def _list_owned_slices(fleet: Fleet, number: int) -> set[int]:
    """Return the slices of the service painel that a VM's backend server owns."""
    state = await fleet.dump(number)
    return set(state["services"]["painel"]["backends"][f"backend-{number}"]["owned"])


async def _count_slices(fleet: Fleet, number: int) -> dict[str, int]:
    """Return each backend server's number of slices of the service painel, from a VM's dump."""
    state = await fleet.dump(number)
    backends = state["services"]["painel"]["backends"]
    return {name: backend["slices"] for name, backend in backends.items()}


def _report(
    demo: Demo, before: dict[str, int], after: dict[str, int], show: Callable[[str], None]
) -> int:
    """Print the table; return 0 if every invariant held, otherwise 1."""
    results = demo.results
    runs = demo.fleet.read_journals()
    service_of = {f"backend-{n}": plan.service for n, plan in demo.fleet.plans.items()}
    repeated = find_repeated_runs(runs)
    false_refusals = find_false_refusals(runs, results.not_run)
    overlaps = find_overlaps(runs, service_of)
    served_again = [at - demo.killed_at for at in results.answered_at.values()]
    unserved = demo.lost_slices - set(results.answered_at)
    slowest_s = max(served_again, default=0.0)
    show(f"requests by verdict         {dict(sorted(results.verdicts.items()))}")
    show(f"refusals by reason          {dict(sorted(results.reasons.items()))}")
    show(f"slices of painel before     {before}")
    show(f"slices of painel after      {after}")
    show(f"lost slices served again    {len(served_again)} of {len(demo.lost_slices)}")
    show(f"seconds until served again  {slowest_s:.2f} (bound {RECOVERY_BOUND_S:.2f})")
    show(f"non-idempotent run twice    {len(repeated)}")
    show(f"refused as not run, had run {len(false_refusals)}")
    show(f"wrong answers               {results.wrong_answers}")
    show(f"slices with two owners      {len(overlaps)}")
    broken = repeated or false_refusals or results.wrong_answers or overlaps or unserved
    if broken or slowest_s > RECOVERY_BOUND_S:
        show("an invariant is broken")
        return 1
    show("all invariants hold")
    return 0
