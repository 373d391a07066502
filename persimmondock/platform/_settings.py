"""The platform's settings file."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import yaml

from persimmondock._domain.site import NodeSettings, SiteBounds
from persimmondock.settings import SettingsError

if TYPE_CHECKING:
    from pathlib import Path

FILE_VARIABLE = "PERSIMMONDOCK_NODE_FILE"
MAX_FILE_BYTES = 1024 * 1024
MAX_PORT = 65_535


@attrs.frozen
class MetricsPlace:
    """Where metrics are served: a port of the VM's own address, and a path."""

    port: int
    path: str


def parse_metrics_place(text: str) -> MetricsPlace:
    """Read ``PORT/PATH``, as the deploy file has it.

    Raises
    ------
    SettingsError
        If it has another form.
    """
    port, slash, path = text.partition("/")
    if not slash or not path or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise SettingsError(f"metrics must be PORT/PATH with a port up to {MAX_PORT}, not {text!r}")
    return MetricsPlace(int(port), f"/{path}")


def load_node_settings(path: Path) -> NodeSettings:
    """Read the settings file of this machine.

    Raises
    ------
    SettingsError
        If the file cannot be read or lacks a field; the message names the file and the field.
    """
    try:
        text = path.read_bytes()[: MAX_FILE_BYTES + 1]
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    if len(text) > MAX_FILE_BYTES:
        raise SettingsError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
    try:
        data = yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not YAML: {' '.join(str(error).split())}") from error
    return _Reader(str(path), data).read()


class _Reader:
    """Reads fields and names the place of what is wrong."""

    def __init__(self, name: str, data: Any) -> None:
        self._name = name
        self._data = data

    def read(self) -> NodeSettings:
        inner = self._read_ports()
        address = self._text("self.ip")
        return NodeSettings(
            node=self._text("self.node"),
            failure_domain=self._text("self.zone"),
            service=self._text("self.service"),
            backend_address=self._address("self.local_app"),
            store_address=self._address("platform.platform.address"),
            caller_address=self._address("network.bind.outbound"),
            ready_address=self._address("network.bind.ready"),
            announce_address=self._address("network.bind.control"),
            peer_address=f"{address}:{inner}",
            bounds=self._read_bounds(),
        )

    def _read_ports(self) -> int:
        ports = self._find("network.internal_ports")
        if not isinstance(ports, list) or not ports or not isinstance(ports[0], int):
            raise self._fail("network.internal_ports", ports, "a list of ports")
        return ports[0]

    def _read_bounds(self) -> SiteBounds:
        usual = SiteBounds()

        def read(field: str, default: float) -> float:
            return self._number(f"timing.bounds.{field}", default)

        return SiteBounds(
            drain_s=read("drain_s", usual.drain_s),
            stop_s=read("grace_s", usual.stop_s),
            apply_s=read("config_apply_s", usual.apply_s),
            evacuate_s=read("evacuation_s", usual.evacuate_s),
            retry_ratio=read("budget_ratio", usual.retry_ratio),
            retry_slack=read("budget_slack", usual.retry_slack),
            retry_window_s=read("budget_window_s", usual.retry_window_s),
            cold_factor=read("cold_over", usual.cold_factor),
            cold_slack=read("cold_slack", usual.cold_slack),
            grant_s=read("hold_max_s", usual.grant_s),
        )

    def _find(self, place: str) -> Any:
        value = self._data
        for name in place.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def _text(self, place: str) -> str:
        value = self._find(place)
        if not isinstance(value, str) or not value:
            raise self._fail(place, value, "a text")
        return value

    def _address(self, place: str) -> str:
        value = self._text(place)
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit():
            raise self._fail(place, value, "host:port")
        return value

    def _number(self, place: str, default: float) -> float:
        value = self._find(place)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
            raise self._fail(place, value, "a number of 0 or more")
        return float(value)

    def _fail(self, place: str, value: Any, wanted: str) -> SettingsError:
        return SettingsError(f"{self._name}: {place} must be {wanted}, not {value!r}")
