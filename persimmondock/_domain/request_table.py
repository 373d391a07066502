"""Non-idempotent requests that a gate has seen, by slice and identifier.

All attempts with the same identifier reach the gate of the slice's owner. The first one runs; the
others get its verdict. Requests that an earlier owner ran are known only if it handed its entries
over; if it was lost, identifiers issued before the loss are refused as ``MayHaveRun``.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, TypeAlias

import attrs

from persimmondock._domain.messages import KeptAnswer
from persimmondock._domain.verdict import Answered, MayHaveRun, NotRun, Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

UNKNOWN_ISSUE_OFFSET = -1
MAX_ENTRIES = 32_768
MAX_BYTES = 16 * 1024 * 1024
MAX_HANDOVER_BYTES = 1024 * 1024
RUNNING_RECHECK_MS = 1_000
EXPIRY_HEAP_SLACK = 1_024


@attrs.frozen
class RequestKey:
    """Key of an entry."""

    service: str
    slice: int
    request_id: str


@attrs.frozen
class RunFirst:
    """No other attempt has run or is running: run this one."""


@attrs.frozen
class WaitForFirst:
    """Another attempt is running: wait for its verdict."""


@attrs.frozen
class KnownVerdict:
    """An attempt has ended with this verdict, or the request is refused."""

    verdict: Verdict


Admission: TypeAlias = RunFirst | WaitForFirst | KnownVerdict


@attrs.define
class _Entry:
    fingerprint: int
    verdict: Verdict | None
    expires_at_ms: int


@attrs.frozen
class _SliceKey:
    service: str
    slice: int


@attrs.define
class RequestTable:
    """The requests that one gate has seen.

    Entries are kept until they expire, because removing one earlier could let a request run twice.
    A full table therefore refuses new requests. A table that exceeds ``max_bytes`` replaces its
    oldest answers by ``MayHaveRun`` and keeps their entries.

    Parameters
    ----------
    max_entries
        Number of entries from which new requests are refused.
    max_bytes
        Limit on the total size of the kept answers, in bytes.
    """

    max_entries: int = MAX_ENTRIES
    max_bytes: int = MAX_BYTES
    kept_bytes: int = 0
    _entries: dict[RequestKey, _Entry] = attrs.field(factory=dict)
    _by_slice: dict[_SliceKey, dict[str, None]] = attrs.field(factory=dict)
    _expiries: list[tuple[int, int, RequestKey]] = attrs.field(factory=list)
    _answers: dict[RequestKey, None] = attrs.field(factory=dict)
    _handed_over: dict[RequestKey, Verdict] = attrs.field(factory=dict)
    _tie_breaker: int = 0

    def __len__(self) -> int:
        return len(self._entries)

    def admit(
        self,
        key: RequestKey,
        fingerprint: int,
        issued_offset: int,
        lost_at: int,
        expires_at_ms: int,
        now_ms: int,
    ) -> Admission:
        """Decide what an attempt may do.

        Parameters
        ----------
        fingerprint
            Hash of the request; an identifier must not be reused for another one.
        issued_offset
            View offset at which the identifier was issued, or ``UNKNOWN_ISSUE_OFFSET``.
        lost_at
            Offset of the last record by which an owner of the slice was lost, or -1 if there is
            none that still matters.
        expires_at_ms, now_ms
            When the entry expires, and the current time, in Unix milliseconds.
        """
        self.expire(now_ms)
        entry = self._entries.get(key)
        if entry is not None:
            if entry.fingerprint != fingerprint:
                return KnownVerdict(NotRun(Reason.REQUEST_ID_REUSED))
            if entry.verdict is None:
                return WaitForFirst()
            return KnownVerdict(entry.verdict)
        if lost_at >= 0 and issued_offset <= lost_at:
            return KnownVerdict(MayHaveRun(Reason.SENT_TO_LOST_OWNER))
        if len(self._entries) >= self.max_entries:
            return KnownVerdict(NotRun(Reason.OVERLOADED, self._compute_retry_after_ms(now_ms)))
        self._add(key, _Entry(fingerprint, None, expires_at_ms))
        return RunFirst()

    def end(self, key: RequestKey, verdict: Verdict) -> None:
        """Record how the first attempt ended.

        If it has not run, the verdict that an earlier owner handed over applies; if there is none,
        the entry is removed.
        """
        handed = self._handed_over.pop(key, None)
        match verdict:
            case NotRun() if handed is not None:
                self._store_verdict(key, self._entries[key], handed)
            case NotRun():
                self._remove_entry(key)
            case _:
                self._store_verdict(key, self._entries[key], verdict)

    def expire(self, now_ms: int) -> None:
        """Remove the expired entries whose requests are not running."""
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, _, key = heapq.heappop(self._expiries)
            entry = self._entries.get(key)
            if entry is None or entry.expires_at_ms > now_ms:
                continue
            if entry.verdict is None:
                entry.expires_at_ms = now_ms + RUNNING_RECHECK_MS
                self._schedule(key, entry)
            else:
                self._remove_entry(key)

    def export_slice(self, service: str, index: int) -> tuple[KeptAnswer, ...]:
        """Return the entries of a slice that have a verdict, to be handed to its new owner.

        Answers beyond a total of ``MAX_HANDOVER_BYTES`` are replaced by ``MayHaveRun``.
        """
        kept: list[KeptAnswer] = []
        handed_bytes = 0
        for request_id in self._by_slice.get(_SliceKey(service, index), ()):
            entry = self._entries[RequestKey(service, index, request_id)]
            verdict = entry.verdict
            if verdict is None:
                continue
            handed_bytes += compute_answer_size(verdict)
            if handed_bytes > MAX_HANDOVER_BYTES and isinstance(verdict, Answered):
                verdict = MayHaveRun(Reason.ANSWER_NOT_KEPT)
            kept.append(
                KeptAnswer(
                    service, index, request_id, entry.fingerprint, verdict, entry.expires_at_ms
                )
            )
        return tuple(kept)

    def import_entries(self, kept: Iterable[KeptAnswer]) -> None:
        """Add the entries of an earlier owner, even beyond ``max_entries``.

        An attempt that this gate admitted before the slice moved away may still be waiting here;
        if it is refused, the earlier owner's verdict applies.
        """
        for item in kept:
            key = RequestKey(item.service, item.slice, item.request_id)
            present = self._entries.get(key)
            if present is not None and present.verdict is None:
                self._handed_over[key] = item.verdict
            elif present is None:
                entry = _Entry(item.fingerprint, None, item.expires_at_ms)
                self._add(key, entry)
                self._store_verdict(key, entry, item.verdict)

    def _add(self, key: RequestKey, entry: _Entry) -> None:
        self._entries[key] = entry
        self._by_slice.setdefault(_SliceKey(key.service, key.slice), {})[key.request_id] = None
        self._schedule(key, entry)

    def _schedule(self, key: RequestKey, entry: _Entry) -> None:
        """Add an entry's expiry to the heap.

        Outdated items are dropped when they outnumber the entries by ``EXPIRY_HEAP_SLACK``.
        """
        self._tie_breaker += 1
        if len(self._expiries) > 2 * len(self._entries) + EXPIRY_HEAP_SLACK:
            self._expiries = [item for item in self._expiries if self._is_current(item)]
            heapq.heapify(self._expiries)
        heapq.heappush(self._expiries, (entry.expires_at_ms, self._tie_breaker, key))

    def _is_current(self, item: tuple[int, int, RequestKey]) -> bool:
        entry = self._entries.get(item[2])
        return entry is not None and entry.expires_at_ms == item[0]

    def _store_verdict(self, key: RequestKey, entry: _Entry, verdict: Verdict) -> None:
        entry.verdict = verdict
        self.kept_bytes += compute_answer_size(verdict)
        if isinstance(verdict, Answered):
            self._answers[key] = None
        while self.kept_bytes > self.max_bytes and self._answers:
            self._drop_answer(next(iter(self._answers)))

    def _drop_answer(self, key: RequestKey) -> None:
        """Replace an answer by ``MayHaveRun``."""
        del self._answers[key]
        entry = self._entries[key]
        assert entry.verdict is not None
        self.kept_bytes -= compute_answer_size(entry.verdict)
        entry.verdict = MayHaveRun(Reason.ANSWER_NOT_KEPT)

    def _remove_entry(self, key: RequestKey) -> None:
        entry = self._entries.pop(key, None)
        if entry is None:
            return
        if entry.verdict is not None:
            self.kept_bytes -= compute_answer_size(entry.verdict)
        self._answers.pop(key, None)
        slice_key = _SliceKey(key.service, key.slice)
        identifiers = self._by_slice[slice_key]
        del identifiers[key.request_id]
        if not identifiers:
            del self._by_slice[slice_key]

    def _compute_retry_after_ms(self, now_ms: int) -> int:
        """Return the milliseconds until the next entry expires."""
        return max(1, self._expiries[0][0] - now_ms) if self._expiries else 1


def compute_answer_size(verdict: Verdict) -> int:
    """Return the size of an answer in bytes, or 0 for other verdicts."""
    if not isinstance(verdict, Answered):
        return 0
    answer = verdict.answer
    return len(answer.body) + sum(len(h.name) + len(h.value) for h in answer.headers)
