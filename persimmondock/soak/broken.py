"""The platform's daemon with one mechanism disabled, to verify that the soak detects the defect."""

from __future__ import annotations

import math
import sys
from typing import TYPE_CHECKING, Any

from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.http_exchange import HttpConnection, HttpPool, HttpResponse
from persimmondock._domain.backend_report import LocalBackend
from persimmondock._domain.range_lease import RangeLease, Takeover
from persimmondock._domain.shared_budget import SharedBudget
from persimmondock._domain.verdict import MayHaveRun, NotRun, Verdict
from persimmondock._tasks.dispatcher import _Attempts
from persimmondock._tasks.range_keeper import RangeKeeper
from persimmondock._tasks.send_limits import SendLimits
from persimmondock._tasks.shared_rates import Admitted, SharedRates, VersionedLimit
from persimmondock.platform import _backend, _headers
from persimmondock.platform.__main__ import main as run_platform
from persimmondock.platform._headers import EXPECTED_INSTANCE

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

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
    SendLimits.list_bounds = lambda self, now: ()  # type: ignore[method-assign]


def _disable_method(owner: type, name: str) -> None:
    setattr(owner, name, lambda *_: None)


def _grant_to_absent_process() -> None:
    """Go on granting keys to a process that is known to be absent."""
    _disable_method(RangeKeeper, "pause_grants")


def _grant_to_any_process() -> None:
    """Send grants and releases to whatever process listens at the backend server's address."""
    _grant_to_absent_process()
    render_request = _backend.render_request

    def render_without_instance(
        method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes
    ) -> bytes:
        if target in (_backend.GRANT_PATH, _backend.RELEASE_PATH):
            headers = [field for field in headers if field[0] != EXPECTED_INSTANCE]
        return render_request(method, target, headers, body)

    _backend.render_request = render_without_instance  # type: ignore[attr-defined]


def _pass_keys_on() -> None:
    """Forward the field that holds a tenant's key."""
    _headers.TENANT_FIELDS = frozenset()


async def _admit_all(self: SharedRates, limit: VersionedLimit, patience_s: float) -> Admitted:
    return Admitted()


def _admit_beyond_limits() -> None:
    """Admit all requests of tenants, as if nothing had been admitted before."""
    SharedRates.admit = _admit_all  # type: ignore[method-assign,assignment]


def _count_any_answer() -> None:
    """Count an answer for the grant or release that waits, whatever request it names."""
    exchange = HttpConnection.exchange

    async def exchange_unchecked(
        self: HttpConnection, data: bytes, accept: Any = None, stream_over: float = math.inf
    ) -> HttpResponse:
        target = data.split(b" ", 2)[1].decode()
        if target in (_backend.GRANT_PATH, _backend.RELEASE_PATH):
            accept = None
        return await exchange(self, data, accept, stream_over)

    HttpConnection.exchange = exchange_unchecked  # type: ignore[method-assign]


def _resend_on_same_connection() -> None:
    """Send a refused request again on any connection."""
    HttpPool._find_idle = _find_any_idle  # type: ignore[method-assign]


def _find_any_idle(self: HttpPool, used_after: float, attempt: str) -> HttpConnection | None:
    last = self._idle[-1] if self._idle else None
    return last if last is not None and last.idle_since > used_after else None


def _retry_without_budget() -> None:
    """Retry whatever the retry budget allows."""
    SharedBudget.allows = lambda *_: True  # type: ignore[method-assign]


BREAKS: Mapping[str, Callable[[], None]] = {
    "lease": _extend_lease_unconfirmed,
    "takeover": _take_over_without_wait,
    "drain": _ignore_drain,
    "refusal": _report_sent_as_not_run,
    "limit": _ignore_limits,
    "pause": _grant_to_absent_process,
    "instance": _grant_to_any_process,
    "key": _pass_keys_on,
    "quota": _admit_beyond_limits,
    "order": _count_any_answer,
    "resend": _resend_on_same_connection,
    "budget": _retry_without_budget,
}


def main() -> int:
    """Disable the mechanism that the first argument names, then run the daemon."""
    BREAKS[sys.argv.pop(1)]()
    return run_platform()


if __name__ == "__main__":
    raise SystemExit(main())
