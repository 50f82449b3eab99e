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
SILENT_TIMES: Final = 6.0
SILENT_LEAST_S: Final = 0.25
# Weight of a new answer in what is usual.
USUAL_GAIN: Final = 0.05
# Share of the requests that may be repeated for silence, and how many at once.
REPEAT_SHARE: Final = 0.1
REPEATS_MOST: Final = 10.0


class RetryPolicy:
    """What is usual at each service, and how many repeats are left."""

    def __init__(self) -> None:
        self._usual_s: dict[str, float] = {}
        self._repeats = REPEATS_MOST

    def record_request(self) -> None:
        """Note a request, which earns its share of a repeat."""
        self._repeats = min(REPEATS_MOST, self._repeats + REPEAT_SHARE)

    def record_response(self, service: str, seconds: float) -> None:
        """Note how long a server took for a whole answer."""
        usual_s = self._usual_s.setdefault(service, seconds)
        self._usual_s[service] = usual_s + USUAL_GAIN * (seconds - usual_s)

    def attempt_timeout_s(self, service: str) -> float | None:
        """Return after how many seconds a server of a service is silent.

        None if that is not known, or if nothing may be repeated now.
        """
        usual_s = self._usual_s.get(service)
        if usual_s is None or self._repeats < 1.0:
            return None
        return max(SILENT_LEAST_S, SILENT_TIMES * usual_s)

    def record_retry(self) -> None:
        """Note that a request is sent once more."""
        self._repeats -= 1.0
