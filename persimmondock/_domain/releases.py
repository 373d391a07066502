"""Releases that this daemon sends to the new owners of slices that it has lost."""

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

RELEASE_RESEND_S = 0.5
MAX_ANSWERS_PER_RELEASE = 2_000


@attrs.define
class PendingRelease:
    """A release that a new owner asked for and has not confirmed yet.

    Parameters
    ----------
    asker, address
        New owner, and the peer address that the release is sent to.
    slices
        Slices that have not been released.
    lost_at
        Offset of the record by which this daemon lost the slices.
    sent
        Slices that have been released but not confirmed.
    send_at
        Monotonic seconds at which the slices of ``sent`` are released again.
    """

    asker: MemberRef
    address: str
    service: str
    slices: set[int]
    lost_at: int
    sent: set[int] = attrs.field(factory=set)
    send_at: float = 0.0


@attrs.define
class ReleaseTracker:
    """Tracks requested releases and what their receivers have confirmed.

    Parameters
    ----------
    is_busy
        Returns whether requests of a slice are in flight at this daemon.
    collect_kept
        Returns the kept answers of a slice, which are sent with its release.
    """

    is_busy: Callable[[SliceRef], bool]
    collect_kept: Callable[[SliceRef], tuple[KeptAnswer, ...]]
    _pending: list[PendingRelease] = attrs.field(factory=list)
    _confirmed: dict[SliceRef, dict[MemberRef, int]] = attrs.field(
        factory=lambda: defaultdict(dict)
    )

    def receive_request(self, message: ReleaseAsked, address: str) -> None:
        """Record that a new owner asks for slices."""
        key = (message.asker, message.service, message.lost_at)
        for pending in self._pending:
            if (pending.asker, pending.service, pending.lost_at) == key:
                pending.slices |= set(message.slices)
                return
        slices = set(message.slices)
        self._pending.append(
            PendingRelease(message.asker, address, message.service, slices, message.lost_at)
        )

    def answer(self, own: MemberRef, view: View, now: float) -> list[Send]:
        """Release requested slices that this daemon has lost and that have no requests in flight.

        A release is sent again until its receiver confirms it.
        """
        effects = []
        for pending in list(self._pending):
            if view.offset <= pending.lost_at:
                continue
            if view.has_departed(pending.asker):
                self._pending.remove(pending)
                continue
            ready = self._pop_ready(pending, now)
            if ready:
                effects.append(Send(pending.address, self._make_release(pending, ready, own, now)))
            if not pending.slices and not pending.sent:
                self._pending.remove(pending)
        return effects

    def _pop_ready(self, pending: PendingRelease, now: float) -> set[int]:
        """Remove and return the slices to release now, including those to be sent again."""
        ready = {i for i in pending.slices if not self.is_busy(SliceRef(pending.service, i))}
        pending.slices -= ready
        if now >= pending.send_at:
            ready |= pending.sent
            pending.sent = set()
        return ready

    def _make_release(
        self, pending: PendingRelease, ready: set[int], own: MemberRef, now: float
    ) -> Released:
        """Return a release of the first ready slices, with a bounded number of kept answers.

        Encoding and decoding must not delay lease renewals, so the other slices follow later.
        """
        slices: list[int] = []
        kept: list[KeptAnswer] = []
        for index in sorted(ready):
            entries = self.collect_kept(SliceRef(pending.service, index))
            if slices and len(kept) + len(entries) > MAX_ANSWERS_PER_RELEASE:
                break
            slices.append(index)
            kept += entries
        pending.slices |= ready - set(slices)
        pending.sent |= set(slices)
        pending.send_at = now + RELEASE_RESEND_S
        return Released(own, pending.service, tuple(slices), pending.lost_at, tuple(kept))

    def receive_confirmation(self, message: ReleaseReceived) -> None:
        """Record that a new owner has received a release."""
        for index in message.slices:
            ref = SliceRef(message.service, index)
            before = self._confirmed[ref].get(message.asker, -1)
            self._confirmed[ref][message.asker] = max(before, message.lost_at)
        for pending in self._pending:
            if (pending.asker, pending.service) == (message.asker, message.service):
                pending.sent -= set(message.slices) if pending.lost_at <= message.lost_at else set()

    def is_confirmed(self, ref: SliceRef, owner: MemberRef, lost_at: int) -> bool:
        """Return whether an owner has confirmed a release for a loss at ``lost_at`` or later."""
        return self._confirmed.get(ref, {}).get(owner, -1) >= lost_at

    def has_unsent(self) -> bool:
        """Return whether a new owner waits for a slice that has not been released."""
        return any(pending.slices for pending in self._pending)

    def forget_confirmations(self, open_handovers: dict[str, Container[int]] | None = None) -> None:
        """Forget the confirmations that are no longer needed.

        Parameters
        ----------
        open_handovers
            Slices with handovers, by service, whose confirmations are kept; None forgets all.
        """
        for ref in list(self._confirmed):
            if open_handovers is None or ref.index not in open_handovers[ref.service]:
                del self._confirmed[ref]
