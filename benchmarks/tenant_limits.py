"""Compares ways to keep a tenant's limit at all daemons, in virtual time.

Run: python -m benchmarks.tenant_limits

The tenant asks at ten daemons of a site, at some rate relative to its limit. Reported are the
requests refused, the largest number admitted in 5 s relative to what the limit allows in 5 s, and
messages and bytes for each of the tenant's requests.
"""

from __future__ import annotations

import asyncio
import random

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.shared_rate import RateLimit
from persimmondock.tests.virtual_rates import SETTLE_S, RateSite, count_most_in_window
from persimmondock.tests.virtual_time import run_in_virtual_time

LIMIT = RateLimit(40.0, 40.0)
FRONTS = 10
WINDOW_S = 5.0
PLAY_S = 20.0
SIZES = (14, 78)  # of holders; a larger site has the same holders and fronts of a tenant
STATIC_SIZES = (14, 78, 15_000)
LOADS = (0.6, 0.95, 4.7)


def play_holders(daemons: int, load: float) -> str:
    """Return the figures of three holders that lend tokens."""

    async def run() -> RateSite:
        site = RateSite(daemons, LIMIT)
        await asyncio.sleep(SETTLE_S)
        await site.load(load * LIMIT.rate_per_s, PLAY_S, list(site.nodes)[:FRONTS])
        await asyncio.sleep(1.0)
        site.close()
        return site

    site = run_in_virtual_time(run())
    refused = 1 - len(site.list_admitted()) / len(site.asks)
    return format_row(
        "holders",
        daemons,
        load,
        refused,
        site.list_admitted(),
        f"{site.messages / len(site.asks):.2f} | {site.message_bytes / len(site.asks):.0f}",
    )


def play_static(daemons: int, load: float) -> str:
    """Return the figures of equal parts that daemons keep to themselves."""
    generator = random.Random(1)
    rate, burst = LIMIT.rate_per_s / daemons, max(1.0, LIMIT.burst / daemons)
    levels, settled_at = [burst] * FRONTS, [0.0] * FRONTS
    now, asked, admitted = 0.0, 0, []
    while now < PLAY_S:
        now += generator.expovariate(load * LIMIT.rate_per_s)
        front = generator.randrange(FRONTS)
        levels[front] = min(burst, levels[front] + rate * (now - settled_at[front]))
        settled_at[front] = now
        asked += 1
        if levels[front] >= 1.0:
            levels[front] -= 1.0
            admitted.append(now)
    return format_row("equal parts", daemons, load, 1 - len(admitted) / asked, admitted, "0 | 0")


def format_row(
    way: str, daemons: int, load: float, refused: float, admitted: list[float], cost: str
) -> str:
    """Return a row of a Markdown table."""
    allowed = LIMIT.rate_per_s * WINDOW_S + LIMIT.burst
    most = count_most_in_window(admitted, WINDOW_S) / allowed
    return f"| {way} | {daemons:,} | {load:g} | {100 * refused:.1f}% | {most:.2f} | {cost} |"


def main() -> None:
    """Print the table."""
    started_at = read_clock()
    print("| Way | Daemons | Asked / limit | Refused | Most in 5 s | Questions | Bytes |")
    print("|---|---|---|---|---|---|---|")
    for load in LOADS:
        for daemons in STATIC_SIZES:
            print(play_static(daemons, load))
        for daemons in SIZES:
            print(play_holders(daemons, load))
    print(f"\n{read_clock() - started_at:.0f} s")


if __name__ == "__main__":
    main()
