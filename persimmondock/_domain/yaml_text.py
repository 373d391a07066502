"""Renders YAML that parses to the same data."""

from __future__ import annotations

from typing import Any

import yaml

NEXT_LINE = "\x85"  # a line break to the parser, which PyYAML writes without quotes


class _Dumper(yaml.SafeDumper):
    """Quotes text that would not be read back."""


def _represent_text(dumper: yaml.SafeDumper, text: str) -> yaml.ScalarNode:
    style = '"' if NEXT_LINE in text else None
    return dumper.represent_scalar("tag:yaml.org,2002:str", text, style=style)


_Dumper.add_representer(str, _represent_text)


def render_yaml(data: Any, sort_keys: bool = True) -> str:
    """Return data of plain types as YAML."""
    text: str = yaml.dump(data, Dumper=_Dumper, sort_keys=sort_keys, allow_unicode=True)
    return text
