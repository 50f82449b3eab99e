"""Counts of crashes under requests: what is the same request, and what is forgotten."""

from __future__ import annotations

import pytest

from wisteriastair.scheduling.crashes import (
    ANSWERED_AGE_S,
    MAX_QUARANTINED,
    MAX_REQUESTS,
    SINGLE_QUARANTINE_S,
    AnsweredRequests,
    CrashLimits,
    CrashTable,
    RequestIdentity,
)

TURN = RequestIdentity("c", "POST", "h", "/x", "p", "s", "t0", b"ask")


@pytest.mark.parametrize(
    "other",
    [
        TURN._replace(customer="d"),
        TURN._replace(method="PUT"),
        TURN._replace(host="i"),
        TURN._replace(target="/x?a=1"),
        TURN._replace(program="q"),
        TURN._replace(session="r"),
        TURN._replace(previous_turn="t1"),
        TURN._replace(body=b"ask more"),
        TURN._replace(program="ps", session=""),
    ],
)
def test_other_turns_and_programs_are_other_requests(other: RequestIdentity) -> None:
    table = CrashTable()
    table.add(TURN.key(), [1], 10.0)
    assert table.find(TURN) == TURN.key()
    assert table.find(other) is None


def test_request_without_a_program_is_forgotten_earlier() -> None:
    """Other callers send the same request, and would be refused for ten minutes."""
    limits = CrashLimits()
    single = TURN._replace(program="")
    assert limits.duration_s(TURN) == limits.quarantine_s
    assert limits.duration_s(single) == SINGLE_QUARANTINE_S
    assert CrashLimits(3, 5.0).duration_s(single) == 5.0


def test_requests_are_forgotten_in_time() -> None:
    table = CrashTable()
    table.add(TURN.key(), [1, 2, 3], 100.0)
    table.add(bytes(16), [1], 30.0)
    table.expire(29.0)
    assert len(table) == 2
    table.expire(31.0)
    assert table.keys() == [TURN.key()]
    table.expire(101.0)
    assert table.find(TURN) is None and len(table) == 0


def test_number_of_requests_is_bounded() -> None:
    """The oldest suspects are forgotten first, and no quarantined request for them."""
    table = CrashTable()
    table.add(TURN.key(), [1, 2, 3], 1e6)
    for number in range(2 * MAX_REQUESTS):
        table.add(number.to_bytes(16, "big"), [1], 1e6)
    assert len(table) == MAX_REQUESTS + 1
    assert table.is_quarantined(TURN.key())
    for number in range(2 * MAX_QUARANTINED):
        table.add(b"q" + number.to_bytes(15, "big"), [1, 2, 3], 1e6)
    assert table.quarantined_count == MAX_QUARANTINED


def test_one_server_counts_once() -> None:
    table = CrashTable()
    for _ in range(5):
        table.add(TURN.key(), [7], 10.0)
    assert table.count(TURN.key()) == 1


def test_answers_are_remembered_for_a_short_time() -> None:
    """Only of requests that many callers may send, and only of small ones."""
    answered = AnsweredRequests()
    single = TURN._replace(program="")
    answered.add(single, 0.0)
    answered.add(TURN, 0.0)
    answered.add(single._replace(body=bytes(100_000)), 0.0)
    assert answered.is_recent(single.key(), ANSWERED_AGE_S)
    assert not answered.is_recent(single.key(), ANSWERED_AGE_S + 1.0)
    assert not answered.is_recent(TURN.key(), 0.0)
    assert not answered.is_recent(single._replace(body=bytes(100_000)).key(), 0.0)
