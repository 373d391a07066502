"""Runs the command line with ``python -m persimmondock``."""

from __future__ import annotations

from persimmondock._entry import main

if __name__ == "__main__":
    raise SystemExit(main())
