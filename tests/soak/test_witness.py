"""Which failures during planned stops the checker reports, and which it excuses."""

from __future__ import annotations

from tests.soak.witness import Failure, GuaranteeChecker


def _check_failure(failure: Failure, *, ran: bool) -> list[list[str]]:
    """Return the labels of the violations and of the excused failures.

    The relay is signalled to stop at second 10 and ends at 15.  A process waits for a
    processor from second 2 to 3.
    """
    checker = GuaranteeChecker()
    checker.record_request(failure.id, "unsafe")
    if ran:
        checker.record_execution(failure.id, "")
    number = checker.record_stop_start("relay-1", 10.0)
    checker.starved_intervals.append((2.0, 3.0))
    checker.record_failure(failure)
    checker.record_stop_end(number, 15.0)
    return [
        [line.partition(":")[0] for line in lines]
        for lines in (checker.find_violations(), checker.excused)
    ]


def test_an_executed_request_gets_a_complete_response() -> None:
    """Only failures at a stopping relay, within the wait of the caller, count."""
    cut = Failure("u1", "relay-1", 12.0, 12.1, 0)
    assert _check_failure(cut, ran=True) == [["cut"], []]
    assert _check_failure(cut._replace(status=502), ran=True) == [["cut"], []]
    # Sent before the signal, cut after it.
    assert _check_failure(cut._replace(sent_at=9.0, ended_at=10.5), ran=True) == [
        ["cut"],
        [],
    ]
    for allowed in (
        cut._replace(relay="relay-2"),
        cut._replace(ended_at=14.0),
        cut._replace(sent_at=16.0, ended_at=16.1),
        cut._replace(sent_at=8.0, ended_at=8.5),
    ):
        assert _check_failure(allowed, ran=True) == [[], []]


def test_a_connection_ends_soon_or_with_a_response() -> None:
    """A request that crosses the end of its connection is not a violation."""
    crossing = Failure("u1", "relay-1", 12.0, 12.1, 0)
    assert _check_failure(crossing, ran=False) == [[], []]
    assert _check_failure(crossing._replace(ended_at=12.3), ran=False) == [["held"], []]


def test_a_failure_near_an_unplanned_event_is_excused() -> None:
    """Failures count again from 3 s after the event."""
    near = Failure("u1", "relay-1", 9.5, 10.5, 0)
    checker = GuaranteeChecker()
    checker.record_execution("u1", "")
    checker.violations.clear()
    checker.record_stop_start("relay-1", 10.0)
    checker.starved_intervals.append((6.0, 6.6))
    checker.record_failure(near)
    checker.record_failure(near._replace(sent_at=9.7))
    assert [line.partition(":")[0] for line in checker.find_violations()] == ["cut"]
    assert [line.partition(":")[0] for line in checker.excused] == ["cut"]


def test_a_process_that_has_to_be_killed_is_reported() -> None:
    """It is excused only if a process waited for a processor at that moment."""
    checker = GuaranteeChecker()
    checker.record_forced_kill(checker.record_stop_start("relay-1", 10.0))
    assert checker.find_violations() == ["stop: relay-1 had to be killed"]
