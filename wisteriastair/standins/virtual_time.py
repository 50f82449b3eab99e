"""Virtual time: actions in the order of their times, without a real clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable

# Virtual seconds at which every run begins; any number above zero does.
BEGINNING_S = 1_000.0


class VirtualTime:
    """A clock that moves only when it is run.

    Attributes
    ----------
    now : float
        Virtual seconds.
    """

    def __init__(self) -> None:
        self.now = BEGINNING_S
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        # Actions of the same moment run in the order in which they were asked for.
        self._sequence = 0

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Do something after a delay in virtual seconds."""
        self._sequence += 1
        heapq.heappush(self._queue, (self.now + delay, self._sequence, action))

    def run(self, seconds: float) -> None:
        """Advance virtual time."""
        self.run_until(lambda: False, seconds)

    def run_until(self, done: Callable[[], bool], limit_s: float) -> bool:
        """Advance until something holds; False if it did not within the limit."""
        end = self.now + limit_s
        while self._queue and self._queue[0][0] <= end:
            if done():
                return True
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = max(self.now, end)
        return done()
