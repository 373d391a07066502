"""Builders of test data."""

from __future__ import annotations

import os
import time
from typing import Any

import attrs

from persimmondock._domain.configuration import ServiceConfiguration, render_subject
from persimmondock._domain.membership import Identity
from persimmondock._domain.messages import Call
from persimmondock._domain.records import (
    Backend,
    BackendAnnounced,
    ConfigurationPublished,
    MemberJoined,
    MemberRef,
    Record,
    SubjectChange,
    make_record_id,
)
from persimmondock._domain.view import Member, View, fold
from persimmondock.configuration import Configuration

# Loopback network of this test process, so that concurrent test runs do not share addresses.
NETWORK = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 256}."
DOMAINS = ("recife", "fortaleza", "salvador")


def make_joined(number: int, witnesses: tuple[MemberRef, ...] = ()) -> MemberJoined:
    """Return the record by which daemon ``vm-NUMBER`` joins."""
    return MemberJoined(
        record_id=make_record_id(),
        daemon=f"vm-{number}",
        failure_domain=DOMAINS[number % len(DOMAINS)],
        peer_address=f"10.0.0.{number}:8102",
        data_address=f"10.0.0.{number}:8103",
        caller_address=f"10.0.0.{number}:8100",
        operator_address=f"10.0.0.{number}:8101",
        witnesses=witnesses,
        successor=None,
    )


def make_backend(number: int, service: str = "painel", slots: int = 6) -> Backend:
    """Return the backend server beside daemon ``vm-NUMBER``."""
    return Backend(
        name=f"backend-{number}",
        service=service,
        address=f"10.0.0.{number}:8200",
        slots=slots,
        connections=60,
        checks_tokens=True,
    )


def make_published(name: str = "painel", base: int = -1, **options: Any) -> ConfigurationPublished:
    """Return the record that publishes one keyed service."""
    service = ServiceConfiguration(name=name, path=f"/{name}", keyed=True, **options)
    change = SubjectChange(f"service/{name}", base, render_subject(service))
    return ConfigurationPublished(make_record_id(), "test", (change,))


def fold_all(records: list[Record], view: View | None = None) -> View:
    """Apply records to a view, or to the empty one."""
    view = view or View()
    for record in records:
        view = fold(view, view.offset, record)
    return view


def make_view(members: int, slices: int = 64, witnesses: int = 3) -> View:
    """Return a view of one service with one backend server at each member."""
    view = fold_all([make_published(slices=slices)])
    for number in range(members):
        refs = tuple(member.ref for member in list(view.members.values())[-witnesses:])
        if len(refs) % 2 == 0:
            refs = refs[:-1]
        view = fold_all([make_joined(number, refs)], view)
        ref = view.members[f"vm-{number}"].ref
        announced = BackendAnnounced(make_record_id(), ref, make_backend(number))
        view = fold_all([announced], view)
    return view


def make_configuration(*names: str) -> Configuration:
    """Return a configuration with a keyed service for each name."""
    configuration = Configuration()
    for name in names:
        configuration.add_service(name, path=f"/{name}", keyed=True, slices=16)
    return configuration


def make_identity(number: int) -> Identity:
    """Return the identity of daemon ``vm-NUMBER``."""
    joined = make_joined(number)
    return Identity(
        daemon=joined.daemon,
        failure_domain=joined.failure_domain,
        peer_address=joined.peer_address,
        data_address=joined.data_address,
        caller_address=joined.caller_address,
        operator_address=joined.operator_address,
    )


def make_member(
    ref: MemberRef, failure_domain: str, witnesses: tuple[MemberRef, ...] = ()
) -> Member:
    """Return a member of a view."""
    return Member(
        ref=ref,
        record_id=make_record_id(),
        failure_domain=failure_domain,
        peer_address=f"{ref.daemon}:8102",
        data_address=f"{ref.daemon}:8103",
        caller_address=f"{ref.daemon}:8100",
        operator_address=f"{ref.daemon}:8101",
        witnesses=witnesses,
        successor=None,
        witnesses_version=ref.incarnation,
    )


def make_call(**changes: Any) -> Call:
    """Return a call of an idempotent request without a key."""
    call = Call(
        number=0,
        service="painel",
        backend="backend-1",
        slice=-1,
        method="POST",
        path="/painel/key-1/show",
        headers=(),
        body=b"",
        request_id="",
        issued_offset=-1,
        idempotent=True,
        may_wait=False,
        deadline_ms=int((time.time() + 5.0) * 1000),
    )
    return attrs.evolve(call, **changes)
