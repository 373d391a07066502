"""The command that shows records of the log service."""

from __future__ import annotations

import asyncio
import json
import time

import aiohttp
from cleo.helpers import option

from persimmondock._adapters.log_client import HttpLog
from persimmondock._commands.base import LOG_ADDRESS_VARIABLE, BaseCommand, CommandError
from persimmondock._commands.exit_codes import EXIT_SUCCESS, EXIT_UNAVAILABLE
from persimmondock._domain.record_text import describe_record
from persimmondock._ports.log import Batch, Expired, ReadFailed
from persimmondock._tasks.log_follower import READ_LIMIT_RECORDS, READ_RETRY_S
from persimmondock._tasks.recovery import decode_entries

FOLLOW_WAIT_S = 5.0
READ_TIMEOUT_S = 5.0
JSON_OPTION = option("json", None, "Write one JSON object per line")


class LogTailCommand(BaseCommand):
    """Shows the newest records of the log."""

    name = "log tail"
    description = "Show the newest records of the log"
    options = [
        option("log", None, f"host:port of the log service, or {LOG_ADDRESS_VARIABLE}", flag=False),
        option("count", None, "Number of records to show", flag=False, default="20"),
        option("follow", None, "Show new records until interrupted"),
        JSON_OPTION,
    ]

    def perform(self) -> int:
        """Show the records."""
        count = self.read_number("count", 1)
        return self.run_async(self._tail(self.read_address("log", LOG_ADDRESS_VARIABLE), count))

    async def _tail(self, address: str, count: int) -> int:
        async with aiohttp.ClientSession() as session:
            log = HttpLog(address, session)
            # This read only learns the offsets at which the log begins and ends.
            batch = await _read_batch(log, address, 0, 1, 0.0)
            start = max(batch.earliest, batch.end - count)
            while True:
                batch = await _read_batch(log, address, start, READ_LIMIT_RECORDS, 0.0)
                self._show_batch(batch)
                start = batch.following
                if start >= batch.end:
                    if not self.option("follow"):
                        return EXIT_SUCCESS
                    # Waits for a new record; the next iteration reads and shows it.
                    await _read_batch(log, address, start, 1, FOLLOW_WAIT_S)

    def _show_batch(self, batch: Batch) -> None:
        for offset, record in decode_entries(batch.entries):
            if self.option("json"):
                self.show(json.dumps({"offset": offset, "record": describe_record(record)}))
            else:
                self.show(f"{offset} {describe_record(record)}")


async def _read_batch(log: HttpLog, address: str, start: int, limit: int, wait_s: float) -> Batch:
    """Read records from ``start``, or from the earliest if ``start`` has expired.

    Parameters
    ----------
    wait_s
        Seconds for which the log may wait for a record.

    Raises
    ------
    CommandError
        If no read succeeds within ``READ_TIMEOUT_S`` and ``wait_s``.
    """
    deadline = time.monotonic() + READ_TIMEOUT_S + wait_s
    detail = "no answer"
    while time.monotonic() < deadline:
        match await log.read(start, limit, wait_s):
            case Batch() as batch:
                return batch
            case Expired(earliest=earliest):
                start = earliest
            case ReadFailed(detail=detail):
                await asyncio.sleep(READ_RETRY_S)
    raise CommandError(f"{address}: the log does not answer: {detail}", EXIT_UNAVAILABLE)
