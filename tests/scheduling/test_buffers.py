"""The byte budget of a relay, replayed in virtual time and under drawn orders."""

from __future__ import annotations

import random

import pytest

from wisteriastair.scheduling.buffers import (
    MIN_SHARE_BYTES,
    OVER_SHARE_TIMEOUT_S,
    RESTING_BYTES,
    STALL_TIMEOUT_S,
    Account,
    BufferBudget,
    BufferLimits,
    make_buffer_limits,
)

MEMORY_BYTES = 128 * 1024 * 1024
CACHE_BYTES = int(MEMORY_BYTES * 0.12)
LIMITS = make_buffer_limits(MEMORY_BYTES, CACHE_BYTES)
SMALL = BufferLimits(1_000_000, 700_000, 500_000)
TICK_S = 0.05
REFRESH_TICKS = 5


class Connection:
    """A connection whose other side reads at a given rate (bytes per second)."""

    def __init__(
        self, budget: BufferBudget, read_rate: float = 0.0, *, is_caller: bool = True
    ) -> None:
        self.budget = budget
        self.read_rate = read_rate
        self.unsent = 0
        self.closed_for = ""
        self.account: Account = budget.open(
            is_caller=is_caller,
            measure=lambda: self.unsent,
            disconnect=self._disconnect,
        )

    def _disconnect(self, reason: str) -> None:
        self.closed_for = reason
        self.unsent = 0

    def write(self, size: int) -> None:
        if not self.closed_for:
            self.unsent += size
            self.budget.record_written(self.account, size, self.unsent)

    def read(self, seconds: float) -> None:
        self.unsent = max(0, self.unsent - int(self.read_rate * seconds))


class Replay:
    """Callers that arrive, get one plain response each, and read it."""

    def __init__(self) -> None:
        self.budget = BufferBudget(LIMITS)
        self.slow: list[Connection] = []
        self.fast: list[Connection] = []
        self.refused_fast = 0
        # What the process would hold without a budget.
        self.unbounded_bytes = 0.0
        self.unbounded_peak = 0.0
        self._unbounded: list[float] = []

    def run(self, seconds: int, slow_per_s: int, response_bytes: int) -> None:
        rng = random.Random(1)
        for tick in range(int(seconds / TICK_S)):
            for _ in range(2):
                self._arrive(self.fast, 100_000, 10_000_000.0)
            if rng.random() < slow_per_s * TICK_S:
                self._arrive(self.slow, response_bytes, 20_000.0)
                self._unbounded.append(response_bytes)
            for conn in [*self.slow, *self.fast]:
                conn.read(TICK_S)
            self._unbounded = [b - 20_000 * TICK_S for b in self._unbounded if b > 0]
            self.unbounded_peak = max(self.unbounded_peak, sum(self._unbounded))
            if tick % REFRESH_TICKS == 0:
                self.budget.refresh(tick * TICK_S)
            assert self.budget.held_bytes <= LIMITS.budget_bytes

    def _arrive(self, callers: list[Connection], size: int, rate: float) -> None:
        if not self.budget.admits(0):
            self.refused_fast += callers is self.fast
            return
        conn = Connection(self.budget, rate)
        callers.append(conn)
        conn.write(size)


def test_slow_readers_of_large_responses_leave_fast_readers_unaffected() -> None:
    """Many callers read responses of 1 MB at 20 kB/s from a relay of 128 MB.

    Without a budget, the unread responses exceed the memory of the process, which is
    killed with all its callers.  With it, no fast reader is refused or disconnected.
    """
    replay = Replay()
    replay.run(120, 3, 1_000_000)
    assert replay.unbounded_peak > MEMORY_BYTES - RESTING_BYTES - CACHE_BYTES
    assert replay.budget.peak_bytes <= LIMITS.budget_bytes
    assert replay.refused_fast == 0
    assert not any(conn.closed_for for conn in replay.fast)
    assert any(conn.closed_for for conn in replay.slow)


def test_a_flood_of_slow_readers_stays_within_the_budget() -> None:
    """Slow readers arrive faster than they can be disconnected.

    New requests are refused, but no fast reader is disconnected, and the sum stays
    within the budget at all times.
    """
    replay = Replay()
    replay.run(60, 20, 1_000_000)
    assert replay.budget.refused_count > 0
    assert not any(conn.closed_for for conn in replay.fast)


def test_a_slow_reader_of_a_stream_is_closed_after_its_share_only() -> None:
    """One caller reads nothing; its stream must not pause before its share is used up.

    The others' data and the acceptance of new requests are not affected.
    """
    budget = BufferBudget(SMALL)
    other = Connection(budget)
    other.write(10_000)
    slow = Connection(budget)
    written = 0
    while budget.is_within_share(slow.account):
        assert not budget.is_refusing
        slow.write(1_000)
        written += 1_000
    # A third of what is free below the low-water mark.
    assert 160_000 < written < 170_000
    assert budget.is_within_share(other.account)
    budget.disconnect_slow(slow.account)
    assert (slow.closed_for, other.closed_for) == ("share", "")
    assert budget.held_bytes == 10_000


def test_many_slow_readers_get_equal_shares() -> None:
    """Twenty callers read nothing and get streams at the same rate.

    Each gets an equal part; a caller that came first must not leave nothing to others.
    """
    budget = BufferBudget(LIMITS)
    conns = [Connection(budget) for _ in range(20)]
    for _ in range(2_000):
        for conn in conns:
            if budget.is_within_share(conn.account):
                conn.write(4_096)
    part = LIMITS.low_bytes / 22
    assert part > MIN_SHARE_BYTES
    for conn in conns:
        assert conn.unsent == pytest.approx(part, rel=0.1)
    assert not budget.is_refusing


