"""The platform's daemon with one mechanism disabled, to verify that the soak detects the defect."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from persimmondock._adapters.clock import read_clock
from persimmondock._domain.backend_report import LocalBackend
from persimmondock._domain.range_lease import RangeLease, Takeover
from persimmondock._domain.verdict import MayHaveRun, NotRun, Verdict
from persimmondock._tasks.backend_gate import BackendGate
from persimmondock._tasks.dispatcher import _Attempts
from persimmondock._tasks.range_keeper import RangeKeeper
from persimmondock.platform.__main__ import main as run_platform
from persimmondock.platform._backend import PlatformBackend

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from persimmondock._ports.backend import GrantOutcome

LEASE_EXTENSION_S = 60.0


def _extend_lease_unconfirmed() -> None:
    """Grant keys without a confirmation that the assignment is the newest."""
    RangeLease.compute_end = lambda self: read_clock() + LEASE_EXTENSION_S  # type: ignore[method-assign]


def _take_over_without_wait() -> None:
    """Grant keys while the lease of their former owner may still be valid."""
    Takeover.compute_ready = lambda self: self.known_at  # type: ignore[method-assign]


def _ignore_drain() -> None:
    """Keep sending requests to a backend server that is draining."""
    LocalBackend.leaving = property(lambda _: False)  # type: ignore[method-assign,assignment]


def _report_sent_as_not_run() -> None:
    """Answer that requests did not run although they may have."""
    conclude = _Attempts.conclude

    def conclude_as_not_run(self: _Attempts) -> Verdict:
        verdict = conclude(self)
        return NotRun(verdict.reason, 100) if isinstance(verdict, MayHaveRun) else verdict

    _Attempts.conclude = conclude_as_not_run  # type: ignore[method-assign]


def _ignore_limits() -> None:
    """Keep sending requests to a backend server whatever limit it names."""
    BackendGate._list_bounds = lambda self, now: ()  # type: ignore[method-assign]


def _grant_to_any_instance() -> None:
    """Grant keys to whichever process listens at the backend server's address."""
    grant = PlatformBackend.grant

    async def grant_to_any(self: PlatformBackend, _: str, *order: Any) -> GrantOutcome:
        return await grant(self, "", *order)

    PlatformBackend.grant = grant_to_any  # type: ignore[method-assign,assignment]
    RangeKeeper.pause_grants = lambda self, incarnation: None  # type: ignore[method-assign]


BREAKS: Mapping[str, Callable[[], None]] = {
    "lease": _extend_lease_unconfirmed,
    "takeover": _take_over_without_wait,
    "drain": _ignore_drain,
    "refusal": _report_sent_as_not_run,
    "limit": _ignore_limits,
    "instance": _grant_to_any_instance,
}


def main() -> int:
    """Disable the mechanism that the first argument names, then run the daemon."""
    BREAKS[sys.argv.pop(1)]()
    return run_platform()


if __name__ == "__main__":
    raise SystemExit(main())
