"""Tests of the request table, and of the history of view offsets that gives the age of a loss."""

from __future__ import annotations

import pytest

from persimmondock._domain.floors import OffsetHistory
from persimmondock._domain.request_table import (
    EXPIRY_HEAP_SLACK,
    MAX_HANDOVER_BYTES,
    UNKNOWN_ISSUE_OFFSET,
    KnownVerdict,
    RequestKey,
    RequestTable,
    RunFirst,
    WaitForFirst,
)
from persimmondock._domain.verdict import Answer, Answered, MayHaveRun, NotRun, Reason

KEEP_MS = 1_000
NOT_KEPT = MayHaveRun(Reason.ANSWER_NOT_KEPT)


def make_answer(size=10):
    return Answered(Answer(200, (), b"x" * size))


def make_key(name="a", index=0):
    return RequestKey("painel", index, name)


def admit(table, name="a", fingerprint=1, issued_offset=UNKNOWN_ISSUE_OFFSET, lost_at=-1, now_ms=0):
    return table.admit(
        make_key(name), fingerprint, issued_offset, lost_at, now_ms + KEEP_MS, now_ms
    )


@pytest.mark.parametrize(
    ("verdict", "second"),
    [
        (make_answer(), KnownVerdict(make_answer())),
        (MayHaveRun(Reason.BACKEND_LOST), KnownVerdict(MayHaveRun(Reason.BACKEND_LOST))),
        (NotRun(Reason.OVERLOADED), RunFirst()),
    ],
)
def test_a_later_attempt_gets_the_outcome_of_the_first(verdict, second) -> None:
    table = RequestTable()
    assert admit(table) == RunFirst()
    assert admit(table) == WaitForFirst()
    table.end(make_key(), verdict)
    assert admit(table) == second


@pytest.mark.parametrize("ended", [False, True])
def test_an_identifier_names_one_request(ended) -> None:
    table = RequestTable()
    admit(table)
    if ended:
        table.end(make_key(), make_answer())
    assert admit(table, fingerprint=2) == KnownVerdict(NotRun(Reason.REQUEST_ID_REUSED))


@pytest.mark.parametrize(
    ("issued_offset", "lost_at", "admitted"),
    [
        (UNKNOWN_ISSUE_OFFSET, -1, True),
        (UNKNOWN_ISSUE_OFFSET, 5, False),
        (5, 5, False),
        (6, 5, True),
    ],
)
def test_what_a_lost_owner_may_have_run_does_not_run_again(
    issued_offset, lost_at, admitted
) -> None:
    admission = admit(RequestTable(), issued_offset=issued_offset, lost_at=lost_at)
    refusal = KnownVerdict(MayHaveRun(Reason.SENT_TO_LOST_OWNER))
    assert admission == (RunFirst() if admitted else refusal)


def test_entries_expire_unless_they_run() -> None:
    table = RequestTable()
    admit(table, "ended")
    admit(table, "running")
    table.end(make_key("ended"), make_answer())
    table.expire(KEEP_MS - 1)
    assert len(table) == 2
    table.expire(KEEP_MS)
    assert len(table) == 1
    assert admit(table, "running", now_ms=KEEP_MS) == WaitForFirst()
    table.end(make_key("running"), make_answer())
    table.expire(10 * KEEP_MS)
    assert (len(table), table.kept_bytes) == (0, 0)


def test_a_full_table_refuses_new_requests_until_an_entry_expires() -> None:
    table = RequestTable(max_entries=1)
    admit(table)
    table.end(make_key(), make_answer())
    assert admit(table, "b", now_ms=400) == KnownVerdict(NotRun(Reason.OVERLOADED, 600))
    assert admit(table, "a", now_ms=400) == KnownVerdict(make_answer())
    assert admit(table, "b", now_ms=1_000) == RunFirst()


def test_a_full_byte_budget_drops_the_oldest_answers_but_keeps_their_entries() -> None:
    table = RequestTable(max_bytes=100)
    for name in "abc":
        admit(table, name)
        table.end(make_key(name), make_answer(40))
    assert table.kept_bytes == 80
    assert [admit(table, name) for name in "abc"] == [
        KnownVerdict(NOT_KEPT),
        KnownVerdict(make_answer(40)),
        KnownVerdict(make_answer(40)),
    ]


def test_refused_requests_leave_no_entries() -> None:
    table = RequestTable()
    for number in range(5 * EXPIRY_HEAP_SLACK):
        admit(table, str(number))
        table.end(make_key(str(number)), NotRun(Reason.OVERLOADED))
    assert len(table) == 0
    assert len(table._expiries) <= EXPIRY_HEAP_SLACK + 3


def test_ended_entries_are_handed_over_within_a_bound() -> None:
    table, other = RequestTable(), RequestTable()
    for name in ("big", "bigger", "running"):
        admit(table, name)
    table.end(make_key("big"), make_answer(MAX_HANDOVER_BYTES))
    table.end(make_key("bigger"), make_answer(MAX_HANDOVER_BYTES))
    other.import_entries(table.export_slice("painel", 0))
    other.import_entries(table.export_slice("painel", 0))
    assert len(other) == 2
    assert admit(other, "big") == KnownVerdict(make_answer(MAX_HANDOVER_BYTES))
    assert admit(other, "bigger") == KnownVerdict(NOT_KEPT)
    assert table.export_slice("painel", 1) == ()


@pytest.mark.parametrize(
    ("here", "kept"),
    [(NotRun(Reason.NOT_OWNER), make_answer(7)), (make_answer(8), make_answer(8))],
)
def test_a_verdict_handed_over_counts_if_the_attempt_here_was_refused(here, kept) -> None:
    """The slice moved to another owner and back while the attempt waited for a slot."""
    table, other = RequestTable(), RequestTable()
    admit(table)
    admit(other)
    other.end(make_key(), make_answer(7))
    table.import_entries(other.export_slice("painel", 0))
    assert admit(table) == WaitForFirst()
    table.end(make_key(), here)
    assert admit(table) == KnownVerdict(kept)


def test_the_age_of_a_loss_counts_from_when_it_became_known() -> None:
    history = OffsetHistory()
    history.note(10, 100.0)
    history.note(20, 200.0)
    assert history.is_known_for(9, 50.0, 150.0)
    assert not history.is_known_for(10, 50.0, 240.0)
    assert history.is_known_for(10, 50.0, 250.0)
    assert not history.is_known_for(20, 0.1, 999.0)
