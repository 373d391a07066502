"""Installs the packages that the daemon needs, unless they are installed already.

They are installed into a folder beside the one in use, which takes its place only when it is whole:
an installation that is cut off or fails changes nothing. The folder has a stamp that names the
requirements, the Python and kind of machine it was made for, and what is in it.
"""

from __future__ import annotations

import argparse
import fcntl
import hashlib
import os
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

ROOT = Path(__file__).resolve().parents[1]
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
FOLDER = ROOT / "target" / "deps"
STAMP = "build-stamp.txt"
# Run by this Python with the folder and the requirements, before site-packages of its own count.
CHECK = """
import importlib, importlib.metadata, re, sys

folder, *requirements = sys.argv[1:]
sys.path.insert(0, folder)

def normalize(name):
    return re.sub(r"[-_.]+", "-", name).lower()

def read_version(text):
    return [int(number) for number in re.findall(r"\\d+", text)]

found = {
    normalize(distribution.metadata["Name"]): distribution
    for distribution in importlib.metadata.distributions(path=[folder])
}

for requirement in requirements:
    name, _, least = requirement.partition(">=")
    distribution = found.get(normalize(name))
    if distribution is None:
        sys.exit(f"{name} is not installed")
    if read_version(distribution.version) < read_version(least):
        sys.exit(f"{name} {distribution.version} is older than {least}")
for name, distribution in found.items():
    if distribution.files is None:
        sys.exit(f"{name} does not list its files")
    names = set()
    for file in distribution.files:
        # Commands are installed to bin, which the record has relative to another folder.
        if file.parts[0] == ".." or file.suffix == ".pyc":
            continue
        path = distribution.locate_file(file)
        if not path.exists() or file.size is not None and path.stat().st_size != file.size:
            sys.exit(f"{path} is missing or cut off")
        if len(file.parts) == 1 and file.suffix == ".py":
            names.add(file.stem)
        elif file.name == "__init__.py" and len(file.parts) == 2:
            names.add(file.parts[0])
        elif file.suffix == ".so" and len(file.parts) > 1:
            names.add(".".join([*file.parts[:-1], file.name.partition(".")[0]]))
    for name in sorted(names):
        importlib.import_module(name)
"""


class BuildError(Exception):
    """The packages cannot be installed."""


def install_packages(requirements: Path, folder: Path) -> None:
    """Install packages into a folder.

    Raises
    ------
    BuildError
        If the installation fails.
    """
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--target", str(folder)]
    code = subprocess.run([*command, "--requirement", str(requirements)], check=False).returncode
    if code != 0:
        raise BuildError(f"{' '.join(command)} ended with {code}")


def build(
    folder: Path,
    requirements: Path,
    install: Callable[[Path, Path], None] = install_packages,
) -> None:
    """Have all packages installed in a folder.

    Parameters
    ----------
    folder
        Replaced as a whole if anything is wrong with it, and untouched if the installation fails.
    requirements
        File with a line ``NAME>=VERSION`` for each package.
    install
        Installs the packages of a file into a folder.

    Raises
    ------
    BuildError
        If the packages cannot be installed.
    """
    if _has_valid_stamp(folder, requirements):
        return
    folder.parent.mkdir(parents=True, exist_ok=True)
    with folder.with_name(f"{folder.name}.lock").open("w") as lock:
        # Another build of this folder, if there is one, may do the work.
        fcntl.flock(lock, fcntl.LOCK_EX)
        if _has_valid_stamp(folder, requirements):
            return
        if (trouble := find_trouble(folder, requirements)) is None:
            _write_stamp(folder, requirements)
            return
        print(f"installing {folder.name}: {trouble}", flush=True)
        fresh, former = (folder.with_name(f"{folder.name}.{name}") for name in ("new", "old"))
        for rest in (fresh, former):
            shutil.rmtree(rest, ignore_errors=True)
        install(requirements, fresh)
        if (trouble := find_trouble(fresh, requirements)) is not None:
            raise BuildError(f"what was installed cannot be used: {trouble}")
        _write_stamp(fresh, requirements)
        if folder.exists():
            folder.rename(former)
        fresh.rename(folder)
        shutil.rmtree(former, ignore_errors=True)


def find_trouble(folder: Path, requirements: Path) -> str | None:
    """Return why the packages of a folder cannot be used by this Python, or None if they can."""
    if not folder.is_dir():
        return "there is no such folder"
    lines = [line.partition("#")[0].strip() for line in requirements.read_text().splitlines()]
    command = [sys.executable, "-I", "-B", "-c", CHECK, str(folder), *filter(None, lines)]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    if result.returncode == 0:
        return None
    return (result.stderr.strip().splitlines() or [f"exit code {result.returncode}"])[-1]


def _has_valid_stamp(folder: Path, requirements: Path) -> bool:
    try:
        return (folder / STAMP).read_text() == _compute_stamp(folder, requirements)
    except OSError:
        return False


def _write_stamp(folder: Path, requirements: Path) -> None:
    partial = folder / f"{STAMP}.new"
    partial.write_text(_compute_stamp(folder, requirements))
    partial.rename(folder / STAMP)


def _compute_stamp(folder: Path, requirements: Path) -> str:
    """Return what a folder's stamp should say."""
    listing = hashlib.sha256()
    for path, size in sorted(_list_files(str(folder))):
        listing.update(f"{os.path.relpath(path, folder)} {size}\n".encode())
    digest = hashlib.sha256(requirements.read_bytes()).hexdigest()
    # Such as .cpython-311-aarch64-linux-gnu.so: names that this Python imports.
    suffix = sysconfig.get_config_var("EXT_SUFFIX")
    return f"requirements {digest}\nmodules {suffix}\nfiles {listing.hexdigest()}\n"


def _list_files(folder: str) -> Iterator[tuple[str, int]]:
    """Yield path and size in bytes of each file, without those that Python caches."""
    for entry in os.scandir(folder):
        if entry.is_dir():
            if entry.name != "__pycache__":
                yield from _list_files(entry.path)
        elif not entry.name.startswith(STAMP):
            yield entry.path, entry.stat().st_size


def main() -> int:
    """Build, and return the exit code."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    try:
        build(FOLDER, REQUIREMENTS)
    except (BuildError, OSError) as error:
        print(f"packaging/requirements.py: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
