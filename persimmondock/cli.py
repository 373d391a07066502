"""The command line.

Exit codes: 0 done, 1 a check failed or a change was not accepted, 2 wrong input, 3 an address or
a service cannot be used.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option
from loguru import logger

from persimmondock import __version__
from persimmondock._adapters.log_client import HttpLog
from persimmondock._domain.view import Accepted, Rejection
from persimmondock._tasks.daemon import Daemon
from persimmondock._tasks.publisher import PublishOutcome, Unchanged, Unresolved, publish
from persimmondock.bench.command import BenchCommand
from persimmondock.configuration import ConfigurationError, parse_configuration
from persimmondock.settings import SettingsError, load_settings
from persimmondock.standins.backend_server import BackendProfile, BackendStandin
from persimmondock.standins.demo import run_demo
from persimmondock.standins.log_service import LogStandin
from persimmondock.standins.server import serve

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

EXIT_FAILED = 1
EXIT_INPUT = 2
EXIT_UNUSABLE = 3
PUBLISH_TIMEOUT_S = 10.0
LOG_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level} {message}"


def configure_logging(level: str) -> None:
    """Write one key=value line for each event to standard error."""
    logger.remove()
    logger.add(sys.stderr, level=level, format=LOG_FORMAT, backtrace=False, diagnose=False)


class DaemonCommand(Command):
    """Runs one daemon."""

    name = "daemon"
    description = "Run the daemon beside a backend server"
    arguments = [argument("settings", "Path of the settings file")]

    def handle(self) -> int:
        """Run until a signal asks to stop."""
        try:
            settings = load_settings(Path(self.argument("settings")))
        except SettingsError as error:
            self.line_error(str(error))
            return EXIT_INPUT
        configure_logging(settings.log_level)
        return _run(self, lambda: Daemon(settings).run())


class PublishCommand(Command):
    """Publishes a configuration."""

    name = "publish"
    description = "Publish a configuration to the log"
    arguments = [argument("file", "Path of the YAML file, or - for standard input")]
    options = [
        option("log", None, "host:port of the log service", flag=False),
        option("author", None, "Who publishes", flag=False, default="operator"),
    ]

    def handle(self) -> int:
        """Publish and tell whether the change was accepted."""
        configure_logging("ERROR")
        path = self.argument("file")
        try:
            text = sys.stdin.read() if path == "-" else Path(path).read_text(encoding="utf-8")
            configuration = parse_configuration(text)
        except (OSError, UnicodeDecodeError, ConfigurationError) as error:
            self.line_error(f"{path}: {error}")
            return EXIT_INPUT
        log_address = self.option("log")
        if not log_address:
            self.line_error("--log: expected host:port of the log service")
            return EXIT_INPUT

        async def run() -> PublishOutcome:
            async with aiohttp.ClientSession() as session:
                log = HttpLog(log_address, session)
                return await publish(log, configuration, self.option("author"), PUBLISH_TIMEOUT_S)

        return self._report(asyncio.run(run()))

    def _report(self, outcome: PublishOutcome) -> int:
        match outcome:
            case Accepted(offset=offset):
                self.line(f"accepted at offset {offset}")
                return 0
            case Unchanged():
                self.line("unchanged: everything is in force already")
                return 0
            case Rejection(subject=subject, reason=reason, offset=offset):
                self.line_error(f"rejected: {subject}: {reason} (offset {offset})")
                return EXIT_FAILED
            case Unresolved(detail=detail):
                self.line_error(f"unknown: {detail}")
                return EXIT_UNUSABLE


class DemoCommand(Command):
    """Runs the main job on stand-ins."""

    name = "demo"
    description = "Run a small fleet on stand-ins, lose a VM, and check the invariants"
    options = [option("requests", None, "Requests to send", flag=False, default="3000")]

    def handle(self) -> int:
        """Run and print the table."""
        return asyncio.run(run_demo(int(self.option("requests")), self.line))


class LogStandinCommand(Command):
    """Runs the stand-in of the log service."""

    name = "standin-log"
    description = "Run a stand-in of the log service"
    options = [option("address", None, "host:port to listen on", flag=False)]

    def handle(self) -> int:
        """Run until a signal asks to stop."""
        address = self.option("address")
        return _run(self, lambda: serve(LogStandin().build_application, address))


class BackendStandinCommand(Command):
    """Runs the stand-in of a backend server."""

    name = "standin-backend"
    description = "Run a stand-in of a backend server"
    options = [
        option("name", None, "Name of the backend server", flag=False),
        option("service", None, "Service that it belongs to", flag=False),
        option("address", None, "host:port to listen on", flag=False),
        option("daemon", None, "Operator address to announce to", flag=False, multiple=True),
        option("slots", None, "Requests at the same time", flag=False, default="12"),
        option("connections", None, "Connections it accepts", flag=False, default="130"),
        option("work-ms", None, "Milliseconds that a request takes", flag=False, default="5"),
        option("journal", None, "File to write the journal to", flag=False, default=""),
        option("unchecked", None, "Do not check fencing tokens"),
    ]

    def handle(self) -> int:
        """Run until a signal asks to stop."""
        profile = BackendProfile(
            name=self.option("name"),
            service=self.option("service"),
            address=self.option("address"),
            daemons=tuple(self.option("daemon")),
            slots=int(self.option("slots")),
            connections=int(self.option("connections")),
            work_ms=float(self.option("work-ms")),
            checks_tokens=not self.option("unchecked"),
            journal=self.option("journal"),
        )
        return _run(self, lambda: serve(BackendStandin(profile).build_application, profile.address))


def _run(command: Command, start: Callable[[], Coroutine[None, None, None]]) -> int:
    """Run a server; an address that cannot be used is one clear line."""
    try:
        asyncio.run(start())
    except OSError as error:
        command.line_error(str(error))
        return EXIT_UNUSABLE
    return 0


def main() -> int:
    """Run the command line."""
    application = Application("persimmondock", __version__)
    for command in (
        DaemonCommand(),
        PublishCommand(),
        DemoCommand(),
        BenchCommand(),
        LogStandinCommand(),
        BackendStandinCommand(),
    ):
        application.add(command)
    return application.run()
