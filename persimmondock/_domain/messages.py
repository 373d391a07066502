"""Messages between daemons."""

from __future__ import annotations

import operator
from typing import TypeAlias

import attrs

from persimmondock._domain.records import MemberRef
from persimmondock._domain.verdict import Header, Verdict


@attrs.frozen
class Renew:
    """A holder asks a witness for another term.

    Parameters
    ----------
    sequence
        Number of the request; the holder remembers when it sent it.
    applied
        Offset before which the holder has folded all records.
    """

    holder: MemberRef
    sequence: int
    applied: int


@attrs.frozen
class Granted:
    """A witness promises the holder a term.

    Parameters
    ----------
    applied
        Offset before which the witness has folded all records.
    """

    witness: MemberRef
    holder: MemberRef
    sequence: int
    applied: int


@attrs.frozen
class RenewalRefused:
    """A witness promises nothing; the holder has to read on.

    Parameters
    ----------
    applied
        Offset before which the witness has folded all records.
    voted
        Whether it has voted for the holder's loss and will never promise again.
    """

    witness: MemberRef
    holder: MemberRef
    applied: int
    voted: bool


@attrs.frozen
class Voted:
    """A witness will never renew a holder's lease again."""

    witness: MemberRef
    holder: MemberRef
    version: int


@attrs.frozen
class ReleaseAsked:
    """The new owner of slices asks an earlier owner to release them."""

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
        When the entry may be forgotten, in Unix milliseconds.
    """

    service: str
    slice: int
    request_id: str
    fingerprint: int
    verdict: Verdict
    expires_at_ms: int


@attrs.frozen
class Released:
    """An earlier owner no longer serves slices and has no work of theirs in flight."""

    member: MemberRef
    service: str
    slices: tuple[int, ...]
    lost_at: int
    kept: tuple[KeptAnswer, ...]


@attrs.frozen
class ReleaseReceived:
    """The new owner of slices has the release and the kept answers of an earlier owner."""

    asker: MemberRef
    service: str
    slices: tuple[int, ...]
    lost_at: int


@attrs.frozen
class SettlementAsked:
    """A member asks an earlier owner whether its handovers before an offset are over."""

    before: int


@attrs.frozen
class Settled:
    """The present owners have all that a member kept of slices it lost before an offset."""

    member: MemberRef
    before: int


@attrs.frozen
class RecordsAsked:
    """A daemon asks a peer for records that it lacks."""

    start: int


@attrs.frozen
class RecordsGiven:
    """Consecutive encoded records from an offset."""

    start: int
    payloads: tuple[bytes, ...]


@attrs.frozen
class AppendAsked:
    """A daemon asks a peer to append encoded records together with those of others."""

    payloads: tuple[bytes, ...]


@attrs.frozen
class ViewAsked:
    """A daemon that cannot read the log asks a peer for its view.

    Parameters
    ----------
    whole
        Whether the encoded view is wanted, or only its offset and digest.
    """

    whole: bool


@attrs.frozen
class ViewGiven:
    """A daemon's view.

    Parameters
    ----------
    body
        The encoded view, or empty.
    """

    failure_domain: str
    offset: int
    digest: str
    body: bytes


@attrs.frozen
class Call:
    """A caller's request on its way to a gate.

    Parameters
    ----------
    number
        Correlates the reply.
    backend
        Name of the backend server that the front chose, or of the slice's owner.
    slice
        Slice of the key or of the request identifier; -1 when any backend server may run it.
    request_id
        Caller's identifier of a non-idempotent request, or empty.
    issued_offset
        View offset known when the identifier was issued, or -1 when that is not known.
    deadline_ms
        Unix milliseconds after which nobody waits for the answer.
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
    """Return a call with another number; quicker than ``attrs.evolve``."""
    return Call(number, *_get_fields_after_number(call))


def replace_call_backend(call: Call, backend: str) -> Call:
    """Return a call for another backend server; quicker than ``attrs.evolve``."""
    return Call(call.number, call.service, backend, *_get_fields_after_backend(call))


@attrs.frozen
class Reply:
    """The outcome of a call."""

    number: int
    verdict: Verdict


@attrs.frozen
class Cancel:
    """The caller of a call has gone."""

    number: int


@attrs.frozen
class SuspectSeen:
    """A backend server died while it ran a request, or a suspect turned out harmless.

    Parameters
    ----------
    fingerprint
        Hash of method, path and body.
    kills
        Backend servers that died while they ran the request; 0 when it is no suspect any more.
    until_ms
        When the suspicion ends, in Unix milliseconds.
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
    """Bytes from a peer that are not a frame of known messages."""
