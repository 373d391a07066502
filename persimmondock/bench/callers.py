"""Open-loop callers: each request is sent at its intended time, regardless of the others."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING

import aiohttp
import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock.bench.offered import Offer

VERDICT_HEADER = "Persimmondock-Verdict"
REASON_HEADER = "Persimmondock-Reason"
RETRY_AFTER_HEADER = "Persimmondock-Retry-After-Ms"
FIRST_ATTEMPT_HEADER = "Persimmondock-First-Attempt"
REQUEST_ID_HEADER = "Idempotency-Key"
DEFAULT_RETRY_DELAY_S = 0.3
RETRY_WINDOW_S = 6.0  # after the intended time of a request
MAX_UNKNOWN_ATTEMPTS = 3  # attempts that may have run; after one more the caller gives up
ANSWERED = "answered"
NOT_RUN = "not_run"
UNREACHABLE = "unreachable"
NO_ANSWER = "no_answer"


@attrs.define
class Outcome:
    """The result of a request as its caller sees it.

    Parameters
    ----------
    ended_at_s
        Time of the last verdict, in seconds after the start of the load.
    wrong
        Whether an answer belongs to another request or differs from the answer to a duplicate.
    surely_not_run
        Whether no attempt can have run: the last was refused as not run, and each earlier one
        was refused as not run or could not connect.
    """

    offer: Offer
    verdict: str
    reason: str
    attempts: int
    ended_at_s: float
    body: bytes = b""
    wrong: bool = False
    surely_not_run: bool = False

    @property
    def latency_s(self) -> float:
        """Seconds from the intended send time to the last verdict."""
        return self.ended_at_s - self.offer.at_s


@attrs.frozen
class _Attempt:
    verdict: str
    reason: str = ""
    retry_delay_s: float = DEFAULT_RETRY_DELAY_S
    body: bytes = b""
    wrong: bool = False


class Callers:
    """Sends the offered requests.

    Parameters
    ----------
    list_caller_addresses
        Returns ``host:port`` of the daemons to which requests may be sent now.
    """

    def __init__(
        self, session: aiohttp.ClientSession, list_caller_addresses: Callable[[], list[str]]
    ):
        self._session = session
        self._list_caller_addresses = list_caller_addresses
        self._started_at = 0.0

    async def send_all(self, offers: list[Offer]) -> list[Outcome]:
        """Send every request at its intended time and return the outcomes."""
        self._started_at = time.monotonic()
        tasks = []
        for offer in offers:
            delay = self._started_at + offer.at_s - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            tasks.append(asyncio.create_task(self._send(offer)))
        return await asyncio.gather(*tasks)

    async def _send(self, offer: Offer) -> Outcome:
        """Send a request, and its duplicate if it has one, which must get the same answer."""
        if not offer.duplicated:
            return await self._send_until_answered(offer, first=True)
        outcome, duplicate = await asyncio.gather(
            self._send_until_answered(offer, first=False),
            self._send_until_answered(attrs.evolve(offer, front=offer.front + 1), first=False),
        )
        bodies = {item.body for item in (outcome, duplicate) if item.verdict == ANSWERED}
        outcome.wrong = outcome.wrong or duplicate.wrong or len(bodies) > 1
        outcome.surely_not_run = outcome.surely_not_run and duplicate.surely_not_run
        return outcome

    async def _send_until_answered(self, offer: Offer, first: bool) -> Outcome:
        """Send a request, and retry it after each refusal's delay, until answered or given up.

        ``first`` tells whether the first attempt is marked as such. A request with a duplicate
        isn't marked: either copy may arrive first.
        """
        attempts = 0
        unknown_attempts = 0
        while True:
            attempts += 1
            attempt = await self._send_once(offer, attempts, first and attempts == 1)
            now_s = time.monotonic() - self._started_at
            unknown_attempts += attempt.verdict not in (ANSWERED, NOT_RUN, UNREACHABLE)
            retry_window_over = now_s + attempt.retry_delay_s > offer.at_s + RETRY_WINDOW_S
            if (
                attempt.verdict == ANSWERED
                or unknown_attempts > MAX_UNKNOWN_ATTEMPTS
                or retry_window_over
            ):
                return Outcome(
                    offer=offer,
                    verdict=attempt.verdict,
                    reason=attempt.reason,
                    attempts=attempts,
                    ended_at_s=now_s,
                    body=attempt.body,
                    wrong=attempt.wrong,
                    surely_not_run=attempt.verdict == NOT_RUN and not unknown_attempts,
                )
            await asyncio.sleep(attempt.retry_delay_s)

    async def _send_once(self, offer: Offer, attempts: int, first: bool) -> _Attempt:
        addresses = self._list_caller_addresses()
        url = f"http://{addresses[(offer.front + attempts) % len(addresses)]}{offer.path}"
        try:
            async with self._session.post(url, headers=_build_headers(offer, first)) as response:
                return await _read_attempt(response, offer)
        except aiohttp.ClientConnectorError:
            return _Attempt(UNREACHABLE)
        except (TimeoutError, aiohttp.ClientError):
            return _Attempt(NO_ANSWER)


def _build_headers(offer: Offer, first: bool) -> dict[str, str]:
    if not offer.request_id:
        return {}
    headers = {REQUEST_ID_HEADER: offer.request_id}
    if first:
        headers[FIRST_ATTEMPT_HEADER] = "true"
    return headers


async def _read_attempt(response: aiohttp.ClientResponse, offer: Offer) -> _Attempt:
    verdict = response.headers.get(VERDICT_HEADER, "none")
    if verdict != ANSWERED:
        retry_delay_s = (
            float(response.headers.get(RETRY_AFTER_HEADER, DEFAULT_RETRY_DELAY_S * 1000)) / 1000
        )
        return _Attempt(verdict, response.headers.get(REASON_HEADER, ""), retry_delay_s)
    body = await response.read()
    answer = json.loads(body)
    wrong = (answer["path"], answer["request_id"]) != (offer.path, offer.request_id)
    return _Attempt(verdict, body=body, wrong=wrong)
