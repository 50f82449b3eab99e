"""What this process observes of its own requests at one server.

Load pattern: a server stops answering, or fails each request at once, while the
response times that it had before still look good. The failures and successes of the
last second, and the requests that have been silent for longer than usual, show this
within a second, and other processes can use them as well.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

# Time in seconds for which failures and successes count.
WINDOW_S: Final = 1.0
# Maximum number of stored times per server: several times the requests that one process
# sends to one server in a second.
MAX_STORED: Final = 256
# A request is silent if nothing has arrived for this multiple of the usual wait, and
# not before the minimum in seconds. Machines of servers are slower by 2.5 for about
# 600 ms at a time, which must not count.
SILENT_FACTOR: Final = 4.0
MIN_SILENT_S: Final = 1.0
# Weight of a new sample in the moving average of the usual wait.
WAIT_WEIGHT: Final = 0.1


class OpenRequest:
    """A request in flight at a server.

    Parameters
    ----------
    observations : Observations
        Where its outcome is recorded.
    tokens : int
        Tokens of its prompt and of its longest output.
    now : float
        Time at which it is sent, in seconds.
    """

    def __init__(self, observations: Observations, tokens: int, now: float) -> None:
        self.tokens = tokens
        self.heard_at = now
        self.has_data = False
        self.is_paused = False
        self._observations = observations

    def record_data(self, now: float) -> None:
        """Record that a part of the response has arrived."""
        self._observations.record_wait(now - self.heard_at, is_first=not self.has_data)
        self.has_data = True
        self.heard_at = now

    def pause(self) -> None:
        """Record that this process stops reading, which is not the server's fault."""
        self.is_paused = True

    def resume(self, now: float) -> None:
        """Record that this process reads again."""
        self.is_paused = False
        self.heard_at = now


class Observations:
    """Requests in flight at one server, and the outcomes of the last second.

    Attributes
    ----------
    on_open : callable or None
        Called when a request is sent, so that servers without any need not be looked
        at.
    """

    def __init__(self) -> None:
        self.reserved_tokens = 0
        self.on_open: Callable[[], None] | None = None
        self._open: set[OpenRequest] = set()
        self._failures: deque[float] = deque(maxlen=MAX_STORED)
        self._successes: deque[float] = deque(maxlen=MAX_STORED)
        # Usual waits in seconds: for the first part of a response, which includes the
        # server's queue, and between two parts.
        self._usual_first_s = 0.0
        self._usual_gap_s = 0.0

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return len(self._open)

    def is_idle(self, now: float) -> bool:
        """Return whether there is nothing to report."""
        if self._open:
            return False
        return not self.failures(now) and not self.successes(now)

    def open(self, tokens: int, now: float) -> OpenRequest:
        """Record that a request is sent."""
        req = OpenRequest(self, max(0, tokens), now)
        self._open.add(req)
        self.reserved_tokens += req.tokens
        if self.on_open is not None:
            self.on_open()
        return req

    def close(self, req: OpenRequest, now: float, *, succeeded: bool | None) -> None:
        """Record the end of a request.

        Parameters
        ----------
        succeeded : bool or None
            None if the end says nothing about the server: the caller has left, or the
            server was full.
        """
        self._open.remove(req)
        self.reserved_tokens -= req.tokens
        if succeeded is not None:
            (self._successes if succeeded else self._failures).append(now)

    def record_wait(self, seconds: float, *, is_first: bool) -> None:
        """Record how long a request waited for the next part of its response."""
        if is_first:
            self._usual_first_s += WAIT_WEIGHT * (seconds - self._usual_first_s)
        else:
            self._usual_gap_s += WAIT_WEIGHT * (seconds - self._usual_gap_s)

    def failures(self, now: float) -> int:
        """Return the number of failures of the last second."""
        return _count_recent(self._failures, now)

    def successes(self, now: float) -> int:
        """Return the number of successes of the last second."""
        return _count_recent(self._successes, now)

    def silent(self, now: float) -> int:
        """Return the number of requests that are silent for longer than usual."""
        first_limit_s = max(MIN_SILENT_S, SILENT_FACTOR * self._usual_first_s)
        gap_limit_s = max(MIN_SILENT_S, SILENT_FACTOR * self._usual_gap_s)
        return sum(
            not req.is_paused
            and now - req.heard_at > (gap_limit_s if req.has_data else first_limit_s)
            for req in self._open
        )


def _count_recent(times: deque[float], now: float) -> int:
    oldest = now - WINDOW_S
    while times and times[0] < oldest:
        times.popleft()
    return len(times)
