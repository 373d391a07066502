"""The measured daemon of `benchmarks.daemon_profile`.

A module of its own, which imports only what a daemon needs.
"""

from __future__ import annotations

import asyncio
import functools
import json
import os
import sys
import time
from asyncio import events
from collections import defaultdict
from pathlib import Path
from typing import TYPE_CHECKING, Any

from loguru import logger

from persimmondock._adapters.logging import configure_logging
from persimmondock._tasks.key_control import KeyControl
from persimmondock._tasks.mesh import Mesh
from persimmondock._tasks.site_state import SiteState
from persimmondock.platform._daemon import PlatformDaemon
from persimmondock.platform._settings import load_node_settings

if TYPE_CHECKING:
    from collections.abc import Callable

START_S, REST_S, REQUESTS_S = 8.0, 12.0, 6.0

# Causes of callbacks, by what the event loop runs: the coroutine of a task, or the protocol of a
# transport that has received data.
CAUSES = {
    "Mesh.run": "heartbeats sent",
    "_ServerProtocol": "heartbeats and frames of peers received",
    "_ClientProtocol": "replies of peers received",
    "PeerClient._run_connection": "connecting",
    "Mesh._sync": "records passed between daemons",
    "Mesh._send_to_peer": "records passed between daemons",
    "Mesh._handle_push": "records passed between daemons",
    "PartitionFollower.run": "reads of the store",
    "PartitionFollower._read_once": "reads of the store",
    "Sidecar._maintain_member_record": "own member record",
    "KeyControl.run": "leases and plans of keys",
    "RangeKeeper.run": "grants",
    "HttpConnection": "calls to the store and backend servers",
    "_Connection": "requests and announcements received",
    "_set_result_unless_cancelled": "timers",
    "_on_timeout": "timers",
}
# Work of its own cause inside callbacks of others.
PARTS: tuple[tuple[Any, str, str], ...] = (
    (Mesh, "update_members", "member records applied"),
    (Mesh, "_handle_ping", "heartbeats answered"),
    (Mesh, "_record_heartbeat_reply", "replies to heartbeats applied"),
    (KeyControl, "update_assignments", "assignments applied"),
    (SiteState, "update", "configurations applied"),
    (type(logger), "_log", "log lines"),
)


class CauseTimer:
    """Processor time of the callbacks of an event loop, by cause."""

    def __init__(self) -> None:
        self.seconds: dict[str, float] = defaultdict(float)
        self._inner_s = 0.0

    def measure(
        self, cause: str, function: Callable[..., Any], *arguments: Any, **options: Any
    ) -> Any:
        """Call a function, and count the time that no inner measured call takes."""
        outer_s, self._inner_s = self._inner_s, 0.0
        started = time.thread_time()
        try:
            return function(*arguments, **options)
        finally:
            taken = time.thread_time() - started
            self.seconds[cause] += taken - self._inner_s
            self._inner_s = outer_s + taken

    def install(self) -> None:
        """Measure all callbacks from now on."""
        run_handle = events.Handle._run
        events.Handle._run = lambda handle: self.measure(  # type: ignore[method-assign, assignment]
            find_cause(handle), run_handle, handle
        )
        for owner, name, cause in PARTS:
            method = getattr(owner, name)
            setattr(owner, name, self._wrap(cause, method))

    def _wrap(self, cause: str, method: Callable[..., Any]) -> Callable[..., Any]:
        @functools.wraps(method)
        def measured(*arguments: Any, **options: Any) -> Any:
            return self.measure(cause, method, *arguments, **options)

        return measured


def find_cause(handle: events.Handle) -> str:
    """Return the cause of a callback; names that `CAUSES` does not have stand for themselves."""
    callback = handle._callback  # type: ignore[attr-defined]
    owner = getattr(callback, "__self__", None)
    if isinstance(owner, asyncio.Task):
        coroutine = owner.get_coro()
        name = getattr(coroutine, "__qualname__", "task")
    elif isinstance(owner, asyncio.Transport):
        name = type(owner.get_protocol()).__name__
    else:
        name = getattr(callback, "__qualname__", type(callback).__name__)
    return CAUSES.get(name, name)


async def run_daemon(path: Path, timer: CauseTimer) -> list[dict[str, float]]:
    """Run a daemon and return its processor time in each phase by cause, with its store calls."""
    imported_s = time.process_time()
    timer.install()
    daemon = PlatformDaemon(load_node_settings(path))
    store = daemon._store
    await daemon.start()
    phases: list[dict[str, float]] = []
    before_s, before_calls = 0.0, 0
    for duration_s in (START_S, REST_S, REQUESTS_S):
        await asyncio.sleep(duration_s)
        total_s = time.process_time()
        phase = dict(timer.seconds)
        phase["event loop, and what is not measured"] = total_s - before_s - sum(phase.values())
        if not phases:
            phase["event loop, and what is not measured"] -= imported_s
            phase["start and imports"] = imported_s
        phase["store calls"] = store.calls - before_calls
        phases.append(phase)
        timer.seconds.clear()
        before_s, before_calls = total_s, store.calls
    await daemon.close()
    return phases


def main() -> None:
    """Run the daemon whose settings file is named, and print its phases as JSON."""
    with Path(os.devnull).open("w") as stream:
        configure_logging("INFO", stream)
        print(json.dumps(asyncio.run(run_daemon(Path(sys.argv[1]), CauseTimer()))))


if __name__ == "__main__":
    main()
