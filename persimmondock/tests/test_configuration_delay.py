"""Time until all daemons have a new configuration, in sites of the sizes that are in use.

The bound is the one that the operators set; sizes are those of failure domains.
"""

from __future__ import annotations

import asyncio

import pytest

from persimmondock._adapters.clock import read_clock
from persimmondock.tests.virtual_mesh import OPERATOR, VirtualMeshSite
from persimmondock.tests.virtual_time import run_in_virtual_time

FAULT_S = 30.0
SITES = [
    pytest.param((6, 4, 4), 2.0, 6, id="14 daemons"),
    pytest.param((29, 24, 25), 2.5, 2, id="78 daemons"),
    pytest.param((46, 37, 34, 41, 37), 3.0, 1, id="195 daemons"),
]


def measure_delays(
    sizes: tuple[int, ...], apply_s: float, count: int, failure_domain: str | None, fault: str
) -> list[float]:
    """Return the delays of changes that follow a fault of the readers at once.

    Parameters
    ----------
    count
        Number of changes, each in a site of its own and at another time after its start.
    failure_domain
        Where the readers are hit; None for all of them.
    fault
        Attribute of a daemon that names the end of the fault.
    """

    async def scenario(number: int) -> float:
        site = VirtualMeshSite(sizes, apply_s, seed=number)
        await site.run()
        await asyncio.sleep(1.0 + 0.17 * number)
        for daemon in site.list_readers(failure_domain):
            setattr(daemon, fault, read_clock() + FAULT_S)
        delay_s, _ = await site.measure_delay(FAULT_S)
        await site.stop()
        return delay_s

    return [run_in_virtual_time(scenario(number)) for number in range(count)]


@pytest.mark.parametrize(("sizes", "apply_s", "count"), SITES)
@pytest.mark.parametrize("failure_domain", ["domain-0", None], ids=["one domain", "all domains"])
def test_a_configuration_is_in_time_though_its_readers_stand_still(
    sizes: tuple[int, ...], apply_s: float, count: int, failure_domain: str | None
) -> None:
    """Guards against daemons that use an old configuration until readers count as lost."""
    delays = measure_delays(sizes, apply_s, count, failure_domain, "paused_until")
    assert max(delays) < apply_s


@pytest.mark.parametrize(("sizes", "apply_s", "count"), SITES)
@pytest.mark.parametrize("failure_domain", ["domain-0", None], ids=["one domain", "all domains"])
def test_a_configuration_is_in_time_though_waiting_reads_are_dead(
    sizes: tuple[int, ...], apply_s: float, count: int, failure_domain: str | None
) -> None:
    """Guards against readers that wait 20 s for an answer that does not come, while peers wait."""
    delays = measure_delays(sizes, apply_s, count, failure_domain, "unanswered_until")
    assert max(delays) < apply_s


@pytest.mark.parametrize(("sizes", "apply_s", "count"), SITES[:2])
def test_daemons_that_are_no_readers_leave_the_store_alone_without_faults(
    sizes: tuple[int, ...], apply_s: float, count: int
) -> None:
    async def scenario() -> None:
        site = VirtualMeshSite(sizes, apply_s)
        await site.run()
        readers = site.list_readers()
        calls = {daemon.name: daemon.calls for daemon in site.daemons}
        await asyncio.sleep(10.0)
        others = [daemon for daemon in site.daemons if daemon not in readers]
        assert sum(daemon.calls - calls[daemon.name] for daemon in others) == 0
        assert sum(daemon.calls - calls[daemon.name] for daemon in readers) < 20 * len(sizes) + 12
        await site.stop()

    run_in_virtual_time(scenario())


@pytest.mark.parametrize(("sizes", "apply_s", "count"), SITES[:2])
def test_a_configuration_is_in_time_after_an_earlier_one_that_was_pushed_late(
    sizes: tuple[int, ...], apply_s: float, count: int
) -> None:
    """Guards against the arrival of records being counted as evidence that there are no newer ones.

    A failure domain is cut off from the others. What its readers send is held up, so that one
    version arrives late, and the store does not answer them any more when the next one is written.
    """

    async def scenario(number: int) -> float:
        site = VirtualMeshSite(sizes, apply_s, seed=number)
        await site.run()
        await asyncio.sleep(1.0 + 0.17 * number)
        for daemon in site.daemons:
            if daemon.failure_domain == "domain-0":
                daemon.cut_until = read_clock() + FAULT_S
        readers = site.list_readers("domain-0")
        for daemon in readers:
            daemon.lag_s = 0.4 + 0.2 * (number // 2)
        site.store.append(OPERATOR, "config", b"1")
        await asyncio.sleep(0.06)
        for daemon in readers:
            daemon.unanswered_until = read_clock() + FAULT_S
        delay_s, _ = await site.measure_delay(FAULT_S)
        await site.stop()
        return delay_s

    delays = [run_in_virtual_time(scenario(number)) for number in range(count)]
    assert max(delays) < apply_s
