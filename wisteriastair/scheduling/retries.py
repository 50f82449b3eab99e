"""Timeouts per attempt, and retry budgets of plain services and of streamed turns.

Load pattern: one server of a plain service accepts requests and answers none, while the
others answer in milliseconds. A repeatable request would wait there until the caller's
timeout and fail the caller's program. It is therefore retried on another server after
several times the mean response time of the service. Under load the mean response time
rises, and so does the timeout. A retry budget limits retries to a small fraction of the
requests, since an overloaded service cannot handle them.

Load pattern of streamed turns: all servers of a service are full, and each turn is sent
to three of them, which costs servers and links three times the requests. A turn that
was rejected as not run is sent to another server only within a budget of its own.
"""

from __future__ import annotations

from typing import Final

# An attempt times out after this multiple of the service's mean response time, and not
# before the minimum in seconds. Single responses take several times the mean.
TIMEOUT_FACTOR: Final = 6.0
MIN_TIMEOUT_S: Final = 0.25
# Weight of a new sample in the moving average of the response time.
RESPONSE_TIME_WEIGHT: Final = 0.05
# Retries earned per request, and the maximum number of saved retries.
RETRY_FRACTION: Final = 0.1
MAX_RETRY_BUDGET: Final = 10.0
# Part of the saved retries of streamed turns that is left to running programs, whose
# work so far would be wasted.
RUNNING_PROGRAMS_FRACTION: Final = 0.5


class RetryPolicy:
    """Mean response time of each service, and the remaining retry budget."""

    def __init__(self) -> None:
        self._mean_response_s: dict[str, float] = {}
        self._retry_budget = MAX_RETRY_BUDGET

    def record_request(self) -> None:
        """Record a request, which adds to the retry budget."""
        self._retry_budget = min(MAX_RETRY_BUDGET, self._retry_budget + RETRY_FRACTION)

    def record_response(self, service: str, seconds: float) -> None:
        """Record the time of a complete response in seconds."""
        mean_s = self._mean_response_s.setdefault(service, seconds)
        self._mean_response_s[service] = mean_s + RESPONSE_TIME_WEIGHT * (
            seconds - mean_s
        )

    def attempt_timeout_s(self, service: str) -> float | None:
        """Return the timeout of an attempt in seconds.

        None if the response time of the service is unknown or the retry budget is used
        up.
        """
        mean_s = self._mean_response_s.get(service)
        if mean_s is None or self._retry_budget < 1.0:
            return None
        return max(MIN_TIMEOUT_S, TIMEOUT_FACTOR * mean_s)

    def record_retry(self) -> None:
        """Record a retry, which uses the budget."""
        self._retry_budget -= 1.0


class TurnRetryBudget:
    """Remaining retries of the rejected turns of each service."""

    def __init__(self) -> None:
        self._budgets: dict[str, float] = {}

    def record_turn(self, service: str) -> None:
        """Record a turn, which adds to the budget of its service."""
        budget = self._budgets.get(service, MAX_RETRY_BUDGET)
        self._budgets[service] = min(MAX_RETRY_BUDGET, budget + RETRY_FRACTION)

    def take(self, service: str, *, is_new_program: bool) -> bool:
        """Take a retry from the budget; return whether there was one.

        Parameters
        ----------
        is_new_program : bool
            Whether the turn may be the first one of its program.
        """
        budget = self._budgets.get(service, MAX_RETRY_BUDGET)
        reserved = RUNNING_PROGRAMS_FRACTION * MAX_RETRY_BUDGET
        if budget < 1.0 + (reserved if is_new_program else 0.0):
            return False
        self._budgets[service] = budget - 1.0
        return True
