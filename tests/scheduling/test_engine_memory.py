"""Memory of engines: which servers have room for a request."""

from __future__ import annotations

import random

import pytest

from tests.scheduling.memory_world import MemorySimulation, OthersTokens
from wisteriastair.scheduling.engine_memory import (
    MAX_WAIT_FRACTION,
    MAX_WAIT_S,
    REPORT_AGE_S,
    EngineMemory,
    MemoryNeed,
)
from wisteriastair.scheduling.fleet import Load, Server, ServerState
from wisteriastair.scheduling.need import Refuse, Wait
from wisteriastair.scheduling.reuse import PromptSegment

SEEDS = range(2)
MEMORY = 10_000


def make_state(name: str = "s1", born: int = 0) -> ServerState:
    return ServerState(Server(name, "svc", "a:1", "d", 8, False, 0.0, born))


def make_need(own: int, *, shared: int = 0, program: str = "p") -> MemoryNeed:
    segments: tuple[PromptSegment, ...] = (PromptSegment(program, own),)
    if shared:
        segments = (PromptSegment("shared", shared), *segments)
    return MemoryNeed(segments, own + shared, 100)


class FixedLoad:
    """The same load of other relays at each server."""

    def __init__(self, load: OthersTokens | None) -> None:
        self.load = load

    def others(self, incarnation: str, now: float) -> OthersTokens | None:
        return self.load


@pytest.mark.parametrize("relays", [6, 24])
def test_engines_crash_less_and_more_turns_end(relays: int) -> None:
    """A burst of 1.9 times the load needs more memory than the engines have.

    Without a count of memory, engines crash one after another and lose all turns that
    run on them.
    """
    before, after = (
        [
            MemorySimulation(seed, relays=relays, counts_memory=counts, per_s=20.0)
            for seed in SEEDS
        ]
        for counts in (False, True)
    )
    for simulation in (*before, *after):
        simulation.run(16.0)
    crashes = [sum(s.crashes for s in group) for group in (before, after)]
    complete = [sum(s.complete for s in group) for group in (before, after)]
    assert crashes[1] < 0.2 * crashes[0]
    assert complete[1] > 1.8 * complete[0]


def test_a_single_relay_never_exceeds_the_memory() -> None:
    """All requests are known, so no engine may crash."""
    for seed in SEEDS:
        simulation = MemorySimulation(seed, relays=1, per_s=30.0)
        simulation.run(16.0)
        assert simulation.crashes == 0 and simulation.complete > 300


def test_own_requests_never_exceed_the_memory_without_a_picture() -> None:
    """The keepers are lost, so relays hear nothing of each other.

    Each relay still counts its own requests.
    """
    for seed in SEEDS:
        simulation = MemorySimulation(seed, relays=2, per_s=30.0, has_picture=False)
        simulation.run(16.0)
        assert simulation.max_own_tokens <= 100_000


def test_shared_prefixes_count_once() -> None:
    """Ten requests share a prefix that fills half of the memory."""
    memory, state = EngineMemory(), make_state()
    reservations = [
        memory.reserve(state, make_need(200, shared=5_000, program=f"p{n}"), 0.0)
        for n in range(10)
    ]
    assert memory.own_tokens(state.incarnation) == 5_000 + 10 * 300
    for reservation in reservations[:-1]:
        memory.release(reservation)
    assert memory.own_tokens(state.incarnation) == 5_000 + 300


def test_released_memory_is_free_again() -> None:
    """Requests end in any order, some twice, and with segments that have grown.

    A leak would make a server look full for good. A segment that is named twice in a
    prompt must not leak either.
    """
    rng = random.Random(1)
    memory, state = EngineMemory(), make_state()
    held = []
    for step in range(500):
        segments = tuple(
            PromptSegment(f"s{rng.randrange(6)}", rng.randrange(400)) for _ in range(3)
        )
        need = MemoryNeed(segments, rng.randrange(2_000), rng.randrange(300))
        held.append(memory.reserve(state, need, float(step)))
        if rng.random() < 0.6:
            reservation = held.pop(rng.randrange(len(held)))
            memory.release(reservation)
            memory.release(reservation)
    assert memory.own_tokens(state.incarnation) > 0
    for reservation in held:
        memory.release(reservation)
    assert memory.own_tokens(state.incarnation) == 0


def test_a_server_that_is_never_idle_uses_bounded_state() -> None:
    """Requests overlap for hours, and the memory is always ample."""
    memory, state = EngineMemory(), make_state()
    held = [memory.reserve(state, make_need(10), 0.0)]
    for number in range(1, 2_000):
        now = number * 0.1
        held.append(memory.reserve(state, make_need(10), now))
        memory.release(held.pop(0))
    assert len(memory._recent[state.incarnation]) <= REPORT_AGE_S / 0.1 + 1


