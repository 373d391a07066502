"""A daemon with mechanisms of the front switched off, for comparison with the normal daemon.

Four times per second it appends the number of calls that its routers were offered and of attempts
that they made to a file.
"""

from __future__ import annotations

import os
import sys
import threading
import time
from pathlib import Path

from persimmondock._domain import choosing, retries
from persimmondock._tasks import router

COUNTERS_INTERVAL_S = 0.25
COUNTERS_VARIABLE = "PERSIMMONDOCK_BENCH_COUNTERS"
DISABLED_VARIABLE = "PERSIMMONDOCK_BENCH_WITHOUT"
UNLIMITED = 1 << 30

_routers: list[router.Router] = []


def disable(mechanism: str) -> None:
    """Replace a mechanism by the behaviour of a front without it.

    Raises
    ------
    ValueError
        If the mechanism is unknown.
    """
    match mechanism:
        case "":
            return
        case "retry_budget":
            retries.MAX_RETRIES = UNLIMITED
            retries.RetryBudget.spend = lambda *_: True  # type: ignore[method-assign]
        case "choosing":
            choosing.Chooser.choose = (  # type: ignore[method-assign]
                lambda _, candidates, now, rng: rng.choice(candidates)
            )
        case _:
            raise ValueError(f"unknown mechanism {mechanism!r}")


def write_counters(path: Path) -> None:
    """Append the Unix time and the numbers of offered calls and attempts, without end."""
    with path.open("a", buffering=1, encoding="utf-8") as file:
        while True:
            offered = sum(item.offered for item in _routers)
            attempts = sum(item.attempts for item in _routers)
            file.write(f"{time.time()} {offered} {attempts}\n")
            time.sleep(COUNTERS_INTERVAL_S)


def _init_and_register(self: router.Router, *arguments: object) -> None:
    _original_init(self, *arguments)  # type: ignore[arg-type]
    _routers.append(self)


_original_init = router.Router.__init__


def main() -> None:
    """Run the program without the mechanisms that the environment names."""
    from persimmondock.cli import main as run

    for mechanism in os.environ.get(DISABLED_VARIABLE, "").split(","):
        disable(mechanism)
    router.Router.__init__ = _init_and_register  # type: ignore[method-assign]
    folder = os.environ.get(COUNTERS_VARIABLE)
    if folder:
        path = Path(folder) / f"{os.getpid()}.counters"
        threading.Thread(target=write_counters, args=(path,), daemon=True).start()
    sys.exit(run())


if __name__ == "__main__":
    main()
