"""Requests that come, or still wait, while a daemon stops."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmondock._domain.verdict import MayHaveRun, NotRun, Reason
from persimmondock.tests.stopping_site import Reply, StoppingSite
from persimmondock.tests.virtual_site import CALLER_SERVICE
from persimmondock.tests.virtual_time import run_in_virtual_time

LONG_S = 2.5
SHORT_S = 0.1
WORK_BY_ROUTE = {"long": LONG_S, "short": SHORT_S}
IDEMPOTENT = pytest.mark.parametrize("idempotent", [False, True], ids=["unsafe", "safe"])


async def open_site(**options: Any) -> StoppingSite:
    site = StoppingSite(dict(WORK_BY_ROUTE), **{"servers": 3, "fronts": 2, "slots": 4, **options})
    await site.start()
    return site


def run(scenario: Coroutine[Any, Any, None]) -> None:
    run_in_virtual_time(scenario)


@IDEMPOTENT
def test_a_late_request_that_would_be_cut_is_refused_unsent(idempotent: bool) -> None:
    """Guards against work that is begun late in the grace and cut at its end (issue 37)."""

    async def scenario() -> None:
        site = await open_site()
        front = site.fronts[0]
        await site.learn(front, "long")
        stopped = site.signal(front)
        reply = await site.ask_later(3.5, front, "long", idempotent=idempotent)
        assert reply.verdict == NotRun(Reason.STOPPING, 100)
        assert site.list_runs(reply.attempt) == [] and reply.took_s < 0.01
        await stopped
        await site.close()

    run(scenario())


@IDEMPOTENT
def test_a_late_request_that_ends_in_time_is_served(idempotent: bool) -> None:
    async def scenario() -> None:
        site = await open_site()
        front = site.fronts[0]
        await site.learn(front, "short")
        stopped = site.signal(front)
        for after_s in (1.0, 3.0, 4.5):
            reply = await site.ask_later(after_s, front, "short", idempotent=idempotent)
            assert reply.status == 200
        await stopped
        await site.close()

    run(scenario())


def test_a_request_whose_own_deadline_comes_first_is_served_as_ever() -> None:
    """A caller that waits no longer than the daemon lives is not sent elsewhere."""

    async def scenario() -> None:
        site = await open_site()
        front = site.fronts[0]
        await site.learn(front, "long")
        stopped = site.signal(front)
        reply = await site.ask_later(3.5, front, "long", timeout_s=1.5)
        assert reply.status == 504
        assert site.find_faults([reply]) == []
        await stopped
        await site.close()

    run(scenario())


@IDEMPOTENT
def test_a_late_request_that_takes_longer_than_ever_is_answered(idempotent: bool) -> None:
    """Guards against a backend server that is told to work beyond the end of the daemon."""

    async def scenario() -> None:
        site = await open_site()
        front = site.fronts[0]
        await site.learn(front, "short")
        for node in site.servers:
            node.server.work_by_route["short"] = LONG_S  # type: ignore[attr-defined]
        stopped = site.signal(front)
        reply = await site.ask_later(3.5, front, "short", idempotent=idempotent)
        assert reply.status == 504
        assert not any(run.cut for run in site.list_runs(reply.attempt))
        await stopped
        await site.close()

    run(scenario())


@pytest.mark.parametrize("keyed", [False, True], ids=["plain", "keyed"])
@IDEMPOTENT
def test_what_a_stopping_gate_cannot_end_runs_elsewhere_or_nowhere(
    keyed: bool, idempotent: bool
) -> None:
    """Guards against a peer's request that is begun before the gate closes and cut by its end."""

    async def scenario() -> None:
        site = await open_site(keyed=keyed, servers=2)
        site.servers[0].server.work_by_route["long"] = 3.6  # type: ignore[attr-defined]
        site.servers[1].server.work_by_route["long"] = 3.6  # type: ignore[attr-defined]
        front, stopping = site.fronts[0], site.servers[0]
        for key in (7, 60_000):
            await site.learn(front, "long", **({"key": key} if keyed else {}))
        site.lost_reports.add((front.name, stopping.name))
        stopped = site.signal(stopping)
        replies = await asyncio.gather(
            *(
                site.ask_later(1.9 + 0.01 * n, front, "long", idempotent=idempotent)
                for n in range(6)
            )
        )
        await stopped
        await site.close()
        runs = stopping.server.timed_runs  # type: ignore[attr-defined]
        assert not any(run.cut for run in runs)
        for reply in replies:
            assert not isinstance(reply.verdict, MayHaveRun)
            assert keyed or reply.status == 200 or isinstance(reply.verdict, NotRun)

    run(scenario())


