"""Decodes the records that operators write to the store."""

from __future__ import annotations

import json
from collections import defaultdict
from typing import Any

from persimmondock._domain.routing_table import (
    ClientLimits,
    RoutePolicy,
    RoutingTable,
    ServicePolicy,
    TrafficShare,
)

CONFIG_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
IDEMPOTENT_ROUTE_TYPE = "safe"


class ConfigurationUnreadableError(ValueError):
    """An invalid configuration; the message names the faulty part."""


def decode_configuration(data: bytes) -> RoutingTable:
    """Decode a configuration.

    Raises
    ------
    ConfigurationUnreadableError
        If the body is not JSON, or a field is missing or invalid; the message names the first
        faulty part.
    """
    place = "body"
    try:
        config = json.loads(data)
        place = "version"
        version = int(config["version"])
        services = {}
        for number, item in enumerate(config.get("services", ())):
            place = f"services[{number}]"
            services[item["name"]] = _read_service(item)
        hosts: dict[str, list[RoutePolicy]] = defaultdict(list)
        for number, host in enumerate(config.get("virtual_hosts", ())):
            for index, item in enumerate(host["paths"]):
                place = f"virtual_hosts[{number}].paths[{index}]"
                hosts[host["host"].lower()].append(_read_route(item))
        place = "limits"
        limits = _read_limits(config.get("limits") or {})
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ConfigurationUnreadableError(f"{place}: {error!r}") from error
    routes = {host: tuple(items) for host, items in hosts.items()}
    return RoutingTable(version, routes, services, limits)


def _read_service(item: dict[str, Any]) -> ServicePolicy:
    defaults = ServicePolicy("")
    return ServicePolicy(
        name=item["name"],
        health_path=item.get("health_path", defaults.health_path),
        max_connections=int(item.get("max_connections", defaults.max_connections)),
        cold_s=float(item.get("warmup_s", defaults.cold_s)),
        cold_per_s=float(item.get("cold_per_s", defaults.cold_per_s)),
        keyed=bool(item.get("sharded", defaults.keyed)),
    )


def _read_route(item: dict[str, Any]) -> RoutePolicy:
    split = item.get("traffic_split")
    if split:
        shares = tuple(TrafficShare(part["service"], float(part["weight"])) for part in split)
    else:
        shares = (TrafficShare(item["service"], 1.0),)
    if not item["path_prefix"].endswith("/"):
        raise ValueError(f"path_prefix must end with a slash, not {item['path_prefix']!r}")
    return RoutePolicy(
        name=item.get("name", item["path_prefix"]),
        path_prefix=item["path_prefix"],
        idempotent=item["route_type"] == IDEMPOTENT_ROUTE_TYPE,
        timeout_s=float(item.get("timeout_s", 30.0)),
        objective_s=float(item.get("target_latency_s", item.get("timeout_s", 30.0))),
        shares=shares,
        priority=int(item.get("priority", 1)),
        max_attempts=int(item.get("max_attempts", 1)),
    )


def _read_limits(item: dict[str, Any]) -> ClientLimits:
    defaults = ClientLimits()
    return ClientLimits(
        max_header_bytes=int(item.get("max_header_bytes", defaults.max_header_bytes)),
        max_body_bytes=int(item.get("max_body_bytes", defaults.max_body_bytes)),
        idle_timeout_s=float(item.get("idle_timeout_s", defaults.idle_timeout_s)),
        header_timeout_s=float(item.get("header_timeout_s", defaults.header_timeout_s)),
    )


def find_evacuated(key: str) -> str | None:
    """Return the failure domain that a record with this key evacuates, or None for other keys."""
    if key.startswith(EVACUATION_PREFIX):
        return key[len(EVACUATION_PREFIX) :]
    return None
