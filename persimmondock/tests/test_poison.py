"""Tests of the book of requests that may kill backend servers."""

from __future__ import annotations

import pytest

from persimmondock._domain.poison import (
    CONVICTED_MS,
    MAX_SUSPECTS,
    SUSPECT_MS,
    Handling,
    RequestPrint,
    SuspectBook,
)

POISON = RequestPrint("painel", 1)
INNOCENT = RequestPrint("painel", 2)


def tell(seen, *books, now_ms=0):
    for book in books:
        for item in seen:
            book.learn(item, now_ms)


def test_a_request_that_killed_alone_twice_is_refused_everywhere() -> None:
    book, other = SuspectBook(), SuspectBook()
    assert book.judge(POISON, 0) is Handling.FREE
    tell(book.note_crash([POISON], 0), other)
    assert other.judge(POISON, 0) is Handling.ALONE
    tell(other.note_crash([POISON], 10), book)
    assert (book.judge(POISON, 10), other.judge(POISON, 10)) == (Handling.REFUSED,) * 2
    assert book.find_end_ms(POISON) == 10 + CONVICTED_MS


def test_requests_beside_the_poison_are_cleared_and_not_convicted() -> None:
    book, other = SuspectBook(), SuspectBook()
    for now_ms in range(5):
        tell(book.note_crash([POISON, INNOCENT], now_ms), other)
    assert book.judge(INNOCENT, 9) is Handling.ALONE
    tell(book.note_survived(INNOCENT, 9), other)
    assert (book.judge(INNOCENT, 9), other.judge(INNOCENT, 9)) == (Handling.FREE,) * 2
    assert other.judge(POISON, 9) is Handling.ALONE


def test_clearing_does_not_reach_a_convicted_request() -> None:
    book, other = SuspectBook(), SuspectBook()
    tell(other.note_crash([POISON], 0), book)
    book.note_crash([POISON], 0)
    tell(other.note_survived(POISON, 0), book)
    assert book.judge(POISON, 1) is Handling.REFUSED


def test_a_convicted_request_gets_one_try_a_term_and_terms_double() -> None:
    book, now_ms, terms = SuspectBook(), 0, []
    for _ in range(5):
        assert book.judge(POISON, now_ms) is not Handling.REFUSED
        book.note_crash([POISON], now_ms)
        if book.judge(POISON, now_ms) is Handling.REFUSED:
            terms.append(book.find_end_ms(POISON) - now_ms)
            now_ms = book.find_end_ms(POISON)
    assert terms == [CONVICTED_MS * factor for factor in (1, 2, 4, 8)]


@pytest.mark.parametrize(
    ("kills", "after_ms", "left"),
    [(1, SUSPECT_MS - 1, 1), (1, SUSPECT_MS, 0), (2, CONVICTED_MS, 1), (2, 2 * CONVICTED_MS, 0)],
)
def test_suspicion_ends(kills, after_ms, left) -> None:
    book = SuspectBook()
    for _ in range(kills):
        book.note_crash([POISON], 0)
    book.forget(after_ms)
    assert len(book) == left


def test_the_book_is_bounded() -> None:
    book = SuspectBook()
    for number in range(MAX_SUSPECTS + 10):
        book.note_crash([RequestPrint("painel", number)], number)
    assert len(book) == MAX_SUSPECTS
    assert book.judge(RequestPrint("painel", MAX_SUSPECTS + 9), 0) is Handling.ALONE
