"""Signals of a process from its first instruction to its last.

Only the standard library's smallest modules are imported here, so that a process can record signals
before it imports anything else.
"""

from __future__ import annotations

import contextlib
import os
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable, Iterator

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


class SignalInbox:
    """Requests to stop or to reload that reach this process by signals.

    The handlers of an event loop are not used: they exist only while the loop does, and a signal
    before or after ends the process by its default action.

    Parameters
    ----------
    reloads
        Whether SIGHUP asks to reload; else it asks to stop, as SIGTERM and SIGINT do.

    Attributes
    ----------
    is_recording
        Whether signals of this process are recorded.
    stop_signal
        Name of the first signal that asked to stop, or an empty string.
    reload_requested
        Whether a signal asked to reload and was not delivered yet.
    """

    def __init__(self, reloads: bool = True) -> None:
        self.is_recording = False
        self.stop_signal = ""
        self.reload_requested = False
        self._reloads = reloads

    def record(self) -> None:
        """Record signals from now on; only the main thread may call it."""
        for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
            signal.signal(number, self._handle)
        self.is_recording = True

    def restore(self) -> None:
        """Have signals act by default again."""
        for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
            default = signal.default_int_handler if number == signal.SIGINT else signal.SIG_DFL
            signal.signal(number, default)
        self.is_recording = False

    def ignore(self) -> None:
        """Ignore signals from now on, until the process is gone."""
        # The interpreter restores the default action of signals that have a handler, as it ends.
        for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
            signal.signal(number, signal.SIG_IGN)

    @contextlib.contextmanager
    def deliver(
        self,
        loop: asyncio.AbstractEventLoop,
        on_stop: Callable[[], None],
        on_reload: Callable[[], None],
    ) -> Iterator[None]:
        """Call functions in a loop for signals, also for those that came before."""
        read_end, write_end = os.pipe()
        os.set_blocking(read_end, False)
        os.set_blocking(write_end, False)

        def take() -> None:
            with contextlib.suppress(BlockingIOError):
                os.read(read_end, 4096)
            if self.stop_signal:
                on_stop()
            if self.reload_requested:
                self.reload_requested = False
                on_reload()

        # A byte for each signal wakes up the loop; the handlers run before it calls anything.
        former = signal.set_wakeup_fd(write_end, warn_on_full_buffer=False)
        loop.add_reader(read_end, take)
        take()
        try:
            yield
        finally:
            loop.remove_reader(read_end)
            signal.set_wakeup_fd(former)
            os.close(read_end)
            os.close(write_end)

    def _handle(self, number: int, _: object) -> None:
        if number == RELOAD_SIGNAL and self._reloads:
            self.reload_requested = True
        elif not self.stop_signal:
            self.stop_signal = signal.Signals(number).name
