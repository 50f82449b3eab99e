"""Which crashes the soak reports, and which it excuses."""

from __future__ import annotations

from tests.soak.crashes import MAX_CRASHES, RECORD_S, CrashChecker


def make_checker(count: int, *, answered: bool = True) -> CrashChecker:
    """Make a checker that has seen crashes under one request, one a second."""
    checker = CrashChecker()
    for number in range(count):
        checker.record_crash("fatal", f"a{number}", float(number))
        if answered:
            checker.record_answer(f"a{number}")
    return checker


def test_more_crashes_than_allowed_are_reported() -> None:
    assert make_checker(MAX_CRASHES).find_violations() == []
    assert len(make_checker(MAX_CRASHES + 1).find_violations()) == 1


def test_crashes_of_unanswered_attempts_are_excused() -> None:
    checker = make_checker(MAX_CRASHES + 1, answered=False)
    assert checker.find_violations() == []
    assert len(checker.excused) == 1


def test_counts_in_memory_are_lost_with_all_processes() -> None:
    checker = make_checker(MAX_CRASHES - 1)
    checker.record_all_killed(100.0)
    for number in range(MAX_CRASHES):
        checker.record_crash("fatal", f"b{number}", 101.0)
        checker.record_answer(f"b{number}")
    assert checker.find_violations() == []
    checker.record_crash("fatal", "b9", 102.0)
    checker.record_answer("b9")
    assert len(checker.find_violations()) == 1


def test_recorded_quarantine_must_survive_the_loss_of_all_processes() -> None:
    for down_until, violations in ((float("-inf"), 1), (50.0, 0)):
        checker = make_checker(MAX_CRASHES)
        checker.record_store_outage(down_until)
        checker.record_all_killed(50.0 + RECORD_S / 2)
        checker.record_crash("fatal", "b", 60.0)
        checker.record_answer("b")
        assert len(checker.find_violations()) == violations
