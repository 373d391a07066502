"""Strict conversion of plain data into attrs classes."""

from __future__ import annotations

import enum
from typing import Any

from cattrs import Converter


def make_strict_converter() -> Converter:
    """Return a converter that refuses unknown fields and values of another type."""
    converter = Converter(forbid_extra_keys=True)
    for kind in (str, int, bool):
        converter.register_structure_hook_func(_match_exactly(kind), _structure_exactly)
    converter.register_structure_hook_func(_match_exactly(float), _structure_number)
    converter.register_unstructure_hook_func(_is_text_enum, lambda value: value.value)
    return converter


def _is_text_enum(kind: type) -> bool:
    return isinstance(kind, type) and issubclass(kind, enum.StrEnum)


def _match_exactly(kind: type) -> Any:
    return lambda wanted: wanted is kind


def _structure_exactly(value: Any, kind: type) -> Any:
    if type(value) is not kind:
        raise ValueError(f"expected {kind.__name__}, not {value!r}")
    return value


def _structure_number(value: Any, _: type) -> float:
    if type(value) not in (int, float):
        raise ValueError(f"expected a number, not {value!r}")
    return float(value)
