"""Exit codes of all commands."""

from __future__ import annotations

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_INPUT = 2
EXIT_UNUSABLE = 3
