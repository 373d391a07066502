"""Small stand-ins for the log service and the backend servers."""

from __future__ import annotations
