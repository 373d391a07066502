"""Builds the single-file binary: a launcher with the frozen program appended to it.

PyInstaller freezes the program into a folder. The folder is packed as an uncompressed ustar
archive, which the launcher can unpack without a library.
"""

from __future__ import annotations

import argparse
import hashlib
import io
import shutil
import subprocess
import sys
import tarfile
import tempfile
from pathlib import Path

MAGIC = b"PERSDOCK"
DIGEST_BYTES = 16
HERE = Path(__file__).parent
EXCLUDED_MODULES = (
    "numpy.f2py",
    "numpy.testing",
    "numpy.distutils",
    "persimmondock.tests",
    "persimmondock.properties",
    "pytest",
    "hypothesis",
    "tkinter",
    "unittest.mock",
    "uvloop",
)


def freeze(folder: Path) -> Path:
    """Freeze the program with PyInstaller and return its folder."""
    excluded = [argument for name in EXCLUDED_MODULES for argument in ("--exclude-module", name)]
    # A script with the name of the package would shadow it on import.
    entry = folder / "start.py"
    entry.write_text("from persimmondock._entry import main\n\nraise SystemExit(main())\n")
    command = [
        *(sys.executable, "-m", "PyInstaller", "--onedir", "--noconfirm"),
        *("--log-level", "WARN", "--name", "persimmondock"),
        *("--paths", str(HERE.parent), "--collect-submodules", "persimmondock._commands"),
        *("--collect-submodules", "persimmondock.bench"),
        *("--distpath", str(folder / "dist"), "--workpath", str(folder / "work")),
        *("--specpath", str(folder), *excluded, str(entry)),
    ]
    subprocess.run(command, check=True)
    return folder / "dist" / "persimmondock"


def pack(folder: Path) -> bytes:
    """Return a folder as a ustar archive; the same files give the same bytes."""
    buffer = io.BytesIO()
    with tarfile.open(fileobj=buffer, mode="w", format=tarfile.USTAR_FORMAT) as archive:
        for path in sorted(folder.rglob("*")):
            archive.add(
                path, path.relative_to(folder).as_posix(), recursive=False, filter=_normalize_entry
            )
    return buffer.getvalue()


def _normalize_entry(entry: tarfile.TarInfo) -> tarfile.TarInfo:
    """Clear metadata that differs between builds of the same files.

    Raises
    ------
    ValueError
        If the entry is a hard link.
    """
    entry.uid = entry.gid = 0
    entry.uname = entry.gname = ""
    entry.mtime = 0
    if entry.islnk():
        raise ValueError(f"{entry.name}: hard links cannot be packed")
    return entry


def compile_launcher(target: Path) -> None:
    """Compile the launcher."""
    command = ["cc", "-O2", "-Wall", "-Wextra", "-Werror", "-s", "-o", str(target)]
    subprocess.run([*command, str(HERE / "launcher.c")], check=True)


def join_binary(launcher: bytes, archive: bytes) -> bytes:
    """Return the binary: launcher, archive and the trailer that launcher.c describes."""
    digest = hashlib.blake2b(archive, digest_size=DIGEST_BYTES).hexdigest().encode()
    return launcher + archive + MAGIC + digest + f"{len(launcher):016x}".encode()


def build(frozen: Path, target: Path) -> None:
    """Write the binary for a frozen program and run it once."""
    with tempfile.TemporaryDirectory() as name:
        launcher = Path(name) / "launcher"
        compile_launcher(launcher)
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_bytes(join_binary(launcher.read_bytes(), pack(frozen)))
    target.chmod(0o755)
    # Fails the build if PyInstaller has missed an import, which would otherwise fail on a VM.
    subprocess.run([str(target.resolve()), "--version"], check=True)
    print(f"{target}: {target.stat().st_size / 1e6:.1f} MB")


def main() -> None:
    """Parse the options and build."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--frozen", type=Path, help="Folder of a program that is already frozen")
    parser.add_argument("--target", type=Path, default=Path("dist/persimmondock"))
    options = parser.parse_args()
    if options.frozen:
        build(options.frozen, options.target)
        return
    work = Path(tempfile.mkdtemp(prefix="persimmondock-build-"))
    try:
        build(freeze(work), options.target)
    finally:
        shutil.rmtree(work)


if __name__ == "__main__":
    main()