def test_a_ready_response_is_delivered_though_it_exceeds_the_share() -> None:
    """A complete response larger than the share must not close its caller."""
    budget = BufferBudget(SMALL)
    conn = Connection(budget)
    conn.write(450_000)
    budget.refresh(0.0)
    budget.refresh(60.0)
    assert conn.closed_for == ""


def test_callers_that_read_nothing_do_not_keep_a_relay_refusing() -> None:
    """Ten callers hold data below the smallest share and never read.

    Without the time-out, the relay would refuse all requests from then on.
    """
    budget = BufferBudget(SMALL)
    conns = [Connection(budget) for _ in range(12)]
    for conn in conns:
        conn.write(MIN_SHARE_BYTES - 1_000)
    assert budget.is_refusing
    for now in (0.0, OVER_SHARE_TIMEOUT_S, STALL_TIMEOUT_S - 0.1):
        budget.refresh(now)
        assert not any(conn.closed_for for conn in conns)
    budget.refresh(STALL_TIMEOUT_S)
    assert not budget.is_refusing
    assert {conn.closed_for for conn in conns} == {"stalled", ""}


def test_callers_that_make_progress_are_not_stalled() -> None:
    """A caller whose stream grows as fast as it reads must not count as stalled."""
    budget = BufferBudget(SMALL)
    conns = [Connection(budget, 2_000.0) for _ in range(12)]
    for conn in conns:
        conn.write(60_000)
    for second in range(20):
        budget.refresh(float(second))
        for conn in conns:
            conn.read(1.0)
            conn.write(2_000)
    assert not any(conn.closed_for for conn in conns)


def test_above_the_budget_the_slowest_caller_is_closed_first() -> None:
    """Bodies of requests fill the budget; a slow caller is given up before a request.

    Without any slow caller, the largest request is given up rather than the process.
    """
    budget = BufferBudget(SMALL)
    slow = Connection(budget)
    slow.write(60_000)
    servers = [Connection(budget, is_caller=False) for _ in range(4)]
    for number, server in enumerate(servers):
        budget.keep(server.account, 200_000 + number)
    budget.keep(servers[0].account, 150_000)
    assert slow.closed_for == "budget"
    assert not any(server.closed_for for server in servers)
    budget.keep(servers[3].account, 100_000)
    assert [bool(server.closed_for) for server in servers] == [
        True,
        False,
        False,
        False,
    ]
    assert budget.held_bytes <= SMALL.budget_bytes


def test_the_unsent_body_for_a_slow_server_counts_and_is_not_closed() -> None:
    """A server reads a large body slowly: new requests are refused, the body stays."""
    budget = BufferBudget(SMALL)
    server = Connection(budget, 100_000.0, is_caller=False)
    server.write(750_000)
    assert not budget.admits(0)
    for second in range(3):
        server.read(1.0)
        budget.refresh(float(second))
    assert server.closed_for == ""
    assert budget.admits(0)


def test_requests_are_refused_between_the_marks_only_after_the_high_mark() -> None:
    """Without hysteresis, the state would change with each request at the mark."""
    budget = BufferBudget(SMALL)
    conn = Connection(budget, is_caller=False)
    budget.keep(conn.account, 699_000)
    assert budget.admits(0)
    changes = 0
    for _ in range(100):
        for size in (2_000, -2_000):
            before = budget.is_refusing
            (budget.keep if size > 0 else budget.free)(conn.account, abs(size))
            changes += budget.is_refusing != before
    assert changes == 1
    budget.free(conn.account, 200_000)
    assert budget.admits(0)


def test_a_body_that_does_not_fit_is_refused() -> None:
    """A body that would exceed the budget must be refused before it is read."""
    budget = BufferBudget(SMALL)
    assert not budget.admits(SMALL.budget_bytes + 1)
    assert budget.admits(SMALL.budget_bytes)


@pytest.mark.parametrize("seed", range(30))
def test_accounts_return_to_zero_in_any_order(seed: int) -> None:
    """Connections die at any point; bytes that are not returned would add up.

    The sum must equal the accounts after each step, and be zero at the end.
    """
    rng = random.Random(seed)
    budget = BufferBudget(SMALL)
    conns: list[Connection] = []
    opened: list[Connection] = []
    for step in range(600):
        action = rng.randrange(7)
        if action == 0 or not conns:
            conn = Connection(
                budget, rng.uniform(0, 50_000), is_caller=rng.random() < 0.7
            )
            conns.append(conn)
            opened.append(conn)
            continue
        conn = rng.choice(conns)
        size = rng.randrange(1, 120_000)
        if action == 1:
            conn.write(size)
        elif action == 2:
            budget.keep(conn.account, size)
        elif action == 3:
            budget.free(conn.account, size)
        elif action == 4:
            conn.read(1.0)
        elif action == 5:
            budget.refresh(step * 0.1)
        elif rng.random() < 0.3:
            budget.close(conn.account)
            conns.remove(conn)
        assert budget.held_bytes == sum(c.account.held_bytes for c in opened)
        assert 0 <= budget.held_bytes <= SMALL.budget_bytes
    for conn in opened:
        budget.close(conn.account)
    assert budget.held_bytes == 0


def test_budget_of_the_smallest_relays() -> None:
    """A budget above the memory left would let the process be killed."""
    for megabytes in (64, 128, 136, 552):
        memory = megabytes * 1024 * 1024
        cache = int(memory * 0.12)
        limits = make_buffer_limits(memory, cache)
        assert 0 < limits.low_bytes < limits.high_bytes < limits.budget_bytes
        assert limits.budget_bytes <= memory - RESTING_BYTES - cache
