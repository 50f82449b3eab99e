"""Priorities of turns at engines, computed from the time that programs have left."""

from __future__ import annotations

import pytest

from tests.scheduling.engine_programs import (
    KINDS,
    ByRank,
    BySlack,
    EngineSimulation,
    Priorities,
)
from wisteriastair.scheduling.urgency import (
    MAX_KINDS,
    MAX_PROGRAMS,
    PRIORITIES,
    PROGRAM_IDLE_S,
    Band,
    ProgramNeeds,
    engine_priority,
    rank_bands,
)

SEEDS = range(8)
TOKENS = 100


def values(make: type[ByRank] | type[BySlack], start: float, end: float) -> float:
    total = 0.0
    for seed in SEEDS:
        priorities: Priorities = ByRank() if make is ByRank else BySlack(seed)
        simulation = EngineSimulation(seed, priorities)
        simulation.run(60.0)
        total += simulation.value_share(start, end)
    return total / len(SEEDS)


def test_programs_have_more_value_in_a_burst_than_by_rank_alone() -> None:
    """A burst of 1.8 times the load for 6 s makes turns wait at engines.

    By rank and arrival alone, programs that are late lose their whole value behind
    programs with plenty of time.
    """
    assert values(BySlack, 9.0, 16.0) > values(ByRank, 9.0, 16.0) + 0.015
    assert values(BySlack, 5.0, 25.0) > values(ByRank, 5.0, 25.0) + 0.005


def test_urgent_ranks_lose_nothing() -> None:
    """Steps inside a rank must not let a less urgent rank go first."""
    for seed in SEEDS:
        by_slack = BySlack(seed)
        shares = []
        for priorities in (ByRank(), by_slack):
            simulation = EngineSimulation(seed, priorities)
            simulation.run(60.0)
            shares.append(simulation.on_time_share("talk", 5.0, 25.0))
        assert shares[1] >= shares[0] - 0.02
        assert max(by_slack.used[0]) < min(by_slack.used[2])
        assert len(by_slack.used[2]) > 1, "steps inside a rank are used"


def test_without_finish_times_the_order_is_that_of_ranks() -> None:
    """Callers that state no time left are served as by rank and arrival alone."""
    by_rank, by_slack = (
        EngineSimulation(1, priorities)
        for priorities in (ByRank(), BySlack(1, knows_finish=False))
    )
    by_rank.run(60.0)
    by_slack.run(60.0)
    assert by_rank.value_share(5.0, 25.0) == by_slack.value_share(5.0, 25.0)


@pytest.mark.parametrize("count", range(1, PRIORITIES + 1))
def test_ranks_never_cross(count: int) -> None:
    ranks = frozenset(range(count))
    bands = rank_bands(ranks)
    assert sum(band.width for band in bands.values()) <= PRIORITIES
    extremes = [
        (
            min(engine_priority(bands[rank], left, 1.0) for left in (0.0, 1.0, 99.0)),
            max(engine_priority(bands[rank], left, 1.0) for left in (0.0, 1.0, 99.0)),
        )
        for rank in range(count)
    ]
    for (_, last), (first, _) in zip(extremes, extremes[1:], strict=False):
        assert last < first
    assert extremes[0][0] == 0 and extremes[-1][1] < PRIORITIES


def test_ranks_without_room_for_steps_keep_their_priority() -> None:
    """With six ranks or more, or a rank above 9, the rank alone decides."""
    ranks = frozenset((0, 1, 2, 5, 8, 12))
    priorities = [
        engine_priority(rank_bands(ranks)[r], 0.0, 5.0) for r in sorted(ranks)
    ]
    assert priorities == [0, 1, 2, 5, 8, 9]


def test_priority_of_a_rank_depends_on_the_configuration_only() -> None:
    """Relays that learned different needs must use the same priorities for a rank."""
    assert rank_bands(frozenset((0, 1, 2))) == {
        0: Band(0, 3),
        1: Band(3, 3),
        2: Band(6, 3),
    }
    assert rank_bands(frozenset((2, 0))) == {0: Band(0, 5), 2: Band(5, 5)}


def test_less_time_is_never_less_urgent() -> None:
    for width in range(1, PRIORITIES + 1):
        band = Band(0, width)
        steps = [engine_priority(band, 0.05 * n, 1.0) for n in range(60)]
        assert steps == sorted(steps)
        assert set(steps) == set(range(width))


def test_need_follows_turns_tokens_and_pauses() -> None:
    needs = ProgramNeeds()
    assert needs.need_s("talk", "p", TOKENS) is None, "nothing is learned yet"
    now = 0.0
    for number in range(60):
        now += 10.0
        for turn in range(4):
            name = f"p{number}"
            needs.record_start("talk", name, now, is_first=turn == 0)
            needs.record_end("talk", name, TOKENS, 0.5, now + 0.5)
            now += 0.5 + 0.1
    now += 2 * PROGRAM_IDLE_S
    needs.record_start("talk", "new", now, is_first=True)
    first = needs.need_s("talk", "new", TOKENS)
    assert first is not None
    assert first == pytest.approx(4 * 0.5 + 3 * 0.1, rel=0.1)
    assert needs.need_s("talk", "new", 2 * TOKENS) == pytest.approx(
        first + 0.5, rel=0.1
    )
    for _ in range(3):
        needs.record_end("talk", "new", TOKENS, 0.5, now)
    assert needs.need_s("talk", "new", TOKENS) == pytest.approx(0.5, rel=0.1)
    # The first turns of this program were served by another relay.
    halfway = needs.need_s("talk", "elsewhere", TOKENS)
    assert halfway is not None
    assert 0.5 < halfway < first


def test_a_queue_does_not_raise_the_need() -> None:
    """Half of the turns wait ten times as long as they run.

    If the wait counted as need, all programs would look late, and their order would be
    by chance.
    """
    needs = ProgramNeeds()
    for number in range(400):
        seconds = 0.2 if number % 2 else 2.2
        needs.record_end("talk", "", TOKENS, seconds, float(number))
    assert needs.need_s("talk", "", TOKENS) == pytest.approx(0.2, rel=0.2)


def test_programs_that_break_off_are_not_short() -> None:
    """Programs whose last turn failed must not lower the expected turns."""
    needs = ProgramNeeds()
    for number in range(50):
        now = 100.0 * number
        for turn in range(4 if number % 2 else 1):
            needs.record_start("talk", f"p{number}", now, is_first=turn == 0)
            needs.record_end("talk", f"p{number}", TOKENS, 0.5, now)
        if not number % 2:
            needs.record_start("talk", f"p{number}", now, is_first=False)
    needs.record_start("talk", "new", 1e5, is_first=True)
    need_s = needs.need_s("talk", "new", TOKENS)
    assert need_s is not None and need_s > 3.5 * 0.5


def test_state_is_bounded() -> None:
    """Callers choose ids of programs, and routes may be many."""
    needs = ProgramNeeds()
    for number in range(MAX_PROGRAMS + 100):
        needs.record_start(f"kind{number}", f"p{number}", 1.0, is_first=True)
        needs.record_end(f"kind{number}", f"p{number}", TOKENS, 0.1, 1.0)
    needs.record_start("talk", "last", 1.0, is_first=True)
    assert len(needs._programs) <= MAX_PROGRAMS
    assert len(needs._kinds) <= MAX_KINDS


def test_kinds_of_the_simulation_have_room_for_steps() -> None:
    bands = rank_bands(frozenset(kind.rank for kind in KINDS))
    assert all(band.width > 1 for band in bands.values())
