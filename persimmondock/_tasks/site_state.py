"""Operators' settings in force: the routing table and evacuated failure domains."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from persimmondock._domain.routing_table import RoutingTable, WeightedRoundRobin

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._domain.replica import KeyedEntry
    from persimmondock._domain.routing_table import RoutePolicy, ServicePolicy


class SiteState:
    """The newest routing table and the evacuated failure domains.

    The version of the table never decreases within a process.

    Parameters
    ----------
    config_key
        Key of the routing table's record.
    decode
        Decodes a routing table; raises ValueError naming the faulty part.
    find_evacuated
        Returns the failure domain that a key evacuates, or None for other keys.
    on_change
        Called after each update.

    Attributes
    ----------
    table_record
        Record of the table in force, which a restored store may have lost.
    """

    def __init__(
        self,
        config_key: str,
        decode: Callable[[bytes], RoutingTable],
        find_evacuated: Callable[[str], str | None],
        on_change: Callable[[], None],
    ) -> None:
        self.table: RoutingTable | None = None
        self.table_record: KeyedEntry | None = None
        self.evacuated: frozenset[str] = frozenset()
        self._config_key = config_key
        self._decode = decode
        self._find_evacuated = find_evacuated
        self._on_change = on_change
        self._round_robins: dict[str, WeightedRoundRobin] = {}

    def update(self, changed: list[KeyedEntry]) -> None:
        """Apply changed records of operators."""
        for entry in changed:
            if entry.key == self._config_key:
                self._update_table(entry)
                continue
            failure_domain = self._find_evacuated(entry.key)
            if failure_domain is None:
                logger.info("event=operator_key_ignored key={!r}", entry.key)
                continue
            evacuated = (
                self.evacuated | {failure_domain}
                if entry.value
                else self.evacuated - {failure_domain}
            )
            if evacuated != self.evacuated:
                self.evacuated = evacuated
                logger.info(
                    "event=failure_domains_out domains={}", ",".join(sorted(evacuated)) or "-"
                )
        self._on_change()

    def _update_table(self, entry: KeyedEntry) -> None:
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
        for part in table.unreadable_parts:
            logger.error(
                "event=configuration_part_unreadable version={} detail={!r}", table.version, part
            )
        self.table = self._keep_unreadable_services(table)
        self.table_record = entry
        logger.info("event=configuration version={} hosts={}", table.version, len(table.hosts))

    def _keep_unreadable_services(self, table: RoutingTable) -> RoutingTable:
        """Return a table with the former policies of services whose new ones are unreadable."""
        if self.table is None or not table.unreadable_services:
            return table
        former = self.table.services
        kept = {name: former[name] for name in table.unreadable_services if name in former}
        return attrs.evolve(table, services={**kept, **table.services})

    def find_policy(self, service: str) -> ServicePolicy | None:
        """Return the policy of a service, or None if there is none."""
        return self.table.services.get(service) if self.table is not None else None

    def is_keyed(self, service: str) -> bool:
        """Return whether the keys of a service have exclusive owners."""
        policy = self.find_policy(service)
        return policy is not None and policy.keyed

    def is_evacuated(self, failure_domain: str) -> bool:
        """Return whether operators have evacuated a failure domain."""
        return failure_domain in self.evacuated

    def choose_service(self, route: RoutePolicy) -> str:
        """Return the service that gets the next request of a route."""
        round_robin = self._round_robins.setdefault(route.name, WeightedRoundRobin())
        return round_robin.choose(route.shares)
