"""Configurations, request headers and daemon settings of a site in the platform's formats."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping

    from persimmondock.standins.site_store import SiteStore

HOST = "board.example"
KEYED_SERVICE, UNKEYED_SERVICE = "painel", "recepcao"
CALLED_PATH = "/called/"
SETTINGS_VARIABLE = "PERSIMMONDOCK_NODE_FILE"
STORE_PORT = 9001
BACKEND_PORT = 8301
ANNOUNCE_PORT = 8306
CALLER_PORT = 8304
READY_PORT = 8302
ANNOUNCE_REQUEST = "PUT /-/instances/{}"  # of an instance
GRACE_S = 6.0  # time that a daemon has to stop after SIGTERM
OPERATOR_TOPIC = "keyed.op"
NO_KEY = -1
GRANT_MODES = ("call", "heartbeat")
TENANT, LIMITED_TENANT = "orla", "farol"
TENANT_KEYS = {TENANT: "k-9fd2c07b51", LIMITED_TENANT: "k-41be8837d0"}
LIMIT_PER_S = LIMIT_BURST = 8  # of the limited tenant


def publish_configuration(store: SiteStore, version: int) -> None:
    """Write a configuration with a route whose path contains its version."""

    def route(
        name: str, prefix: str, kind: str, service: str, public: bool = False
    ) -> dict[str, Any]:
        return {
            "name": name,
            "path_prefix": prefix,
            "route_type": kind,
            "timeout_s": 2.0,
            "target_latency_s": 0.5,
            "priority": 1,
            "service": service,
            "max_attempts": 2,
            "public": public,
        }

    paths = [
        route("r-view", "/view/", "safe", KEYED_SERVICE),
        route("r-assign", "/assign/", "unsafe", UNKEYED_SERVICE),
        route("r-keep", "/keep/", "unsafe", KEYED_SERVICE),
        # Calls of backend servers belong to no tenant.
        route("r-called", CALLED_PATH, "safe", UNKEYED_SERVICE, public=True),
        route("r-version", f"/version{version}/", "safe", UNKEYED_SERVICE),
    ]
    services = [
        {"name": KEYED_SERVICE, "sharded": True, "warmup_s": 0, "cold_per_s": 0},
        {"name": UNKEYED_SERVICE, "warmup_s": 0, "cold_per_s": 0},
    ]
    tenants = [
        {"name": TENANT, "api_keys": [TENANT_KEYS[TENANT]], "priority": 1},
        {
            "name": LIMITED_TENANT,
            "api_keys": [TENANT_KEYS[LIMITED_TENANT]],
            "priority": 1,
            "rate_per_s": LIMIT_PER_S,
            "burst": LIMIT_BURST,
        },
    ]
    config = {
        "version": version,
        "tenants": tenants,
        "services": services,
        "limits": {},
        "virtual_hosts": [{"host": HOST, "paths": paths}],
    }
    store.write(OPERATOR_TOPIC, "config", json.dumps(config).encode())


def set_evacuated(store: SiteStore, failure_domain: str, out: bool) -> None:
    """Evacuate a failure domain, or end its evacuation by deleting its record."""
    store.write(OPERATOR_TOPIC, f"evacuate/{failure_domain}", b"{}" if out else b"")


def build_request_headers(
    attempt: str, key: int, timeout_s: float, tenant: str = TENANT
) -> dict[str, str]:
    """Return the headers of a caller's request; ``NO_KEY`` adds none for the key."""
    headers = {
        "Host": HOST,
        "Authorization": f"Bearer {TENANT_KEYS[tenant]}",
        "X-Attempt-Id": attempt,
        "X-Timeout-Ms": str(int(1000 * timeout_s)),
    }
    if key != NO_KEY:
        headers["X-Shard-Key"] = str(key)
    return headers


def read_answer_notice(headers: Mapping[str, str]) -> tuple[str, bool, bool]:
    """Return which instance answered, whether it named a limit, and whether it said it leaves."""
    instance = headers.get("X-Server-Signature", "").removeprefix("signed-by-")
    return instance, "Server-Limit" in headers, "Server-Leaving" in headers


def read_tenant(headers: Mapping[str, str]) -> tuple[str, bool]:
    """Return which tenant a backend server was told, and whether it was told a tenant's key."""
    key_seen = any(key in value for value in headers.values() for key in TENANT_KEYS.values())
    return headers.get("X-Tenant-Id", ""), key_seen


def build_settings(
    node: str, address: str, failure_domain: str, service: str, grants: str = GRANT_MODES[0]
) -> dict[str, Any]:
    """Return the contents of the settings file of the daemon at an address.

    ``grants`` is one of `GRANT_MODES`.
    """
    return {
        "grants": grants,
        "self": {
            "node": node,
            "ip": address,
            "zone": failure_domain,
            "local_app": f"{address}:{BACKEND_PORT}",
            "service": service,
        },
        "network": {
            "bind": {
                "outbound": f"{address}:{CALLER_PORT}",
                "ready": f"{address}:{READY_PORT}",
                "control": f"{address}:{ANNOUNCE_PORT}",
            },
            "internal_ports": [7620],
        },
        "platform": {"platform": {"address": f"{address}:{STORE_PORT}"}},
        "timing": {"bounds": {"grace_s": GRACE_S}},
    }
