"""A load and measuring tool on a fleet of real daemons and stand-ins on loopback."""

from __future__ import annotations
