"""Commands that check and change the configuration."""

from __future__ import annotations

import functools
import getpass
import time
from typing import TYPE_CHECKING

import aiohttp
import attrs
from cleo.helpers import argument, option

from persimmondock._adapters.log_client import HttpLog
from persimmondock._commands.base import LOG_ADDRESS_VARIABLE, BaseCommand, CommandError
from persimmondock._commands.exit_codes import (
    EXIT_FAILED,
    EXIT_INVALID_INPUT,
    EXIT_SUCCESS,
    EXIT_UNAVAILABLE,
)
from persimmondock._domain.configuration import FleetConfiguration
from persimmondock._domain.previews import Preview, find_unknown_names, preview_changes
from persimmondock._domain.view import Accepted, Rejection, View
from persimmondock._tasks.publisher import (
    PublishOutcome,
    Unchanged,
    Unresolved,
    edit_fleet,
    list_changes,
    publish_changes,
    read_view,
)
from persimmondock.configuration import Configuration, ConfigurationError, parse_configuration
from persimmondock.settings import SettingsError, parse_settings

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from persimmondock._ports.log import LogService

PUBLISH_TIMEOUT_S = 10.0
MAX_FILE_BYTES = 4 * 1024 * 1024
MAX_SHOWN_SLICES = 16

LOG_OPTION = option(
    "log", None, f"host:port of the log service, or {LOG_ADDRESS_VARIABLE}", flag=False
)
AUTHOR_OPTION = option(
    "author", None, "Author of the change; the default is the user's name", flag=False
)
ALLOW_UNKNOWN_OPTION = option("allow-unknown", None, "Accept names that no running VM has")
JSON_OPTION = option("json", None, "Write JSON")


class CheckCommand(BaseCommand):
    """Checks a file without applying it."""

    name = "check"
    description = "Check a settings file or a configuration, and report every mistake"
    help = "A file with the field 'daemon' is read as settings, any other as a configuration."
    arguments = [argument("file", "Path of the YAML file, or - for standard input")]

    def perform(self) -> int:
        """Check the file."""
        name = self.argument("file")
        text = self.read_file("file", MAX_FILE_BYTES)
        if any(line.startswith("daemon:") for line in text.splitlines()):
            try:
                settings = parse_settings(text, name, {})
            except SettingsError as error:
                raise CommandError(str(error)) from error
            self.show(f"{name}: settings of daemon {settings.daemon}, no mistakes")
            return EXIT_SUCCESS
        services = len(read_configuration(self).services)
        self.show(f"{name}: configuration of {services} services, no mistakes")
        return EXIT_SUCCESS


class _ConfigurationCommand(BaseCommand):
    """A command that changes the configuration in the log."""

    def apply_change(self, change: Callable[[LogService, View, float], Awaitable[int]]) -> int:
        """Read the view from the log and return the exit code of ``change``.

        ``change`` gets the log, the view and the deadline of the command.
        """
        return self.run_async(
            self._apply_change(self.read_address("log", LOG_ADDRESS_VARIABLE), change)
        )

    async def _apply_change(
        self, log_address: str, change: Callable[[LogService, View, float], Awaitable[int]]
    ) -> int:
        deadline = time.monotonic() + PUBLISH_TIMEOUT_S
        async with aiohttp.ClientSession() as session:
            log = HttpLog(log_address, session)
            view = await read_view(log, View(), deadline)
            if isinstance(view, Unresolved):
                return self.report(view)
            return await change(log, view, deadline)

    def find_author(self) -> str:
        """Return the author of the change; ``operator`` if the user has no name."""
        given = self.option("author")
        if given:
            return str(given)
        try:
            return getpass.getuser()
        except (KeyError, OSError):
            return "operator"

    def refuse_unknown_names(self, view: View, fleet: FleetConfiguration) -> None:
        """Reject names that no member has, unless the operator allows them.

        Raises
        ------
        CommandError
            With one line for each unknown name.
        """
        unknown = find_unknown_names(view, fleet)
        if unknown and not self.option("allow-unknown"):
            raise CommandError(
                "\n".join(f"{line} (--allow-unknown accepts it)" for line in unknown)
            )

    def report(self, outcome: PublishOutcome) -> int:
        """Write the outcome of a change and return the exit code."""
        code = EXIT_CODES[type(outcome)]
        if self.option("json"):
            self.show_json({"outcome": type(outcome).__name__.lower(), **attrs.asdict(outcome)})
            return code
        match outcome:
            case Accepted(offset=offset):
                self.show(f"accepted at offset {offset}")
            case Unchanged():
                self.show("unchanged: everything is in force already")
            case Rejection():
                self.show_error(describe_rejection(outcome))
            case Unresolved(detail=detail):
                self.show_error(
                    f"unknown whether the change is in force: {detail}; "
                    "run the command again to find out"
                )
        return code


EXIT_CODES: dict[type, int] = {
    Accepted: EXIT_SUCCESS,
    Unchanged: EXIT_SUCCESS,
    Rejection: EXIT_FAILED,
    Unresolved: EXIT_UNAVAILABLE,
}


def describe_rejection(rejection: Rejection) -> str:
    """Return one line with the reason of a rejection and the author of the conflicting change."""
    author = f" by {rejection.author}" if rejection.author else ""
    return f"rejected: {rejection.subject}: {rejection.reason}{author} (offset {rejection.offset})"


