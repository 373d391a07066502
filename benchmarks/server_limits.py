"""Backend servers that name a limit in their answers, in virtual time.

``python -m benchmarks.server_limits`` prints the table of docs/results.md. A third of a service's
six backend servers asks for a tenth of what it can answer. Callers offer half of what all of them
can answer, and send refused requests again when the refusal says so. Dispatchers and gates are the
production code; links, backend servers and callers are imitated.
"""

from __future__ import annotations

import asyncio
from collections import Counter

import attrs
import numpy as np
from loguru import logger

from persimmondock._adapters.clock import read_clock
from persimmondock.tests.virtual_site import VirtualSite, count_arrivals
from persimmondock.tests.virtual_time import run_in_virtual_time

SERVERS, LIMITED = 6, 2
SLOTS, WORK_S = 12, 0.12
LIMIT_PER_S = 0.1 * SLOTS / WORK_S
OFFERED_PER_S = 0.5 * SERVERS * SLOTS / WORK_S
NAMED_AT_S, BINDING_AFTER_S, DURATION_S = 4.0, 3.0, 24.0
WINDOW_S = 4.0
PRIORITIES = (0, 1, 2)
FAULTS = ("none", "gate restarted", "gate frozen", "links cut")


@attrs.define
class Result:
    """What one run showed, from when the limit bound on.

    Parameters
    ----------
    max_ratio
        Most arrivals in a window at a limited backend server, over what its limit allows.
    used_share
        Arrivals at the limited backend servers over what their limits allow in the whole time.
    served, refused
        Requests by priority.
    p99_ms
        Latency of the answered requests, from the first sending.
    wave
        Most refused callers that returned within 0.1 s, over the mean of all such spans.
    """

    max_ratio: float
    used_share: float
    served: Counter[int]
    refused: Counter[int]
    p99_ms: float
    wave: float


async def _run(keyed: bool, fault: str) -> Result:
    site = VirtualSite(SERVERS, 4, SLOTS, WORK_S, keyed, retries=2)
    await site.start()
    started_at = read_clock()
    offers = [
        asyncio.create_task(site.offer(OFFERED_PER_S / len(PRIORITIES), DURATION_S, priority=p))
        for p in PRIORITIES
    ]
    await asyncio.sleep(NAMED_AT_S)
    limited = site.servers[:LIMITED]
    for node in limited:
        node.server.limit = str(LIMIT_PER_S)
    binding_at = read_clock() + BINDING_AFTER_S
    for at_s in (4.0, 4.0, 4.0) if fault != "none" else ():
        await asyncio.sleep(at_s)
        match fault:
            case "gate restarted":
                await asyncio.gather(*(site.restart(node, 0.6) for node in limited))
            case "gate frozen":
                await asyncio.gather(*(site.freeze(node, 1.0) for node in limited))
            case "links cut":
                await asyncio.gather(
                    *(site.cut(node, front, 1.0) for node in limited for front in site.fronts[:2])
                )
    await asyncio.gather(*offers)
    ended_at = started_at + DURATION_S
    await site.close()
    allowed = WINDOW_S * LIMIT_PER_S
    arrived = sum(binding_at <= a.at < ended_at for n in limited for a in n.server.arrivals)
    counted = [outcome for outcome in site.outcomes if outcome.sent_at >= binding_at]
    returns = Counter(int(10 * at) for at in site.returns_at if binding_at <= at < ended_at)
    return Result(
        max(count_arrivals(node.server, binding_at) for node in limited) / allowed,
        arrived / (LIMITED * LIMIT_PER_S * (ended_at - binding_at)),
        Counter(o.priority for o in counted if o.verdict == "answered"),
        Counter(o.priority for o in counted if o.verdict != "answered"),
        float(
            np.quantile(
                [1000 * (o.ended_at - o.sent_at) for o in counted if o.verdict == "answered"], 0.99
            )
        ),
        (
            max(returns.values()) / (sum(returns.values()) / (10 * (ended_at - binding_at)))
            if returns
            else 0.0
        ),
    )


def run_case(keyed: bool, fault: str) -> Result:
    """Return the result of one run."""
    return run_in_virtual_time(_run(keyed, fault))


class ServerLimits:
    """Arrivals at limited backend servers, by kind of service and fault."""

    params = ((False, True), FAULTS)
    param_names = ("keyed", "fault")

    def track_max_ratio(self, keyed: bool, fault: str) -> float:
        """Return the most arrivals in a window, over what the limit allows."""
        return run_case(keyed, fault).max_ratio


def main() -> None:
    """Print the table."""
    logger.remove()
    print("service | fault | arrivals in 4 s, max | used | served | refused | p99 ms | wave")
    for keyed in (False, True):
        for fault in FAULTS:
            result = run_case(keyed, fault)
            served = ", ".join(str(result.served[p]) for p in PRIORITIES)
            refused = ", ".join(str(result.refused[p]) for p in PRIORITIES)
            print(
                f"{'keyed' if keyed else 'plain'} | {fault} | {result.max_ratio:.2f} of allowed | "
                f"{result.used_share:.2f} | {served} | {refused} | {result.p99_ms:.0f} | "
                f"{result.wave:.1f}"
            )


if __name__ == "__main__":
    main()
