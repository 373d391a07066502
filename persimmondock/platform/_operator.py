"""Decodes the records that operators write to the store."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING, Any

import attrs

from persimmondock._domain.foreign_data import (
    MAX_WHOLE_NUMBER,
    UNREADABLE,
    check_whole_number,
    load_json,
    show_value,
)
from persimmondock._domain.routing_table import (
    ClientLimits,
    RoutePolicy,
    RoutingTable,
    ServicePolicy,
    TrafficShare,
)
from persimmondock._domain.tenants import Tenant, TenantTable, compute_digest

if TYPE_CHECKING:
    from collections.abc import Callable

CONFIG_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
IDEMPOTENT_ROUTE_TYPES = frozenset({"safe", "download"})
DEFAULT_TIMEOUT_S = 30.0
MIN_TIMEOUT_S = 0.001


class ConfigurationUnreadableError(ValueError):
    """An invalid configuration; the message names the faulty part."""


def decode_configuration(data: bytes) -> RoutingTable:
    """Decode a configuration.

    The store accepts valid configurations only, so what cannot be read here is misread. It holds
    back no more than itself: an unreadable route is in the table without shares, so that its
    requests are refused and not sent along a shorter prefix.

    Raises
    ------
    ConfigurationUnreadableError
        If the body is not a JSON object with a version.
    """
    place = "body"
    try:
        config = load_json(data)
        place = "version"
        version = _to_whole_number(config["version"])
    except UNREADABLE as error:
        raise ConfigurationUnreadableError(f"{place}: {show_value(error)}") from error
    reader = _ConfigurationReader()
    tenants = reader.read_tenants(config.get("tenants"))
    return RoutingTable(
        version,
        reader.read_hosts(config.get("virtual_hosts")),
        reader.read_services(config.get("services")),
        reader.read_limits(config.get("limits")),
        tuple(reader.unreadable_parts),
        frozenset(reader.unreadable_services),
        tenants,
    )


@attrs.define
class _ConfigurationReader:
    """Reads the parts of a configuration and collects the ones that are unreadable."""

    unreadable_parts: list[str] = attrs.field(factory=list)
    unreadable_services: set[str] = attrs.field(factory=set)

    def _record(self, place: str, error: Exception) -> None:
        self.unreadable_parts.append(f"{place}: {show_value(error)}")

    def _list_items(self, place: str, items: Any) -> list[Any]:
        if items is None:
            return []
        if not isinstance(items, list):
            self._record(place, TypeError(f"not a list but {type(items).__name__}"))
            return []
        return items

    def read_services(self, items: Any) -> dict[str, ServicePolicy]:
        """Return the policies of the services by name."""
        services = {}
        for number, item in enumerate(self._list_items("services", items)):
            try:
                services[item["name"]] = _read_service(item)
            except UNREADABLE as error:
                self._record(f"services[{number}]", error)
                if isinstance(item, dict) and isinstance(item.get("name"), str):
                    self.unreadable_services.add(item["name"])
        return services

    def read_hosts(self, items: Any) -> dict[str, tuple[RoutePolicy, ...]]:
        """Return the routes of each host."""
        hosts: dict[str, list[RoutePolicy]] = defaultdict(list)
        for number, host in enumerate(self._list_items("virtual_hosts", items)):
            place = f"virtual_hosts[{number}]"
            try:
                name, paths = host["host"].lower(), host.get("paths")
            except UNREADABLE as error:
                self._record(place, error)
                continue
            for index, item in enumerate(self._list_items(f"{place}.paths", paths)):
                try:
                    hosts[name].append(_read_route(item))
                except UNREADABLE as error:
                    self._record(f"{place}.paths[{index}]", error)
                    if isinstance(item, dict) and isinstance(item.get("path_prefix"), str):
                        hosts[name].append(_make_unreadable_route(item["path_prefix"]))
        return {name: tuple(routes) for name, routes in hosts.items()}

    def read_tenants(self, items: Any) -> TenantTable | None:
        """Return the tenants, or None if the configuration has no such part.

        Of two tenants with one name the second is unreadable, and so are keys of two tenants.
        """
        if items is None:
            return None
        by_name: dict[str, Tenant] = {}
        names: dict[bytes, str] = {}
        unreadable: set[bytes] = set()
        complete = isinstance(items, list)
        for number, item in enumerate(self._list_items("tenants", items)):
            place = f"tenants[{number}]"
            digests = self._read_digests(f"{place}.api_keys", item)
            complete = complete and digests is not None
            try:
                tenant = _read_tenant(item)
                if tenant.name in by_name:
                    raise ValueError(f"name {tenant.name!r} is taken")
            except UNREADABLE as error:
                self._record(place, error)
                unreadable.update(digests or ())
                continue
            by_name[tenant.name] = tenant
            for index, digest in enumerate(digests or ()):
                if names.setdefault(digest, tenant.name) != tenant.name:
                    self._record(f"{place}.api_keys[{index}]", ValueError("key of two tenants"))
                    unreadable.add(digest)
        for digest in unreadable:
            names.pop(digest, None)
        return TenantTable(by_name, names, frozenset(unreadable), complete)

    def _read_digests(self, place: str, item: Any) -> list[bytes] | None:
        """Return the digests of a tenant's keys, or None if some are missing.

        Errors name places only, since a value may be a key.
        """
        keys = item.get("api_keys") if isinstance(item, dict) else None
        if not isinstance(keys, list):
            if isinstance(item, dict) and keys is None:
                return []
            self._record(place, TypeError("not a list"))
            return None
        digests = []
        for index, key in enumerate(keys):
            if isinstance(key, str) and key:
                digests.append(compute_digest(key))
            else:
                self._record(f"{place}[{index}]", TypeError("not a non-empty string"))
        return digests if len(digests) == len(keys) else None

    def read_limits(self, item: Any) -> ClientLimits:
        """Return the limits on clients; an unreadable one has its default."""
        if item is None:
            return ClientLimits()
        if not isinstance(item, dict):
            self._record("limits", TypeError(f"not an object but {type(item).__name__}"))
            return ClientLimits()
        found = {}
        for name, (read, least) in LIMIT_READERS.items():
            if item.get(name) is None:
                continue
            try:
                found[name] = _check_limit(read(item[name]), least)
            except UNREADABLE as error:
                self._record(f"limits.{name}", error)
        return ClientLimits(**found)


def _get(item: dict[str, Any], name: str, default: Any) -> Any:
    """Return a field of an object; null counts as absent."""
    value = item.get(name)
    return default if value is None else value


def _to_whole_number(value: Any) -> int:
    return check_whole_number(int(value), -MAX_WHOLE_NUMBER, MAX_WHOLE_NUMBER)


def _to_number(value: Any) -> float:
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"not a finite number: {number!r}")
    return number


def _read_service(item: dict[str, Any]) -> ServicePolicy:
    defaults = ServicePolicy("")
    return ServicePolicy(
        name=_check_text(item["name"]),
        health_path=_check_text(_get(item, "health_path", defaults.health_path)),
        max_connections=_to_whole_number(_get(item, "max_connections", defaults.max_connections)),
        cold_s=_to_number(_get(item, "warmup_s", defaults.cold_s)),
        cold_per_s=_to_number(_get(item, "cold_per_s", defaults.cold_per_s)),
        keyed=bool(_get(item, "sharded", defaults.keyed)),
    )


def _read_route(item: dict[str, Any]) -> RoutePolicy:
    prefix = _check_text(item["path_prefix"])
    if not prefix.endswith("/"):
        raise ValueError(f"path_prefix must end with a slash, not {prefix!r}")
    split = item.get("traffic_split")
    if split:
        shares = tuple(
            TrafficShare(_check_text(part["service"]), _to_number(part["weight"])) for part in split
        )
    else:
        shares = (TrafficShare(_check_text(item["service"]), 1.0),)
    timeout_s = _to_number(_get(item, "timeout_s", DEFAULT_TIMEOUT_S))
    return RoutePolicy(
        name=_get(item, "name", prefix),
        path_prefix=prefix,
        # A request may be repeated only where the route says so.
        idempotent=_get(item, "route_type", "") in IDEMPOTENT_ROUTE_TYPES,
        timeout_s=timeout_s,
        objective_s=_to_number(_get(item, "target_latency_s", timeout_s)),
        shares=shares,
        priority=_to_whole_number(_get(item, "priority", 1)),
        max_attempts=_to_whole_number(_get(item, "max_attempts", 1)),
        public=_get(item, "public", False) is True,
    )


def _read_tenant(item: dict[str, Any]) -> Tenant:
    name = _check_text(item["name"])
    # The name is sent as the value of a header field.
    if not (name.isascii() and name.isprintable() and name.strip() == name != ""):
        raise ValueError(f"name must be printable ASCII, not {name!r}")
    priority = item.get("priority")
    return Tenant(
        name=name,
        priority=None if priority is None else _to_whole_number(priority),
        rate_per_s=_read_amount(item, "rate_per_s"),
        burst=_read_amount(item, "burst"),
    )


def _read_amount(item: dict[str, Any], name: str) -> float:
    value = _get(item, name, 0)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"{name} must be a number, not {type(value).__name__}")
    if not math.isfinite(value) or value < 0:
        raise ValueError(f"{name} must be 0 or more, not {value!r}")
    return float(value)


def _make_unreadable_route(prefix: str) -> RoutePolicy:
    prefix = prefix if prefix.endswith("/") else prefix + "/"
    return RoutePolicy(prefix, prefix, False, DEFAULT_TIMEOUT_S, DEFAULT_TIMEOUT_S, ())


def _check_text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"not a string but {value!r}")
    return value


def _check_limit(value: float, least: float) -> Any:
    if value < least:
        raise ValueError(f"must be {least} or more, not {value!r}")
    return value


# How each limit is read, and its least value. A limit of 0 on bodies forbids them.
LIMIT_READERS: dict[str, tuple[Callable[[Any], Any], float]] = {
    "max_header_bytes": (_to_whole_number, 1),
    "max_body_bytes": (_to_whole_number, 0),
    "idle_timeout_s": (_to_number, MIN_TIMEOUT_S),
    "header_timeout_s": (_to_number, MIN_TIMEOUT_S),
}


def find_evacuated(key: str) -> str | None:
    """Return the failure domain that a record with this key evacuates, or None for other keys."""
    if key.startswith(EVACUATION_PREFIX):
        return key[len(EVACUATION_PREFIX) :]
    return None
