"""The control task: applies events to the daemon's membership and carries out the effects."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import TYPE_CHECKING, TypeAlias

import attrs
import reactivex
from loguru import logger
from reactivex.subject import Subject

from persimmondock._domain.effects import Append, Effect, Send
from persimmondock._domain.messages import (
    AppendAsked,
    Message,
    RecordsAsked,
    RecordsGiven,
    Released,
    SuspectSeen,
    ViewAsked,
    ViewGiven,
)
from persimmondock._domain.records import Backend, RecordError, decode_record
from persimmondock._domain.snapshot import SnapshotSchedule, encode_view, split_snapshot
from persimmondock._ports.log import Entry
from persimmondock._tasks.log_follower import FollowerEvent, LogExpired, LogRead, LogUnavailable
from persimmondock._tasks.record_relay import RecordRelay
from persimmondock._tasks.recovery import ViewFound, decode_entries, drop_snapshot_body
from persimmondock._tasks.suspect_broadcaster import SuspectBroadcaster
from persimmondock._tasks.view_transfer import ViewTransfer

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from persimmondock._adapters.peer_link import PeerTransport
    from persimmondock._domain.membership import Membership
    from persimmondock._domain.view import View
    from persimmondock._tasks.exchange import Exchange
    from persimmondock._tasks.gate import Gate
    from persimmondock._tasks.log_follower import LogFollower, LogWriter

TICK_S = 0.1
BACKEND_TIMEOUT_S = 1.5
MAX_RECENT_ENTRIES = 5_000
MAX_REPLY_ENTRIES = 500


@attrs.frozen
class PeerMessage:
    """A message from another daemon's control task."""

    message: Message
    reply_address: str


@attrs.frozen
class Tick:
    """Periodic timer event, every ``TICK_S`` seconds."""


@attrs.frozen
class AnnouncementReceived:
    """A backend server announced itself to this daemon.

    Parameters
    ----------
    instance
        Identifies the process of the backend server; empty if it reports none.
    """

    backend: Backend
    instance: str = ""


@attrs.frozen
class LeaveRequested:
    """The daemon was asked to shut down gracefully."""


Event: TypeAlias = FollowerEvent | PeerMessage | Tick | AnnouncementReceived | LeaveRequested


