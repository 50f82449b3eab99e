"""What each server had said of its last requests when it ended.

A server may answer a request, or state that it did not run it, and end at once because
of it.  Logs then show which requests it had read shortly before.
"""

from __future__ import annotations

from collections import deque
from typing import Final, NamedTuple

from .crashlog import Clearance

# Seconds before the end of a server within which its requests are logged.
RECENT_S: Final = 2.0
# Requests that are remembered for each server.
MAX_REQUESTS: Final = 16


class LastRequest(NamedTuple):
    """A request that a server has answered or rejected.

    Attributes
    ----------
    request : str
        Id of the attempt.
    at : float
        Time of the response.
    """

    request: str
    clearance: Clearance
    at: float


class LastRequests:
    """The last requests of each server, by its incarnation."""

    def __init__(self) -> None:
        self._requests: dict[str, deque[LastRequest]] = {}

    def add(self, incarnation: str, request: LastRequest) -> None:
        """Record a request that a server has answered or rejected."""
        requests = self._requests.get(incarnation)
        if requests is None:
            requests = self._requests[incarnation] = deque(maxlen=MAX_REQUESTS)
        requests.append(request)

    def take(self, incarnation: str, now: float) -> list[LastRequest]:
        """Forget the requests of a server that has ended; return the recent ones."""
        requests = self._requests.pop(incarnation, ())
        return [request for request in requests if now - request.at <= RECENT_S]

    def expire(self, now: float) -> None:
        """Forget the servers that have had no request recently."""
        self._requests = {
            incarnation: requests
            for incarnation, requests in self._requests.items()
            if now - requests[-1].at <= RECENT_S
        }