def test_a_restarted_server_has_free_memory() -> None:
    """A server has crashed and is back; its old requests end one by one."""
    memory, old = EngineMemory(), make_state()
    reservation = memory.reserve(old, make_need(9_000), 0.0)
    new = make_state(born=1)
    assert not memory.has_room(old, make_need(2_000, program="q"), MEMORY, 0.0)
    assert memory.has_room(new, make_need(2_000, program="q"), MEMORY, 0.0)
    memory.release(reservation)
    assert memory.own_tokens(new.incarnation) == 0


def decide(
    memory: EngineMemory,
    states: list[ServerState],
    need: MemoryNeed,
    waited_s: float = 0.0,
    remaining_s: float = 9.0,
) -> object:
    return memory.decide(
        states,
        need,
        MEMORY,
        5.0,
        is_next=True,
        waited_s=waited_s,
        remaining_s=remaining_s,
    )


def test_servers_without_room_are_no_candidates() -> None:
    memory, full, free = EngineMemory(), make_state("full"), make_state("free")
    memory.reserve(full, make_need(9_000, program="a"), 0.0)
    assert decide(memory, [full, free], make_need(3_000)) == frozenset(("full",))


def test_a_request_waits_briefly_and_is_then_refused() -> None:
    """No server has room; one more request would crash it."""
    memory, full = EngineMemory(), make_state("full")
    memory.reserve(full, make_need(9_000, program="a"), 0.0)
    need = make_need(3_000)
    assert isinstance(decide(memory, [full], need), Wait)
    refused = decide(memory, [full], need, MAX_WAIT_S)
    assert isinstance(refused, Refuse) and refused.retry_after_s > 0
    short_s = 0.5
    waited_s = MAX_WAIT_FRACTION * short_s
    assert isinstance(
        decide(memory, [full], need, waited_s, short_s - waited_s), Refuse
    )


def test_a_request_that_never_fits_is_refused() -> None:
    memory, state = EngineMemory(), make_state()
    assert isinstance(decide(memory, [state], make_need(20_000), MAX_WAIT_S), Refuse)


def test_a_large_request_runs_on_an_unused_server() -> None:
    assert decide(EngineMemory(), [make_state()], make_need(9_800)) == frozenset()


def test_waiting_requests_go_first_by_rank_and_arrival() -> None:
    """A new request must not take the memory that an older one waits for."""
    memory = EngineMemory()
    assert memory.is_next("svc", 2, None)
    first, urgent = memory.enter("svc", 1), memory.enter("svc", 0)
    assert not memory.is_next("svc", 1, None) and not memory.is_next("svc", 1, first)
    assert memory.is_next("svc", 0, urgent)
    memory.leave("svc", urgent)
    assert memory.is_next("svc", 1, first) and memory.is_next("svc", 0, None)
    memory.leave("svc", first)
    assert memory.is_next("svc", 9, None)


def test_requests_of_other_relays_count() -> None:
    state = make_state()
    memory = EngineMemory(FixedLoad(OthersTokens(4, 8_000)))
    assert not memory.has_room(state, make_need(3_000), MEMORY, 0.0)
    assert memory.has_room(state, make_need(1_000), MEMORY, 0.0)


def count_exceeded_periods() -> int:
    """Let ten relays fill what they see free; count how often that is too much."""
    state = make_state()
    exceeded = 0
    total_tokens = 0
    for period in range(50):
        tokens = 0
        for relay in range(10):
            memory = EngineMemory(FixedLoad(OthersTokens(10, 5_000)), f"relay{relay}")
            need = make_need(900)
            earlier = memory.reserve(state, need, period - 10.0)
            memory.release(earlier)
            memory.observe("svc", [state], float(period))
            while memory.has_room(state, need, MEMORY, float(period)):
                memory.reserve(state, need, float(period))
                tokens += need.total_tokens
        exceeded += tokens > 5_000
        total_tokens += tokens
    assert total_tokens > 0
    return exceeded


def test_relays_share_the_free_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    """Ten relays with as many requests as they can send see the same free memory.

    Without shares, all of them send requests, which together exceed it.
    """
    assert count_exceeded_periods() <= 5
    monkeypatch.setattr(EngineMemory, "_is_own_share", lambda *_: True)
    assert count_exceeded_periods() == 50


def test_the_load_report_is_used_without_a_picture() -> None:
    memory, state = EngineMemory(), make_state()
    memory.release(memory.reserve(state, make_need(2_000, program="a"), 0.0))
    assert memory.has_room(state, make_need(2_000), MEMORY, 0.0)
    state.record_load(Load(4, 1, 8), 0.0)
    assert not memory.has_room(state, make_need(2_000), MEMORY, 0.1)
    assert memory.has_room(state, make_need(2_000), MEMORY, 5.0), "too old"


def test_wrong_figures_of_others_make_no_room() -> None:
    """A relay with a fault reports negative sums."""
    memory, state = EngineMemory(FixedLoad(OthersTokens(-5, -9_999))), make_state()
    memory.observe("svc", [state], 0.0)
    memory.reserve(state, make_need(9_000, program="a"), 0.0)
    assert not memory.has_room(state, make_need(3_000), MEMORY, 0.0)
