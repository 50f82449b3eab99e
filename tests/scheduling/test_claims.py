"""Tests of the servers that requests claim at keepers."""

from __future__ import annotations

import itertools

import pytest

from wisteriastair.scheduling import claims
from wisteriastair.scheduling.claims import (
    CLAIM_S,
    NO_CLAIM,
    ClaimTable,
    claim_key,
    majority_claim,
)

KEY = claim_key(b"request1", 0)


def test_first_server_that_is_asked_for_stays() -> None:
    table = ClaimTable()
    assert table.claim(KEY, 1, 0.0) == 1
    assert table.claim(KEY, 2, 1.0) == 1
    assert table.claim(claim_key(b"request1", 1), 2, 1.0) == 2


def test_claim_lasts_for_some_time_after_the_last_question() -> None:
    table = ClaimTable()
    table.claim(KEY, 1, 0.0)
    assert table.claim(KEY, 2, CLAIM_S - 1.0) == 1
    assert table.claim(KEY, 2, 2 * CLAIM_S - 2.0) == 1
    assert table.claim(KEY, 2, 4 * CLAIM_S) == 2


def test_no_claim_is_forgotten_for_another_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request whose claim was dropped would get one more server."""
    monkeypatch.setattr(claims, "MAX_CLAIMS", 2)
    table = ClaimTable()
    keys = [claim_key(bytes([number]), 0) for number in range(3)]
    assert [table.claim(key, 5, 0.0) for key in keys] == [5, 5, NO_CLAIM]
    assert table.claim(keys[0], 6, 1.0) == 5


def test_keeper_that_may_have_forgotten_claims_grants_none_at_first() -> None:
    table = ClaimTable(opens_at=10.0)
    assert table.claim(KEY, 1, 9.0) == NO_CLAIM
    assert table.claim(KEY, 1, 10.0) == 1


def test_saved_claims_are_restored() -> None:
    before = ClaimTable()
    before.claim(KEY, 1, 0.0)
    assert before.has_unsaved
    after = ClaimTable()
    after.restore(before.saved(), 100.0)
    assert not before.has_unsaved
    assert after.claim(KEY, 2, 101.0) == 1


@pytest.mark.parametrize("keepers", [1, 2, 3, 4, 5])
def test_relays_that_ask_keepers_in_any_order_get_one_server(keepers: int) -> None:
    """Two relays ask at the same time, and each hears some of the keepers only."""
    numbers = range(keepers)
    for first_to_second in itertools.product([False, True], repeat=keepers):
        replies: dict[int, list[int]] = {1: [], 2: []}
        for is_second_first in first_to_second:
            table = ClaimTable()
            order = (2, 1) if is_second_first else (1, 2)
            for relay in order:
                replies[relay].append(table.claim(KEY, relay, 0.0))
        granted = set()
        for relay in (1, 2):
            for size in range(keepers + 1):
                for heard in itertools.combinations(numbers, size):
                    granted.add(
                        majority_claim([replies[relay][n] for n in heard], keepers)
                    )
        assert len(granted - {NO_CLAIM}) <= 1
