"""Stand-ins for the log service, a site's store and backend servers; the fleet and the demo."""

from __future__ import annotations
