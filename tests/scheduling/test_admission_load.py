"""Admission by several relays, with loads at their worst, in virtual time."""

from __future__ import annotations

import random
from collections import Counter
from functools import partial

import pytest

from tests.scheduling.admission_world import Kind, Picture, World, capacity_per_s
from wisteriastair.scheduling.admission import (
    MARGIN,
    STARVED_FRACTION,
    TARGET_FACTOR,
    Admission,
)
from wisteriastair.scheduling.occupancy import Occupancy

KIND = Kind("kind")
BURST_AT_S = 4.0
END_S = 16.0


def replay(
    seed: int,
    factor: float,
    burst_s: float,
    *,
    base: float = 0.6,
    is_on: bool = True,
    picture_lag_s: float = 0.1,
) -> World:
    """Replay a burst of a multiple of the engines' capacity."""
    world = World(seed, is_on=is_on, picture_lag_s=picture_lag_s)
    capacity = capacity_per_s(world, KIND)

    def rate(now: float) -> float:
        is_burst = BURST_AT_S <= now < BURST_AT_S + burst_s
        return capacity * (factor if is_burst else base)

    world.arrive(KIND, rate, END_S)
    world.run(40.0)
    return world


def overload(capacity: float, now: float) -> float:
    """Rate of programs: four times the capacity for 6 s."""
    return capacity * (4.0 if BURST_AT_S <= now < BURST_AT_S + 6.0 else 0.6)


def steady(rate: float, now: float) -> float:
    return rate


@pytest.mark.parametrize("picture_lag_s", [0.0, 0.1])
def test_more_programs_end_in_time_in_an_overload(picture_lag_s: float) -> None:
    """Four times the capacity arrives for 6 s.

    Without admission all programs share the servers, and nearly all of them end after
    their time or are given up.
    """
    on_time: Counter[bool] = Counter()
    finished: Counter[bool] = Counter()
    for seed in range(3):
        for is_on in (False, True):
            world = replay(seed, 4.0, 6.0, is_on=is_on, picture_lag_s=picture_lag_s)
            on_time[is_on] += world.count("on time")
            finished[is_on] += world.count("on time") + world.count("late")
    assert on_time[True] >= 2 * on_time[False]
    assert finished[True] >= 2 * finished[False]


@pytest.mark.parametrize("seed", range(3))
def test_a_burst_that_servers_can_absorb_is_not_refused(seed: int) -> None:
    """Twice the usual load for 4 s: put off, it would come back into the burst."""
    world = replay(seed, 0.9, 4.0, base=0.45)
    assert world.outcomes["kind", "refused"] == 0
    assert sum(world.refusals.values()) == 0


def test_nothing_is_refused_while_no_request_waits() -> None:
    world = replay(1, 4.0, 6.0)
    assert sum(world.refusals.values()) > 0
    assert world.refusals_with_free_slots == 0


def test_capacity_is_not_given_up_after_the_burst() -> None:
    """A limit that follows a lagging figure could stay at its floor.

    After the burst all programs must start again.
    """
    world = World(2, picture_lag_s=0.1)
    capacity = capacity_per_s(world, KIND)
    world.arrive(KIND, lambda now: capacity * (4.0 if now < 5.0 else 0.5), 40.0)
    world.run(20.0)
    refusals = sum(world.refusals.values())
    world.run(60.0)
    assert refusals > 0
    assert sum(world.refusals.values()) == refusals


@pytest.mark.parametrize("restart_at_s", [5.0, 8.0])
def test_half_of_the_relays_come_back_at_once(restart_at_s: float) -> None:
    """Their memory is empty: they know no load and no programs.

    They must not bring back the collapse that admission prevents.
    """
    on_time: Counter[bool] = Counter()
    for is_on in (False, True):
        world = World(3, is_on=is_on, picture_lag_s=0.1)
        capacity = capacity_per_s(world, KIND)
        world.arrive(KIND, partial(overload, capacity), END_S)
        for number in range(0, len(world.relays), 2):
            world.at(restart_at_s, partial(world.restart, number))
        world.run(40.0)
        on_time[is_on] = world.count("on time")
    assert on_time[True] >= 1.5 * on_time[False]


def test_full_servers_that_reject_are_noticed() -> None:
    """Servers have short queues and reject the rest of the turns.

    Then few requests wait, but turns are sent again and again.
    """
    finished: Counter[bool] = Counter()
    for is_on in (False, True):
        world = World(4, is_on=is_on, max_waiting=4)
        capacity = capacity_per_s(world, KIND)
        world.arrive(KIND, partial(overload, capacity), END_S)
        world.run(40.0)
        finished[is_on] = world.count("on time") + world.count("late")
    assert finished[True] >= 1.5 * finished[False]


def flood_rate(rate: float, now: float) -> float:
    return rate if 4.0 <= now < 12.0 else 0.0


def started(world: World, kind: str, first_s: float, last_s: float) -> int:
    return sum(
        name == kind and first_s <= started_at < last_s
        for started_at, name in world.start_times
    )


