"""Tests of reading journals."""

from __future__ import annotations

import json

from persimmondock.standins.fleet import read_journal


def make_event(event: str, run: int, at: float, instance: str) -> str:
    fields = {"event": event, "run": run, "at": at, "instance": instance}
    if event == "start":
        fields |= {"request_id": "", "path": "/painel/a", "slice": 3, "token": 1}
    else:
        fields |= {"completed": True}
    return json.dumps(fields) + "\n"


def test_an_unfinished_run_ends_at_the_last_event_of_its_process(tmp_path) -> None:
    """A restarted process appends to the same journal and numbers its runs from 1 again."""
    path = tmp_path / "journal"
    path.write_text(
        make_event("start", 1, 1.0, "first")
        + make_event("start", 2, 2.0, "first")
        + make_event("start", 1, 9.0, "second")
        + make_event("end", 1, 9.5, "second")
    )
    spans = [(run.started_at, run.ended_at, run.completed) for run in read_journal("b", path)]
    assert spans == [(1.0, 2.0, False), (2.0, 2.0, False), (9.0, 9.5, True)]
