"""Replay of a load on uneven servers in virtual time.

Several relays send turns to engines that differ in speed and are disturbed for a part
of the time. Reports of load are as old as a relay's last response from a server. Each
relay has its own `Fleet` and chooses by itself.

python -m tests.scheduling.replay
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, OrderedDict
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from wisteriastair.scheduling.affinity import PrefixAffinity
from wisteriastair.scheduling.choice import SelectionContext, select_server
from wisteriastair.scheduling.finish import FinishChooser, NoPicture
from wisteriastair.scheduling.fleet import Fleet, Load, Server, ServerState
from wisteriastair.scheduling.pace import AttemptTimer, ServicePace
from wisteriastair.scheduling.reuse import PromptSegment, rendezvous_server

DOMAINS: Final = 4
SLOTS: Final = 6
MEMORY_TOKENS: Final = 189_592
PREFIXES: Final = 12
PREFIX_TOKENS: Final = 12_600
# Tokens of prompts that an engine keeps cached beside its running requests.
CACHE_TOKENS: Final = 100_000
TURN_TOKENS: Final = 1_260
EVENTS: Final = 6
EVENT_TOKENS: Final = 44
TOKEN_MS: Final = 0.935
PROMPT_TOKEN_MS: Final = 1 / 328
BATCH_SLOWDOWN: Final = 0.05
SLOW_SPEED: Final = 0.46
DISTURBANCE_S: Final = 0.6
DISTURBANCE_FACTOR: Final = 2.5
DISTURBED_FRACTION: Final = 0.15
# Callers give up after this time without a first event.
PATIENCE_S: Final = 2.0
# Target of the first kind of program: 1.3 times the time on idle servers plus 279 ms
# for a program of three turns, a third of it per turn.
TARGET_FACTOR: Final = 1.3
TARGET_EXTRA_S: Final = 0.279 / 3
MOVE_PROBABILITY: Final = 0.2
SHARE_INTERVAL_S: Final = 0.2


class Chooser(Protocol):
    """How a relay chooses."""

    def __call__(
        self, servers: list[ServerState], context: SelectionContext, now: float
    ) -> ServerState | None:
        """Choose a server."""


class World(NamedTuple):
    """Parameters of a replay.

    Attributes
    ----------
    reports_figure : callable
        Fourth figure of a server by its number and slowness now; None for three
        figures.
    hangs : callable
        Whether a server (by number and time) responds no more.
    shares_load : bool
        Whether the relays share what they have in flight, some 0.2 s late.
    """

    programs_per_s: float
    seconds: float = 30.0
    relays: int = 12
    engines: int = 25
    slow: Callable[[int], float] = lambda n: SLOW_SPEED if n % 4 == 0 else 1.0
    disturbed_fraction: float = DISTURBED_FRACTION
    reports_figure: Callable[[int, float], float | None] = lambda n, slow: 100.0 * slow
    hangs: Callable[[int, float], bool] = lambda n, now: False
    shares_load: bool = False
    seed: int = 5


class Result(NamedTuple):
    """Outcome of a replay, without the first third."""

    in_time: float
    mean_ms: float
    served: Counter[int]
    on_slow_while_fast_idle: float
    hung: Counter[int]
    max_waiting: int


class _Others(NamedTuple):
    in_flight: int
    age_s: float
    reserved_tokens: int = 0
    silent: int = 0


class _Picture(NoPicture):
    """Requests in flight of all relays, as of the last multiple of `SHARE_INTERVAL_S`.

    All relays see the same numbers at the same time.
    """

    def __init__(self, fleets: list[Fleet], own: Fleet) -> None:
        self._fleets = fleets
        self._own = own
        self._taken_at = float("-inf")
        self._in_flight: dict[str, int] = {}

    def take(self, now: float) -> None:
        self._taken_at = now
        totals: Counter[str] = Counter()
        for fleet in self._fleets:
            if fleet is not self._own:
                for state in fleet.eligible_servers("svc", now):
                    totals[state.incarnation] += state.in_flight
        self._in_flight = totals

    def others(self, incarnation: str, now: float) -> _Others | None:
        if now < self._taken_at:
            return None
        return _Others(self._in_flight[incarnation], now - self._taken_at)


class _Engine:
    def __init__(self, number: int, world: World, rng: random.Random) -> None:
        self.number = number
        self.speed = world.slow(number)
        self.running = 0
        self.waiting: list[_Turn] = []
        self.cache: OrderedDict[str, int] = OrderedDict()
        self.cache_tokens = 0
        self.disturbances = _make_disturbances(world, rng)

    def slowness(self, now: float) -> float:
        for start, end in self.disturbances:
            if start <= now < end:
                return DISTURBANCE_FACTOR
        return 1.0

    def missing_tokens(self, prompt: tuple[PromptSegment, ...]) -> int:
        """Compute a prompt; return the tokens that were not cached."""
        missing = 0
        for segment in prompt:
            known = self.cache.pop(segment.id, 0)
            self.cache_tokens -= known
            missing += max(0, segment.tokens - known)
            self.cache[segment.id] = segment.tokens
            self.cache_tokens += segment.tokens
        while self.cache_tokens > CACHE_TOKENS:
            _, tokens = self.cache.popitem(last=False)
            self.cache_tokens -= tokens
        return missing


def _make_disturbances(world: World, rng: random.Random) -> list[tuple[float, float]]:
    if world.disturbed_fraction <= 0:
        return []
    pause_s = DISTURBANCE_S * (1 / world.disturbed_fraction - 1)
    disturbances = []
    now = rng.uniform(0.0, pause_s)
    while now < world.seconds + 5:
        disturbances.append((now, now + DISTURBANCE_S))
        now += DISTURBANCE_S + rng.expovariate(1 / pause_s)
    return disturbances


class _Program:
    def __init__(self, number: int, rng: random.Random, relays: int) -> None:
        weights = [1 / (n + 1) ** 0.84 for n in range(PREFIXES)]
        self.prefix = f"p{rng.choices(range(PREFIXES), weights)[0]}"
        self.number = number
        self.relay = rng.randrange(relays)
        self.turns_left = rng.choice([1, 2, 3, 3, 4, 5, 11])
        self.tokens = TURN_TOKENS

    def prompt(self) -> tuple[PromptSegment, ...]:
        return (
            PromptSegment(self.prefix, PREFIX_TOKENS),
            PromptSegment(f"line-{self.number}", self.tokens),
        )


class _Turn:
    def __init__(self, program: _Program, began: float) -> None:
        self.program = program
        self.began = began
        self.state: ServerState
        self.timer: AttemptTimer
        self.missing = 0
        self.events_left = EVENTS
        self.is_running = False
        self.ended = False


class Replay:
    """The relays, the engines and the callers.

    Parameters
    ----------
    by_finish : bool
        Whether relays choose by predicted finish, else with `select_server`.
    """

    def __init__(self, world: World, *, by_finish: bool) -> None:
        self.world = world
        self.rng = rng = random.Random(world.seed)
        self.engines = [_Engine(n, world, rng) for n in range(world.engines)]
        self.fleets = [self._make_fleet() for _ in range(world.relays)]
        self.affinities = [PrefixAffinity(MEMORY_TOKENS) for _ in range(world.relays)]
        self.services = [ServicePace() for _ in range(world.relays)]
        self.pictures = [_Picture(self.fleets, fleet) for fleet in self.fleets]
        self.choosers = [
            self._make_chooser(relay, by_finish) for relay in range(world.relays)
        ]
        self.connected: list[set[str]] = [set() for _ in range(world.relays)]
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self._measure_from = world.seconds / 3
        self._durations: list[float] = []
        self._in_time = 0
        self._on_slow = 0
        self._chosen = 0
        self._served: Counter[int] = Counter()
        self._hung: Counter[int] = Counter()
        self._max_waiting = 0

    def _make_fleet(self) -> Fleet:
        fleet = Fleet()
        for engine in self.engines:
            domain = f"d{engine.number % DOMAINS}"
            fleet.put(
                Server(f"s{engine.number}", "svc", "a:1", domain, SLOTS, False, 0.0)
            )
        return fleet

    def _make_chooser(self, relay: int, by_finish: bool) -> Chooser:
        randbelow = random.Random(relay).randrange
        finish = FinishChooser(
            self.services[relay],
            f"d{relay % DOMAINS}",
            self.pictures[relay] if self.world.shares_load else NoPicture(),
            randbelow,
        )

        def choose(
            servers: list[ServerState], context: SelectionContext, now: float
        ) -> ServerState | None:
            if by_finish:
                return finish.choose(servers, context, EVENTS * EVENT_TOKENS, now)
            return select_server(servers, context, randbelow, now)

        return choose

    def run(self) -> Result:
        for number in range(int(self.world.seconds * self.world.programs_per_s)):
            program = _Program(number, self.rng, self.world.relays)
            self._at(self.rng.uniform(0.0, self.world.seconds), self._sender(program))
        if self.world.shares_load:
            self._share_load()
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            if self.now > self.world.seconds + 5:
                break
            action()
        measured = len(self._durations)
        return Result(
            self._in_time / measured,
            1000 * sum(self._durations) / measured,
            self._served,
            self._on_slow / max(1, self._chosen),
            self._hung,
            self._max_waiting,
        )

    def _share_load(self) -> None:
        for picture in self.pictures:
            picture.take(self.now)
        self._at(self.now + SHARE_INTERVAL_S, self._share_load)

    def _at(self, when: float, action: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._events, (when, self._order, action))

    def _sender(self, program: _Program) -> Callable[[], None]:
        return lambda: self._send(program)

    def _send(self, program: _Program) -> None:
        relay, now, prompt = program.relay, self.now, program.prompt()
        servers = self.fleets[relay].eligible_servers("svc", now)
        affinity = self.affinities[relay]
        affinity.record_use(prompt[0].id, prompt[0].tokens, now)
        context = SelectionContext(
            f"d{relay % DOMAINS}",
            prompt,
            frozenset(),
            20.0,
            frozenset(self.connected[relay]),
            affinity.affinity_servers(prompt[0].id, servers),
            rendezvous_server(prompt, tuple(s.server.id for s in servers)),
        )
        state = self.choosers[relay](servers, context, now)
        assert state is not None
        engine = self.engines[int(state.server.id[1:])]
        self._count_choice(engine)
        turn = _Turn(program, now)
        turn.state = state
        state.in_flight += 1
        turn.timer = state.pace.start(now, state.in_flight)
        self._at(now + PATIENCE_S, lambda: self._give_up(turn, engine))
        if self.world.hangs(engine.number, now):
            self._hung[relay] += 1
            return
        if engine.running < SLOTS:
            self._begin(engine, turn)
        else:
            engine.waiting.append(turn)
            self._max_waiting = max(self._max_waiting, len(engine.waiting))

    def _count_choice(self, engine: _Engine) -> None:
        if self.now < self._measure_from:
            return
        self._served[engine.number] += 1
        self._chosen += 1
        if engine.speed < 1.0 and any(
            other.running == 0 and other.speed == 1.0 for other in self.engines
        ):
            self._on_slow += 1

    def _begin(self, engine: _Engine, turn: _Turn) -> None:
        engine.running += 1
        turn.is_running = True
        turn.missing = engine.missing_tokens(turn.program.prompt())
        self._report(engine, turn)
        slowness = engine.slowness(self.now) / engine.speed
        delay_s = turn.missing * PROMPT_TOKEN_MS * slowness / 1000
        self._at(self.now + delay_s, lambda: self._decode(engine, turn))

    def _report(self, engine: _Engine, turn: _Turn) -> None:
        """Deliver the head of the response, which carries a report."""
        state, now = turn.state, self.now
        figure = self.world.reports_figure(engine.number, engine.slowness(now))
        state.record_load(Load(engine.running, len(engine.waiting), SLOTS, figure), now)
        others = max(0, engine.running + len(engine.waiting) - state.in_flight)
        turn.timer.last_at = now
        state.pace.record_others(others, now, self.services[turn.program.relay])
        state.pace.record_figure(figure)
        turn.timer.running = max(turn.timer.running, engine.running)
        turn.timer.correction = 1.0 + state.pace.figure_excess

    def _decode(self, engine: _Engine, turn: _Turn) -> None:
        """Decode one event."""
        if self.world.hangs(engine.number, self.now):
            return
        slowness = engine.slowness(self.now) / engine.speed
        batch = 1.0 + BATCH_SLOWDOWN * (engine.running - 1)
        gap_s = EVENT_TOKENS * TOKEN_MS * slowness * batch / 1000
        self._at(self.now + gap_s, lambda: self._deliver(engine, turn))

    def _deliver(self, engine: _Engine, turn: _Turn) -> None:
        if turn.ended:
            return
        turn.state.pace.record_events(turn.timer, 1, self.now)
        turn.events_left -= 1
        if turn.events_left:
            self._decode(engine, turn)
            return
        program, state = turn.program, turn.state
        self._end(engine, turn)
        duration_s = self.now - turn.began
        self._measure(duration_s, turn)
        state.record_success(duration_s)
        state.pace.record_stream(
            turn.timer,
            self.services[program.relay],
            self.now,
            tokens_per_event=EVENT_TOKENS,
            missing_tokens=sum(s.tokens for s in program.prompt())
            - state.cached_segments.cached_tokens(program.prompt()),
        )
        state.cached_segments.add(program.prompt())
        self.connected[program.relay].add(state.incarnation)
        program.turns_left -= 1
        program.tokens += TURN_TOKENS
        if self.rng.random() < MOVE_PROBABILITY:
            program.relay = self.rng.randrange(self.world.relays)
        if program.turns_left:
            self._at(self.now + self.rng.uniform(0.02, 0.15), self._sender(program))

    def _measure(self, duration_s: float, turn: _Turn) -> None:
        if turn.began < self._measure_from:
            return
        self._durations.append(duration_s)
        idle_s = EVENTS * EVENT_TOKENS * TOKEN_MS / 1000
        idle_s += TURN_TOKENS * PROMPT_TOKEN_MS / 1000
        if duration_s <= TARGET_FACTOR * idle_s + TARGET_EXTRA_S:
            self._in_time += 1

    def _give_up(self, turn: _Turn, engine: _Engine) -> None:
        if turn.ended or turn.events_left < EVENTS:
            return
        self._end(engine, turn)
        self._measure(self.now - turn.began, turn)

    def _end(self, engine: _Engine, turn: _Turn) -> None:
        turn.ended = True
        turn.state.in_flight -= 1
        turn.state.pace.end(turn.timer, self.now)
        if not turn.is_running:
            if turn in engine.waiting:
                engine.waiting.remove(turn)
            return
        engine.running -= 1
        while engine.waiting and engine.running < SLOTS:
            self._begin(engine, engine.waiting.pop(0))


def replay(world: World, *, by_finish: bool) -> Result:
    """Run a replay."""
    return Replay(world, by_finish=by_finish).run()


def share_of(result: Result, numbers: list[int], others: list[int]) -> float:
    """Return the mean number of requests of servers relative to that of others."""
    served = sum(result.served[n] for n in numbers) / len(numbers)
    return served / (sum(result.served[n] for n in others) / len(others))


def main() -> None:
    """Print outcomes with `select_server`, by finish, and with shared loads."""
    slow = [number for number in range(25) if number % 4 == 0]
    fast = [number for number in range(25) if number % 4]
    for programs_per_s in (20.0, 45.0, 60.0, 75.0, 90.0):
        for by_finish, shares_load in ((False, False), (True, False), (True, True)):
            for seed in (5, 6):
                world = World(
                    programs_per_s, seconds=18.0, seed=seed, shares_load=shares_load
                )
                result = replay(world, by_finish=by_finish)
                print(
                    f"{programs_per_s:.0f} programs/s, seed {seed}, "
                    f"by finish: {by_finish}, loads shared: {shares_load}: "
                    f"in time {result.in_time:.3f}, mean {result.mean_ms:.0f} ms, "
                    f"share of a slow server {share_of(result, slow, fast):.2f}, "
                    f"on slow while fast idle {result.on_slow_while_fast_idle:.3f}, "
                    f"longest queue {result.max_waiting}"
                )


if __name__ == "__main__":
    main()