def test_what_waits_for_a_slot_when_the_gate_closes_is_served_in_time_or_refused() -> None:
    """Guards against requests that wait at a stopping gate until they are cut unsent."""

    async def scenario() -> None:
        site = await open_site(servers=1, slots=1, keyed=True)
        own = site.servers[0]
        await site.learn(own, "long")
        await site.learn(own, "short")
        stopped = site.signal(own)
        changes: dict[str, Any] = {"timeout_s": 20.0, "objective_at": site.signalled_at + 10.0}
        replies = [
            site.ask_later(after_s, own, route, **changes)
            for after_s, route in ((1.0, "long"), (1.1, "short"), (1.2, "long"), (2.0, "short"))
        ]
        first, second, third, fourth = await asyncio.gather(*replies)
        assert (first.status, second.status, fourth.status) == (200, 200, 200)
        assert isinstance(third.verdict, NotRun)
        assert site.find_faults([first, second, third, fourth]) == []
        await stopped
        await site.close()

    run(scenario())


def test_what_waits_for_a_slot_that_does_not_come_free_is_refused() -> None:
    """Guards against requests that wait at a stopping gate until they are cut unsent."""

    async def scenario() -> None:
        site = await open_site(servers=1, slots=1)
        own = site.servers[0]
        await site.learn(own, "short")
        own.server.work_by_route["long"] = 30.0  # type: ignore[attr-defined]
        long = asyncio.ensure_future(site.ask(own, "long", timeout_s=40.0))
        await asyncio.sleep(0.02)
        changes: dict[str, Any] = {"timeout_s": 40.0, "objective_at": 5_000.0}
        waiting = asyncio.ensure_future(site.ask(own, "short", **changes))
        await asyncio.sleep(0.02)
        stopped = site.signal(own)
        assert isinstance((await waiting).verdict, NotRun)
        assert (await long).verdict is None
        assert site.find_faults([waiting.result(), long.result()]) == []
        await stopped
        await site.close()

    run(scenario())


def test_what_waits_at_another_gate_is_answered_before_the_daemon_ends() -> None:
    """Guards against a request sent before the signal that waits elsewhere until it is cut."""

    async def scenario() -> None:
        site = await open_site(keyed=True, slots=1)
        front = site.fronts[0]
        for node in site.servers:
            node.server.work_by_route["long"] = 30.0  # type: ignore[attr-defined]
        asked = [
            asyncio.ensure_future(site.ask(front, "long", timeout_s=40.0, objective_at=5_000.0))
            for _ in range(2)
        ]
        await asyncio.sleep(0.1)
        stopped = site.signal(front)
        replies = list(await asyncio.gather(*asked))
        assert isinstance(replies[1].verdict, MayHaveRun)
        assert site.list_runs(replies[1].attempt) == []
        assert site.find_faults(replies) == []
        await stopped
        await site.close()

    run(scenario())


