"""What a backend server says about itself: its limit, and that it leaves."""

from __future__ import annotations

import pytest

from persimmondock._domain.backend_notice import BackendNotice, KnownNotice, LimitChange
from persimmondock.platform import _headers

SIGNED = ("X-Server-Signature", "3e1b")
NO_LIMIT = BackendNotice(conclusive=True)


@pytest.mark.parametrize("value", ["18.5", " 18.5 ", "018.50"])
def test_a_limit_is_read(value: str) -> None:
    notice = _headers.read_notice([("server-limit", value), SIGNED])
    assert notice == BackendNotice(18.5, conclusive=True)


@pytest.mark.parametrize("value", ["0", "0.0", ".0"])
def test_a_limit_of_zero_is_a_limit(value: str) -> None:
    notice = _headers.read_notice([("Server-Limit", value)])
    assert notice == BackendNotice(0.0)


@pytest.mark.parametrize(
    "value", ["", "-1", "nan", "inf", "1e3", "1_000", "10,5", "ten", "9" * 400, "0x10"]
)
def test_a_limit_that_is_no_decimal_number_does_not_end_the_one_in_force(value: str) -> None:
    assert _headers.read_notice([("Server-Limit", value), SIGNED]) is None


def test_of_two_limits_in_one_answer_the_lower_one_counts() -> None:
    fields = [("Server-Limit", "12"), ("server-limit", "7.5"), ("Server-Limit", "x"), SIGNED]
    assert _headers.read_notice(fields) == BackendNotice(7.5, conclusive=True)


@pytest.mark.parametrize(("value", "leaving"), [("1", True), ("0", False)])
def test_leaving_is_read(value: str, leaving: bool) -> None:
    notice = _headers.read_notice([("Server-Leaving", value), SIGNED])
    assert notice == BackendNotice(leaving=leaving, conclusive=True)


@pytest.mark.parametrize("value", ["", "yes", "true", "11"])
def test_other_values_of_leaving_say_nothing(value: str) -> None:
    assert _headers.read_notice([("Server-Leaving", value), SIGNED]) is None


def test_an_answer_without_a_signature_proves_nothing_that_it_does_not_say() -> None:
    assert _headers.read_notice([("Content-Type", "text/plain")]) == BackendNotice()


def test_a_limit_is_in_force_until_a_later_request_is_answered_without_it() -> None:
    known = KnownNotice()
    assert known.hear(BackendNotice(10.0), sent_at=1.0, now=2.0) is LimitChange.NAMED
    assert known.hear(BackendNotice(10.0), sent_at=1.5, now=2.5) is LimitChange.NONE
    assert known.hear(BackendNotice(5.0), sent_at=2.0, now=3.0) is LimitChange.CHANGED
    assert known.hear(NO_LIMIT, sent_at=3.5, now=4.0) is LimitChange.ENDED
    assert known.max_per_s is None


def test_an_answer_to_an_earlier_request_does_not_end_a_limit() -> None:
    """Guards against a slow answer from before the limit that arrives after it was named."""
    known = KnownNotice()
    known.hear(BackendNotice(10.0), sent_at=1.0, now=2.0)
    assert known.hear(NO_LIMIT, sent_at=1.9, now=2.5) is LimitChange.NONE
    assert known.max_per_s == 10.0


def test_an_answer_that_is_not_signed_names_a_limit_but_ends_none() -> None:
    known = KnownNotice()
    known.hear(BackendNotice(10.0), sent_at=1.0, now=2.0)
    assert known.hear(BackendNotice(), sent_at=3.0, now=4.0) is LimitChange.NONE
    assert known.max_per_s == 10.0


def test_leaving_is_final() -> None:
    known = KnownNotice()
    known.hear(BackendNotice(leaving=True), sent_at=1.0, now=2.0)
    known.hear(NO_LIMIT, sent_at=3.0, now=4.0)
    assert known.leaving
