"""Rate limit of log lines, and the lists of events and metrics in the docs."""

from __future__ import annotations

import re
from datetime import UTC, datetime, timedelta
from pathlib import Path

import attrs
import pytest

import persimmondock
from persimmondock._adapters.logging import RateLimitedSink

PACKAGE = Path(persimmondock.__file__).parent
DOCS = PACKAGE.parent / "docs"
STARTED_AT = datetime(2026, 1, 1, tzinfo=UTC)


@attrs.frozen
class FakeMessage:
    """Message as loguru passes it to a sink."""

    text: str
    at: datetime

    @property
    def record(self):
        """Return the fields that the sink reads."""
        return {"time": self.at, "message": self.text}

    def __str__(self) -> str:
        return self.text + "\n"


def test_repeated_event_is_rate_limited_and_counted():
    """Lines over the limit are dropped and counted; other events pass."""
    lines: list[str] = []
    sink = RateLimitedSink(lines.append, limit=3)
    for _ in range(100):
        sink.emit(FakeMessage("event=frame_refused detail=x", STARTED_AT))
    sink.emit(FakeMessage("event=leaving daemon=vm-1", STARTED_AT))
    sink.emit(FakeMessage("event=frame_refused detail=y", STARTED_AT + timedelta(seconds=1)))
    assert [line.split()[0] for line in lines[:4]] == ["event=frame_refused"] * 3 + [
        "event=leaving"
    ]
    assert "event=log_lines_dropped name=frame_refused count=97" in lines[4]
    assert lines[5:] == ["event=frame_refused detail=y\n"]


def list_source_names(pattern: str) -> set[str]:
    """Return the names that a pattern finds in the package's own sources."""
    names: set[str] = set()
    for path in PACKAGE.rglob("*.py"):
        if not {"tests", "properties", "standins"} & set(path.parts):
            names |= set(re.findall(pattern, path.read_text(encoding="utf-8")))
    return names


def list_page_names(page: str) -> set[str]:
    """Return the names in the first column of a page's tables."""
    text = (DOCS / page).read_text(encoding="utf-8")
    return set(re.findall(r"^\| `([\w.]+?)(?:\.VERDICT.*)?` \|", text, re.MULTILINE))


@pytest.mark.parametrize(
    ("page", "pattern"),
    [
        ("logs.md", r"event=(\w+)[ \"]"),
        ("metrics.md", r"\.(?:count|set_gauge|time)\(\s*f?\"(\w+)"),
    ],
)
def test_each_name_in_the_source_is_on_its_page(page, pattern):
    """The page lists every event or metric of the source, and no other."""
    assert list_page_names(page) == list_source_names(pattern)