def test_a_retry_is_not_begun_too_late() -> None:
    """Guards against a second attempt late in the grace that is cut while it runs."""

    async def scenario() -> None:
        site = await open_site(servers=2)
        front = site.fronts[0]
        await site.learn(front, "long")
        stopped = site.signal(front)
        asking = site.ask_later(1.5, front, "long")
        await asyncio.sleep(3.4)
        for node in site.servers:
            if node.process is not None and node.process.gate.count_in_flight():
                failed = asyncio.ensure_future(site.restart(node, 20.0))
        reply = await asking
        assert isinstance(reply.verdict, MayHaveRun)
        assert reply.ended_at < site.signalled_at + 4.0
        assert len(site.list_runs(reply.attempt)) == 1
        await stopped
        failed.cancel()
        await site.close()

    run(scenario())


def test_a_late_request_without_an_owner_is_refused_unsent() -> None:
    """Guards against requests that wait for an owner until they are cut unsent."""

    async def scenario() -> None:
        site = await open_site(keyed=True)
        front = site.fronts[0]
        await site.learn(front, "long")
        stopped = site.signal(front)
        await asyncio.sleep(2.4)
        assignments = dict(site.control.assignments)
        site.control.assignments.clear()
        asking = site.ask_later(2.57, front, "long")
        await asyncio.sleep(0.205)
        site.control.assignments.update(assignments)
        reply = await asking
        assert reply.verdict == NotRun(Reason.STOPPING, 100) and reply.took_s > 0.02
        assert site.find_faults([reply]) == []
        await stopped
        await site.close()

    run(scenario())


def test_calls_of_work_that_runs_beside_a_stopping_daemon_follow_the_same_rule() -> None:
    async def scenario() -> None:
        site = await open_site()
        own = site.servers[0]
        await site.learn(own, "long")
        await site.learn(own, "short")
        stopped = site.signal(own)
        long = site.ask_later(3.5, own, "long", caller_service=CALLER_SERVICE, idempotent=False)
        short = site.ask_later(3.5, own, "short", caller_service=CALLER_SERVICE, idempotent=False)
        replies = list(await asyncio.gather(long, short))
        assert isinstance(replies[0].verdict, NotRun) and replies[1].status == 200
        assert site.find_faults(replies) == []
        await stopped
        await site.close()

    run(scenario())


@settings(max_examples=60)
@given(
    requests=st.lists(
        st.tuples(
            st.floats(-1.0, 5.0),
            st.sampled_from(["long", "short"]),
            st.sampled_from([1.0, 4.0, 8.0, 20.0]),
            st.booleans(),
            st.integers(0, 2),
        ),
        min_size=1,
        max_size=14,
    ),
    keyed=st.booleans(),
    slots=st.sampled_from([1, 3]),
    stops_server=st.booleans(),
    knows_times=st.booleans(),
)
def test_nothing_is_lost_in_a_stop(
    requests: list[tuple[float, str, float, bool, int]],
    keyed: bool,
    slots: int,
    stops_server: bool,
    knows_times: bool,
) -> None:
    """Guards against requests that are cut by a stop, and against untrue refusals (issue 37)."""

    async def scenario() -> None:
        site = await open_site(keyed=keyed, slots=slots)
        stopping = site.servers[0] if stops_server else site.fronts[0]
        fronts = [stopping, stopping, site.fronts[1]]
        if knows_times:
            for route in ("long", "short"):
                await site.learn(stopping, route)
        site.signalled_at = loop_time() + 1.5
        asked = [
            site.ask_later(
                after_s,
                fronts[where] if where < 2 or not stops_server else site.fronts[1],
                route,
                timeout_s=timeout_s,
                idempotent=idempotent,
                key=key if keyed else -1,
            )
            for key, (after_s, route, timeout_s, idempotent, where) in zip(
                range(0, 65_536, 4_600), requests, strict=False
            )
        ]
        await asyncio.sleep(site.signalled_at - loop_time())
        took_s = await site.signal(stopping)
        replies: list[Reply] = list(await asyncio.gather(*asked))
        await site.close()
        assert took_s < site.stop_s
        assert site.find_faults(replies) == []

    run(scenario())


def loop_time() -> float:
    return asyncio.get_running_loop().time()
