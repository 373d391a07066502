#!/bin/sh
# The stand-ins are plain Python without dependencies; this only checks that they compile.
cd "$(dirname "$0")" && python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PY
