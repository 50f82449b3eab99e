"""Admission of new programs to a service.

Load pattern: a burst brings several times the programs that the servers can run. If all
are admitted, each turn of each program waits, and all programs end after their time. If
some are refused at once, the others end in time, and the refused ones may come back.

A program is refused only while servers really queue, and only if its time cannot hold
what it needs by a clear margin: the time on idle servers, plus the present wait for a
slot once for each turn. Turns of running programs are never refused. A slow server is
no reason for a refusal: work that is put off in a burst comes back into the burst.

Limits of the wait, from the last to be refused to the first: callers that were refused
before, new programs, parties above their fair share of the starts. The limits only
order the callers that compete; with free slots or unknown load everything starts.

Relays decide at the same time from the same observations. Each relay therefore assumes
that for each program that it has started since the observations were made, the others
have started as many as corresponds to their share of the requests. All relays together
then start at most the room that the observations show, plus one program for each relay.
The rule uses only what a relay itself sees, so that no lost message can disable it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import islice
from typing import Final, NamedTuple

from .fair_shares import FairShares
from .fleet import ServerState
from .need import Refuse, RequestNeed, Wait
from .occupancy import (
    MIN_AGE_S,
    NoSharedLoads,
    Occupancy,
    SharedLoads,
    TurnTimes,
    observe,
)

# Time for a whole program as a multiple of its time on idle servers. Callers' targets
# are 1.3 to 1.6 times that time.
TARGET_FACTOR: Final = 1.5
# A program is refused if its predicted end exceeds its time by this factor. A program
# that ends after twice its time has no value; the wait of later turns may be shorter
# than the present one.
MARGIN: Final = 1.1
# Limits of the wait as fractions of the longest one with which a program is predicted
# to end within its time and the margin. With the lowest, the predicted end is the time
# itself. Servers are always busy at each of them, so the order costs no throughput.
RETURNING_LEVEL: Final = 1.0
NEW_LEVEL: Final = 0.9
OVER_SHARE_LEVEL: Final = 0.75
# The limit of a kind as a fraction of that of a more urgent one that was refused.
LESS_URGENT_LEVEL: Final = 0.9
# Longest wait before a decision, as a fraction of the route's target latency and of the
# time that the request has left. Waiting uses up the time of the program, so only a
# short excess is waited for.
WAIT_FRACTION: Final = 0.1
# Fraction of a relay's part of the capacity that parties without a recent start get in
# spite of a long wait, so that none starves.
STARVED_FRACTION: Final = 0.1
# Callers honour Retry-After up to this fraction of the time that they have left.
MAX_RETRY_FRACTION: Final = 1 / 3
# Shortest Retry-After: about a round trip and a new connection.
MIN_RETRY_S: Final = 0.05
# Retry-After where no rate is known.
DEFAULT_RETRY_S: Final = 0.2
# Retry-After varies at random by this fraction in both directions, so that callers that
# were refused together do not come back together.
RETRY_SPREAD: Final = 0.25
# Time in seconds for which a refusal of a more urgent kind limits the less urgent ones:
# longer than the time between two arrivals of a kind at a relay during a burst.
RANK_MEMORY_S: Final = 1.0
# A service has stopped refusing after this time in seconds without a refusal.
REFUSING_S: Final = 2.0
# Programs are forgotten after this time in seconds without a request, twice the longest
# target of a program; and the maximum number of programs, a few megabytes.
PROGRAM_MEMORY_S: Final = 30.0
MAX_PROGRAMS: Final = 20_000
# Turns that are assumed for a program of an unknown kind, and the shortest time of a
# turn in seconds.
ASSUMED_TURNS: Final = 4.0
MIN_TURN_S: Final = 0.001
SPREAD_STEPS: Final = 1_000


class Party(NamedTuple):
    """Who competes with others for the starts of programs.

    Attributes
    ----------
    name : str
        A customer, or a kind of request where no customers are configured.
    weight : float
        Weight of its fair share.
    has_rank : bool
        Whether less urgent parties may not be served better than this one.
    """

    name: str
    weight: float = 1.0
    has_rank: bool = True


class _ProgramTime(NamedTuple):
    """Predicted needs of a program.

    Attributes
    ----------
    need_s : float
        Seconds that it takes on idle servers.
    turns : float
        Number of its turns.
    turn_s : float
        Seconds for a turn that does not wait.
    finish_s : float
        Seconds until it should be finished.
    """

    need_s: float
    turns: float
    turn_s: float
    finish_s: float

    @property
    def max_wait_s(self) -> float:
        """Longest wait per turn that the program's time can hold."""
        return (MARGIN * self.finish_s - self.need_s) / self.turns


