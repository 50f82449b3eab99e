"""Which waiting call a gate dispatches next.

Callers wait for the end of a program, not of a call.  The order is therefore by
program: service priority first, then the program that has had the least service so
far (least attained service, as published for agent programs by Autellix), in
coarse classes so that programs of one class keep their arrival order.  A waiting
call climbs one class for every few seconds of waiting, so nothing starves.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from math import log2
from typing import Final, NamedTuple

AGE_CLASS_S: Final = 4.0
FIRST_CLASS_TOKENS: Final = 2_000


class Waiting(NamedTuple):
    """A call in a gate's queue."""

    priority: int
    attained: int
    queued_at: float
    prompt_tokens: int
    program_since: float


class Order(ABC):
    """Sorts a queue."""

    @abstractmethod
    def key(self, call: Waiting, now: float) -> tuple[float, ...]:
        """Sort key: the smallest goes first."""


class Fifo(Order):
    """Baseline: first come, first served."""

    def key(self, call: Waiting, now: float) -> tuple[float, ...]:
        """Arrival time."""
        return (call.queued_at,)


class LeastAttained(Order):
    """The chosen rule."""

    def key(self, call: Waiting, now: float) -> tuple[float, ...]:
        """Priority, class lowered by waiting, arrival time."""
        level = int(log2(1 + call.attained / FIRST_CLASS_TOKENS))
        aged = level - int((now - call.queued_at) / AGE_CLASS_S)
        return (-call.priority, aged, call.queued_at)


class OldestProgram(Order):
    """Finish what was begun first."""

    def key(self, call: Waiting, now: float) -> tuple[float, ...]:
        """Priority, then the program's start."""
        return (-call.priority, call.program_since)


ORDERS: Final = ("program", "attained", "fifo")


def make_order(name: str) -> Order:
    """Build an order by its name in the settings."""
    match name:
        case "fifo":
            return Fifo()
        case "attained":
            return LeastAttained()
        case _:
            return OldestProgram()
