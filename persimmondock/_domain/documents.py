"""Parser of YAML documents that reports all mistakes at once, each with its line.

Documents are plain data: no tags, no anchors, no aliases, no repeated keys, no tabs, and bounded in
size and depth. Reading one returns an instance of a typed class or raises a `DocumentError` with
all mistakes; it raises nothing else. The result depends on the text alone.
"""

from __future__ import annotations

import collections.abc
import enum
import functools
import types
import typing
from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import yaml

MAX_DEPTH = 12
MAX_MISTAKES = 50
MAX_SHOWN_CHARACTERS = 60

_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_T = TypeVar("_T")


@attrs.frozen(order=True)
class Mistake:
    """One mistake in a document.

    Parameters
    ----------
    line
        Line of the document, from 1; 0 when the mistake has no line.
    place
        Field, such as ``services[0].slices``; empty for the whole document.
    detail
        Description of the mistake, with the value.
    """

    line: int
    place: str
    detail: str

    def __str__(self) -> str:
        parts = [f"line {self.line}"] if self.line else []
        if self.place:
            parts.append(self.place)
        return ": ".join([*parts, self.detail])


class DocumentError(ValueError):
    """An invalid document, with all its mistakes."""

    def __init__(self, *mistakes: Mistake | str) -> None:
        self.mistakes = tuple(
            item if isinstance(item, Mistake) else Mistake(0, "", item) for item in mistakes
        )
        super().__init__("; ".join(str(mistake) for mistake in self.mistakes))

    def render_lines(self, name: str) -> str:
        """Return one line for each mistake, each with the name of the file."""
        return "\n".join(f"{name}: {mistake}" for mistake in self.mistakes)


def compose_document(text: str, max_characters: int) -> yaml.Node:
    """Return the node tree of a document.

    Raises
    ------
    DocumentError
        If the text is too large, not YAML, or uses more than plain data.
    """
    if len(text) > max_characters:
        raise DocumentError(f"{len(text)} characters, at most {max_characters}")
    try:
        _reject_unsupported_features(text)
        node = yaml.compose(text, Loader=_Loader)
    except yaml.YAMLError as error:
        raise DocumentError(_describe_yaml_error(text, error)) from error
    if node is None:
        raise DocumentError("the document is empty")
    return node


def _reject_unsupported_features(text: str) -> None:
    """Refuse tags, anchors, aliases and deep nesting before any node is built."""
    depth = 0
    event: Any
    for event in yaml.parse(text, Loader=_Loader):
        line = event.start_mark.line + 1
        if isinstance(event, yaml.AliasEvent) or getattr(event, "anchor", None):
            raise DocumentError(Mistake(line, "", "anchors and aliases are not allowed"))
        if getattr(event, "tag", None):
            raise DocumentError(Mistake(line, "", f"tag {event.tag!r} is not allowed"))
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        if isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            raise DocumentError(Mistake(line, "", f"nested deeper than {MAX_DEPTH} levels"))


def _describe_yaml_error(text: str, error: yaml.YAMLError) -> Mistake:
    mark = getattr(error, "problem_mark", None)
    problem = getattr(error, "problem", None) or str(error)
    line = mark.line + 1 if mark is not None else 0
    if line and _is_indented_by_tab(text, line):
        problem = "a tab where only spaces are allowed"
    return Mistake(line, "", "not YAML: " + " ".join(problem.split()))


def _is_indented_by_tab(text: str, line: int) -> bool:
    lines = text.splitlines()
    content = lines[line - 1] if line <= len(lines) else ""
    return "\t" in content[: len(content) - len(content.lstrip())]


@functools.cache
def _get_type_hints(kind: type) -> dict[str, Any]:
    return typing.get_type_hints(kind)


