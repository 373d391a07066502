"""Exit codes of all commands; ``persimmondock.cli`` describes them."""

from __future__ import annotations

EXIT_SUCCESS = 0
EXIT_FAILED = 1
EXIT_INVALID_INPUT = 2
EXIT_UNAVAILABLE = 3
