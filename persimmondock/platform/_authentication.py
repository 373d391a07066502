"""Finds out which tenant a caller's request belongs to."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs

from persimmondock._domain.tenants import Tenant, UnknownKey, UnreadableTenant

if TYPE_CHECKING:
    from collections.abc import Iterable

    from persimmondock._domain.tenants import TenantTable

AUTHORIZATION = "authorization"
SCHEME = "bearer"


@attrs.frozen
class Unauthorized:
    """The request has to be refused.

    Parameters
    ----------
    reason
        Why, without anything of the key.
    """

    reason: str


@attrs.frozen
class Undecidable:
    """The tenant may exist, but its policy could not be read."""


Identity: TypeAlias = Tenant | Unauthorized | Undecidable | None


def find_key(fields: Iterable[tuple[str, str]]) -> str | None:
    """Return the key of a request, or None if there is none or more than one."""
    values = [value for name, value in fields if name.lower() == AUTHORIZATION]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(" ")
    return key.strip() or None if scheme.lower() == SCHEME else None


def identify(tenants: TenantTable, fields: Iterable[tuple[str, str]], public: bool) -> Identity:
    """Return the tenant of a request, None for a public one of nobody, or why to refuse it."""
    key = find_key(fields)
    if key is None:
        return None if public else Unauthorized("no_key")
    match tenants.find_owner(key):
        case Tenant() as tenant:
            return tenant
        case UnreadableTenant():
            return None if public else Undecidable()
        case UnknownKey():
            return None if public else Unauthorized("unknown_key")
