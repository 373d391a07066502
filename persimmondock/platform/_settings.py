"""Reads the platform's settings file."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from persimmondock._domain.foreign_data import check_address, check_number, load_json, show_value
from persimmondock._domain.settings_error import SettingsError, SettingsUnreadableError
from persimmondock._domain.site import (
    GrantMode,
    GrantsByCall,
    GrantsInHeartbeats,
    NodeSettings,
    SiteBounds,
)

if TYPE_CHECKING:
    from pathlib import Path

SETTINGS_FILE_VARIABLE = "PERSIMMONDOCK_NODE_FILE"
MAX_FILE_BYTES = 1024 * 1024
MAX_PORT = 65_535
MAX_NUMBER = 1e15
GRANT_MODES: dict[str, GrantMode] = {
    "call": GrantsByCall(),
    "heartbeat": GrantsInHeartbeats(),
}


@attrs.frozen
class MetricsEndpoint:
    """Port on the VM's own address and HTTP path under which metrics are served."""

    port: int
    path: str


def parse_metrics_endpoint(text: str) -> MetricsEndpoint:
    """Parse ``PORT/PATH``, the format of the deployment file.

    Raises
    ------
    SettingsError
        If the text has another format.
    """
    port, slash, path = text.partition("/")
    if not slash or not path or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise SettingsError(f"metrics must be PORT/PATH with a port up to {MAX_PORT}, not {text!r}")
    return MetricsEndpoint(int(port), f"/{path}")


def load_node_settings(path: Path) -> NodeSettings:
    """Read the settings file of this VM.

    Raises
    ------
    SettingsError
        If the file cannot be read (`SettingsUnreadableError`) or a field is missing or invalid;
        the message names the file and the field.
    """
    try:
        data = path.read_bytes()[: MAX_FILE_BYTES + 1]
    except OSError as error:
        raise SettingsUnreadableError(f"{path}: {error.strerror}") from error
    if len(data) > MAX_FILE_BYTES:
        raise SettingsError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
    try:
        document = load_json(data)
    except ValueError:
        document = _parse_yaml(path, data)
    return _SettingsReader(str(path), document).read()


def _parse_yaml(path: Path, data: bytes) -> Any:
    # Most files are JSON, and the import of the parser is a twentieth of a daemon's start.
    import yaml

    try:
        return yaml.load(data, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except (yaml.YAMLError, UnicodeDecodeError, RecursionError) as error:
        raise SettingsError(f"{path}: not YAML: {' '.join(str(error).split())}") from error


class _SettingsReader:
    """Reads values by dotted key path; errors name the file, the key path and the value."""

    def __init__(self, file_name: str, document: Any) -> None:
        self._file_name = file_name
        self._document = document

    def read(self) -> NodeSettings:
        peer_port = self._read_peer_port()
        address = self._read_text("self.ip")
        return NodeSettings(
            node=self._read_text("self.node"),
            failure_domain=self._read_text("self.zone"),
            service=self._read_text("self.service"),
            backend_address=self._read_address("self.local_app"),
            store_address=self._read_address("platform.platform.address"),
            caller_address=self._read_address("network.bind.outbound"),
            ready_address=self._read_address("network.bind.ready"),
            announce_address=self._read_address("network.bind.control"),
            peer_address=f"{address}:{peer_port}",
            bounds=self._read_bounds(),
            grant_mode=self._read_grant_mode(),
            bandwidth_mbps=self._read_number("self.limits.bandwidth_mbps", 0.0),
            memory_mb=self._read_number("self.limits.memory_mb", 0.0),
            max_descriptors=int(self._read_number("self.limits.max_fds", 0.0)),
            is_first_start=self._read_flag("self.bootstrap"),
        )

    def _read_grant_mode(self) -> GrantMode:
        value = self._find_value("grants")
        if value is None:
            return GrantsByCall()
        if not isinstance(value, str) or value not in GRANT_MODES:
            raise self._make_error("grants", value, f"one of {', '.join(GRANT_MODES)}")
        return GRANT_MODES[value]

    def _read_peer_port(self) -> int:
        """Return the first internal port; daemons connect to each other on it."""
        ports = self._find_value("network.internal_ports")
        if not isinstance(ports, list) or not ports or not isinstance(ports[0], int):
            raise self._make_error("network.internal_ports", ports, "a list of ports")
        return ports[0]

    def _read_bounds(self) -> SiteBounds:
        defaults = SiteBounds()

        def read_bound(field: str, default: float) -> float:
            return self._read_number(f"timing.bounds.{field}", default)

        return SiteBounds(
            drain_s=read_bound("drain_s", defaults.drain_s),
            stop_s=read_bound("grace_s", defaults.stop_s),
            apply_s=read_bound("config_apply_s", defaults.apply_s),
            evacuate_s=read_bound("evacuation_s", defaults.evacuate_s),
            retry_ratio=read_bound("budget_ratio", defaults.retry_ratio),
            retry_slack=read_bound("budget_slack", defaults.retry_slack),
            retry_window_s=read_bound("budget_window_s", defaults.retry_window_s),
            cold_factor=read_bound("cold_over", defaults.cold_factor),
            cold_slack=read_bound("cold_slack", defaults.cold_slack),
            grant_s=read_bound("hold_max_s", defaults.grant_s),
        )

    def _find_value(self, key_path: str) -> Any:
        value = self._document
        for key in key_path.split("."):
            value = value.get(key) if isinstance(value, dict) else None
        return value

    def _read_text(self, key_path: str) -> str:
        value = self._find_value(key_path)
        if not isinstance(value, str) or not value:
            raise self._make_error(key_path, value, "non-empty text")
        return value

    def _read_address(self, key_path: str) -> str:
        value = self._read_text(key_path)
        try:
            return check_address(value)
        except ValueError as error:
            raise self._make_error(key_path, value, "host:port") from error

    def _read_number(self, key_path: str, default: float) -> float:
        value = self._find_value(key_path)
        if value is None:
            return default
        try:
            return check_number(value, 0, MAX_NUMBER)
        except ValueError as error:
            raise self._make_error(key_path, value, "a number of 0 or more") from error

    def _read_flag(self, key_path: str) -> bool:
        value = self._find_value(key_path)
        if value is not None and not isinstance(value, bool):
            raise self._make_error(key_path, value, "true or false")
        return bool(value)

    def _make_error(self, key_path: str, value: Any, expected: str) -> SettingsError:
        return SettingsError(
            f"{self._file_name}: {key_path} must be {expected}, not {show_value(value)}"
        )
