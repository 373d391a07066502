"""Commands that run stand-ins, and the demo."""

from __future__ import annotations

from cleo.helpers import option

from persimmondock._commands.base import BaseCommand, check_address
from persimmondock._commands.exit_codes import EXIT_SUCCESS
from persimmondock.standins.backend_server import BackendProfile, BackendStandin
from persimmondock.standins.demo import run_demo
from persimmondock.standins.log_service import LogStandin
from persimmondock.standins.server import serve


class DemoCommand(BaseCommand):
    """Runs a small fleet on stand-ins and checks the invariants."""

    name = "demo"
    description = "Run a small fleet on stand-ins, lose a VM, and check the invariants"
    options = [option("requests", None, "Number of requests to send", flag=False, default="3000")]

    def perform(self) -> int:
        """Run the demo and show its results."""
        return self.run_async(run_demo(self.read_number("requests", 1), self.show))


class LogStandinCommand(BaseCommand):
    """Runs the stand-in of the log service."""

    name = "standin-log"
    description = "Run a stand-in of the log service"
    options = [option("address", None, "host:port to listen on", flag=False)]

    def perform(self) -> int:
        """Run the stand-in until SIGTERM or SIGINT."""
        address = self.read_address("address")
        self.run_async(serve(LogStandin().build_application, address))
        return EXIT_SUCCESS


class BackendStandinCommand(BaseCommand):
    """Runs the stand-in of a backend server."""

    name = "standin-backend"
    description = "Run a stand-in of a backend server"
    options = [
        option("name", None, "Name of the backend server", flag=False),
        option("service", None, "Service that it belongs to", flag=False),
        option("address", None, "host:port to listen on", flag=False),
        option(
            "daemon",
            None,
            "Operator host:port to announce to",
            flag=False,
            multiple=True,
        ),
        option("slots", None, "Maximum number of concurrent requests", flag=False, default="12"),
        option("connections", None, "Maximum number of connections", flag=False, default="130"),
        option("work-ms", None, "Duration of a request in milliseconds", flag=False, default="5"),
        option("journal", None, "File to write the journal of requests to", flag=False, default=""),
        option("unchecked", None, "Do not check fencing tokens"),
    ]

    def perform(self) -> int:
        """Run the stand-in until SIGTERM or SIGINT."""
        profile = BackendProfile(
            name=self.read_text_option("name"),
            service=self.read_text_option("service"),
            address=self.read_address("address"),
            daemons=tuple(check_address("--daemon", item) for item in self.option("daemon")),
            slots=self.read_number("slots", 1),
            connections=self.read_number("connections", 1),
            work_ms=self.read_number("work-ms", 0, float),
            checks_tokens=not self.option("unchecked"),
            journal=self.option("journal"),
        )
        self.run_async(serve(BackendStandin(profile).build_application, profile.address))
        return EXIT_SUCCESS
