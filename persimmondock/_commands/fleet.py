"""Commands that show the state of a fleet."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import yaml
from cleo.helpers import argument, option

from persimmondock._adapters.log_client import HttpLog
from persimmondock._commands.base import (
    LOG_ADDRESS_VARIABLE,
    BaseCommand,
    CommandError,
    check_address,
)
from persimmondock._commands.exit_codes import EXIT_FAILED, EXIT_SUCCESS, EXIT_UNAVAILABLE
from persimmondock._domain.record_text import describe_record
from persimmondock._ports.log import Batch
from persimmondock._tasks.recovery import decode_entries

REQUEST_TIMEOUT_S = 3.0
MAX_CONCURRENT_REQUESTS = 64
JSON_OPTION = option("json", None, "Write JSON")
STATUS_FIELDS = (
    "daemon",
    "failure_domain",
    "state",
    "view_offset",
    "lease_left_ms",
    "in_flight",
    "queued",
    "slices",
    "waiting",
    "backends",
)


class _OperatorCommand(BaseCommand):
    """A command that queries the operator endpoints of daemons."""

    async def fetch_json(
        self, session: aiohttp.ClientSession, address: str, path: str, **query: str
    ) -> Any:
        """Return the JSON body of a daemon's response.

        Raises
        ------
        CommandError
            If the daemon does not answer, or answers with an error.
        """
        try:
            async with session.get(f"http://{address}{path}", params=query) as response:
                if response.status != 200:
                    raise CommandError(f"{address}: {(await response.text()).strip()}")
                return await response.json()
        except TimeoutError:
            detail = f"{address}: no answer within {REQUEST_TIMEOUT_S:g} s"
            raise CommandError(detail, EXIT_UNAVAILABLE) from None
        except (aiohttp.ClientError, ValueError) as error:
            raise CommandError(f"{address}: {error}", EXIT_UNAVAILABLE) from error

    def open_session(self) -> aiohttp.ClientSession:
        """Return an HTTP session whose requests end after ``REQUEST_TIMEOUT_S``."""
        return aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S))


class StatusCommand(_OperatorCommand):
    """Shows the fleet as one table."""

    name = "status"
    description = "Show the fleet as a table; exit code 1 if a member is not healthy"
    arguments = [argument("address", "Operator host:port of any daemon")]
    options = [JSON_OPTION]

    def perform(self) -> int:
        """Ask one daemon for the members and each member for its status."""
        rows = self.run_async(self._collect(check_address("address", self.argument("address"))))
        if self.option("json"):
            self.show_json(rows)
        else:
            for line in render_table(STATUS_FIELDS, rows):
                self.show(line)
        return EXIT_SUCCESS if all(row["state"] in HEALTHY_STATES for row in rows) else EXIT_FAILED

    async def _collect(self, address: str) -> list[dict[str, Any]]:
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        async with self.open_session() as session:
            dump = await self.fetch_json(session, address, "/v1/dump")

            async def collect_one(member: dict[str, Any]) -> dict[str, Any]:
                async with semaphore:
                    return await self._collect_one(session, dump, member)

            members = [dump["members"][name] for name in sorted(dump["members"])]
            return list(await asyncio.gather(*map(collect_one, members)))

    async def _collect_one(
        self, session: aiohttp.ClientSession, dump: dict[str, Any], member: dict[str, Any]
    ) -> dict[str, Any]:
        member_fields = {
            "daemon": member["ref"]["daemon"],
            "failure_domain": member["failure_domain"],
            "operator_address": member["operator_address"],
        }
        try:
            status = await self.fetch_json(session, member["operator_address"], "/v1/status")
        except CommandError as error:
            return {**member_fields, "state": "silent", "detail": str(error)}
        return {**status, **member_fields, "state": _find_member_state(dump, member, status)}


# States in normal operation and during planned work.
HEALTHY_STATES = frozenset({"serving", "out", "draining", "leaving"})


def _find_member_state(dump: dict[str, Any], member: dict[str, Any], status: dict[str, Any]) -> str:
    """Return the state of a member that answered, as one word."""
    if status["leaving"]:
        return "leaving"
    # A daemon that has restarted answers before the view shows its new incarnation.
    if status["incarnation"] != member["ref"]["incarnation"]:
        return "joining"
    if status["lease_left_ms"] is not None and status["lease_left_ms"] <= 0:
        return "no_lease"
    if member["failure_domain"] in dump["fleet"]["failure_domains_out"]:
        return "out"
    if set(status["backends"]) & set(dump["fleet"]["draining"]):
        return "draining"
    return "serving" if status["backends"] else "no_backend"


class DumpCommand(_OperatorCommand):
    """Shows the complete state of one daemon."""

    name = "dump"
    description = "Show the complete state of one daemon as YAML or JSON"
    arguments = [argument("address", "Operator host:port of the daemon")]
    options = [JSON_OPTION]

    def perform(self) -> int:
        """Ask for the dump and show it."""
        state = self.run_async(self._fetch_dump(check_address("address", self.argument("address"))))
        if self.option("json"):
            self.show_json(state)
        else:
            self.show(yaml.safe_dump(state, sort_keys=False, allow_unicode=True).rstrip())
        return EXIT_SUCCESS

    async def _fetch_dump(self, address: str) -> Any:
        async with self.open_session() as session:
            return await self.fetch_json(session, address, "/v1/dump")


class ExplainCommand(_OperatorCommand):
    """Explains the ownership of a key."""

    name = "explain"
    description = "Show the owner of a key, the record that assigned it, and the next owner"
    help = "With --log, also shows the record that assigned the slice to its owner."
    arguments = [
        argument("address", "Operator host:port of any daemon"),
        argument("service", "Name of the service"),
        argument("key", "Key"),
    ]
    options = [
        option("log", None, f"host:port of the log service, or {LOG_ADDRESS_VARIABLE}", flag=False),
        JSON_OPTION,
    ]

    def perform(self) -> int:
        """Ask for the explanation and show it."""
        address = check_address("address", self.argument("address"))
        data = self.run_async(self._collect(address))
        if self.option("json"):
            self.show_json(data)
        else:
            for line in render_explanation(data):
                self.show(line)
        return EXIT_SUCCESS

    async def _collect(self, address: str) -> dict[str, Any]:
        query = {"service": self.argument("service"), "key": self.argument("key")}
        async with self.open_session() as session:
            data: dict[str, Any] = await self.fetch_json(session, address, "/v1/explain", **query)
            if self.option("log") and data["since"] >= 0:
                log = HttpLog(self.read_address("log", LOG_ADDRESS_VARIABLE), session)
                data["record"] = await _read_record(log, data["since"])
        return data


async def _read_record(log: HttpLog, offset: int) -> str:
    """Return the record at an offset as text, or why it cannot be shown."""
    match await log.read(offset, 1, 0.0):
        case Batch(entries=(entry, *_)):
            return describe_record(decode_entries((entry,))[0][1])
        case _:
            return "no longer in the log, or the log does not answer"


def render_explanation(data: dict[str, Any]) -> list[str]:
    """Return lines that explain the ownership of a key."""
    owner = data["owner"]
    lines = [
        f"key         {data['key']} of service {data['service']}",
        f"slice       {data['slice']} of {data['slices']}",
        f"owner       {_format_owner(owner)}",
        f"since       record {data['since']}, which is also its fencing token",
    ]
    if "record" in data:
        lines.append(f"record      {data['record']}")
    if data["lost_at"] >= 0:
        lines.append(f"last loss   record {data['lost_at']}: an owner of the slice was lost")
    if data["waiting_for"]:
        lines.append(f"released by {', '.join(data['waiting_for'])}: not settled in the log yet")
    if owner:
        witnesses = ", ".join(data["witnesses"]) or "nobody: it cannot be declared lost"
        lines.append(
            f"witnesses   {witnesses}; a majority must agree that {owner['daemon']} is lost"
        )
        lines.append(f"successor   {data['successor'] or 'none named'}")
        lines.append(f"if lost     {_format_owner(data['next_owner'])}")
    lines.append(f"view        all records before {data['view_offset']}")
    return lines


def _format_owner(owner: dict[str, str] | None) -> str:
    if owner is None:
        return "nobody"
    return f"{owner['backend']} behind {owner['daemon']} in {owner['failure_domain']}"


def render_table(fields: tuple[str, ...], rows: list[dict[str, Any]]) -> list[str]:
    """Return the lines of a table with aligned columns."""
    cells = [list(fields), *([_format_cell(row.get(name)) for name in fields] for row in rows)]
    widths = [max(len(line[column]) for line in cells) for column in range(len(fields))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in cells
    ]


def _format_cell(value: Any) -> str:
    match value:
        case None:
            return "-"
        case list():
            return ",".join(map(str, value)) or "-"
        case _:
            return str(value)
