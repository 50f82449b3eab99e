"""Order in which a gate dispatches waiting calls.

Callers wait for the end of a program, not of a call. Calls are therefore ordered by
program: by service priority, then by the start of the program, so that running programs
finish before new ones start. Preferring the program with the least service so far
brought no benefit (docs/design/policy.md).
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final, NamedTuple


class QueuedCall(NamedTuple):
    """A call in the queue of a gate."""

    priority: int
    queued_at: float
    program_since: float


class QueueOrder(ABC):
    """Sort order of a queue."""

    @abstractmethod
    def key(self, call: QueuedCall, now: float) -> tuple[float, ...]:
        """Return the sort key of a call; the smallest key goes first."""


class Fifo(QueueOrder):
    """Baseline: first come, first served."""

    def key(self, call: QueuedCall, now: float) -> tuple[float, ...]:
        """Return the arrival time."""
        return (call.queued_at,)


class OldestProgram(QueueOrder):
    """Oldest program first, within its priority."""

    def key(self, call: QueuedCall, now: float) -> tuple[float, ...]:
        """Return the negated priority and the start time of the program."""
        return (-call.priority, call.program_since)


ORDERS: Final = ("program", "fifo")


def make_order(name: str) -> QueueOrder:
    """Create an order by its name in the settings."""
    return Fifo() if name == "fifo" else OldestProgram()
