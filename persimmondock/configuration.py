"""Library for operators: builds a configuration and prints it as YAML.

Examples
--------
>>> from persimmondock.configuration import Configuration
>>> fleet = Configuration()
>>> _ = fleet.add_service("painel", path="/painel", keyed=True)
>>> fleet.print()  # doctest: +SKIP
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import attrs
import yaml

from persimmondock._domain.configuration import (
    FLEET_SUBJECT,
    SERVICE_PREFIX,
    ConfigurationError,
    FleetConfiguration,
    Route,
    ServiceConfiguration,
    Urgency,
    parse_subject,
    render_subject,
)
from persimmondock._domain.documents import (
    DocumentError,
    DocumentReader,
    Mistake,
    compose_document,
    join_place,
)
from persimmondock._domain.yaml_text import render_yaml

if TYPE_CHECKING:
    from typing import TextIO

MAX_DOCUMENT_CHARACTERS = 4 * 1024 * 1024

__all__ = [
    "Configuration",
    "ConfigurationError",
    "Route",
    "ServiceConfiguration",
    "Urgency",
    "parse_configuration",
]


class Configuration:
    """Configuration of the services and of the fleet."""

    def __init__(self) -> None:
        self.services: dict[str, ServiceConfiguration] = {}
        self.fleet = FleetConfiguration()

    def add_service(self, name: str, *, path: str, **options: Any) -> ServiceConfiguration:
        """Add a service; ``options`` are the fields of `ServiceConfiguration`.

        Raises
        ------
        ConfigurationError
            If a value is invalid, or another service has the name or the path.
        """
        fields = _to_plain_data({"name": name, "path": path, **options})
        text = render_yaml(fields, sort_keys=False)
        try:
            service = parse_subject(text, ServiceConfiguration)
        except ConfigurationError as error:
            without_lines = [attrs.evolve(mistake, line=0) for mistake in error.mistakes]
            raise ConfigurationError(*without_lines) from None
        paths = {other.path: other.name for other in self.services.values()}
        self._insert(service, paths, Mistake(0, "", ""))
        return service

    def set_limits(self, service: str, **limits: Any) -> ServiceConfiguration:
        """Change fields of a service, such as ``timeout_ms``.

        Raises
        ------
        ConfigurationError
            If the service is unknown or a value is invalid.
        """
        existing = self.services.get(service)
        if existing is None:
            known = ", ".join(sorted(self.services)) or "none"
            raise ConfigurationError(f"no service {service!r}; known: {known}")
        del self.services[service]
        try:
            return self.add_service(**{**attrs.asdict(existing, recurse=False), **limits})
        except ConfigurationError:
            self.services[service] = existing
            raise

    def take_out(self, failure_domain: str) -> None:
        """Stop giving new work to a failure domain."""
        self.fleet = self.fleet.take_out(failure_domain)

    def bring_back(self, failure_domain: str) -> None:
        """Resume giving work to a failure domain.

        Raises
        ------
        ConfigurationError
            If it is not taken out.
        """
        self.fleet = self.fleet.bring_back(failure_domain)

    def drain(self, backend: str) -> None:
        """Stop giving new work to a backend server."""
        self.fleet = self.fleet.drain(backend)

    def undrain(self, backend: str) -> None:
        """Resume giving work to a backend server.

        Raises
        ------
        ConfigurationError
            If it is not draining.
        """
        self.fleet = self.fleet.undrain(backend)

    def render(self) -> str:
        """Return the YAML to publish; equal configurations give equal text."""
        document = {
            "fleet": yaml.safe_load(render_subject(self.fleet)),
            "services": [
                yaml.safe_load(render_subject(self.services[name]))
                for name in sorted(self.services)
            ],
        }
        return render_yaml(document)

    def print(self, file: TextIO | None = None) -> None:
        """Print the YAML to publish, to standard output unless a file is given."""
        (file or sys.stdout).write(self.render())

    def list_subjects(self) -> dict[str, str]:
        """Return the body of each subject that the configuration describes."""
        subjects = {FLEET_SUBJECT: render_subject(self.fleet)}
        for name, service in self.services.items():
            subjects[SERVICE_PREFIX + name] = render_subject(service)
        return subjects

    def _insert(
        self, service: ServiceConfiguration, paths: dict[str, str], location: Mistake
    ) -> None:
        """Add a service, and its path to ``paths``, a map from paths to names of services.

        Raises
        ------
        ConfigurationError
            If the name or the path is taken, with the line and place of ``location``.
        """
        if service.name in self.services:
            raise ConfigurationError(
                attrs.evolve(location, detail=f"service {service.name!r} is already defined")
            )
        if service.path in paths:
            detail = f"path {service.path!r} belongs to service {paths[service.path]!r}"
            raise ConfigurationError(attrs.evolve(location, detail=detail))
        self.services[service.name] = service
        paths[service.path] = service.name


def parse_configuration(text: str) -> Configuration:
    """Parse a document that `Configuration.render` wrote, or one written by hand.

    Raises
    ------
    ConfigurationError
        If the document is invalid; names every mistake with its line and its place.
    """
    try:
        return _read_document(text)
    except DocumentError as error:
        raise ConfigurationError(*error.mistakes) from None


def _read_document(text: str) -> Configuration:
    reader = DocumentReader()
    configuration = Configuration()
    paths: dict[str, str] = {}
    entries = reader.read_entries(compose_document(text, MAX_DOCUMENT_CHARACTERS), "")
    for name, node in (entries or {}).items():
        match name:
            case "fleet":
                fleet = reader.read_class(node, FleetConfiguration, name)
                configuration.fleet = fleet or configuration.fleet
            case "services":
                for index, item in enumerate(reader.read_items(node, name) or []):
                    _read_service(reader, configuration, paths, item, f"{name}[{index}]")
            case _:
                reader.add_mistake(
                    node, join_place("", name), "unknown field; known: fleet, services"
                )
    reader.raise_mistakes()
    return configuration


def _read_service(
    reader: DocumentReader,
    configuration: Configuration,
    paths: dict[str, str],
    node: yaml.Node,
    place: str,
) -> None:
    service = reader.read_class(node, ServiceConfiguration, place)
    if service is None:
        return
    try:
        configuration._insert(service, paths, Mistake(node.start_mark.line + 1, place, ""))
    except ConfigurationError as error:
        reader.mistakes.extend(error.mistakes)


def _to_plain_data(value: Any) -> Any:
    """Convert instances of this library's classes to plain data."""
    if attrs.has(type(value)):
        return {
            name: _to_plain_data(item) for name, item in attrs.asdict(value, recurse=False).items()
        }
    if isinstance(value, Urgency):
        return value.value
    if isinstance(value, dict):
        return {name: _to_plain_data(item) for name, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [_to_plain_data(item) for item in value]
    if isinstance(value, (str, int, float, bool, type(None))):
        return value
    raise ConfigurationError(
        f"expected text, a number, a boolean, a list or a mapping, not {value!r}"
    )
