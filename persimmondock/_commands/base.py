"""The base class of all commands: typed options, single-line errors and exit codes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import threading
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

from cleo.commands.command import Command
from cleo.io.outputs.output import Type

from persimmondock._adapters.logging import configure_logging
from persimmondock._commands.exit_codes import EXIT_FAILED, EXIT_INVALID_INPUT, EXIT_UNAVAILABLE

if TYPE_CHECKING:
    from collections.abc import Coroutine

LOG_ADDRESS_VARIABLE = "PERSIMMONDOCK_LOG"
MAX_PORT = 65535

_T = TypeVar("_T")


class CommandError(Exception):
    """Raised when a command cannot continue; each line of the message is one error.

    Parameters
    ----------
    code
        Exit code of the command.
    """

    def __init__(self, message: str, code: int = EXIT_INVALID_INPUT) -> None:
        super().__init__(message)
        self.code = code


class BaseCommand(Command):
    """A command whose errors are single lines and exit codes."""

    def handle(self) -> int:
        """Run the command and turn its errors into lines on standard error."""
        configure_logging("ERROR")
        try:
            return self.perform()
        except CommandError as error:
            self.show_error(str(error))
            return error.code
        except KeyboardInterrupt:
            self.show_error("interrupted")
            return EXIT_FAILED
        except OSError as error:
            self.show_error(describe_os_error(error))
            return EXIT_UNAVAILABLE

    def perform(self) -> int:
        """Do the command's work and return its exit code.

        Raises
        ------
        CommandError
            If the command cannot continue.
        """
        raise NotImplementedError

    def show(self, text: str) -> None:
        """Write text to standard output without interpreting markup."""
        self.io.write_line(text, type=Type.RAW)

    def show_error(self, text: str) -> None:
        """Write text to standard error without interpreting markup."""
        self.io.write_error_line(text, type=Type.RAW)

    def show_json(self, data: Any) -> None:
        """Write a JSON document to standard output."""
        self.show(json.dumps(data, indent=2, sort_keys=True))

    def run_async(self, coroutine: Coroutine[Any, Any, _T]) -> _T:
        """Run a coroutine and return its result.

        In the main thread, SIGTERM and SIGINT cancel it, so that it can clean up.

        Raises
        ------
        KeyboardInterrupt
            If it was cancelled.
        """
        try:
            return asyncio.run(_cancel_on_signal(coroutine))
        except asyncio.CancelledError:
            raise KeyboardInterrupt from None

    def read_text_option(self, name: str) -> str:
        """Return the value of a required option.

        Raises
        ------
        CommandError
            If it is missing.
        """
        value = self.option(name)
        if not value:
            raise CommandError(f"--{name}: missing")
        return str(value)

    def read_number(self, name: str, minimum: float, kind: type[int] | type[float] = int) -> Any:
        """Return an option as a finite number that is at least ``minimum``.

        Raises
        ------
        CommandError
            If it is not such a number.
        """
        text = str(self.option(name))
        try:
            value = kind(text)
        except ValueError:
            wanted = "a whole number" if kind is int else "a number"
            raise CommandError(f"--{name}: expected {wanted}, not {text!r}") from None
        if not minimum <= value < float("inf"):
            raise CommandError(f"--{name}: must be at least {minimum}, not {text}")
        return value

    def read_address(self, name: str, variable: str = "") -> str:
        """Return the ``host:port`` of an option, or of an environment variable if it is absent.

        Raises
        ------
        CommandError
            If both are missing, or the value is not ``host:port``.
        """
        value = self.option(name) or os.environ.get(variable, "")
        if not value:
            hint = f" or set {variable}" if variable else ""
            raise CommandError(f"--{name}: missing; give host:port{hint}")
        return check_address(f"--{name}", str(value))

    def read_file(self, name: str, max_bytes: int) -> str:
        """Return the text of the file that an argument names; ``-`` is standard input.

        Raises
        ------
        CommandError
            If it cannot be read, is larger than ``max_bytes`` or is not UTF-8.
        """
        path = self.argument(name)
        try:
            if path == "-":
                data = sys.stdin.buffer.read(max_bytes + 1)
            else:
                with Path(path).open("rb") as file:
                    data = file.read(max_bytes + 1)
            if len(data) > max_bytes:
                raise CommandError(f"{path}: larger than {max_bytes} bytes")
            return data.decode("utf-8")
        except OSError as error:
            raise CommandError(f"{path}: {error.strerror}") from error
        except UnicodeDecodeError as error:
            raise CommandError(f"{path}: not UTF-8 text: {error.reason}") from error


async def _cancel_on_signal(coroutine: Coroutine[Any, Any, _T]) -> _T:
    task = asyncio.current_task()
    assert task is not None
    # Signal handlers can be set only in the main thread; a program that runs a command in another
    # thread has its own way to stop it. ``asyncio.run`` already cancels the task on SIGINT.
    if threading.current_thread() is threading.main_thread():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await coroutine


def check_address(name: str, text: str) -> str:
    """Return ``text`` if it is ``host:port``.

    Raises
    ------
    CommandError
        If it is not; the message contains the name and the value.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 1 <= int(port) <= MAX_PORT:
        raise CommandError(f"{name}: expected host:port, not {text!r}")
    return text


def describe_os_error(error: OSError) -> str:
    """Return one line for an error of the operating system."""
    text = error.strerror or str(error)
    if error.filename and str(error.filename) not in text:
        text = f"{error.filename}: {text}"
    return " ".join(text.split())
