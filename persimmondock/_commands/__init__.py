"""The commands of the command line, one module for each group."""

from __future__ import annotations
