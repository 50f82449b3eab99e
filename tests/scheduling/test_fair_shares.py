"""Max-min fair shares, and who is over its share."""

from __future__ import annotations

import random

import pytest

from wisteriastair.scheduling.fair_shares import (
    MAX_PARTIES,
    MEMORY_S,
    FairShares,
    max_min_shares,
)


def test_what_one_party_leaves_is_divided_by_weight() -> None:
    shares = max_min_shares(
        {"small": 1.0, "a": 90.0, "b": 90.0}, {"small": 5.0, "a": 2.0, "b": 1.0}, 10.0
    )
    assert shares == pytest.approx({"small": 1.0, "a": 6.0, "b": 3.0})


def test_shares_are_max_min_fair_for_drawn_demands() -> None:
    """A share below its demand must be the largest per weight.

    Otherwise a party could get more at the expense of one that has more.
    """
    rng = random.Random(3)
    for _ in range(300):
        names = [f"c{n}" for n in range(rng.randint(1, 12))]
        demands = {name: rng.uniform(0, 20) for name in names}
        weights = {name: rng.choice([0.1, 1.0, 7.0]) for name in names}
        capacity = rng.uniform(0, 100)
        shares = max_min_shares(demands, weights, capacity)
        assert sum(shares.values()) == pytest.approx(
            min(capacity, sum(demands.values()))
        )
        highest = max(shares[name] / weights[name] for name in names)
        for name in names:
            assert shares[name] <= demands[name] + 1e-9
            if shares[name] < demands[name] - 1e-6:
                assert shares[name] / weights[name] == pytest.approx(highest)


def test_a_party_alone_is_never_over_its_share() -> None:
    """What others leave must be usable; otherwise slots would stay idle."""
    fair = FairShares()
    for _ in range(50):
        fair.record_demand("a", 1.0, 0.0)
        fair.record_start("a", 0.0)
    assert not fair.is_over_share("a", 0.0)
    fair.record_demand("b", 1.0, 0.0)
    fair.record_start("b", 0.0)
    assert not fair.is_over_share("a", 0.0), "b has all that it asked for"


def test_a_party_with_more_than_its_share_yields_to_one_that_waits() -> None:
    fair = FairShares()
    for _ in range(50):
        fair.record_demand("a", 1.0, 0.0)
        fair.record_start("a", 0.0)
    for _ in range(10):
        fair.record_demand("b", 1.0, 0.0)
    assert fair.is_over_share("a", 0.0)
    assert not fair.is_over_share("b", 0.0)


def test_a_party_with_all_that_it_asks_for_is_not_over_its_share() -> None:
    """A large customer is not limited before anyone had to be refused."""
    fair = FairShares()
    for _ in range(50):
        fair.record_demand("a", 1.0, 0.0)
        fair.record_start("a", 0.0)
    fair.record_demand("b", 1.0, 0.0)
    assert fair.is_over_share("a", 0.0), "b waits"
    fair.record_start("b", 0.0)
    assert not fair.is_over_share("a", 0.0)


def test_old_starts_are_forgotten() -> None:
    """A customer was large an hour ago; it must not pay for that now."""
    fair = FairShares()
    for _ in range(50):
        fair.record_start("a", 0.0)
    later = 10 * MEMORY_S
    fair.record_demand("b", 1.0, later)
    assert not fair.is_over_share("a", later)


def test_invalid_weights_and_many_parties_do_no_harm() -> None:
    """A weight of 0 would divide by zero; names of parties must not fill memory."""
    fair = FairShares()
    for number in range(3 * MAX_PARTIES):
        weight = [0.0, -1.0, float("nan"), float("inf")][number % 4]
        fair.record_demand(f"c{number}", weight, 0.0)
        fair.record_start(f"c{number}", 0.0)
    assert len(fair._counts) == MAX_PARTIES
    assert not fair.is_over_share(f"c{3 * MAX_PARTIES - 1}", 0.0)
