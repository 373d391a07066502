"""Benchmarks of the decision core by number of members and slices.

``python -m benchmarks.core [MEMBERS ...] [--slices N ...]`` prints a table. The members are spread
over 27 failure domains, and each has one backend server of the same keyed service. Sequences of
records are folded in batches, as a daemon folds what it reads from the log. The catch-up is
measured only up to the number of members that ``--catch-up-members`` gives.
"""

from __future__ import annotations

import argparse
import gc
import os
import time
import tracemalloc
from typing import TYPE_CHECKING

import attrs
import numpy as np

from persimmondock._domain.configuration import (
    FLEET_SUBJECT,
    FleetConfiguration,
    ServiceConfiguration,
    render_subject,
)
from persimmondock._domain.leases import LeaseTiming
from persimmondock._domain.membership import Identity, Membership
from persimmondock._domain.placement import NO_OWNER, Share, place_slices
from persimmondock._domain.records import (
    Backend,
    BackendAnnounced,
    BackendWithdrawn,
    ConfigurationPublished,
    MemberJoined,
    MemberLeaving,
    MemberLeft,
    MemberLost,
    MemberRef,
    Record,
    SubjectChange,
    WitnessesChanged,
    decode_record,
    encode_record,
    make_record_id,
)
from persimmondock._domain.snapshot import decode_view, encode_view
from persimmondock._domain.view import (
    Member,
    PlacedBackend,
    View,
    begin_batch,
    end_batch,
    fold,
    rebuild_indexes,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

MEMBERS = (15, 150, 1_500, 15_000)
SLICES = (64, 10_000, 1_000_000)
DOMAINS = 27
SERVICE = "rooms"
SLOTS = 12
WITNESSES = 3
TICK_S = 0.1
BATCH_RECORDS = 50


def make_joined(number: int, witnesses: tuple[MemberRef, ...]) -> MemberJoined:
    """Return the record by which a member joins."""
    address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
    return MemberJoined(
        record_id=make_record_id(),
        daemon=f"vm-{number}",
        failure_domain=f"domain-{number % DOMAINS}",
        peer_address=f"{address}:8102",
        data_address=f"{address}:8103",
        caller_address=f"{address}:8100",
        operator_address=f"{address}:8101",
        witnesses=witnesses,
        successor=witnesses[0] if witnesses else None,
    )


def make_announced(number: int, ref: MemberRef) -> BackendAnnounced:
    """Return the record of the backend server beside a member."""
    backend = Backend(f"backend-{number}", SERVICE, f"10.0.0.1:{number}", SLOTS, 130, True)
    return BackendAnnounced(make_record_id(), ref, backend)


def make_published(slices: int) -> ConfigurationPublished:
    """Return the record that publishes the configuration of the service."""
    body = render_subject(ServiceConfiguration(SERVICE, f"/{SERVICE}", True, slices))
    return ConfigurationPublished(
        make_record_id(), "bench", (SubjectChange(f"service/{SERVICE}", -1, body),)
    )


def make_fleet_change(out: tuple[str, ...], view: View) -> ConfigurationPublished:
    """Return the record that takes failure domains out."""
    present = view.subjects.get(FLEET_SUBJECT)
    base = -1 if present is None else present.offset
    body = render_subject(FleetConfiguration(failure_domains_out=out))
    return ConfigurationPublished(
        make_record_id(), "bench", (SubjectChange(FLEET_SUBJECT, base, body),)
    )


def make_lost(member: Member) -> MemberLost:
    """Return the record of a member's loss."""
    return MemberLost(make_record_id(), member.ref, member.witnesses_version, member.witnesses)


def list_records(members: int, slices: int) -> list[Record]:
    """Return the records of a new site: the service, then members and their backend servers."""
    records: list[Record] = [make_published(slices)]
    refs: list[MemberRef] = []
    for number in range(members):
        witnesses = tuple(refs[-WITNESSES:]) if len(refs) >= WITNESSES else tuple(refs[:1])
        ref = MemberRef(f"vm-{number}", len(records))
        refs.append(ref)
        records += [make_joined(number, witnesses), make_announced(number, ref)]
    return records


def make_view(members: int, slices: int) -> View:
    """Return the view of a site whose slices were all placed in one step.

    Folding the records of `list_records` would take too long here; `CatchUp` measures it.
    """
    view = fold(View(), 0, make_published(slices))
    joined = {}
    placed = {}
    refs: list[MemberRef] = []
    for number in range(members):
        witnesses = tuple(refs[-WITNESSES:]) if len(refs) >= WITNESSES else tuple(refs[:1])
        ref = MemberRef(f"vm-{number}", 1 + 2 * number)
        refs.append(ref)
        record = make_joined(number, witnesses)
        joined[ref.daemon] = Member(
            ref=ref,
            record_id=record.record_id,
            failure_domain=record.failure_domain,
            peer_address=record.peer_address,
            data_address=record.data_address,
            caller_address=record.caller_address,
            operator_address=record.operator_address,
            witnesses=witnesses,
            successor=record.successor,
            witnesses_version=ref.incarnation,
        )
        placed[number] = PlacedBackend(number, ref, make_announced(number, ref).backend)
    state = view.services[SERVICE]
    shares = [Share(code, SLOTS) for code in placed]
    owners = place_slices(np.full(slices, NO_OWNER, dtype=np.int32), shares)
    offset = 1 + 2 * members
    state = attrs.evolve(
        state,
        backends=placed,
        next_code=members,
        owners=owners,
        tokens=np.full(slices, offset - 1, dtype=np.int64),
    )
    view = attrs.evolve(view, members=joined, services={SERVICE: state}, offset=offset)
    return rebuild_indexes(view)


def fold_all(view: View, records: Iterable[Record]) -> View:
    """Fold records that follow a view, in batches."""
    pending = list(records)
    for start in range(0, len(pending), BATCH_RECORDS):
        batch = pending[start : start + BATCH_RECORDS]
        view = begin_batch(view)
        for record in batch:
            view = fold(view, view.offset, record)
        view = end_batch(view)
    return view


def list_domain_losses(view: View, limit: int) -> list[Record]:
    """Return loss records of one failure domain's members, with all their witnesses as voters."""
    members = [m for m in view.members.values() if m.failure_domain == "domain-1"]
    return [make_lost(member) for member in members[:limit]]


def measure_median_s(
    function: Callable[[], object], min_total_s: float = 0.2, max_runs: int = 20
) -> float:
    """Return the median time of a call, in seconds.

    The function is called until the calls have taken ``min_total_s``, at most ``max_runs`` times.
    """
    times: list[float] = []
    while sum(times) < min_total_s and len(times) < max_runs:
        start = time.perf_counter()
        function()
        times.append(time.perf_counter() - start)
    return float(np.median(times))


class Fold:
    """Fold of one record, by kind of record."""

    params = (
        MEMBERS,
        SLICES,
        ("joined", "announced", "witnesses", "published", "leaving", "withdrawn", "lost"),
    )
    param_names = ("members", "slices", "kind")

    def setup(self, members: int, slices: int, kind: str) -> None:
        """Build the view and the record."""
        self.view = make_view(members, slices)
        self.record = make_record(self.view, kind)

    def time_fold(self, members: int, slices: int, kind: str) -> None:
        """Fold the record."""
        fold(self.view, self.view.offset, self.record)


def make_record(view: View, kind: str) -> Record:
    """Return a record of the given kind that changes the view."""
    number = len(view.members)
    member = view.members[f"vm-{number // 2}"]
    ref = member.ref
    first = next(iter(view.members.values())).ref
    kinds: dict[str, Callable[[], Record]] = {
        "joined": lambda: make_joined(number, (first,)),
        "announced": lambda: make_announced(number, ref),
        "witnesses": lambda: WitnessesChanged(
            make_record_id(), ref, member.witnesses_version, (first,), first
        ),
        # No member is in a failure domain of this name.
        "published": lambda: make_fleet_change(("none",), view),
        "leaving": lambda: MemberLeaving(make_record_id(), ref),
        "left": lambda: MemberLeft(make_record_id(), ref),
        "withdrawn": lambda: BackendWithdrawn(make_record_id(), ref, f"backend-{number // 2}"),
        "lost": lambda: make_lost(member),
    }
    return kinds[kind]()


class Advance:
    """Periodic work of one daemon's membership while nothing changes."""

    params = (MEMBERS, SLICES)
    param_names = ("members", "slices")

    def setup(self, members: int, slices: int) -> None:
        """Build the membership of a member that has a backend server and is a witness for others.

        It renews its lease, but no message reaches its witnesses, so it has no promises.
        """
        self.membership = make_membership(make_view(members, slices), members // 2)
        self.now = 0.2

    def time_advance(self, members: int, slices: int) -> None:
        """Advance by one tick."""
        self.now += TICK_S
        self.membership.record_log_read(self.now, True, self.now)
        self.membership.advance(self.now)


def make_membership(view: View, number: int) -> Membership:
    """Return the membership of one member of a view."""
    member = view.members[f"vm-{number}"]
    identity = Identity(
        daemon=member.ref.daemon,
        failure_domain=member.failure_domain,
        peer_address=member.peer_address,
        data_address=member.data_address,
        caller_address=member.caller_address,
        operator_address=member.operator_address,
    )
    membership = Membership(identity, LeaseTiming(), lambda _: False, lambda _: ())
    membership._join_record_id = member.record_id
    for backend in view.list_backends(member.ref):
        membership.announce_backend(backend, 0.0)
    membership.adopt_view(view, 0.1)
    assert membership.ref == member.ref
    return membership


class DomainLoss:
    """Fold of the losses of all members of one failure domain."""

    params = (MEMBERS, SLICES)
    param_names = ("members", "slices")

    def setup(self, members: int, slices: int) -> None:
        """Build the view and the records."""
        self.view = make_view(members, slices)
        self.records = list_domain_losses(self.view, members)

    def time_fold(self, members: int, slices: int) -> None:
        """Fold all losses."""
        fold_all(self.view, self.records)


class Snapshot:
    """Encoding and decoding of a whole view."""

    params = (MEMBERS, SLICES)
    param_names = ("members", "slices")

    def setup(self, members: int, slices: int) -> None:
        """Build the view."""
        self.view = make_view(members, slices)
        self.encoded = encode_view(self.view)

    def time_encode(self, members: int, slices: int) -> None:
        """Encode the view."""
        encode_view(self.view)

    def time_decode(self, members: int, slices: int) -> None:
        """Decode the view."""
        decode_view(self.encoded)

    def track_bytes(self, members: int, slices: int) -> int:
        """Return the size of the encoded view, in bytes."""
        return len(self.encoded.body)


class CatchUp:
    """Decoding and folding of all records that build a site."""

    params = (MEMBERS, SLICES)
    param_names = ("members", "slices")

    def setup(self, members: int, slices: int) -> None:
        """Encode the records."""
        self.payloads = [encode_record(record) for record in list_records(members, slices)]

    def time_catch_up(self, members: int, slices: int) -> None:
        """Decode and fold all records."""
        fold_all(View(), [decode_record(payload) for payload in self.payloads])


def measure_memory(members: int, slices: int) -> int:
    """Return the memory that a decoded view uses, in bytes."""
    encoded = encode_view(make_view(members, slices))
    gc.collect()
    tracemalloc.start()
    view = decode_view(encoded)
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert view.offset == encoded.covers
    return size


def print_row(members: int, slices: int, catch_up_members: int) -> None:
    """Measure one number of members and slices and print the row."""
    view = make_view(members, slices)
    cells = []
    for kind in Fold.params[2]:
        record = make_record(view, kind)
        cells.append(f"{measure_median_s(lambda r=record: fold(view, view.offset, r)) * 1e3:.2f}")
    advance = Advance()
    advance.setup(members, slices)
    cells.append(f"{measure_median_s(lambda: advance.time_advance(members, slices)) * 1e3:.3f}")
    losses = list_domain_losses(view, members)
    cells.append(
        f"{measure_median_s(lambda: fold_all(view, losses), max_runs=1) * 1e3:.0f} ({len(losses)})"
    )
    snapshot = Snapshot()
    snapshot.setup(members, slices)
    cells.append(f"{measure_median_s(lambda: encode_view(view)) * 1e3:.1f}")
    cells.append(f"{measure_median_s(lambda: decode_view(snapshot.encoded)) * 1e3:.1f}")
    cells.append(f"{len(snapshot.encoded.body) / 1e3:.1f}")
    cells.append(f"{measure_memory(members, slices) / 1e6:.2f}")
    if members <= catch_up_members:
        catch_up = CatchUp()
        catch_up.setup(members, slices)
        run = lambda: catch_up.time_catch_up(members, slices)  # noqa: E731
        cells.append(f"{measure_median_s(run, max_runs=1):.2f}")
    else:
        cells.append("-")
    print(f"{members} | {slices} | " + " | ".join(cells), flush=True)


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("members", type=int, nargs="*", default=MEMBERS)
    parser.add_argument("--slices", type=int, nargs="*", default=SLICES)
    parser.add_argument("--catch-up-members", type=int, default=MEMBERS[-1])
    options = parser.parse_args()
    kinds = " | ".join(f"{kind} ms" for kind in Fold.params[2])
    print(f"load {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")
    print(
        f"members | slices | {kinds} | advance ms | domain loss ms (records) | encode ms | "
        "decode ms | snapshot kB | view MB | catch-up s"
    )
    for members in options.members:
        for slices in options.slices:
            print_row(members, slices, options.catch_up_members)


if __name__ == "__main__":
    main()
