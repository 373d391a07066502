"""Tests that the page for callers lists every reason and header, and that its example works."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import persimmondock
from persimmondock._domain import fields
from persimmondock._domain.owner_map import build_owner_map
from persimmondock._domain.slices import find_slice
from persimmondock._domain.verdict import Reason
from persimmondock.tests.builders import make_view

PAGE = Path(persimmondock.__file__).parent.parent / "docs" / "callers.md"


def test_the_page_lists_every_reason_and_no_other() -> None:
    text = PAGE.read_text(encoding="utf-8")
    table = text.partition("## Reasons")[2].partition("\n## ")[0]
    first_cells = [line.split("|")[1] for line in table.splitlines() if line.startswith("| `")]
    listed = re.findall(r"`(\w+)`", "".join(first_cells))
    assert sorted(listed) == sorted(reason.value for reason in Reason)


def test_the_page_lists_every_header() -> None:
    text = PAGE.read_text(encoding="utf-8")
    names = [value for name, value in vars(fields).items() if name.endswith("_HEADER")]
    assert len(names) >= 7
    assert [name for name in names if f"`{name}`" not in text] == []


def test_the_example_finds_the_owner() -> None:
    code = re.findall(r"^```python\n(.*?)^```", PAGE.read_text(), re.MULTILINE | re.DOTALL)[0]
    scope: dict[str, Any] = {}
    exec(code, scope)
    view = make_view(3)
    owner_map = build_owner_map(view, "painel")
    assert owner_map is not None
    state = view.services["painel"]
    for key in ("room-12", "suíte", ""):
        placed = state.backends[int(state.owners[find_slice(key, state.slices)])]
        expected = view.members[placed.member.daemon].caller_address
        assert scope["find_address"](owner_map.to_plain(), key) == expected
