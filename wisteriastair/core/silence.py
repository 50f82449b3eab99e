"""When a server that says nothing is given up for another one.

The load pattern: one server of a plain service takes requests and answers none, while
the others answer in milliseconds.  A request that may be repeated would wait there for
all the time that its caller has, and the caller's program fails with it.  So it goes to
another server once it has waited for several times what answers of the service usually
take.  Under load all answers take longer, and so does that wait; besides, only a small
share of requests is ever repeated, since an overloaded service can bear no repeats.
"""

from __future__ import annotations

from typing import Final

# A server is silent after so many times the usual answer of its service, and not before
# this many seconds: single answers take several times the mean.
TIMEOUT_FACTOR: Final = 6.0
MIN_TIMEOUT_S: Final = 0.25
# Weight of a new answer in what is usual.
RESPONSE_TIME_WEIGHT: Final = 0.05
# Share of the requests that may be repeated for silence, and how many at once.
RETRY_FRACTION: Final = 0.1
MAX_RETRY_BUDGET: Final = 10.0


class Silence:
    """What is usual at each service, and how many repeats are left."""

    def __init__(self) -> None:
        self._mean_response_s: dict[str, float] = {}
        self._retry_budget = MAX_RETRY_BUDGET

    def asked(self) -> None:
        """Note a request, which earns its share of a repeat."""
        self._retry_budget = min(MAX_RETRY_BUDGET, self._retry_budget + RETRY_FRACTION)

    def answered(self, service: str, seconds: float) -> None:
        """Note how long a server took for a whole answer."""
        mean_s = self._mean_response_s.setdefault(service, seconds)
        self._mean_response_s[service] = mean_s + RESPONSE_TIME_WEIGHT * (
            seconds - mean_s
        )

    def limit_s(self, service: str) -> float | None:
        """Return after how many seconds a server of a service is silent.

        None if that is not known, or if nothing may be repeated now.
        """
        mean_s = self._mean_response_s.get(service)
        if mean_s is None or self._retry_budget < 1.0:
            return None
        return max(MIN_TIMEOUT_S, TIMEOUT_FACTOR * mean_s)

    def repeated(self) -> None:
        """Note that a request is sent once more."""
        self._retry_budget -= 1.0
