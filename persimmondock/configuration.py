"""The operators' library: build a configuration and print it as YAML.

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
    render_subject,
    structure_configuration,
)

if TYPE_CHECKING:
    from typing import TextIO

__all__ = [
    "Configuration",
    "ConfigurationError",
    "Route",
    "ServiceConfiguration",
    "Urgency",
    "parse_configuration",
]


class Configuration:
    """Services and what operators say of the fleet."""

    def __init__(self) -> None:
        self.services: dict[str, ServiceConfiguration] = {}
        self.fleet = FleetConfiguration()

    def add_service(self, name: str, *, path: str, **options: Any) -> ServiceConfiguration:
        """Add a service; ``options`` are the fields of `ServiceConfiguration`.

        Raises
        ------
        ConfigurationError
            If a value is wrong, or the name or the path is taken.
        """
        if name in self.services:
            raise ConfigurationError(f"service {name!r} is there already")
        for other in self.services.values():
            if other.path == path:
                raise ConfigurationError(f"path {path!r} belongs to service {other.name!r}")
        plain = _to_plain({"name": name, "path": path, **options})
        service = structure_configuration(plain, ServiceConfiguration)
        self.services[name] = service
        return service

    def take_out(self, failure_domain: str) -> None:
        """Give a failure domain no new work."""
        out = {*self.fleet.failure_domains_out, failure_domain}
        self.fleet = attrs.evolve(self.fleet, failure_domains_out=tuple(sorted(out)))

    def bring_back(self, failure_domain: str) -> None:
        """Let a failure domain have work again."""
        out = set(self.fleet.failure_domains_out) - {failure_domain}
        self.fleet = attrs.evolve(self.fleet, failure_domains_out=tuple(sorted(out)))

    def drain(self, backend: str) -> None:
        """Give a backend server no new work."""
        draining = {*self.fleet.draining, backend}
        self.fleet = attrs.evolve(self.fleet, draining=tuple(sorted(draining)))

    def render(self) -> str:
        """Return the YAML to publish; equal configurations give equal text."""
        document = {
            "fleet": yaml.safe_load(render_subject(self.fleet)),
            "services": [
                yaml.safe_load(render_subject(self.services[name]))
                for name in sorted(self.services)
            ],
        }
        return yaml.safe_dump(document, sort_keys=True, allow_unicode=True)

    def print(self, file: TextIO = sys.stdout) -> None:
        """Print the YAML to publish."""
        file.write(self.render())

    def list_subjects(self) -> dict[str, str]:
        """Return the body of each subject that the configuration describes."""
        subjects = {FLEET_SUBJECT: render_subject(self.fleet)}
        for name, service in self.services.items():
            subjects[SERVICE_PREFIX + name] = render_subject(service)
        return subjects


def parse_configuration(text: str) -> Configuration:
    """Read what `Configuration.render` wrote, or what a person wrote in the same format.

    Raises
    ------
    ConfigurationError
        Naming the wrong value and its place.
    """
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise ConfigurationError(f"not YAML: {error}".replace("\n", " ")) from error
    if not isinstance(document, dict):
        raise ConfigurationError(f"expected a mapping, not {document!r}")
    unknown = sorted(set(document) - {"fleet", "services"})
    if unknown:
        raise ConfigurationError(f"unknown field {unknown[0]!r}; known: 'fleet', 'services'")
    configuration = Configuration()
    configuration.fleet = structure_configuration(document.get("fleet") or {}, FleetConfiguration)
    for position, service in enumerate(document.get("services") or []):
        if not isinstance(service, dict) or not {"name", "path"} <= set(service):
            raise ConfigurationError(f"services[{position}]: expected a mapping with name and path")
        configuration.add_service(**service)
    return configuration


def _to_plain(value: Any) -> Any:
    """Turn classes of this library into plain data."""
    if attrs.has(type(value)):
        return {name: _to_plain(item) for name, item in attrs.asdict(value, recurse=False).items()}
    if isinstance(value, Urgency):
        return value.value
    if isinstance(value, dict):
        return {name: _to_plain(item) for name, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [_to_plain(item) for item in value]
    return value
