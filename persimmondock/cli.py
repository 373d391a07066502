"""The command line.

Exit codes
----------
0
    Done.
1
    A check failed, a change was not accepted, or a daemon ended by an error.
2
    Wrong input: an option, a settings file or a configuration.
3
    An address or a service cannot be used.
"""

from __future__ import annotations

import importlib
import sys
from typing import TYPE_CHECKING

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.loaders.factory_command_loader import FactoryCommandLoader

from persimmondock import __version__
from persimmondock._commands.exit_codes import EXIT_INVALID_INPUT

if TYPE_CHECKING:
    from collections.abc import Callable

    from cleo.commands.command import Command

# Modules are imported when their command is used: a daemon's imports take most of a second.
COMMANDS = {
    "daemon": "persimmondock._commands.daemon:DaemonCommand",
    "check": "persimmondock._commands.publishing:CheckCommand",
    "publish": "persimmondock._commands.publishing:PublishCommand",
    "domain out": "persimmondock._commands.publishing:DomainOutCommand",
    "domain back": "persimmondock._commands.publishing:DomainBackCommand",
    "drain": "persimmondock._commands.publishing:DrainCommand",
    "undrain": "persimmondock._commands.publishing:UndrainCommand",
    "status": "persimmondock._commands.fleet:StatusCommand",
    "dump": "persimmondock._commands.fleet:DumpCommand",
    "explain": "persimmondock._commands.fleet:ExplainCommand",
    "trace": "persimmondock._commands.tracing:TraceCommand",
    "key-history": "persimmondock._commands.tracing:KeyHistoryCommand",
    "log tail": "persimmondock._commands.log:LogTailCommand",
    "demo": "persimmondock._commands.standins:DemoCommand",
    "bench": "persimmondock.bench.command:BenchCommand",
    "soak": "persimmondock.soak.command:SoakCommand",
    "standin-log": "persimmondock._commands.standins:LogStandinCommand",
    "standin-backend": "persimmondock._commands.standins:BackendStandinCommand",
}


def build_application() -> Application:
    """Return the application with all commands."""
    application = Application("persimmondock", __version__)
    application.auto_exits(False)
    application.catch_exceptions(False)
    application.set_command_loader(
        FactoryCommandLoader(
            {name: _make_command_factory(import_path) for name, import_path in COMMANDS.items()}
        )
    )
    return application


def _make_command_factory(import_path: str) -> Callable[[], Command]:
    """Return a function that imports a command's class and creates the command."""
    module, _, class_name = import_path.partition(":")

    def make_command() -> Command:
        command: Command = getattr(importlib.import_module(module), class_name)()
        return command

    return make_command


def main() -> int:
    """Run the command line and return its exit code."""
    if sys.argv[1:] in (["--help"], ["-h"]):
        sys.argv[1:] = ["list"]
    try:
        return build_application().run()
    except CleoError as error:
        print(" ".join(str(error).split()), file=sys.stderr)
        return EXIT_INVALID_INPUT
