"""Settings of one daemon, read from a YAML file.

Five fields are required::

    daemon: recife-1
    failure_domain: recife
    address: 10.0.0.1
    log: 10.0.9.1:7000
    peer_key: change-me
"""

from __future__ import annotations

import ipaddress
import os
import typing
from typing import TYPE_CHECKING, Any

import attrs
import yaml

from persimmondock._domain.documents import (
    DocumentError,
    DocumentReader,
    Mistake,
    compose_document,
)
from persimmondock._domain.mechanisms import Mechanism
from persimmondock._domain.settings_error import SettingsError

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

ENVIRONMENT_PREFIX = "PERSIMMONDOCK_"
MAX_FILE_BYTES = 64 * 1024
CALLER_PORT = 8100
OPERATOR_PORT = 8101
PEER_PORT = 8102
DATA_PORT = 8103
MAX_PORT = 65535
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
STRING_TAG = "tag:yaml.org,2002:str"
SEQUENCE_TAG = "tag:yaml.org,2002:seq"
FLOAT_TAG = "tag:yaml.org,2002:float"


def _check_port(_: Any, attribute: attrs.Attribute[int], value: int) -> None:
    if not 1 <= value <= MAX_PORT:
        raise ValueError(f"{attribute.name} must be a port from 1 to {MAX_PORT}, not {value}")


def _check_positive(_: Any, attribute: attrs.Attribute[Any], value: float) -> None:
    if not 0 < value < float("inf"):
        raise ValueError(f"{attribute.name} must be greater than 0, not {value}")


def _check_not_empty(_: Any, attribute: attrs.Attribute[str], value: str) -> None:
    if not value:
        raise ValueError(f"{attribute.name} must not be empty")


def _check_ip_address(_: Any, attribute: attrs.Attribute[str], value: str) -> None:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise ValueError(f"{attribute.name} must be an IP address, not {value!r}") from None


def _check_host_port(_: Any, attribute: attrs.Attribute[str], value: str) -> None:
    host, _, port = value.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"{attribute.name} must be host:port, not {value!r}")


def _check_host_port_or_empty(_: Any, attribute: attrs.Attribute[str], value: str) -> None:
    if value:
        _check_host_port(_, attribute, value)


def _check_host_ports(_: Any, attribute: attrs.Attribute[Any], value: tuple[str, ...]) -> None:
    for address in value:
        _check_host_port(_, attribute, address)


def _check_log_level(_: Any, attribute: attrs.Attribute[str], value: str) -> None:
    if value not in LOG_LEVELS:
        choices = ", ".join(LOG_LEVELS)
        raise ValueError(f"{attribute.name} must be one of {choices}, not {value!r}")


@attrs.frozen
class Settings:
    """Settings of one daemon.

    Parameters
    ----------
    daemon
        Name of the daemon, unique in the fleet.
    failure_domain
        Failure domain of its VM.
    address
        IP address that it listens on and that peers connect to.
    log
        ``host:port`` of the log service.
    peer_key
        Secret that all daemons share; it authenticates messages between them.
    caller_connections
        Maximum number of concurrent connections from callers; more are closed at once.
    lease_term_s, renew_every_s
        Length of a lease and interval of its renewal, in seconds.
    stop_within_s
        Maximum duration of a graceful shutdown, in seconds.
    peers
        ``host:port`` of the peer ports of other daemons, which are asked for the state of the fleet
        while the log cannot be read.
    statsd
        ``host:port`` of the statsd server for metrics; if empty, none are sent.
    gate_without
        Mechanisms of the gate that are switched off, to measure their effect.
    """

    daemon: str = attrs.field(validator=_check_not_empty)
    failure_domain: str = attrs.field(validator=_check_not_empty)
    address: str = attrs.field(validator=_check_ip_address)
    log: str = attrs.field(validator=_check_host_port)
    peer_key: str = attrs.field(validator=_check_not_empty)
    caller_port: int = attrs.field(default=CALLER_PORT, validator=_check_port)
    operator_port: int = attrs.field(default=OPERATOR_PORT, validator=_check_port)
    peer_port: int = attrs.field(default=PEER_PORT, validator=_check_port)
    data_port: int = attrs.field(default=DATA_PORT, validator=_check_port)
    caller_connections: int = attrs.field(default=4096, validator=_check_positive)
    lease_term_s: float = attrs.field(default=1.5, validator=_check_positive)
    renew_every_s: float = attrs.field(default=0.5, validator=_check_positive)
    stop_within_s: float = attrs.field(default=30.0, validator=_check_positive)
    peers: tuple[str, ...] = attrs.field(default=(), validator=_check_host_ports)
    statsd: str = attrs.field(default="", validator=_check_host_port_or_empty)
    log_level: str = attrs.field(default="INFO", validator=_check_log_level)
    gate_without: tuple[Mechanism, ...] = ()

    def __attrs_post_init__(self) -> None:
        ports = (self.caller_port, self.operator_port, self.peer_port, self.data_port)
        if len(set(ports)) != len(ports):
            raise ValueError(f"the four ports must differ, not {', '.join(map(str, ports))}")
        if 2 * self.renew_every_s > self.lease_term_s:
            raise ValueError(
                f"renew_every_s must be at most half of lease_term_s {self.lease_term_s}, "
                f"not {self.renew_every_s}"
            )


