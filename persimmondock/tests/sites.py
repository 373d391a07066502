"""Builders of test data for sites that enforce grants of key ranges."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import attrs

from persimmondock._domain.assignment import Assignment, BackendIncarnation, KeyRange
from persimmondock._domain.backend_report import BackendAnnouncement
from persimmondock._domain.forwarding import NO_KEY, ForwardedRequest
from persimmondock._domain.routing_table import (
    RoutePolicy,
    RoutingTable,
    ServicePolicy,
    TrafficShare,
)

SERVICE = "painel"


def make_incarnation(number: int, born_ms: int = 1) -> BackendIncarnation:
    """Return an incarnation of the backend server beside daemon ``node-NUMBER``."""
    return BackendIncarnation(f"node-{number}", f"i-{number}-{born_ms}", born_ms)


def make_range(first: int, last: int, owner: int, **changes: Any) -> KeyRange:
    """Return a range that the backend server beside daemon ``node-OWNER`` owns."""
    return attrs.evolve(KeyRange(first, last, make_incarnation(owner), 1), **changes)


def make_assignment(
    *ranges: KeyRange, offset: int = 1, witnesses: Iterable[str] = ""
) -> Assignment:
    """Return an assignment; each letter of ``witnesses`` names one."""
    return Assignment(SERVICE, ranges, frozenset(witnesses), frozenset(), offset)


def make_report(**changes: Any) -> BackendAnnouncement:
    """Return an announcement of a backend server that is neither cold nor draining."""
    report = BackendAnnouncement(
        instance="i-1",
        service=SERVICE,
        address="127.0.0.1:1",
        failure_domain="recife",
        slots=2,
        draining=False,
        cold_s=0.0,
        sequence=1,
        born_ms=1000,
    )
    return attrs.evolve(report, **changes)


def make_forwarded(now: float, **changes: Any) -> ForwardedRequest:
    """Return a request with 10 s to its deadline and 5 s to its objective."""
    request = ForwardedRequest(
        attempt="a1",
        service=SERVICE,
        route="view",
        method="GET",
        target="/view/1",
        headers=(("Host", "board.example"),),
        body=b"",
        key=NO_KEY,
        idempotent=True,
        priority=1,
        caller_service="recepcao",
        deadline=now + 10.0,
        objective_at=now + 5.0,
    )
    return attrs.evolve(request, **changes)


def make_route(**changes: Any) -> RoutePolicy:
    """Return an idempotent route to one service."""
    route = RoutePolicy("view", "/view/", True, 2.0, 0.4, (TrafficShare(SERVICE, 1.0),))
    return attrs.evolve(route, **changes)


def make_table(*routes: RoutePolicy, version: int = 1, **changes: Any) -> RoutingTable:
    """Return a routing table with one host and one service, whose policy has ``changes``."""
    service = attrs.evolve(ServicePolicy(SERVICE), **changes)
    return RoutingTable(version, {"board.example": routes}, {SERVICE: service})
