"""Which waiting call a gate dispatches next.

Callers wait for the end of a program, not of a call.  The order is therefore by
program: service priority first, then the program that began first, so that what has
begun is finished before more is begun.  Serving the program with the least service so
far was tried and did not earn its place (docs/design/policy.md).
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final, NamedTuple


class QueuedCall(NamedTuple):
    """A call in a gate's queue."""

    priority: int
    queued_at: float
    program_since: float


class QueueOrder(ABC):
    """Sorts a queue."""

    @abstractmethod
    def key(self, call: QueuedCall, now: float) -> tuple[float, ...]:
        """Sort key: the smallest goes first."""


class Fifo(QueueOrder):
    """Baseline: first come, first served."""

    def key(self, call: QueuedCall, now: float) -> tuple[float, ...]:
        """Arrival time."""
        return (call.queued_at,)


class OldestProgram(QueueOrder):
    """Finish what was begun first."""

    def key(self, call: QueuedCall, now: float) -> tuple[float, ...]:
        """Priority, then the program's start."""
        return (-call.priority, call.program_since)


ORDERS: Final = ("program", "fifo")


def make_order(name: str) -> QueueOrder:
    """Build an order by its name in the settings."""
    return Fifo() if name == "fifo" else OldestProgram()
