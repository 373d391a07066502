"""The ``soak`` command."""

from __future__ import annotations

import shutil
import tempfile
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

from cleo.helpers import option

from persimmondock._commands.base import BaseCommand, CommandError
from persimmondock._commands.exit_codes import EXIT_FAILED, EXIT_SUCCESS
from persimmondock.soak.broken import BREAKS
from persimmondock.soak.checks import Breach
from persimmondock.soak.late_loops import LateLoop, render_late_loops, summarize_late_loops
from persimmondock.soak.plan import Event, draw_plan
from persimmondock.soak.runner import SoakRunner
from persimmondock.soak.site import SoakSite
from persimmondock.standins.site_messages import GRANT_MODES

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_VMS = 240  # a VM's number is the last octet of its address; the store's is 250
LATE_WITHIN_S = 8.0  # before a breach: a request may be held that long, a lease lasts 3 s
MAX_SHOWN_ITEMS = 6  # breaches of each rule, and events before each


class SoakCommand(BaseCommand):
    """Runs daemons with the faults of a seed and checks what is observed."""

    name = "soak"
    description = "Run the platform's daemons on loopback, inject faults, and check the rules"
    help = "A seed determines the plan. Exit code 1 if a rule was broken; the logs are then kept."
    options = [
        option("seed", None, "Seed of the plan", flag=False, default="1"),
        option("for", None, "Duration of the load in seconds", flag=False, default="40"),
        option("vms", None, "Number of VMs", flag=False, default="6"),
        option("network", None, "Third octet of the addresses", flag=False, default="1"),
        option(
            "grants",
            None,
            f"How keys are granted: {', '.join(GRANT_MODES)}",
            flag=False,
            default=GRANT_MODES[0],
        ),
        option("break", None, f"Mechanism to break: {', '.join(BREAKS)}", flag=False, default=""),
        option("out", None, "Folder for the logs, which are kept", flag=False),
    ]

    def perform(self) -> int:
        """Run the plan and show the breaches."""
        seed = self.read_number("seed", minimum=0)
        duration_s = self.read_number("for", minimum=1, kind=float)
        vms = self.read_number("vms", minimum=4)
        network = self.read_number("network", minimum=0)
        if vms > MAX_VMS:
            raise CommandError(f"--vms: must be at most {MAX_VMS}, not {vms}")
        if network > 255:
            raise CommandError(f"--network: must be at most 255, not {network}")
        grants = self.option("grants")
        if grants not in GRANT_MODES:
            raise CommandError(
                f"--grants: expected one of {', '.join(GRANT_MODES)}, not {grants!r}"
            )
        folder = self._make_folder()
        plan = draw_plan(seed, duration_s, vms)
        site = SoakSite(vms, network, folder, self._read_daemon_arguments(), grants)
        runner = SoakRunner(site, plan, seed, duration_s)
        breaches = self.run_async(runner.run())
        self.show(
            f"seed {seed}: {len(plan)} events, {runner.summary}, host late by up to "
            f"{runner.max_wakeup_delay_s:.2f} s, {len(breaches)} broken"
        )
        late_loops = runner.list_late_loops()
        for line in summarize_late_loops(late_loops):
            self.show(line)
        counts = Counter(breach.rule for breach in breaches)
        for rule, count in sorted(counts.items()):
            self.show(f"{rule}: {count}")
            for breach in [item for item in breaches if item.rule == rule][:MAX_SHOWN_ITEMS]:
                for line in render_breach(breach, runner.started_at, plan, late_loops):
                    self.show(line)
        if breaches or self.option("out"):
            self.show(f"logs: {folder}")
        else:
            shutil.rmtree(folder)
        return EXIT_FAILED if breaches else EXIT_SUCCESS

    def _make_folder(self) -> Path:
        if self.option("out"):
            folder = Path(self.option("out"))
            folder.mkdir(parents=True, exist_ok=True)
            return folder
        return Path(tempfile.mkdtemp(prefix="persimmondock-soak-"))

    def _read_daemon_arguments(self) -> tuple[str, ...]:
        name = self.option("break")
        if not name:
            return ("-m", "persimmondock.platform")
        if name not in BREAKS:
            raise CommandError(f"--break: expected one of {', '.join(BREAKS)}, not {name!r}")
        return ("-m", "persimmondock.soak.broken", name)


def render_breach(
    breach: Breach, started_at: float, plan: tuple[Event, ...], late_loops: Sequence[LateLoop] = ()
) -> list[str]:
    """Return lines that describe a breach, the events and the late event loops before it."""
    at_s = breach.at - started_at
    before = [event for event in plan if event.at_s <= at_s][-MAX_SHOWN_ITEMS:]
    lines = [f"{breach.rule} at {at_s:.2f} s: {breach.subject}: {breach.detail}"]
    if breach.rule in ("HELD", "OWNER"):
        lines += render_late_loops(
            late_loops, breach.at - LATE_WITHIN_S, breach.at + LATE_WITHIN_S / 2, started_at
        ) or ["    no event loop was late"]
    return lines + [
        f"    {event.at_s:.2f} s {event.kind} {f'vm-{event.vm}' if event.vm else 'site'} "
        f"for {event.for_s:g} s {event.mode}".rstrip()
        for event in before
    ]
