"""Time and memory of configurations with many routes."""

from __future__ import annotations

import json
import time
import tracemalloc
from typing import Any

from persimmondock.platform import _operator

ROUTE_COUNTS = (100, 1_000, 10_000)
HOSTS = 20
LOOK_UPS = 20_000


def make_configuration(routes: int) -> bytes:
    """Return a configuration as operators write it."""
    paths: list[list[dict[str, Any]]] = [[] for _ in range(HOSTS)]
    for number in range(routes):
        paths[number % HOSTS].append(
            {
                "name": f"r-{number:06d}",
                "path_prefix": f"/member{number:06d}/",
                "route_type": "safe",
                "timeout_s": 2.0,
                "target_latency_s": 0.8,
                "priority": 1,
                "service": "painel",
                "max_attempts": 2,
            }
        )
    hosts = [{"host": f"h{number}.example", "paths": item} for number, item in enumerate(paths)]
    return json.dumps({"version": 1, "services": [], "virtual_hosts": hosts}).encode()


class RoutesSuite:
    """Decoding of a configuration, and look-up of the route of a request."""

    params = ROUTE_COUNTS

    def setup(self, routes: int) -> None:
        """Build the configuration."""
        self.data = make_configuration(routes)
        self.table = _operator.decode_configuration(self.data)
        self.targets = [
            (f"h{number % HOSTS}.example", f"/member{number:06d}/a/b")
            for number in range(0, routes, max(1, routes // 100))
        ]

    def time_decode(self, routes: int) -> None:
        """Decode the configuration."""
        _operator.decode_configuration(self.data)

    def time_look_up(self, routes: int) -> None:
        """Look up ``LOOK_UPS`` routes."""
        for number in range(LOOK_UPS):
            assert self.table.find_route(*self.targets[number % len(self.targets)]) is not None

    def track_table_bytes(self, routes: int) -> int:
        """Return the memory that a decoded configuration takes, in bytes."""
        tracemalloc.start()
        table = _operator.decode_configuration(self.data)
        used = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        assert table.version == 1
        return used


if __name__ == "__main__":
    for count in ROUTE_COUNTS:
        suite = RoutesSuite()
        suite.setup(count)
        started_at = time.perf_counter()
        suite.time_decode(count)
        decoded_at = time.perf_counter()
        suite.time_look_up(count)
        print(
            f"routes={count} bytes={len(suite.data)} "
            f"decode_ms={1e3 * (decoded_at - started_at):.1f} "
            f"look_up_us={1e6 * (time.perf_counter() - decoded_at) / LOOK_UPS:.2f} "
            f"table_kb={suite.track_table_bytes(count) / 1024:.0f}"
        )
