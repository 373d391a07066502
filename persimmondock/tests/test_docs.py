"""Every command on a page is run, in the order of the page, against one VM of stand-ins.

The servers of the quickstart are started as processes; all other commands run in this process, in
a thread of their own. Pages use addresses 127.0.0.N; the test uses another network.
"""

from __future__ import annotations

import contextlib
import http.client
import io
import itertools
import re
import shlex
import subprocess
import sys
import threading
import time
import urllib.parse
from collections.abc import Iterator
from pathlib import Path

import attrs
import pytest

import persimmondock
from persimmondock import cli
from persimmondock._domain.verdict import Reason
from persimmondock.settings import Settings
from persimmondock.tests.builders import NETWORK

DOCS = Path(persimmondock.__file__).parent.parent / "docs"
PAGES = ("quickstart.md", "operators.md")
SERVERS = {"standin-log": 8000, "daemon": 8101, "standin-backend": 8200}
WITHIN_S = 15.0
POLL_S = 0.05


def read_blocks(page: str, language: str) -> list[str]:
    """Return the fenced blocks of a language on a page."""
    text = (DOCS / page).read_text(encoding="utf-8").replace("127.0.0.", NETWORK)
    return re.findall(rf"^```{language}\n(.*?)^```", text, re.MULTILINE | re.DOTALL)


def list_commands(page: str) -> list[str]:
    """Return the commands of a page's console blocks."""
    lines = "".join(read_blocks(page, "console")).splitlines()
    return [line.removeprefix("$ ") for line in lines if line.startswith("$ ")]


@attrs.define
class Shell:
    """Runs the commands of pages."""

    folder: Path
    monkeypatch: pytest.MonkeyPatch
    processes: list[subprocess.Popen[bytes]] = attrs.field(factory=list)

    def run(self, command: str) -> int:
        """Run a command and return its exit code."""
        words = shlex.split(command)
        match words:
            case ["persimmondock", name, *_] if name in SERVERS:
                return self._start_server(words[1:])
            case ["persimmondock", *arguments]:
                return self._run_cli(arguments)
            case ["python", script, ">", target]:
                output = io.StringIO()
                with contextlib.redirect_stdout(output):
                    exec((self.folder / script).read_text(), {})
                (self.folder / target).write_text(output.getvalue())
                return 0
            case ["curl", *arguments]:
                return send_request(arguments)
        raise AssertionError(f"no way to run {command!r}")

    def _start_server(self, arguments: list[str]) -> int:
        command = [sys.executable, "-m", "persimmondock", *arguments]
        self.processes.append(subprocess.Popen(command, cwd=self.folder, stderr=subprocess.DEVNULL))
        host = f"{NETWORK}250" if arguments[0] == "standin-log" else f"{NETWORK}1"
        wait_until_up(host, SERVERS[arguments[0]])
        return 0

    def _run_cli(self, arguments: list[str]) -> int:
        codes: list[int] = []
        self.monkeypatch.setattr(sys, "argv", ["persimmondock", *arguments])
        thread = threading.Thread(target=lambda: codes.append(cli.main()))
        thread.start()
        thread.join()
        return codes[0]

    def run_until_done(self, command: str) -> int:
        """Run a command; one that looks at the fleet again until the fleet is at rest."""
        if not command.startswith(("curl", "persimmondock status", "persimmondock explain")):
            return self.run(command)
        deadline = time.monotonic() + WITHIN_S
        while (code := self.run(command)) and time.monotonic() < deadline:
            time.sleep(POLL_S)
        return code


def send_request(arguments: list[str]) -> int:
    """Send the request of a curl command; return 0 if it was answered."""
    url = urllib.parse.urlsplit(arguments[-1])
    headers = dict(
        value.split(": ", 1) for option, value in itertools.pairwise(arguments) if option == "-H"
    )
    connection = http.client.HTTPConnection(url.hostname or "", url.port, timeout=5.0)
    connection.request("POST" if "POST" in arguments else "GET", url.path, headers=headers)
    verdict = connection.getresponse().getheader("Persimmondock-Verdict")
    connection.close()
    return 0 if verdict == "answered" else 1


def wait_until_up(host: str, port: int) -> None:
    """Wait until an address accepts connections."""
    deadline = time.monotonic() + WITHIN_S
    while time.monotonic() < deadline:
        connection = http.client.HTTPConnection(host, port, timeout=1.0)
        with contextlib.suppress(OSError):
            connection.connect()
            connection.close()
            return
        time.sleep(POLL_S)
    raise AssertionError(f"{host}:{port} does not accept connections")


@pytest.fixture
def shell(tmp_path, monkeypatch) -> Iterator[Shell]:
    """Return a shell in an empty folder with the files that the quickstart names."""
    monkeypatch.chdir(tmp_path)
    for language in ("yaml", "python"):
        for block in read_blocks("quickstart.md", language):
            name = block.partition("\n")[0].removeprefix("# ")
            (tmp_path / name).write_text(block)
    running = Shell(tmp_path, monkeypatch)
    yield running
    for process in running.processes:
        process.kill()
        process.wait()


def test_every_command_on_the_pages_does_what_it_says(shell):
    """Each command succeeds, in the order of the pages."""
    commands = [command for page in PAGES for command in list_commands(page)]
    assert len(commands) > 20
    for command in commands:
        assert shell.run_until_done(command) == 0, command


def test_the_quickstart_lists_every_setting():
    """The table of settings has each field of the settings."""
    text = (DOCS / "quickstart.md").read_text(encoding="utf-8")
    rows = "".join(re.findall(r"^\| (`.*?) \|", text, re.MULTILINE))
    assert set(re.findall(r"`(\w+)`", rows)) == {field.name for field in attrs.fields(Settings)}


def test_the_page_for_callers_lists_every_reason():
    """Whatever reason a refusal has, the page says what it means."""
    text = (DOCS / "callers.md").read_text(encoding="utf-8")
    rows = text.partition("## Reasons")[2]
    assert {reason.value for reason in Reason} <= set(re.findall(r"`(\w+)`", rows))


def test_no_other_page_has_commands():
    """A page with commands is in the list of the pages that are run."""
    pages = {path.name for path in DOCS.glob("*.md") if list_commands(path.name)}
    assert pages == set(PAGES)
