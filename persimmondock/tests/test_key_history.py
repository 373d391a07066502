"""Histories of keys from collected log lines."""

from __future__ import annotations

from pathlib import Path

import pytest

from persimmondock._commands.exit_codes import EXIT_FAILED, EXIT_INVALID_INPUT, EXIT_SUCCESS
from persimmondock._domain.key_history import list_holds
from persimmondock._domain.request_trace import LogLine, parse_line
from persimmondock.tests.test_cli import run_cli

TAKEN = "event=range_taken first={} last={} fence={} instance={} former=0 handover=False"


def make_text(second: float, text: str) -> str:
    return f"time=2026-03-28T19:47:{second:06.3f}+0000 level=INFO {text}"


def make_line(daemon: str, second: float, text: str) -> LogLine:
    line = parse_line(make_text(second, text), daemon)
    assert line is not None
    return line


def test_holds_come_in_order_with_what_ended_them() -> None:
    lines = [
        make_line("vm-2", 5.0, TAKEN.format(64, 95, 7, "i-2")),
        make_line("vm-1", 1.0, TAKEN.format(0, 127, 1, "i-1")),
        make_line("vm-1", 4.9, "event=range_released first=64 last=95 fence=1 handover=True"),
        make_line("vm-2", 5.5, "event=backend_changed change=slots instance=i-2"),
        make_line("vm-2", 6.0, "event=backend_changed change=new_life instance=i-3"),
        make_line("vm-2", 5.0, TAKEN.format(96, 127, 9, "i-2")),
    ]
    holds = list_holds(lines, 70)
    assert [(hold.daemon, hold.instance, hold.fence, hold.ended_by) for hold in holds] == [
        ("vm-1", "i-1", 1, "range_released"),
        ("vm-2", "i-2", 7, "backend_changed"),
    ]
    assert not any(hold.is_token_reused for hold in holds)


def test_a_token_that_is_not_above_an_earlier_one_is_shown() -> None:
    lines = [
        make_line("vm-1", 1.0, TAKEN.format(0, 9, 24, "i-1")),
        make_line("vm-2", 2.0, TAKEN.format(0, 9, 2, "i-2")),
        make_line("vm-1", 3.0, TAKEN.format(0, 9, 24, "i-1")),
    ]
    assert [hold.is_token_reused for hold in list_holds(lines, 5)] == [False, True, False]


def test_the_history_of_a_key_is_shown(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "vm-1.log"
    path.write_text(f"{make_text(1.0, TAKEN.format(0, 9, 2, 'i-1'))}\nnot a line\n")
    assert run_cli(monkeypatch, "key-history", "5", str(path)) == EXIT_SUCCESS
    assert "i-1 at vm-1, token 2, keys 0 to 9" in capsys.readouterr().out
    assert run_cli(monkeypatch, "key-history", "10", str(path)) == EXIT_FAILED


@pytest.mark.parametrize("key", ["65536", "-1", "x", "²"])
def test_a_key_out_of_range_is_refused(
    key: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "vm-1.log"
    path.write_text("")
    assert run_cli(monkeypatch, "key-history", "--", key, str(path)) == EXIT_INVALID_INPUT
    assert f"{key!r} is not a number from 0 to 65535" in capsys.readouterr().err
