"""Starts the daemon on the users' platform."""

from __future__ import annotations

from persimmondock._adapters.process_log import report_start
from persimmondock._adapters.signals import SignalInbox

INBOX = SignalInbox()
STDOUT = 1
if __name__ == "__main__":
    # Before all other imports, which take most of a start.
    INBOX.record()
    report_start(STDOUT)

import argparse
import asyncio
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from loguru import logger

from persimmondock._adapters.addresses import wait_until_free
from persimmondock._adapters.clock import read_clock
from persimmondock._adapters.logging import configure_logging
from persimmondock._adapters.process_log import EXIT_FAILED, describe_error
from persimmondock._domain.settings_error import SettingsError
from persimmondock.platform import _settings
from persimmondock.platform._daemon import PlatformDaemon, read_file_stamp

if TYPE_CHECKING:
    from collections.abc import Mapping

    from persimmondock._domain.site import NodeSettings

EXIT_INPUT = 2
LOG_LEVEL = "INFO"
FORMER_PROCESS_MARGIN_S = 2.0  # between the end of its stop and that of the process


class TaskFailedError(Exception):
    """A task without which a daemon cannot go on has ended by itself."""


async def run_daemon(
    path: Path, metrics_endpoint: _settings.MetricsEndpoint | None, inbox: SignalInbox
) -> None:
    """Run the daemon until a signal stops it.

    Raises
    ------
    SettingsError
        If the settings are invalid.
    OSError
        If listening on an address fails.
    TaskFailedError
        If a task ended by itself; the daemon has stopped gracefully.
    """
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_log_unhandled_error)
    stamp = read_file_stamp(path)
    settings = _settings.load_node_settings(path)
    await _wait_for_addresses(settings, inbox)
    if inbox.stop_signal:
        return
    daemon = PlatformDaemon(settings, metrics_endpoint)
    sidecar = daemon.sidecar
    with inbox.deliver(loop, sidecar.stopping.set, daemon.reload_requested.set):
        await daemon.start()
        daemon.watch_settings(path, stamp)
        await sidecar.stopping.wait()
        await daemon.stop()
    if sidecar.tasks.failure:
        raise TaskFailedError(sidecar.tasks.failure)


async def _wait_for_addresses(settings: NodeSettings, inbox: SignalInbox) -> None:
    """Wait until a former process has left all addresses, or a signal asks to stop.

    Raises
    ------
    OSError
        If the former process takes longer than a stop may take, or an address cannot be used.
    """
    # The former process closes its peers' address last.
    addresses = (
        settings.peer_address,
        settings.announce_address,
        settings.ready_address,
        settings.caller_address,
    )
    deadline = read_clock() + settings.bounds.stop_s + FORMER_PROCESS_MARGIN_S
    waiting = asyncio.create_task(wait_until_free(addresses, deadline))
    reload_requested = asyncio.Event()

    def stop_waiting() -> None:
        waiting.cancel()

    with inbox.deliver(asyncio.get_running_loop(), stop_waiting, reload_requested.set):
        await asyncio.wait([waiting])
    inbox.reload_requested |= reload_requested.is_set()
    if not waiting.cancelled():
        waiting.result()


def main(inbox: SignalInbox = INBOX) -> int:
    """Run the daemon and return its exit code.

    Parameters
    ----------
    inbox
        Where signals are recorded; they are from now on, and are ignored after the return.
    """
    inbox.record()
    # argparse rather than cleo, as in `persimmondock.cli`: cleo takes more memory on each VM.
    parser = argparse.ArgumentParser("persimmondock.platform", description=__doc__)
    parser.add_argument("--metrics", metavar="PORT/PATH", help="serve metrics on this VM's address")
    arguments = parser.parse_args()
    configure_logging(LOG_LEVEL, sys.stdout)
    path = os.environ.get(_settings.SETTINGS_FILE_VARIABLE, "")
    try:
        code, reason = _run(path, arguments.metrics, inbox)
    except Exception as error:
        logger.opt(exception=error).error("event=daemon_failed error={!r}", error)
        code, reason = EXIT_FAILED, describe_error(error)
    level = "ERROR" if code else "INFO"
    logger.log(level, "event=process_ended reason={!r} code={}", reason, code)
    inbox.ignore()
    return code


def _run(path: str, metrics: str | None, inbox: SignalInbox) -> tuple[int, str]:
    """Run the daemon; return its exit code and why it ended."""
    if inbox.stop_signal:
        return 0, inbox.stop_signal
    try:
        if not path:
            raise SettingsError(
                f"environment variable {_settings.SETTINGS_FILE_VARIABLE} is not set"
            )
        metrics_endpoint = _settings.parse_metrics_endpoint(metrics) if metrics else None
        asyncio.run(run_daemon(Path(path), metrics_endpoint, inbox))
    except SettingsError as error:
        logger.error("event=settings_refused detail={!r}", str(error))
        return EXIT_INPUT, "settings refused"
    except OSError as error:
        logger.error("event=start_failed error={!r}", error)
        return EXIT_FAILED, describe_error(error)
    except TaskFailedError as error:
        return EXIT_FAILED, str(error)
    return 0, inbox.stop_signal


def _log_unhandled_error(_: asyncio.AbstractEventLoop, context: Mapping[str, Any]) -> None:
    logger.error(
        "event=stray_error message={!r} error={!r}",
        context.get("message"),
        context.get("exception"),
    )


if __name__ == "__main__":
    sys.exit(main())