def test_a_flooding_customer_gets_its_share_and_what_others_leave() -> None:
    """One customer sends six times the capacity for 8 s; others ask for 0.4 of it.

    The others must be served nearly as if they were alone, and the flood must get the
    rest: servers must not stay idle.
    """
    flood = Kind("flood", has_rank=False)
    small = [Kind(f"small{n}", has_rank=False) for n in range(4)]
    starts: Counter[str] = Counter()
    arrivals: Counter[str] = Counter()
    in_flood: Counter[str] = Counter()
    # A single run has some eighty programs of small customers.
    for seed in range(4):
        world = World(seed, picture_lag_s=0.1)
        capacity = capacity_per_s(world, flood)
        world.arrive(flood, partial(flood_rate, 6.0 * capacity), 12.0)
        for kind in small:
            world.arrive(kind, partial(steady, 0.1 * capacity), 12.0)
        world.run(40.0)
        starts += world.starts
        arrivals += world.arrivals
        for kind in (flood, *small):
            in_flood[kind.name] += started(world, kind.name, 6.0, 12.0)
    capacity_starts = 4 * 6.0 * capacity
    small_starts = sum(starts[kind.name] for kind in small)
    small_arrivals = sum(arrivals[kind.name] for kind in small)
    assert small_starts >= 0.8 * small_arrivals
    assert starts["flood"] <= 0.4 * arrivals["flood"]
    assert in_flood["flood"] <= 0.85 * capacity_starts, "not what others ask for"
    assert in_flood.total() >= 0.9 * capacity_starts, "what others leave is used"


def test_a_less_urgent_kind_is_not_served_better_in_a_burst() -> None:
    """Both kinds overload the service; no customers are configured."""
    urgent = Kind("urgent", rank=0)
    relaxed = Kind("relaxed", rank=2, turns=5, pause_s=0.3)
    starts: Counter[str] = Counter()
    arrivals: Counter[str] = Counter()
    # A single run has some hundred programs, too few to compare two shares.
    for seed in range(4):
        world = World(seed, picture_lag_s=0.1)
        capacity = capacity_per_s(world, urgent)
        world.arrive(urgent, partial(steady, 2.0 * capacity), 10.0)
        world.arrive(relaxed, partial(steady, 2.0 * capacity), 10.0)
        world.run(40.0)
        starts += world.starts
        arrivals += world.arrivals
    served = {name: starts[name] / arrivals[name] for name in ("urgent", "relaxed")}
    assert served["urgent"] > served["relaxed"] > 0, "it must not starve either"


# What relays grant together

LOSSES_FROM_S = 3.0


def losses_world(seed: int) -> World:
    """Draw a world with many relays, a burst, and losses of all sorts."""
    rng = random.Random(seed)
    world = World(
        seed,
        relays=rng.choice([6, 12, 24]),
        engines=6,
        slots=6,
        report_loss=rng.uniform(0.0, 0.6),
        picture_lag_s=rng.choice([0.1, 0.3, 0.8]),
        make_admission=lambda w, n: Admission(Picture(w, n)),
    )
    capacity = capacity_per_s(world, KIND)
    # The burst begins with servers that queue already: without a queue nothing is
    # limited, so that there would be nothing to bound.
    factor = rng.uniform(6.0, 20.0)
    world.arrive(KIND, lambda now: capacity * (1.3 if now < 6 else factor), 9.0)
    for _ in range(rng.randint(0, 6)):
        number = rng.randrange(len(world.relays))
        world.at(rng.uniform(LOSSES_FROM_S, 9.0), partial(world.restart, number))
    for _ in range(rng.randint(0, 6)):
        number = rng.randrange(len(world.relays))
        lost_at = rng.uniform(LOSSES_FROM_S, 9.0)
        world.at(lost_at, partial(world.has_picture.__setitem__, number, False))
        world.at(lost_at + 0.8, partial(world.has_picture.__setitem__, number, True))
    return world


def granted_excess(world: World) -> float:
    """Return the programs under way at most, relative to what the bound allows.

    The bound: the programs that end in time by the margin, with the fraction for those
    that would starve; one program of each relay, which it may start with observations
    of any age; and what relays start that observe nothing, after a restart or without
    any report.
    """
    world.run(40.0)
    cycle = (KIND.turn_s + KIND.pause_s) / KIND.turn_s
    in_time = world.slots * cycle * MARGIN * TARGET_FACTOR * (1 + STARVED_FRACTION)
    blind = sum(started_at >= LOSSES_FROM_S for started_at in world.blind_starts)
    return world.max_under_way / (in_time + len(world.relays) + blind)


@pytest.mark.parametrize("seed", range(24))
def test_relays_grant_no_more_than_the_capacity(seed: int) -> None:
    """Messages, load reports and relays are lost in a drawn order."""
    assert granted_excess(losses_world(seed)) <= 1.0


def test_without_the_safeguard_relays_grant_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each relay counts on the whole room that it observes, as if it were alone."""
    monkeypatch.setattr(Occupancy, "own_share", property(lambda occupancy: 1e9))
    assert max(granted_excess(losses_world(seed)) for seed in range(24)) > 1.0
