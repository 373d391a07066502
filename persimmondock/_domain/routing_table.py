"""Routes by host and path prefix, and the policies of the services behind them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from persimmondock._domain.tenants import TenantTable

DEFAULT_MAX_ATTEMPTS = 2
DEFAULT_PRIORITY = 1


@attrs.frozen
class TrafficShare:
    """Weight of one service among those that get the requests of a route."""

    service: str
    weight: float


@attrs.frozen
class RoutePolicy:
    """Policy for the requests under one path prefix.

    Parameters
    ----------
    timeout_s
        Longest time until a request is answered, in seconds.
    objective_s
        Latency objective in seconds.
    priority
        Priority number of the requests; lower numbers go first.
    shares
        Services that get the requests; none if the route could not be read.
    max_attempts
        Largest number of backend servers that may run one request.
    public
        Whether requests need not belong to a tenant.
    """

    name: str
    path_prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    shares: tuple[TrafficShare, ...]
    priority: int = DEFAULT_PRIORITY
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    public: bool = False


@attrs.frozen
class ServicePolicy:
    """Policy for one service.

    Parameters
    ----------
    max_connections
        Connections that each backend server accepts.
    cold_s
        Duration of the cold phase of a backend server after its start, in seconds.
    cold_per_s
        Requests per second that a cold backend server can serve; 0 sets no limit.
    keyed
        Whether each key is owned by one backend server.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 64
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    keyed: bool = False


@attrs.frozen
class ClientLimits:
    """Limits on the requests and connections of a client.

    Parameters
    ----------
    idle_timeout_s
        Seconds without a request after which a connection is closed.
    header_timeout_s
        Seconds within which the header of a request has to arrive.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    idle_timeout_s: float = 15.0
    header_timeout_s: float = 3.0


@attrs.frozen
class RoutingTable:
    """One version of the configured routes and services.

    Parameters
    ----------
    hosts
        Routes of each host. Path prefixes end with a slash; of several routes with one prefix the
        first counts.
    services
        Policies by name of the service.
    unreadable_parts
        Places in the configuration that could not be read, with the reasons.
    unreadable_services
        Names of services whose policies could not be read.
    tenants
        Tenants, or None if requests need not belong to one.
    """

    version: int
    hosts: Mapping[str, tuple[RoutePolicy, ...]]
    services: Mapping[str, ServicePolicy]
    limits: ClientLimits = attrs.field(factory=ClientLimits)
    unreadable_parts: tuple[str, ...] = ()
    unreadable_services: frozenset[str] = frozenset()
    tenants: TenantTable | None = None

    _by_prefix: Mapping[str, Mapping[str, RoutePolicy]] = attrs.field(
        init=False, repr=False, eq=False
    )

    @_by_prefix.default
    def _index_by_prefix(self) -> Mapping[str, Mapping[str, RoutePolicy]]:
        return {
            host: {route.path_prefix: route for route in reversed(routes)}
            for host, routes in self.hosts.items()
        }

    def find_route(self, host: str, path: str) -> RoutePolicy | None:
        """Return the route with the longest matching path prefix, or None.

        The time depends on the slashes in the path and not on the number of routes.
        """
        routes = self._by_prefix.get(host)
        if routes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


@attrs.define
class WeightedRoundRobin:
    """Smooth weighted round robin over the services of a route.

    Any sequence of consecutive requests is distributed close to the weights, not only the total.
    """

    _credit: dict[str, float] = attrs.field(factory=dict)

    def choose(self, shares: tuple[TrafficShare, ...]) -> str:
        """Return the service of the next request."""
        if len(shares) == 1:
            return shares[0].service
        total = sum(share.weight for share in shares)
        for share in shares:
            self._credit[share.service] = self._credit.get(share.service, 0.0) + share.weight
        best = max(shares, key=lambda share: self._credit[share.service])
        self._credit[best.service] -= total
        return best.service
