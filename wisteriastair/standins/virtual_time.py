"""Virtual time: runs scheduled actions in order of time, without a real clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable

# Virtual time at which every run starts; any positive number works.
START_TIME_S = 1_000.0


class VirtualTime:
    """A clock that advances only when it is run.

    Attributes
    ----------
    now : float
        Virtual seconds.
    """

    def __init__(self) -> None:
        self.now = START_TIME_S
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        # Breaks ties: actions of the same time run in the order of scheduling.
        self._sequence = 0

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in virtual seconds."""
        self._sequence += 1
        heapq.heappush(self._queue, (self.now + delay_s, self._sequence, action))

    def run(self, seconds: float) -> None:
        """Advance virtual time."""
        self.run_until(lambda: False, seconds)

    def run_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Advance until a condition holds; return False after the timeout."""
        end_s = self.now + timeout_s
        while self._queue and self._queue[0][0] <= end_s:
            if condition():
                return True
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = max(self.now, end_s)
        return condition()
