"""Settings of one daemon, read from a YAML file.

A daemon starts with five lines::

    daemon: recife-1
    failure_domain: recife
    address: 10.0.0.1
    log: 10.0.9.1:7000
    peer_key: change-me
"""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

import attrs
import yaml
from cattrs.errors import BaseValidationError
from cattrs.v import transform_error

from persimmondock._domain.structuring import make_strict_converter

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

ENVIRONMENT_PREFIX = "PERSIMMONDOCK_"
MAX_FILE_BYTES = 64 * 1024
CALLER_PORT = 8100
OPERATOR_PORT = 8101
PEER_PORT = 8102
DATA_PORT = 8103


class SettingsError(ValueError):
    """Settings that cannot be used; the message names the file, the field and the value."""


def _check_port(_: Any, attribute: attrs.Attribute[int], value: int) -> None:
    if not 1 <= value <= 65535:
        raise ValueError(f"{attribute.name} must be a port from 1 to 65535, not {value}")


def _check_positive(_: Any, attribute: attrs.Attribute[float], value: float) -> None:
    if value <= 0:
        raise ValueError(f"{attribute.name} must be greater than 0, not {value}")


def _check_filled(_: Any, attribute: attrs.Attribute[str], value: str) -> None:
    if not value:
        raise ValueError(f"{attribute.name} must not be empty")


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
        IP address that it listens on and that its peers reach it by.
    log
        ``host:port`` of the log service.
    peer_key
        Secret that all daemons share; it authenticates messages between them.
    lease_term_s, renew_every_s
        Length of a lease and interval of its renewal, in seconds.
    stop_within_s
        Time that a graceful shutdown may take, in seconds.
    peers
        ``host:port`` of some peers' peer ports, asked for the state of the fleet while the log
        cannot be read.
    statsd
        ``host:port`` that metrics are sent to; empty sends none.
    """

    daemon: str = attrs.field(validator=_check_filled)
    failure_domain: str = attrs.field(validator=_check_filled)
    address: str = attrs.field(validator=_check_filled)
    log: str = attrs.field(validator=_check_filled)
    peer_key: str = attrs.field(validator=_check_filled)
    caller_port: int = attrs.field(default=CALLER_PORT, validator=_check_port)
    operator_port: int = attrs.field(default=OPERATOR_PORT, validator=_check_port)
    peer_port: int = attrs.field(default=PEER_PORT, validator=_check_port)
    data_port: int = attrs.field(default=DATA_PORT, validator=_check_port)
    lease_term_s: float = attrs.field(default=1.5, validator=_check_positive)
    renew_every_s: float = attrs.field(default=0.3, validator=_check_positive)
    stop_within_s: float = attrs.field(default=30.0, validator=_check_positive)
    peers: tuple[str, ...] = ()
    statsd: str = ""
    log_level: str = "INFO"


_converter = make_strict_converter()


def load_settings(path: Path, environment: Mapping[str, str] = os.environ) -> Settings:
    """Read a settings file; environment variables override its fields.

    Raises
    ------
    SettingsError
        If the file cannot be read or a value is wrong.
    """
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise SettingsError(f"{path}: more than {MAX_FILE_BYTES} bytes")
        data = yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    except yaml.YAMLError as error:
        detail = str(error).replace("\n", " ")
        raise SettingsError(f"{path}: not YAML: {detail}") from error
    if not isinstance(data, dict):
        raise SettingsError(f"{path}: expected a mapping, not {data!r}")
    return _structure_settings(path, {**data, **_read_environment(environment)})


def _structure_settings(path: Path, data: dict[str, Any]) -> Settings:
    try:
        return _converter.structure(data, Settings)
    except BaseValidationError as error:
        raise SettingsError(f"{path}: " + "; ".join(transform_error(error))) from error


def _read_environment(environment: Mapping[str, str]) -> dict[str, Any]:
    """Return the fields that environment variables override."""
    overrides = {}
    for field in attrs.fields(Settings):
        text = environment.get(ENVIRONMENT_PREFIX + field.name.upper())
        if text is not None:
            overrides[field.name] = text if field.type in (str, "str") else yaml.safe_load(text)
    return overrides
