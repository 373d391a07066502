"""Log records and their encoding.

Each record has an identifier chosen by its writer, so that a writer whose append had an unknown
outcome can find the record by reading, and so that a record appended twice is folded once.
"""

from __future__ import annotations

import uuid
from typing import Any, TypeAlias

import attrs
import msgpack
from cattrs.preconf.msgpack import make_converter
from cattrs.strategies import configure_tagged_union

MAX_TEXT_CHARACTERS = 255
MAX_BACKEND_CAPACITY = 100_000


@attrs.frozen
class MemberRef:
    """One incarnation of one daemon.

    Parameters
    ----------
    daemon
        Name of the daemon, from its settings.
    incarnation
        Offset of the record by which this incarnation joined.
    """

    daemon: str
    incarnation: int


def _check_text(_: Any, attribute: attrs.Attribute[str], value: str) -> None:
    if not 0 < len(value) <= MAX_TEXT_CHARACTERS or not value.isprintable():
        bound = f"1 to {MAX_TEXT_CHARACTERS} printable characters"
        raise ValueError(f"{attribute.name} must be {bound}, not {value!r}")


def _check_count(_: Any, attribute: attrs.Attribute[int], value: int) -> None:
    if not 1 <= value <= MAX_BACKEND_CAPACITY:
        raise ValueError(f"{attribute.name} must be from 1 to {MAX_BACKEND_CAPACITY}, not {value}")


@attrs.frozen
class Backend:
    """A backend server as its daemon announces it.

    Parameters
    ----------
    name
        Name of the backend server, unique in the fleet.
    service
        Service that it belongs to.
    address
        ``host:port`` of its HTTP listener.
    slots
        Requests that it runs at the same time.
    connections
        Connections that it accepts at the same time.
    checks_tokens
        Whether it refuses requests that carry an outdated fencing token.

    Raises
    ------
    ValueError
        If a text is empty, too long or not printable, or a count is out of range.
    """

    name: str = attrs.field(validator=_check_text)
    service: str = attrs.field(validator=_check_text)
    address: str = attrs.field(validator=_check_text)
    slots: int = attrs.field(validator=_check_count)
    connections: int = attrs.field(validator=_check_count)
    checks_tokens: bool


@attrs.frozen
class MemberJoined:
    """A daemon joins; the record's offset becomes its incarnation.

    Parameters
    ----------
    witnesses
        Members of which a majority must renew its lease.
    successor
        Member designated to take over from it when the log cannot record its loss, or None.
    replaces
        Earlier incarnation of this daemon, without witnesses, whose last lease term has ended.
    """

    record_id: str
    daemon: str
    failure_domain: str
    peer_address: str
    data_address: str
    caller_address: str
    operator_address: str
    witnesses: tuple[MemberRef, ...]
    successor: MemberRef | None
    replaces: MemberRef | None = None


@attrs.frozen
class WitnessesChanged:
    """A member replaces the witnesses of its lease and its successor.

    Only the member itself writes this record.

    Parameters
    ----------
    version
        Offset of the record that named the witnesses being replaced.
    """

    record_id: str
    member: MemberRef
    version: int
    witnesses: tuple[MemberRef, ...]
    successor: MemberRef | None


@attrs.frozen
class MemberLeaving:
    """A member asks for its slices to be moved to other members."""

    record_id: str
    member: MemberRef


@attrs.frozen
class MemberLeft:
    """A member has finished all its work and has left.

    Parameters
    ----------
    applied
        Offset of the member's view when the owners of its former slices had received its kept
        answers, or -1 if it left without waiting for that.
    """

    record_id: str
    member: MemberRef
    applied: int


@attrs.frozen
class MemberLost:
    """A majority of a member's witnesses voted for its loss and will never renew its lease.

    Parameters
    ----------
    version
        Offset of the record that named the witnesses that voted.
    voters
        Witnesses that voted, at least a majority.
    """

    record_id: str
    member: MemberRef
    version: int
    voters: tuple[MemberRef, ...]


@attrs.frozen
class BackendAnnounced:
    """A member starts to serve through a backend server."""

    record_id: str
    member: MemberRef
    backend: Backend


@attrs.frozen
class BackendWithdrawn:
    """A member no longer serves through a backend server."""

    record_id: str
    member: MemberRef
    backend: str


@attrs.frozen
class SubjectChange:
    """A change of one subject of the configuration.

    Parameters
    ----------
    subject
        ``service/NAME`` or ``fleet``.
    base
        Offset of the version that the change was based on, or -1 when there was none.
    body
        The new version as YAML, or None to remove the subject.
    """

    subject: str
    base: int
    body: str | None


@attrs.frozen
class ConfigurationPublished:
    """An operator's change; accepted as a whole or not at all."""

    record_id: str
    author: str
    changes: tuple[SubjectChange, ...]


@attrs.frozen
class HandoversSettled:
    """The handovers of all slices whose owner has not changed since an offset are complete.

    Parameters
    ----------
    before
        Offset before which the present owners received the slices.
    """

    record_id: str
    before: int


@attrs.frozen
class SnapshotTaken:
    """The encoded view of all records before an offset, or one part of it.

    Parameters
    ----------
    covers
        Offset of the view.
    digest
        Digest of the whole encoded view.
    part, parts
        Number of this part and how many there are.
    """

    record_id: str
    covers: int
    digest: str
    body: bytes
    part: int = 0
    parts: int = 1


@attrs.frozen
class UnreadableRecord:
    """A record of a kind that this version does not know; it changes nothing."""

    record_id: str = ""


Record: TypeAlias = (
    MemberJoined
    | WitnessesChanged
    | MemberLeaving
    | MemberLeft
    | MemberLost
    | BackendAnnounced
    | BackendWithdrawn
    | ConfigurationPublished
    | HandoversSettled
    | SnapshotTaken
    | UnreadableRecord
)


class RecordError(ValueError):
    """A record of the log that cannot be decoded."""


_converter = make_converter()
configure_tagged_union(Record, _converter, tag_name="kind")


def make_record_id() -> str:
    """Return a new record identifier."""
    return uuid.uuid4().hex


def encode_record(record: Record) -> bytes:
    """Encode a record for the log."""
    data: dict[str, Any] = _converter.unstructure(record, unstructure_as=Record)
    return msgpack.packb(data)


def decode_record(data: bytes) -> Record:
    """Decode a record of the log.

    Raises
    ------
    RecordError
        If the bytes are not a record of a known kind.
    """
    try:
        return _converter.structure(msgpack.unpackb(data), Record)  # type: ignore[arg-type]
    except Exception as error:
        raise RecordError(f"cannot decode a record of {len(data)} bytes: {error}") from error
