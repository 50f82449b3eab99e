"""Reuse of cached prompts, simulated with relays that do not communicate."""

from __future__ import annotations

import heapq
import random
from typing import Final, NamedTuple

import pytest

from wisteriastair.scheduling.choice import SelectionContext, select_server
from wisteriastair.scheduling.fleet import Fleet, Server
from wisteriastair.scheduling.reuse import (
    MAX_SEGMENTS,
    CachedSegments,
    PromptSegment,
    rendezvous_server,
)

RELAYS: Final = 5
SERVERS: Final = 6
SLOTS: Final = 48
SHARED: Final = (PromptSegment("shared", 2_500),)
FIRST_TURN_TOKENS: Final = 500
TURN_TOKENS: Final = 500
TURNS: Final = 9
# Fraction of turns that come to another relay than the turn before.
MOVE_PROBABILITY: Final = 1 / 6


class SimulationResult(NamedTuple):
    """Tokens computed per turn, and the highest load relative to the mean."""

    computed_tokens: float
    max_relative_load: float


class Program:
    """A program with its sequence of turns."""

    def __init__(self, number: int, relay: int) -> None:
        self.number = number
        self.relay = relay
        self.turns = 0

    def prompt(self) -> tuple[PromptSegment, ...]:
        tokens = FIRST_TURN_TOKENS + self.turns * TURN_TOKENS
        return (*SHARED, PromptSegment(f"line-{self.number}", tokens))


def simulate(
    *, programs_per_s: float, service_time_s: float, use_rendezvous: bool
) -> SimulationResult:
    """Simulate 20 s of programs on servers with unlimited caches."""
    rng = random.Random(11)
    fleets = [Fleet() for _ in range(RELAYS)]
    for fleet in fleets:
        for number in range(SERVERS):
            fleet.put(Server(f"s{number}", "svc", "a:1", "d", SLOTS, False, 0.0))
    names = tuple(f"s{n}" for n in range(SERVERS))
    caches = {name: CachedSegments() for name in names}
    served = dict.fromkeys(names, 0)
    idle_conns = [dict.fromkeys(names, 0) for _ in range(RELAYS)]
    arrivals = int(20 * programs_per_s)
    events: list[tuple[float, int, Program, str]] = [
        (rng.uniform(0.0, 20.0), number, Program(number, rng.randrange(RELAYS)), "")
        for number in range(arrivals)
    ]
    heapq.heapify(events)
    order = arrivals
    computed_tokens = 0.0
    while events:
        now, _, program, server_name = heapq.heappop(events)
        order += 1
        if server_name:
            state = fleets[program.relay].get(server_name)
            assert state is not None
            state.in_flight -= 1
            state.cached_segments.add(program.prompt())
            idle_conns[program.relay][server_name] += 1
            program.turns += 1
            if rng.random() < MOVE_PROBABILITY:
                program.relay = rng.randrange(RELAYS)
            if program.turns < TURNS:
                next_at = now + rng.uniform(0.1, 0.5)
                heapq.heappush(events, (next_at, order, program, ""))
            continue
        prompt = program.prompt()
        connected = frozenset(
            f"{name}.0" for name, count in idle_conns[program.relay].items() if count
        )
        rendezvous_id = rendezvous_server(prompt, names) if use_rendezvous else ""
        context = SelectionContext(
            "d", prompt, frozenset(), 20.0, connected, rendezvous_id=rendezvous_id
        )
        servers = fleets[program.relay].eligible_servers("svc", now)
        chosen = select_server(servers, context, rng.randrange, now)
        assert chosen is not None
        name = chosen.server.id
        idle_conns[program.relay][name] = max(0, idle_conns[program.relay][name] - 1)
        chosen.in_flight += 1
        served[name] += 1
        total = sum(segment.tokens for segment in prompt)
        computed_tokens += caches[name].missing_fraction(prompt) * total
        caches[name].add(prompt)
        end = now + service_time_s * rng.uniform(0.5, 1.5)
        heapq.heappush(events, (end, order, program, name))
    turns = sum(served.values())
    return SimulationResult(
        computed_tokens / turns, max(served.values()) / (turns / SERVERS)
    )


@pytest.mark.parametrize("programs_per_s", [12.0, 20.0])
def test_independent_relays_agree_on_a_programs_server(
    programs_per_s: float,
) -> None:
    """Five loaded relays; one turn in six comes to another relay than the one before.

    That relay does not know the program. By load alone it would select a server that
    has to compute the whole prompt and delays all requests running there. About 550
    tokens per turn are new in any case.
    """
    with_rendezvous = simulate(
        programs_per_s=programs_per_s, service_time_s=0.6, use_rendezvous=True
    )
    without_rendezvous = simulate(
        programs_per_s=programs_per_s, service_time_s=0.6, use_rendezvous=False
    )
    assert with_rendezvous.computed_tokens < 0.85 * without_rendezvous.computed_tokens
    assert with_rendezvous.computed_tokens < 650
    assert with_rendezvous.max_relative_load < 1.2


def test_a_segment_counts_only_if_all_before_it_are_cached() -> None:
    cached = CachedSegments()
    cached.add([PromptSegment("a", 300), PromptSegment("b", 100)])
    assert (
        cached.missing_fraction((PromptSegment("a", 300), PromptSegment("b", 100)))
        == 0.0
    )
    assert cached.missing_fraction(
        (PromptSegment("a", 300), PromptSegment("b", 400))
    ) == pytest.approx(300 / 700)
    assert (
        cached.missing_fraction((PromptSegment("x", 300), PromptSegment("b", 100)))
        == 1.0
    )
    longer = (PromptSegment("a", 600), PromptSegment("b", 100))
    assert cached.missing_fraction(longer) == pytest.approx(400 / 700)
    assert cached.missing_fraction(()) == 0.0


def test_the_oldest_segments_are_evicted_first() -> None:
    cached = CachedSegments()
    cached.add([PromptSegment("old", 1), PromptSegment("kept", 1)])
    for number in range(MAX_SEGMENTS - 1):
        cached.add([PromptSegment(f"p{number}", 1), PromptSegment("kept", 1)])
    assert "kept" in cached and "old" not in cached
    assert len(cached) == MAX_SEGMENTS


def test_a_removed_server_moves_only_its_own_programs() -> None:
    names = tuple(f"s{n}" for n in range(SERVERS))
    for number in range(100):
        prompt = (*SHARED, PromptSegment(f"line-{number}", 10))
        before = rendezvous_server(prompt, names)
        after = rendezvous_server(prompt, names[1:])
        assert before in names and (after == before or before == "s0")
    assert rendezvous_server(SHARED, names) == ""
    assert rendezvous_server((*SHARED, PromptSegment("line", 1)), ()) == ""
