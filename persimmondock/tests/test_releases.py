"""Tests of releases of slices with their kept answers."""

from __future__ import annotations

from persimmondock._domain.effects import Send
from persimmondock._domain.leases import LeaseTiming
from persimmondock._domain.membership import Membership
from persimmondock._domain.messages import KeptAnswer, ReleaseAsked, Released, ReleaseReceived
from persimmondock._domain.records import MemberLeaving
from persimmondock._domain.releases import MAX_ANSWERS_PER_RELEASE
from persimmondock._domain.verdict import MayHaveRun, Reason
from persimmondock.tests.builders import fold_all, make_identity, make_view

ANSWERS_PER_SLICE = MAX_ANSWERS_PER_RELEASE * 3 // 4


def collect_kept(ref):
    verdict = MayHaveRun(Reason.BACKEND_LOST)
    return tuple(
        KeptAnswer(ref.service, ref.index, f"id-{number}", 0, verdict, 0)
        for number in range(ANSWERS_PER_SLICE)
    )


def list_released(effects) -> list[Released]:
    return [e.message for e in effects if isinstance(e, Send) and isinstance(e.message, Released)]


def test_many_kept_answers_are_sent_in_several_bounded_releases() -> None:
    view = make_view(3, slices=9)
    ref = view.members["vm-2"].ref
    lost_at = view.offset
    view = fold_all([MemberLeaving("leaving", ref)], view)
    state = view.services["painel"]
    owner = state.backends[int(state.owners[min(state.handovers)])].member
    slices = tuple(
        i for i in state.handovers if state.backends[int(state.owners[i])].member == owner
    )
    assert len(slices) > 1
    leaver = Membership(make_identity(2), LeaseTiming(), lambda _: False, collect_kept)
    leaver.view, leaver.ref = view, ref
    request = ReleaseAsked(owner, "painel", slices, lost_at)
    released = list_released(leaver.receive(request, "a:9", 1.0))
    for step in range(1, len(slices)):
        released += list_released(leaver.advance(1.0 + 0.1 * step))
    assert [len(message.kept) for message in released] == [ANSWERS_PER_SLICE] * len(slices)
    assert sorted(i for message in released for i in message.slices) == sorted(slices)
    confirmation = ReleaseReceived(owner, "painel", slices, lost_at)
    leaver.receive(confirmation, "a:9", 2.0)
    assert list_released(leaver.advance(9.0)) == []
