"""Who held a key, and under which fencing tokens, from collected log lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from persimmondock._domain.request_trace import covers_key

if TYPE_CHECKING:
    from collections.abc import Iterable

    from persimmondock._domain.request_trace import LogLine


@attrs.define
class KeyHold:
    """Time in which a backend server held a key under one fencing token.

    Parameters
    ----------
    daemon
        Daemon beside the backend server.
    instance
        Name of the backend server, or empty if the lines do not tell.
    since, until
        Timestamps as written in the lines; ``until`` is empty while no line shows the end.
    started_at
        The first of them in seconds since the epoch, by the daemon's clock.
    ended_by
        Event that shows the end, or empty.
    is_token_reused
        Whether an earlier hold of another backend server has the same token or a higher one.
    """

    daemon: str
    instance: str
    first: int
    last: int
    fence: int
    since: str
    started_at: float
    until: str = ""
    ended_by: str = ""
    is_token_reused: bool = False


def list_holds(lines: Iterable[LogLine], key: int) -> list[KeyHold]:
    """Return the holds of a key in the order of their start.

    Lines of different daemons are ordered by their timestamps, although the clocks of VMs may
    differ. Renewals are not shown: a hold that lapsed and was renewed counts as one.
    """
    holds: list[KeyHold] = []
    for line in sorted(lines, key=lambda line: line.at):
        if not covers_key(line, str(key)):
            continue
        if line.event == "range_taken":
            holds.append(_start_hold(line, holds))
        elif _shows_end(line):
            _end_holds(holds, line)
    return holds


def _start_hold(line: LogLine, earlier: list[KeyHold]) -> KeyHold:
    fence = int(line.fields["fence"])
    instance = line.fields.get("instance", "")
    return KeyHold(
        line.daemon,
        instance,
        int(line.fields["first"]),
        int(line.fields["last"]),
        fence,
        line.time,
        line.at,
        is_token_reused=any(
            hold.fence >= fence and (hold.daemon, hold.instance) != (line.daemon, instance)
            for hold in earlier
        ),
    )


def _shows_end(line: LogLine) -> bool:
    """Return whether a daemon holds keys no more, or knows no more of what it held."""
    is_new_process = line.event == "backend_changed" and line.fields.get("change") == "new_life"
    return is_new_process or line.event in ("range_released", "daemon_started")


def _end_holds(holds: list[KeyHold], line: LogLine) -> None:
    """End the holds that a line shows to be over."""
    fence = line.fields.get("fence")
    for hold in holds:
        if hold.daemon == line.daemon and not hold.until and fence in (None, str(hold.fence)):
            hold.until, hold.ended_by = line.time, line.event
