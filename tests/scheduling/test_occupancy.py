"""Estimate of the requests at a service's servers, and of the time of turns."""

from __future__ import annotations

from typing import NamedTuple

import pytest

from wisteriastair.scheduling.fleet import MAX_LOAD_AGE_S, Load, Server, ServerState
from wisteriastair.scheduling.occupancy import (
    FULL_OCCUPANCY,
    MAX_PAUSE_S,
    MIN_KNOWN_SERVERS,
    NoSharedLoads,
    Occupancy,
    TurnTimes,
    observe,
)

SLOTS = 6


class Loads(NamedTuple):
    in_flight: float
    age_s: float


class Shared:
    """The same load of others at each server."""

    def __init__(self, loads: Loads) -> None:
        self.loads = loads

    def others(self, incarnation: str, now: float) -> Loads:
        return self.loads


def make_states(count: int) -> list[ServerState]:
    return [
        ServerState(Server(f"s{n}", "svc", "a:1", "d", SLOTS, False, 0.0))
        for n in range(count)
    ]


def occupancy_of(states: list[ServerState], now: float = 0.0) -> Occupancy:
    occupancy = observe(states, NoSharedLoads(), now)
    assert occupancy is not None
    return occupancy


def test_load_is_unknown_without_enough_reports() -> None:
    """One server queues because it is slow; the others may be idle."""
    states = make_states(5)
    assert observe(states, NoSharedLoads(), 0.0) is None
    for state in states[: MIN_KNOWN_SERVERS - 1]:
        state.record_load(Load(SLOTS, 9, SLOTS), 0.0)
    assert observe(states, NoSharedLoads(), 0.0) is None


def test_the_known_servers_stand_for_the_others() -> None:
    states = make_states(6)
    for state in states[:MIN_KNOWN_SERVERS]:
        state.record_load(Load(SLOTS, SLOTS, SLOTS), 0.0)
    occupancy = occupancy_of(states)
    assert occupancy.requests == 2 * occupancy.slots == 2 * 6 * SLOTS
    assert occupancy.is_queueing


def test_reported_free_slots_count_more_than_the_sum() -> None:
    """A relay knows a few servers, and most of these queue: others may be idle.

    A report stops counting when this relay has sent enough requests to fill the slots.
    """
    states = make_states(4)
    for state in states:
        state.record_load(Load(SLOTS, 9, SLOTS), 0.0)
    states[0].record_load(Load(SLOTS - 2, 0, SLOTS), 0.0)
    assert not occupancy_of(states).is_queueing
    states[0].in_flight = 2
    assert occupancy_of(states).is_queueing


def test_outdated_reports_are_ignored() -> None:
    states = make_states(3)
    for state in states:
        state.record_load(Load(SLOTS, 9, SLOTS), 0.0)
    assert observe(states, NoSharedLoads(), MAX_LOAD_AGE_S + 0.1) is None


def test_own_requests_count_without_any_report() -> None:
    """All reports are lost while this relay alone has more requests than slots."""
    states = make_states(3)
    for state in states:
        state.in_flight = 2 * SLOTS
    occupancy = occupancy_of(states)
    assert occupancy.requests == 2 * occupancy.slots
    assert occupancy.own_share == 1.0


def test_a_server_that_rejects_as_full_counts_as_queueing() -> None:
    states = make_states(3)
    for state in states:
        state.full_at = 0.0
    occupancy = occupancy_of(states)
    assert occupancy.is_queueing
    assert occupancy.requests == FULL_OCCUPANCY * occupancy.slots


@pytest.mark.parametrize(
    "loads",
    [
        Loads(float("nan"), 0.0),
        Loads(float("inf"), 0.0),
        Loads(-1.0, 0.0),
        Loads(1e9, 0.0),
        Loads(5.0, -1.0),
        Loads(5.0, 9.0),
        Loads(5.0, float("nan")),
    ],
)
def test_an_implausible_load_of_others_is_ignored(loads: Loads) -> None:
    """A peer states a wrong age or number; own observations must still decide."""
    assert observe(make_states(3), Shared(loads), 0.0) is None


def test_the_shared_picture_counts_more_than_old_reports() -> None:
    states = make_states(3)
    for state in states:
        state.record_load(Load(SLOTS, 30, SLOTS), 0.0)
        state.in_flight = 1
    occupancy = observe(states, Shared(Loads(2.0, 0.1)), 0.5)
    assert occupancy is not None
    assert occupancy.requests == 9.0
    assert occupancy.age_s == pytest.approx(0.1)


def test_waiting_turns_do_not_raise_the_time_of_a_turn() -> None:
    """In a long overload all turns wait.

    If the wait counted as time of the turn, programs would seem to have fewer turns and
    to need no slots, and all would be admitted again.
    """
    times = TurnTimes()
    times.record_turn(0.9, True)
    assert times.turn_s == 0.9, "the best that is known"
    times.record_turn(0.3, False)
    for _ in range(100):
        times.record_turn(2.0, True)
    assert times.turn_s == pytest.approx(0.3)
    times.record_turn(0.0, False)
    assert times.turn_s == pytest.approx(0.3), "an impossible time is ignored"


def test_a_long_pause_of_a_user_counts_as_a_short_one() -> None:
    times = TurnTimes()
    for _ in range(500):
        times.record_pause(600.0)
    assert times.pause_s <= MAX_PAUSE_S


def test_a_large_service_is_observed_by_a_sample() -> None:
    """With 300 servers, a full scan would cost more than the rest of a request."""
    states = make_states(300)
    for state in states:
        state.in_flight = 1
        state.record_load(Load(SLOTS, SLOTS, SLOTS), 0.0)
    occupancy = occupancy_of(states)
    assert occupancy.slots == pytest.approx(300 * SLOTS)
    assert occupancy.requests == pytest.approx(2 * 300 * SLOTS)
    assert occupancy.own_share == pytest.approx(1 / (2 * SLOTS))
