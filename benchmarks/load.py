"""Open-loop load of request streams with deadlines on a fleet, for the scenarios of the gate."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections import Counter
from typing import TYPE_CHECKING

import aiohttp
import attrs
import numpy as np

from persimmondock._adapters.log_client import HttpLog
from persimmondock._domain.slices import find_slice
from persimmondock._domain.view import Accepted
from persimmondock._tasks.publisher import publish

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from persimmondock.configuration import Configuration
    from persimmondock.standins.fleet import Fleet, JournalRun

VERDICT_HEADER = "Persimmondock-Verdict"
REASON_HEADER = "Persimmondock-Reason"
DEADLINE_HEADER = "Persimmondock-Deadline"
PUBLISH_TIMEOUT_S = 10.0
CALLER_TIMEOUT_S = 15.0
SLICES = 64


@attrs.frozen
class Stream:
    """Requests of one kind at a steady rate.

    Parameters
    ----------
    path
        Path with ``{key}`` where a random key goes.
    rate
        Requests per second, whether or not earlier ones were answered.
    deadline_s
        Time from sending to the deadline of a request, in seconds.
    keys
        Keys to choose from.
    """

    name: str
    path: str
    rate: float
    deadline_s: float
    keys: tuple[str, ...] = tuple(f"key-{number}" for number in range(200))


@attrs.frozen
class Sample:
    """Result of one request at its caller.

    Parameters
    ----------
    path
        Identifies the request in the journals if it was made unique.
    sent_at
        Unix time in seconds.
    verdict
        ``none`` for a response without a verdict, ``no_answer`` without a response.
    reason
        Reason of the verdict, or the type of the error without a response.
    """

    stream: str
    path: str
    sent_at: float
    latency_s: float
    verdict: str
    reason: str


@attrs.define
class Load:
    """Sends streams to random daemons of a fleet.

    Parameters
    ----------
    vm_numbers
        VMs whose daemons get requests.
    """

    fleet: Fleet
    session: aiohttp.ClientSession
    vm_numbers: Sequence[int]
    samples: list[Sample] = attrs.field(factory=list)
    _random: random.Random = attrs.field(factory=lambda: random.Random(7))
    _sent: int = 0

    async def send_streams(
        self,
        streams: Iterable[Stream],
        duration_s: float,
        headers: dict[str, str] | None = None,
        unique_path: bool = True,
    ) -> None:
        """Send all streams for ``duration_s`` seconds and wait for all requests to end."""
        await asyncio.gather(
            *(self._send_stream(s, duration_s, headers, unique_path) for s in streams)
        )

    async def _send_stream(
        self, stream: Stream, duration_s: float, headers: dict[str, str] | None, unique_path: bool
    ) -> None:
        start = time.monotonic()
        calls = []
        for index in range(int(stream.rate * duration_s)):
            due = start + index / stream.rate
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            calls.append(asyncio.create_task(self.send(stream, headers, unique_path)))
        await asyncio.gather(*calls)

    async def send(
        self, stream: Stream, headers: dict[str, str] | None = None, unique_path: bool = True
    ) -> Sample:
        """Send one request and record its result.

        ``unique_path`` adds a number to the path, which identifies the request in the journals.
        """
        self._sent += 1
        key = self._random.choice(stream.keys)
        path = stream.path.format(key=key) + (f"?n={self._sent}" if unique_path else "")
        number = self._random.choice(list(self.vm_numbers))
        sent_at = time.time()
        request_headers = {
            DEADLINE_HEADER: str(int((sent_at + stream.deadline_s) * 1000)),
            **(headers or {}),
        }
        verdict, reason = await self._post(number, path, request_headers)
        sample = Sample(stream.name, path, sent_at, time.time() - sent_at, verdict, reason)
        self.samples.append(sample)
        return sample

    async def _post(self, number: int, path: str, headers: dict[str, str]) -> tuple[str, str]:
        url = f"http://{self.fleet.find_caller_address(number)}{path}"
        try:
            async with self.session.post(url, headers=headers) as response:
                await response.read()
                return (
                    response.headers.get(VERDICT_HEADER, "none"),
                    response.headers.get(REASON_HEADER, ""),
                )
        except (TimeoutError, aiohttp.ClientError) as error:
            return "no_answer", type(error).__name__


async def find_keys(fleet: Fleet, number: int, count: int = 50) -> tuple[str, ...]:
    """Return keys that a VM's backend server owns."""
    state = await fleet.dump(number)
    service_state = state["services"][fleet.plans[number].service]
    owned = set(service_state["backends"][f"backend-{number}"]["owned"])
    keys = (f"key-{index}" for index in range(100_000))
    return tuple(itertools.islice((k for k in keys if find_slice(k, SLICES) in owned), count))


def open_session() -> aiohttp.ClientSession:
    """Return a session without a limit on connections."""
    return aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=CALLER_TIMEOUT_S),
        connector=aiohttp.TCPConnector(limit=0),
    )


async def publish_configuration(fleet: Fleet, configuration: Configuration) -> None:
    """Publish a configuration and check that it was accepted."""
    log = HttpLog(fleet.log_address, fleet.session)
    outcome = await publish(log, configuration, "benchmark", PUBLISH_TIMEOUT_S)
    assert isinstance(outcome, Accepted), outcome


def format_samples(samples: Sequence[Sample]) -> str:
    """Return counts and latency quantiles of samples as one line."""
    verdicts = Counter(sample.verdict for sample in samples)
    reasons = Counter(sample.reason for sample in samples if sample.reason)
    answered = [sample.latency_s for sample in samples if sample.verdict == "answered"]
    refused = [sample.latency_s for sample in samples if sample.verdict == "not_run"]
    return (
        f"sent={len(samples)} verdicts={dict(verdicts)} reasons={dict(reasons)} "
        f"answered_ms={_format_quantiles(answered)} refused_ms={_format_quantiles(refused)}"
    )


def _format_quantiles(latencies_s: list[float]) -> str:
    """Return p50/p99/p99.9 in milliseconds, or ``-`` without values."""
    if not latencies_s:
        return "-"
    values = np.quantile(np.array(latencies_s) * 1000, [0.5, 0.99, 0.999])
    return "/".join(f"{value:.0f}" for value in values)


def count_false_refusals(samples: Iterable[Sample], runs: Iterable[JournalRun]) -> int:
    """Return how many requests were refused as not run although a journal contains them."""
    ran = {run.path for run in runs}
    return sum(sample.verdict == "not_run" and sample.path in ran for sample in samples)
