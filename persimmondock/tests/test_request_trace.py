"""Traces of requests from collected log lines."""

from __future__ import annotations

from pathlib import Path

import pytest

from persimmondock._commands.tracing import render_trace
from persimmondock._domain.request_trace import (
    MAX_CONTEXT_LINES,
    LogLine,
    parse_line,
    trace_request,
)
from persimmondock.tests.test_cli import run_cli

FRONT = "front-1"
OWNER = "owner-1"
NOT_ANSWERED = (
    "event=not_answered attempt=a1 route=r key=77 verdict=not_run reason={} tried=owner-1"
)


def make_line(daemon: str, second: float, text: str) -> LogLine:
    time = f"2026-03-28T19:47:{second:06.3f}+0000"
    line = parse_line(f"{daemon} time={time} level=INFO {text}", "-")
    assert line is not None
    return line


def test_a_line_is_parsed_with_or_without_its_writers_name():
    text = "time=2026-03-28T19:47:30.011+0000 level=WARNING event=x detail='two words' n=3"
    for line in (parse_line(text, "d"), parse_line(f"  -1.5 d {text}", "other")):
        assert line is not None
        assert line.daemon == "d"
        assert line.fields == {"event": "x", "detail": "two words", "n": "3"}
    assert parse_line("Traceback (most recent call last):", "d") is None


def test_lines_of_the_attempt_come_in_order_across_daemons():
    lines = [
        make_line(FRONT, 10.2, NOT_ANSWERED.format("backend_lost")),
        make_line(OWNER, 10.1, "event=outcome_unknown attempt=a1 reason=backend_lost"),
        make_line(FRONT, 10.15, "event=not_answered attempt=a2 reason=overloaded tried=-"),
    ]
    trace = trace_request(lines, "a1")
    assert [line.daemon for line in trace.attempt_lines] == [OWNER, FRONT]


@pytest.mark.parametrize(
    ("reason", "cause"),
    [
        ("overloaded", "event=backend_changed change=new_life cold_s=3.0"),
        ("handover_pending", "event=range_released first=64 last=127 fence=3"),
        ("lease_lapsed", "event=store_lost topic=t part=1 offset=4"),
        ("peer_silent", "event=backend_down instance=i reason=backend_down"),
        ("failure_domain_out", "event=failure_domains_out domains=recife"),
    ],
)
def test_context_lines_are_selected_by_the_reason(reason, cause):
    lines = [
        make_line(OWNER, 9.0, cause),
        make_line(OWNER, 9.0, "event=range_released first=128 last=255 fence=3"),
        make_line("elsewhere", 9.0, cause),
        make_line(OWNER, 1.0, cause),
        make_line(FRONT, 10.2, NOT_ANSWERED.format(reason)),
    ]
    trace = trace_request(lines, "a1")
    assert [(line.daemon, line.text) for line in trace.context_lines] == [(OWNER, cause)]


def test_omitted_context_lines_are_counted():
    lines = [make_line(OWNER, 6 + n / 100, "event=backend_down n=1") for n in range(100)]
    lines.append(make_line(FRONT, 10.0, NOT_ANSWERED.format("overloaded")))
    trace = trace_request(lines, "a1")
    assert len(trace.context_lines) == MAX_CONTEXT_LINES
    assert trace.omitted_count == 60
    assert "  60 earlier lines left out" in render_trace("a1", trace)


def test_dropped_lines_are_reported(tmp_path: Path, monkeypatch, capfd):
    file = tmp_path / "front-1.log"
    time = "time=2026-03-28T19:47:30.011+0000"
    file.write_text(f"{time} level=WARNING event=log_lines_dropped name=not_answered count=7\n")
    assert run_cli(monkeypatch, "trace", "a1", str(file)) == 1
    output = capfd.readouterr().out
    assert "no line names attempt a1" in output
    assert "7 of not_answered" in output


def test_a_trace_is_rendered_from_files(tmp_path: Path, monkeypatch, capfd):
    time = "time=2026-03-28T19:47:30.011+0000 level=INFO"
    (tmp_path / "front-1.log").write_text(f"{time} {NOT_ANSWERED.format('overloaded')}\n")
    (tmp_path / "owner-1.log").write_text(f"{time} event=backend_down instance=i\n")
    files = [str(path) for path in sorted(tmp_path.iterdir())]
    assert run_cli(monkeypatch, "trace", "a1", *files) == 0
    output = capfd.readouterr().out
    assert "front-1 event=not_answered attempt=a1" in output
    assert "owner-1 event=backend_down instance=i" in output


def test_a_missing_file_is_named(monkeypatch, capfd):
    assert run_cli(monkeypatch, "trace", "a1", "/nowhere/x.log") == 2
    assert "/nowhere/x.log: No such file" in capfd.readouterr().err
