"""Configuration of services and of the fleet, which operators publish and daemons read.

Each service and the fleet as a whole is a subject, with a YAML document as its body.
"""

from __future__ import annotations

import enum
import json
import re
from typing import Any, TypeVar

import attrs

from persimmondock._domain.documents import DocumentError, DocumentReader, compose_document
from persimmondock._domain.structuring import make_strict_converter
from persimmondock._domain.yaml_text import render_yaml

FLEET_SUBJECT = "fleet"
SERVICE_PREFIX = "service/"
MAX_BODY_CHARACTERS = 64 * 1024
MAX_SLICES = 1 << 20
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


class ConfigurationError(DocumentError):
    """An invalid configuration; the message names the value and its place."""


class Urgency(enum.StrEnum):
    """How long a request may wait for a free slot."""

    MUST_ANSWER_FAST = "must_answer_fast"
    MAY_WAIT = "may_wait"


def _check_positive(_: Any, attribute: attrs.Attribute[int], value: int) -> None:
    if value <= 0:
        raise ValueError(f"{attribute.name} must be greater than 0, not {value}")


def _check_slices(_: Any, attribute: attrs.Attribute[int], value: int) -> None:
    if not 1 <= value <= MAX_SLICES:
        raise ValueError(f"{attribute.name} must be from 1 to {MAX_SLICES}, not {value}")


def _check_distinct(_: Any, attribute: attrs.Attribute[Any], value: tuple[str, ...]) -> None:
    seen: set[str] = set()
    for name in value:
        if name in seen:
            raise ValueError(f"{attribute.name} has {name!r} twice")
        seen.add(name)


def _check_name(_: Any, attribute: attrs.Attribute[str], value: str) -> None:
    if not NAME_PATTERN.fullmatch(value):
        raise ValueError(
            f"{attribute.name} must be 1 to 63 letters, digits, '-', '_' or '.', not {value!r}"
        )


def _check_path(_: Any, attribute: attrs.Attribute[str], value: str) -> None:
    if not value.startswith("/") or value.endswith("/"):
        raise ValueError(f"{attribute.name} must start with '/' and not end with it, not {value!r}")


@attrs.frozen
class Route:
    """How requests whose path ends with a given suffix are treated.

    Parameters
    ----------
    suffix
        Last part of the path, such as ``/assign``.
    urgency
        Urgency of these requests.
    idempotent
        Whether running such a request twice is the same as running it once.
    """

    suffix: str = attrs.field(validator=_check_path)
    urgency: Urgency = Urgency.MUST_ANSWER_FAST
    idempotent: bool = True


@attrs.frozen
class ServiceConfiguration:
    """One service.

    Parameters
    ----------
    name
        Name of the service.
    path
        Prefix of the caller's request paths, such as ``/painel``.
    keyed
        Whether backend servers own keys; the key is the first path segment after the prefix.
    slices
        Number of slices into which the keys, or the request identifiers, are hashed.
    urgency
        Urgency of requests that match no route.
    idempotent
        Idempotence of requests that match no route.
    timeout_ms
        Longest time that a request may take, in milliseconds.
    request_id_ms
        Time that the answer to a non-idempotent request is kept, in milliseconds.
    routes
        Exceptions to ``urgency`` and ``idempotent``.
    """

    name: str = attrs.field(validator=_check_name)
    path: str = attrs.field(validator=_check_path)
    keyed: bool = False
    slices: int = attrs.field(default=256, validator=_check_slices)
    urgency: Urgency = Urgency.MUST_ANSWER_FAST
    idempotent: bool = True
    timeout_ms: int = attrs.field(default=10_000, validator=_check_positive)
    request_id_ms: int = attrs.field(default=300_000, validator=_check_positive)
    routes: tuple[Route, ...] = ()

    def find_route(self, path: str) -> Route:
        """Return the route of a request path, or the service's defaults."""
        for route in self.routes:
            if path.endswith(route.suffix):
                return route
        return Route(suffix="/*", urgency=self.urgency, idempotent=self.idempotent)


@attrs.frozen
class FleetConfiguration:
    """Configuration of the fleet as a whole.

    Parameters
    ----------
    failure_domains_out
        Failure domains that get no new requests.
    draining
        Names of backend servers that get no new requests.
    """

    failure_domains_out: tuple[str, ...] = attrs.field(default=(), validator=_check_distinct)
    draining: tuple[str, ...] = attrs.field(default=(), validator=_check_distinct)

    def take_out(self, failure_domain: str) -> FleetConfiguration:
        """Return the configuration with a failure domain taken out."""
        return attrs.evolve(
            self, failure_domains_out=_add(self.failure_domains_out, failure_domain)
        )

    def bring_back(self, failure_domain: str) -> FleetConfiguration:
        """Return the configuration with a failure domain brought back.

        Raises
        ------
        ConfigurationError
            If it is not out.
        """
        remaining = _remove(self.failure_domains_out, failure_domain, "failure domains out")
        return attrs.evolve(self, failure_domains_out=remaining)

    def drain(self, backend: str) -> FleetConfiguration:
        """Return the configuration with a backend server draining."""
        return attrs.evolve(self, draining=_add(self.draining, backend))

    def undrain(self, backend: str) -> FleetConfiguration:
        """Return the configuration with a backend server no longer draining.

        Raises
        ------
        ConfigurationError
            If it is not draining.
        """
        return attrs.evolve(self, draining=_remove(self.draining, backend, "draining"))


def _add(names: tuple[str, ...], name: str) -> tuple[str, ...]:
    if not name or not isinstance(name, str):
        raise ConfigurationError(f"expected a name, not {name!r}")
    return tuple(sorted({*names, name}))


def _remove(names: tuple[str, ...], name: str, what: str) -> tuple[str, ...]:
    if name not in names:
        choices = ", ".join(names) or "none"
        raise ConfigurationError(f"{name!r} is not among the {what}: {choices}")
    return tuple(item for item in names if item != name)


_converter = make_strict_converter()

_T = TypeVar("_T", ServiceConfiguration, FleetConfiguration)


def parse_subject(body: str, kind: type[_T]) -> _T:
    """Parse the YAML body of one subject.

    Raises
    ------
    ConfigurationError
        If the body is too large, not YAML, or not a valid configuration.
    """
    reader = DocumentReader()
    try:
        parsed = reader.read_class(compose_document(body, MAX_BODY_CHARACTERS), kind)
        reader.raise_mistakes()
    except DocumentError as error:
        raise ConfigurationError(*error.mistakes) from error
    assert parsed is not None
    return parsed


def render_subject(configuration: ServiceConfiguration | FleetConfiguration) -> str:
    """Return the YAML body of one subject; equal configurations give the same text."""
    data = json.loads(json.dumps(_converter.unstructure(configuration)))
    return render_yaml(data)
