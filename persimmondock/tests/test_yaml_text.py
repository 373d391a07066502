"""YAML is read back as it was rendered."""

from __future__ import annotations

import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st

from persimmondock._domain.configuration import (
    FleetConfiguration,
    parse_subject,
    render_subject,
)
from persimmondock._domain.yaml_text import render_yaml


@pytest.mark.parametrize("name", ["\x85", "a\x85b", "\u2028", "\ufeff", "no", "1", "ç"])
def test_names_survive_rendering_and_parsing(name: str) -> None:
    """U+0085 was written without quotes and read as a space."""
    configuration = FleetConfiguration((), (name,))
    assert parse_subject(render_subject(configuration), FleetConfiguration) == configuration


@given(st.text(st.characters(codec="utf-8", exclude_characters="\x00"), max_size=8))
def test_text_survives(text: str) -> None:
    printable = "".join(c for c in text if c.isprintable() or c in "\x85\u2028\u2029\n\t")
    assert yaml.safe_load(render_yaml([printable])) == [printable]


def test_other_text_is_rendered_as_before() -> None:
    data = {"b": ["ç", "a b", "no"], "a": 1}
    assert render_yaml(data) == yaml.safe_dump(data, sort_keys=True, allow_unicode=True)
