"""Tests of accounts: merging of copies, late and duplicate records, chains, budgets."""

from __future__ import annotations

from itertools import permutations

from wisteriastair.core.ledger import (
    Account,
    Attempt,
    Entry,
    Ledger,
    Turn,
    fits_budget,
    merge_attempts,
)


def reserve(attempt: str, tokens: int) -> Entry:
    return Entry("p", 60.0, {attempt: Attempt(tokens, False)})


def settle(attempt: str, tokens: int, *turns: Turn) -> Entry:
    return Entry("p", 60.0, {attempt: Attempt(tokens, True)}, list(turns))


def test_every_order_of_records_gives_the_same_account() -> None:
    """Records reach the replicas late, duplicated and in any order.

    If a late reservation could undo its settlement, two replicas would disagree on the
    remaining budget, and whether a caller is refused would depend on the replica.
    """
    records = [
        reserve("a", 500),
        settle("a", 200, Turn("t1", "", b"x")),
        reserve("b", 500),
        settle("b", 0),
        reserve("a", 500),
    ]
    results = []
    for order in permutations(records):
        account = Account("p", 0.0)
        for record in order:
            account.merge(record, 0.0)
        results.append((account.attempts, account.turns))
    assert all(result == results[0] for result in results)
    assert results[0][0] == {"a": Attempt(200, True), "b": Attempt(0, True)}


def test_merge_returns_only_new_records() -> None:
    ledger = Ledger()
    assert ledger.merge(reserve("a", 5), 0.0) == reserve("a", 5)
    assert ledger.merge(reserve("a", 5), 0.0) is None


def test_chain_contains_only_stored_turns() -> None:
    account = Account("p", 0.0)
    account.merge(settle("t2", 1, Turn("t2", "t1", b"2")), 0.0)
    assert [turn.content for turn in account.chain("t2")] == [b"2"]
    assert account.chain("t2")[0].previous_id == "t1"
    assert account.chain("t1") == []
    account.merge(settle("t1", 1, Turn("t1", "", b"1")), 0.0)
    assert [turn.content for turn in account.chain("t2")] == [b"1", b"2"]
    assert account.chain("t3") == []


def test_budget_counts_reservations_at_their_maximum() -> None:
    attempts = merge_attempts(
        [
            {"a": Attempt(500, False), "b": Attempt(500, False)},
            {"a": Attempt(100, True), "mine": Attempt(500, False)},
        ]
    )
    assert fits_budget(attempts, "mine", 1_100)
    assert not fits_budget(attempts, "mine", 1_099)


def test_account_expires_after_its_retention() -> None:
    ledger = Ledger()
    ledger.merge(settle("t1", 1, Turn("t1", "", b"12345")), 100.0)
    assert ledger.turn_bytes == 5
    assert ledger.expired_programs(160.0) == []
    (program,) = ledger.expired_programs(166.0)
    ledger.remove(program)
    assert list(ledger.accounts) == []
    assert ledger.turn_bytes == 0
