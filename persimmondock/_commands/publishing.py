"""Commands that change the configuration."""

from __future__ import annotations

import aiohttp
from cleo.helpers import argument, option

from persimmondock._adapters.log_client import HttpLog
from persimmondock._commands.base import LOG_VARIABLE, BaseCommand, CommandError
from persimmondock._commands.exit_codes import EXIT_DONE, EXIT_FAILED, EXIT_UNUSABLE
from persimmondock._domain.view import Accepted, Rejection
from persimmondock._tasks.publisher import PublishOutcome, Unchanged, Unresolved, publish
from persimmondock.configuration import Configuration, ConfigurationError, parse_configuration

PUBLISH_TIMEOUT_S = 10.0
MAX_FILE_BYTES = 4 * 1024 * 1024


class PublishCommand(BaseCommand):
    """Publishes a configuration."""

    name = "publish"
    description = "Publish a configuration to the log"
    arguments = [argument("file", "Path of the YAML file, or - for standard input")]
    options = [
        option("log", None, "host:port of the log service", flag=False),
        option("author", None, "Who publishes", flag=False, default="operator"),
    ]

    def perform(self) -> int:
        """Publish and tell whether the change was accepted."""
        configuration = self._read_configuration()
        log_address = self.read_address("log", LOG_VARIABLE)
        return self._report(self.run_async(self._publish(log_address, configuration)))

    def _read_configuration(self) -> Configuration:
        text = self.read_file("file", MAX_FILE_BYTES)
        try:
            return parse_configuration(text)
        except ConfigurationError as error:
            raise CommandError(error.render_lines(self.argument("file"))) from error

    async def _publish(self, log_address: str, configuration: Configuration) -> PublishOutcome:
        async with aiohttp.ClientSession() as session:
            log = HttpLog(log_address, session)
            return await publish(log, configuration, self.option("author"), PUBLISH_TIMEOUT_S)

    def _report(self, outcome: PublishOutcome) -> int:
        match outcome:
            case Accepted(offset=offset):
                self.show(f"accepted at offset {offset}")
                return EXIT_DONE
            case Unchanged():
                self.show("unchanged: everything is in force already")
                return EXIT_DONE
            case Rejection(subject=subject, reason=reason, offset=offset):
                self.show_error(f"rejected: {subject}: {reason} (offset {offset})")
                return EXIT_FAILED
            case Unresolved(detail=detail):
                self.show_error(f"unknown: {detail}")
                return EXIT_UNUSABLE
