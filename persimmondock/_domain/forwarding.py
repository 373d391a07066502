"""Requests that are forwarded to a gate, and the verdicts that it returns."""

from __future__ import annotations

from typing import Any

import attrs

from persimmondock._domain.crash_suspects import compute_fingerprint
from persimmondock._domain.optional_fields import pack_optional, read_optional
from persimmondock._domain.verdict import (
    Answer,
    Answered,
    Header,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
)

NO_KEY = -1
# What daemons of earlier versions are told in place of reasons that they do not know.
REASONS_OF_EARLIER_VERSIONS = {Reason.RETRY_BUDGET: Reason.OVERLOADED}


@attrs.frozen
class ForwardedRequest:
    """A request for a backend server of one service.

    Parameters
    ----------
    attempt
        Identifier of the caller's attempt, which the backend server returns in its answer.
    headers
        Header fields that are forwarded.
    key
        Number of the key, or ``NO_KEY``.
    caller_service
        Service of the caller's VM.
    deadline
        Instant after which the caller does not wait any longer.
    objective_at
        Instant at which the latency objective is missed.
    repeat
        Whether an earlier attempt of the same request may have reached a backend server.
    tenant
        Name of the tenant that sent the request, or empty if it belongs to none.
    stands_for
        Requests of its priority that callers made at its daemon for each one that is sent; more
        than 1 while the daemon refuses requests for lack of room.
    """

    attempt: str
    service: str
    route: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: int
    idempotent: bool
    priority: int
    caller_service: str
    deadline: float
    objective_at: float
    repeat: bool = False
    tenant: str = ""
    stands_for: float = 1.0

    @property
    def fingerprint(self) -> int:
        """Hash that is the same for all attempts of the request."""
        return compute_fingerprint(self.caller_service, self.method, self.target, self.body)

    def pack(self, now: float, version: int = 0) -> list[Any]:
        """Return data for msgpack, with remaining times for instants, since clocks differ.

        Parameters
        ----------
        version
            Version of the protocol that the receiver speaks.
        """
        data = [
            self.attempt,
            self.service,
            self.route,
            self.method,
            self.target,
            self.headers,
            self.body,
            self.key,
            self.idempotent,
            self.priority,
            self.caller_service,
            self.deadline - now,
            self.objective_at - now,
            self.repeat,
        ]
        return [*data, pack_optional(self, OPTIONAL_FIELDS)] if version else data


OPTIONAL_FIELDS = ("tenant", "stands_for")
# The last three are `deadline`, `objective_at` and `repeat`, which `unpack_request` handles
# separately.
PACKED_COUNT = len(attrs.fields(ForwardedRequest)) - len(OPTIONAL_FIELDS)
PACKED_FIELDS = tuple(field.name for field in attrs.fields(ForwardedRequest))[: PACKED_COUNT - 3]


def unpack_request(data: list[Any], received_at: float, age_s: float) -> ForwardedRequest:
    """Return the request of packed data that took ``age_s`` seconds longer than usual to arrive."""
    *fields, remaining_s, objective_remaining_s, repeat = data[:PACKED_COUNT]
    values: dict[str, Any] = dict(zip(PACKED_FIELDS, fields, strict=True))
    for optional in data[PACKED_COUNT : PACKED_COUNT + 1]:
        values.update(read_optional(optional, OPTIONAL_FIELDS))
    values["headers"] = tuple((name, value) for name, value in values["headers"])
    return ForwardedRequest(
        **values,
        deadline=received_at + remaining_s - age_s,
        objective_at=received_at + objective_remaining_s - age_s,
        repeat=repeat,
    )


def pack_verdict(verdict: Verdict) -> list[Any]:
    """Return a verdict as data for msgpack."""
    match verdict:
        case Answered(answer=answer):
            headers = [(h.name, h.value) for h in answer.headers]
            return [0, answer.status, headers, answer.body]
        case NotRun(reason=reason, retry_after_ms=retry_after_ms, arrived=arrived):
            known_reason = REASONS_OF_EARLIER_VERSIONS.get(reason, reason)
            return [1, known_reason.value, retry_after_ms, arrived, reason.value]
        case MayHaveRun(reason=reason):
            return [2, reason.value]


def unpack_verdict(data: list[Any]) -> Verdict:
    """Return the verdict of packed data."""
    kind, *rest = data
    if kind == 0:
        status, headers, body = rest
        return Answered(Answer(status, tuple(Header(n, v) for n, v in headers), body))
    if kind == 1:
        known_reason, retry_after_ms, *later = rest
        # Daemons of earlier versions do not tell more.
        arrived, reason = later or (known_reason == Reason.BACKEND_REFUSED, known_reason)
        return NotRun(Reason(reason), retry_after_ms, arrived)
    return MayHaveRun(Reason(rest[0]))
