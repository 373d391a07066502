"""What a daemon imports before it serves anyone.

Load: all daemons of a site start at once, each on a part of a core, and imports are most of what a
start takes.
"""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from persimmondock.platform._settings import load_node_settings
from persimmondock.standins.site_messages import build_settings

ROOT = Path(__file__).parents[3]
LIST_MODULES = "import sys, persimmondock.platform.__main__; print(*sys.modules)"


@pytest.mark.parametrize(
    "module", ["yaml", "prometheus_client", "aiohttp", "pynng", "numpy", "reactivex", "cattrs"]
)
def test_a_start_does_not_import(module: str) -> None:
    result = subprocess.run(
        [sys.executable, "-c", LIST_MODULES], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert "persimmondock.platform._daemon" in result.stdout.split()
    assert module not in result.stdout.split()


def test_settings_in_json_and_in_yaml_are_the_same(tmp_path: Path) -> None:
    settings = build_settings("vm-1", "10.0.0.1", "recife", "painel")
    as_json, as_yaml = tmp_path / "a.json", tmp_path / "b.yaml"
    as_json.write_text(json.dumps(settings))
    as_yaml.write_text(f"# comment\n{json.dumps(settings, indent=2)}")
    assert load_node_settings(as_json) == load_node_settings(as_yaml)