def load_settings(path: Path, environment: Mapping[str, str] = os.environ) -> Settings:
    """Read a settings file; environment variables override its fields.

    Raises
    ------
    SettingsError
        If the file cannot be read or a value is invalid; one line for each mistake.
    """
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        text = data.decode("utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: not UTF-8 text: {error.reason}") from error
    if len(data) > MAX_FILE_BYTES:
        raise SettingsError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
    return parse_settings(text, str(path), environment)


def parse_settings(text: str, name: str, environment: Mapping[str, str]) -> Settings:
    """Parse the text of a settings file.

    Raises
    ------
    SettingsError
        If a value is invalid; names the file ``name`` and, for each mistake, its line or its
        environment variable.
    """
    reader = DocumentReader()
    overridden: set[str] = set()
    try:
        node = compose_document(text, MAX_FILE_BYTES)
        overridden = _apply_environment(node, environment)
        settings = reader.read_class(node, Settings)
        reader.raise_mistakes()
    except DocumentError as error:
        mistakes = [_name_environment_variable(mistake, overridden) for mistake in error.mistakes]
        raise SettingsError("\n".join(f"{name}: {mistake}" for mistake in mistakes)) from error
    assert settings is not None
    return settings


def _apply_environment(node: yaml.Node, environment: Mapping[str, str]) -> set[str]:
    """Override entries by environment variables, and return the fields that are overridden."""
    overridden: set[str] = set()
    if not isinstance(node, yaml.MappingNode):
        return overridden
    hints = typing.get_type_hints(Settings)
    for field in attrs.fields(Settings):
        text = environment.get(ENVIRONMENT_PREFIX + field.name.upper())
        if text is None:
            continue
        overridden.add(field.name)
        other_entries = [(key, value) for key, value in node.value if key.value != field.name]
        key = yaml.ScalarNode(STRING_TAG, field.name, node.start_mark, node.end_mark)
        node.value = [*other_entries, (key, _make_value_node(text, hints[field.name], node))]
    return overridden


def _make_value_node(text: str, hint: Any, parent: yaml.Node) -> yaml.Node:
    """Return an environment variable's value as a node; commas separate the items of a list.

    Numbers are tagged as floats, which `DocumentReader` also accepts for whole numbers.
    """
    marks = (parent.start_mark, parent.end_mark)
    if typing.get_origin(hint) is tuple:
        items = [yaml.ScalarNode(STRING_TAG, item, *marks) for item in text.split(",") if item]
        return yaml.SequenceNode(SEQUENCE_TAG, items, *marks)
    return yaml.ScalarNode(STRING_TAG if hint is str else FLOAT_TAG, text, *marks)


def _name_environment_variable(mistake: Mistake, overridden: set[str]) -> Mistake:
    """Replace the line of a mistake by the environment variable that the value came from."""
    if mistake.place not in overridden:
        return mistake
    place = f"environment variable {ENVIRONMENT_PREFIX}{mistake.place.upper()}"
    return Mistake(0, place, mistake.detail)
