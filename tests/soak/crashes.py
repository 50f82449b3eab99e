"""Requests of a soak that crash each server that starts them."""

from __future__ import annotations

from collections import defaultdict
from typing import Final, NamedTuple

FATAL_PREFIX: Final = "fatal-"
# Servers that may crash under one request.
MAX_CRASHES: Final = 3
# How servers end so that the evidence comes after the end of the request.
LATE_WAYS: Final = ("reset", "error", "silence", "at once")
# How they end with an answer or a word that proves nothing of it, or with another
# server at their address.
UNPROVED_WAYS: Final = (*LATE_WAYS, "504", "503", "spoiled", "leaving", "successor")


class _Attempt(NamedTuple):
    """An attempt under which a server crashed."""

    request_id: str
    at: float


class CrashChecker:
    """Checks how many servers crash under each fatal request.

    A crash counts once the attempt is answered.  If a relay is killed with the attempt,
    nobody else knows of the crash.  Such crashes are excused.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.excused: list[str] = []
        # Answers of a quarantine to requests that crash no server.
        self.innocents_quarantined = 0
        self._crashes: dict[str, list[_Attempt]] = defaultdict(list)
        self._answered: set[str] = set()

    def record_crash(self, body: str, request_id: str, now: float) -> None:
        """Record that a server crashes under a request."""
        self._crashes[body].append(_Attempt(request_id, now))

    def record_answer(self, request_id: str) -> None:
        """Record that a caller received an answer to an attempt."""
        self._answered.add(request_id)

    def _counted(self, attempts: list[_Attempt]) -> list[_Attempt]:
        return [a for a in attempts if a.request_id in self._answered]

    def _check(self, body: str, attempts: list[_Attempt]) -> None:
        count = len(self._counted(attempts))
        if count > MAX_CRASHES:
            self.violations.append(f"crashes: {count} servers under {body}")
        if count < len(attempts):
            unknown = len(attempts) - count
            self.excused.append(f"crashes: {unknown} unanswered attempts of {body}")

    def crash_count(self) -> int:
        """Return the number of crashes that are remembered."""
        return sum(len(attempts) for attempts in self._crashes.values())

    def find_violations(self) -> list[str]:
        """Return all violations, at the end of the soak."""
        for body, attempts in self._crashes.items():
            self._check(body, attempts)
        return self.violations
