"""Priority of a turn at an engine, from the time that its program has left.

Load pattern: engines run requests of several ranks and programs of many lengths. In a
burst, requests wait at engines. In order of arrival, the wait is the same for programs
with plenty of time and for those that are about to lose their value.

Within its rank, the program goes first whose time left is the smallest multiple of what
it still needs. A late program goes first, since it has some value until twice its
target time, and none after that. Ranks never cross. The ranks in use at a service are
read from the configuration, so all relays with the same configuration use the same
priorities for a rank.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import OrderedDict
from functools import lru_cache
from typing import Final, NamedTuple

# Priorities of engines: 0 (first) to 9.
PRIORITIES: Final = 10
# Programs whose time left is below the first multiple of their need go first: they will
# be late. Programs above the second one go last: targets are 1.3 to 1.6 times the time
# on idle servers, so these have lost no time yet.
MIN_SLACK: Final = 0.9
MAX_SLACK: Final = 1.6
# The need of a turn is the time that this fraction of turns does not exceed: the time
# without a wait at the engine. With the mean, a queue would make all programs look as
# if they could not end in time.
TURN_QUANTILE: Final = 0.25
PAUSE_QUANTILE: Final = 0.5
# Step of a quantile estimate, as a fraction of its value. Fifty turns correct an
# estimate by a factor of two.
QUANTILE_STEP: Final = 0.05
# Weight of an ended program in the moving average of its kind.
TURNS_WEIGHT: Final = 0.1
# Seconds without a turn after which a program counts as ended; pauses between turns
# take less than a second.
PROGRAM_IDLE_S: Final = 6.0
# Maximum number of programs and kinds; the least recently seen programs are evicted.
MAX_PROGRAMS: Final = 4096
MAX_KINDS: Final = 256
MIN_SECONDS: Final = 1e-4


class Band(NamedTuple):
    """Priorities of a rank: the first one, and their number."""

    first: int
    width: int


@lru_cache(maxsize=256)
def rank_bands(ranks: frozenset[int]) -> dict[int, Band]:
    """Return the priorities of each rank in use.

    With more than half as many ranks as priorities, each rank is its own priority.
    """
    count = len(ranks)
    if count == 0 or PRIORITIES // count < 2:
        return {rank: Band(min(PRIORITIES - 1, rank), 1) for rank in ranks}
    width = PRIORITIES // count
    return {rank: Band(n * width, width) for n, rank in enumerate(sorted(ranks))}


def engine_priority(band: Band, left_s: float | None, need_s: float | None) -> int:
    """Return the priority of a turn, 0 first.

    Parameters
    ----------
    left_s : float or None
        Seconds until the program should end; None if not stated.
    need_s : float or None
        Seconds that the program still needs; None if unknown.
    """
    return band.first + _step(band.width, left_s, need_s)


def _step(width: int, left_s: float | None, need_s: float | None) -> int:
    if left_s is None or need_s is None:
        return (width - 1) // 2
    slack = left_s / max(MIN_SECONDS, need_s)
    return bisect_right(_slack_limits(width), slack)


@lru_cache(maxsize=PRIORITIES)
def _slack_limits(width: int) -> tuple[float, ...]:
    """Return the limits between the steps of a rank, in equal ratios."""
    ratio = MAX_SLACK / MIN_SLACK
    if width <= 2:
        return (MIN_SLACK * ratio**0.5,) * (width - 1)
    return tuple(MIN_SLACK * ratio ** (n / (width - 2)) for n in range(width - 1))


class _Quantile:
    """Running estimate of a quantile."""

    def __init__(self, fraction: float) -> None:
        self.value = 0.0
        self._fraction = fraction

    def add(self, sample: float) -> None:
        """Add a sample."""
        sample = max(MIN_SECONDS, sample)
        if self.value == 0.0:
            self.value = sample
        elif sample > self.value:
            self.value *= 1.0 + QUANTILE_STEP * self._fraction
        else:
            self.value *= 1.0 - QUANTILE_STEP * (1.0 - self._fraction)


class _KindNeeds:
    """What programs of a kind need."""

    def __init__(self) -> None:
        self.turns = 0.0
        self.output_tokens = 0.0
        self.token_s = _Quantile(TURN_QUANTILE)
        self.pause_s = _Quantile(PAUSE_QUANTILE)


class _ProgramTurns:
    """Turns of a program that this process has served.

    Attributes
    ----------
    is_whole : bool
        Whether the first one was among them.
    """

    def __init__(self, kind: str, now: float, *, is_whole: bool) -> None:
        self.kind = kind
        self.is_whole = is_whole
        self.turns = 0
        self.ended_at: float | None = None
        self.last_seen_at = now


class ProgramNeeds:
    """Learns what programs of each kind need, from the turns of this process."""

    def __init__(self) -> None:
        self._kinds: dict[str, _KindNeeds] = {}
        # Ordered by last turn, most recent last.
        self._programs: OrderedDict[str, _ProgramTurns] = OrderedDict()

    def need_s(self, kind: str, program: str, output_tokens: int) -> float | None:
        """Return the seconds that a program needs from the start of this turn on.

        A program whose first turn this process has not seen is assumed to be halfway.

        Returns
        -------
        float or None
            None if no turn of this kind has ended yet.
        """
        needs = self._kinds.get(kind)
        if needs is None or needs.token_s.value == 0.0:
            return None
        known = self._programs.get(program)
        turns_done = needs.turns / 2
        if known is not None and known.is_whole:
            turns_done = known.turns
        later_turns = max(0.0, needs.turns - turns_done - 1.0)
        later_turn_s = needs.token_s.value * needs.output_tokens + needs.pause_s.value
        this_turn_s = needs.token_s.value * max(1, output_tokens)
        return this_turn_s + later_turns * later_turn_s

    def record_start(
        self, kind: str, program: str, now: float, *, is_first: bool
    ) -> None:
        """Record that a turn has arrived.

        Parameters
        ----------
        is_first : bool
            Whether it may be the program's first turn.
        """
        self._expire(now)
        if not program:
            return
        known = self._programs.get(program)
        if known is None:
            known = _ProgramTurns(kind, now, is_whole=is_first)
            self._programs[program] = known
        else:
            self._programs.move_to_end(program)
            known.last_seen_at = now
        if known.ended_at is not None:
            self._kind(kind).pause_s.add(now - known.ended_at)
            known.ended_at = None

    def record_end(
        self, kind: str, program: str, output_tokens: int, seconds: float, now: float
    ) -> None:
        """Record a complete turn and the seconds that its server took."""
        needs = self._kind(kind)
        tokens = max(1, output_tokens)
        needs.token_s.add(seconds / tokens)
        weight = TURNS_WEIGHT if needs.output_tokens else 1.0
        needs.output_tokens += weight * (tokens - needs.output_tokens)
        known = self._programs.get(program)
        if known is not None:
            known.turns += 1
            known.ended_at = now
            known.last_seen_at = now
            self._programs.move_to_end(program)

    def _kind(self, kind: str) -> _KindNeeds:
        needs = self._kinds.get(kind)
        if needs is None:
            needs = _KindNeeds()
            if len(self._kinds) < MAX_KINDS:
                self._kinds[kind] = needs
        return needs

    def _expire(self, now: float) -> None:
        while self._programs:
            name, oldest = next(iter(self._programs.items()))
            is_idle = now - oldest.last_seen_at > PROGRAM_IDLE_S
            if not is_idle and len(self._programs) < MAX_PROGRAMS:
                return
            del self._programs[name]
            # A program that broke off in a turn needed more turns.
            if is_idle and oldest.is_whole and oldest.ended_at is not None:
                needs = self._kind(oldest.kind)
                weight = TURNS_WEIGHT if needs.turns else 1.0
                needs.turns += weight * (oldest.turns - needs.turns)
