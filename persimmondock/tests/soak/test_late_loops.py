"""What the soak reads from the daemons' logs about late event loops."""

from __future__ import annotations

from pathlib import Path

import pytest

from persimmondock.soak.checks import Breach, Span
from persimmondock.soak.command import render_breach, summarize_late_loops
from persimmondock.soak.late_loops import LateLoop, read_late_loops

MIDNIGHT = 1_767_225_600.0  # 2026-01-01, in seconds of the time of day
OFFSET_S = MIDNIGHT - 100.0  # the monotonic clock is at 100 s then

LOG = """\
time=2026-01-01T00:00:01.000+0000 level=INFO event=daemon_started daemon=vm-2
time=2026-01-01T00:00:04.500+0000 level=WARNING event=loop_late late_s=3.00 busy_s=0.02 cause=not_run
Traceback (most recent call last):
time=2026-01-01T01:00:09.000+0100 level=WARNING event=loop_late late_s=2.00 busy_s=1.90 cause=busy
"""  # noqa: E501


def read(folder: Path, *outages: Span) -> tuple[LateLoop, ...]:
    (folder / "vm-2.log").write_text(LOG, encoding="utf-8")
    (folder / "vm-3.log").write_bytes(b"\xff event=loop_late\n")
    return read_late_loops(folder, OFFSET_S, outages)


def test_instants_of_the_log_are_those_of_the_checks(tmp_path: Path) -> None:
    assert read(tmp_path) == (
        LateLoop("vm-2", 101.5, 104.5, 0.02),
        LateLoop("vm-2", 107.0, 109.0, 1.9),
    )


def test_a_freeze_of_the_plan_is_told_from_a_stall(tmp_path: Path) -> None:
    found = read(tmp_path, Span("vm-2", 101.5, 104.4), Span("vm-3", 106.0, 110.0))
    assert [item.planned for item in found] == [True, False]
    assert summarize_late_loops(found) == [
        "vm-2: event loop late 1 times, by up to 2.00 s, then busy for 1.90 s"
    ]


def test_a_stall_before_the_plan_kills_a_daemon_is_not_taken_for_a_freeze(tmp_path: Path) -> None:
    """Guards against stalls that the summary leaves out (seen for one of 0.25 s)."""
    found = read(tmp_path, Span("vm-2", 101.6, 105.2), Span("vm-2", 107.4, 109.1))
    assert [item.planned for item in found] == [False, False]


@pytest.mark.parametrize("rule", ["HELD", "OWNER"])
def test_a_breach_names_the_loops_that_were_late(tmp_path: Path, rule: str) -> None:
    """Guards against reports of held requests that do not tell a stalled daemon (issue 49)."""
    breach = Breach(rule, 104.6, "request s1", "by vm-2 for 4.10 s")
    assert render_breach(breach, 100.0, (), read(tmp_path))[1:] == [
        "    vm-2 late by 3.00 s until 4.50 s, busy for 0.02 s",
        "    vm-2 late by 2.00 s until 9.00 s, busy for 1.90 s",
    ]
    assert render_breach(breach, 100.0, (), ())[1:] == ["    no event loop was late"]
