"""Daemons that stand still in virtual time."""

from __future__ import annotations

import asyncio
import contextlib
from asyncio import events
from collections.abc import Iterator, Sequence
from typing import Any
from unittest import mock

import attrs
from hypothesis import strategies as st

from persimmondock._domain.backend_report import BackendAnnouncement
from persimmondock.tests.virtual_fleet import RUNNING_DAEMON, DaemonProcess, VirtualVm


@attrs.frozen
class Freeze:
    """A time in which a daemon does not run; its timers and its connections go on."""

    at_s: float
    vm: int
    for_s: float


FREEZES = st.builds(Freeze, st.floats(0.0, 5.0), st.integers(0, 3), st.floats(0.1, 4.0))


class Freezer:
    """Holds back what frozen daemons are to handle, in the order in which it came."""

    def __init__(self) -> None:
        self._held_back: dict[DaemonProcess, list[events.Handle]] = {}

    @contextlib.contextmanager
    def installed(self) -> Iterator[None]:
        """Decide about each callback of the event loop."""
        run_handle = events.Handle._run

        def run_unless_frozen(handle: events.Handle) -> None:
            daemon = handle._context.get(RUNNING_DAEMON)  # type: ignore[attr-defined]
            if daemon in self._held_back:
                self._held_back[daemon].append(handle)
            elif not handle.cancelled():
                run_handle(handle)

        with mock.patch.object(events.Handle, "_run", run_unless_frozen):
            yield

    async def freeze(self, daemon: DaemonProcess | None, for_s: float) -> None:
        """Freeze a daemon; all that it missed is handled in one turn of the event loop."""
        if daemon is None or daemon in self._held_back:
            return
        self._held_back[daemon] = []
        loop: Any = asyncio.get_running_loop()

        def hold_back(announcement: BackendAnnouncement, is_recent: bool = False) -> bool:
            loop.call_soon(handle_announcement, announcement, is_recent, context=daemon.context)
            return True

        handle_announcement = daemon.sidecar.handle_announcement
        with mock.patch.object(daemon.sidecar, "handle_announcement", hold_back):
            await asyncio.sleep(for_s)
        loop._ready.extend(self._held_back.pop(daemon))

    async def apply_freeze(self, freeze: Freeze, vms: Sequence[VirtualVm]) -> None:
        """Freeze the daemon of a VM at its time; return when it runs again."""
        await asyncio.sleep(freeze.at_s)
        await self.freeze(vms[freeze.vm % len(vms)].daemon, freeze.for_s)
