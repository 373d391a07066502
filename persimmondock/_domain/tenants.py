"""Tenants, and the keys by which requests show that they belong to one.

Keys are secrets: only digests are kept, so that no dump, log line or error can show one, and the
time of a look-up tells nothing about the keys.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, TypeAlias

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

DIGEST_BYTES = 16


@attrs.frozen
class Tenant:
    """Policy for the requests of one tenant.

    Parameters
    ----------
    priority
        Priority number that takes the place of the route's, or None to keep that one.
    rate_per_s, burst
        Requests per second that all daemons together admit, and how many more at a time; a rate of
        0 sets no limit.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def limited(self) -> bool:
        """Whether there is a limit on the tenant's requests."""
        return self.rate_per_s > 0


@attrs.frozen
class UnknownKey:
    """No tenant has the key."""


@attrs.frozen
class UnreadableTenant:
    """The key belongs to a tenant whose policy could not be read."""


Owner: TypeAlias = Tenant | UnknownKey | UnreadableTenant
UNKNOWN_KEY = UnknownKey()
UNREADABLE_TENANT = UnreadableTenant()


def compute_digest(key: str) -> bytes:
    """Return the digest by which a key is found."""
    data = key.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


@attrs.frozen
class TenantTable:
    """The tenants of one version of the configuration.

    Parameters
    ----------
    by_name
        Tenants by name.
    names
        Names of the tenants by digest of a key.
    unreadable
        Digests of the keys of tenants whose policies could not be read.
    complete
        Whether all keys are known; if not, one that is not found may still belong to a tenant.
    """

    by_name: Mapping[str, Tenant] = attrs.field(factory=dict)
    names: Mapping[bytes, str] = attrs.field(factory=dict, repr=False)
    unreadable: frozenset[bytes] = attrs.field(default=frozenset(), repr=False)
    complete: bool = True

    def find_owner(self, key: str) -> Owner:
        """Return the tenant that a key belongs to; the time does not depend on their number."""
        digest = compute_digest(key)
        name = self.names.get(digest)
        if name is not None:
            return self.by_name[name]
        if digest in self.unreadable or not self.complete:
            return UNREADABLE_TENANT
        return UNKNOWN_KEY
