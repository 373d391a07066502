"""Releases that this daemon gives to the new owners of slices that it has lost."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from persimmondock._domain.effects import Send, SliceRef
from persimmondock._domain.messages import KeptAnswer, ReleaseAsked, Released, ReleaseReceived
from persimmondock._domain.records import MemberRef

if TYPE_CHECKING:
    from collections.abc import Callable, Container

    from persimmondock._domain.view import View

RELEASE_AGAIN_S = 0.5
MAX_KEPT_A_RELEASE = 2_000


@attrs.define
class OpenAsk:
    """A release that a new owner asked for and has not confirmed yet."""

    asker: MemberRef
    address: str
    service: str
    slices: set[int]
    lost_at: int
    sent: set[int] = attrs.field(factory=set)
    send_at: float = 0.0


@attrs.define
class Releases:
    """Asks for releases, and what their receivers have confirmed.

    Parameters
    ----------
    is_busy
        Tells whether requests of a slice are in flight at this daemon.
    collect_kept
        Returns the kept answers of a slice, to be handed over.
    """

    is_busy: Callable[[SliceRef], bool]
    collect_kept: Callable[[SliceRef], tuple[KeptAnswer, ...]]
    _asks: list[OpenAsk] = attrs.field(factory=list)
    _received: dict[SliceRef, dict[MemberRef, int]] = attrs.field(factory=lambda: defaultdict(dict))

    def take_ask(self, message: ReleaseAsked, address: str) -> None:
        """Note that a new owner asks for slices."""
        key = (message.asker, message.service, message.lost_at)
        for ask in self._asks:
            if (ask.asker, ask.service, ask.lost_at) == key:
                ask.slices |= set(message.slices)
                return
        slices = set(message.slices)
        self._asks.append(OpenAsk(message.asker, address, message.service, slices, message.lost_at))

    def answer(self, own: MemberRef, view: View, now: float) -> list[Send]:
        """Release the slices that this daemon has lost and that have no work in flight.

        What has been sent is sent again until its receiver confirms it.
        """
        effects = []
        for ask in list(self._asks):
            if view.offset <= ask.lost_at:
                continue
            if view.knows_gone(ask.asker):
                self._asks.remove(ask)
                continue
            ready = self._take_ready(ask, now)
            if ready:
                effects.append(Send(ask.address, self._release(ask, ready, own, now)))
            if not ask.slices and not ask.sent:
                self._asks.remove(ask)
        return effects

    def _take_ready(self, ask: OpenAsk, now: float) -> set[int]:
        """Return the slices that may be released now, those to be sent again included."""
        ready = {i for i in ask.slices if not self.is_busy(SliceRef(ask.service, i))}
        ask.slices -= ready
        if now >= ask.send_at:
            ready |= ask.sent
            ask.sent = set()
        return ready

    def _release(self, ask: OpenAsk, ready: set[int], own: MemberRef, now: float) -> Released:
        """Return a release of the first ready slices, with a bounded number of kept answers.

        Encoding and decoding must not take the time of a renewal; the other slices follow later.
        """
        slices: list[int] = []
        kept: list[KeptAnswer] = []
        for index in sorted(ready):
            entries = self.collect_kept(SliceRef(ask.service, index))
            if slices and len(kept) + len(entries) > MAX_KEPT_A_RELEASE:
                break
            slices.append(index)
            kept += entries
        ask.slices |= ready - set(slices)
        ask.sent |= set(slices)
        ask.send_at = now + RELEASE_AGAIN_S
        return Released(own, ask.service, tuple(slices), ask.lost_at, tuple(kept))

    def take_receipt(self, message: ReleaseReceived) -> None:
        """Note that a new owner has what was released."""
        for index in message.slices:
            ref = SliceRef(message.service, index)
            before = self._received[ref].get(message.asker, -1)
            self._received[ref][message.asker] = max(before, message.lost_at)
        for ask in self._asks:
            if (ask.asker, ask.service) == (message.asker, message.service):
                ask.sent -= set(message.slices) if ask.lost_at <= message.lost_at else set()

    def is_received(self, ref: SliceRef, owner: MemberRef, lost_at: int) -> bool:
        """Return whether an owner has confirmed a release of a loss or of a later one."""
        return self._received.get(ref, {}).get(owner, -1) >= lost_at

    def has_unsent(self) -> bool:
        """Return whether a new owner waits for a slice that has not been released."""
        return any(ask.slices for ask in self._asks)

    def forget_receipts(self, services: dict[str, Container[int]] | None = None) -> None:
        """Forget receipts of slices without handovers, or all of them."""
        for ref in list(self._received):
            if services is None or ref.index not in services[ref.service]:
                del self._received[ref]
