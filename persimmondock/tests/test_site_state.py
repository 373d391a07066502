"""Operators' settings in force, from records as they are read."""

from __future__ import annotations

import json
from typing import Any

import pytest

from persimmondock._domain.replica import KeyedEntry
from persimmondock._tasks.site_state import SiteState
from persimmondock.platform import _operator
from persimmondock.tests.live_site import make_config


@pytest.fixture
def state() -> SiteState:
    return SiteState(
        _operator.CONFIG_KEY,
        _operator.decode_configuration,
        _operator.find_evacuated,
        lambda: None,
    )


def make_entry(offset: int, config: dict[str, Any]) -> KeyedEntry:
    return KeyedEntry(offset, _operator.CONFIG_KEY, json.dumps(config).encode())


def test_an_unreadable_service_keeps_its_former_policy(state: SiteState) -> None:
    """A keyed service whose policy is misread would have no owners of keys."""
    state.update([make_entry(1, make_config(1))])
    config = make_config(2)
    config["services"][0]["warmup_s"] = "soon"
    state.update([make_entry(2, config)])
    assert state.table is not None and state.table.version == 2
    assert state.is_keyed("painel")
    config["version"] = 3
    state.update([make_entry(3, config)])
    assert state.is_keyed("painel")


def test_an_unreadable_body_keeps_the_former_version(state: SiteState) -> None:
    state.update([make_entry(1, make_config(4))])
    state.update([KeyedEntry(2, _operator.CONFIG_KEY, b"")])
    assert state.table is not None and state.table.version == 4


def test_a_version_is_never_replaced_by_an_older_one(state: SiteState) -> None:
    state.update([make_entry(3, make_config(9)), make_entry(4, make_config(7))])
    assert state.table is not None and state.table.version == 9


def test_a_route_that_is_removed_and_added_again_is_found(state: SiteState) -> None:
    """Guards against a route that stays away since its name or prefix was known before."""
    with_route, without = make_config(1), make_config(2)
    without["virtual_hosts"][0]["paths"].pop()
    state.update([make_entry(1, with_route)])
    state.update([make_entry(2, without)])
    assert state.table is not None
    assert state.table.find_route("board.example", "/assign/x") is None
    state.update([make_entry(3, with_route | {"version": 3})])
    route = state.table.find_route("board.example", "/assign/x")
    assert route is not None and state.choose_service(route) == "recepcao"