class PublishCommand(_ConfigurationCommand):
    """Publishes a configuration."""

    name = "publish"
    description = "Publish a configuration to the log"
    help = (
        "The file describes the whole configuration: services that it leaves out are removed.\n"
        "With --dry-run nothing is published; the differences and the slices that would move are "
        "shown."
    )
    arguments = [argument("file", "Path of the YAML file, or - for standard input")]
    options = [
        LOG_OPTION,
        AUTHOR_OPTION,
        ALLOW_UNKNOWN_OPTION,
        option("dry-run", None, "Show what would change and publish nothing"),
        JSON_OPTION,
    ]

    def perform(self) -> int:
        """Publish the configuration and report the outcome."""
        configuration = read_configuration(self)
        return self.apply_change(functools.partial(self._change, configuration))

    async def _change(
        self, configuration: Configuration, log: LogService, view: View, deadline: float
    ) -> int:
        self.refuse_unknown_names(view, configuration.fleet)
        changes = list_changes(view, configuration)
        if self.option("dry-run"):
            return self._show_preview(preview_changes(view, changes))
        outcome = await publish_changes(log, view, changes, self.find_author(), deadline)
        return self.report(outcome)

    def _show_preview(self, preview: Preview) -> int:
        if self.option("json"):
            self.show_json(attrs.asdict(preview))
            return EXIT_FAILED if preview.rejection else EXIT_SUCCESS
        for line in preview.differences or ["no differences"]:
            self.show(line)
        if preview.rejection is not None:
            self.show_error(describe_rejection(preview.rejection))
            return EXIT_FAILED
        for move in preview.moves:
            for effect, slices in [
                ("move", move.moved),
                ("get an owner", move.first),
                ("lose their owner", move.last),
            ]:
                if slices:
                    self.show(f"{move.service}: {_describe_slices(slices, move.slices)} {effect}")
        if not preview.moves:
            self.show("no slices move")
        return EXIT_SUCCESS


class _FleetEditCommand(_ConfigurationCommand):
    """A command that edits one name of the fleet's configuration."""

    arguments = [argument("name", "Name")]
    options = [LOG_OPTION, AUTHOR_OPTION, ALLOW_UNKNOWN_OPTION, JSON_OPTION]
    help = (
        "Changes the current version by compare-and-set: after a concurrent change, the edit is\n"
        "applied again to the newer version."
    )

    def perform(self) -> int:
        """Edit the configuration and report the outcome."""
        return self.apply_change(self._change)

    async def _change(self, log: LogService, view: View, deadline: float) -> int:
        name = self.argument("name")
        try:
            self.refuse_unknown_names(view, self.edit(view.fleet, name))
            outcome = await edit_fleet(
                log, view, lambda fleet: self.edit(fleet, name), self.find_author(), deadline
            )
        except ConfigurationError as error:
            raise CommandError(str(error), EXIT_INVALID_INPUT) from error
        return self.report(outcome)

    def edit(self, fleet: FleetConfiguration, name: str) -> FleetConfiguration:
        """Return the fleet's configuration with the change.

        Raises
        ------
        ConfigurationError
            If the name is empty, or there is nothing to undo for it.
        """
        raise NotImplementedError


class DomainOutCommand(_FleetEditCommand):
    """Stops new work in a failure domain."""

    name = "domain out"
    description = "Stop assigning new work to a failure domain"

    def edit(self, fleet: FleetConfiguration, name: str) -> FleetConfiguration:
        """Take the failure domain out."""
        return fleet.take_out(name)


class DomainBackCommand(_FleetEditCommand):
    """Resumes new work in a failure domain."""

    name = "domain back"
    description = "Resume assigning new work to a failure domain"

    def edit(self, fleet: FleetConfiguration, name: str) -> FleetConfiguration:
        """Bring the failure domain back."""
        return fleet.bring_back(name)


class DrainCommand(_FleetEditCommand):
    """Drains a backend server."""

    name = "drain"
    description = "Stop assigning new work to a backend server"

    def edit(self, fleet: FleetConfiguration, name: str) -> FleetConfiguration:
        """Drain the backend server."""
        return fleet.drain(name)


class UndrainCommand(_FleetEditCommand):
    """Ends the drain of a backend server."""

    name = "undrain"
    description = "Resume assigning new work to a drained backend server"

    def edit(self, fleet: FleetConfiguration, name: str) -> FleetConfiguration:
        """End the drain."""
        return fleet.undrain(name)


def read_configuration(command: BaseCommand) -> Configuration:
    """Return the configuration in the file that a command names.

    Raises
    ------
    CommandError
        With one line for each mistake.
    """
    text = command.read_file("file", MAX_FILE_BYTES)
    try:
        return parse_configuration(text)
    except ConfigurationError as error:
        raise CommandError(error.render_lines(command.argument("file"))) from error


def _describe_slices(slices: tuple[int, ...], total: int) -> str:
    shown = ", ".join(str(index) for index in slices[:MAX_SHOWN_SLICES])
    more = ", ..." if len(slices) > MAX_SHOWN_SLICES else ""
    return f"{len(slices)} of {total} slices ({shown}{more})"
