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

import sys

from cleo.application import Application
from cleo.exceptions import CleoError

from persimmondock import __version__
from persimmondock._commands.daemon import DaemonCommand
from persimmondock._commands.exit_codes import EXIT_INPUT
from persimmondock._commands.fleet import DumpCommand, ExplainCommand, StatusCommand
from persimmondock._commands.log import LogTailCommand
from persimmondock._commands.publishing import (
    CheckCommand,
    DomainBackCommand,
    DomainOutCommand,
    DrainCommand,
    PublishCommand,
    UndrainCommand,
)
from persimmondock._commands.standins import (
    BackendStandinCommand,
    DemoCommand,
    LogStandinCommand,
)
from persimmondock.bench.command import BenchCommand

COMMANDS = (
    DaemonCommand,
    CheckCommand,
    PublishCommand,
    DomainOutCommand,
    DomainBackCommand,
    DrainCommand,
    UndrainCommand,
    StatusCommand,
    DumpCommand,
    ExplainCommand,
    LogTailCommand,
    DemoCommand,
    BenchCommand,
    LogStandinCommand,
    BackendStandinCommand,
)


def build_application() -> Application:
    """Return the application with all commands."""
    application = Application("persimmondock", __version__)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Run the command line and return its exit code."""
    if sys.argv[1:] in (["--help"], ["-h"]):
        sys.argv[1:] = ["list"]
    try:
        return build_application().run()
    except CleoError as error:
        print(" ".join(str(error).split()), file=sys.stderr)
        return EXIT_INPUT
