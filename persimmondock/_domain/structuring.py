"""Strict conversion of plain data into attrs classes."""

from __future__ import annotations

import enum
from typing import Any

from cattrs import Converter
from cattrs.errors import BaseValidationError
from cattrs.v import format_exception, transform_error


def make_strict_converter() -> Converter:
    """Return a converter that refuses unknown fields and values of another type."""
    converter = Converter(forbid_extra_keys=True)
    for kind in (str, int, bool):
        converter.register_structure_hook(kind, _structure_exactly)
    converter.register_structure_hook(float, _structure_number)
    converter.register_structure_hook_func(_is_text_enum, _structure_choice)
    converter.register_unstructure_hook_func(_is_text_enum, lambda value: value.value)
    return converter


def describe_mistakes(error: BaseValidationError) -> str:
    """Return all mistakes of a conversion in one line, each with its value and its place."""
    return "; ".join(transform_error(error, format_exception=_describe_mistake))


def _describe_mistake(error: BaseException, kind: type | None) -> str:
    if isinstance(error, ValueError) and error.args:
        return str(error)
    return format_exception(error, kind)


def _is_text_enum(kind: type) -> bool:
    return isinstance(kind, type) and issubclass(kind, enum.StrEnum)


def _structure_choice(value: Any, kind: type[enum.StrEnum]) -> enum.StrEnum:
    choices = [item.value for item in kind]
    if value not in choices:
        raise ValueError(f"expected one of {', '.join(choices)}, not {value!r}")
    return kind(value)


def _structure_exactly(value: Any, kind: type) -> Any:
    if _is_text_enum(kind):
        return _structure_choice(value, kind)
    if type(value) is not kind:
        raise ValueError(f"expected {kind.__name__}, not {value!r}")
    return value


def _structure_number(value: Any, _: type) -> float:
    if type(value) not in (int, float):
        raise ValueError(f"expected a number, not {value!r}")
    return float(value)
