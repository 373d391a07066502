"""Publication of configuration changes to the log, with confirmation of their outcome."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, TypeAlias

import attrs

from persimmondock._domain.configuration import FLEET_SUBJECT, render_subject
from persimmondock._domain.records import (
    ConfigurationPublished,
    SubjectChange,
    encode_record,
    make_record_id,
)
from persimmondock._domain.view import NEWER_VERSION, Accepted, Rejection, View, fold
from persimmondock._ports.log import AppendRefused, Batch, Expired, ReadFailed
from persimmondock._tasks.recovery import (
    READ_LIMIT_RECORDS,
    ViewFound,
    decode_entries,
    search_snapshot,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._domain.configuration import FleetConfiguration
    from persimmondock._ports.log import LogService
    from persimmondock.configuration import Configuration

RETRY_S = 0.25


@attrs.frozen
class Unchanged:
    """The log already has the configuration; nothing was published."""


@attrs.frozen
class Unresolved:
    """It is not known whether the change was accepted."""

    detail: str


PublishOutcome: TypeAlias = Accepted | Rejection | Unchanged | Unresolved


async def read_view(log: LogService, view: View, deadline: float) -> View | Unresolved:
    """Apply the records of the log up to its end to a view.

    Parameters
    ----------
    deadline
        In monotonic seconds.
    """
    problem = "the log does not answer"
    while time.monotonic() < deadline:
        match await log.read(view.offset, READ_LIMIT_RECORDS, 0.0):
            case Batch(entries=entries, following=following, end=end):
                for offset, record in decode_entries(entries):
                    view = fold(view, offset, record)
                if following >= end:
                    return view
            case Expired(earliest=earliest):
                problem = f"the log keeps records from offset {earliest} and no snapshot"
                found = await search_snapshot(log)
                if isinstance(found, ViewFound):
                    view = found.view
                else:
                    await asyncio.sleep(RETRY_S)
            case ReadFailed():
                await asyncio.sleep(RETRY_S)
    return Unresolved(problem)


def list_changes(view: View, configuration: Configuration) -> tuple[SubjectChange, ...]:
    """Return the changes from the configuration of a view to a given one."""
    wanted = configuration.list_subjects()
    changes = []
    for subject, body in sorted(wanted.items()):
        current = view.subjects.get(subject)
        if current is None or current.body != body:
            base = -1 if current is None else current.offset
            changes.append(SubjectChange(subject, base, body))
    for subject, version in sorted(view.subjects.items()):
        if subject not in wanted and version.body:
            changes.append(SubjectChange(subject, version.offset, None))
    return tuple(changes)


async def publish(
    log: LogService, configuration: Configuration, author: str, timeout_s: float
) -> PublishOutcome:
    """Publish a configuration and wait until it has been accepted or rejected."""
    deadline = time.monotonic() + timeout_s
    view = await read_view(log, View(), deadline)
    if isinstance(view, Unresolved):
        return view
    return await publish_changes(log, view, list_changes(view, configuration), author, deadline)


async def publish_changes(
    log: LogService,
    view: View,
    changes: tuple[SubjectChange, ...],
    author: str,
    deadline: float,
) -> PublishOutcome:
    """Publish changes based on a view and wait until they have been accepted or rejected.

    The same record is appended again while its outcome is unknown. Applying it twice has no further
    effect, and the view stores the outcome under the identifier of the record.
    """
    if not changes:
        return Unchanged()
    record = ConfigurationPublished(make_record_id(), author, changes)
    while time.monotonic() < deadline:
        outcome = await log.append([encode_record(record)])
        read = await read_view(log, view, deadline)
        if isinstance(read, View):
            view = read
            verdict = view.publications.get(record.record_id)
            if verdict is not None:
                return verdict
        if isinstance(outcome, AppendRefused):
            await asyncio.sleep(RETRY_S)
    return Unresolved("the log does not answer")


async def edit_fleet(
    log: LogService,
    view: View,
    edit: Callable[[FleetConfiguration], FleetConfiguration],
    author: str,
    deadline: float,
) -> PublishOutcome:
    """Edit the fleet configuration; after a conflict, repeat the edit on the newer version.

    Raises
    ------
    ConfigurationError
        If the edit does not apply to the current version.
    """
    while True:
        current = view.subjects.get(FLEET_SUBJECT)
        base = -1 if current is None else current.offset
        wanted = edit(view.fleet)
        if wanted == view.fleet and current is not None:
            return Unchanged()
        change = SubjectChange(FLEET_SUBJECT, base, render_subject(wanted))
        outcome = await publish_changes(log, view, (change,), author, deadline)
        if not isinstance(outcome, Rejection) or outcome.reason != NEWER_VERSION:
            return outcome
        read = await read_view(log, view, deadline)
        if isinstance(read, Unresolved):
            return read
        view = read
