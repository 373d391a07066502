"""Messages between daemons of this version and of earlier or later ones."""

from __future__ import annotations

import attrs
import msgpack
import pytest

from persimmondock._domain.forwarding import ForwardedRequest, unpack_request
from persimmondock._domain.gate_status import GateStatus, unpack_status
from persimmondock._domain.optional_fields import pack_optional, read_optional
from persimmondock.tests.sites import SERVICE, make_forwarded


def send(request: ForwardedRequest, version: int) -> ForwardedRequest:
    """Return a request as a daemon that speaks a version receives it."""
    return unpack_request(msgpack.unpackb(msgpack.packb(request.pack(5.0, version))), 5.0, 0.0)


def test_a_tenant_travels_with_a_request() -> None:
    request = make_forwarded(5.0, tenant="museum")
    assert send(request, 1) == request


def test_an_earlier_version_gets_no_field_that_it_does_not_know() -> None:
    """Guards against requests that are cut during an upgrade under load."""
    request = make_forwarded(5.0, tenant="museum")
    assert len(request.pack(5.0)) == len(request.pack(5.0, 1)) - 1
    assert send(request, 0) == attrs.evolve(request, tenant="")


def test_fields_of_a_later_version_are_ignored() -> None:
    request = make_forwarded(5.0)
    data = [*request.pack(5.0), {"tenant": "museum", "unknown": 7}, "later"]
    assert unpack_request(data, 5.0, 0.0) == attrs.evolve(request, tenant="museum")
    status = GateStatus(SERVICE, slots=6, running=2, accepts_work=True)
    assert unpack_status([*status.pack(), {"unknown": 7}, "later"]) == status


def test_fields_with_their_default_are_left_out() -> None:
    assert pack_optional(make_forwarded(5.0), ("tenant",)) == {}


def test_what_waits_at_which_priority_travels_with_a_status() -> None:
    status = GateStatus(SERVICE, slots=6, waiting=5, waiting_by_priority=(2, 0, 3))
    packed = msgpack.unpackb(msgpack.packb(status.pack(1)))
    assert unpack_status(packed) == status
    earlier = msgpack.unpackb(msgpack.packb(status.pack()))
    assert unpack_status(earlier) == attrs.evolve(status, waiting_by_priority=())


def test_what_a_request_stands_for_travels_with_it() -> None:
    assert send(make_forwarded(5.0, stands_for=2.5), 1).stands_for == 2.5
    assert send(make_forwarded(5.0, stands_for=2.5), 0).stands_for == 1.0


def test_lists_become_tuples() -> None:
    assert read_optional({"counts": [1, 2]}, ("counts",)) == {"counts": (1, 2)}


def test_other_data_than_a_map_are_refused_with_their_value() -> None:
    with pytest.raises(TypeError, match="not 7"):
        read_optional(7, ())
