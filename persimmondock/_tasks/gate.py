"""Gate: the single path by which requests reach the backend servers beside this daemon.

The gate checks each request immediately before sending it: the daemon must hold its lease and own
the slice, all earlier owners must have released the slice, and a non-idempotent request must not
have run before.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import TYPE_CHECKING

from loguru import logger

from persimmondock._adapters.backend_client import run_request
from persimmondock._domain.effects import SliceRef
from persimmondock._domain.floors import OffsetHistory
from persimmondock._domain.mechanisms import Mechanism
from persimmondock._domain.membership import Membership
from persimmondock._domain.poison import Handling
from persimmondock._domain.request_table import (
    UNKNOWN_ISSUE_OFFSET,
    KnownVerdict,
    RequestKey,
    RequestTable,
    RunFirst,
    WaitForFirst,
)
from persimmondock._domain.verdict import MayHaveRun, NotRun, Reason, Verdict
from persimmondock._tasks.admission import AdmissionController, AdmissionState, Permit
from persimmondock._tasks.suspects import Suspects, compute_fingerprint

if TYPE_CHECKING:
    from persimmondock._domain.messages import Call, KeptAnswer
    from persimmondock._domain.records import Backend

NO_SLICE = -1
NO_TOKEN = -1
DRAINING_RETRY_MS = 200
NOT_OWNER_RETRY_MS = 200
UNREACHABLE_RETRY_MS = 200
HANDOVER_POLL_S = 0.02


class Gate:
    """Checks requests and runs them on the backend servers beside this daemon.

    Parameters
    ----------
    disabled
        Mechanisms that are switched off.

    Attributes
    ----------
    table
        Outcomes of non-idempotent requests by request identifier, for deduplication.
    suspects
        Requests suspected of crashing backend servers.
    """

    def __init__(
        self, membership: Membership, disabled: frozenset[Mechanism] = frozenset()
    ) -> None:
        self._membership = membership
        self._disabled = disabled
        self._controllers: dict[str, AdmissionController] = {}
        self._retirements: set[asyncio.Task[None]] = set()
        self._in_flight: Counter[SliceRef] = Counter()
        self._service_in_flight: Counter[str] = Counter()
        self._first_attempts: dict[RequestKey, asyncio.Task[Verdict]] = {}
        self._offset_history = OffsetHistory()
        self.table = RequestTable()
        self.suspects = Suspects(enabled=Mechanism.POISON not in disabled)

    # Queries from the membership.

    def is_busy(self, ref: SliceRef) -> bool:
        """Return whether requests of a slice, or of the whole service for -1, are in flight."""
        if ref.index == NO_SLICE:
            return self._service_in_flight[ref.service] > 0
        return self._in_flight[ref] > 0

    def count_in_flight(self) -> int:
        """Return the number of requests sent to backend servers and not yet finished."""
        return sum(self._service_in_flight.values())

    def collect_kept(self, ref: SliceRef) -> tuple[KeptAnswer, ...]:
        """Return the answers stored for a slice, to be handed to its next owner."""
        return self.table.export_slice(ref.service, ref.index)

    # Backend servers.

    def add_backend(self, backend: Backend, instance: str = "") -> None:
        """Start sending requests to a backend server.

        A changed instance or description replaces the admission controller.
        """
        current = self._controllers.get(backend.name)
        if current is not None and (current.backend, current.instance) == (backend, instance):
            return
        if current is not None and current.instance != instance:
            self.suspects.record_restart(current)
        self.remove_backend(backend.name)
        self._controllers[backend.name] = AdmissionController(backend, instance, self._disabled)

    def describe_backends(self) -> dict[str, AdmissionState]:
        """Return the load and the limits of each backend server by name."""
        return {name: controller.describe() for name, controller in self._controllers.items()}

    def remove_backend(self, name: str) -> None:
        """Stop sending requests to a backend server; running requests are not interrupted."""
        controller = self._controllers.pop(name, None)
        if controller is not None:
            task = asyncio.ensure_future(controller.retire())
            self._retirements.add(task)
            task.add_done_callback(self._retirements.discard)

    async def close(self) -> None:
        """Close all connections at once, without waiting for running requests."""
        for task in list(self._retirements):
            task.cancel()
        for controller in self._controllers.values():
            await controller.close()

    def advance(self, now: float) -> None:
        """Record when the view reached its offset; drop expired answers and suspects."""
        self._offset_history.note(self._membership.view.offset, now)
        now_ms = int(time.time() * 1000)
        self.table.expire(now_ms)
        self.suspects.registry.expire(now_ms)

    def pin_suspect(self, call: Call) -> Call:
        """Return the call; a suspect is assigned a slice, so that only its owner tries it."""
        configuration = self._membership.view.configurations.get(call.service)
        return (
            call
            if configuration is None
            else self.suspects.assign_slice(call, configuration.slices)
        )

    # Requests.

    async def submit(self, call: Call) -> Verdict:
        """Run a request, or return why it was refused."""
        ref = SliceRef(call.service, call.slice)
        if call.slice != NO_SLICE:
            refusal = await self._wait_for_slice(ref, call)
            if refusal is not None:
                return refusal
        token = self._find_token(ref)
        if call.idempotent:
            return await self._run(call, ref, token)
        return await self._run_once(call, ref, token)

    def _find_token(self, ref: SliceRef) -> int:
        """Return the fencing token of a slice, or -1 for a request without a slice."""
        if ref.index == NO_SLICE:
            return NO_TOKEN
        return int(self._membership.view.services[ref.service].tokens[ref.index])

    async def _wait_for_slice(self, ref: SliceRef, call: Call) -> NotRun | None:
        """Wait until all earlier owners have released the slice.

        Return a refusal if another member owns it, or if the deadline passes first.
        """
        while True:
            if not self._membership.owns_slice(ref):
                return NotRun(Reason.NOT_OWNER, NOT_OWNER_RETRY_MS)
            if not self._membership.unreleased.get(ref):
                return None
            if time.time() * 1000 >= call.deadline_ms:
                return NotRun(Reason.HANDOVER_PENDING, NOT_OWNER_RETRY_MS)
            await asyncio.sleep(HANDOVER_POLL_S)

    async def _run_once(self, call: Call, ref: SliceRef, token: int) -> Verdict:
        """Run a non-idempotent request unless an attempt with the same identifier has run."""
        key = RequestKey(call.service, call.slice, call.request_id)
        configuration = self._membership.view.configurations.get(call.service)
        if configuration is None:
            return NotRun(Reason.NO_SUCH_SERVICE)
        now_ms = int(time.time() * 1000)
        admission = self.table.admit(
            key,
            compute_fingerprint(call),
            call.issued_offset,
            self._find_floor(call, configuration.request_id_ms),
            now_ms + configuration.request_id_ms,
            now_ms,
        )
        match admission:
            case KnownVerdict(verdict=verdict):
                return verdict
            case WaitForFirst():
                return await self._wait_for_first(self._first_attempts[key], call)
            case RunFirst():
                task = asyncio.ensure_future(self._run_first(call, ref, token, key))
                self._first_attempts[key] = task
                return await asyncio.shield(task)

    def _find_floor(self, call: Call, request_id_ms: int) -> int:
        """Return the log offset after which an identifier must have been issued, or -1 for any.

        This is the floor of the slice: the offset at which an owner was last lost. That owner may
        have run requests whose identifiers were issued earlier. Answers are kept for
        ``request_id_ms`` milliseconds, so a loss that has been known for that long is irrelevant to
        identifiers without an issue offset.
        """
        floor = int(self._membership.view.services[call.service].floors[call.slice])
        if floor < 0 or call.issued_offset != UNKNOWN_ISSUE_OFFSET:
            return floor
        expired = self._offset_history.is_known_for(floor, request_id_ms / 1000, time.monotonic())
        return -1 if expired else floor

    async def _wait_for_first(self, first: asyncio.Task[Verdict], call: Call) -> Verdict:
        """Return the verdict of the first attempt, or ``MayHaveRun`` at this call's deadline."""
        remaining = max(0.0, call.deadline_ms / 1000 - time.time())
        try:
            return await asyncio.wait_for(asyncio.shield(first), remaining)
        except TimeoutError:
            return MayHaveRun(Reason.DEADLINE_PASSED)

    async def _run_first(self, call: Call, ref: SliceRef, token: int, key: RequestKey) -> Verdict:
        """Run the first attempt to completion, even if its caller disconnects."""
        verdict: Verdict = MayHaveRun(Reason.CANCELLED)
        try:
            verdict = await self._run(call, ref, token)
        finally:
            self.table.end(key, verdict)
            del self._first_attempts[key]
        return verdict

    async def _run(self, call: Call, ref: SliceRef, token: int) -> Verdict:
        """Run a request once its backend server has capacity, or return why it was refused.

        If its handling as a suspect has changed while it waited for a permit, the permit is
        returned and the request is checked again.
        """
        controller = self._controllers.get(call.backend)
        if controller is None:
            return NotRun(Reason.BACKEND_UNREACHABLE, UNREACHABLE_RETRY_MS)
        while True:
            refusal = self._find_refusal(call, ref, token, time.monotonic())
            if refusal is not None:
                return refusal
            handling = self.suspects.choose_handling(call)
            refusal = self.suspects.find_refusal(call, handling)
            if refusal is not None:
                return refusal
            permit = await controller.acquire(call, handling is Handling.ALONE)
            if isinstance(permit, NotRun):
                return permit
            if self.suspects.choose_handling(call) is handling:
                return await self._run_with_permit(call, ref, token, controller, permit, handling)
            controller.release(permit, NotRun(Reason.SUSPECTED_POISON))

    async def _run_with_permit(
        self,
        call: Call,
        ref: SliceRef,
        token: int,
        controller: AdmissionController,
        permit: Permit,
        handling: Handling,
    ) -> Verdict:
        verdict: Verdict = MayHaveRun(Reason.CANCELLED)
        controller.sent_calls[permit.number] = call
        try:
            verdict = await self._dispatch(call, ref, token, controller)
        finally:
            self.suspects.record_outcome(controller, permit, handling, verdict)
            controller.release(permit, verdict)
        return verdict

    def _find_refusal(self, call: Call, ref: SliceRef, token: int, now: float) -> NotRun | None:
        """Return why a request must not be sent now, or None.

        A changed token means that another member owned the slice in between and may have run the
        request.
        """
        if time.time() * 1000 >= call.deadline_ms:
            return NotRun(Reason.DEADLINE_PASSED)
        if not self._membership.holds_lease(now):
            return NotRun(Reason.LEASE_LAPSED, NOT_OWNER_RETRY_MS)
        if ref.index == NO_SLICE:
            return self._find_draining_refusal(call)
        if not self._membership.serves_slice(ref, now) or self._find_token(ref) != token:
            return NotRun(Reason.NOT_OWNER, NOT_OWNER_RETRY_MS)
        return None

    def _find_draining_refusal(self, call: Call) -> NotRun | None:
        """Return a refusal if the member, its failure domain or the backend server is draining.

        A daemon that is not a member refuses too.
        """
        view = self._membership.view
        ref = self._membership.ref
        member = None if ref is None else view.find_member(ref)
        if (
            member is None
            or member.leaving
            or member.failure_domain in view.fleet.failure_domains_out
            or call.backend in view.fleet.draining
        ):
            return NotRun(Reason.DRAINING, DRAINING_RETRY_MS)
        return None

    async def _dispatch(
        self, call: Call, ref: SliceRef, token: int, controller: AdmissionController
    ) -> Verdict:
        """Repeat all checks and send, with no await in between that could invalidate them.

        A request with a slice must end before the lease expires, because another member may own the
        slice from then on.
        """
        now = time.monotonic()
        refusal = self._find_refusal(call, ref, token, now)
        if refusal is not None:
            return refusal
        remaining = call.deadline_ms / 1000 - time.time()
        if ref.index != NO_SLICE:
            assert self._membership.lease is not None
            remaining = min(remaining, self._membership.lease.compute_deadline() - now)
        deadline_ms = int((time.time() + remaining) * 1000)
        self._in_flight[ref] += 1
        self._service_in_flight[ref.service] += 1
        try:
            verdict = await run_request(
                controller.session, controller.backend.address, call, token, deadline_ms, remaining
            )
        finally:
            self._service_in_flight[ref.service] -= 1
            self._in_flight[ref] -= 1
            if not self._in_flight[ref]:
                del self._in_flight[ref]
        if isinstance(verdict, MayHaveRun):
            logger.warning(
                "event=outcome_unknown service={} backend={} reason={}",
                call.service,
                call.backend,
                verdict.reason,
            )
        return verdict
