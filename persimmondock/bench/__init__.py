"""Load tests and measurements of a fleet of real daemons and stand-ins on loopback."""

from __future__ import annotations
