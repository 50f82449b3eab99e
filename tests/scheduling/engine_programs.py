"""Simulation of programs at engines with slots, in virtual time.

Each engine runs a fixed number of turns. Waiting turns start in the order of their
priority, then of their arrival. A more urgent turn replaces the least urgent running
one, which starts again later.
"""

from __future__ import annotations

import heapq
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from itertools import count
from typing import NamedTuple

from wisteriastair.scheduling.urgency import (
    ProgramNeeds,
    engine_priority,
    rank_bands,
)


class ProgramKind(NamedTuple):
    """A kind of programs: its load, its target and its value.

    Attributes
    ----------
    per_s : float
        New programs per second.
    pause_s, turn_s : float
        Seconds between turns, and of a turn without a wait.
    target_factor, target_extra_s : float
        Target time as a multiple of the time without waits, plus seconds.
    on_time, late : float
        Value of a program that ends within its target, or within twice its target.
    """

    name: str
    rank: int
    per_s: float
    turns: int
    pause_s: float
    turn_s: float
    target_factor: float
    target_extra_s: float
    on_time: float
    late: float


KINDS = (
    ProgramKind("talk", 0, 7.0, 4, 0.02, 0.25, 1.6, 0.271, 5.8, 0.7),
    ProgramKind("agent", 2, 2.2, 9, 0.06, 0.35, 1.5, 0.521, 5.1, 2.3),
)
OUTPUT_TOKENS = 264


class Priorities(ABC):
    """How turns get their priority at engines."""

    @abstractmethod
    def start(self, program: Program, now: float) -> int:
        """Return the priority of the program's next turn."""

    @abstractmethod
    def end(self, program: Program, seconds: float, now: float) -> None:
        """Record the end of a turn."""


class ByRank(Priorities):
    """The priority is the rank."""

    def start(self, program: Program, now: float) -> int:
        return program.kind.rank

    def end(self, program: Program, seconds: float, now: float) -> None:
        """Record nothing."""


class BySlack(Priorities):
    """The priority is computed by one of several relays from the program's slack.

    Parameters
    ----------
    relays : int
        Number of relays. A program stays at its relay with a probability of 0.9.
    knows_finish : bool
        Whether callers state the time that the program has left.
    """

    def __init__(self, seed: int, relays: int = 4, *, knows_finish: bool = True):
        self.used: dict[int, set[int]] = {}
        self._random = random.Random(seed)
        self._relays = [ProgramNeeds() for _ in range(relays)]
        self._knows_finish = knows_finish
        self._bands = rank_bands(frozenset(kind.rank for kind in KINDS))

    def start(self, program: Program, now: float) -> int:
        if self._random.random() < 0.1 or program.relay < 0:
            program.relay = self._random.randrange(len(self._relays))
        needs = self._relays[program.relay]
        kind = program.kind
        needs.record_start(
            kind.name, program.name, now, is_first=program.turns_done == 0
        )
        need_s = needs.need_s(kind.name, program.name, OUTPUT_TOKENS)
        left_s = max(0.0, program.ends_by - now) if self._knows_finish else None
        priority = engine_priority(self._bands[kind.rank], left_s, need_s)
        self.used.setdefault(kind.rank, set()).add(priority)
        return priority

    def end(self, program: Program, seconds: float, now: float) -> None:
        self._relays[program.relay].record_end(
            program.kind.name, program.name, OUTPUT_TOKENS, seconds, now
        )


class Program:
    """A program of the simulation."""

    def __init__(self, name: str, kind: ProgramKind, rng: random.Random, now: float):
        self.name = name
        self.kind = kind
        self.turns = [
            kind.turn_s * rng.uniform(0.7, 1.3)
            for _ in range(max(1, round(kind.turns * rng.uniform(0.6, 1.4))))
        ]
        usual_s = sum(self.turns) + kind.pause_s * (len(self.turns) - 1)
        self.started_at = now
        self.target_s = kind.target_factor * usual_s + kind.target_extra_s
        self.ends_by = now + self.target_s
        self.turns_done = 0
        self.relay = -1
        self.ended_at: float | None = None

    def value(self) -> float:
        """Value of the program."""
        if self.ended_at is None or self.turns_done < len(self.turns):
            return 0.0
        if self.ended_at <= self.ends_by:
            return self.kind.on_time
        return self.kind.late if self.ended_at <= self.ends_by + self.target_s else 0.0


