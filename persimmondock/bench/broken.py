"""A daemon with one mechanism broken on purpose, to show that the checks detect it."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from persimmondock import cli
from persimmondock._domain.leases import HeldLease
from persimmondock._domain.membership import Membership
from persimmondock._domain.request_table import RequestTable, RunFirst

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


def _skip_release_wait() -> None:
    """Serve a slice before its former owner has released it."""

    def clear_unreleased(self: Membership) -> None:
        self.unreleased = {}

    Membership._update_unreleased = clear_unreleased  # type: ignore[method-assign]


def _never_expire_lease() -> None:
    """Serve after the lease has expired."""
    HeldLease.compute_deadline = lambda self: float("inf")  # type: ignore[method-assign]


def _disable_request_table() -> None:
    """Run every attempt of a non-idempotent request."""

    def admit(self: RequestTable, *_: Any, **__: Any) -> RunFirst:
        return RunFirst()

    def end(self: RequestTable, *_: Any, **__: Any) -> None:
        return None

    RequestTable.admit = admit  # type: ignore[method-assign,assignment]
    RequestTable.end = end  # type: ignore[method-assign]


BROKEN_MECHANISMS: Mapping[str, Callable[[], None]] = {
    "release": _skip_release_wait,
    "lease": _never_expire_lease,
    "request-table": _disable_request_table,
}


def main() -> int:
    """Break the mechanism named by the first argument, then run the command line."""
    BROKEN_MECHANISMS[sys.argv.pop(1)]()
    return cli.main()


if __name__ == "__main__":
    raise SystemExit(main())
