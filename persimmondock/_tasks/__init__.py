"""The daemon's tasks; each owns its sockets and its state."""

from __future__ import annotations
