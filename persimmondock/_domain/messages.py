"""Messages between daemons.

The names of classes and fields are part of the wire format. For messages that `codec` encodes as
arrays, the order of their fields is part of it instead.
"""

from __future__ import annotations

import operator
from typing import TypeAlias

import attrs

from persimmondock._domain.records import MemberRef
from persimmondock._domain.verdict import Header, Verdict


@attrs.frozen
class Renew:
    """A lease holder asks a witness for another term.

    Parameters
    ----------
    sequence
        Number of the request; the holder's lease term counts from when it sent this request.
    applied
        The holder has applied all log records before this offset.
    """

    holder: MemberRef
    sequence: int
    applied: int


@attrs.frozen
class Granted:
    """A witness grants the holder another lease term.

    Parameters
    ----------
    sequence
        Number of the request that is granted.
    applied
        The witness has applied all log records before this offset.
    """

    witness: MemberRef
    holder: MemberRef
    sequence: int
    applied: int


@attrs.frozen
class RenewalRefused:
    """A witness does not renew the lease.

    Parameters
    ----------
    applied
        The witness has applied all log records before this offset; a holder that is behind reads
        the log up to it.
    voted
        Whether the witness has voted for the holder's loss and will never renew its lease again.
    """

    witness: MemberRef
    holder: MemberRef
    applied: int
    voted: bool


@attrs.frozen
class Voted:
    """A witness has voted for a holder's loss and will never renew its lease again.

    Parameters
    ----------
    version
        Offset of the record that named the holder's witnesses; the vote counts only while they are
        its witnesses.
    """

    witness: MemberRef
    holder: MemberRef
    version: int


@attrs.frozen
class ReleaseAsked:
    """The new owner of slices asks an earlier owner to release them.

    Parameters
    ----------
    lost_at
        Offset of the record by which the earlier owner lost the slices.
    """

    asker: MemberRef
    service: str
    slices: tuple[int, ...]
    lost_at: int


@attrs.frozen
class KeptAnswer:
    """An entry of a request table, handed over with its slice.

    Parameters
    ----------
    expires_at_ms
        When the entry may be removed, in Unix milliseconds.
    """

    service: str
    slice: int
    request_id: str
    fingerprint: int
    verdict: Verdict
    expires_at_ms: int


@attrs.frozen
class Released:
    """An earlier owner no longer serves slices and has no requests of theirs in flight.

    Parameters
    ----------
    kept
        Outcomes of the slices' non-idempotent requests.
    """

    member: MemberRef
    service: str
    slices: tuple[int, ...]
    lost_at: int
    kept: tuple[KeptAnswer, ...]


@attrs.frozen
class ReleaseReceived:
    """The new owner of slices confirms a release and the entries that came with it."""

    asker: MemberRef
    service: str
    slices: tuple[int, ...]
    lost_at: int


@attrs.frozen
class SettlementAsked:
    """A member asks an earlier owner whether its handovers before an offset are complete."""

    before: int


@attrs.frozen
class Settled:
    """A member has handed over the slices lost before an offset, with their kept answers."""

    member: MemberRef
    before: int


@attrs.frozen
class RecordsAsked:
    """A daemon asks a peer for the log records from an offset on."""

    start: int


@attrs.frozen
class RecordsGiven:
    """Consecutive encoded log records from an offset on."""

    start: int
    payloads: tuple[bytes, ...]


@attrs.frozen
class AppendAsked:
    """A daemon asks a peer to append encoded records to the log, batched with those of others."""

    payloads: tuple[bytes, ...]


@attrs.frozen
class ViewAsked:
    """A daemon that cannot read the log asks a peer for the peer's view.

    Parameters
    ----------
    whole
        Whether to send the encoded view, or only its offset and digest.
    """

    whole: bool


@attrs.frozen
class ViewGiven:
    """A daemon's view, or its offset and digest only.

    Parameters
    ----------
    body
        The encoded view, or empty if it was not asked for.
    """

    failure_domain: str
    offset: int
    digest: str
    body: bytes


@attrs.frozen
class Call:
    """A caller's request, forwarded to the gate of a backend server.

    Parameters
    ----------
    number
        Correlation number; the reply has the same one.
    backend
        Name of the chosen backend server; for a request with a slice, its owner.
    slice
        Slice of the key or of the request identifier; -1 when any backend server may run it.
    request_id
        Caller's identifier of a non-idempotent request, or empty.
    issued_offset
        View offset at which the identifier was issued, or -1 if unknown.
    deadline_ms
        Unix milliseconds after which the caller no longer waits for the answer.
    """

    number: int
    service: str
    backend: str
    slice: int
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    request_id: str
    issued_offset: int
    idempotent: bool
    may_wait: bool
    deadline_ms: int


_get_fields_after_number = operator.attrgetter(*(field.name for field in attrs.fields(Call)[1:]))
_get_fields_after_backend = operator.attrgetter(*(field.name for field in attrs.fields(Call)[3:]))


def replace_call_number(call: Call, number: int) -> Call:
    """Return a call with another number; faster than ``attrs.evolve``."""
    return Call(number, *_get_fields_after_number(call))


def replace_call_backend(call: Call, backend: str) -> Call:
    """Return a call to another backend server; faster than ``attrs.evolve``."""
    return Call(call.number, call.service, backend, *_get_fields_after_backend(call))


@attrs.frozen
class Reply:
    """The outcome of a call."""

    number: int
    verdict: Verdict


@attrs.frozen
class Cancel:
    """The caller of a call has disconnected."""

    number: int


@attrs.frozen
class SuspectSeen:
    """A backend server crashed while it ran a request, or a suspect proved harmless.

    Parameters
    ----------
    fingerprint
        Hash of method, path and body.
    kills
        Crashes counted against the request; from the second on, only those while it ran alone.
        0 clears the suspicion.
    until_ms
        When the suspicion expires, in Unix milliseconds.
    """

    service: str
    fingerprint: int
    kills: int
    until_ms: int


Message: TypeAlias = (
    Renew
    | Granted
    | RenewalRefused
    | Voted
    | ReleaseAsked
    | Released
    | ReleaseReceived
    | SettlementAsked
    | Settled
    | RecordsAsked
    | RecordsGiven
    | AppendAsked
    | ViewAsked
    | ViewGiven
    | SuspectSeen
    | Call
    | Reply
    | Cancel
)


class FrameError(ValueError):
    """Bytes from a peer that are not a valid frame of known messages."""
