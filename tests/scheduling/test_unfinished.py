"""Unfinished requests in the byte budget: which of them give way, and to whom."""

from __future__ import annotations

import random

import pytest

from wisteriastair.scheduling.buffers import (
    ARRIVAL_PAUSE_S,
    SMALL_REQUEST_BYTES,
    STALL_TIMEOUT_S,
    UNFINISHED,
    WAITING,
    Account,
    BufferBudget,
    BufferLimits,
)

LIMITS = BufferLimits(1_000_000, 700_000, 500_000)
LARGE = 2 * SMALL_REQUEST_BYTES
SMALL = 1_000


class Arrival:
    """A connection whose request arrives."""

    def __init__(self, budget: BufferBudget) -> None:
        self.reasons: list[str] = []
        self.budget = budget
        self.account: Account = budget.open(
            is_caller=True, measure=lambda: 0, disconnect=self.reasons.append
        )

    def receive(self, size: int, now: float) -> None:
        if not self.reasons:
            self.budget.set_arriving(self.account, size, now)


def test_requests_that_stopped_arriving_give_way_to_new_ones() -> None:
    """Guards against bodies just short of their end that fill the budget."""
    budget = BufferBudget(LIMITS)
    stopped = [Arrival(budget) for _ in range(5)]
    for arrival in stopped:
        arrival.receive(LARGE, 0.0)
    new = [Arrival(budget) for _ in range(5)]
    for arrival in new:
        arrival.receive(LARGE, ARRIVAL_PAUSE_S)
    assert not any(arrival.reasons for arrival in new)
    assert all(arrival.reasons == [UNFINISHED] for arrival in stopped)
    assert budget.admits(0)


def test_small_requests_are_not_dropped_for_large_ones() -> None:
    """Guards against ordinary callers that pay for a crowd which returns at once."""
    budget = BufferBudget(LIMITS)
    ordinary = Arrival(budget)
    ordinary.receive(SMALL, 0.0)
    crowd = [Arrival(budget) for _ in range(50)]
    for number, arrival in enumerate(crowd):
        arrival.receive(LARGE, number * 0.001)
    assert not ordinary.reasons
    assert not crowd[0].reasons, "an early one must be able to finish"
    assert budget.held_bytes <= LIMITS.high_bytes


def test_a_large_body_leaves_room_while_it_is_sent() -> None:
    """Guards against a few large bodies behind slow servers that stop a relay."""
    budget = BufferBudget(LIMITS)
    assert budget.has_room(LIMITS.budget_bytes), "alone, any size is accepted"
    first = Arrival(budget)
    budget.keep_arrived(first.account, 3 * LARGE)
    assert not budget.has_room(LARGE)
    assert budget.admits(SMALL)


def test_callers_of_silent_servers_give_way_once_new_requests_are_refused() -> None:
    """Guards against complete requests behind a silent server that stop a relay."""
    budget = BufferBudget(LIMITS)
    waiting = [Arrival(budget) for _ in range(8)]
    for arrival in waiting:
        budget.keep_arrived(arrival.account, 100_000)
        budget.start_waiting(arrival.account, 0.0)
    answered = Arrival(budget)
    budget.start_waiting(answered.account, 0.0)
    budget.record_written(answered.account, 10, 0)
    budget.refresh(STALL_TIMEOUT_S - 0.1)
    assert budget.is_refusing
    for number in range(len(waiting)):
        budget.refresh(STALL_TIMEOUT_S + number)
    assert not budget.is_refusing
    assert 0 < sum(bool(a.reasons) for a in waiting) < len(waiting)
    assert {reason for a in waiting for reason in a.reasons} == {WAITING}
    assert not answered.reasons


@pytest.mark.parametrize("seed", range(20))
def test_the_sum_is_kept_in_any_order(seed: int) -> None:
    """Bytes of requests that end at any point are returned, once."""
    rng = random.Random(seed)
    budget = BufferBudget(LIMITS, refuses_small=bool(seed % 2))
    arrivals: list[Arrival] = []
    for step in range(500):
        if not arrivals or rng.random() < 0.2:
            arrivals.append(Arrival(budget))
        arrival = rng.choice(arrivals)
        account, action = arrival.account, rng.randrange(6)
        if action <= 2:
            arrival.receive(rng.randrange(1, 3 * LARGE), step * 0.01)
        elif action == 3:
            budget.keep_arrived(account, rng.randrange(1, LARGE))
        elif action == 4:
            budget.free(account, account.kept_bytes)
        else:
            budget.close(account)
            arrivals.remove(arrival)
        assert budget.held_bytes == sum(a.account.held_bytes for a in arrivals)
        unfinished = sum(a.account.arriving_bytes for a in arrivals)
        assert budget.arriving_bytes == unfinished
        assert 0 <= budget.held_bytes <= LIMITS.budget_bytes