class _Refused(NamedTuple):
    """A program that was refused here."""

    finish_s: float
    at: float


class _RankLimit(NamedTuple):
    limit_s: float
    at: float
    is_starved: bool


class _ServiceState:
    """What admission knows of one service."""

    def __init__(self) -> None:
        self.times: dict[str, TurnTimes] = {}
        self.fair_shares = FairShares()
        self.starts: deque[float] = deque(maxlen=MAX_PROGRAMS)
        # Heap of the times at which refused callers are to come back.
        self.due_times: list[float] = []
        self.rank_limits: dict[int, _RankLimit] = {}
        self.last_exception_at: float | None = None
        self.last_refusal_at = float("-inf")

    def times_of(self, kind: str) -> TurnTimes:
        """Return the times of a kind of request."""
        return self.times.setdefault(kind, TurnTimes())

    def withdraw_start(self) -> None:
        """Remove a recent start; the latest one stands for it."""
        if self.starts:
            self.starts.pop()

    def count_due(self, now: float) -> int:
        """Return the number of refused callers that are still to come back."""
        while self.due_times and self.due_times[0] <= now:
            heappop(self.due_times)
        return len(self.due_times)

    def starts_within(self, seconds: float, now: float) -> int:
        """Return the number of programs started here in the last seconds."""
        count = 0
        for started_at in reversed(self.starts):
            if now - started_at > seconds:
                break
            count += 1
        return count


