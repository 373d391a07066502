"""Slow start: the ramp by which a cold backend server gets more concurrent requests.

A level is the number of requests that may run at the same time. Every backend server counts as cold
until its own completions have shown otherwise. While cold, it starts at a low level and reaches the
next one after enough completions with usual latency that used the whole level. When its latency
steps up, it is probed at the lowest level to tell two causes apart: with usual latency there, it
was overloaded, so it is cold; with high latency even there, it is slow for another reason, and less
load would not make it faster.
"""

from __future__ import annotations

from typing import TypeAlias

import attrs

COLD_LEVEL = 1
COMPLETIONS_PER_LEVEL = 12
MAX_COMPLETIONS_PER_LEVEL = 192
USUAL_PROBES_TO_LOWER_LEVEL = 2
SLOW_PROBES_TO_RAISE_BASELINE = 1


@attrs.frozen
class Ramping:
    """The backend server counts as cold.

    Parameters
    ----------
    needed
        Completions that this level requires.
    seen
        Completions counted at this level so far.
    """

    level: int
    needed: int = COMPLETIONS_PER_LEVEL
    seen: int = 0


@attrs.frozen
class Warm:
    """The backend server may run as many requests as it has slots."""


@attrs.frozen
class Doubted:
    """The backend server is being probed at the lowest level, because its latency stepped up.

    Parameters
    ----------
    previous
        State before the probing.
    usual, slow
        Probes that completed with usual and with slow latency so far.
    """

    previous: Ramping | Warm
    usual: int = 0
    slow: int = 0


RampState: TypeAlias = Ramping | Doubted | Warm


@attrs.define
class Ramp:
    """Limits the concurrent requests of one backend server by its completions.

    Parameters
    ----------
    slots
        Level at which it counts as warm.
    generation
        Incremented by each state change except a step up; completions of requests that were started
        in an earlier generation are not counted.
    """

    slots: int
    state: RampState = attrs.field(factory=lambda: Ramping(COLD_LEVEL))
    generation: int = 0

    @property
    def level(self) -> int:
        """Requests that may run at the same time."""
        match self.state:
            case Ramping(level=level):
                return level
            case Doubted():
                return COLD_LEVEL
            case Warm():
                return self.slots

    def turn_cold(self) -> None:
        """Return to the lowest level, because of a restart or lost connections."""
        self._enter(Ramping(COLD_LEVEL))

    def start_probing(self) -> bool:
        """Start probing, because all requests are slow, unless probing has started already.

        Return True at the lowest level instead: probing would show nothing there, so the present
        latency is the new baseline.
        """
        if isinstance(self.state, Doubted):
            return False
        if self.level == COLD_LEVEL:
            return True
        self._enter(Doubted(self.state))
        return False

    def is_representative(self, generation: int) -> bool:
        """Return whether completions of a generation show the usual latency."""
        return generation == self.generation and not isinstance(self.state, Doubted)

    def record_completed(self, slow: bool, took_last_slot: bool) -> bool:
        """Count a completion of the current generation.

        Return whether a probe has shown that the slower latency is the new baseline.

        Parameters
        ----------
        slow
            Whether its latency was far above the usual one.
        took_last_slot
            Whether its request took the last free slot of the level.
        """
        match self.state:
            case Doubted() as state:
                return self._count_probe(state, slow)
            case Ramping() as state if took_last_slot and not slow:
                self._count_full_level(state)
        return False

    def _count_probe(self, state: Doubted, slow: bool) -> bool:
        state = attrs.evolve(state, slow=state.slow + slow, usual=state.usual + (not slow))
        self.state = state
        if state.slow >= SLOW_PROBES_TO_RAISE_BASELINE:
            self._enter(state.previous)
            return True
        if state.usual >= USUAL_PROBES_TO_LOWER_LEVEL:
            self._enter(_lower(state.previous))
        return False

    def _count_full_level(self, state: Ramping) -> None:
        """Count a completion that used the whole level; double the level after enough of them."""
        state = attrs.evolve(state, seen=state.seen + 1)
        if state.seen >= state.needed:
            state = Ramping(2 * state.level, max(COMPLETIONS_PER_LEVEL, state.needed // 2))
        self.state = Warm() if state.level >= self.slots else state

    def _enter(self, state: RampState) -> None:
        self.state = state
        self.generation += 1


def _lower(state: Ramping | Warm) -> Ramping:
    """Return the state after a level that overloaded the backend server."""
    match state:
        case Warm():
            return Ramping(COLD_LEVEL)
        case Ramping(level=level, needed=needed):
            lower = max(COLD_LEVEL, level // 2)
            return Ramping(lower, min(2 * needed, MAX_COMPLETIONS_PER_LEVEL))
