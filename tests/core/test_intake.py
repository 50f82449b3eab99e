"""When new programs may begin, replayed before engines whose memory fills up."""

from __future__ import annotations

import random
from collections import OrderedDict
from typing import Final

import pytest

from wisteriastair.core.fleet import Fleet, Load, Server, ServerState
from wisteriastair.core.intake import (
    LOOK_AGAIN_S,
    MEMORY_SHARE,
    WAIT_MOST_S,
    Intake,
    longest_wait_s,
)

STEP_S: Final = 0.01
ENGINES: Final = 4
MEMORY: Final = 60_000
# Prompt tokens that an engine reads in a step, if it does nothing else.
READ_A_STEP: Final = 300.0
# Share of a step for decoding, shared by all that decode; events a turn.
DECODE_SHARE: Final = 0.4
DECODE_A_STEP: Final = 6.0
TOKENS_OUT: Final = 30.0
TURNS: Final = 6
PAUSE_S: Final = 0.8
FIRST_TOKENS: Final = 3_000
TURN_TOKENS: Final = 600
PLAYED_S: Final = 60.0
SEEDS: Final = range(1, 9)
BURST_S: Final = (5.0, 11.0)
USUAL_PER_S: Final = 3.0
BURST_PER_S: Final = 9.0


class Program:
    """A program of some turns with pauses; it stays on one engine."""

    def __init__(self, number: int, begins_s: float, engine: Engine) -> None:
        self.number = number
        self.begins_s = begins_s
        self.engine = engine
        self.turns = 0
        self.next_s = begins_s
        self.asked_s = 0.0
        self.to_read = 0.0
        self.to_write = 0.0

    @property
    def tokens(self) -> int:
        return FIRST_TOKENS + self.turns * TURN_TOKENS


class Engine:
    """Reads and decodes for all that run; what pauses stays while there is room."""

    def __init__(self) -> None:
        self.running: list[Program] = []
        self.cached: OrderedDict[int, int] = OrderedDict()
        self.read = 0.0

    def begin(self, program: Program) -> None:
        held = self.cached.pop(program.number, 0)
        program.to_read = program.tokens - held
        program.to_write = TOKENS_OUT
        self.read += program.to_read
        self.running.append(program)
        self._evict()

    def step(self) -> list[Program]:
        reading = [p for p in self.running if p.to_read > 0]
        decoding = [p for p in self.running if p.to_read <= 0]
        share = DECODE_SHARE if reading else 1.0
        if reading:
            reading[0].to_read -= READ_A_STEP * (1 - share if decoding else 1.0)
        for program in decoding:
            program.to_write -= DECODE_A_STEP * share / max(4, len(decoding))
        done = [p for p in decoding if p.to_write <= 0]
        for program in done:
            self.running.remove(program)
            if program.turns + 1 < TURNS:
                self.cached[program.number] = program.tokens
        self._evict()
        return done

    def _evict(self) -> None:
        used = sum(p.tokens for p in self.running)
        while self.cached and used + sum(self.cached.values()) > MEMORY:
            self.cached.popitem(last=False)


class Result:
    """What a replay showed."""

    def __init__(self) -> None:
        self.took: list[float] = []
        self.read = 0.0
        self.longest_wait_s = 0.0


def replay(*, waits: bool, seed: int) -> Result:
    """Play a burst of three times the usual programs."""
    draw = random.Random(seed)
    fleet = Fleet()
    engines = [Engine() for _ in range(ENGINES)]
    for number in range(ENGINES):
        fleet.put(Server(f"s{number}", "svc", "a:1", "d", 48, False, 0.0))
    states = fleet.usable("svc", 0.0)
    intake = Intake()
    waiting: list[Program] = []
    now, count, next_arrival = 0.0, 0, 0.0
    result = Result()
    while now < PLAYED_S:
        now += STEP_S
        while next_arrival < min(now, 40.0):
            engine = engines[count % ENGINES]
            waiting.append(Program(count, next_arrival, engine))
            count += 1
            in_burst = BURST_S[0] <= next_arrival < BURST_S[1]
            next_arrival += draw.expovariate(BURST_PER_S if in_burst else USUAL_PER_S)
        for state, engine in zip(states, engines, strict=True):
            state.take_load(Load(len(engine.running), 0, 48), now)
            for program in engine.step():
                program.turns += 1
                if program.turns < TURNS:
                    program.next_s = now + PAUSE_S
                    waiting.append(program)
                else:
                    result.took.append(now - program.begins_s)
        for program in [p for p in waiting if p.next_s <= now]:
            held_s = now - program.begins_s
            first = program.turns == 0
            may_wait = first and waits and held_s < WAIT_MOST_S
            if may_wait and not intake.has_room(states, MEMORY, now):
                program.next_s = now + LOOK_AGAIN_S
                continue
            if first:
                result.longest_wait_s = max(result.longest_wait_s, held_s)
            waiting.remove(program)
            intake.note(program.tokens)
            program.engine.begin(program)
    result.read = sum(engine.read for engine in engines)
    return result


def test_a_burst_does_not_push_programs_out_of_the_engines_memory() -> None:
    """Three times the usual programs begin for six seconds.

    Running turns fill the engines' memory, and programs that come back from a tool have
    to be read again from the start, for long after the burst.  If first turns wait a
    little, callers of all programs are answered sooner.
    """
    all_with, all_without = 0.0, 0.0
    for seed in SEEDS:
        with_waits = replay(waits=True, seed=seed)
        without = replay(waits=False, seed=seed)
        assert with_waits.read <= without.read
        assert sum(with_waits.took) <= sum(without.took)
        assert len(with_waits.took) >= len(without.took)
        assert with_waits.longest_wait_s < WAIT_MOST_S + 2 * LOOK_AGAIN_S
        all_with += sum(with_waits.took)
        all_without += sum(without.took)
    assert all_with < 0.9 * all_without


def loaded(count: int, running: int, at: float) -> list[ServerState]:
    states = []
    for number in range(count):
        state = ServerState(Server(f"s{number}", "svc", "a:1", "d", 48, False, 0.0))
        state.take_load(Load(running, 0, 48), at)
        states.append(state)
    return states


def test_room_is_what_running_requests_leave_of_the_memory() -> None:
    intake = Intake()
    intake.note(5_000)
    just_full = int(MEMORY_SHARE * 100_000 / 5_000)
    assert intake.has_room(loaded(3, just_full - 1, 10.0), 100_000, 10.1)
    assert not intake.has_room(loaded(3, just_full, 10.0), 100_000, 10.1)


def test_what_is_not_known_keeps_nobody_waiting() -> None:
    """Reports are old or missing, or the operators name no memory."""
    intake = Intake()
    full = loaded(3, 48, 10.0)
    assert intake.has_room(full, 100_000, 10.1)
    intake.note(5_000)
    assert not intake.has_room(full, 100_000, 10.1)
    assert intake.has_room(full, 100_000, 15.0)
    assert intake.has_room(full, 0, 10.1)
    assert intake.has_room([], 100_000, 10.1)
    unknown = [ServerState(s.server) for s in full] * 3
    assert intake.has_room(full[:1] + unknown, 100_000, 10.1)


@pytest.mark.parametrize(
    ("left_s", "most_s"), [(-1.0, 0.0), (0.3, 0.1), (30.0, WAIT_MOST_S)]
)
def test_nobody_waits_long(left_s: float, most_s: float) -> None:
    assert longest_wait_s(left_s) == pytest.approx(most_s)