class Admission:
    """Decides which programs may start.

    Parameters
    ----------
    shared : SharedLoads or None
        Source of the load of other relays; None if relays share none.
    """

    def __init__(self, shared: SharedLoads | None = None) -> None:
        self._shared = shared or NoSharedLoads()
        self._services: dict[str, _ServiceState] = {}
        self._programs: dict[str, float] = {}
        self._turn_ends: dict[str, float] = {}
        self._refused: dict[str, _Refused] = {}

    def decide(
        self,
        need: RequestNeed,
        party: Party,
        states: list[ServerState],
        randbelow: Callable[[int], int],
        now: float,
        *,
        waited_s: float = 0.0,
        max_wait_s: float = 0.0,
    ) -> Wait | Refuse | None:
        """Decide whether a request may start now.

        Parameters
        ----------
        need : RequestNeed
            The request.
        party : Party
            Who competes for the start if this is a new program.
        states : list of ServerState
            Servers that may get new requests of the service.
        randbelow : callable
            Returns a random integer below its argument.
        waited_s : float
            Seconds for which this request has waited already.
        max_wait_s : float
            Longest wait in seconds. A request with little time left waits less.

        Returns
        -------
        Wait, Refuse or None
            None if it may start.
        """
        if not self._is_new(need):
            self.record_request(need, now)
            return None
        service = self._service(need.service)
        is_repeated = waited_s > 0.0 or need.program in self._refused
        service.fair_shares.record_demand(
            party.name, party.weight, now, is_repeated=is_repeated
        )
        wait_left_s = min(max_wait_s - waited_s, WAIT_FRACTION * need.remaining_s)
        verdict = self._decide_new(need, party, states, randbelow, now, wait_left_s)
        if verdict is None:
            self._record_start(need, party, now)
        elif isinstance(verdict, Refuse):
            self._record_refusal(need, verdict, now)
        return verdict

    def is_known(self, need: RequestNeed) -> bool:
        """Return whether a request belongs to a running program."""
        return not self._is_new(need)

    def knows_program(self, program: str) -> bool:
        """Return whether this relay has served requests of a program lately."""
        return program in self._programs

    def is_refusing(self, service: str, now: float) -> bool:
        """Return whether programs of a service were refused recently."""
        state = self._services.get(service)
        return state is not None and now - state.last_refusal_at <= REFUSING_S

    def retry_after_s(
        self,
        need: RequestNeed,
        states: list[ServerState],
        randbelow: Callable[[int], int],
        now: float,
    ) -> float:
        """Return when a turn that servers rejected may be sent again, in seconds."""
        occupancy = observe(states, self._shared, now)
        turn_s = self._service(need.service).times_of(need.kind).turn_s
        wait_s = 0.0
        if occupancy is not None:
            wait_s = _wait_s(occupancy, turn_s, 0)
        return _retry_after_s(wait_s or DEFAULT_RETRY_S, need, randbelow)

    # Decisions about new programs

    def _decide_new(
        self,
        need: RequestNeed,
        party: Party,
        states: list[ServerState],
        randbelow: Callable[[int], int],
        now: float,
        wait_left_s: float,
    ) -> Wait | Refuse | None:
        service = self._service(need.service)
        occupancy = observe(states, self._shared, now)
        if occupancy is None or not occupancy.is_queueing:
            return None
        program = self._program_time(need, service)
        starts = service.starts_within(max(MIN_AGE_S, occupancy.age_s), now)
        wait_s = _wait_s(occupancy, program.turn_s, starts)
        level = self._level(need, party, service, now)
        limit_s = level * program.max_wait_s
        if party.has_rank:
            limit_s = min(limit_s, _more_urgent_limit_s(service, need.rank, now))
        if wait_s <= max(0.0, limit_s):
            return None
        if self._may_start_starved(need, party, service, occupancy, program, now):
            service.last_exception_at = now
            return None
        if party.has_rank:
            is_starved = service.fair_shares.is_starved(party.name, now)
            service.rank_limits[need.rank] = _RankLimit(limit_s, now, is_starved)
        excess_s = wait_s - max(0.0, limit_s)
        if level > OVER_SHARE_LEVEL and excess_s <= wait_left_s:
            return Wait(excess_s)
        earlier_s = service.count_due(now) * _start_interval_s(occupancy, program)
        reason = (
            f"turns wait {wait_s:.2f} s for a server, "
            f"{max(0.0, limit_s):.2f} s would be in time"
        )
        return Refuse(reason, _retry_after_s(excess_s + earlier_s, need, randbelow))

    def _program_time(self, need: RequestNeed, service: _ServiceState) -> _ProgramTime:
        """Predict what a program needs.

        If the time of a turn is unknown, as after a restart, a program is assumed to
        have a few turns. Both the wait and its limit are proportional to that time, so
        it hardly changes the decision.
        """
        times = service.times_of(need.kind)
        turn_s = times.turn_s
        if turn_s <= 0:
            turn_s = (need.finish_s or need.remaining_s) / ASSUMED_TURNS
        turn_s = max(MIN_TURN_S, turn_s)
        if need.finish_s is None:
            # The time of the program is unknown; its first turn must be in time.
            return _ProgramTime(turn_s, 1.0, turn_s, need.remaining_s)
        refused = self._refused.get(need.program)
        first_finish_s = need.finish_s if refused is None else refused.finish_s
        need_s = first_finish_s / TARGET_FACTOR
        turns = max(1.0, need_s / (turn_s + times.pause_s))
        return _ProgramTime(need_s, turns, turn_s, need.finish_s)

    def _level(
        self, need: RequestNeed, party: Party, service: _ServiceState, now: float
    ) -> float:
        if service.fair_shares.is_over_share(party.name, now):
            return OVER_SHARE_LEVEL
        return RETURNING_LEVEL if need.program in self._refused else NEW_LEVEL

    def _may_start_starved(
        self,
        need: RequestNeed,
        party: Party,
        service: _ServiceState,
        occupancy: Occupancy,
        program: _ProgramTime,
        now: float,
    ) -> bool:
        """Return whether a party without starts gets one in spite of the wait."""
        if not service.fair_shares.is_starved(party.name, now):
            return False
        if party.has_rank and _more_urgent_starves(service, need.rank, now):
            return False
        if service.last_exception_at is None:
            # All relays notice a queue at the same time. Their first exceptions would
            # add up to more than the fraction.
            service.last_exception_at = now
        interval_s = _start_interval_s(occupancy, program) / STARVED_FRACTION
        return now - service.last_exception_at >= interval_s

    # Records

    def record_request(self, need: RequestNeed, now: float) -> None:
        """Record a turn of a running program."""
        if not need.program:
            return
        ended_at = self._turn_ends.pop(need.program, None)
        if ended_at is not None:
            times = self._service(need.service).times_of(need.kind)
            times.record_pause(now - ended_at)
        self._remember(need.program, now)

    def withdraw_start(self, need: RequestNeed, party: Party, now: float) -> None:
        """Record that a program did not run although it was allowed to start.

        Its quota or its budget may have refused it, or its caller may have left. If it
        comes back, it has been refused before.
        """
        service = self._service(need.service)
        service.withdraw_start()
        service.fair_shares.withdraw_start(party.name, now)
        self._programs.pop(need.program, None)
        self._turn_ends.pop(need.program, None)
        self._remember_refused(need, now)

    def record_tool_call(self, need: RequestNeed, now: float) -> None:
        """Record a tool call, which belongs to the pause between two turns."""
        if need.program:
            self._remember(need.program, now)

    def record_turn(
        self, need: RequestNeed, seconds: float, is_queued: bool, now: float
    ) -> None:
        """Record a complete turn.

        Parameters
        ----------
        seconds : float
            Time from sending the turn to a server to the end of the response.
        is_queued : bool
            Whether requests waited at that server.
        """
        times = self._service(need.service).times_of(need.kind)
        times.record_turn(seconds, is_queued)
        if need.program in self._programs:
            self._turn_ends[need.program] = now

    def _is_new(self, need: RequestNeed) -> bool:
        return need.is_new_program and need.program not in self._programs

    def _service(self, name: str) -> _ServiceState:
        return self._services.setdefault(name, _ServiceState())

    def _record_start(self, need: RequestNeed, party: Party, now: float) -> None:
        service = self._service(need.service)
        service.starts.append(now)
        service.fair_shares.record_start(party.name, now)
        self._refused.pop(need.program, None)
        if need.program:
            self._remember(need.program, now)

    def _record_refusal(self, need: RequestNeed, refuse: Refuse, now: float) -> None:
        service = self._service(need.service)
        service.last_refusal_at = now
        heappush(service.due_times, now + refuse.retry_after_s)
        self._remember_refused(need, now)

    def _remember_refused(self, need: RequestNeed, now: float) -> None:
        if not need.program:
            return
        previous = self._refused.pop(need.program, None)
        finish_s = previous.finish_s if previous else need.finish_s or need.remaining_s
        self._refused[need.program] = _Refused(finish_s, now)
        for program, refused in list(islice(self._refused.items(), 2)):
            if self._must_keep(now - refused.at, len(self._refused)):
                return
            del self._refused[program]

    def _remember(self, program: str, now: float) -> None:
        self._programs.pop(program, None)
        self._programs[program] = now
        # The least recently used come first. Two per request suffice to shrink.
        for known, used_at in list(islice(self._programs.items(), 2)):
            if self._must_keep(now - used_at, len(self._programs)):
                return
            del self._programs[known]
            self._turn_ends.pop(known, None)

    @staticmethod
    def _must_keep(age_s: float, count: int) -> bool:
        return age_s <= PROGRAM_MEMORY_S and count <= MAX_PROGRAMS


