"""Relays, engines and callers in virtual time, for tests of admission.

Callers send the turns of a program one after the other. A refused caller comes back
through another relay after the stated delay, at most twice. A program is given up after
twice its time.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from wisteriastair.scheduling.admission import Admission, Party
from wisteriastair.scheduling.choice import SelectionContext, select_server
from wisteriastair.scheduling.fleet import Fleet, Load, Server, ServerState
from wisteriastair.scheduling.need import Refuse, RequestNeed, Wait
from wisteriastair.scheduling.occupancy import NoSharedLoads, observe

SERVICE = "svc"
FACTOR = 1.5
MAX_RETRIES = 2


class Kind(NamedTuple):
    """A kind of program, and the party that it competes as."""

    name: str
    turns: int = 9
    turn_s: float = 0.4
    pause_s: float = 0.06
    rank: int = 1
    weight: float = 1.0
    has_rank: bool = True

    @property
    def idle_s(self) -> float:
        return self.turns * (self.turn_s + self.pause_s)


class Loads(NamedTuple):
    """A load of others, as the shared picture has it."""

    in_flight: float
    age_s: float


class Picture:
    """Requests at all engines a moment ago, without those of one relay."""

    def __init__(self, world: World, relay: int) -> None:
        self.world = world
        self.relay = relay

    def others(self, incarnation: str, now: float) -> Loads | None:
        snapshot = self.world.snapshot
        if snapshot is None or not self.world.has_picture[self.relay]:
            return None
        taken_at, in_flight = snapshot
        total = sum(in_flight[incarnation].values())
        own = in_flight[incarnation][self.relay]
        return Loads(total - own, now - taken_at)


class Program:
    """One program and how far it is."""

    def __init__(self, number: int, kind: Kind, now: float) -> None:
        self.id = f"p{number}"
        self.kind = kind
        self.started_at = now
        self.finish_s = FACTOR * kind.idle_s
        self.turns_done = 0
        self.refusals = 0
        self.relay = 0
        self.is_admitted = False

    def left_s(self, now: float) -> float:
        return max(0.0, self.started_at + self.finish_s - now)

    def given_up(self, now: float) -> bool:
        return now > self.started_at + 2 * self.finish_s


class Turn(NamedTuple):
    program: Program
    relay: Relay
    state: ServerState
    sent_at: float


class Engine:
    """Runs a number of turns at once; others wait in order of arrival."""

    def __init__(self, slots: int, speed: float) -> None:
        self.slots = slots
        self.speed = speed
        self.running = 0
        self.waiting: deque[Turn] = deque()

    def load(self) -> Load:
        return Load(self.running, len(self.waiting), self.slots)


class Relay:
    """The decisions of one relay."""

    def __init__(
        self, number: int, servers: list[Server], make: Callable[[int], Admission]
    ) -> None:
        self.number = number
        self.fleet = Fleet()
        for server in servers:
            self.fleet.put(server)
        self.admission = make(number)
        self.is_up = True


class World:
    """A service with its relays, engines and callers.

    Parameters
    ----------
    is_on : bool
        Whether relays refuse programs; otherwise all programs start.
    report_loss : float
        Probability that a load report is lost.
    picture_lag_s : float
        Interval of the shared picture; 0 for none.
    """

    def __init__(
        self,
        seed: int,
        *,
        relays: int = 8,
        engines: int = 10,
        slots: int = 6,
        is_on: bool = True,
        report_loss: float = 0.0,
        picture_lag_s: float = 0.0,
        max_waiting: int = 1_000,
        make_admission: Callable[[World, int], Admission] | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        # The same programs arrive whatever the relays decide.
        self._arrivals_rng = random.Random(seed + 1)
        self.now = 0.0
        self.is_on = is_on
        self.report_loss = report_loss
        self.max_waiting = max_waiting
        self.snapshot: tuple[float, dict[str, Counter[int]]] | None = None
        self.has_picture = [True] * relays
        self.picture_lag_s = picture_lag_s
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.servers = [
            Server(f"s{n}", SERVICE, "a:1", f"d{n % 3}", slots, False, 0.0)
            for n in range(engines)
        ]
        self.engines = {s.id: Engine(slots, 1.0) for s in self.servers}
        self._make = make_admission or _plain_admission
        self.relays = [self.new_relay(number) for number in range(relays)]
        self.in_flight: dict[str, Counter[int]] = {
            s.incarnation: Counter() for s in self.servers
        }
        self.outcomes: Counter[tuple[str, str]] = Counter()
        self.refusals: Counter[str] = Counter()
        self.starts: Counter[str] = Counter()
        self.arrivals: Counter[str] = Counter()
        self.start_times: list[tuple[float, str]] = []
        self.under_way: set[str] = set()
        self.max_under_way = 0
        self.refusals_with_free_slots = 0
        self.blind_starts: list[float] = []
        self._numbers = itertools.count()
        if picture_lag_s:
            self.at(picture_lag_s, self._take_snapshot)

    @property
    def slots(self) -> int:
        return sum(engine.slots for engine in self.engines.values())

    def new_relay(self, number: int) -> Relay:
        return Relay(number, self.servers, lambda n: self._make(self, n))

    def restart(self, number: int) -> None:
        """Replace a relay by one with an empty memory."""
        self.relays[number].is_up = False
        self.relays[number] = self.new_relay(number)

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), action))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def arrive(self, kind: Kind, rate: Callable[[float], float], until: float) -> None:
        """Let programs of a kind arrive at a rate per second that varies."""
        highest = max(rate(until * step / 200) for step in range(201))

        def next_arrival() -> None:
            if self._arrivals_rng.random() * highest < rate(self.now):
                self.submit(Program(next(self._numbers), kind, self.now))
            delay_s = self._arrivals_rng.expovariate(highest)
            if self.now + delay_s < until:
                self.at(delay_s, next_arrival)

        self.at(self._arrivals_rng.expovariate(highest), next_arrival)

    def _take_snapshot(self) -> None:
        counts = {name: Counter(by) for name, by in self.in_flight.items()}
        self.snapshot = self.now, counts
        self.at(self.picture_lag_s, self._take_snapshot)

    # Callers

    def submit(self, program: Program) -> None:
        if program.refusals == 0:
            self.arrivals[program.kind.name] += 1
        others = [n for n in range(len(self.relays)) if n != program.relay]
        program.relay = self.rng.choice(others) if others else 0
        self._ask(program, 0.0)

    def _ask(self, program: Program, waited_s: float) -> None:
        relay = self.relays[program.relay]
        verdict: Wait | Refuse | None = None
        if self.is_on:
            kind = program.kind
            verdict = relay.admission.decide(
                self._need(program),
                Party(kind.name, kind.weight, kind.has_rank),
                relay.fleet.eligible_servers(SERVICE, self.now),
                self.rng.randrange,
                self.now,
                waited_s=waited_s,
                max_wait_s=0.05,
            )
        if isinstance(verdict, Wait):
            delay_s = max(0.001, verdict.seconds)
            self.at(delay_s, lambda: self._ask(program, waited_s + delay_s))
        elif isinstance(verdict, Refuse):
            self._refuse(program, verdict)
        else:
            self._start(program)

    def _refuse(self, program: Program, verdict: Refuse) -> None:
        assert verdict.retry_after_s <= program.left_s(self.now) / 3 + 1e-9
        self.refusals[program.kind.name] += 1
        if not any(e.waiting for e in self.engines.values()):
            self.refusals_with_free_slots += 1
        program.refusals += 1
        if program.refusals > MAX_RETRIES:
            self._end(program, "refused")
            return
        self.at(verdict.retry_after_s, lambda: self.submit(program))

    def _start(self, program: Program) -> None:
        program.is_admitted = True
        self.starts[program.kind.name] += 1
        self.start_times.append((self.now, program.kind.name))
        relay = self.relays[program.relay]
        states = relay.fleet.eligible_servers(SERVICE, self.now)
        shared = Picture(self, program.relay) if self.picture_lag_s else NoSharedLoads()
        if observe(states, shared, self.now) is None:
            self.blind_starts.append(self.now)
        self.under_way.add(program.id)
        self.max_under_way = max(self.max_under_way, len(self.under_way))
        self._send(program)

    def _need(self, program: Program) -> RequestNeed:
        return RequestNeed(
            SERVICE,
            rank=program.kind.rank,
            kind=program.kind.name,
            program=program.id,
            is_new_program=program.turns_done == 0,
            finish_s=program.left_s(self.now),
            remaining_s=max(0.0, program.started_at + 2 * program.finish_s - self.now),
        )

    def _end(self, program: Program, outcome: str) -> None:
        self.under_way.discard(program.id)
        self.outcomes[program.kind.name, outcome] += 1

    # Turns

    def _send(self, program: Program) -> None:
        relay = self.relays[program.relay]
        if program.turns_done:
            relay.admission.record_request(self._need(program), self.now)
        servers = relay.fleet.eligible_servers(SERVICE, self.now)
        context = SelectionContext("d0", (), frozenset(), 0.0, frozenset())
        state = select_server(servers, context, self.rng.randrange, self.now)
        assert state is not None
        state.in_flight += 1
        self.in_flight[state.incarnation][relay.number] += 1
        turn = Turn(program, relay, state, self.now)
        engine = self.engines[state.server.id]
        if len(engine.waiting) >= self.max_waiting:
            self._reject(turn)
            return
        engine.waiting.append(turn)
        self._fill(engine)

    def _reject(self, turn: Turn) -> None:
        self._leave(turn)
        turn.state.overloaded_until = self.now + 0.15
        turn.state.full_at = self.now
        if turn.program.given_up(self.now):
            self._end(turn.program, "lost")
            return
        self.at(0.2, lambda: self._send(turn.program))

    def _fill(self, engine: Engine) -> None:
        while engine.waiting and engine.running < engine.slots:
            turn = engine.waiting.popleft()
            if turn.program.given_up(self.now):
                self._leave(turn)
                self._end(turn.program, "lost")
                continue
            engine.running += 1
            if self.rng.random() >= self.report_loss:
                turn.state.record_load(engine.load(), self.now)
            seconds = turn.program.kind.turn_s * self.rng.uniform(0.8, 1.2)
            self.at(seconds * engine.speed, partial(self._finish, engine, turn))

    def _leave(self, turn: Turn) -> None:
        turn.state.in_flight -= 1
        self.in_flight[turn.state.incarnation][turn.relay.number] -= 1

    def _finish(self, engine: Engine, turn: Turn) -> None:
        program = turn.program
        engine.running -= 1
        self._leave(turn)
        is_queued = turn.state.reports_waiting(self.now)
        turn.relay.admission.record_turn(
            self._need(program), self.now - turn.sent_at, is_queued, self.now
        )
        program.turns_done += 1
        if program.turns_done == program.kind.turns:
            is_late = self.now - program.started_at > program.finish_s
            self._end(program, "late" if is_late else "on time")
        elif program.given_up(self.now):
            self._end(program, "lost")
        else:
            self.at(program.kind.pause_s, lambda: self._send(program))
        self._fill(engine)

    def count(self, outcome: str, kind: str = "") -> int:
        """Count the programs with an outcome."""
        return sum(
            number
            for (name, ended), number in self.outcomes.items()
            if ended == outcome and kind in ("", name)
        )


def _plain_admission(world: World, relay: int) -> Admission:
    return Admission(Picture(world, relay) if world.picture_lag_s else None)


def capacity_per_s(world: World, kind: Kind) -> float:
    """Programs of a kind that the engines can run per second."""
    return world.slots / (kind.turns * kind.turn_s)
