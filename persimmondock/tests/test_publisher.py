"""Tests of publishing, previews, explanations and fleet edits with a log in memory."""

from __future__ import annotations

import time

import pytest

from persimmondock._domain.configuration import FleetConfiguration
from persimmondock._domain.explaining import UnknownServiceError, explain_key
from persimmondock._domain.previews import find_unknown_names, preview_changes
from persimmondock._domain.record_text import describe_record
from persimmondock._domain.records import MemberLost
from persimmondock._domain.view import Accepted, Rejection, View
from persimmondock._ports.log import Appended, AppendUnknown, Batch, Entry
from persimmondock._tasks.publisher import (
    Unchanged,
    edit_fleet,
    list_changes,
    publish,
    publish_changes,
    read_view,
)
from persimmondock.tests.builders import fold_all, make_configuration, make_view

TIMEOUT_S = 5.0


class MemoryLog:
    """A log in memory that may lose the replies to appends that took effect.

    Parameters
    ----------
    lose_answers
        Number of next appends whose replies are lost.
    """

    def __init__(self, lose_answers: int = 0) -> None:
        self.payloads: list[bytes] = []
        self.lose_answers = lose_answers

    async def append(self, payloads):
        """Append records."""
        self.payloads += payloads
        if self.lose_answers:
            self.lose_answers -= 1
            return AppendUnknown("lost")
        return Appended(len(self.payloads) - len(payloads))

    async def read(self, start, limit, wait):
        """Read records."""
        entries = tuple(Entry(i, p) for i, p in enumerate(self.payloads))[start : start + limit]
        end = len(self.payloads)
        return Batch(entries, start + len(entries), 0, end)


def make_deadline() -> float:
    """Return a monotonic deadline."""
    return time.monotonic() + TIMEOUT_S


async def test_a_lost_answer_is_resolved_by_reading():
    """A publication whose reply was lost is applied once; publishing it again is a no-op."""
    log = MemoryLog(lose_answers=1)
    configuration = make_configuration("painel")
    assert await publish(log, configuration, "ana", TIMEOUT_S) == Accepted(0)
    assert len(log.payloads) == 1
    assert await publish(log, configuration, "ana", TIMEOUT_S) == Unchanged()


async def test_a_conflicting_change_is_rejected_with_the_accepted_one():
    """The rejection of a change to an old version names author and offset of the newer one."""
    log = MemoryLog()
    before = await read_view(log, View(), make_deadline())
    await publish(log, make_configuration("painel"), "ana", TIMEOUT_S)
    changes = list_changes(before, make_configuration("painel", "auditoria"))
    outcome = await publish_changes(log, before, changes, "rui", make_deadline())
    assert isinstance(outcome, Rejection)
    assert (outcome.author, outcome.offset) == ("ana", 0)


async def test_concurrent_fleet_edits_both_take_effect():
    """Edits by two operators of the same version are both applied."""
    log = MemoryLog()
    view = View()
    for name, author in (("recife", "ana"), ("salvador", "rui")):

        def take_out(fleet: FleetConfiguration, name: str = name) -> FleetConfiguration:
            return fleet.take_out(name)

        assert isinstance(await edit_fleet(log, view, take_out, author, make_deadline()), Accepted)
    final = await read_view(log, View(), make_deadline())
    assert final.fleet.failure_domains_out == ("recife", "salvador")


def test_a_preview_tells_what_moves_and_changes_nothing():
    """Draining a backend server moves its slices and no others."""
    view = make_view(3, slices=12)
    owned = {i for i, code in enumerate(view.services["painel"].owners) if code == 1}
    configuration = make_configuration("painel")
    configuration.services.clear()
    configuration.services.update(view.configurations)
    configuration.drain("backend-1")
    preview = preview_changes(view, list_changes(view, configuration))
    (moves,) = preview.moves
    assert set(moves.moved) == owned
    assert (moves.first, moves.last, preview.rejection) == ((), (), None)
    assert "+- backend-1" in preview.differences
    assert view.fleet.draining == ()


def test_a_preview_shows_a_rejection():
    """A preview reports the reason for which a change would be rejected."""
    view = make_view(1, slices=12)
    configuration = make_configuration()
    configuration.add_service("painel", path="/painel", keyed=True, slices=24)
    preview = preview_changes(view, list_changes(view, configuration))
    assert preview.rejection is not None
    assert "stay 12, not 24" in preview.rejection.reason


@pytest.mark.parametrize(
    ("fleet", "message"),
    [
        (FleetConfiguration(failure_domains_out=("natal",)), "fortaleza, recife, salvador"),
        (FleetConfiguration(draining=("backend-9",)), "backend-0, backend-1, backend-2"),
    ],
)
def test_unknown_names_are_named_with_the_choices(fleet, message):
    """An unknown name is reported with the known ones; an empty view reports nothing."""
    (line,) = find_unknown_names(make_view(3), fleet)
    assert message in line
    assert find_unknown_names(View(), fleet) == []


def test_an_explanation_predicts_the_next_owner():
    """The explained next owner is the one that owns the key after the owner is lost."""
    view = make_view(5, slices=12)
    for key in ("a", "b", "c", "d", "e"):
        explained = explain_key(view, "painel", key)
        assert explained.owner is not None
        member = view.members[explained.owner.daemon]
        assert explained.witnesses == tuple(w.daemon for w in member.witnesses)
        if not member.witnesses:
            assert explained.next_owner is None
            continue
        lost = MemberLost("lost", member.ref, member.witnesses_version, member.witnesses)
        after = explain_key(fold_all([lost], view), "painel", key)
        assert after.owner == explained.next_owner
        assert (after.since, after.lost_at) == (view.offset, view.offset)


def test_an_unknown_service_is_named_with_the_choices():
    """The error for an unknown service lists the known ones."""
    with pytest.raises(UnknownServiceError, match="no service 'b'; known: painel"):
        explain_key(make_view(1), "b", "key")


def test_records_are_single_lines():
    """A record is described in a single line."""
    lost = MemberLost("id", make_view(1).members["vm-0"].ref, 3, ())
    assert describe_record(lost) == "MemberLost member=vm-0@1 version=3 voters=[]"
