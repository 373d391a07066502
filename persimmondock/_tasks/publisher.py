"""Publishing a configuration to the log, and learning whether it was accepted."""

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
from persimmondock._tasks.recovery import READ_LIMIT, ViewFound, decode_entries, search_snapshot

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmondock._domain.configuration import FleetConfiguration
    from persimmondock._ports.log import LogService
    from persimmondock.configuration import Configuration

RETRY_S = 0.25


@attrs.frozen
class Unchanged:
    """Everything is in force already."""


@attrs.frozen
class Unresolved:
    """Whether the change is in force is not known."""

    detail: str


PublishOutcome: TypeAlias = Accepted | Rejection | Unchanged | Unresolved


async def read_view(log: LogService, view: View, deadline: float) -> View | Unresolved:
    """Fold the log up to its end; ``deadline`` is monotonic."""
    problem = "the log does not answer"
    while time.monotonic() < deadline:
        match await log.read(view.offset, READ_LIMIT, 0.0):
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
    """Return the changes that bring a configuration into force."""
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
    """Publish a configuration and wait until the log has decided."""
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
    """Publish changes based on a view and wait until the log has decided.

    The same record is appended again while its outcome is not known; folding it twice changes
    nothing, and the view tells by the record's identifier whether it was accepted.
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
    """Change the fleet's configuration; an edit that lost a race is made again on the winner.

    Raises
    ------
    ConfigurationError
        If the edit does not apply to the version in force.
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
