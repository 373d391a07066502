"""Checks of the invariants against the backend servers' journals."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from persimmondock.standins.fleet import JournalRun


@attrs.frozen
class Overlap:
    """Two runs of one slice that overlap in time on two backend servers."""

    first: JournalRun
    second: JournalRun


def find_repeated_runs(runs: Iterable[JournalRun]) -> dict[str, int]:
    """Return the identifiers of requests that ran more than once, with their number of runs."""
    counts = Counter(run.request_id for run in runs if run.request_id)
    return {request_id: count for request_id, count in counts.items() if count > 1}


def find_false_refusals(runs: Iterable[JournalRun], not_run: set[str]) -> set[str]:
    """Return the identifiers of requests that were refused as not run but had run."""
    return not_run & {run.request_id for run in runs if run.request_id}


def find_overlaps(runs: Iterable[JournalRun], service_of: dict[str, str]) -> list[Overlap]:
    """Return runs of one slice that overlap in time on two backend servers.

    Parameters
    ----------
    service_of
        Service of each backend server, by name.
    """
    by_slice: dict[tuple[str, int], list[JournalRun]] = defaultdict(list)
    for run in runs:
        if run.slice >= 0:
            by_slice[(service_of[run.backend], run.slice)].append(run)
    overlaps = []
    for group in by_slice.values():
        group.sort(key=lambda run: run.started_at)
        latest: dict[str, JournalRun] = {}
        for run in group:
            for backend, other in latest.items():
                if backend != run.backend and other.ended_at > run.started_at:
                    overlaps.append(Overlap(other, run))
            previous = latest.get(run.backend)
            if previous is None or previous.ended_at < run.ended_at:
                latest[run.backend] = run
    return overlaps
