"""The commands that explain requests and the owners of keys from collected log files."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path

from cleo.helpers import argument

from persimmondock._commands.base import BaseCommand, CommandError
from persimmondock._commands.exit_codes import EXIT_FAILED, EXIT_SUCCESS
from persimmondock._domain.assignment import KEY_COUNT
from persimmondock._domain.key_history import KeyHold, list_holds
from persimmondock._domain.request_trace import LogLine, RequestTrace, parse_line, trace_request


class TraceCommand(BaseCommand):
    """Explains the outcome of one request."""

    name = "trace"
    description = (
        "Show a request's path across daemons and the cause of its outcome, from log files"
    )
    help = (
        "The name of a file is taken as the daemon that wrote its lines, unless a daemon's name "
        "precedes a line. "
        "Exit code 1 if no line names the attempt."
    )
    arguments = [
        argument("attempt", "Identifier of the attempt"),
        argument("files", "Log files of all daemons", multiple=True),
    ]

    def perform(self) -> int:
        """Read the files and show the lines that concern the attempt."""
        trace = trace_request(read_lines(self.argument("files")), self.argument("attempt"))
        for line in render_trace(self.argument("attempt"), trace):
            self.show(line)
        return EXIT_SUCCESS if trace.attempt_lines else EXIT_FAILED


class KeyHistoryCommand(BaseCommand):
    """Shows who held a key, and under which fencing tokens."""

    name = "key-history"
    description = "Show which backend servers held a key, and when, from log files"
    help = (
        "The name of a file is taken as the daemon that wrote its lines, unless a daemon's name "
        "precedes a line. "
        "Exit code 1 if no line tells of the key, or if a fencing token was not above an earlier "
        "one of another backend server."
    )
    arguments = [
        argument("key", "The key"),
        argument("files", "Log files of all daemons", multiple=True),
    ]

    def perform(self) -> int:
        """Read the files and show the holds of the key."""
        text = self.argument("key")
        if not text.isdecimal() or int(text) >= KEY_COUNT:
            raise CommandError(f"key: {text!r} is not a number from 0 to {KEY_COUNT - 1}")
        holds = list_holds(read_lines(self.argument("files")), int(text))
        for line in render_holds(int(text), holds):
            self.show(line)
        is_sound = bool(holds) and not any(hold.is_token_reused for hold in holds)
        return EXIT_SUCCESS if is_sound else EXIT_FAILED


def read_lines(names: Iterable[str]) -> Iterator[LogLine]:
    """Return the lines of log files that daemons wrote.

    Raises
    ------
    CommandError
        If a file cannot be read; the message names it.
    """
    for name in names:
        path = Path(name)
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                for text in file:
                    line = parse_line(text, path.stem)
                    if line is not None:
                        yield line
        except OSError as error:
            raise CommandError(f"{name}: {error.strerror}") from error


def render_holds(key: int, holds: list[KeyHold]) -> list[str]:
    """Return lines that show who held a key."""
    if not holds:
        return [f"no line tells who held key {key}"]
    return [f"key {key}", *map(_format_hold, holds)]


def _format_hold(hold: KeyHold) -> str:
    until = f"{hold.until} ({hold.ended_by})" if hold.until else "the last line"
    suffix = " TOKEN NOT ABOVE AN EARLIER ONE" if hold.is_token_reused else ""
    return (
        f"  {hold.since} to {until}: {hold.instance or '-'} at {hold.daemon}, token {hold.fence}, "
        f"keys {hold.first} to {hold.last}{suffix}"
    )


def render_trace(attempt: str, trace: RequestTrace) -> list[str]:
    """Return lines that explain the outcome of a request."""
    lines = []
    if trace.attempt_lines:
        lines += [
            f"attempt {attempt}",
            *map(_format_line, trace.attempt_lines),
            "",
            "what may have caused it",
        ]
        if trace.omitted_count:
            lines.append(f"  {trace.omitted_count} earlier lines left out")
        lines += [_format_line(line) for line in trace.context_lines] or [
            "  nothing in the lines given"
        ]
    else:
        lines.append(f"no line names attempt {attempt}: it was answered, or its lines were dropped")
    if trace.dropped_counts:
        counts = ", ".join(
            f"{count} of {name}" for name, count in sorted(trace.dropped_counts.items())
        )
        lines += ["", f"lines that daemons left out in that time: {counts}"]
    return lines


def _format_line(line: LogLine) -> str:
    return f"  {line.time} {line.daemon} {line.text}"