class Control:
    """Owns the membership and handles one event at a time.

    Parameters
    ----------
    peers
        Addresses of peers from the settings.

    Attributes
    ----------
    inbox
        Events to handle.
    report_failure
        Called with an exception raised by the handling of an event; by default raises it.
    """

    def __init__(
        self,
        membership: Membership,
        gate: Gate,
        exchange: Exchange,
        follower: LogFollower,
        writer: LogWriter,
        peers: Sequence[str] = (),
    ) -> None:
        self.inbox: Subject[Event] = Subject()
        self._membership = membership
        self._gate = gate
        self._exchange = exchange
        self._follower = follower
        self._writer = writer
        self._transport: PeerTransport | None = None
        self._recent: deque[Entry] = deque(maxlen=MAX_RECENT_ENTRIES)
        self._announced_at: dict[str, float] = {}
        self._snapshot_schedule = SnapshotSchedule()
        self._view_transfer = ViewTransfer(membership, peers, self._send)
        self._record_relay = RecordRelay(membership, self._send)
        follower.reads_log = self._record_relay.reads_log
        follower.reads_for_others = self._record_relay.reads_for_others
        self._suspect_broadcaster = SuspectBroadcaster(membership, gate, self._send)
        self._snapshot_tasks: set[asyncio.Task[None]] = set()
        self.report_failure: Callable[[Exception], None] = _raise_failure
        reactivex.merge(self.inbox, follower.events).subscribe(self._on_event)

    def attach(self, transport: PeerTransport) -> None:
        """Send messages to peers through a transport."""
        self._transport = transport

    async def run(self) -> None:
        """Emit ticks until cancelled."""
        while True:
            self.inbox.on_next(Tick())
            await asyncio.sleep(TICK_S)

    def _on_event(self, event: Event) -> None:
        """Handle an event; an exception ends the daemon, since its state may be inconsistent."""
        try:
            self._handle(event)
        except Exception as error:
            self.report_failure(error)

    def _handle(self, event: Event) -> None:
        now = time.monotonic()
        match event:
            case LogRead(entries=entries, caught_up=caught_up):
                self._view_transfer.stop()
                self._membership.record_log_read(now, caught_up, event.asked_at)
                self._snapshot_schedule.record_earliest(event.earliest)
                self._apply_effects(self._apply_entries(entries, now))
            case ViewFound(view=view):
                self._view_transfer.stop()
                self._adopt_view(view, now)
            case LogExpired():
                self._view_transfer.start()
            case LogUnavailable():
                self._sync_from_peers(now)
            case PeerMessage(message=message, reply_address=address):
                self._handle_message(message, address, now)
            case Tick():
                self._withdraw_timed_out_backends(now)
                self._gate.advance(now)
                self._suspect_broadcaster.advance()
                self._apply_effects(self._membership.advance(now))
                self._write_snapshot_if_due(now)
                self._view_transfer.advance(now)
                if self._membership.needs_log(now) or self._record_relay.needs_log(now):
                    self._follower.read_now()
            case AnnouncementReceived(backend=backend, instance=instance):
                self._announced_at[backend.name] = now
                self._gate.add_backend(backend, instance)
                self._apply_effects(self._membership.announce_backend(backend, now))
            case LeaveRequested():
                self._apply_effects(self._membership.start_leaving(now))

    def _sync_from_peers(self, now: float) -> None:
        """Request the view, and then newer records, from peers while the log is unavailable."""
        if self._membership.view.offset == 0:
            self._view_transfer.start()
        else:
            self._view_transfer.request_records(now)

    def _adopt_view(self, view: View, now: float) -> None:
        logger.info("event=view_adopted offset={}", view.offset)
        self._recent.clear()
        self._apply_effects(self._membership.adopt_view(view, now))
        self._exchange.handle_view_change(self._membership.view)

    def _write_snapshot_if_due(self, now: float) -> None:
        membership = self._membership
        if not self._snapshot_schedule.should_write(membership.view, membership.ref, now):
            return
        task = asyncio.create_task(self._write_snapshot(membership.view))
        self._snapshot_tasks.add(task)
        task.add_done_callback(self._snapshot_tasks.discard)

    async def _write_snapshot(self, view: View) -> None:
        """Append a snapshot; encoding a large view in the event loop would delay lease renewals."""
        encoded = await asyncio.to_thread(encode_view, view)
        logger.info("event=snapshot_written covers={} bytes={}", view.offset, len(encoded.body))
        self._writer.write(split_snapshot(encoded))

    def _apply_entries(self, entries: tuple[Entry, ...], now: float) -> list[Effect]:
        offset = self._membership.view.offset
        fresh = tuple(drop_snapshot_body(entry) for entry in entries if entry.offset >= offset)
        if not fresh:
            return []
        self._recent.extend(fresh)
        self._record_relay.forward(fresh)
        effects = self._membership.apply_records(decode_entries(fresh), now)
        self._exchange.handle_view_change(self._membership.view)
        return effects

    def _handle_message(self, message: Message, address: str, now: float) -> None:
        self._record_relay.observe(message, address)
        match message:
            case RecordsAsked(start=start):
                self._send_records(start, address)
            case RecordsGiven(start=start, payloads=payloads):
                entries = tuple(Entry(start + i, data) for i, data in enumerate(payloads))
                if start <= self._membership.view.offset:
                    self._apply_effects(self._apply_entries(entries, now))
            case AppendAsked(payloads=payloads):
                self._append_for_peer(payloads)
            case ViewAsked():
                self._view_transfer.answer_request(message, address)
            case ViewGiven():
                view = self._view_transfer.receive_answer(message, address)
                if view is not None:
                    self._adopt_view(view, now)
            case SuspectSeen():
                self._gate.suspects.learn(message)
            case _:
                if isinstance(message, Released):
                    self._gate.table.import_entries(message.kept)
                self._apply_effects(self._membership.receive(message, address, now))

    def _append_for_peer(self, payloads: tuple[bytes, ...]) -> None:
        """Append the records that a peer has delegated, or none if one cannot be decoded."""
        self._writer.append_interval_s = self._record_relay.find_append_interval_s()
        try:
            self._writer.write(tuple(decode_record(payload) for payload in payloads))
        except RecordError as error:
            logger.warning("event=peer_record_refused detail={!r}", error)

    def _send_records(self, start: int, address: str) -> None:
        """Send recent records from an offset, or nothing if the first of them is not held."""
        entries = [entry for entry in self._recent if entry.offset >= start][:MAX_REPLY_ENTRIES]
        if entries and entries[0].offset == start and self._transport is not None:
            payloads = tuple(entry.payload for entry in entries)
            self._transport.send(address, RecordsGiven(start, payloads))

    def _send(self, address: str, message: Message) -> None:
        if self._transport is not None:
            self._transport.send(address, message)

    def _withdraw_timed_out_backends(self, now: float) -> None:
        for name, announced_at in list(self._announced_at.items()):
            if now - announced_at > BACKEND_TIMEOUT_S:
                logger.warning("event=backend_silent backend={}", name)
                del self._announced_at[name]
                self._gate.remove_backend(name)
                self._apply_effects(self._membership.withdraw_backend(name, now))

    def _apply_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send(address=address, message=message):
                    self._send(address, message)
                case Append(records=records):
                    self._writer.append_interval_s = self._record_relay.find_append_interval_s()
                    self._writer.write(
                        self._record_relay.delegate_appends(records, time.monotonic())
                    )


def _raise_failure(error: Exception) -> None:
    raise error
