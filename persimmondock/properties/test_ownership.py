"""State machine tests: at any instant of true time a slice has at most one owner."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule, run_state_machine_as_test

from persimmondock._domain.effects import Effect, SliceRef
from persimmondock._domain.leases import Promise, WitnessState
from persimmondock._domain.membership import Membership
from persimmondock._domain.messages import Granted, Message
from persimmondock._domain.records import MemberRef
from persimmondock.tests.builders import DOMAINS
from persimmondock.tests.simulation import OwnershipError, Simulation

START_UP_S = 3.0
RECOVERY_S = 14.0
NUMBERS = st.integers(0, 5)
# Hypothesis also draws constants of the loaded modules, so the order of examples depends on the
# package's sources; for some sources 200 examples were too few for one broken membership.
BROKEN_EXAMPLES = 1_000
SETTINGS = settings(
    max_examples=40,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)


class TakeoverMachine(RuleBasedStateMachine):
    """Pauses, partitions, and lost, delayed and repeated messages."""

    make_membership = staticmethod(Membership)
    append_loss = 0.0
    longest_delay_s = 0.01
    checks_recovery = True

    @initialize(seed=st.integers(0, 1 << 16), daemons=st.integers(3, 6))
    def start(self, seed: int, daemons: int) -> None:
        self.simulation = Simulation(seed, daemons, self.make_membership)
        self.simulation.run(START_UP_S)
        self.simulation.append_loss = self.append_loss
        self.simulation.longest_delay_s = self.longest_delay_s

    def pick(self, number: int) -> int:
        return number % self.simulation.daemons

    @rule(seconds=st.floats(0.05, 1.0))
    def wait(self, seconds: float) -> None:
        self.simulation.run(seconds)

    @rule(seconds=st.floats(1.5, 3.0))
    def wait_for_terms_to_end(self, seconds: float) -> None:
        self.simulation.run(seconds)

    @rule(number=NUMBERS, seconds=st.floats(0.1, 6.0))
    def pause(self, number: int, seconds: float) -> None:
        self.simulation.pause(self.pick(number), seconds)

    @rule(number=NUMBERS, part=st.integers(0, 2))
    def cut_from_peers(self, number: int, part: int) -> None:
        self.simulation.parts[self.pick(number)] = part

    @rule()
    def join_parts(self) -> None:
        self.simulation.parts.clear()

    @rule(loss=st.sampled_from((0.0, 0.1, 0.4)), duplicates=st.sampled_from((0.0, 0.3)))
    def lose_messages(self, loss: float, duplicates: float) -> None:
        self.simulation.loss = loss
        self.simulation.duplicates = duplicates

    @rule(seconds=st.sampled_from((0.01, 0.2, 1.5)))
    def delay_messages(self, seconds: float) -> None:
        self.simulation.longest_delay_s = seconds

    def teardown(self) -> None:
        if not self.checks_recovery or not hasattr(self, "simulation"):
            return
        for number in range(self.simulation.daemons):
            self.simulation.set_backend(number, True)
        self.simulation.heal()
        self.simulation.run(RECOVERY_S)
        self.simulation.check_all_served()


class OwnershipMachine(TakeoverMachine):
    """Faults of every kind, in any order and together."""

    @rule(down=st.booleans(), append_loss=st.sampled_from((0.0, 0.0, 0.3)))
    def set_log(self, down: bool, append_loss: float) -> None:
        self.simulation.log_down = down
        self.simulation.append_loss = append_loss

    @rule(number=NUMBERS, cut=st.booleans())
    def cut_from_log(self, number: int, cut: bool) -> None:
        (self.simulation.cut_from_log.add if cut else self.simulation.cut_from_log.discard)(
            self.pick(number)
        )

    @rule(number=NUMBERS)
    def kill(self, number: int) -> None:
        self.simulation.kill(self.pick(number))

    @rule(number=NUMBERS)
    def restart(self, number: int) -> None:
        self.simulation.start(self.pick(number))

    @rule(number=NUMBERS, seconds=st.floats(1.0, 6.0))
    def replace(self, number: int, seconds: float) -> None:
        self.simulation.replace(self.pick(number), seconds)

    @rule(number=NUMBERS)
    def leave(self, number: int) -> None:
        self.simulation.leave(self.pick(number))

    @rule(number=NUMBERS, present=st.booleans())
    def set_backend(self, number: int, present: bool) -> None:
        self.simulation.set_backend(self.pick(number), present)

    @rule(number=NUMBERS, domains=st.sets(st.sampled_from(DOMAINS), max_size=1))
    def publish_domains_out(self, number: int, domains: set[str]) -> None:
        self.simulation.publish_domains_out(self.pick(number), tuple(sorted(domains)))

    @rule()
    def heal(self) -> None:
        self.simulation.heal()


def test_a_slice_has_one_owner() -> None:
    run_state_machine_as_test(OwnershipMachine, settings=SETTINGS)


class CountsFromAnswer(Membership):
    """Broken: the lease starts when the grant arrives instead of when the request is sent."""

    def receive(self, message: Message, reply_address: str, now: float) -> list[Effect]:
        if isinstance(message, Granted) and message.sequence in self._renewals_sent_at:
            self._renewals_sent_at[message.sequence] = now
        return super().receive(message, reply_address, now)


class IgnoresReleases(Membership):
    """Broken: serves a slice before its earlier owners have released it."""

    def serves_slice(self, ref: SliceRef, now: float) -> bool:
        return self.owns_slice(ref) and self.holds_lease(now)


class PromisesAfterVote(Membership):
    """Broken: a witness that has voted promises again."""

    def __attrs_post_init__(self) -> None:
        self.witness_state = _RepromisingWitness(self.timing)


class _RepromisingWitness(WitnessState):
    def renew(self, holder: MemberRef, now: float) -> bool:
        self.promises.pop(holder, None)
        return super().renew(holder, now)


class VotesEarly(Membership):
    """Broken: a witness votes before its promise has ended."""

    def __attrs_post_init__(self) -> None:
        self.witness_state = _EarlyVotingWitness(self.timing)


class _EarlyVotingWitness(WitnessState):
    def has_lapsed(self, holder: MemberRef, now: float) -> bool:
        return super().has_lapsed(
            holder, now + self.timing.term_s - 2 * self.timing.renew_interval_s
        )


class VotesAtStart(Membership):
    """Broken: a new process does not wait for the promises of its predecessor to end."""

    def __attrs_post_init__(self) -> None:
        self.witness_state = _NoInitialPromiseWitness(self.timing)


class _NoInitialPromiseWitness(WitnessState):
    def watch(self, holder: MemberRef, now: float) -> None:
        self.promises.setdefault(holder, Promise(now - self.timing.grace_s))


@pytest.mark.parametrize(
    ("broken", "machine"),
    [
        (CountsFromAnswer, TakeoverMachine),
        (PromisesAfterVote, TakeoverMachine),
        (VotesEarly, TakeoverMachine),
        (IgnoresReleases, OwnershipMachine),
        (VotesAtStart, OwnershipMachine),
    ],
)
def test_the_checker_catches_a_broken_membership(
    broken: type[Membership], machine: type[TakeoverMachine]
) -> None:
    class BrokenMachine(machine):  # type: ignore[misc, valid-type]
        make_membership = staticmethod(broken)
        append_loss = 0.5 if broken is PromisesAfterVote else 0.0
        longest_delay_s = 1.0 if broken is CountsFromAnswer else 0.01
        checks_recovery = False

    with pytest.raises(OwnershipError):
        run_state_machine_as_test(
            BrokenMachine, settings=settings(SETTINGS, max_examples=BROKEN_EXAMPLES)
        )
