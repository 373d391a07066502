"""Settings that a daemon reads at its start: its own and those of the site."""

from __future__ import annotations

from typing import TypeAlias

import attrs


@attrs.frozen
class SiteBounds:
    """Bounds on times and rates that the operators of a site set.

    Parameters
    ----------
    drain_s
        Seconds for which a backend server may still get requests after its daemon has acknowledged
        that it leaves.
    stop_s
        Seconds that a daemon has between SIGTERM and SIGKILL.
    apply_s
        Seconds within which a configuration has to take effect.
    evacuate_s
        Seconds after which an evacuated failure domain gets no more requests.
    retry_ratio, retry_slack, retry_window_s
        Retries that a service may get from all daemons in a window of ``retry_window_s`` seconds:
        a fraction of its requests plus a fixed number.
    cold_factor, cold_slack
        Requests per second that a cold backend server may get: a multiple of its cold capacity plus
        a fixed number.
    grant_s
        Longest duration of a grant in seconds.
    service_room
        Whether requests are admitted by priority over a whole service; see `ServiceRoom`.
    """

    drain_s: float = 2.0
    stop_s: float = 6.0
    apply_s: float = 2.0
    evacuate_s: float = 5.0
    retry_ratio: float = 0.2
    retry_slack: float = 60.0
    retry_window_s: float = 10.0
    cold_factor: float = 1.5
    cold_slack: float = 5.0
    grant_s: float = 10.0
    service_room: bool = False


@attrs.frozen
class GrantsByCall:
    """Each grant and each release is a call to the backend server."""


@attrs.frozen
class GrantsInHeartbeats:
    """Replies to the backend server's heartbeats list everything that it is to hold."""


GrantMode: TypeAlias = GrantsByCall | GrantsInHeartbeats


@attrs.frozen
class NodeSettings:
    """Settings of one daemon.

    Parameters
    ----------
    node
        Name of the daemon, which is that of its VM.
    service
        Service of the backend server beside it.
    backend_address, store_address, caller_address, ready_address, announce_address
        ``host:port`` of the backend server and of the store, and the addresses that the daemon
        listens on for callers, for readiness checks and for the backend server's announcements.
    peer_address
        ``host:port`` at which other daemons reach this one.
    grant_mode
        How backend servers get their grants of keys.
    bandwidth_mbps
        Mbit/s of the VM's link; 0 if unknown.
    memory_mb, max_descriptors
        MB above which the daemon is killed, and descriptors that it may open; 0 if unknown.
    is_first_start
        Whether the whole site starts for the first time, so that nothing was in force before.
    """

    node: str
    failure_domain: str
    service: str
    backend_address: str
    store_address: str
    caller_address: str
    ready_address: str
    announce_address: str
    peer_address: str
    bounds: SiteBounds = attrs.field(factory=SiteBounds)
    grant_mode: GrantMode = attrs.field(factory=GrantsByCall)
    bandwidth_mbps: float = 0.0
    memory_mb: float = 0.0
    max_descriptors: int = 0
    is_first_start: bool = False
