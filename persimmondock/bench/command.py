"""The ``bench`` command."""

from __future__ import annotations

from contextlib import ExitStack
from pathlib import Path

from cleo.helpers import argument, option

from persimmondock._commands.base import BaseCommand, CommandError
from persimmondock._commands.exit_codes import EXIT_FAILED, EXIT_SUCCESS, EXIT_UNAVAILABLE
from persimmondock.bench.broken import BROKEN_MECHANISMS
from persimmondock.bench.faults import Scenario, ScenarioError, load_scenario
from persimmondock.bench.mixes import MIXES, Mix
from persimmondock.bench.runner import ScenarioRun, check_out_revision, render_json, show_table
from persimmondock.standins.fleet import FleetError


class BenchCommand(BaseCommand):
    """Measures a scenario on a fleet of real daemons and stand-ins."""

    name = "bench"
    description = "Run a scenario under load on loopback and measure it"
    arguments = [argument("scenario", "Name of a scenario, or path of its YAML file")]
    options = [
        option("mix", None, f"One of {', '.join(MIXES)}", flag=False, default="quadro-vivo"),
        option("seed", None, "Seed of the offered requests", flag=False, default="1"),
        option("network", None, "Third part of the addresses", flag=False, default="2"),
        option("beside", None, "Earlier commit to run the same load on", flag=False),
        option(
            "break",
            None,
            f"Mechanism to break: {', '.join(BROKEN_MECHANISMS)}",
            flag=False,
            default="",
        ),
        option("json", None, "File to write the figures to", flag=False),
    ]

    def perform(self) -> int:
        """Run and report; the exit code tells whether every invariant held."""
        scenario = self._read_scenario()
        mix = scenario.adapt_mix(self._read_mix())
        seed = self.read_number("seed", minimum=0)
        network = self.read_number("network", minimum=1)
        runs = {"now": ScenarioRun(mix, scenario, seed, network, broken=self._read_broken())}
        with ExitStack() as stack:
            revision = self.option("beside")
            if revision:
                source = stack.enter_context(check_out_revision(revision))
                runs = {revision: ScenarioRun(mix, scenario, seed, network, source), **runs}
            try:
                results = {name: self.run_async(run.execute()) for name, run in runs.items()}
            except FleetError as error:
                raise CommandError(str(error), EXIT_UNAVAILABLE) from error
        show_table(results, self.show)
        if self.option("json"):
            Path(self.option("json")).write_text(render_json(results), encoding="utf-8")
        return EXIT_FAILED if results["now"].breaches else EXIT_SUCCESS

    def _read_scenario(self) -> Scenario:
        try:
            return load_scenario(self.argument("scenario"))
        except ScenarioError as error:
            raise CommandError(str(error)) from error

    def _read_mix(self) -> Mix:
        name = self.option("mix")
        if name not in MIXES:
            raise CommandError(f"--mix: no mix {name!r}; known: {', '.join(MIXES)}")
        return MIXES[name]

    def _read_broken(self) -> str:
        name = str(self.option("break"))
        if name and name not in BROKEN_MECHANISMS:
            raise CommandError(
                f"--break: no mechanism {name!r}; known: {', '.join(BROKEN_MECHANISMS)}"
            )
        return name
