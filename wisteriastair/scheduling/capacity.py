"""Capacity steps of servers, from their pace against the pace of their service.

Load pattern: a quarter of the servers run at less than half the speed of the others. If
rendezvous hashing and affinity treat all servers alike, as many programs are assigned
to a slow server as to a fast one.

A weight that follows each measurement would move programs away from their cached
prompts all the time. Weights therefore change in steps of a factor, with hysteresis,
and only after several decisions agree. One process decides for all.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from statistics import median_low
from typing import Final, NamedTuple

# Factor between two steps. A difference of 25% in pace is the smallest that outweighs
# the loss of the cached prompts of the programs that move.
STEP_FACTOR: Final = 1.25
# Largest step in each direction: weights between 0.21 and 2.4. The slowest servers of
# the deployment with uneven servers need -4.
MIN_STEP: Final = -7
MAX_STEP: Final = 4
# A step changes if the pace is further than this from it, in steps. Rounding alone,
# 0.5, would alternate between two steps at a pace in the middle.
HYSTERESIS_STEPS: Final = 0.75
# Number of successive decisions that must demand a new step. Two are at least one
# interval apart, which is longer than the disturbances of 600 ms.
CONFIRMATIONS: Final = 2
# Seconds between two decisions. A change of one step sends all steps to each relay.
DECISION_INTERVAL_S: Final = 2.5
# Services with fewer servers of known pace keep equal weights, as two servers have no
# meaningful median.
MIN_SERVERS: Final = 3


class StepChange(NamedTuple):
    """A new capacity step of a server."""

    server: int
    old: int
    new: int


class CapacitySteps:
    """The capacity steps that one process decides for all."""

    def __init__(self) -> None:
        self.steps: dict[int, int] = {}
        # Servers whose step is about to change, and the number of decisions so far.
        self._pending: dict[int, int] = {}

    def adopt(self, steps: Mapping[int, int]) -> None:
        """Replace the steps by those that another process has decided."""
        self.steps = {server: clip_step(step) for server, step in steps.items()}
        self._pending.clear()

    def decide(
        self, paces: Mapping[int, float], services: Mapping[int, str]
    ) -> list[StepChange]:
        """Decide the steps again and return the changes.

        Parameters
        ----------
        paces : mapping
            Pace of servers, in any unit of time per token. A server without a pace
            keeps its step.
        services : mapping
            Service of each server that exists; others are dropped.
        """
        self.steps = {s: step for s, step in self.steps.items() if s in services}
        by_service: dict[str, dict[int, float]] = {}
        for server, pace in paces.items():
            if server in services and pace > 0:
                by_service.setdefault(services[server], {})[server] = pace
        changes: list[StepChange] = []
        pending: dict[int, int] = {}
        for known in by_service.values():
            if len(known) < MIN_SERVERS:
                continue
            usual = median_low(known.values())
            for server, pace in known.items():
                change = self._decide_server(server, usual / pace, pending)
                if change is not None:
                    changes.append(change)
        self._pending = pending
        return changes

    def _decide_server(
        self, server: int, speed: float, pending: dict[int, int]
    ) -> StepChange | None:
        old = self.steps.get(server, 0)
        exact = math.log(speed, STEP_FACTOR)
        new = clip_step(round(exact))
        if abs(exact - old) <= HYSTERESIS_STEPS or new == old:
            return None
        count = self._pending.get(server, 0) + 1
        if count < CONFIRMATIONS:
            pending[server] = count
            return None
        if new:
            self.steps[server] = new
        else:
            self.steps.pop(server, None)
        return StepChange(server, old, new)


def clip_step(step: int) -> int:
    """Limit a step to the range in use."""
    return max(MIN_STEP, min(MAX_STEP, step))


def weight_of_step(step: int) -> float:
    """Return the weight of a step; 1.0 for step 0."""
    return float(STEP_FACTOR ** clip_step(step))
