"""A stand-in of the platform's store, as PROTOCOL.md and the news page describe it."""

import asyncio
import base64
import copy
import json
import struct
import time
from urllib.parse import unquote

from wire import Server, render, reset


class Partition:
    def __init__(self):
        self.records, self.epochs = [], {}

    @property
    def end(self):
        return len(self.records)


def encode(key, value):
    return bytes([len(key.encode())]) + key.encode() + value


def split_record(record):
    return record[1 : 1 + record[0]].decode(), record[1 + record[0] :]


class Store:
    """Keeps all records in memory; `era` is in the header ``Store-Era`` of each answer."""

    def __init__(self, note):
        self.note, self.parts, self.era = note, {}, 1
        self.away, self.calls = False, 0
        self.changed = asyncio.Event()
        self.copies = []  # (instant, copy of all partitions), newest last
        self.server = Server(self._handle)
        self.on_append = lambda topic, part, record: None

    def partition(self, topic, number=0):
        return self.parts.setdefault((topic, number), Partition())

    def newest(self, topic, number=0):
        """Return offset and value of the newest record of each key that has a value."""
        found = {}
        for offset, record in enumerate(self.partition(topic, number).records):
            key, value = split_record(record)
            found[key] = (offset, value)
        return {key: item for key, item in found.items() if item[1]}

    def operator_write(self, key, value):
        """Append a record as the operator does; the return is the ack."""
        partition = self.partition("keyed.op")
        partition.records.append(encode(key, value))
        self._wake()
        return partition.end - 1

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def take_copy(self):
        self.copies.append((time.monotonic(), copy.deepcopy(self.parts)))
        del self.copies[:-200]

    async def run_copies(self):
        while True:
            self.take_copy()
            await asyncio.sleep(0.1)

    async def drill(self, copy_from, away_s):
        """Be away for a moment, and come back from the copy of an instant.

        The operator writes again what the copy lacks: the newest record of each of its keys.
        """
        before = self.newest("keyed.op")
        self.away = True
        self._wake()
        for writer in list(self.server.writers):
            reset(writer)
        taken_at, parts = [item for item in self.copies if item[0] <= copy_from][-1]
        ends = {name: part.end for name, part in self.parts.items()}
        await asyncio.sleep(away_s)
        self.parts = copy.deepcopy(parts)
        self.era += 1
        for key in self.newest("keyed.op").keys() - before.keys():
            self.operator_write(key, b"")
        again = []
        for key, (_, value) in sorted(before.items(), key=lambda item: item[1][0]):
            if self.newest("keyed.op").get(key, (0, b""))[1] != value:
                again.append((key, self.operator_write(key, value)))
        self.away = False
        self.note(
            f"drill: store back after {away_s} s from a copy {time.monotonic() - away_s - taken_at:.1f} s "
            f"older, era {self.era}, ends before {ends}, ends of the copy "
            f"{ {n: p.end for n, p in parts.items()} }, operator's records written again {again}"
        )

    async def _handle(self, request, writer):
        self.calls += 1
        if self.away:
            reset(writer)
            return None
        era = ("Store-Era", str(self.era))

        def reply(status, data):
            return render(
                status, (era, ("Content-Type", "application/json")), json.dumps(data).encode()
            )

        query = {name: unquote(value) for name, value in request.query.items()}
        partition = self.partition(query["topic"], int(query.get("part", "0")))
        if request.path == "/-/log-append":
            return self._append(request, query, partition, reply)
        if request.path == "/-/log-newest":
            after = query.get("after", "")
            newest = self.newest(query["topic"], int(query.get("part", "0")))
            keys = sorted(key for key in newest if key > after)[:500]
            items = [
                {"key": k, "value": base64.b64encode(newest[k][1]).decode(), "offset": newest[k][0]}
                for k in keys
            ]
            return reply(200, {"items": items, "has_more": False, "end": partition.end})
        if request.path != "/-/log-read":
            return reply(404, {})
        start, give_up = (
            int(query["from"]),
            time.monotonic() + int(query.get("wait_ms", "0")) / 1000,
        )
        while True:
            if self.away:
                reset(writer)
                return None
            partition = self.partition(query["topic"], int(query.get("part", "0")))
            if start > partition.end:
                return reply(410, {"first": 0})
            left_s = give_up - time.monotonic()
            if start < partition.end or left_s <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                pass
        body = struct.pack(">QQ", partition.end, 0)
        for record in partition.records[start:]:
            body += struct.pack(">I", len(record)) + record
        return render(200, (("Store-Era", str(self.era)),), body)

    def _append(self, request, query, partition, reply):
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return reply(403, {})
        records, position = [], 0
        while position < len(request.body):
            (length,) = struct.unpack_from(">I", request.body, position)
            records.append(request.body[position + 4 : position + 4 + length])
            position += 4 + length
        if "at" in query and int(query["at"]) != partition.end:
            return reply(412, {"end": partition.end})
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            known, last, first_answer = partition.epochs.get(query["producer"], (-1, -1, None))
            if epoch < known:
                return reply(409, {"why": "fenced"})
            if epoch == known and sequence == last:
                return reply(200, first_answer)
            if epoch == known and sequence != last + 1:
                return reply(409, {"why": "seq", "sequence": last + 1})
        offset = partition.end
        partition.records += records
        answer = {"offset": offset, "end": partition.end}
        if "producer" in query:
            partition.epochs[query["producer"]] = (epoch, sequence, answer)
        for record in records:
            self.on_append(query["topic"], int(query.get("part", "0")), record)
        self._wake()
        return reply(200, answer)
