"""Status and full state of a daemon as plain data, for operators."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

import attrs
import numpy as np

if TYPE_CHECKING:
    from persimmondock._domain.membership import Membership
    from persimmondock._domain.view import ServiceState
    from persimmondock._tasks.gate import Gate


@attrs.frozen
class DaemonStatus:
    """Status of one daemon, shown as one row of a table.

    Parameters
    ----------
    incarnation
        Offset of the record by which it joined; None while it is not a member.
    lease_left_ms
        Milliseconds until its lease expires; None without a lease or with one that cannot expire
        because it needs no witnesses.
    slices
        Number of slices that its backend servers own.
    waiting
        Number of these slices that an earlier owner has not released.
    """

    daemon: str
    failure_domain: str
    incarnation: int | None
    view_offset: int
    lease_left_ms: int | None
    backends: tuple[str, ...]
    slices: int
    waiting: int
    in_flight: int
    queued: int
    leaving: bool


def build_status(membership: Membership, gate: Gate) -> DaemonStatus:
    """Return a daemon's status."""
    services = membership.view.services
    return DaemonStatus(
        daemon=membership.identity.daemon,
        failure_domain=membership.identity.failure_domain,
        incarnation=None if membership.ref is None else membership.ref.incarnation,
        view_offset=membership.view.offset,
        lease_left_ms=compute_lease_left_ms(membership, time.monotonic()),
        backends=tuple(sorted(membership.backends)),
        slices=sum(_count_owned_slices(membership, state) for state in services.values()),
        waiting=len(membership.unreleased),
        in_flight=gate.count_in_flight(),
        queued=sum(backend_state.waiting for backend_state in gate.describe_backends().values()),
        leaving=membership.leaving,
    )


def compute_lease_left_ms(membership: Membership, now: float) -> int | None:
    """Return the milliseconds until the lease expires; None without a lease that can expire."""
    if membership.lease is None:
        return None
    deadline = membership.lease.compute_deadline()
    return None if deadline == float("inf") else round((deadline - now) * 1000)


def _count_owned_slices(membership: Membership, state: ServiceState) -> int:
    codes = [code for code, placed in state.backends.items() if placed.member == membership.ref]
    return int(np.isin(state.owners, codes).sum())


def dump_state(membership: Membership, gate: Gate) -> dict[str, Any]:
    """Return a daemon's whole state as plain data."""
    view = membership.view
    return {
        "daemon": membership.identity.daemon,
        "failure_domain": membership.identity.failure_domain,
        "incarnation": None if membership.ref is None else membership.ref.incarnation,
        "leaving": membership.leaving,
        "lease_left_ms": compute_lease_left_ms(membership, time.monotonic()),
        "leases": _dump_leases(membership),
        "promises": _dump_promises(membership),
        "view_offset": view.offset,
        "settled_before": view.settled_before,
        "members": {name: attrs.asdict(member) for name, member in view.members.items()},
        "fleet": attrs.asdict(view.fleet),
        "subjects": {
            name: {"offset": version.offset, "author": version.author}
            for name, version in view.subjects.items()
        },
        "services": {name: _dump_service(state) for name, state in view.services.items()},
        "unreleased": len(membership.unreleased),
        "waiting_for": [
            {
                "service": ref.service,
                "slice": ref.index,
                "owners": sorted(handover.member.daemon for handover in missing),
            }
            for ref, missing in membership.unreleased.items()
        ],
        "in_flight": gate.count_in_flight(),
        "request_table": len(gate.table),
        "suspects": [attrs.asdict(seen) for seen in gate.suspects.registry.export_suspects()],
        "stations": {name: attrs.asdict(s) for name, s in gate.describe_backends().items()},
        "tasks": sorted(task.get_name() for task in asyncio.all_tasks()),
    }


def _dump_leases(membership: Membership) -> list[dict[str, Any]]:
    """Return each set of witnesses with the remaining milliseconds of each promise, 0 for none."""
    if membership.lease is None:
        return []
    now = time.monotonic()
    return [
        {
            "version": witness_set.version,
            "witnesses": {
                witness.daemon: round((witness_set.deadlines.get(witness, now) - now) * 1000)
                for witness in witness_set.witnesses
            },
        }
        for witness_set in membership.lease.sets
    ]


def _dump_promises(membership: Membership) -> dict[str, Any]:
    """Return the promises that this daemon has made as a witness."""
    now = time.monotonic()
    return {
        f"{holder.daemon}@{holder.incarnation}": {
            "left_ms": round((promise.until - now) * 1000),
            "voted": promise.voted,
        }
        for holder, promise in membership.witness_state.promises.items()
    }


def _dump_service(state: ServiceState) -> dict[str, Any]:
    return {
        "slices": state.slices,
        "backends": {
            placed.backend.name: {
                "member": placed.member.daemon,
                "address": placed.backend.address,
                "slots": placed.backend.slots,
                "checks_tokens": placed.backend.checks_tokens,
                "slices": int((state.owners == code).sum()),
                "owned": np.flatnonzero(state.owners == code).tolist(),
            }
            for code, placed in state.backends.items()
        },
        "handovers": len(state.handovers),
    }