@attrs.define
class DocumentReader:
    """Builds instances of typed classes from a node tree and collects the mistakes."""

    mistakes: list[Mistake] = attrs.field(factory=list)

    def read_class(self, node: yaml.Node, kind: type[_T], place: str = "") -> _T | None:
        """Return an instance of an attrs class built from a mapping, or None after mistakes."""
        fields = {field.name: field for field in attrs.fields(kind)}  # type: ignore[arg-type]
        hints = _get_type_hints(kind)  # type: ignore[arg-type]
        entries = self.read_entries(node, place)
        if entries is None:
            return None
        count = len(self.mistakes)
        values = {}
        for name, child in entries.items():
            if name not in fields:
                known = ", ".join(sorted(fields))
                self.add_mistake(child, join_place(place, name), f"unknown field; known: {known}")
                continue
            before = len(self.mistakes)
            value = self.read_value(child, hints[name], join_place(place, name))
            values[name] = value
            if before == len(self.mistakes):
                self._validate(child, fields[name], value, join_place(place, name))
        for name, field in fields.items():
            if field.default is attrs.NOTHING and name not in entries:
                self.add_mistake(node, join_place(place, name), "missing")
        return self._build(node, kind, values, place) if count == len(self.mistakes) else None

    def read_entries(self, node: yaml.Node, place: str) -> dict[str, yaml.Node] | None:
        """Return the values of a mapping by key, or None after a mistake if it is no mapping."""
        if not isinstance(node, yaml.MappingNode):
            self.add_mistake(node, place, f"expected a mapping, not {describe_node(node)}")
            return None
        entries: dict[str, yaml.Node] = {}
        for key, child in node.value:
            name = key.value if isinstance(key, yaml.ScalarNode) else describe_node(key)
            if name in entries:
                self.add_mistake(key, join_place(place, name), "given twice")
            entries[name] = child
        return entries

    def read_items(self, node: yaml.Node, place: str) -> list[yaml.Node] | None:
        """Return the items of a list, or None after a mistake if it is no list."""
        if isinstance(node, yaml.SequenceNode):
            return list(node.value)
        self.add_mistake(node, place, f"expected a list, not {describe_node(node)}")
        return None

    def read_value(self, node: yaml.Node, hint: Any, place: str) -> Any:
        """Return the value of a node as a type; after mistakes the result is not meaningful."""
        origin = typing.get_origin(hint)
        if origin in (tuple, list, collections.abc.Sequence):
            items = self.read_items(node, place) or []
            inner = typing.get_args(hint)[0]
            return tuple(self.read_value(n, inner, f"{place}[{i}]") for i, n in enumerate(items))
        if origin in (dict, collections.abc.Mapping):
            entries = self.read_entries(node, place) or {}
            inner = typing.get_args(hint)[1]
            return {k: self.read_value(n, inner, join_place(place, k)) for k, n in entries.items()}
        if origin in (types.UnionType, typing.Union):
            return self._read_optional(node, hint, place)
        if attrs.has(hint):
            return self.read_class(node, hint, place)
        return self._read_scalar(node, hint, place)

    def add_mistake(self, node: yaml.Node, place: str, detail: str) -> None:
        """Add a mistake at a node, unless there are ``MAX_MISTAKES`` already."""
        if len(self.mistakes) < MAX_MISTAKES:
            self.mistakes.append(Mistake(node.start_mark.line + 1, place, detail))

    def raise_mistakes(self) -> None:
        """Raise all mistakes found so far.

        Raises
        ------
        DocumentError
            If there are any.
        """
        if self.mistakes:
            raise DocumentError(*sorted(self.mistakes))

    def _read_optional(self, node: yaml.Node, hint: Any, place: str) -> Any:
        if _construct_scalar(node) is None:
            return None
        inner = next(item for item in typing.get_args(hint) if item is not type(None))
        return self.read_value(node, inner, place)

    def _read_scalar(self, node: yaml.Node, kind: Any, place: str) -> Any:
        value = _construct_scalar(node)
        if isinstance(kind, type) and issubclass(kind, enum.Enum):
            choices = [member.value for member in kind]
            if value in choices:
                return kind(value)
            self.add_mistake(
                node, place, f"expected one of {', '.join(choices)}, not {describe_node(node)}"
            )
            return None
        if type(value) is kind or (kind is float and type(value) is int):
            return kind(value)
        if kind is int and type(value) is float and value.is_integer():
            return int(value)
        self.add_mistake(
            node, place, f"expected {TYPE_NAMES.get(kind, kind)}, not {describe_node(node)}"
        )
        return None

    def _validate(self, node: yaml.Node, field: Any, value: Any, place: str) -> None:
        """Run a field's validator separately, so that each invalid field is reported."""
        if field.validator is None:
            return
        try:
            field.validator(None, field, value)
        except (TypeError, ValueError) as error:
            detail = str(error).removeprefix(field.name).strip()
            self.add_mistake(node, place, detail)

    def _build(self, node: yaml.Node, kind: type[_T], values: dict[str, Any], place: str) -> Any:
        try:
            return kind(**values)
        except (TypeError, ValueError) as error:
            self.add_mistake(node, place, str(error))
            return None


TYPE_NAMES: dict[Any, str] = {
    str: "text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
}


def join_place(place: str, name: str) -> str:
    """Return the place of a field within another place.

    Names that are empty, not printable or too long are quoted and truncated.
    """
    if not name.isprintable() or not name or len(name) > MAX_SHOWN_CHARACTERS:
        name = repr(name[:MAX_SHOWN_CHARACTERS])
    return f"{place}.{name}" if place else name


def describe_node(node: yaml.Node) -> str:
    """Return a short text for a value."""
    if isinstance(node, yaml.MappingNode):
        return "a mapping"
    if isinstance(node, yaml.SequenceNode):
        return "a list"
    text = repr(_construct_scalar(node)) if node.value else "nothing"
    if len(text) > MAX_SHOWN_CHARACTERS:
        return text[:MAX_SHOWN_CHARACTERS] + "..."
    return text


_constructor = yaml.constructor.SafeConstructor()
_CONSTRUCTORS: dict[str, Callable[[yaml.ScalarNode], Any]] = {
    "tag:yaml.org,2002:null": _constructor.construct_yaml_null,
    "tag:yaml.org,2002:bool": _constructor.construct_yaml_bool,
    "tag:yaml.org,2002:int": _constructor.construct_yaml_int,
    "tag:yaml.org,2002:float": _constructor.construct_yaml_float,
}


def _construct_scalar(node: yaml.Node) -> Any:
    """Return the value of a scalar node.

    Types other than null, bool, int and float, such as dates, stay text.
    """
    if not isinstance(node, yaml.ScalarNode) or node.tag not in _CONSTRUCTORS:
        return node.value
    try:
        return _CONSTRUCTORS[node.tag](node)
    except (yaml.YAMLError, ValueError, OverflowError):
        return node.value
