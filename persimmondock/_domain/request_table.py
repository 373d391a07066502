"""Non-idempotent requests that a gate has seen, by slice and identifier.

All attempts with one identifier meet at the gate that owns the slice. The first one runs; the
others get its verdict. What an earlier owner ran is known only if it handed its table over; after
its loss, identifiers issued before the loss are refused as ``MayHaveRun``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs

from persimmondock._domain.messages import KeptAnswer
from persimmondock._domain.verdict import MayHaveRun, NotRun, Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

UNKNOWN_ISSUE = -1


@attrs.frozen
class RequestKey:
    """Where an identifier is kept."""

    service: str
    slice: int
    request_id: str


@attrs.frozen
class RunFirst:
    """No attempt has run: this one may."""


@attrs.frozen
class WaitForFirst:
    """Another attempt is running; its verdict answers this one too."""


@attrs.frozen
class Known:
    """An attempt has ended with this verdict, or a refusal is certain."""

    verdict: Verdict


Admission: TypeAlias = RunFirst | WaitForFirst | Known


@attrs.define
class _Entry:
    fingerprint: int
    verdict: Verdict | None
    expires_at_ms: int


@attrs.define
class RequestTable:
    """The requests that one gate has seen."""

    _entries: dict[RequestKey, _Entry] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._entries)

    def admit(
        self, key: RequestKey, fingerprint: int, issued_at: int, floor: int, expires_at_ms: int
    ) -> Admission:
        """Decide what an attempt may do.

        Parameters
        ----------
        fingerprint
            Hash of the request; one identifier names one request.
        issued_at
            View offset known when the identifier was issued, or ``UNKNOWN_ISSUE``.
        floor
            Offset of the last record by which an owner of the slice was lost, or -1.
        expires_at_ms
            When the entry may be forgotten, in Unix milliseconds.
        """
        entry = self._entries.get(key)
        if entry is not None:
            if entry.fingerprint != fingerprint:
                return Known(NotRun(Reason.REQUEST_ID_REUSED))
            if entry.verdict is None:
                return WaitForFirst()
            return Known(entry.verdict)
        if floor >= 0 and issued_at <= floor:
            return Known(MayHaveRun(Reason.SENT_TO_LOST_OWNER))
        self._entries[key] = _Entry(fingerprint, None, expires_at_ms)
        return RunFirst()

    def end(self, key: RequestKey, verdict: Verdict) -> None:
        """Note how the first attempt ended; one that has not run leaves no trace."""
        match verdict:
            case NotRun():
                self._entries.pop(key, None)
            case _:
                self._entries[key].verdict = verdict

    def expire(self, now_ms: int) -> None:
        """Forget entries whose time has passed and that are not running."""
        for key, entry in list(self._entries.items()):
            if entry.verdict is not None and entry.expires_at_ms <= now_ms:
                del self._entries[key]

    def collect(self, service: str, index: int) -> tuple[KeptAnswer, ...]:
        """Return the ended entries of a slice, to be handed to its new owner."""
        return tuple(
            KeptAnswer(
                key.service,
                key.slice,
                key.request_id,
                entry.fingerprint,
                entry.verdict,
                entry.expires_at_ms,
            )
            for key, entry in self._entries.items()
            if key.service == service and key.slice == index and entry.verdict is not None
        )

    def adopt(self, kept: Iterable[KeptAnswer]) -> None:
        """Take over entries of an earlier owner."""
        for item in kept:
            key = RequestKey(item.service, item.slice, item.request_id)
            entry = _Entry(item.fingerprint, item.verdict, item.expires_at_ms)
            self._entries.setdefault(key, entry)
