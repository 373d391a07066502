"""Tests of the gate with a scripted backend server and a membership that owns all slices."""

from __future__ import annotations

import asyncio
import contextlib
import time

import attrs
import numpy as np
import pytest

from persimmondock._domain.leases import HeldLease, LeaseTiming, WitnessSet
from persimmondock._domain.poison import Handling
from persimmondock._domain.verdict import Answered, MayHaveRun, NotRun, Reason
from persimmondock._domain.view import View
from persimmondock._tasks.gate import Gate
from persimmondock.tests.builders import make_backend, make_call, make_view
from persimmondock.tests.scripted_server import COMPLETE_RESPONSE, ScriptedServer

LEASE_TERM_S = 60.0


class OwnerMembership:
    """A membership of one member that owns every slice."""

    def __init__(self) -> None:
        self.view: View = make_view(1)
        self.ref = self.view.members["vm-0"].ref
        self.lease = HeldLease(self.ref, LeaseTiming(term_s=LEASE_TERM_S), [WitnessSet(0, ())])
        self.lease.renew_unwitnessed(time.monotonic())
        self.unreleased: dict = {}

    def holds_lease(self, now) -> bool:
        return self.lease.is_held(now)

    def owns_slice(self, ref) -> bool:
        return True

    def serves_slice(self, ref, now) -> bool:
        return self.holds_lease(now)

    def replace_tokens(self) -> None:
        """Give every slice a new fencing token, as after another member has owned it in between."""
        state = self.view.services["painel"]
        state = attrs.evolve(state, tokens=state.tokens + np.int64(1))
        self.view = attrs.evolve(self.view, services={"painel": state})


@contextlib.asynccontextmanager
async def open_gate(server, slots=1):
    membership = OwnerMembership()
    gate = Gate(membership)  # type: ignore[arg-type]
    async with server.listen() as address:
        gate.add_backend(attrs.evolve(make_backend(0, slots=slots), address=address))
        try:
            yield gate, membership
        finally:
            await gate.close()


def make_assign_call(request_id="id-1", within_s=5.0, **changes):
    fields = {"backend": "backend-0", "slice": 3, "idempotent": False, "request_id": request_id}
    deadline_ms = int((time.time() + within_s) * 1000)
    return make_call(**{**fields, "deadline_ms": deadline_ms, **changes})


async def test_attempts_share_the_first_answer_and_a_waiter_keeps_its_own_deadline() -> None:
    server = ScriptedServer([COMPLETE_RESPONSE], delay_s=0.3)
    async with open_gate(server) as (gate, _):
        first = asyncio.create_task(gate.submit(make_assign_call()))
        await asyncio.sleep(0.05)
        assert await gate.submit(make_assign_call(within_s=0.1)) == MayHaveRun(
            Reason.DEADLINE_PASSED
        )
        answered = await gate.submit(make_assign_call())
        assert isinstance(answered, Answered)
        assert await first == answered == await gate.submit(make_assign_call())
        reused = await gate.submit(make_assign_call(body=b"other"))
    assert reused == NotRun(Reason.REQUEST_ID_REUSED)
    assert len(server.requests) == 1


async def test_a_first_attempt_runs_to_its_end_when_its_caller_has_gone() -> None:
    server = ScriptedServer([COMPLETE_RESPONSE], delay_s=0.1)
    async with open_gate(server) as (gate, _):
        first = asyncio.create_task(gate.submit(make_assign_call()))
        await asyncio.sleep(0.05)
        first.cancel()
        assert isinstance(await gate.submit(make_assign_call()), Answered)
    assert len(server.requests) == 1


async def test_a_queued_request_is_not_sent_after_another_member_owned_its_slice() -> None:
    server = ScriptedServer([COMPLETE_RESPONSE], delay_s=0.1)
    async with open_gate(server) as (gate, membership):
        running = asyncio.create_task(gate.submit(make_assign_call("id-1")))
        await asyncio.sleep(0.02)
        waiting = asyncio.create_task(gate.submit(make_assign_call("id-2")))
        await asyncio.sleep(0.02)
        membership.replace_tokens()
        assert isinstance(await running, Answered)
        assert (await waiting).reason is Reason.NOT_OWNER
    assert len(server.requests) == 1


