"""The ``bench`` command."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from persimmondock.bench.broken import BREAKS
from persimmondock.bench.faults import ScenarioError, load_scenario
from persimmondock.bench.mixes import MIXES
from persimmondock.bench.runner import Run, check_out, render_json, show_table
from persimmondock.standins.fleet import FleetError

EXIT_BROKEN = 1
EXIT_INPUT = 2
EXIT_UNUSABLE = 3


class BenchCommand(Command):
    """Measures a scenario on a fleet of real daemons and stand-ins."""

    name = "bench"
    description = "Run a scenario under load on loopback and measure it"
    arguments = [argument("scenario", "Name of a scenario, or path of its YAML file")]
    options = [
        option("mix", None, f"One of {', '.join(MIXES)}", flag=False, default="quadro-vivo"),
        option("seed", None, "Seed of the offered requests", flag=False, default="1"),
        option("network", None, "Third part of the addresses", flag=False, default="2"),
        option("beside", None, "Earlier commit to run the same load on", flag=False),
        option("break", None, f"Mechanism to break: {', '.join(BREAKS)}", flag=False, default=""),
        option("json", None, "File to write the figures to", flag=False),
    ]

    def handle(self) -> int:
        """Run and report; the exit code tells whether every invariant held."""
        try:
            return self._handle()
        except (ScenarioError, ValueError) as error:
            self.line_error(str(error))
            return EXIT_INPUT
        except FleetError as error:
            self.line_error(str(error))
            return EXIT_UNUSABLE

    def _handle(self) -> int:
        scenario = load_scenario(self.argument("scenario"))
        mix = MIXES.get(self.option("mix"))
        if mix is None:
            raise ScenarioError(f"no mix {self.option('mix')!r}; known: {', '.join(MIXES)}")
        mix = scenario.adapt_mix(mix)
        broken = self.option("break")
        if broken and broken not in BREAKS:
            raise ScenarioError(f"cannot break {broken!r}; known: {', '.join(BREAKS)}")
        seed, network = int(self.option("seed")), int(self.option("network"))
        runs = {"now": Run(mix, scenario, seed, network, broken=broken)}
        with ExitStack() as stack:
            revision = self.option("beside")
            if revision:
                source = stack.enter_context(check_out(revision))
                runs = {revision: Run(mix, scenario, seed, network, source), **runs}
            results = {name: asyncio.run(run.execute()) for name, run in runs.items()}
        show_table(results, self.line)
        if self.option("json"):
            Path(self.option("json")).write_text(render_json(results), encoding="utf-8")
        return EXIT_BROKEN if results["now"].breaches else 0
