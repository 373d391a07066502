"""Agreement of peers on a view while the log is unavailable."""

from __future__ import annotations

import attrs
import pytest

from persimmondock._domain.messages import ViewAsked, ViewGiven
from persimmondock._domain.snapshot import encode_view
from persimmondock._domain.view_request import ASK_INTERVAL_S, PeerQuestion, ViewRequest
from persimmondock.tests.builders import make_view

ENCODED = encode_view(make_view(3))


def make_view_given(domain: str, digest: str = ENCODED.digest, body: bytes = b"") -> ViewGiven:
    return ViewGiven(domain, ENCODED.covers, digest, body)


@pytest.mark.parametrize(
    ("peers", "answers", "agreed"),
    [
        ("a", [make_view_given("recife")], True),
        ("ab", [make_view_given("recife")], False),
        ("abc", [make_view_given("recife"), make_view_given("salvador")], True),
        ("abc", [make_view_given("recife"), make_view_given("recife")], False),
        ("ab", [make_view_given("recife"), make_view_given("recife")], True),
        ("abc", [make_view_given("recife"), make_view_given("salvador", "other")], False),
        (
            "abc",
            [
                make_view_given("recife"),
                attrs.evolve(make_view_given("salvador"), offset=ENCODED.covers + 1),
            ],
            False,
        ),
    ],
)
def test_peers_in_two_failure_domains_or_all_peers_must_agree(peers, answers, agreed) -> None:
    request = ViewRequest(tuple(peers), newer_than=0)
    for peer, answer in zip(peers, answers, strict=False):
        outcome = request.receive(answer, peer)
    assert (outcome == PeerQuestion(peers[len(answers) - 1], ViewAsked(True))) is agreed
    assert agreed or outcome is None


def test_only_a_body_with_the_agreed_digest_is_accepted() -> None:
    request = ViewRequest(("a", "b"), newer_than=0)
    request.receive(make_view_given("recife"), "a")
    request.receive(make_view_given("salvador"), "b")
    assert request.receive(make_view_given("salvador", body=ENCODED.body + b"x"), "b") is None
    assert request.receive(make_view_given("salvador", body=ENCODED.body), "b") == ENCODED


def test_peers_not_asked_and_older_views_do_not_count() -> None:
    request = ViewRequest(("a",), newer_than=ENCODED.covers)
    assert request.receive(make_view_given("recife"), "a") is None
    request = ViewRequest(("a",), newer_than=0)
    assert request.receive(make_view_given("recife"), "b") is None


def test_peers_are_asked_again() -> None:
    request = ViewRequest(("a", "b"), newer_than=0)
    assert [question.address for question in request.advance(1.0)] == ["a", "b"]
    assert request.advance(1.1) == []
    assert len(request.advance(1.0 + ASK_INTERVAL_S)) == 2
