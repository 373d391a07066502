"""Look-up of routes by host and longest path prefix."""

from __future__ import annotations

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmondock._domain.routing_table import RoutePolicy, RoutingTable
from persimmondock.tests.sites import make_route, make_table

SEGMENTS = st.lists(st.sampled_from(["a", "b", "ab", ""]), max_size=4)
PREFIXES = SEGMENTS.map(lambda parts: "/" + "".join(f"{part}/" for part in parts))
PATHS = SEGMENTS.map(lambda parts: "/" + "/".join(parts))


def make_prefix_table(*prefixes: str) -> RoutingTable:
    return make_table(*(make_route(name=prefix, path_prefix=prefix) for prefix in prefixes))


def find_name(table: RoutingTable, path: str, host: str = "board.example") -> str | None:
    route = table.find_route(host, path)
    return route.name if route is not None else None


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/view/x", "/view/"),
        ("/view/deep/x/y", "/view/deep/"),
        ("/view/deep", "/view/"),
        ("/view/", "/view/"),
        ("/view", None),
        ("/viewer/x", None),
        ("", None),
        ("view/x", None),
    ],
)
def test_the_longest_prefix_wins(path: str, name: str | None) -> None:
    assert find_name(make_prefix_table("/view/", "/view/deep/"), path) == name


def test_an_unknown_host_has_no_route() -> None:
    assert find_name(make_prefix_table("/"), "/a", "other.example") is None


def test_the_first_route_with_a_prefix_counts() -> None:
    route = make_route(name="first", path_prefix="/a/")
    assert find_name(make_table(route, attrs.evolve(route, name="second")), "/a/b") == "first"


@given(prefixes=st.lists(PREFIXES, unique=True, max_size=8), path=PATHS)
def test_the_look_up_agrees_with_a_scan_of_all_routes(prefixes: list[str], path: str) -> None:
    matching = [prefix for prefix in prefixes if path.startswith(prefix)]
    assert find_name(make_prefix_table(*prefixes), path) == max(matching, key=len, default=None)


def test_the_steps_of_a_look_up_do_not_grow_with_the_routes() -> None:
    """Operators add routes with each member firm."""

    class CountingPath(str):
        steps = 0

        def startswith(self, *arguments: object) -> bool:  # type: ignore[override]
            CountingPath.steps += 1
            return super().startswith(*arguments)  # type: ignore[arg-type]

        def rfind(self, *arguments: object) -> int:  # type: ignore[override]
            CountingPath.steps += 1
            return super().rfind(*arguments)  # type: ignore[arg-type]

    routes: list[RoutePolicy] = [
        make_route(name=f"r{number}", path_prefix=f"/r{number}/") for number in range(1000)
    ]
    assert make_table(*routes).find_route("board.example", CountingPath("/r999/x/y")) is routes[-1]
    assert CountingPath.steps <= 5
