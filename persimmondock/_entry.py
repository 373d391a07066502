"""Entry point of the command line, which records signals before anything large is imported."""

from __future__ import annotations

import sys

from persimmondock._adapters.signals import SignalInbox

INBOX = SignalInbox(reloads=False)


def main() -> int:
    """Run the command line and return its exit code."""
    is_daemon = sys.argv[1:2] == ["daemon"]
    if is_daemon:
        INBOX.record()
    from persimmondock.cli import main as run_command

    code = run_command()
    if is_daemon:
        INBOX.ignore()
    return code
