"""Which daemons keep the account of a name, by consistent hashing."""

from __future__ import annotations

import bisect
import hashlib
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

HOLDERS = 3
POINTS_PER_NODE = 8  # evens out the shares of the nodes
MAX_REMEMBERED = 10_000  # names whose holders need not be found again


def hash_name(text: str) -> int:
    """Return a number that all daemons compute alike."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


@attrs.define
class HolderRing:
    """Chooses the holders of each name among nodes, in different failure domains if possible.

    A node that joins or leaves changes the holders of few names. All daemons that know the same
    nodes choose the same holders.

    Parameters
    ----------
    domains
        Failure domains of the nodes by their names.
    """

    domains: Mapping[str, str]
    _points: list[tuple[int, str]] = attrs.field(init=False)
    _chosen: dict[str, tuple[str, ...]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._points = sorted(
            (hash_name(f"{node}#{number}"), node)
            for node in self.domains
            for number in range(POINTS_PER_NODE)
        )

    def find_holders(self, name: str) -> tuple[str, ...]:
        """Return the holders of a name; fewer than `HOLDERS` if there are fewer nodes."""
        holders = self._chosen.get(name)
        if holders is None:
            if len(self._chosen) >= MAX_REMEMBERED:
                self._chosen.clear()
            holders = self._chosen[name] = self._choose(name)
        return holders

    def _choose(self, name: str) -> tuple[str, ...]:
        start = bisect.bisect_left(self._points, (hash_name(name), ""))
        domain_count = len(set(self.domains.values()))
        chosen: list[str] = []
        others: list[str] = []
        used: set[str] = set()
        for index in range(len(self._points)):
            node = self._points[(start + index) % len(self._points)][1]
            if node in chosen or node in others:
                continue
            domain = self.domains[node]
            if domain in used and len(used) < domain_count:
                if len(others) < HOLDERS:
                    others.append(node)
                continue
            used.add(domain)
            chosen.append(node)
            if len(chosen) == HOLDERS:
                break
        return (*chosen, *others)[:HOLDERS]