class _RunningTurn(NamedTuple):
    priority: int
    number: int
    program: Program
    sent_at: float


class _Engine:
    def __init__(self) -> None:
        self.waiting: list[_RunningTurn] = []
        self.running: dict[int, _RunningTurn] = {}


class EngineSimulation:
    """Engines with six slots, a burst of 1.8 times the load from 10 to 16 s."""

    SLOTS = 6
    BURST = (10.0, 16.0, 1.8)

    def __init__(self, seed: int, priorities: Priorities, engines: int = 3) -> None:
        self.now = 0.0
        self.programs: list[Program] = []
        self._priorities = priorities
        self._engines = [_Engine() for _ in range(engines)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        for kind in KINDS:
            self._schedule_arrivals(kind, random.Random(f"{seed} {kind.name}"))

    def run(self, seconds: float) -> None:
        """Run all events before a time."""
        while self._events and self._events[0][0] < seconds:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def value_share(self, start: float, end: float) -> float:
        """Return the share of the total value of programs that began in a span."""
        chosen = [p for p in self.programs if start <= p.started_at < end]
        return sum(p.value() for p in chosen) / sum(p.kind.on_time for p in chosen)

    def on_time_share(self, kind: str, start: float, end: float) -> float:
        """Return the share of programs of a kind that ended within their target."""
        chosen = [
            p
            for p in self.programs
            if start <= p.started_at < end and p.kind.name == kind
        ]
        return sum(p.value() == p.kind.on_time for p in chosen) / len(chosen)

    def _at(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._order), action))

    def _schedule_arrivals(self, kind: ProgramKind, rng: random.Random) -> None:
        now = 0.0
        while now < 30.0:
            start, end, factor = self.BURST
            per_s = kind.per_s * (factor if start <= now < end else 1.0)
            now += rng.expovariate(per_s)
            program = Program(f"{kind.name}{now}", kind, rng, now)
            self.programs.append(program)
            self._at(now, lambda p=program: self._send(p))  # type: ignore[misc]

    def _send(self, program: Program) -> None:
        priority = self._priorities.start(program, self.now)
        engine = min(self._engines, key=lambda e: len(e.running) + len(e.waiting))
        turn = _RunningTurn(priority, next(self._order), program, self.now)
        heapq.heappush(engine.waiting, turn)
        self._fill(engine)

    def _fill(self, engine: _Engine) -> None:
        while engine.waiting:
            first = engine.waiting[0]
            if self.now > first.program.ends_by + first.program.target_s:
                heapq.heappop(engine.waiting)  # The caller has left.
                continue
            if len(engine.running) >= self.SLOTS:
                number, last = max(engine.running.items(), key=lambda item: item[1])
                if last.priority <= first.priority:
                    return
                del engine.running[number]
                heapq.heappush(engine.waiting, last)
            heapq.heappop(engine.waiting)
            self._run(engine, first)

    def _run(self, engine: _Engine, turn: _RunningTurn) -> None:
        run_number = next(self._order)
        engine.running[run_number] = turn
        turn_s = turn.program.turns[turn.program.turns_done]
        self._at(self.now + turn_s, lambda: self._end(engine, run_number))

    def _end(self, engine: _Engine, run_number: int) -> None:
        turn = engine.running.pop(run_number, None)
        if turn is None:
            return  # It was replaced by a more urgent turn.
        program = turn.program
        program.turns_done += 1
        self._priorities.end(program, self.now - turn.sent_at, self.now)
        if program.turns_done == len(program.turns):
            program.ended_at = self.now
        else:
            self._at(self.now + program.kind.pause_s, lambda: self._send(program))
        self._fill(engine)
