#!/bin/sh
# Builds what the scripts of the third review start beside the daemon: stand-ins in Python that need the
# standard library only, so they are compiled as a check. The daemon comes from the build of deploy/system.toml.
cd "$(dirname "$0")" || exit 1
exec python3 -c '
import pathlib, sys
for path in [pathlib.Path("standins_3.py"), *(pathlib.Path(str(n)) / "case.py" for n in range(11, 16))]:
    compile(path.read_text("utf-8"), str(path), "exec")
sys.exit(0 if sys.version_info >= (3, 11) else "Python 3.11 or newer is needed")
'
