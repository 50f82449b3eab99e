"""Simulation of engines that crash if their requests exceed their memory.

Several relays send turns with long prompts to the same engines, in virtual time. They
learn of each other's requests late. A crash loses all turns that run on the engine,
which is then away for some time.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from itertools import count
from typing import NamedTuple

from wisteriastair.scheduling.choice import SelectionContext, select_server
from wisteriastair.scheduling.engine_memory import (
    EngineMemory,
    MemoryNeed,
    Reservation,
    Ticket,
    has_waited_enough,
)
from wisteriastair.scheduling.fleet import Fleet, Server, ServerState
from wisteriastair.scheduling.need import Refuse, Wait
from wisteriastair.scheduling.reuse import PromptSegment, rendezvous_server

MEMORY_TOKENS = 100_000
SLOTS = 12
ENGINES = 10
DOWN_S = 2.0
PICTURE_INTERVAL_S = 0.25
SHARED_TOKENS = 8_000
OWN_TOKENS = (3_000, 14_000)
OUTPUT_TOKENS = 400
TURN_S = (1.5, 3.5)
PER_S = 25.0
BURST = (5.0, 12.0, 1.9)
REMAINING_S = 4.0


class OthersTokens(NamedTuple):
    """Load of one server by the requests of other relays."""

    in_flight: int
    reserved_tokens: int


class Turn(NamedTuple):
    """A turn that a server runs."""

    relay: int
    state: ServerState
    need: MemoryNeed
    reservation: Reservation


class DelayedPicture:
    """What one relay knows of the others, some tenths of a second late."""

    def __init__(self) -> None:
        self.loads: dict[str, OthersTokens] = {}

    def others(self, incarnation: str, now: float) -> OthersTokens | None:
        return self.loads.get(incarnation)


class MemorySimulation:
    """One simulation run.

    Parameters
    ----------
    counts_memory : bool
        Whether relays count the memory of engines.
    has_picture : bool
        Whether relays know of each other's requests.
    """

    def __init__(
        self,
        seed: int,
        *,
        relays: int = 6,
        counts_memory: bool = True,
        has_picture: bool = True,
        per_s: float = PER_S,
    ) -> None:
        self.now = 0.0
        self.crashes = 0
        self.complete = self.lost = self.refused = self.sent = 0
        self.max_own_tokens = 0
        self._random = random.Random(seed)
        self._counts_memory = counts_memory
        self._has_picture = has_picture
        self._per_s = per_s
        self._fleets = [Fleet() for _ in range(relays)]
        servers = [
            Server(f"s{number}", "svc", "a:1", "d", SLOTS, False, 0.0)
            for number in range(ENGINES)
        ]
        for fleet in self._fleets:
            for server in servers:
                fleet.put(server)
        self._down_until: dict[str, float] = {}
        self._running: dict[str, dict[int, Turn]] = {s.incarnation: {} for s in servers}
        self._pictures = [DelayedPicture() for _ in range(relays)]
        self.memories = [
            EngineMemory(p if has_picture else None, f"relay{number}")
            for number, p in enumerate(self._pictures)
        ]
        self._order = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._at(0.0, self._arrive)
        self._at(0.0, self._exchange)

    def run(self, seconds: float) -> None:
        while self._events and self._events[0][0] < seconds:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def _at(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._order), action))

    def _arrive(self) -> None:
        start, end, factor = BURST
        per_s = self._per_s * (factor if start <= self.now < end else 1.0)
        self._at(self.now + self._random.expovariate(per_s), self._arrive)
        program = f"p{next(self._order)}"
        own = self._random.randint(*OWN_TOKENS)
        segments = (
            PromptSegment("shared", SHARED_TOKENS),
            PromptSegment(program, own),
        )
        need = MemoryNeed(segments, SHARED_TOKENS + own, OUTPUT_TOKENS)
        relay = self._random.randrange(len(self.memories))
        self._place(relay, need, None, self.now)

    def _place(
        self, relay: int, need: MemoryNeed, ticket: Ticket | None, arrived_at: float
    ) -> None:
        states = self._states(relay)
        memory = self.memories[relay]
        if not self._counts_memory:
            self._send(relay, self._choose(relay, need, frozenset()), need)
            return
        waited_s = self.now - arrived_at
        verdict = memory.decide(
            states,
            need,
            MEMORY_TOKENS,
            self.now,
            is_next=memory.is_next("svc", 0, ticket),
            waited_s=waited_s,
            remaining_s=REMAINING_S - waited_s,
        )
        if isinstance(verdict, Wait):
            ticket = ticket or memory.enter("svc", 0)
            self._at(
                self.now + verdict.seconds,
                lambda: self._place(relay, need, ticket, arrived_at),
            )
            return
        if ticket is not None:
            memory.leave("svc", ticket)
        if isinstance(verdict, Refuse):
            assert has_waited_enough(waited_s, REMAINING_S - waited_s)
            self.refused += 1
            return
        self._send(relay, self._choose(relay, need, verdict), need)

    def _choose(
        self, relay: int, need: MemoryNeed, full: frozenset[str]
    ) -> ServerState | None:
        states = self._states(relay)
        context = SelectionContext(
            "d",
            need.segments,
            full,
            20.0,
            frozenset(s.incarnation for s in states),
            rendezvous_id=rendezvous_server(
                need.segments, tuple(s.server.id for s in states)
            ),
        )
        return select_server(states, context, self._random.randrange, self.now)

    def _states(self, relay: int) -> list[ServerState]:
        return [
            s
            for s in self._fleets[relay].eligible_servers("svc", self.now)
            if self._down_until.get(s.incarnation, 0.0) <= self.now
        ]

    def _send(self, relay: int, state: ServerState | None, need: MemoryNeed) -> None:
        if state is None:
            self.refused += 1
            return
        self.sent += 1
        state.in_flight += 1
        state.cached_segments.add(need.segments)
        reservation = self.memories[relay].reserve(state, need, self.now)
        own = self.memories[relay].own_tokens(state.incarnation)
        self.max_own_tokens = max(self.max_own_tokens, own)
        running = self._running[state.incarnation]
        number = next(self._order)
        busy = max(1.0, (len(running) + 1) / SLOTS)
        due_at = self.now + self._random.uniform(*TURN_S) * busy
        running[number] = Turn(relay, state, need, reservation)
        self._at(due_at, lambda: self._end(state.incarnation, number))
        if self._held_tokens(state.incarnation) > MEMORY_TOKENS:
            self._crash(state.incarnation)

    def _held_tokens(self, incarnation: str) -> int:
        """Tokens that an engine holds; the shared prefix counts once."""
        turns = self._running[incarnation].values()
        return sum(t.need.private_tokens for t in turns) + SHARED_TOKENS

    def _end(self, incarnation: str, number: int) -> None:
        turn = self._running[incarnation].pop(number, None)
        if turn is not None:
            self.complete += 1
            self._release(turn)

    def _crash(self, incarnation: str) -> None:
        self.crashes += 1
        self._down_until[incarnation] = self.now + DOWN_S
        for turn in self._running[incarnation].values():
            self.lost += 1
            self._release(turn)
        self._running[incarnation].clear()

    def _release(self, turn: Turn) -> None:
        turn.state.in_flight -= 1
        self.memories[turn.relay].release(turn.reservation)

    def _exchange(self) -> None:
        """Let all relays know what the others have sent so far."""
        for relay, picture in enumerate(self._pictures):
            for incarnation, running in self._running.items():
                others = [t for t in running.values() if t.relay != relay]
                tokens = sum(t.need.private_tokens for t in others)
                picture.loads[incarnation] = OthersTokens(len(others), tokens)
        if self._has_picture:
            for relay, memory in enumerate(self.memories):
                memory.observe("svc", self._states(relay), self.now)
        self._at(self.now + PICTURE_INTERVAL_S, self._exchange)
