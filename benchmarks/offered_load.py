"""Open-loop load of GET requests at one rate, for the scenarios of the front."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from typing import TYPE_CHECKING

import aiohttp
import attrs
import numpy as np

if TYPE_CHECKING:
    from collections.abc import Sequence

CALL_TIMEOUT_S = 6.0


@attrs.frozen
class Outcome:
    """Outcome of one request.

    Parameters
    ----------
    sent_at
        Unix time in seconds at which the request was due.
    latency_s
        Seconds from then until the request had ended.
    verdict
        ``none`` for a response without a verdict, ``no_answer`` without a response.
    """

    sent_at: float
    latency_s: float
    verdict: str
    reason: str


@attrs.define
class OfferedLoad:
    """Sends requests at a fixed rate, whether or not earlier ones have ended."""

    addresses: Sequence[str]
    rate_per_s: float
    paths: Sequence[str]
    headers: dict[str, str] = attrs.field(factory=dict)
    outcomes: list[Outcome] = attrs.field(factory=list)
    _random: random.Random = attrs.field(factory=lambda: random.Random(7))

    async def run(self, duration_s: float) -> None:
        """Send requests for ``duration_s`` seconds and wait for all of them to end."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
            started_at = time.time()
            tasks = []
            for number in range(int(duration_s * self.rate_per_s)):
                due_at = started_at + number / self.rate_per_s
                await asyncio.sleep(max(0.0, due_at - time.time()))
                tasks.append(asyncio.create_task(self._send(session, due_at)))
            await asyncio.gather(*tasks)

    async def _send(self, session: aiohttp.ClientSession, due_at: float) -> None:
        url = f"http://{self._random.choice(self.addresses)}{self._random.choice(self.paths)}"
        verdict, reason = "no_answer", ""
        try:
            async with session.get(url, headers=self.headers) as response:
                await response.read()
                verdict = response.headers.get("Persimmondock-Verdict", "none")
                reason = response.headers.get("Persimmondock-Reason", "")
        except (TimeoutError, aiohttp.ClientError):
            pass
        self.outcomes.append(Outcome(due_at, time.time() - due_at, verdict, reason))

    def count_verdicts(self, since: float = 0.0, until: float = 1e12) -> dict[str, int]:
        """Return how many requests ended with each verdict and reason."""
        names = (
            f"{outcome.verdict}/{outcome.reason}" if outcome.reason else outcome.verdict
            for outcome in self.outcomes
            if since <= outcome.sent_at < until
        )
        return dict(Counter(names).most_common())

    def compute_quantiles_ms(
        self, quantiles: Sequence[float], since: float = 0.0, until: float = 1e12
    ) -> list[float]:
        """Return latency quantiles of the answered requests, in milliseconds."""
        latencies_ms = [
            outcome.latency_s * 1000
            for outcome in self.outcomes
            if outcome.verdict == "answered" and since <= outcome.sent_at < until
        ]
        return [round(float(value), 2) for value in np.quantile(latencies_ms, quantiles)]
