"""Which crashes the soak reports, and which it excuses."""

from __future__ import annotations

from tests.soak.crashes import MAX_CRASHES, CrashChecker


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
