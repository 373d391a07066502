"""Choice of the witnesses of a lease and of a member's successor."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from persimmondock._domain.records import MemberRef
    from persimmondock._domain.view import Member

WITNESSES = 3


def _rank(daemon: str, member: Member) -> int:
    return _hash_pair(daemon, member.ref.daemon)


def _hash_pair(daemon: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{daemon}|{name}".encode())


def choose_witnesses(
    daemon: str, failure_domain: str, others: Iterable[Member], count: int = WITNESSES
) -> tuple[MemberRef, ...]:
    """Choose witnesses in as many failure domains as possible.

    Each daemon ranks the others in its own pseudo-random order, so that no daemon witnesses for
    many others and few daemons have the same witnesses. Witnesses in other failure domains are
    preferred.

    Returns
    -------
    tuple of MemberRef
        An odd number of witnesses, at most ``count``.
    """
    by_domain: dict[str, list[Member]] = {}
    for member in others:
        by_domain.setdefault(member.failure_domain, []).append(member)
    domains = sorted(
        by_domain, key=lambda name: (name == failure_domain, _hash_pair(daemon, name), name)
    )
    for domain in domains[:count]:
        by_domain[domain].sort(key=lambda member: _rank(daemon, member))
    chosen: list[MemberRef] = []
    while len(chosen) < count and any(by_domain.values()):
        for domain in domains:
            if by_domain[domain] and len(chosen) < count:
                chosen.append(by_domain[domain].pop(0).ref)
    if len(chosen) % 2 == 0:
        chosen = chosen[:-1]
    return tuple(chosen)


def choose_successor(
    daemon: str, failure_domain: str, others: Iterable[Member]
) -> MemberRef | None:
    """Choose the member designated to take over when the log cannot record a loss.

    Members of other failure domains are preferred.
    """
    ranked = sorted(
        others,
        key=lambda member: (member.failure_domain == failure_domain, _rank(daemon, member)),
    )
    return ranked[0].ref if ranked else None