def _wait_s(occupancy: Occupancy, turn_s: float, starts: int) -> float:
    """Predict the wait of a turn for a slot in seconds.

    Parameters
    ----------
    starts : int
        Programs that this relay has started since the observations.
    """
    requests = occupancy.requests + starts / occupancy.own_share
    excess = max(0.0, requests - occupancy.slots)
    return excess * turn_s / occupancy.slots


def _start_interval_s(occupancy: Occupancy, program: _ProgramTime) -> float:
    """Seconds between two starts at this relay if servers are always busy."""
    slot_s = program.turns * program.turn_s
    return slot_s / (occupancy.slots * occupancy.own_share)


def _more_urgent_limit_s(service: _ServiceState, rank: int, now: float) -> float:
    """Return the limit from the more urgent kinds that were refused recently."""
    limits = (
        LESS_URGENT_LEVEL * limit.limit_s
        for other, limit in service.rank_limits.items()
        if other < rank and now - limit.at <= RANK_MEMORY_S
    )
    return min(limits, default=float("inf"))


def _more_urgent_starves(service: _ServiceState, rank: int, now: float) -> bool:
    return any(
        other < rank and limit.is_starved and now - limit.at <= RANK_MEMORY_S
        for other, limit in service.rank_limits.items()
    )


def _retry_after_s(
    seconds: float, need: RequestNeed, randbelow: Callable[[int], int]
) -> float:
    """Spread a Retry-After at random and bound it by the caller's time.

    A program whose time is over still has the time of its request. Without any time
    left, the shortest delay is returned, since a refusal states one in any case.
    """
    spread = 2.0 * randbelow(SPREAD_STEPS) / SPREAD_STEPS - 1.0
    left_s = need.remaining_s
    if need.finish_s:
        left_s = min(left_s, need.finish_s)
    if left_s <= 0:
        return MIN_RETRY_S
    longest_s = MAX_RETRY_FRACTION * left_s
    # The bound is spread too, so that long delays do not end at the same time.
    spread_longest_s = longest_s * (1.0 + RETRY_SPREAD * (spread - 1.0))
    seconds = max(MIN_RETRY_S, seconds * (1.0 + RETRY_SPREAD * spread))
    return min(seconds, spread_longest_s)
