"""What the operators say: the routes in force and the failure domains that are out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from persimmondock._domain.routing_table import RoutingTable, WeightedRoundRobin

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._domain.replica import KeyedEntry
    from persimmondock._domain.routing_table import RoutePolicy, ServicePolicy


class SiteState:
    """The newest routing table; within a process its version never goes back.

    Parameters
    ----------
    decode
        Reads a routing table; raises ValueError naming the place of a fault.
    find_evacuated
        Returns the failure domain that a key takes out, or None.
    """

    def __init__(
        self,
        config_key: str,
        decode: Callable[[bytes], RoutingTable],
        find_evacuated: Callable[[str], str | None],
        changed: Callable[[], None],
    ) -> None:
        self.table: RoutingTable | None = None
        self.out: frozenset[str] = frozenset()
        self._config_key = config_key
        self._decode = decode
        self._find_evacuated = find_evacuated
        self._changed = changed
        self._counters: dict[str, WeightedRoundRobin] = {}

    def take(self, changed: list[KeyedEntry]) -> None:
        """Take in what the operators wrote."""
        for entry in changed:
            if entry.key == self._config_key:
                self._take_table(entry)
                continue
            failure_domain = self._find_evacuated(entry.key)
            if failure_domain is None:
                logger.info("event=operator_key_ignored key={!r}", entry.key)
                continue
            out = self.out | {failure_domain} if entry.value else self.out - {failure_domain}
            if out != self.out:
                self.out = out
                logger.info("event=failure_domains_out domains={}", ",".join(sorted(out)) or "-")
        self._changed()

    def _take_table(self, entry: KeyedEntry) -> None:
        try:
            table = self._decode(entry.value)
        except ValueError as error:
            logger.error(
                "event=configuration_refused offset={} detail={!r}", entry.offset, str(error)
            )
            return
        if self.table is not None and table.version <= self.table.version:
            logger.info("event=configuration_old version={}", table.version)
            return
        self.table = table
        logger.info("event=configuration version={} hosts={}", table.version, len(table.hosts))

    def find_policy(self, service: str) -> ServicePolicy | None:
        """Return what operators say of a service."""
        return self.table.services.get(service) if self.table is not None else None

    def is_keyed(self, service: str) -> bool:
        """Return whether the keys of a service are owned."""
        policy = self.find_policy(service)
        return policy is not None and policy.keyed

    def is_out(self, failure_domain: str) -> bool:
        """Return whether a failure domain was taken out."""
        return failure_domain in self.out

    def choose_service(self, route: RoutePolicy) -> str:
        """Return the service that gets the next request of a route."""
        counter = self._counters.setdefault(route.name, WeightedRoundRobin())
        return counter.choose(route.shares)
