"""Tests of the gate with a scripted backend server."""

from __future__ import annotations

import asyncio
import contextlib
import time

import attrs
import numpy as np
import pytest

from persimmondock._domain.leases import HeldLease, LeaseTerms, WitnessSet
from persimmondock._domain.poison import Handling
from persimmondock._domain.verdict import Answered, MayHaveRun, NotRun, Reason
from persimmondock._domain.view import View
from persimmondock._tasks.gate import Gate
from persimmondock.tests.builders import make_backend, make_call, make_view
from persimmondock.tests.scripted_server import WHOLE, Script

LEASE_TERM_S = 60.0


class OwnerMembership:
    """A membership that owns every slice of a view with one member."""

    def __init__(self) -> None:
        self.view: View = make_view(1)
        self.ref = self.view.members["vm-0"].ref
        self.lease = HeldLease(self.ref, LeaseTerms(term=LEASE_TERM_S), [WitnessSet(0, ())])
        self.lease.renew_alone(time.monotonic())
        self.unreleased: dict = {}

    def holds_lease(self, now) -> bool:
        return self.lease.is_held(now)

    def owns_slice(self, ref) -> bool:
        return True

    def serves_slice(self, ref, now) -> bool:
        return self.holds_lease(now)

    def replace_tokens(self) -> None:
        """Give every slice a new token, as if it had gone away and come back."""
        state = self.view.services["painel"]
        state = attrs.evolve(state, tokens=state.tokens + np.int64(1))
        self.view = attrs.evolve(self.view, services={"painel": state})


@contextlib.asynccontextmanager
async def open_gate(script, slots=1):
    membership = OwnerMembership()
    gate = Gate(membership)  # type: ignore[arg-type]
    async with script.listen() as address:
        gate.open_station(attrs.evolve(make_backend(0, slots=slots), address=address))
        try:
            yield gate, membership
        finally:
            await gate.close()


def make_assign(request_id="id-1", within_s=5.0, **changes):
    fields = {"backend": "backend-0", "slice": 3, "idempotent": False, "request_id": request_id}
    deadline_ms = int((time.time() + within_s) * 1000)
    return make_call(**{**fields, "deadline_ms": deadline_ms, **changes})


async def test_attempts_share_the_first_answer_and_a_waiter_keeps_its_own_deadline() -> None:
    script = Script([WHOLE], delay_s=0.3)
    async with open_gate(script) as (gate, _):
        first = asyncio.create_task(gate.submit(make_assign()))
        await asyncio.sleep(0.05)
        assert await gate.submit(make_assign(within_s=0.1)) == MayHaveRun(Reason.DEADLINE_PASSED)
        answered = await gate.submit(make_assign())
        assert isinstance(answered, Answered)
        assert await first == answered == await gate.submit(make_assign())
        reused = await gate.submit(make_assign(body=b"other"))
    assert reused == NotRun(Reason.REQUEST_ID_REUSED)
    assert len(script.requests) == 1


async def test_a_first_attempt_runs_to_its_end_when_its_caller_has_gone() -> None:
    script = Script([WHOLE], delay_s=0.1)
    async with open_gate(script) as (gate, _):
        first = asyncio.create_task(gate.submit(make_assign()))
        await asyncio.sleep(0.05)
        first.cancel()
        assert isinstance(await gate.submit(make_assign()), Answered)
    assert len(script.requests) == 1


async def test_a_request_that_waited_while_its_slice_was_away_is_not_sent() -> None:
    script = Script([WHOLE], delay_s=0.1)
    async with open_gate(script) as (gate, membership):
        running = asyncio.create_task(gate.submit(make_assign("id-1")))
        await asyncio.sleep(0.02)
        waiting = asyncio.create_task(gate.submit(make_assign("id-2")))
        await asyncio.sleep(0.02)
        membership.replace_tokens()
        assert isinstance(await running, Answered)
        assert (await waiting).reason is Reason.NOT_OWNER
    assert len(script.requests) == 1


