"""Tests of the attempts of a turn that the ledger knows when one is reserved."""

from __future__ import annotations

import itertools
import random

from wisteriastair.core.ledger import MAX_SENDS, UNSENT, Account, Entry

DIGEST = b"digest-1"


def reserve(account: Account, number: int, digest: bytes = DIGEST) -> bool:
    account.merge(Entry("p", 60.0, sends={number: digest}), 0.0)
    return account.is_only_send({number: digest})


def test_only_the_first_attempt_is_alone() -> None:
    account = Account("p", 0.0)
    assert reserve(account, 1)
    assert reserve(account, 1)
    assert not reserve(account, 2)
    assert reserve(account, 3, b"digest-2")


def test_attempt_that_was_not_sent_does_not_count() -> None:
    account = Account("p", 0.0)
    reserve(account, 1)
    account.merge(Entry("p", 60.0, sends={1: UNSENT}), 0.0)
    assert reserve(account, 2)
    # The reservation arrives once more, late.
    account.merge(Entry("p", 60.0, sends={1: DIGEST}), 0.0)
    assert reserve(account, 2)


def test_copies_know_the_attempts() -> None:
    account, copy = Account("p", 0.0), Account("p", 0.0)
    reserve(account, 1)
    copy.merge(account.to_entry(), 0.0, is_use=False)
    assert not reserve(copy, 2)


def test_last_attempts_are_remembered() -> None:
    account = Account("p", 0.0)
    for number in range(MAX_SENDS + 10):
        reserve(account, number, bytes([number]) * 8)
    assert len(account.sends) == MAX_SENDS


def test_of_attempts_at_once_one_is_alone_at_most() -> None:
    """Each writes to two of three replicas, which get the writes in any order."""
    rng = random.Random(62)
    for _ in range(500):
        replicas = [Account("p", 0.0) for _ in range(3)]
        quorums = {
            number: rng.choice(list(itertools.combinations(range(3), 2)))
            for number in range(4)
        }
        writes = [(number, r) for number, quorum in quorums.items() for r in quorum]
        rng.shuffle(writes)
        alone = dict.fromkeys(quorums, True)
        for number, replica in writes:
            alone[number] &= reserve(replicas[replica], number)
        assert sum(alone.values()) <= 1
