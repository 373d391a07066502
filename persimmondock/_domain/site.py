"""What one daemon is told of itself and of the site when it starts."""

from __future__ import annotations

import attrs


@attrs.frozen
class SiteBounds:
    """Times and rates that the operators hold the daemons to.

    Parameters
    ----------
    drain_s
        Seconds after an acknowledged leave in which a backend server may still get requests.
    stop_s
        Seconds between SIGTERM and SIGKILL.
    apply_s
        Seconds within which a configuration has to be in force.
    evacuate_s
        Seconds within which a failure domain that was taken out gets no more work.
    retry_ratio, retry_slack, retry_window_s
        Attempts after the first that a service may get in a window: a share of its requests and a
        fixed number, all daemons together.
    cold_factor, cold_slack
        What a cold backend server may get in a second: a multiple of what it bears and some more.
    grant_s
        Longest time for which keys can be granted, in seconds.
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


@attrs.frozen
class NodeSettings:
    """Settings of one daemon.

    Parameters
    ----------
    node
        Name of the daemon's VM.
    service
        Service of the backend server beside it.
    backend_address, store_address, caller_address, ready_address, announce_address
        ``host:port`` of the backend server, of the store, and of what the daemon listens on for
        callers, for readiness checks and for the backend server's announcements.
    peer_address
        ``host:port`` that other daemons reach this one by.
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