async def test_a_caller_that_goes_away_while_it_waits_leaves_no_trace() -> None:
    script = Script([WHOLE], delay_s=0.1)
    async with open_gate(script) as (gate, _):
        calls = [make_call(backend="backend-0", path=f"/{number}") for number in range(3)]
        tasks = [asyncio.create_task(gate.submit(call)) for call in calls]
        await asyncio.sleep(0.02)
        tasks[1].cancel()
        assert isinstance(await tasks[2], Answered)
        state = gate.describe_stations()["backend-0"]
    assert (state.running, state.waiting, len(script.requests)) == (0, 0, 2)


@pytest.mark.parametrize("within_s", [0.05, 0.2])
async def test_a_request_that_waits_for_a_silent_backend_server_is_refused_in_time(
    within_s,
) -> None:
    script = Script([WHOLE], delay_s=1.0)
    async with open_gate(script) as (gate, _):
        running = asyncio.create_task(gate.submit(make_call(backend="backend-0")))
        await asyncio.sleep(0.02)
        deadline_ms = int((time.time() + within_s) * 1000)
        refused = await gate.submit(make_call(backend="backend-0", deadline_ms=deadline_ms))
        running.cancel()
    assert isinstance(refused, NotRun)
    assert len(script.requests) == 1


async def test_a_new_instance_and_a_withdrawal_cut_nothing() -> None:
    old, new = Script([WHOLE], delay_s=0.2), Script([WHOLE])
    async with open_gate(old) as (gate, _), new.listen() as address:
        running = asyncio.create_task(gate.submit(make_call(backend="backend-0")))
        await asyncio.sleep(0.05)
        gate.open_station(attrs.evolve(make_backend(0), address=address), "second")
        assert isinstance(await gate.submit(make_call(backend="backend-0")), Answered)
        gate.close_station("backend-0")
        refused = await gate.submit(make_call(backend="backend-0"))
        assert refused.reason is Reason.BACKEND_UNREACHABLE
        assert isinstance(await running, Answered)
        await asyncio.wait_for(old.closed.wait(), 1.0)
        await asyncio.wait_for(new.closed.wait(), 1.0)
    assert (len(old.requests), len(new.requests)) == (1, 1)


@pytest.mark.parametrize("part", ["leaving", "domain", "backend"])
async def test_what_gets_no_new_work_refuses_at_once(part) -> None:
    script = Script([WHOLE])
    async with open_gate(script) as (gate, membership):
        view, member = membership.view, membership.view.members["vm-0"]
        fleet = view.fleet
        match part:
            case "leaving":
                member = attrs.evolve(member, leaving=True)
            case "domain":
                fleet = attrs.evolve(fleet, failure_domains_out=(member.failure_domain,))
            case "backend":
                fleet = attrs.evolve(fleet, draining=("backend-0",))
        membership.view = attrs.evolve(view, members={"vm-0": member}, fleet=fleet)
        assert (await gate.submit(make_call(backend="backend-0"))).reason is Reason.DRAINING
    assert script.requests == []


async def test_a_request_that_was_running_when_its_backend_server_died_is_suspected() -> None:
    script = Script([None], resets=True)
    call = make_call(backend="backend-0", body=b"deadly")
    async with open_gate(script) as (gate, _):
        told = []
        gate.suspects.set_broadcast(told.append)
        assert await gate.submit(call) == MayHaveRun(Reason.BACKEND_LOST)
        assert gate.suspects.judge(call) is Handling.ALONE
        assert (await gate.submit(call)).reason is Reason.NOT_OWNER
        pinned = gate.pin_suspect(call)
        assert pinned.slice >= 0
        assert await gate.submit(pinned) == MayHaveRun(Reason.BACKEND_LOST)
        refused = await gate.submit(pinned)
        assert refused.reason is Reason.SUSPECTED_POISON
        assert refused.retry_after_ms > 0
        assert gate.suspects.judge(attrs.evolve(call, body=b"other")) is Handling.FREE
    assert [seen.kills for seen in told] == [1, 2]
    assert len(script.requests) == 2
