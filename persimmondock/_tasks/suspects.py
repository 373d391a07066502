"""The gate's handling of requests that may crash backend servers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs
import xxhash
from loguru import logger

from persimmondock._domain.poison import Handling, RequestIdentity, SuspectRegistry
from persimmondock._domain.slices import find_slice
from persimmondock._domain.verdict import Answered, MayHaveRun, NotRun, Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from persimmondock._domain.messages import Call, SuspectSeen
    from persimmondock._tasks.admission import AdmissionController, Permit

NO_SLICE = -1
NOT_OWNER_RETRY_MS = 200


class Suspects:
    """Tracks requests that ran when backend servers crashed, and decides how to run them.

    Parameters
    ----------
    enabled
        Whether to track suspects at all.
    """

    def __init__(self, enabled: bool = True) -> None:
        self.registry = SuspectRegistry()
        self._enabled = enabled
        self._broadcast: Callable[[SuspectSeen], None] = lambda _: None

    def set_broadcast(self, broadcast: Callable[[SuspectSeen], None]) -> None:
        """Set the function that reports suspects to other daemons."""
        self._broadcast = broadcast

    def learn(self, seen: SuspectSeen) -> None:
        """Apply another daemon's report of a suspect."""
        self.registry.learn(seen, _read_clock_ms())

    def assign_slice(self, call: Call, slices: int) -> Call:
        """Return the call, with a slice if it is a suspect that any gate could run.

        Only the owner of the slice of its fingerprint may run it, so that it never runs on two
        backend servers at a time.
        """
        if call.slice != NO_SLICE or self.choose_handling(call) is Handling.FREE:
            return call
        return attrs.evolve(call, slice=find_slice(str(compute_fingerprint(call)), slices))

    def choose_handling(self, call: Call) -> Handling:
        """Return how a request is to be run now."""
        if not self._enabled or not self.registry:
            return Handling.FREE
        return self.registry.choose_handling(identify(call), _read_clock_ms())

    def find_refusal(self, call: Call, handling: Handling) -> NotRun | None:
        """Return a refusal if a request must not run at all or not at this gate, else None."""
        match handling:
            case Handling.REFUSED:
                remaining_ms = self.registry.find_refusal_end_ms(identify(call)) - _read_clock_ms()
                return NotRun(Reason.SUSPECTED_POISON, max(1, remaining_ms))
            case Handling.ALONE if call.slice == NO_SLICE:
                return NotRun(Reason.NOT_OWNER, NOT_OWNER_RETRY_MS)
            case _:
                return None

    def record_outcome(
        self, controller: AdmissionController, permit: Permit, handling: Handling, verdict: Verdict
    ) -> None:
        """Mark requests that ran during a crash as suspects; clear one answered while alone."""
        call = controller.sent_calls.pop(permit.number, None)
        if not self._enabled or call is None:
            return
        match verdict:
            case MayHaveRun(reason=Reason.BACKEND_LOST):
                running = [call, *controller.sent_calls.values()]
                controller.sent_calls.clear()
                self._report_seen(
                    self.registry.record_crash(map(identify, running), _read_clock_ms())
                )
            case MayHaveRun(reason=Reason.ANSWER_TRUNCATED):
                controller.truncated_calls.append(call)
            case NotRun(reason=Reason.BACKEND_UNREACHABLE):
                self.record_restart(controller)
            case Answered():
                controller.truncated_calls.clear()
                if handling is Handling.ALONE:
                    self._report_seen(
                        self.registry.record_answered(identify(call), _read_clock_ms())
                    )

    def record_restart(self, controller: AdmissionController) -> None:
        """Mark requests as suspects whose responses were truncated just before a crash.

        A truncated response alone does not prove a crash: the backend server may have a bug.
        """
        calls = list(controller.truncated_calls)
        controller.truncated_calls.clear()
        if self._enabled and calls:
            self._report_seen(self.registry.record_crash(map(identify, calls), _read_clock_ms()))

    def _report_seen(self, seen: Iterable[SuspectSeen]) -> None:
        for item in seen:
            logger.warning(
                "event=suspect_seen service={} fingerprint={:x} kills={}",
                item.service,
                item.fingerprint,
                item.kills,
            )
            self._broadcast(item)


def identify(call: Call) -> RequestIdentity:
    """Return what identifies a request, independent of its request identifier."""
    return RequestIdentity(call.service, compute_fingerprint(call))


def compute_fingerprint(call: Call) -> int:
    """Return a 63-bit hash of a request's method, path and body."""
    digest = xxhash.xxh3_64(f"{call.method} {call.path}".encode())
    digest.update(call.body)
    return digest.intdigest() >> 1


def _read_clock_ms() -> int:
    return int(time.time() * 1000)
