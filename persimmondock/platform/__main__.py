"""Starts the daemon on the users' platform."""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
from pathlib import Path

from loguru import logger

from persimmondock._adapters.logging import configure_logging
from persimmondock._domain.settings_error import SettingsError
from persimmondock.platform import _settings
from persimmondock.platform._daemon import PlatformDaemon

EXIT_INPUT = 2
LOG_LEVEL = "INFO"


async def run_daemon(path: Path, metrics_endpoint: _settings.MetricsEndpoint | None) -> None:
    """Run the daemon until a signal stops it.

    Raises
    ------
    SettingsError
        If the settings are invalid.
    OSError
        If listening on an address fails.
    """
    daemon = PlatformDaemon(_settings.load_node_settings(path), metrics_endpoint)
    daemon.sidecar.install_signal_handlers()
    await daemon.start()
    watch_task = asyncio.create_task(daemon.watch_settings(path))
    await daemon.sidecar.stopping.wait()
    watch_task.cancel()
    await daemon.stop()


def main() -> int:
    """Run the daemon and return its exit code."""
    # argparse rather than cleo, as in `persimmondock.cli`: cleo takes more memory on each VM.
    parser = argparse.ArgumentParser("persimmondock.platform", description=__doc__)
    parser.add_argument("--metrics", metavar="PORT/PATH", help="serve metrics on this VM's address")
    arguments = parser.parse_args()
    configure_logging(LOG_LEVEL, sys.stdout)
    path = os.environ.get(_settings.SETTINGS_FILE_VARIABLE, "")
    try:
        if not path:
            raise SettingsError(
                f"environment variable {_settings.SETTINGS_FILE_VARIABLE} is not set"
            )
        metrics_endpoint = (
            _settings.parse_metrics_endpoint(arguments.metrics) if arguments.metrics else None
        )
        asyncio.run(run_daemon(Path(path), metrics_endpoint))
    except SettingsError as error:
        logger.error("event=settings_refused detail={!r}", str(error))
        return EXIT_INPUT
    except OSError as error:
        logger.error("event=start_failed error={!r}", error)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
