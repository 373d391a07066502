"""The ramp by which a cold backend server gets more work.

Every backend server counts as cold until its own completions have shown otherwise. While cold it
gets a few requests at a time; each level is passed by completions that filled it and whose latency
was usual. A latency step sends it to the lowest level, where the next completions tell two causes
apart: with usual latency at the lowest level it could not bear the load, so it is cold; with high
latency even there it is slow by itself, and less work would not make it faster.
"""

from __future__ import annotations

from typing import TypeAlias

import attrs

COLD_LEVEL = 1
COMPLETIONS_PER_LEVEL = 12
MAX_COMPLETIONS_PER_LEVEL = 192
USUAL_PROBES_TO_LOWER = 2
SLOW_PROBES_TO_ACCEPT = 1


@attrs.frozen
class Ramping:
    """Taken for cold.

    Parameters
    ----------
    needed
        Completions that this level takes.
    seen
        Completions at this level so far.
    """

    level: int
    needed: int = COMPLETIONS_PER_LEVEL
    seen: int = 0


@attrs.frozen
class Warm:
    """Bears its slots."""


@attrs.frozen
class Doubted:
    """Runs a few requests one at a time to see why its latency stepped up.

    Parameters
    ----------
    previous
        State before the step.
    usual, slow
        Completions of either latency among the requests started since.
    """

    previous: Ramping | Warm
    usual: int = 0
    slow: int = 0


RampState: TypeAlias = Ramping | Doubted | Warm


@attrs.define
class Ramp:
    """Bounds the work of one backend server by what it was seen to bear.

    Parameters
    ----------
    slots
        Level at which it counts as warm.
    generation
        Grows with each change of state but a climb; completions of earlier starts prove nothing.
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
        """Start over, because the backend server was restarted or lost its connections."""
        self._enter(Ramping(COLD_LEVEL))

    def start_probing(self) -> bool:
        """Note that all requests are slow; return whether that is usual at the lowest level."""
        if isinstance(self.state, Doubted):
            return False
        if self.level == COLD_LEVEL:
            return True
        self._enter(Doubted(self.state))
        return False

    def is_representative(self, generation: int) -> bool:
        """Return whether completions of a generation show what is usual."""
        return generation == self.generation and not isinstance(self.state, Doubted)

    def note_completed(self, slow: bool, filled: bool) -> bool:
        """Count a completion while probing or ramping; return whether all is slower now.

        Parameters
        ----------
        slow
            Whether its latency was far above the usual one.
        filled
            Whether it took the last free place of the level.
        """
        match self.state:
            case Doubted() as state:
                return self._count_probe(state, slow)
            case Ramping() as state if filled and not slow:
                self._count_filled(state)
        return False

    def _count_probe(self, state: Doubted, slow: bool) -> bool:
        state = attrs.evolve(state, slow=state.slow + slow, usual=state.usual + (not slow))
        self.state = state
        if state.slow >= SLOW_PROBES_TO_ACCEPT:
            self._enter(state.previous)
            return True
        if state.usual >= USUAL_PROBES_TO_LOWER:
            self._enter(_lower(state.previous))
        return False

    def _count_filled(self, state: Ramping) -> None:
        state = attrs.evolve(state, seen=state.seen + 1)
        if state.seen >= state.needed:
            state = Ramping(2 * state.level, max(COMPLETIONS_PER_LEVEL, state.needed // 2))
        self.state = Warm() if state.level >= self.slots else state

    def _enter(self, state: RampState) -> None:
        self.state = state
        self.generation += 1


def _lower(state: Ramping | Warm) -> Ramping:
    """Return where to climb from after a level that was not borne."""
    match state:
        case Warm():
            return Ramping(COLD_LEVEL)
        case Ramping(level=level, needed=needed):
            lower = max(COLD_LEVEL, level // 2)
            return Ramping(lower, min(2 * needed, MAX_COMPLETIONS_PER_LEVEL))