async def test_a_cancelled_request_leaves_the_queue() -> None:
    server = ScriptedServer([COMPLETE_RESPONSE], delay_s=0.1)
    async with open_gate(server) as (gate, _):
        calls = [make_call(backend="backend-0", path=f"/{number}") for number in range(3)]
        tasks = [asyncio.create_task(gate.submit(call)) for call in calls]
        await asyncio.sleep(0.02)
        tasks[1].cancel()
        assert isinstance(await tasks[2], Answered)
        state = gate.describe_backends()["backend-0"]
    assert (state.running, state.waiting, len(server.requests)) == (0, 0, 2)


@pytest.mark.parametrize("within_s", [0.05, 0.2])
async def test_a_request_that_waits_for_a_silent_backend_server_is_refused_in_time(
    within_s,
) -> None:
    server = ScriptedServer([COMPLETE_RESPONSE], delay_s=1.0)
    async with open_gate(server) as (gate, _):
        running = asyncio.create_task(gate.submit(make_call(backend="backend-0")))
        await asyncio.sleep(0.02)
        deadline_ms = int((time.time() + within_s) * 1000)
        refused = await gate.submit(make_call(backend="backend-0", deadline_ms=deadline_ms))
        running.cancel()
    assert isinstance(refused, NotRun)
    assert len(server.requests) == 1


async def test_replacing_or_removing_a_backend_server_lets_running_requests_finish() -> None:
    old, new = ScriptedServer([COMPLETE_RESPONSE], delay_s=0.2), ScriptedServer([COMPLETE_RESPONSE])
    async with open_gate(old) as (gate, _), new.listen() as address:
        running = asyncio.create_task(gate.submit(make_call(backend="backend-0")))
        await asyncio.sleep(0.05)
        gate.add_backend(attrs.evolve(make_backend(0), address=address), "second")
        assert isinstance(await gate.submit(make_call(backend="backend-0")), Answered)
        gate.remove_backend("backend-0")
        refused = await gate.submit(make_call(backend="backend-0"))
        assert refused.reason is Reason.BACKEND_UNREACHABLE
        assert isinstance(await running, Answered)
        await asyncio.wait_for(old.closed.wait(), 1.0)
        await asyncio.wait_for(new.closed.wait(), 1.0)
    assert (len(old.requests), len(new.requests)) == (1, 1)


@pytest.mark.parametrize("part", ["leaving", "domain", "backend"])
async def test_draining_members_and_backend_servers_refuse_new_requests(part) -> None:
    server = ScriptedServer([COMPLETE_RESPONSE])
    async with open_gate(server) as (gate, membership):
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
    assert server.requests == []


async def test_a_request_that_was_running_when_its_backend_server_died_is_suspected() -> None:
    server = ScriptedServer([None], resets=True)
    call = make_call(backend="backend-0", body=b"deadly")
    async with open_gate(server) as (gate, _):
        announced = []
        gate.suspects.set_broadcast(announced.append)
        assert await gate.submit(call) == MayHaveRun(Reason.BACKEND_LOST)
        assert gate.suspects.choose_handling(call) is Handling.ALONE
        assert (await gate.submit(call)).reason is Reason.NOT_OWNER
        pinned = gate.pin_suspect(call)
        assert pinned.slice >= 0
        assert await gate.submit(pinned) == MayHaveRun(Reason.BACKEND_LOST)
        refused = await gate.submit(pinned)
        assert refused.reason is Reason.SUSPECTED_POISON
        assert refused.retry_after_ms > 0
        assert gate.suspects.choose_handling(attrs.evolve(call, body=b"other")) is Handling.FREE
    assert [seen.kills for seen in announced] == [1, 2]
    assert len(server.requests) == 2
