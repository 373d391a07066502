"""The command that runs a daemon."""

from __future__ import annotations

import asyncio
from pathlib import Path

from cleo.helpers import argument

from persimmondock._adapters.logging import configure_logging
from persimmondock._commands.base import BaseCommand, CommandError
from persimmondock._commands.exit_codes import EXIT_FAILED, EXIT_SUCCESS
from persimmondock._entry import INBOX
from persimmondock._tasks.daemon import Daemon, DaemonError
from persimmondock.settings import SettingsError, load_settings

HELP = """\
Runs until SIGTERM or SIGINT, then hands over its slices, finishes the requests in flight and exits.
Every field of the settings file can be overridden by an environment variable, such as
PERSIMMONDOCK_LOG_LEVEL. Log events are written to standard error, one per line."""


class DaemonCommand(BaseCommand):
    """Runs one daemon."""

    name = "daemon"
    description = "Run the daemon beside a backend server"
    help = HELP
    arguments = [argument("settings", "Path of the settings file")]

    def perform(self) -> int:
        """Run the daemon until SIGTERM or SIGINT."""
        try:
            settings = load_settings(Path(self.argument("settings")))
        except SettingsError as error:
            raise CommandError(str(error)) from error
        configure_logging(settings.log_level)
        was_recording = INBOX.is_recording
        INBOX.record()
        try:
            asyncio.run(Daemon(settings).run(INBOX))
        except DaemonError:  # The daemon has logged the failure.
            return EXIT_FAILED
        finally:
            if not was_recording:
                INBOX.restore()
        return EXIT_SUCCESS
