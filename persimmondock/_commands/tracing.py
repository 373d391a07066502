"""The command that explains a request from collected log files."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

from cleo.helpers import argument

from persimmondock._commands.base import BaseCommand, CommandError
from persimmondock._commands.exit_codes import EXIT_FAILED, EXIT_SUCCESS
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
        trace = trace_request(self._read_lines(), self.argument("attempt"))
        for line in render_trace(self.argument("attempt"), trace):
            self.show(line)
        return EXIT_SUCCESS if trace.attempt_lines else EXIT_FAILED

    def _read_lines(self) -> Iterator[LogLine]:
        for name in self.argument("files"):
            path = Path(name)
            try:
                with path.open(encoding="utf-8", errors="replace") as file:
                    for text in file:
                        line = parse_line(text, path.stem)
                        if line is not None:
                            yield line
            except OSError as error:
                raise CommandError(f"{name}: {error.strerror}") from error


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
